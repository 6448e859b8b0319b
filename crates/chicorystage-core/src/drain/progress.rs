use crate::drain::Remaining;

/// Longest wait for slots and replicas once no work is left, in milliseconds.
pub const RELEASE_WAIT_MAX_MS: u64 = 15_000;

/// Progress of a graceful stop.
#[derive(Clone, Debug)]
#[expect(
    clippy::struct_field_names,
    reason = "fields carry their unit as a suffix"
)]
pub struct Drain {
    max_ms: u64,
    begun_ms: Option<u64>,
    workless_since_ms: Option<u64>,
}

impl Drain {
    /// Creates the state of an agent that serves, with the longest graceful stop.
    #[must_use]
    pub fn new(max_ms: u64) -> Self {
        Self {
            max_ms,
            begun_ms: None,
            workless_since_ms: None,
        }
    }

    /// Begins to leave; returns false where the agent was leaving before.
    pub fn begin(&mut self, now_ms: u64) -> bool {
        if self.begun_ms.is_some() {
            return false;
        }
        self.begun_ms = Some(now_ms);
        true
    }

    /// Returns whether the agent is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.begun_ms.is_some()
    }

    /// Returns whether the agent may exit.
    ///
    /// Accepted work is waited for up to the longest graceful stop. Slots and
    /// replicas that cannot be given up, since the table or the engine is down,
    /// are waited for no longer than [`RELEASE_WAIT_MAX_MS`]: a VM that has left
    /// the platform's list loses its slots anyway.
    pub fn may_exit(&mut self, remaining: &Remaining, now_ms: u64) -> bool {
        let Some(begun_ms) = self.begun_ms else {
            return false;
        };
        if remaining.is_nothing() || now_ms.saturating_sub(begun_ms) >= self.max_ms {
            return true;
        }
        if remaining.has_work() {
            self.workless_since_ms = None;
            return false;
        }
        let since_ms = *self.workless_since_ms.get_or_insert(now_ms);
        now_ms.saturating_sub(since_ms) >= RELEASE_WAIT_MAX_MS
    }
}
