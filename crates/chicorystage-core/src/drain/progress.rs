use crate::drain::Remaining;

/// Progress of a graceful stop.
#[derive(Clone, Debug)]
pub struct Drain {
    max_ms: u64,
    begun_ms: Option<u64>,
}

impl Drain {
    /// Creates the state of an agent that serves, with the longest graceful stop.
    #[must_use]
    pub fn new(max_ms: u64) -> Self {
        Self {
            max_ms,
            begun_ms: None,
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
    #[must_use]
    pub fn may_exit(&self, remaining: &Remaining, now_ms: u64) -> bool {
        let Some(begun_ms) = self.begun_ms else {
            return false;
        };
        remaining.is_nothing() || now_ms.saturating_sub(begun_ms) >= self.max_ms
    }
}
