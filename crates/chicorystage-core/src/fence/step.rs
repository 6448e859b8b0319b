/// An agent's next step after it has read its engine's status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceStep {
    /// Send this fencing token to the engine in an order that changes nothing.
    Raise(u64),
    /// Send no order yet.
    Wait,
    /// Send orders under this fencing token.
    Open(u64),
    /// Never send an order again: a later agent of this VM has taken over.
    Superseded,
}
