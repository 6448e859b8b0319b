use std::collections::VecDeque;

/// Loads from the weight store that run at once at full speed, until observed otherwise.
const AT_ONCE_MAX: usize = 4;

/// Pace of loads from the weight store over all engines.
#[derive(Clone, Debug, Default)]
pub struct StorePace {
    started_ms: VecDeque<u64>,
}

impl StorePace {
    /// Returns whether another load may start.
    ///
    /// `running` counts loads under way; `limit` is what a window allows.
    pub fn allows(&mut self, now_ms: u64, running: usize, window_ms: u64, limit: f64) -> bool {
        while let Some(oldest) = self.started_ms.front() {
            if oldest + window_ms > now_ms {
                break;
            }
            self.started_ms.pop_front();
        }
        #[expect(
            clippy::cast_precision_loss,
            reason = "loads of a window are far fewer than the mantissa holds"
        )]
        let started = self.started_ms.len() as f64;
        running < AT_ONCE_MAX && started + 1.0 <= limit
    }

    /// Notes that a load starts.
    pub fn started(&mut self, now_ms: u64) {
        self.started_ms.push_back(now_ms);
    }
}
