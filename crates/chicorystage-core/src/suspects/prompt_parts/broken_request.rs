use chicorystage_api::name::PromptPartId;

/// A request whose connection broke when an endpoint crashed, before its answer had got past its
/// beginning.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrokenRequest {
    /// Parts of its prompt that other requests may share, in order.
    pub parts: Vec<PromptPartId>,
    /// Whether the head of an answer had arrived, so that the endpoint had begun to run it.
    pub is_begun: bool,
    /// Start of the attempt, in milliseconds.
    pub attempt_began_ms: u64,
}
