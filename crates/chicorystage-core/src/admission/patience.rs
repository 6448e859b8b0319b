use crate::deployment::{Route, RouteKind};

/// Shortest time that a caller waits for the first event of a stream, in milliseconds.
const FIRST_EVENT_MIN_MS: u64 = 2_000;
/// Latency objectives that a caller waits for the first event of a stream.
const OBJECTIVES_WAITED: u64 = 4;
/// Longest pauses that a caller waits for the next event of a stream.
const PAUSES_WAITED: u64 = 8;
/// Time kept back for sending a request and its first event, in milliseconds.
const SEND_MS: u64 = 150;
/// Part of the time left within which callers come back after a refusal.
const COME_BACK_PART: u64 = 3;
/// Shortest pause that a refused caller is asked for, in milliseconds.
const COME_BACK_MIN_MS: u64 = 100;

/// Returns how long a request may wait for an endpoint, counted from its arrival.
///
/// Callers leave a stream that stays silent, so that waiting longer serves
/// nobody. `deadline_ms` is what the caller and the route allow.
#[must_use]
pub fn patience_ms(route: &Route, deadline_ms: u64) -> u64 {
    let allowed_ms = deadline_ms.saturating_sub(SEND_MS);
    match route.kind {
        RouteKind::Stream { .. } => allowed_ms.min(silence_borne_ms(route) - SEND_MS),
        RouteKind::Idempotent | RouteKind::Once => allowed_ms,
    }
}

/// Returns the silence after which a caller leaves a stream, in milliseconds.
#[must_use]
pub fn silence_borne_ms(route: &Route) -> u64 {
    FIRST_EVENT_MIN_MS
        .max(OBJECTIVES_WAITED * route.objective_ms)
        .max(PAUSES_WAITED * route.pause_objective_ms)
}

/// Returns when a refused caller should come back, in milliseconds from now.
///
/// `ready_in_ms` is when the cause should be gone. A caller that is sent away
/// for more than a third of its time does not come back.
#[must_use]
pub fn come_back_ms(ready_in_ms: u64, left_ms: u64) -> u64 {
    ready_in_ms
        .max(COME_BACK_MIN_MS)
        .min(left_ms / COME_BACK_PART)
}
