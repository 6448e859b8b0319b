use std::sync::Arc;

use bytes::Bytes;

use crate::http::BodyFraming;

/// Response of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceReply {
    /// HTTP status code.
    pub status: u16,
    /// Value of `Content-Type`; empty if the service sent none.
    pub content_type: Arc<str>,
    /// Whole response body.
    pub body: Bytes,
    /// What ended the body.
    pub framing: BodyFraming,
}
