use bytes::{Buf, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;

use crate::{BorderError, BorderErrorKind};

/// Reader of a response body with one JSON document per line.
#[derive(Debug)]
pub struct JsonLines {
    body: Incoming,
    buffer: BytesMut,
    scanned_bytes: usize,
    line_bytes_max: usize,
}

impl JsonLines {
    /// Creates a reader at the start of a body whose lines have at most `line_bytes_max` bytes.
    #[must_use]
    pub fn new(body: Incoming, line_bytes_max: usize) -> Self {
        Self {
            body,
            buffer: BytesMut::new(),
            scanned_bytes: 0,
            line_bytes_max,
        }
    }

    /// Returns the next document, or `None` at the end of the body.
    ///
    /// Bytes after the last line break are a truncated line and are discarded.
    ///
    /// # Errors
    ///
    /// Returns an `Unknown` error if the connection breaks, a document is
    /// malformed or a line is too long.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>, BorderError> {
        loop {
            if let Some(line) = self.take_line() {
                let document = serde_json::from_slice(&line)
                    .map_err(|error| stream_error(&error.to_string()))?;
                return Ok(Some(document));
            }
            if self.buffer.len() > self.line_bytes_max {
                return Err(stream_error("line exceeds the size limit"));
            }
            let Some(frame) = self.body.frame().await else {
                return Ok(None);
            };
            let frame = frame.map_err(|error| stream_error(&error.to_string()))?;
            if let Ok(data) = frame.into_data() {
                self.buffer.extend_from_slice(&data);
            }
        }
    }

    fn take_line(&mut self) -> Option<BytesMut> {
        let unscanned = &self.buffer[self.scanned_bytes..];
        let Some(i) = unscanned.iter().position(|&byte| byte == b'\n') else {
            self.scanned_bytes = self.buffer.len();
            return None;
        };
        let line = self.buffer.split_to(self.scanned_bytes + i);
        self.buffer.advance(1);
        self.scanned_bytes = 0;
        Some(line)
    }
}

fn stream_error(detail: &str) -> BorderError {
    BorderError::new(
        BorderErrorKind::Unknown,
        format!("response stream: {detail}"),
    )
}
