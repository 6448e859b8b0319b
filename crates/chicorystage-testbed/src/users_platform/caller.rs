use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Time after which a test caller abandons its request, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 20_000;

/// The response that a caller received.
#[derive(Clone, Debug)]
pub struct CallerReply {
    /// Status code of the response.
    pub status: StatusCode,
    /// Headers of the response.
    pub headers: HeaderMap,
    /// Bytes of the body that arrived before its end or before the connection broke.
    pub body: Bytes,
    /// Whether the whole body arrived; false if the connection broke within it.
    pub is_complete: bool,
}

impl CallerReply {
    /// Returns a header as text, or an empty string if it is absent or not text.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    /// Returns the body as text; invalid UTF-8 is replaced.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends a request over a new connection and returns its response.
///
/// # Errors
///
/// Fails if the gateway can't be reached, if the connection closes before a
/// response head arrives, or if the response takes more than 20 s.
pub async fn call(
    gateway: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> anyhow::Result<CallerReply> {
    let stream = TcpStream::connect(gateway).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let connection = tokio::task::spawn_local(connection);
    let reply = call_on(&mut sender, method, path, headers, body).await;
    connection.abort();
    reply
}

/// Sends a request over an open connection and returns its response.
///
/// # Errors
///
/// Fails if the connection closes before a response head arrives, or if the
/// response takes more than 20 s.
pub async fn call_on(
    sender: &mut SendRequest<Full<Bytes>>,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> anyhow::Result<CallerReply> {
    let mut request = Request::builder().method(method).uri(path);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::from(body.to_owned())))?;
    let exchange = async {
        sender.ready().await?;
        let response = sender.send_request(request).await?;
        let (parts, mut body) = response.into_parts();
        let mut read = BytesMut::new();
        let mut is_complete = true;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                is_complete = false;
                break;
            };
            if let Some(data) = frame.data_ref() {
                read.extend_from_slice(data);
            }
        }
        anyhow::Ok(CallerReply {
            status: parts.status,
            headers: parts.headers,
            body: read.freeze(),
            is_complete,
        })
    };
    tokio::time::timeout(Duration::from_millis(CALL_TIMEOUT_MS), exchange).await?
}
