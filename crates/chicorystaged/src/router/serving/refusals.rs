//! Refusals that the serving path sends to callers.

use chicorystage_api::inventory::CallerItem;
use chicorystage_api::name::CallerName;
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_core::admission::Shed;
use chicorystage_core::limits::LimitExceeded;

/// Delay after which the caller should retry a request refused for lack of capacity, in milliseconds.
const SHED_RETRY_AFTER_MS: u64 = 1_000;

/// Returns the refusal of a body above the caller's size limit.
pub(crate) fn body_too_large(caller: &CallerItem) -> Refusal {
    let detail = format!(
        "caller {} may send bodies of up to {} bytes",
        caller.name, caller.body_bytes_max
    );
    Refusal::not_run(RefusalCode::BodyTooLarge, detail)
}

/// Returns the refusal of quarantined work; has no retry delay, since a retry cannot succeed.
pub(crate) fn quarantined() -> Refusal {
    let detail = "this request crashed the endpoint that ran it alone and is quarantined";
    Refusal::not_run(RefusalCode::Quarantined, detail)
}

/// Returns the refusal of a request that the wait queue sheds.
pub(crate) fn overloaded(shed: Shed, caller: &CallerName) -> Refusal {
    let detail = match shed {
        Shed::ClassFull => "too many requests of this class wait".to_owned(),
        Shed::TenantOverShare => {
            format!("caller {caller} has its share of the requests that may wait")
        }
        Shed::BytesFull => "too many bytes of request bodies are held".to_owned(),
    };
    Refusal::not_run(RefusalCode::Overloaded, detail).retry_after_ms(SHED_RETRY_AFTER_MS)
}

/// Returns the refusal of a request above its caller's rate or concurrency limit.
pub(crate) fn limited(exceeded: LimitExceeded, caller: &CallerItem) -> Refusal {
    match exceeded {
        LimitExceeded::Rate { retry_after_ms } => {
            let detail = format!(
                "caller {} may send {} requests a second, {} at once",
                caller.name, caller.rate_per_s, caller.burst
            );
            let refusal = Refusal::not_run(RefusalCode::RateLimited, detail);
            match retry_after_ms {
                Some(delay_ms) => refusal.retry_after_ms(delay_ms),
                None => refusal,
            }
        }
        LimitExceeded::Concurrency => {
            let detail = format!(
                "caller {} may have {} requests in progress",
                caller.name, caller.concurrent_max
            );
            Refusal::not_run(RefusalCode::ConcurrencyLimited, detail)
                .retry_after_ms(SHED_RETRY_AFTER_MS)
        }
    }
}
