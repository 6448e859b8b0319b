//! Wall-clock times as people read them.

use chrono::DateTime;

/// Writes milliseconds since the Unix epoch as a date and time of UTC.
///
/// Times that no calendar has are written as the number.
pub(crate) fn utc_text(unix_ms: u64) -> String {
    let time = i64::try_from(unix_ms)
        .ok()
        .and_then(DateTime::from_timestamp_millis);
    time.map_or(unix_ms.to_string(), |time| {
        time.format("%Y-%m-%d %H:%M:%SZ").to_string()
    })
}
