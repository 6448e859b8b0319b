//! How an endpoint's answer states where its body ends.

use derive_more::Display;
use http::HeaderMap;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};

/// What ends the body of an HTTP/1 answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum AnswerFraming {
    /// The header `Content-Length` states the length.
    #[display("length")]
    Length,
    /// The last chunk of a chunked body ends it.
    #[display("chunks")]
    Chunks,
    /// The close of the connection ends it, so that a break may look like the end.
    #[display("close")]
    Close,
}

impl AnswerFraming {
    /// Returns the framing that the headers of an answer with a body state.
    #[must_use]
    pub fn of(headers: &HeaderMap) -> Self {
        if headers.contains_key(TRANSFER_ENCODING) {
            return Self::Chunks;
        }
        if headers.contains_key(CONTENT_LENGTH) {
            return Self::Length;
        }
        Self::Close
    }
}
