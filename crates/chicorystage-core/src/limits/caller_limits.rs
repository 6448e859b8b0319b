use chicorystage_api::inventory::CallerItem;

/// Limits of one caller at one router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Sustained requests per second.
    pub rate_per_s: u32,
    /// Requests that may arrive at once above the sustained rate.
    pub burst: u32,
    /// Requests in progress.
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
