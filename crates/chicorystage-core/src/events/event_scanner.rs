const LF: u8 = b'\n';
const CR: u8 = b'\r';

/// Finds the ends of the events in a stream that arrives in parts.
///
/// An empty line ends an event. A line ends with LF, CR, or CR followed by LF.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventScanner {
    /// Whether the current event has at least one byte.
    is_within_event: bool,
    /// Whether the current line has at least one byte.
    is_within_line: bool,
    /// Whether the last byte was a CR, whose LF may follow.
    is_after_cr: bool,
}

impl EventScanner {
    /// Scans the next bytes and returns how many of them belong to events that are now complete;
    /// `None` if no event ends in these bytes.
    pub fn scan(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut complete_bytes = None;
        for (i, &byte) in bytes.iter().enumerate() {
            self.scan_byte(byte);
            if !self.is_within_event {
                complete_bytes = Some(i + 1);
            }
        }
        complete_bytes
    }

    /// Returns whether the stream has begun an event that is not complete yet.
    #[must_use]
    pub fn is_within_event(&self) -> bool {
        self.is_within_event
    }

    fn scan_byte(&mut self, byte: u8) {
        let ends_cr_lf = byte == LF && self.is_after_cr;
        self.is_after_cr = byte == CR;
        if ends_cr_lf {
            return;
        }
        let ends_line = byte == LF || byte == CR;
        // A line end directly after another one is an empty line.
        self.is_within_event = !ends_line || self.is_within_line;
        self.is_within_line = !ends_line;
    }
}
