/// What an engine's status says about fencing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FenceView {
    /// Identity of this run of the engine.
    pub engine_run: u64,
    /// Highest fencing number that the engine has seen.
    pub fence_highest: u64,
    /// Whether the engine refuses orders with an old number.
    pub fence_enforced: bool,
    /// Longest time that an order may still take effect, in milliseconds.
    pub order_in_flight_max_ms: u64,
    /// Reading of the clock when the status was asked for.
    pub begun_ms: u64,
    /// Wall-clock time, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
}
