use chicorystage_api::refusal::{Refusal, RefusalCode};

/// Longest wait for memory that other replicas are using, in milliseconds.
const MEMORY_WAIT_MAX_MS: u64 = 2_000;
/// Delay after which memory may be free, in milliseconds.
const MEMORY_RETRY_AFTER_MS: u64 = 1_000;

/// Whether what an attempt needs is loaded.
#[derive(Clone, Debug)]
pub(crate) enum Readiness {
    /// It is loaded.
    Ready,
    /// An order or a read is on its way.
    Pending,
    /// Other replicas that are in use hold the memory.
    NoMemory,
    /// It cannot be loaded here.
    Refused(Refusal),
}

impl Readiness {
    /// Returns the refusal of an attempt that has waited so long.
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
