use std::collections::HashMap;

use chicorystage_api::name::ServiceName;

/// Time in which as many requests arrive as are in progress, where they stay long, in milliseconds.
const LONG_TURNOVER_MS: f64 = 1_000.0;
/// Number of report ages beyond which requests stay long: a report then tells the load.
const LONG_AGES: f64 = 2.0;
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

/// What has become of reported requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct Renewal {
    /// Part of them that counts as still in progress.
    pub kept_part: f64,
    /// Requests that have come since, as a part of the reported ones.
    pub new_part: f64,
}

impl Turnover {
    /// Records that a request has ended which stayed for `time_ms`.
    pub(super) fn record(&mut self, service: &ServiceName, time_ms: u64) {
        let time_ms = as_f64(time_ms);
        let Some(mean_ms) = self.mean_ms.get_mut(service) else {
            self.mean_ms.insert(service.clone(), time_ms);
            return;
        };
        *mean_ms += (time_ms - *mean_ms) * NEWEST_WEIGHT;
    }

    /// Returns the part of the requests in progress that end within a time; at most 1.
    ///
    /// Before it is known how long requests stay, it counts as long.
    pub(super) fn ended_part(&self, service: &ServiceName, time_ms: u64) -> f64 {
        let mean_ms = self.mean_ms.get(service).copied();
        let mean_ms = mean_ms.unwrap_or(LONG_TURNOVER_MS).max(MEAN_MIN_MS);
        (as_f64(time_ms) / mean_ms).min(1.0)
    }

    /// Returns what has become of the requests reported `age_ms` ago.
    pub(super) fn renewal(&self, service: &ServiceName, age_ms: u64) -> Renewal {
        let age_ms = as_f64(age_ms);
        let mean_ms = self.mean_ms.get(service).copied();
        match mean_ms.filter(|mean_ms| *mean_ms < age_ms * LONG_AGES) {
            Some(mean_ms) => {
                let kept_part = (-age_ms / mean_ms.max(MEAN_MIN_MS)).exp();
                Renewal {
                    kept_part,
                    new_part: 1.0 - kept_part,
                }
            }
            None => Renewal {
                kept_part: 1.0,
                new_part: (age_ms / LONG_TURNOVER_MS).min(1.0),
            },
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "a time below a day")]
fn as_f64(time_ms: u64) -> f64 {
    time_ms as f64
}
