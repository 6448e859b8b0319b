use std::collections::VecDeque;

/// Largest number of changes that are kept.
const CHANGES_MAX: usize = 256;

/// How many loads ran at which time.
#[derive(Clone, Debug, Default)]
pub(super) struct RunningLoads {
    /// Times of changes in milliseconds with the number of loads from then on, oldest first.
    changes: VecDeque<(u64, u32)>,
}

impl RunningLoads {
    /// Records the number of loads in progress.
    pub fn record(&mut self, now_ms: u64, running: u32) {
        if self
            .changes
            .back()
            .is_some_and(|(_, last)| *last == running)
        {
            return;
        }
        if self.changes.len() >= CHANGES_MAX {
            self.changes.pop_front();
        }
        self.changes.push_back((now_ms, running));
    }

    /// Returns the mean number of loads over the last `span_ms`, at least one.
    ///
    /// Only the time since the first change that is known counts.
    pub fn mean(&self, now_ms: u64, span_ms: f64) -> f64 {
        let mut until_ms = to_f64(now_ms);
        let from_ms = until_ms - span_ms;
        let (mut loads_ms, mut length_ms) = (0.0, 0.0);
        for (at_ms, running) in self.changes.iter().rev() {
            let begin_ms = to_f64(*at_ms).max(from_ms);
            let part_ms = (until_ms - begin_ms).max(0.0);
            loads_ms += f64::from(*running) * part_ms;
            length_ms += part_ms;
            until_ms = begin_ms;
            if until_ms <= from_ms {
                break;
            }
        }
        if length_ms <= 0.0 {
            let last = self.changes.back().map_or(1, |(_, running)| *running);
            return f64::from(last).max(1.0);
        }
        (loads_ms / length_ms).max(1.0)
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "times of a process are far below the mantissa"
)]
fn to_f64(time_ms: u64) -> f64 {
    time_ms as f64
}
