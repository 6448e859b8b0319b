use std::sync::Arc;

use bytes::Bytes;
use chicorystage_api::work::EndSummary;

/// An answer collected up to its end marker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WholeAnswer {
    /// HTTP status of a service's answer; 200 for a completion.
    pub status: u16,
    /// `Content-Type` of a service's answer; empty for a completion.
    pub content_type: Arc<str>,
    /// Generated text, or the body of a service's answer.
    pub body: Bytes,
    /// Figures of the attempt that gave it.
    pub summary: EndSummary,
}

/// Status of an answer that names none.
const STATUS_OK: u16 = 200;

impl WholeAnswer {
    pub(crate) fn empty() -> Self {
        Self {
            status: STATUS_OK,
            content_type: Arc::from(""),
            body: Bytes::new(),
            summary: EndSummary::default(),
        }
    }
}
