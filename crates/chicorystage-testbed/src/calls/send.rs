use displaydoc::Display;
use http_body_util::BodyExt;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::Instant;

use crate::calls::{CallerAnswer, CallerRequest};

/// Reason why a request received no response.
#[derive(Debug, Display)]
pub enum SendError {
    /// the connection could not be opened: {0}
    NotConnected(String),
    /// the connection ended before a response came: {0}
    NoResponse(String),
}

impl std::error::Error for SendError {}

/// Sends a request over a connection, used for nothing else, and reads the whole response.
///
/// A body that ends early is no error: the answer is then marked as cut.
///
/// # Errors
///
/// Fails where no response head was received.
pub async fn send<C>(connection: C, request: &CallerRequest) -> Result<CallerAnswer, SendError>
where
    C: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let start = Instant::now();
    let not_connected = |error: &dyn std::error::Error| SendError::NotConnected(error.to_string());
    let http_request = request.to_http().map_err(|error| not_connected(&error))?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(connection))
        .await
        .map_err(|error| not_connected(&error))?;
    tokio::spawn(async move {
        // A connection error also ends the response, where it is reported.
        let _closed = connection.await;
    });
    let response = sender
        .send_request(http_request)
        .await
        .map_err(|error| SendError::NoResponse(error.to_string()))?;
    let (parts, mut body) = response.into_parts();
    let mut bytes = Vec::new();
    let mut first_byte_ms = None;
    let mut cut = false;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            cut = true;
            break;
        };
        if let Ok(data) = frame.into_data() {
            first_byte_ms.get_or_insert_with(|| elapsed_ms(start));
            bytes.extend_from_slice(&data);
        }
    }
    let total_ms = elapsed_ms(start);
    Ok(CallerAnswer {
        status: parts.status,
        headers: parts.headers,
        body: String::from_utf8_lossy(&bytes).into_owned(),
        cut,
        first_byte_ms: first_byte_ms.unwrap_or(total_ms),
        total_ms,
    })
}

fn elapsed_ms(start: Instant) -> u64 {
    u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX)
}
