use bytes::{Bytes, BytesMut};

use crate::events::{EventScanner, EventTooLong};

/// Largest number of bytes of an incomplete event.
///
/// Engines may answer without end; what is buffered for all their streams must fit into memory.
const PARTIAL_BYTES_MAX: usize = 32 << 10;
/// Prefix of the line that carries an event's identity.
const ID_FIELD: &[u8] = b"id:";

/// Splits the bytes of an event stream into complete events.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    /// Bytes of the event that is not complete yet.
    partial: BytesMut,
    scanner: EventScanner,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Appends received bytes and returns the events that are now complete; empty if none is.
    ///
    /// # Errors
    ///
    /// Fails if the event that is not complete yet is longer than an event may be.
    pub fn push(&mut self, mut bytes: Bytes) -> Result<Bytes, EventTooLong> {
        let Some(complete_bytes) = self.scanner.scan(&bytes) else {
            if self.partial.len() + bytes.len() > PARTIAL_BYTES_MAX {
                return Err(EventTooLong {
                    limit_bytes: PARTIAL_BYTES_MAX,
                });
            }
            self.partial.extend_from_slice(&bytes);
            return Ok(Bytes::new());
        };
        let mut complete = bytes.split_to(complete_bytes);
        if !self.partial.is_empty() {
            self.partial.extend_from_slice(&complete);
            complete = self.partial.split().freeze();
        }
        self.partial.extend_from_slice(&bytes);
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        Ok(complete)
    }

    /// Returns the identity of the last complete event that has one.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns whether an incomplete event is buffered.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        self.scanner.is_within_event()
    }

    /// Returns whether an answer that ends here can be complete; see [`EventScanner::may_end`].
    #[must_use]
    pub fn may_end(&self, is_end_marked: bool) -> bool {
        self.scanner.may_end(is_end_marked)
    }

    /// Prepares for another answer, which goes on after the last complete event.
    pub fn restart(&mut self) {
        self.partial.clear();
        self.scanner = EventScanner::default();
    }
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|&byte| byte == b'\n' || byte == b'\r');
    let mut ids = lines.filter_map(|line| line.strip_prefix(ID_FIELD));
    let id = ids.next_back()?;
    Some(String::from_utf8_lossy(id).trim().to_owned())
}
