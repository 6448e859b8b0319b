use std::convert::Infallible;

use bytes::Bytes;
use http_body_util::channel::{Channel, Sender};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Collected, Empty, Full};
use hyper::body::Incoming;

/// Body of a response that an [`HttpServer`](crate::http::HttpServer) sends.
pub type ResponseBody = UnsyncBoxBody<Bytes, Infallible>;

/// Returns a body without content.
#[must_use]
pub fn empty_body() -> ResponseBody {
    Empty::new().boxed_unsync()
}

/// Returns a body of known content.
#[must_use]
pub fn full_body(content: impl Into<Bytes>) -> ResponseBody {
    Full::new(content.into()).boxed_unsync()
}

/// Reads a whole body as text for an error message; empty if the connection breaks.
pub(crate) async fn body_text(body: Incoming) -> String {
    let bytes = body.collect().await.map(Collected::to_bytes);
    String::from_utf8_lossy(&bytes.unwrap_or_default()).into_owned()
}

/// Returns a streamed body and its sender; dropping the sender ends the body.
#[must_use]
pub fn channel_body(chunks_buffered_max: usize) -> (Sender<Bytes, Infallible>, ResponseBody) {
    let (sender, body) = Channel::new(chunks_buffered_max);
    (sender, body.boxed_unsync())
}
