/// The prompt of a request, as its sending is spaced.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Length of the prompt, in tokens.
    pub tokens: u64,
    /// Time until which the prompt may be held back, in milliseconds.
    pub hold_until_ms: u64,
}
