/// Parts of a retry; a first try fills in one part for each percent of the share.
const PARTS_PER_RETRY: u64 = 100;
/// Retries that are saved up at most, and that a router starts with.
const RETRIES_SAVED_MAX: u64 = 20;

/// Retries that a router may still make.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    parts: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            parts: RETRIES_SAVED_MAX * PARTS_PER_RETRY,
        }
    }
}

impl RetryBudget {
    /// Counts a first try, which allows `percent` hundredths of a retry.
    pub fn first_try(&mut self, percent: u32) {
        let full = RETRIES_SAVED_MAX * PARTS_PER_RETRY;
        self.parts = (self.parts + u64::from(percent)).min(full);
    }

    /// Takes one retry and returns whether there was one.
    pub fn take(&mut self) -> bool {
        let Some(left) = self.parts.checked_sub(PARTS_PER_RETRY) else {
            return false;
        };
        self.parts = left;
        true
    }
}
