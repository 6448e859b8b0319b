use derive_more::Display;
use http::HeaderMap;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};

/// What ends the body of an HTTP/1 response.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum BodyFraming {
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

impl BodyFraming {
    /// Returns the framing that the headers of a response with a body state.
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

    /// Returns whether more than the close of the connection marks the end of the body.
    #[must_use]
    pub fn is_end_marked(self) -> bool {
        self != Self::Close
    }
}
