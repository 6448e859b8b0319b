/// Share of a CPU core from which a VM acquires a free lease without delay; it suffices for a lease
/// holder of many engines.
const SUFFICIENT_CPU_SHARE: f64 = 0.4;
/// Delay on a VM without any CPU share, in milliseconds.
const MISSING_CPU_DELAY_MS: f64 = 1_200.0;
/// Share of a CPU core below which a holder cannot keep up with the orders to many engines.
const WEAK_CPU_SHARE: f64 = 0.15;
/// Additional delay below that, in milliseconds.
///
/// Routers notice at different times, up to a poll of the lease's row apart, that the lease is free.
const WEAK_CPU_DELAY_MS: u64 = 1_300;

/// Returns the delay before a router acquires a free lease, in milliseconds.
///
/// It lets routers with more CPU acquire the lease first.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a part of a constant that is far below the mantissa"
)]
pub fn acquisition_delay_ms(cpu_share: f64) -> u64 {
    let missing_share = (SUFFICIENT_CPU_SHARE - cpu_share).max(0.0) / SUFFICIENT_CPU_SHARE;
    let delay_ms = (MISSING_CPU_DELAY_MS * missing_share) as u64;
    if cpu_share < WEAK_CPU_SHARE {
        delay_ms + WEAK_CPU_DELAY_MS
    } else {
        delay_ms
    }
}
