use std::path::PathBuf;

/// Size and settings of a [`Deployment`](crate::deployment::Deployment).
#[derive(Clone, Debug)]
pub struct DeploymentConfig {
    /// Path of the test bed's program, which runs every process.
    pub program: PathBuf,
    /// Number of routers.
    pub routers: usize,
    /// Number of agents with an engine.
    pub engines: usize,
    /// Number of agents with a plain service.
    pub services: usize,
    /// Availability zones, assigned to the VMs round-robin.
    pub zones: Vec<String>,
    /// VM group of the agents with an engine.
    pub engine_group: String,
    /// VM group, and name of the application, of the agents with a plain service.
    pub service_group: String,
    /// Whether every second engine ignores fencing tokens.
    pub some_ignore_fencing: bool,
    /// Accelerator memory of an engine, in GiB.
    pub engine_memory_gib: u64,
    /// Root token, with which the first operators are declared.
    pub root_token: String,
}

impl DeploymentConfig {
    /// Creates the settings of a small deployment: 3 routers, 3 engines, 1 service.
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
