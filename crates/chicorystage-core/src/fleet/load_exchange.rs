//! How often routers report their load to each other, and for how long a report counts.
//!
//! The choice of an endpoint is as good as the load that is known of it. The number of reports
//! that the lease holder receives and sends grows with the number of routers, so beyond
//! [`ROUTERS_PER_PERIOD_MIN`] routers each reports less often. A report counts long enough that the
//! loss of a datagram does not look like the end of all requests of a router.

/// Interval between two reports of one router where there are few, in milliseconds.
const PERIOD_MIN_MS: u64 = 120;
/// Number of routers up to which the shortest interval is kept; beyond, it grows in proportion.
const ROUTERS_PER_PERIOD_MIN: u64 = 28;
/// The interval is a multiple of this, in milliseconds.
const PERIOD_STEP_MS: u64 = 20;
/// Number of intervals for which a report counts.
const PERIODS_VALID: u64 = 3;
/// Shortest time for which a report of requests in progress counts, in milliseconds.
const LOAD_VALID_MIN_MS: u64 = 1_500;
/// Shortest time for which a report of waiting requests counts, in milliseconds.
const WAITING_VALID_MIN_MS: u64 = 1_000;
/// Shortest silence after which the lease holder counts as lost, in milliseconds.
const HOLDER_SILENCE_MIN_MS: u64 = 700;

/// Returns the interval between two reports of one router, in milliseconds.
#[must_use]
pub fn load_period_ms(routers: usize) -> u64 {
    let routers = u64::try_from(routers).unwrap_or(u64::MAX);
    let period_ms = PERIOD_MIN_MS.saturating_mul(routers) / ROUTERS_PER_PERIOD_MIN;
    period_ms
        .max(PERIOD_MIN_MS)
        .next_multiple_of(PERIOD_STEP_MS)
}

/// Returns the mean age of what a router knows of the others' requests, in milliseconds; 0 for a
/// router that is alone.
#[must_use]
pub fn load_age_ms(routers: usize) -> u64 {
    if routers > 1 {
        load_period_ms(routers)
    } else {
        0
    }
}

/// Returns for how long a report of requests in progress counts, in milliseconds.
#[must_use]
pub fn load_valid_ms(routers: usize) -> u64 {
    LOAD_VALID_MIN_MS.max(PERIODS_VALID * load_period_ms(routers))
}

/// Returns for how long a report of waiting requests counts, in milliseconds.
#[must_use]
pub fn waiting_valid_ms(routers: usize) -> u64 {
    WAITING_VALID_MIN_MS.max(PERIODS_VALID * load_period_ms(routers))
}

/// Returns the silence after which the lease holder, which repeats the load of all routers in every
/// interval, counts as lost, in milliseconds.
#[must_use]
pub fn holder_silence_ms(routers: usize) -> u64 {
    HOLDER_SILENCE_MIN_MS.max(PERIODS_VALID * load_period_ms(routers))
}
