use std::collections::VecDeque;

/// Length of a slot, in milliseconds.
const SLOT_MS: u64 = 250;

/// Units used within a sliding window, in slots.
///
/// A slot counts until all of it has left the window.
#[derive(Clone, Debug)]
pub(super) struct UseWindow {
    /// Units by slot, the oldest first.
    slots: VecDeque<f64>,
    /// Number of the newest slot since the zero of the clock.
    newest: u64,
}

impl UseWindow {
    /// Creates a window of `window_ms` without any use.
    pub(super) fn new(now_ms: u64, window_ms: u64) -> Self {
        let slots = window_ms.div_ceil(SLOT_MS) + 1;
        Self {
            slots: (0..slots).map(|_| 0.0).collect(),
            newest: now_ms / SLOT_MS,
        }
    }

    /// Lets the slots expire that have left the window.
    pub(super) fn advance(&mut self, now_ms: u64) {
        let newest = now_ms / SLOT_MS;
        let steps = newest.saturating_sub(self.newest);
        let len = u64::try_from(self.slots.len()).unwrap_or(u64::MAX);
        for _ in 0..steps.min(len) {
            self.slots.pop_front();
            self.slots.push_back(0.0);
        }
        self.newest = self.newest.max(newest);
    }

    /// Adds units to the newest slot; a negative number gives some back.
    pub(super) fn add(&mut self, units: f64) {
        if let Some(newest) = self.slots.back_mut() {
            *newest += units;
        }
    }

    /// Adds units in equal parts to all slots.
    pub(super) fn spread(&mut self, units: f64) {
        let part = units / self.len();
        for slot in &mut self.slots {
            *slot += part;
        }
    }

    /// Multiplies what was used.
    pub(super) fn scale(&mut self, factor: f64) {
        for slot in &mut self.slots {
            *slot *= factor;
        }
    }

    /// Returns the units in the window.
    pub(super) fn total(&self) -> f64 {
        self.slots.iter().sum()
    }

    /// Returns the units that leave the window within the next slots, in units a second.
    pub(super) fn expiring_per_s(&self, slots: usize) -> f64 {
        let expiring: f64 = self.slots.iter().take(slots).sum();
        #[expect(clippy::cast_precision_loss, reason = "a few slots")]
        let time_s = (slots as f64) * (SLOT_MS as f64) / super::MS_PER_S;
        (expiring / time_s).max(0.0)
    }

    /// Returns the units by slot, the oldest first.
    pub(super) fn slots(&self) -> Vec<f64> {
        self.slots.iter().copied().collect()
    }

    /// Replaces the units of the newest slots by `slots`, the oldest first.
    pub(super) fn restore(&mut self, slots: &[f64]) {
        let restored = slots.iter().rev();
        for (slot, units) in self.slots.iter_mut().rev().zip(restored) {
            *slot = *units;
        }
    }

    #[expect(clippy::cast_precision_loss, reason = "a few slots")]
    fn len(&self) -> f64 {
        self.slots.len() as f64
    }
}
