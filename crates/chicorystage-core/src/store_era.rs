//! For how long the store has been in its current era.
//!
//! A store that returns from an older copy begins a new era. What was written after the copy was taken
//! is missing then until its writers write it again, and what was removed since is back. A process that
//! runs meanwhile sees the era change. One that starts afterwards sees a single era, and would take the
//! copy for the present. So neither draws a conclusion from what the store lacks or shows before the era
//! has lasted as long as the writers concerned may take.

/// Era of the store, and the time by which it had begun.
///
/// Eras are numbered upwards. A store in era 0 has never returned from an older copy, or states no eras.
/// Times are on one clock that also advances while the VM is suspended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreEra {
    number: u64,
    /// Time by which the era had begun, in milliseconds; it may have begun earlier.
    begun_by_ms: u64,
}

impl StoreEra {
    /// Records that the store was in an era at a time; returns whether the era is newer than any known.
    ///
    /// An older era is ignored.
    pub fn observe(&mut self, number: u64, at_ms: u64) -> bool {
        let is_newer = number > self.number;
        if is_newer {
            *self = Self {
                number,
                begun_by_ms: at_ms,
            };
        } else if number == self.number {
            self.begun_by_ms = self.begun_by_ms.min(at_ms);
        }
        is_newer
    }

    /// Records what another view of the same store knows of its era.
    pub fn merge(&mut self, other: Self) {
        self.observe(other.number, other.begun_by_ms);
    }

    /// Returns the number of the era; 0 if the store has never returned from an older copy.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns the least time for which the era had lasted at a time, in milliseconds; `None` if the store
    /// has never returned from an older copy.
    #[must_use]
    pub fn age_ms(&self, at_ms: u64) -> Option<u64> {
        (self.number > 0).then(|| at_ms.saturating_sub(self.begun_by_ms))
    }

    /// Returns whether the era had lasted for a duration at a time.
    ///
    /// True of a store that has never returned from an older copy.
    #[must_use]
    pub fn had_lasted(&self, at_ms: u64, duration_ms: u64) -> bool {
        self.left_ms(at_ms, duration_ms) == 0
    }

    /// Returns how long after a time the era will have lasted for a duration, in milliseconds.
    #[must_use]
    pub fn left_ms(&self, at_ms: u64, duration_ms: u64) -> u64 {
        self.age_ms(at_ms)
            .map_or(0, |age_ms| duration_ms.saturating_sub(age_ms))
    }
}
