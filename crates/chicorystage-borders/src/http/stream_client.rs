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

use crate::http::InterimLimit;
use crate::{BorderError, BorderErrorKind};

/// Longest time to open a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Longest head of a response, and most bytes of one that are read ahead.
const READ_BYTES_MAX: usize = 64 << 10;

/// Sends a request on a new connection and returns when the response head arrives.
///
/// Dropping the response closes the connection.
///
/// # Errors
///
/// Returns `NotDelivered` if no connection was established, else `Unknown`.
pub(crate) async fn send_on_new_connection(
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
    let interim = InterimLimit::default();
    interim.watch(&mut request);
    let response = async {
        tokio::select! {
            response = sender.send_request(request) => {
                response.map_err(|error| unknown(address, &error.to_string()))
            }
            () = interim.exceeded() => Err(unknown(address, "too many interim responses")),
        }
    };
    let head = timeout(Duration::from_millis(head_timeout_ms), response);
    match head.await {
        Ok(result) => result,
        Err(_elapsed) => Err(unknown(address, "timed out waiting for the response head")),
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
        Err(_elapsed) => return Err(not_delivered(address, "timed out opening a connection")),
    };
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(READ_BYTES_MAX)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| not_delivered(address, &error.to_string()))?;
    tokio::spawn(async move {
        // The reader of the response receives a connection error too and reports it.
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
