/// Memory, capacity and speeds of a [`FakeEngine`](crate::fakes::FakeEngine).
#[derive(Clone, Debug)]
pub struct FakeEngineConfig {
    /// Accelerator memory, in bytes.
    pub memory_total_bytes: u64,
    /// Number of completions that run at the same time.
    pub batch_slots: u32,
    /// Whether orders with an outdated fencing token are refused.
    pub fence_enforced: bool,
    /// Time to load a model from host memory, in milliseconds.
    pub load_memory_ms: u64,
    /// Time to load a model from local disk, in milliseconds.
    pub load_disk_ms: u64,
    /// Time to load a model from the weight store at full speed, in milliseconds.
    pub load_remote_ms: u64,
    /// Time to load an adapter at full speed, in milliseconds.
    pub load_adapter_ms: u64,
    /// Time to unload a model, in milliseconds.
    pub unload_ms: u64,
    /// Time to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Time between two tokens, in milliseconds.
    pub token_ms: u64,
    /// Age of the load report and of cache events, in milliseconds.
    pub report_lag_ms: u64,
    /// Loses every n-th cache event; 0 loses none.
    pub events_lost_every: u64,
    /// Reported upper bound of the time between sending and start of an order, in milliseconds.
    pub order_in_flight_max_ms: u64,
    /// Time that the engine is down after a crash, in milliseconds.
    pub restart_ms: u64,
}

impl Default for FakeEngineConfig {
    fn default() -> Self {
        Self {
            memory_total_bytes: 80 << 30,
            batch_slots: 16,
            fence_enforced: true,
            load_memory_ms: 50,
            load_disk_ms: 150,
            load_remote_ms: 400,
            load_adapter_ms: 8,
            unload_ms: 20,
            first_token_ms: 10,
            token_ms: 2,
            report_lag_ms: 500,
            events_lost_every: 0,
            order_in_flight_max_ms: 400,
            restart_ms: 100,
        }
    }
}
