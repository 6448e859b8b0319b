/// Idle time that costs as much as one unit of cold-start time, if a deployment weighs both
/// alike.
const IDLE_PER_COLD_START: f64 = 30.0;
/// Weight at which only cold starts count.
const WEIGHT_MAX: u32 = 100;
/// Minimum weight of idle time, so that costs stay finite.
const COUNTERWEIGHT_MIN: f64 = 0.01;
/// Thousandths in a whole accelerator.
const PERMILLE: f64 = 1_000.0;

/// Parameters that determine the cost of a cold start and of idle time for one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeepAliveCost {
    /// Expected duration of a reload from the nearest cache tier, in milliseconds.
    pub reload_ms: u64,
    /// Share of the accelerator's memory that the replica occupies, in thousandths.
    pub memory_permille: u32,
    /// Weight of cold starts relative to idle time, from 0 to 100.
    pub cold_start_weight_percent: u32,
    /// Minimum time for which an idle replica stays loaded, in milliseconds.
    pub keep_alive_min_ms: u64,
    /// Maximum time for which an idle replica stays loaded, in milliseconds.
    pub keep_alive_max_ms: u64,
}

impl KeepAliveCost {
    /// Returns the idle time that costs as much as one cold start, in milliseconds.
    #[must_use]
    pub(crate) fn cold_start_in_idle_ms(&self) -> f64 {
        let weight = self.cold_start_weight_percent.min(WEIGHT_MAX);
        let counterweight = f64::from(WEIGHT_MAX - weight).max(COUNTERWEIGHT_MIN);
        let ratio = f64::from(weight) / counterweight;
        let share = f64::from(self.memory_permille.max(1)) / PERMILLE;
        #[expect(
            clippy::cast_precision_loss,
            reason = "load times are far below the exact range"
        )]
        let reload_ms = self.reload_ms as f64;
        reload_ms * IDLE_PER_COLD_START * ratio / share
    }
}
