use std::path::PathBuf;

/// What a [`Deployment`](crate::deployment::Deployment) consists of.
#[derive(Clone, Debug)]
pub struct DeploymentConfig {
    /// The test bed's program.
    pub program: PathBuf,
    /// Routers.
    pub routers: usize,
    /// Agents with an engine.
    pub engines: usize,
    /// Agents with a plain service.
    pub services: usize,
    /// Availability zones, given to the VMs in turn.
    pub zones: Vec<String>,
    /// Group of the agents with an engine.
    pub engine_group: String,
    /// Group of the agents with a plain service.
    pub service_group: String,
    /// Whether every second engine ignores fencing numbers.
    pub some_ignore_fencing: bool,
    /// Accelerator memory of an engine, in GiB.
    pub engine_memory_gib: u64,
    /// Token that may declare the first operators.
    pub root_token: String,
}

impl DeploymentConfig {
    /// Creates a small deployment that is run by a program.
    #[must_use]
    pub fn new(program: PathBuf) -> Self {
        let zones = ["huehue-a", "xela-b", "toto-c"];
        Self {
            program,
            routers: 3,
            engines: 3,
            services: 1,
            zones: zones.map(str::to_owned).into(),
            engine_group: "colmena-llm".to_owned(),
            service_group: "libro-socios".to_owned(),
            some_ignore_fencing: false,
            engine_memory_gib: 80,
            root_token: "demo-root-token".to_owned(),
        }
    }
}
