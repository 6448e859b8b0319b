use crate::drain::Remaining;

/// Longest wait for the release of slots and replicas once no work remains, in milliseconds.
pub const RELEASE_WAIT_MAX_MS: u64 = 15_000;

/// Progress of an agent's graceful stop.
#[derive(Clone, Debug)]
#[expect(
    clippy::struct_field_names,
    reason = "fields carry their unit as a suffix"
)]
pub struct Drain {
    max_ms: u64,
    begun_ms: Option<u64>,
    idle_since_ms: Option<u64>,
}

impl Drain {
    /// Creates the state of a serving agent; `max_ms` bounds the duration of a graceful stop.
    #[must_use]
    pub fn new(max_ms: u64) -> Self {
        Self {
            max_ms,
            begun_ms: None,
            idle_since_ms: None,
        }
    }

    /// Starts the drain; returns false if it had already started.
    pub fn begin(&mut self, now_ms: u64) -> bool {
        if self.begun_ms.is_some() {
            return false;
        }
        self.begun_ms = Some(now_ms);
        true
    }

    /// Returns whether the drain has started.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.begun_ms.is_some()
    }

    /// Returns whether the agent may exit.
    ///
    /// Accepted work delays the exit up to the maximum duration of the graceful
    /// stop. Slots and replicas that cannot be released, because the table or the
    /// engine is down, delay it by at most [`RELEASE_WAIT_MAX_MS`]: a VM that has
    /// left the platform's list loses its slots anyway.
    pub fn may_exit(&mut self, remaining: &Remaining, now_ms: u64) -> bool {
        let Some(begun_ms) = self.begun_ms else {
            return false;
        };
        if remaining.is_empty() || now_ms.saturating_sub(begun_ms) >= self.max_ms {
            return true;
        }
        if remaining.has_work() {
            self.idle_since_ms = None;
            return false;
        }
        let since_ms = *self.idle_since_ms.get_or_insert(now_ms);
        now_ms.saturating_sub(since_ms) >= RELEASE_WAIT_MAX_MS
    }
}
