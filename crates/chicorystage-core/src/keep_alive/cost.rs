/// Idle time that weighs as much as cold-start time of the same length, where
/// a deployment weighs both alike.
const IDLE_PER_COLD_START: f64 = 30.0;
/// The weight at which only cold starts count.
const WEIGHT_MAX: u32 = 100;
/// Least counterweight of idle time, so that costs stay finite.
const COUNTERWEIGHT_MIN: f64 = 0.01;
/// Parts of an accelerator in the whole.
const PERMILLE: f64 = 1_000.0;

/// What a cold start and idle time of one replica cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeepAliveCost {
    /// Time that a reload would take from the nearest cache tier, in milliseconds.
    pub reload_ms: u64,
    /// Share of the accelerator's memory that the replica takes, in thousandths.
    pub memory_permille: u32,
    /// Weight of cold starts against idle time, 0 to 100.
    pub cold_start_weight_percent: u32,
    /// Shortest time an idle replica stays loaded, in milliseconds.
    pub keep_alive_min_ms: u64,
    /// Longest time an idle replica stays loaded, in milliseconds.
    pub keep_alive_max_ms: u64,
}

impl KeepAliveCost {
    /// Returns the idle time that one cold start is worth, in milliseconds.
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
