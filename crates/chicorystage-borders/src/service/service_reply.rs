use std::sync::Arc;

use bytes::Bytes;

/// Answer of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceReply {
    /// HTTP status.
    pub status: u16,
    /// `Content-Type`, empty where the service gave none.
    pub content_type: Arc<str>,
    /// Body.
    pub body: Bytes,
}
