use crate::fakes::FakeEngineConfig;

/// Size of a [`Harness`](crate::harness::Harness).
#[derive(Clone, Debug)]
pub struct HarnessConfig {
    /// Seed of all faults on the links.
    pub seed: u64,
    /// Routers.
    pub routers: usize,
    /// Agents with an engine.
    pub engines: usize,
    /// Agents with a plain service.
    pub services: usize,
    /// Sizes and speeds of the engines.
    pub engine: FakeEngineConfig,
    /// Time of one call to a service, in milliseconds.
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
