use bytes::{Bytes, BytesMut};

use crate::events::EventScanner;

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
    pub fn push(&mut self, mut bytes: Bytes) -> Bytes {
        let Some(complete_bytes) = self.scanner.scan(&bytes) else {
            self.partial.extend_from_slice(&bytes);
            return Bytes::new();
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
        complete
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

    /// Discards the buffered incomplete event, if any.
    pub fn discard_partial_event(&mut self) {
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
