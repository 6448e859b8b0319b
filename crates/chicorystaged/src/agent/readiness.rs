use chicorystage_api::refusal::{Refusal, RefusalCode};

/// Maximum wait of an attempt for memory that busy replicas occupy, in milliseconds.
const MEMORY_WAIT_MAX_MS: u64 = 2_000;
/// Delay that a refusal for lack of memory suggests to the router, in milliseconds.
const MEMORY_RETRY_AFTER_MS: u64 = 1_000;

/// Whether the replica and the adapter that an attempt needs are loaded.
#[derive(Clone, Debug)]
pub(crate) enum Readiness {
    /// Both are loaded.
    Ready,
    /// The attempt keeps waiting, for an order, a read of the table or a condition to change.
    Pending,
    /// Too little memory is free and nothing that occupies it can be unloaded now.
    NoMemory,
    /// The target cannot be loaded on this endpoint.
    Refused(Refusal),
}

impl Readiness {
    /// Returns the refusal for an attempt that has waited `waited_ms`; `None` to keep waiting.
    pub(crate) fn refusal(&self, waited_ms: u64) -> Option<Refusal> {
        match self {
            Self::Ready | Self::Pending => None,
            Self::NoMemory if waited_ms < MEMORY_WAIT_MAX_MS => None,
            Self::NoMemory => Some(
                Refusal::not_run(RefusalCode::MemoryFull, "other models are in use")
                    .retry_after_ms(MEMORY_RETRY_AFTER_MS),
            ),
            Self::Refused(refusal) => Some(refusal.clone()),
        }
    }
}
