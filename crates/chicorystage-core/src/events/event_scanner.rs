const LF: u8 = b'\n';
const CR: u8 = b'\r';

/// Finds the ends of the events in a stream that arrives in parts.
///
/// An empty line ends an event. A line ends with LF, CR, or CR followed by LF.
#[derive(Clone, Debug, Default)]
pub struct EventScanner {
    /// Whether an event has begun and is not complete yet.
    is_within_event: bool,
    /// Whether the current line has at least one byte.
    is_within_line: bool,
    /// Whether the last line that ended was empty.
    was_line_empty: bool,
    last_end: LineEnd,
}

/// How a line ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LineEnd {
    #[default]
    Lf,
    /// The LF of a CR LF may still follow.
    Cr,
    CrLf,
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
    ///
    /// Where lines end with CR LF, an event is complete only with the LF of its empty line.
    #[must_use]
    pub fn is_within_event(&self) -> bool {
        self.is_within_event
    }

    fn scan_byte(&mut self, byte: u8) {
        match byte {
            LF if self.is_after_cr() => {
                self.last_end = LineEnd::CrLf;
                self.is_within_event = !self.was_line_empty;
            }
            LF => self.end_line(LineEnd::Lf),
            CR => self.end_line(LineEnd::Cr),
            _ => {
                self.is_within_line = true;
                self.is_within_event = true;
            }
        }
    }

    fn is_after_cr(&self) -> bool {
        !self.is_within_line && self.last_end == LineEnd::Cr
    }

    fn end_line(&mut self, end: LineEnd) {
        let expects_lf = end == LineEnd::Cr && self.last_end == LineEnd::CrLf;
        self.was_line_empty = !self.is_within_line;
        self.is_within_event = !self.was_line_empty || expects_lf;
        self.is_within_line = false;
        self.last_end = end;
    }
}
