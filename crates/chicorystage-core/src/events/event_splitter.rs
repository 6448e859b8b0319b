use bytes::{Bytes, BytesMut};

/// Delimiter that ends an event: an empty line.
const EVENT_END: &[u8] = b"\n\n";
/// Prefix of the line that carries an event's identity.
const ID_FIELD: &str = "id:";

/// Splits the bytes of an event stream into complete events.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Appends received bytes and returns the events that are now complete; empty if none is.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        // The delimiter may span the buffered and the new bytes.
        let from = self.buffer.len().saturating_sub(EVENT_END.len() - 1);
        self.buffer.extend_from_slice(bytes);
        let tail = &self.buffer[from..];
        let Some(last) = tail
            .windows(EVENT_END.len())
            .rposition(|window| window == EVENT_END)
        else {
            return Bytes::new();
        };
        let complete = self.buffer.split_to(from + last + EVENT_END.len()).freeze();
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
        !self.buffer.is_empty()
    }

    /// Discards the buffered incomplete event, if any.
    pub fn discard_partial_event(&mut self) {
        self.buffer.clear();
    }
}

fn last_id(events: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(events);
    let mut ids = text.lines().filter_map(|line| line.strip_prefix(ID_FIELD));
    ids.next_back().map(|id| id.trim().to_owned())
}
