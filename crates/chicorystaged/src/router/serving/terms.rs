use std::time::Duration;

use chicorystage_api::inventory::Class;
use chicorystage_api::name::{Digest, IdempotencyKey, RequestId};
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_api::work::WorkSpec;
use tokio::time::Instant;

use crate::router::event::Admission;
use crate::router::serving::{CallerRequest, work_key};
use crate::timer::Clock;

/// The parameters under which a request was admitted.
#[derive(Clone, Debug)]
pub(crate) struct RequestTerms {
    /// Id of the request.
    pub(crate) request_id: RequestId,
    /// Idempotency key; always present if the work is not idempotent.
    pub(crate) key: Option<IdempotencyKey>,
    /// Priority class.
    pub(crate) class: Class,
    /// Timeout, counted from the request's arrival, in milliseconds.
    pub(crate) timeout_ms: u64,
    /// Deadline as a reading of the router's clock, in milliseconds.
    pub(crate) deadline_ms: u64,
    /// The same deadline for tokio's timers.
    pub(crate) deadline: Instant,
    /// Whether repeating the work has no further effect.
    pub(crate) idempotent: bool,
    /// Digest of the work, equal for all requests for the same work.
    pub(crate) digest: Digest,
    /// Key of the prompt's prefix; `None` if the prompt is too short.
    pub(crate) prefix_key: Option<u64>,
}

impl RequestTerms {
    /// Checks the requested timeout, class and key against the caller's permissions.
    ///
    /// # Errors
    ///
    /// Refuses a timeout above the maximum, a class above the caller's, and a
    /// call that is not idempotent without an idempotency key.
    pub(crate) fn check(
        clock: Clock,
        received_ms: u64,
        request: &CallerRequest,
        admission: &Admission,
        work: &WorkSpec,
    ) -> Result<Self, Refusal> {
        let head = &request.head;
        let timeout_ms = check_timeout(admission, head.timeout_ms)?;
        let class = check_class(admission, head.class)?;
        let idempotent = work_key::is_idempotent(work);
        if !idempotent && head.key.is_none() {
            let detail = "the call is not idempotent; allowed: Idempotency-Key: KEY";
            return Err(Refusal::not_run(RefusalCode::KeyRequired, detail));
        }
        let deadline_ms = received_ms + timeout_ms;
        let left_ms = deadline_ms.saturating_sub(clock.now_ms());
        Ok(Self {
            request_id: request.request_id.clone(),
            key: head.key.clone(),
            class,
            timeout_ms,
            deadline_ms,
            deadline: Instant::now() + Duration::from_millis(left_ms),
            idempotent,
            digest: work_key::digest(work),
            prefix_key: work_key::prefix(work),
        })
    }
}

fn check_timeout(admission: &Admission, given_ms: Option<u64>) -> Result<u64, Refusal> {
    let timeout_ms = given_ms.unwrap_or(admission.timeout_default_ms);
    let allowed_ms = admission.timeout_max_ms;
    if timeout_ms <= allowed_ms {
        return Ok(timeout_ms);
    }
    let detail = format!("X-Request-Timeout-Ms: given {timeout_ms}, allowed: up to {allowed_ms}");
    Err(Refusal::not_run(RefusalCode::BadTimeout, detail))
}

fn check_class(admission: &Admission, given: Option<Class>) -> Result<Class, Refusal> {
    let highest = admission.caller.class;
    let class = given.unwrap_or(highest);
    if class >= highest {
        return Ok(class);
    }
    let detail = format!("X-Request-Class: given {class}, allowed: {highest} or lower");
    Err(Refusal::not_run(RefusalCode::BadClass, detail))
}
