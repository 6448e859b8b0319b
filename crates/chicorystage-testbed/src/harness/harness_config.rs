use crate::fakes::FakeEngineConfig;

/// Number of processes, fault seed and speeds of a [`Harness`](crate::harness::Harness).
#[derive(Clone, Debug)]
pub struct HarnessConfig {
    /// Seed of the generator that draws all link faults.
    pub seed: u64,
    /// Number of routers.
    pub routers: usize,
    /// Number of agents with an engine.
    pub engines: usize,
    /// Number of agents with a service that has no engine.
    pub services: usize,
    /// Memory, capacity and speeds of every engine.
    pub engine: FakeEngineConfig,
    /// Duration of one call to a service, in milliseconds.
    pub service_ms: u64,
}

impl Default for HarnessConfig {
    fn default() -> Self {
        Self {
            seed: 1,
            routers: 3,
            engines: 3,
            services: 1,
            engine: FakeEngineConfig::default(),
            service_ms: 5,
        }
    }
}
