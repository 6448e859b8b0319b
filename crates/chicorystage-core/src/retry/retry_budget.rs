/// Parts of one retry; a first attempt adds one part for each percent of the retry share.
const PARTS_PER_RETRY: u64 = 100;
/// Largest balance of the budget, in retries; also the balance at start.
const RETRIES_BALANCE_MAX: u64 = 20;

/// The retry budget of one router, as a share of its first attempts.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    balance_parts: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance_parts: RETRIES_BALANCE_MAX * PARTS_PER_RETRY,
        }
    }
}

impl RetryBudget {
    /// Records a first attempt, which adds `percent` hundredths of a retry up to the largest balance.
    pub fn record_first_attempt(&mut self, percent: u32) {
        let full = RETRIES_BALANCE_MAX * PARTS_PER_RETRY;
        self.balance_parts = (self.balance_parts + u64::from(percent)).min(full);
    }

    /// Takes one retry from the budget; returns false, and takes nothing, if less than one is left.
    pub fn try_take(&mut self) -> bool {
        let Some(left) = self.balance_parts.checked_sub(PARTS_PER_RETRY) else {
            return false;
        };
        self.balance_parts = left;
        true
    }
}
