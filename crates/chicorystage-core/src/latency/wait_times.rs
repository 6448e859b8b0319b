use crate::latency::WaitReason;

/// Time that a request has waited at the router, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaitTimes {
    /// Times in milliseconds, in the order of [`WaitReason::ALL`].
    times_ms: [u64; WaitReason::ALL.len()],
}

impl WaitTimes {
    /// Adds the time of one wait.
    pub fn add(&mut self, reason: WaitReason, time_ms: u64) {
        self.times_ms[reason as usize] += time_ms;
    }

    /// Returns the time waited for all reasons together, in milliseconds.
    #[must_use]
    pub fn total_ms(&self) -> u64 {
        self.times_ms.iter().sum()
    }

    /// Returns the reason of the longest time and that time in milliseconds; `None` without any
    /// wait.
    #[must_use]
    pub fn longest(&self) -> Option<(WaitReason, u64)> {
        let times = WaitReason::ALL.into_iter().zip(self.times_ms);
        times
            .filter(|(_, time_ms)| *time_ms > 0)
            .max_by_key(|(_, time_ms)| *time_ms)
    }
}
