/// The part of an engine's status that concerns fencing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FenceStatus {
    /// Identity of the engine process; it changes with every restart.
    pub engine_run: u64,
    /// Highest fencing token that the engine process has received.
    pub fence_highest: u64,
    /// Whether the engine refuses orders with a lower token.
    pub fence_enforced: bool,
    /// Longest time after its sending for which an order may take effect, in milliseconds.
    pub order_in_flight_max_ms: u64,
    /// Time at which the status was requested, on the agent's clock in milliseconds.
    pub requested_ms: u64,
    /// Wall-clock time, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
}
