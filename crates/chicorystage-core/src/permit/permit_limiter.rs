use std::collections::HashMap;

use chicorystage_api::inventory::Class;
use chicorystage_api::name::VmId;
use chicorystage_api::peer::{PermitKind, PermitRequest};

use crate::permit::PermitLimits;
use crate::permit::start_rate_window::StartRateWindow;

/// Time after which a model's permit expires, in milliseconds.
const MODEL_PERMIT_MS: u64 = 120_000;
/// Time after which an adapter's permit expires, in milliseconds.
const ADAPTER_PERMIT_MS: u64 = 5_000;
/// Interval between two polls for a model's permit, in milliseconds.
const MODEL_RETRY_MS: u64 = 100;
/// Interval between two polls for an adapter's permit, in milliseconds.
const ADAPTER_RETRY_MS: u64 = 5;
/// Number of poll intervals without a poll after which a waiting request is dropped.
const MISSED_POLLS_MAX: u64 = 4;

/// Identity of a permit request: the requesting VM and the ticket number that it chose.
type PermitRequestId = (VmId, u64);

/// Grants permits to fetch weights within the limits.
///
/// Requests wait in order of class, deadline and first poll. A permit counts against the limits
/// until it is released or expires.
///
/// A poll is linear in the number of waiting requests and outstanding permits.
#[derive(Clone, Debug, Default)]
pub struct PermitLimiter {
    granted: HashMap<u64, Granted>,
    waiting: HashMap<PermitRequestId, Waiting>,
    load_starts: StartRateWindow,
    last_id: u64,
}

/// Result of one poll for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitDecision {
    /// The fetch may start.
    Granted {
        /// Identity of the permit, needed to release it.
        permit_id: u64,
        /// Time after which the permit expires, in milliseconds.
        expires_in_ms: u64,
    },
    /// No permit is available yet; poll again.
    Wait {
        /// Delay before the next poll, in milliseconds.
        retry_in_ms: u64,
    },
}

#[derive(Clone, Debug)]
struct Granted {
    request_id: PermitRequestId,
    kind: PermitKind,
    expires_ms: u64,
}

#[derive(Clone, Debug)]
struct Waiting {
    kind: PermitKind,
    class: Class,
    deadline_ms: u64,
    first_polled_ms: u64,
    last_polled_ms: u64,
}

impl PermitLimiter {
    /// Creates a limiter whose permit identities follow `first_id`.
    ///
    /// With a random `first_id`, the late release of a permit that an earlier
    /// router granted matches no permit of this one.
    #[must_use]
    pub fn new(first_id: u64) -> Self {
        Self {
            last_id: first_id,
            ..Self::default()
        }
    }

    /// Handles one poll; a repeated poll after a grant returns the same permit.
    pub fn acquire(
        &mut self,
        request: &PermitRequest,
        limits: PermitLimits,
        now_ms: u64,
    ) -> PermitDecision {
        self.expire(now_ms);
        let request_id = (request.vm.clone(), request.ticket);
        if let Some(known) = self.granted_permit(&request_id, now_ms) {
            return known;
        }
        self.record_poll(&request_id, request, now_ms);
        let free = self.available(request.kind, limits, now_ms);
        if self.count_ahead(&request_id) >= free {
            return PermitDecision::Wait {
                retry_in_ms: retry_ms(request.kind),
            };
        }
        if request.kind == PermitKind::Model {
            self.load_starts.record_start(now_ms);
        }
        self.waiting.remove(&request_id);
        self.grant(request_id, request.kind, now_ms)
    }

    /// Releases a permit; an unknown identity is ignored.
    pub fn release(&mut self, permit_id: u64) {
        self.granted.remove(&permit_id);
    }

    /// Returns the number of outstanding permits of a kind.
    #[must_use]
    pub fn outstanding(&self, kind: PermitKind) -> usize {
        self.granted
            .values()
            .filter(|granted| granted.kind == kind)
            .count()
    }

    fn expire(&mut self, now_ms: u64) {
        self.granted
            .retain(|_, granted| granted.expires_ms > now_ms);
        self.waiting.retain(|_, waiting| {
            waiting.last_polled_ms + MISSED_POLLS_MAX * retry_ms(waiting.kind) > now_ms
        });
    }

    fn granted_permit(&self, request_id: &PermitRequestId, now_ms: u64) -> Option<PermitDecision> {
        let (id, granted) = self
            .granted
            .iter()
            .find(|(_, granted)| granted.request_id == *request_id)?;
        Some(PermitDecision::Granted {
            permit_id: *id,
            expires_in_ms: granted.expires_ms - now_ms,
        })
    }

    fn record_poll(&mut self, request_id: &PermitRequestId, request: &PermitRequest, now_ms: u64) {
        let entry = self.waiting.entry(request_id.clone()).or_insert(Waiting {
            kind: request.kind,
            class: request.class,
            deadline_ms: 0,
            first_polled_ms: now_ms,
            last_polled_ms: now_ms,
        });
        entry.class = request.class;
        entry.deadline_ms = now_ms.saturating_add(request.time_left_ms);
        entry.last_polled_ms = now_ms;
    }

    /// Returns the number of permits of a kind that may be granted now.
    fn available(&mut self, kind: PermitKind, limits: PermitLimits, now_ms: u64) -> usize {
        let free = limits
            .concurrent_max(kind)
            .saturating_sub(self.outstanding(kind));
        match kind {
            PermitKind::Model => {
                free.min(self.load_starts.remaining(limits.loads_per_s_max, now_ms))
            }
            PermitKind::Adapter => free,
        }
    }

    /// Returns the number of waiting requests of the same kind that are ranked before a request.
    fn count_ahead(&self, request_id: &PermitRequestId) -> usize {
        let Some(own) = self.waiting.get(request_id) else {
            return 0;
        };
        let rank = |request_id: &PermitRequestId, entry: &Waiting| {
            (
                entry.class,
                entry.deadline_ms,
                entry.first_polled_ms,
                request_id.clone(),
            )
        };
        let own_rank = rank(request_id, own);
        self.waiting
            .iter()
            .filter(|(other, entry)| entry.kind == own.kind && rank(other, entry) < own_rank)
            .count()
    }

    fn grant(
        &mut self,
        request_id: PermitRequestId,
        kind: PermitKind,
        now_ms: u64,
    ) -> PermitDecision {
        self.last_id = self.last_id.wrapping_add(1);
        let expires_in_ms = match kind {
            PermitKind::Model => MODEL_PERMIT_MS,
            PermitKind::Adapter => ADAPTER_PERMIT_MS,
        };
        let granted = Granted {
            request_id,
            kind,
            expires_ms: now_ms.saturating_add(expires_in_ms),
        };
        self.granted.insert(self.last_id, granted);
        PermitDecision::Granted {
            permit_id: self.last_id,
            expires_in_ms,
        }
    }
}

fn retry_ms(kind: PermitKind) -> u64 {
    match kind {
        PermitKind::Model => MODEL_RETRY_MS,
        PermitKind::Adapter => ADAPTER_RETRY_MS,
    }
}
