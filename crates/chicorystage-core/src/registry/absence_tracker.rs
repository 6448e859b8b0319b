use std::collections::BTreeSet;

use chicorystage_api::name::EndpointId;

use crate::registry::{Absence, Contact};
use crate::store_era::StoreEra;

/// Number of heartbeat intervals without a heartbeat after which an entry expires.
const EXPIRY_HEARTBEATS: u64 = 3;
/// Time from the first failed call after which further failures are an outage, in milliseconds.
///
/// A call on a new connection is answered sooner if only the first connection was broken.
const OUTAGE_CONFIRMED_MS: u64 = 400;
/// Time within which endpoints register again after the store has returned, in milliseconds.
const REREGISTRATION_MS: u64 = 2_100;

/// Endpoints that are missing from the registry, and the store's outages that may explain it.
///
/// All calls concern the endpoints' table of the store. Times are on one monotonic clock.
#[derive(Clone, Debug)]
pub struct AbsenceTracker {
    /// Shortest outage in which an entry can expire, in milliseconds.
    outage_min_ms: u64,
    /// Failed calls since the last answer; `None` if the last call was answered.
    loss: Option<Loss>,
    /// Time until which absent endpoints are kept, in milliseconds.
    keep_until_ms: u64,
    absent: BTreeSet<EndpointId>,
}

/// First failed call since the store's last answer.
#[derive(Clone, Copy, Debug)]
struct Loss {
    started_ms: u64,
    failed_ms: u64,
}

impl AbsenceTracker {
    /// Creates a tracker for endpoints that renew their entries every `heartbeat_ms`.
    #[must_use]
    pub fn new(heartbeat_ms: u64) -> Self {
        Self {
            outage_min_ms: outage_min_ms(heartbeat_ms),
            loss: None,
            keep_until_ms: 0,
            absent: BTreeSet::new(),
        }
    }

    /// Records a failed call that was sent at `started_ms`; returns whether it is the first since
    /// the last answer.
    pub fn call_failed(&mut self, started_ms: u64, now_ms: u64) -> bool {
        let is_first = self.loss.is_none();
        self.loss.get_or_insert(Loss {
            started_ms,
            failed_ms: now_ms,
        });
        is_first
    }

    /// Records an answered call; returns what it ends if calls had failed before.
    ///
    /// The end of an outage defers the removal of absent endpoints.
    pub fn call_answered(&mut self, now_ms: u64) -> Option<Contact> {
        let loss = self.loss.take()?;
        let away_ms = now_ms.saturating_sub(loss.started_ms);
        let is_confirmed = now_ms >= loss.failed_ms + OUTAGE_CONFIRMED_MS;
        let is_outage = is_confirmed && away_ms >= self.outage_min_ms;
        if is_outage {
            self.keep_until_ms = now_ms + REREGISTRATION_MS;
        }
        Some(Contact { away_ms, is_outage })
    }

    /// Records that the store has returned from an older copy, which may lack live endpoints.
    pub fn store_restored(&mut self, now_ms: u64) {
        self.keep_until_ms = now_ms + REREGISTRATION_MS;
    }

    /// Records that an endpoint is missing from the registry as just read.
    #[must_use]
    pub fn endpoint_absent(&mut self, now_ms: u64, id: &EndpointId) -> Absence {
        if now_ms >= self.keep_until_ms {
            self.absent.remove(id);
            return Absence::Gone;
        }
        self.absent.insert(id.clone());
        Absence::Kept {
            until_ms: self.keep_until_ms,
        }
    }

    /// Records that an endpoint has an entry.
    pub fn endpoint_present(&mut self, id: &EndpointId) {
        self.absent.remove(id);
    }

    /// Returns whether absent endpoints are kept.
    #[must_use]
    pub fn has_absent(&self) -> bool {
        !self.absent.is_empty()
    }

    /// Returns the time from which the absent endpoints count as gone, in milliseconds.
    ///
    /// Returns `None` if there are none, or while the store does not answer: then they cannot
    /// register again.
    #[must_use]
    pub fn due_ms(&self) -> Option<u64> {
        (self.loss.is_none() && self.has_absent()).then_some(self.keep_until_ms)
    }

    /// Returns the absent endpoints that count as gone now, and forgets them.
    #[must_use]
    pub fn take_gone(&mut self, now_ms: u64) -> BTreeSet<EndpointId> {
        match self.due_ms() {
            Some(due_ms) if now_ms >= due_ms => std::mem::take(&mut self.absent),
            _ => BTreeSet::new(),
        }
    }
}

/// Returns whether a read of the registry that began at `read_ms` shows each endpoint that was live then.
///
/// A store that has returned from an older copy lacks those that have registered since the copy was taken,
/// until they register again.
#[must_use]
pub fn shows_live_endpoints(era: &StoreEra, read_ms: u64) -> bool {
    era.had_lasted(read_ms, REREGISTRATION_MS)
}

/// Returns for how long no read of the registry shows each live endpoint yet, in milliseconds.
#[must_use]
pub fn reregistration_left_ms(era: &StoreEra, now_ms: u64) -> u64 {
    era.left_ms(now_ms, REREGISTRATION_MS)
}

/// Returns the time after which the entry of a dead endpoint has expired, in milliseconds.
#[must_use]
pub const fn expiry_ms(heartbeat_ms: u64) -> u64 {
    EXPIRY_HEARTBEATS * heartbeat_ms
}

/// Returns the shortest outage in which an entry can expire, in milliseconds.
///
/// The last heartbeat may have come up to one interval before the outage.
#[must_use]
pub const fn outage_min_ms(heartbeat_ms: u64) -> u64 {
    (EXPIRY_HEARTBEATS - 1) * heartbeat_ms
}
