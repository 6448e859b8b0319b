use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::http::BodyAbandoned;

/// Largest body that is read for an error message, in bytes.
const ERROR_TEXT_BYTES_MAX: usize = 4 << 10;
/// Longest wait for the body of an error message, in milliseconds.
const ERROR_TEXT_WAIT_MS: u64 = 200;

/// Body of a response that an [`HttpServer`](crate::http::HttpServer) sends.
pub type ResponseBody = UnsyncBoxBody<Bytes, BodyAbandoned>;

/// Returns a body without content.
#[must_use]
pub fn empty_body() -> ResponseBody {
    Empty::new().map_err(never).boxed_unsync()
}

/// Returns a body of known content.
#[must_use]
pub fn full_body(content: impl Into<Bytes>) -> ResponseBody {
    Full::new(content.into()).map_err(never).boxed_unsync()
}

/// Reads a body as text for an error message.
///
/// Empty if the body is long, does not end soon or breaks off.
pub(crate) async fn body_text(body: Incoming) -> String {
    let read = Limited::new(body, ERROR_TEXT_BYTES_MAX).collect();
    let read = timeout(Duration::from_millis(ERROR_TEXT_WAIT_MS), read).await;
    let Ok(Ok(read)) = read else {
        return String::new();
    };
    String::from_utf8_lossy(&read.to_bytes()).into_owned()
}

/// Converts the error of a body that cannot fail.
fn never(error: Infallible) -> BodyAbandoned {
    match error {}
}
