use chicorystage_api::name::PromptPartId;
use serde::{Deserialize, Serialize};

/// What one process knows of a prompt part at an endpoint's crash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartAtCrash {
    /// The part.
    pub part: PromptPartId,
    /// Number of requests with the part that broke.
    pub requests: u32,
    /// Whether the endpoint had begun to answer one of them.
    pub is_begun: bool,
    /// Time from the start of the latest of their attempts to the crash, in milliseconds.
    pub attempt_ms: u64,
    /// Position in the prompt, the deepest where it differs; 0 is the first.
    pub position: usize,
}
