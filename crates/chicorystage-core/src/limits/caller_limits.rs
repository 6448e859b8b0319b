use chicorystage_api::inventory::CallerItem;

/// Rate and concurrency limits of one caller at one router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Sustained requests per second.
    pub rate_per_s: u32,
    /// Capacity of the token bucket, in requests; 0 counts as 1.
    pub burst: u32,
    /// Largest number of requests in progress.
    pub concurrent_max: u32,
}

impl From<&CallerItem> for CallerLimits {
    fn from(caller: &CallerItem) -> Self {
        Self {
            rate_per_s: caller.rate_per_s,
            burst: caller.burst,
            concurrent_max: caller.concurrent_max,
        }
    }
}
