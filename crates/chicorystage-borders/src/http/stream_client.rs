use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::{BorderError, BorderErrorKind};

/// Longest time to open a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Sends a request on a connection of its own and returns once headers came.
///
/// Dropping the response closes the connection.
pub(crate) async fn send_on_fresh_connection(
    address: SocketAddr,
    mut request: Request<Full<Bytes>>,
    head_timeout_ms: u64,
) -> Result<Response<Incoming>, BorderError> {
    let host = address
        .to_string()
        .parse()
        .expect("an address is a header value");
    request.headers_mut().insert(http::header::HOST, host);
    let mut sender = connect(address).await?;
    let head = timeout(
        Duration::from_millis(head_timeout_ms),
        sender.send_request(request),
    );
    match head.await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(error)) => Err(unknown(address, &error.to_string())),
        Err(_elapsed) => Err(unknown(address, "no response head in time")),
    }
}

async fn connect(address: SocketAddr) -> Result<http1::SendRequest<Full<Bytes>>, BorderError> {
    let connecting = async {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok::<_, std::io::Error>(stream)
    };
    let stream = match timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), connecting).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(not_delivered(address, &error.to_string())),
        Err(_elapsed) => return Err(not_delivered(address, "no connection in time")),
    };
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| not_delivered(address, &error.to_string()))?;
    tokio::spawn(async move {
        // A failed connection shows at the response; there is nothing to add here.
        let _closed = connection.await;
    });
    Ok(sender)
}

fn not_delivered(address: SocketAddr, detail: &str) -> BorderError {
    BorderError::new(
        BorderErrorKind::NotDelivered,
        format!("{address}: {detail}"),
    )
}

fn unknown(address: SocketAddr, detail: &str) -> BorderError {
    BorderError::new(BorderErrorKind::Unknown, format!("{address}: {detail}"))
}
