/// What an agent does after it read its engine's status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceStep {
    /// Tell the engine this fencing number by an order that changes nothing.
    Raise(u64),
    /// Give no order yet.
    Wait,
    /// Give orders under this fencing number.
    Open(u64),
    /// Give no order ever: a later agent of this VM gives them.
    Superseded,
}
