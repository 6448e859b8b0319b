use std::collections::VecDeque;

/// Share of the deployment's limit that is used; the rest covers miscounts of the routers.
const USABLE_SHARE: f64 = 0.7;
/// Buckets into which a window is divided.
const BUCKETS: u64 = 20;

/// One router's part of a retry budget that all routers share.
///
/// In any window, the retries of all routers together must not exceed a ratio
/// of their first attempts plus a fixed allowance. Each router limits itself
/// to that ratio of its own first attempts plus an equal part of the
/// allowance, so that the routers need not exchange messages.
#[derive(Clone, Debug)]
pub struct SharedRetryBudget {
    ratio: f64,
    allowance: f64,
    bucket_ms: u64,
    /// First attempts and retries of the last window, oldest bucket first.
    buckets: VecDeque<Bucket>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    number: u64,
    first_attempts: u32,
    retries: u32,
}

impl SharedRetryBudget {
    /// Creates a budget of `ratio` retries per first attempt plus `allowance` retries in each window.
    #[must_use]
    pub fn new(ratio: f64, allowance: f64, window_ms: u64) -> Self {
        Self {
            ratio,
            allowance,
            bucket_ms: (window_ms / BUCKETS).max(1),
            buckets: VecDeque::new(),
        }
    }

    /// Records a first attempt.
    pub fn record_first_attempt(&mut self, now_ms: u64) {
        self.current_bucket(now_ms).first_attempts += 1;
    }

    /// Takes one retry from the budget; returns false, and takes nothing, if none is left.
    ///
    /// `routers` is the number of routers known to share the budget; 0 counts as 1.
    pub fn try_take(&mut self, now_ms: u64, routers: usize) -> bool {
        self.current_bucket(now_ms);
        let first_attempts: u32 = self
            .buckets
            .iter()
            .map(|bucket| bucket.first_attempts)
            .sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        #[expect(
            clippy::cast_precision_loss,
            reason = "routers are far fewer than the mantissa holds"
        )]
        let allowance_share = self.allowance / routers.max(1) as f64;
        let limit = USABLE_SHARE * (self.ratio * f64::from(first_attempts) + allowance_share);
        if f64::from(retries + 1) > limit {
            return false;
        }
        self.current_bucket(now_ms).retries += 1;
        true
    }

    fn current_bucket(&mut self, now_ms: u64) -> &mut Bucket {
        let number = now_ms / self.bucket_ms;
        while let Some(oldest) = self.buckets.front() {
            if oldest.number + BUCKETS > number {
                break;
            }
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|last| last.number < number) {
            self.buckets.push_back(Bucket {
                number,
                first_attempts: 0,
                retries: 0,
            });
        }
        self.buckets
            .back_mut()
            .expect("a bucket was pushed where there was none")
    }
}
