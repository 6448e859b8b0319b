/// Upper bound of the pause before the first retry, in milliseconds; doubles with each retry.
const BACKOFF_BASE_MS: u64 = 20;
/// Upper bound of the pause before any retry, in milliseconds.
const BACKOFF_MAX_MS: u64 = 1_000;

/// Returns the pause before a retry, in milliseconds: exponential backoff with full jitter.
///
/// The pause is uniform between 0 and a bound that doubles with each retry up
/// to a maximum. `retry` counts from 1; `random` is any random number.
#[must_use]
pub fn backoff_ms(retry: u32, random: u64) -> u64 {
    let doublings = retry.saturating_sub(1).min(u64::BITS - 1);
    let bound_ms = BACKOFF_BASE_MS
        .saturating_mul(1 << doublings)
        .min(BACKOFF_MAX_MS);
    random % (bound_ms + 1)
}
