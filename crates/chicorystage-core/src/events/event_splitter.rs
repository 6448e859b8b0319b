use bytes::{Bytes, BytesMut};

/// Delimiter that ends an event: an empty line.
const END: &[u8] = b"\n\n";
/// Prefix of the line that carries an event's identity.
const ID_FIELD: &str = "id:";

/// Splits the bytes of an event stream into complete events.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    held: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Appends received bytes and returns the events that are now complete; empty if none is.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        // The delimiter may span the buffered and the new bytes.
        let from = self.held.len().saturating_sub(END.len() - 1);
        self.held.extend_from_slice(bytes);
        let tail = &self.held[from..];
        let Some(last) = tail.windows(END.len()).rposition(|window| window == END) else {
            return Bytes::new();
        };
        let whole = self.held.split_to(from + last + END.len()).freeze();
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        whole
    }

    /// Returns the identity of the last complete event that has one.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns whether an incomplete event is buffered.
    #[must_use]
    pub fn holds_part(&self) -> bool {
        !self.held.is_empty()
    }

    /// Discards the buffered incomplete event, if any.
    pub fn drop_part(&mut self) {
        self.held.clear();
    }
}

fn last_id(events: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(events);
    let mut ids = text.lines().filter_map(|line| line.strip_prefix(ID_FIELD));
    ids.next_back().map(|id| id.trim().to_owned())
}
