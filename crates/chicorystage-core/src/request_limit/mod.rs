//! Limits that endpoints name for the requests of all gateways together, divided among gateways.
//!
//! An endpoint in need names in its answers how many requests a second it takes from all gateways. The
//! limit may be below one request a second, the gateways may be many, and all demand may be at one of
//! them, so that equal parts would leave most of it unused. Therefore the lease holder divides it:
//! a gateway asks for tokens when requests want the endpoint, [`LimitAllocator`] grants tokens at the
//! rate of the limit, to the gateways in turn, and each token lets one request through within
//! a second. A token that is lost or not used in time is not replaced.
//!
//! [`EndpointLimit`] is a gateway's side: what the endpoint has named, tokens, requests that want one,
//! and when the next one is expected, so that a request for which none will come in time is refused
//! at once. While no lease holder is heard, each gateway grants itself a small equal part
//! ([`EndpointLimit::grant_own`]), at moments that are drawn at random, as gateways that lose the holder
//! lose it together.
//!
//! In any window of w seconds at most `per_s * (w + 1) + max(2, 0.05 * per_s)` tokens of one holder
//! can be used; all gateways without a holder use a fifth of the limit on average.

mod endpoint_limit;
mod known_limit;
mod limit_allocator;
mod limit_record;
mod named_limit;
mod request_grant;
mod token_bucket;
mod token_wish;

pub use endpoint_limit::EndpointLimit;
pub use known_limit::KnownLimit;
pub use limit_allocator::LimitAllocator;
pub use limit_record::LimitRecord;
pub use named_limit::NamedLimit;
pub use request_grant::RequestGrant;
pub use token_wish::TokenWish;

/// Lowest rate at which requests go to an endpoint whatever it names, in requests a second.
///
/// Only an answer tells that a limit has ended.
const PER_S_MIN: f64 = 0.1;
const MS_PER_S: f64 = 1_000.0;

/// Returns the time in which a number of requests may be sent at a rate, in milliseconds.
fn time_ms(requests: f64, per_s: f64) -> u64 {
    let time_ms = (requests.max(0.0) * MS_PER_S / per_s.max(PER_S_MIN)).ceil();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a positive time; the cast saturates"
    )]
    let time_ms = time_ms as u64;
    time_ms
}
