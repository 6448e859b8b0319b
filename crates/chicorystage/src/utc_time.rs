//! Wall-clock times as people read them.

const MS_PER_S: u64 = 1_000;
const S_PER_MIN: u64 = 60;
const S_PER_H: u64 = 3_600;
const S_PER_DAY: u64 = 86_400;
const YEAR_FIRST: u64 = 1970;
const MONTHS: usize = 12;

/// Writes milliseconds since the Unix epoch as a date and time of UTC.
pub(crate) fn utc_text(unix_ms: u64) -> String {
    let second = unix_ms / MS_PER_S;
    let mut days = second / S_PER_DAY;
    let mut year = YEAR_FIRST;
    while days >= year_days(year) {
        days -= year_days(year);
        year += 1;
    }
    let mut month = 0;
    while month < MONTHS && days >= month_days(year, month) {
        days -= month_days(year, month);
        month += 1;
    }
    let (hour, minute) = (second % S_PER_DAY / S_PER_H, second % S_PER_H / S_PER_MIN);
    format!(
        "{year}-{:02}-{:02} {hour:02}:{minute:02}:{:02}Z",
        month + 1,
        days + 1,
        second % S_PER_MIN
    )
}

fn is_leap(year: u64) -> bool {
    year.is_multiple_of(4) && (!year.is_multiple_of(100) || year.is_multiple_of(400))
}

fn year_days(year: u64) -> u64 {
    365 + u64::from(is_leap(year))
}

fn month_days(year: u64, month: usize) -> u64 {
    match month {
        1 => 28 + u64::from(is_leap(year)),
        3 | 5 | 8 | 10 => 30,
        _ => 31,
    }
}
