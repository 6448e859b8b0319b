use std::collections::VecDeque;

/// Part of the deployment's allowance that is spent; the rest covers what the routers miscount.
const SPENT_SHARE: f64 = 0.7;
/// Buckets that a window is counted in.
const BUCKETS: u64 = 20;

/// This router's part of a retry budget that all routers share.
///
/// Over any window the retries of all routers together may not exceed a ratio
/// of the first tries plus a fixed allowance. Each router spends the ratio of
/// its own first tries and an equal part of the allowance, so that no message
/// is needed.
#[derive(Clone, Debug)]
pub struct SharedBudget {
    ratio: f64,
    allowance: f64,
    bucket_ms: u64,
    /// First tries and retries of the last window, oldest first.
    buckets: VecDeque<Bucket>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    number: u64,
    first_tries: u32,
    retries: u32,
}

impl SharedBudget {
    /// Creates a budget of `ratio` retries a first try plus `allowance` in each window.
    #[must_use]
    pub fn new(ratio: f64, allowance: f64, window_ms: u64) -> Self {
        Self {
            ratio,
            allowance,
            bucket_ms: (window_ms / BUCKETS).max(1),
            buckets: VecDeque::new(),
        }
    }

    /// Counts a first try.
    pub fn first_try(&mut self, now_ms: u64) {
        self.bucket(now_ms).first_tries += 1;
    }

    /// Takes one retry and returns whether there was one.
    ///
    /// `routers` is the number of routers that are known to share the budget.
    pub fn take(&mut self, now_ms: u64, routers: usize) -> bool {
        self.bucket(now_ms);
        let first_tries: u32 = self.buckets.iter().map(|bucket| bucket.first_tries).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        #[expect(
            clippy::cast_precision_loss,
            reason = "routers are far fewer than the mantissa holds"
        )]
        let part = self.allowance / routers.max(1) as f64;
        let limit = SPENT_SHARE * (self.ratio * f64::from(first_tries) + part);
        if f64::from(retries + 1) > limit {
            return false;
        }
        self.bucket(now_ms).retries += 1;
        true
    }

    fn bucket(&mut self, now_ms: u64) -> &mut Bucket {
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
                first_tries: 0,
                retries: 0,
            });
        }
        self.buckets
            .back_mut()
            .expect("a bucket was pushed where there was none")
    }
}
