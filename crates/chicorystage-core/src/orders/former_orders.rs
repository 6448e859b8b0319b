use crate::orders::late_orders::LATE_MAX_MS;

/// Largest assumed difference between the clocks of this VM and of an engine, in milliseconds.
const CLOCK_ERROR_MAX_MS: u64 = 5_000;

/// Orders of former lease holders, which the present one does not know.
///
/// An order that is carried out late names the count of orders that the engine had accepted. So it
/// has no effect on the process that it was sent to once that process has accepted another order.
/// An engine that restarts under its identity counts from the beginning, though, and one that
/// ignores epochs may carry out what was sent to the process before.
#[derive(Clone, Copy, Debug)]
pub struct FormerOrders {
    ended_ms: u64,
    ended_unix_ms: u64,
}

impl FormerOrders {
    /// Creates the description of the orders before an epoch that begins now.
    ///
    /// `now_ms` is on the clock of all later calls, `unix_ms` the time of day.
    #[must_use]
    pub fn before(now_ms: u64, unix_ms: u64) -> Self {
        Self {
            ended_ms: now_ms,
            ended_unix_ms: unix_ms,
        }
    }

    /// Returns the time until which a process of an engine may carry out an order to an earlier one,
    /// in milliseconds.
    ///
    /// Such an order was sent before this process started and before the epoch began.
    #[must_use]
    pub fn carried_out_until_ms(&self, born_unix_ms: Option<u64>) -> u64 {
        let started_unix_ms = born_unix_ms.map_or(u64::MAX, |born_unix_ms| {
            born_unix_ms.saturating_add(CLOCK_ERROR_MAX_MS)
        });
        let until_unix_ms = started_unix_ms.saturating_add(LATE_MAX_MS);
        let left_ms = until_unix_ms.saturating_sub(self.ended_unix_ms);
        self.ended_ms + left_ms.min(LATE_MAX_MS)
    }
}
