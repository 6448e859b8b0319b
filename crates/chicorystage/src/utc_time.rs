//! Formatting of wall-clock times for the terminal.

use chrono::DateTime;

/// Formats milliseconds since the Unix epoch as a date and time in UTC.
///
/// A time outside the calendar's range is returned as the bare number.
pub(crate) fn utc_text(unix_ms: u64) -> String {
    let time = i64::try_from(unix_ms)
        .ok()
        .and_then(DateTime::from_timestamp_millis);
    time.map_or(unix_ms.to_string(), |time| {
        time.format("%Y-%m-%d %H:%M:%SZ").to_string()
    })
}
