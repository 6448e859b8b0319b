const LF: u8 = b'\n';
const CR: u8 = b'\r';
/// First byte of a comment.
const COLON: u8 = b':';

/// Finds the ends of the events in a stream that arrives in parts, and tells whether it may end.
///
/// An empty line ends an event. A line ends with LF, CR, or CR followed by LF.
#[derive(Clone, Debug, Default)]
pub struct EventScanner {
    event: Event,
    /// Whether the current line has at least one byte.
    is_within_line: bool,
    last_end: LineEnd,
    /// Whether an event with a field is complete.
    has_event: bool,
}

/// What has been seen of the current event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Event {
    /// No byte.
    #[default]
    NotBegun,
    /// Comments only, as servers send them to keep a connection open.
    Comments,
    /// At least one field.
    Fields,
}

/// How the last line ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LineEnd {
    #[default]
    Lf,
    /// The LF of a CR LF may still follow.
    Cr,
    /// As [`Self::Cr`], and the line was empty.
    CrOfEmptyLine,
    CrLf,
}

impl EventScanner {
    /// Scans the next bytes and returns how many of them belong to events that are now complete;
    /// `None` if no event ends in these bytes.
    pub fn scan(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut complete_bytes = None;
        for (i, &byte) in bytes.iter().enumerate() {
            self.scan_byte(byte);
            if !self.is_within_event() {
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
        self.event != Event::NotBegun
    }

    /// Returns whether a stream that ends here can be complete.
    ///
    /// `is_end_marked` is whether more than the close of the connection marks the end. Without a
    /// mark, a stream without any event cannot be told from one that broke off before its first.
    #[must_use]
    pub fn may_end(&self, is_end_marked: bool) -> bool {
        !self.is_within_event() && (is_end_marked || self.has_event)
    }

    fn scan_byte(&mut self, byte: u8) {
        match byte {
            LF if self.is_after_cr() => self.end_cr_lf(),
            LF => self.end_line(LineEnd::Lf),
            CR => self.end_line(LineEnd::Cr),
            _ if self.is_within_line => {}
            _ => self.begin_line(byte),
        }
    }

    fn is_after_cr(&self) -> bool {
        let is_cr = matches!(self.last_end, LineEnd::Cr | LineEnd::CrOfEmptyLine);
        !self.is_within_line && is_cr
    }

    /// Takes in the LF of a line whose CR has been taken in.
    fn end_cr_lf(&mut self) {
        if self.last_end == LineEnd::CrOfEmptyLine {
            self.end_event();
        }
        self.last_end = LineEnd::CrLf;
    }

    fn end_line(&mut self, end: LineEnd) {
        let is_empty = !self.is_within_line;
        let expects_lf = end == LineEnd::Cr && self.last_end == LineEnd::CrLf;
        if is_empty && !expects_lf {
            self.end_event();
        }
        self.is_within_line = false;
        self.last_end = match end {
            LineEnd::Cr if is_empty => LineEnd::CrOfEmptyLine,
            end => end,
        };
    }

    /// Takes in the first byte of a line.
    fn begin_line(&mut self, byte: u8) {
        if self.last_end == LineEnd::CrOfEmptyLine {
            // The CR alone has ended the event before.
            self.end_event();
        }
        self.is_within_line = true;
        if byte != COLON {
            self.event = Event::Fields;
        } else if self.event == Event::NotBegun {
            self.event = Event::Comments;
        }
    }

    fn end_event(&mut self) {
        self.has_event |= self.event == Event::Fields;
        self.event = Event::NotBegun;
    }
}
