//! Sizes in bytes with optional binary suffixes.

use std::str::FromStr;

/// Suffixes, largest first.
const UNITS: [(&str, u64); 3] = [("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10)];

/// Size in bytes, parsed from a number with an optional suffix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Size(pub(crate) u64);

impl FromStr for Size {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        for (suffix, factor) in UNITS {
            if let Some(number) = text.strip_suffix(suffix) {
                let count: u64 = number.trim().parse().map_err(|_not_a_number| ())?;
                return count.checked_mul(factor).map(Self).ok_or(());
            }
        }
        text.parse().map(Self).map_err(|_not_a_number| ())
    }
}

/// Formats a size with the largest suffix that leaves a whole number.
pub(crate) fn size_text(bytes: u64) -> String {
    let mut units = UNITS.into_iter();
    let unit = units.find(|(_, factor)| bytes > 0 && bytes.is_multiple_of(*factor));
    unit.map_or(bytes.to_string(), |(suffix, factor)| {
        format!("{}{suffix}", bytes / factor)
    })
}
