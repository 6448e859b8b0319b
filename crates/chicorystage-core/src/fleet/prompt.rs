/// Length of a request's prompt and the limit up to which pacing may defer it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Length of the prompt, in tokens.
    pub tokens: u64,
    /// Time until which the prompt may be deferred, in milliseconds.
    pub defer_until_ms: u64,
}
