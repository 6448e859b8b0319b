use std::collections::HashMap;

use chicorystage_api::name::ServiceName;

/// Time for which requests are assumed to stay before one has ended, in milliseconds.
const ASSUMED_MS: f64 = 1_000.0;
/// Weight of the newest request in the mean.
const NEWEST_WEIGHT: f64 = 0.05;
/// Shortest mean time, in milliseconds.
const MEAN_MIN_MS: f64 = 5.0;

/// How long requests stay at the endpoints of each service, learned from those that end.
///
/// What is known of other routers' requests is as old as their reports. Where requests stay for much
/// longer than that, the reports tell the load. Where they stay for less, those that were reported have
/// ended, and others have come that went elsewhere.
#[derive(Clone, Debug, Default)]
pub(super) struct Turnover {
    mean_ms: HashMap<ServiceName, f64>,
}

impl Turnover {
    /// Records that a request has ended which stayed for `time_ms`.
    pub(super) fn record(&mut self, service: &ServiceName, time_ms: u64) {
        #[expect(clippy::cast_precision_loss, reason = "a time below a day")]
        let time_ms = time_ms as f64;
        let Some(mean_ms) = self.mean_ms.get_mut(service) else {
            self.mean_ms.insert(service.clone(), time_ms);
            return;
        };
        *mean_ms += (time_ms - *mean_ms) * NEWEST_WEIGHT;
    }

    /// Returns the part of the requests reported `age_ms` ago that are still in progress.
    pub(super) fn kept_part(&self, service: &ServiceName, age_ms: u64) -> f64 {
        let mean_ms = self.mean_ms.get(service).copied().unwrap_or(ASSUMED_MS);
        #[expect(clippy::cast_precision_loss, reason = "a time below a day")]
        let age_ms = age_ms as f64;
        (-age_ms / mean_ms.max(MEAN_MIN_MS)).exp()
    }
}
