use bytes::{Bytes, BytesMut};

/// End of an event.
const END: &[u8] = b"\n\n";
/// Field that names an event.
const ID_FIELD: &str = "id:";

/// Splits the bytes of a stream into whole events.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    held: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Takes bytes and returns the events that are whole now; empty where there is none.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        // The end may lie across the border of what was held and what is new.
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

    /// Returns the identity of the last whole event.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns whether an event has arrived in part.
    #[must_use]
    pub fn holds_part(&self) -> bool {
        !self.held.is_empty()
    }

    /// Drops an event that arrived in part.
    pub fn drop_part(&mut self) {
        self.held.clear();
    }
}

fn last_id(events: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(events);
    let mut ids = text.lines().filter_map(|line| line.strip_prefix(ID_FIELD));
    ids.next_back().map(|id| id.trim().to_owned())
}
