use crate::events::EventScanner;

/// Returns whether a body that was read to its end can be a complete event stream.
///
/// `is_end_marked` is as in [`EventScanner::may_end`].
#[must_use]
pub fn is_whole_stream(body: &[u8], is_end_marked: bool) -> bool {
    let mut scanner = EventScanner::default();
    scanner.scan(body);
    scanner.may_end(is_end_marked)
}
