use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Collected, Empty, Full};
use hyper::body::Incoming;

use crate::http::BodyAbandoned;

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

/// Reads a whole body as text for an error message; empty if the connection breaks.
pub(crate) async fn body_text(body: Incoming) -> String {
    let bytes = body.collect().await.map(Collected::to_bytes);
    String::from_utf8_lossy(&bytes.unwrap_or_default()).into_owned()
}

/// Converts the error of a body that cannot fail.
fn never(error: std::convert::Infallible) -> BodyAbandoned {
    match error {}
}
