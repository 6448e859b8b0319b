use std::collections::HashMap;

use chicorystage_api::name::CallerName;

use crate::limits::{CallerLimits, LimitExceeded};

/// Parts of one token; a bucket refilled at one token a second gains one part a millisecond.
const PARTS_PER_TOKEN: u64 = 1_000;
/// Number of records above which idle records with a full bucket are dropped.
const IDLE_METERS_DROPPED_ABOVE: usize = 1_024;

/// Token bucket and count of requests in progress for each caller.
#[derive(Clone, Debug, Default)]
pub struct CallerMeters {
    meters: HashMap<CallerName, Meter>,
}

#[derive(Clone, Copy, Debug)]
struct Meter {
    /// Content of the token bucket at `refilled_ms`.
    parts: u64,
    capacity_parts: u64,
    refilled_ms: u64,
    in_progress: u32,
}

impl CallerMeters {
    /// Admits a request: takes one token and counts the request as in progress.
    ///
    /// # Errors
    ///
    /// Returns the limit that the request would exceed; nothing is counted then.
    pub fn admit(
        &mut self,
        now_ms: u64,
        caller: &CallerName,
        limits: CallerLimits,
    ) -> Result<(), LimitExceeded> {
        self.drop_idle(now_ms);
        let capacity_parts = u64::from(limits.burst.max(1)) * PARTS_PER_TOKEN;
        let meter = self.meters.entry(caller.clone()).or_insert(Meter {
            parts: capacity_parts,
            capacity_parts,
            refilled_ms: now_ms,
            in_progress: 0,
        });
        meter.refill(now_ms, limits.rate_per_s, capacity_parts);
        if meter.in_progress >= limits.concurrent_max {
            return Err(LimitExceeded::Concurrency);
        }
        if meter.parts < PARTS_PER_TOKEN {
            return Err(LimitExceeded::Rate {
                retry_after_ms: meter.time_to_token_ms(limits.rate_per_s),
            });
        }
        meter.parts -= PARTS_PER_TOKEN;
        meter.in_progress += 1;
        Ok(())
    }

    /// Records that an admitted request has ended.
    pub fn release(&mut self, caller: &CallerName) {
        if let Some(meter) = self.meters.get_mut(caller) {
            meter.in_progress = meter.in_progress.saturating_sub(1);
        }
    }

    /// Returns the number of a caller's requests in progress; 0 for an unknown caller.
    #[must_use]
    pub fn in_progress(&self, caller: &CallerName) -> u32 {
        self.meters.get(caller).map_or(0, |meter| meter.in_progress)
    }

    /// Returns the number of requests in progress of all callers; costs one walk of the records.
    #[must_use]
    pub fn in_progress_total(&self) -> u32 {
        self.meters.values().map(|meter| meter.in_progress).sum()
    }

    /// Drops idle records whose bucket would be full by now even at one token a second.
    fn drop_idle(&mut self, now_ms: u64) {
        if self.meters.len() <= IDLE_METERS_DROPPED_ABOVE {
            return;
        }
        self.meters.retain(|_, meter| {
            let gained_parts = now_ms.saturating_sub(meter.refilled_ms);
            meter.in_progress > 0 || meter.parts + gained_parts < meter.capacity_parts
        });
    }
}

impl Meter {
    fn refill(&mut self, now_ms: u64, rate_per_s: u32, capacity_parts: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms);
        let gained_parts = elapsed_ms.saturating_mul(u64::from(rate_per_s));
        self.parts = self.parts.saturating_add(gained_parts).min(capacity_parts);
        self.capacity_parts = capacity_parts;
        self.refilled_ms = self.refilled_ms.max(now_ms);
    }

    fn time_to_token_ms(&self, rate_per_s: u32) -> Option<u64> {
        let missing_parts = PARTS_PER_TOKEN - self.parts;
        (rate_per_s > 0).then(|| missing_parts.div_ceil(u64::from(rate_per_s)))
    }
}
