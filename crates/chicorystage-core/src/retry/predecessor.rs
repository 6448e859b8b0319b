use crate::store_era::StoreEra;

/// Earlier process of a router on the same VM, which may have spent retries that its successor does
/// not know of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Predecessor {
    /// There was none.
    Absent,
    /// It started at least one window of the budget before its successor.
    Settled,
    /// It started later than that, so that its own predecessor may have spent retries as well.
    Recent,
}

impl Predecessor {
    /// Returns the kind of predecessor from the times at which it and its successor started, in
    /// milliseconds on the VM's boot clock; `previous_ms` is `None` if there was none.
    ///
    /// A predecessor that seems to have started later ran before a reboot of the VM, and it is not
    /// known how long before. A store that has returned from an older copy, within a window before the
    /// successor started, may lack the row of the last process.
    #[must_use]
    pub fn of(previous_ms: Option<u64>, started_ms: u64, window_ms: u64, era: &StoreEra) -> Self {
        if !era.had_lasted(started_ms, window_ms) {
            return Self::Recent;
        }
        match previous_ms {
            None => Self::Absent,
            Some(previous_ms) if previous_ms + window_ms <= started_ms => Self::Settled,
            Some(_) => Self::Recent,
        }
    }
}
