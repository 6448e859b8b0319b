use crate::deployment::{Route, RouteKind};

/// Shortest time for which a request waits for a token of a limited endpoint, in milliseconds.
const LIMITED_WAIT_MIN_MS: u64 = 200;
/// Minimum time that a caller is assumed to wait for the first event of a stream, in
/// milliseconds.
const FIRST_EVENT_MIN_MS: u64 = 2_000;
/// Multiple of the latency objective that a caller waits for the first event of a stream.
const FIRST_EVENT_OBJECTIVES: u64 = 4;
/// Multiple of the pause objective that a caller waits for the next event of a stream.
const SILENCE_PAUSES: u64 = 8;
/// Time reserved for sending a request and its first event, in milliseconds.
const SEND_MS: u64 = 150;
/// Divisor of the time left that gives the longest delay after which refused callers still retry.
const RETRY_DELAY_DIVISOR: u64 = 3;
/// Minimum delay that a refused caller is asked to wait, in milliseconds; shorter only if a third
/// of its time left is shorter.
const RETRY_DELAY_MIN_MS: u64 = 100;

/// Returns how long a request may wait for an endpoint, in milliseconds from its arrival.
///
/// Callers abandon a stream that stays silent, so waiting longer has no benefit. `deadline_ms` is
/// the time that the caller and the route allow.
#[must_use]
pub fn max_wait_ms(route: &Route, deadline_ms: u64) -> u64 {
    let allowed_ms = deadline_ms.saturating_sub(SEND_MS);
    match route.kind {
        RouteKind::Stream { .. } => allowed_ms.min(tolerated_silence_ms(route) - SEND_MS),
        RouteKind::Idempotent | RouteKind::Once => allowed_ms,
    }
}

/// Returns the longest wait for a token of a limited endpoint, in milliseconds.
///
/// However long the queue, the limit lets as many requests through; those of a short one are answered
/// in time.
#[must_use]
pub fn limited_wait_ms(route: &Route) -> u64 {
    route.objective_ms.max(LIMITED_WAIT_MIN_MS)
}

/// Returns the silence after which callers abandon a stream, in milliseconds.
#[must_use]
pub fn tolerated_silence_ms(route: &Route) -> u64 {
    FIRST_EVENT_MIN_MS
        .max(FIRST_EVENT_OBJECTIVES * route.objective_ms)
        .max(SILENCE_PAUSES * route.pause_objective_ms)
}

/// Returns the delay after which a refused caller should retry, in milliseconds.
///
/// `ready_in_ms` is the time until the cause of the refusal should be gone, and `left_ms` the
/// time until the caller's deadline. The delay is at least 100 ms, but never more than a third of
/// the time left, since callers do not retry after a longer one.
#[must_use]
pub fn retry_delay_ms(ready_in_ms: u64, left_ms: u64) -> u64 {
    ready_in_ms
        .max(RETRY_DELAY_MIN_MS)
        .min(left_ms / RETRY_DELAY_DIVISOR)
}
