use std::collections::VecDeque;

/// Length of the window over which starts are counted, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// Counts load starts in a sliding window of one second.
#[derive(Clone, Debug, Default)]
pub(crate) struct StartRateWindow {
    starts_ms: VecDeque<u64>,
}

impl StartRateWindow {
    /// Returns the number of further starts that `per_s_max` allows now.
    pub(crate) fn remaining(&mut self, per_s_max: u32, now_ms: u64) -> usize {
        while self
            .starts_ms
            .front()
            .is_some_and(|start_ms| start_ms + WINDOW_MS <= now_ms)
        {
            self.starts_ms.pop_front();
        }
        let limit = usize::try_from(per_s_max).unwrap_or(usize::MAX);
        limit.saturating_sub(self.starts_ms.len())
    }

    pub(crate) fn record_start(&mut self, now_ms: u64) {
        self.starts_ms.push_back(now_ms);
    }
}
