use bytes::{Buf, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;

use crate::{BorderError, BorderErrorKind};

/// Longest line, in bytes.
const LINE_BYTES_MAX: usize = 16 << 20;

/// Reads a response body of one JSON document a line.
#[derive(Debug)]
pub struct JsonLines {
    body: Incoming,
    buffer: BytesMut,
    scanned_bytes: usize,
}

impl JsonLines {
    /// Starts reading a body.
    #[must_use]
    pub fn new(body: Incoming) -> Self {
        Self {
            body,
            buffer: BytesMut::new(),
            scanned_bytes: 0,
        }
    }

    /// Reads the next document; none at the end of the body.
    ///
    /// Bytes after the last line break are a cut line and are dropped.
    ///
    /// # Errors
    ///
    /// Fails as unknown where the connection or the document is broken.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>, BorderError> {
        loop {
            if let Some(line) = self.take_line() {
                let document =
                    serde_json::from_slice(&line).map_err(|error| broken(&error.to_string()))?;
                return Ok(Some(document));
            }
            if self.buffer.len() > LINE_BYTES_MAX {
                return Err(broken("line too long"));
            }
            let Some(frame) = self.body.frame().await else {
                return Ok(None);
            };
            let frame = frame.map_err(|error| broken(&error.to_string()))?;
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

fn broken(detail: &str) -> BorderError {
    BorderError::new(BorderErrorKind::Unknown, format!("answer stream: {detail}"))
}
