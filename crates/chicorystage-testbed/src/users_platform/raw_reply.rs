use bytes::Bytes;

/// Placeholder in a raw reply that is replaced by the id of the request's attempt.
pub const ATTEMPT_PLACEHOLDER: &str = "{attempt}";

/// The bytes of one answer and what the endpoint does with the connection after them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawReply {
    /// Bytes as they are sent, head included, with [`ATTEMPT_PLACEHOLDER`] in place of the attempt.
    pub bytes: String,
    /// What happens to the connection once the bytes are sent.
    pub end: ConnectionEnd,
}

/// What an endpoint does with a connection after the bytes of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// Closes it, as a process does that ends.
    Close,
    /// Resets it.
    Reset,
    /// Closes it and accepts no new one, as a process does that crashes.
    Crash,
    /// Keeps it open and sends nothing more.
    Silence,
    /// Sends these bytes again and again, after a pause each, until the other side closes.
    Repeat {
        /// Bytes of each repetition.
        bytes: Bytes,
        /// Pause before each repetition, in milliseconds; 0 sends as fast as they are read.
        pause_ms: u64,
    },
}

impl RawReply {
    /// Returns an answer to the request's attempt with the given status line, headers and body.
    ///
    /// `headers` are whole lines without their line ends.
    #[must_use]
    pub fn new(status: &str, headers: &[&str], body: &str, end: ConnectionEnd) -> Self {
        let mut bytes = format!(
            "HTTP/1.1 {status}\r\nAttempt-Id: {ATTEMPT_PLACEHOLDER}\r\nResponse-Stamp: stamp\r\n"
        );
        for header in headers {
            bytes.push_str(header);
            bytes.push_str("\r\n");
        }
        bytes.push_str("\r\n");
        bytes.push_str(body);
        Self { bytes, end }
    }

    /// Returns a successful event stream with neither a length nor chunks.
    #[must_use]
    pub fn close_delimited_events(body: &str, end: ConnectionEnd) -> Self {
        Self::new("200 OK", &["Content-Type: text/event-stream"], body, end)
    }
}
