use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

use futures_util::future::try_join_all;

use crate::deployment::{ChildProcess, DeploymentConfig, Node};
use crate::settings_file::DaemonSettingsFile;

/// Number of deployments that this process has started.
static DEPLOYMENTS_STARTED: AtomicU32 = AtomicU32::new(0);

/// A running deployment: the daemons and the emulators around them.
///
/// Dropping it kills all of its processes; [`stop`](Self::stop) ends them gracefully.
#[derive(Debug)]
pub struct Deployment {
    /// Size and settings.
    pub config: DeploymentConfig,
    /// Address of the platform emulator: table, object store and VM list.
    pub platform: SocketAddr,
    /// Routers, in the order in which they were added.
    pub routers: Vec<Node>,
    /// Agents: first those with an engine, then those with a service.
    pub agents: Vec<Node>,
    emulators: Vec<ChildProcess>,
    pub(super) replaced_agents: u32,
    pub(super) directory: PathBuf,
}

impl Deployment {
    /// Starts all processes and waits until the routers accept connections.
    ///
    /// # Errors
    ///
    /// Fails where a process does not start.
    pub async fn start(config: DeploymentConfig) -> anyhow::Result<Self> {
        let number = DEPLOYMENTS_STARTED.fetch_add(1, Ordering::Relaxed);
        let name = format!("chicorystage-testbed-{}-{number}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory)?;
        let mut emulators = Vec::new();
        let platform = spawn_emulator(&config.program, "platform", &[], &mut emulators).await?;
        let mut deployment = Self {
            config,
            platform,
            routers: Vec::new(),
            agents: Vec::new(),
            emulators,
            replaced_agents: 0,
            directory,
        };
        // The VM list must be complete before the first router reads it.
        let planned = deployment.plan_daemons().await?;
        for (is_router, settings) in planned {
            deployment.start_node(is_router, settings)?;
        }
        for router in &mut deployment.routers {
            router.wait_until_listening().await?;
        }
        Ok(deployment)
    }

    /// Waits until every router and agent is ready.
    ///
    /// # Errors
    ///
    /// Fails where one does not become ready.
    pub async fn wait_until_ready(&mut self) -> anyhow::Result<()> {
        for node in self.routers.iter_mut().chain(&mut self.agents) {
            node.wait_until_ready().await?;
        }
        Ok(())
    }

    /// Adds a router and its entry in the VM list.
    ///
    /// # Errors
    ///
    /// Fails where its process does not start.
    pub async fn add_router(&mut self) -> anyhow::Result<()> {
        let settings = self.plan_router(self.routers.len()).await?;
        self.start_node(true, settings)
    }

    /// Adds an agent for an endpoint, and its entry in the VM list.
    ///
    /// `kind` is `engine` or `service`.
    ///
    /// # Errors
    ///
    /// Fails where its process does not start.
    pub async fn add_agent(
        &mut self,
        kind: &str,
        endpoint: SocketAddr,
        group: &str,
    ) -> anyhow::Result<()> {
        let settings = self
            .plan_agent(self.agents.len(), kind, endpoint, group)
            .await?;
        self.start_node(false, settings)
    }

    /// Replaces an agent whose process has ended by one on a new VM, with the same endpoint.
    ///
    /// # Errors
    ///
    /// Fails where its process does not start.
    pub async fn replace_agent(&mut self, agent: usize) -> anyhow::Result<()> {
        self.replaced_agents += 1;
        let settings = self.plan_replacement(agent).await?;
        self.agents[agent] = Node::start(&self.config.program, &self.directory, settings)?;
        Ok(())
    }

    /// Starts an engine emulator and returns its address.
    ///
    /// Engines with an odd index ignore fencing tokens where the settings say so.
    ///
    /// # Errors
    ///
    /// Fails where its process does not start.
    pub async fn start_engine(&mut self, i: usize) -> anyhow::Result<SocketAddr> {
        let mut arguments = vec![
            "--platform".into(),
            self.platform.to_string().into(),
            "--memory-gib".into(),
            self.config.engine_memory_gib.to_string().into(),
        ];
        if self.config.some_ignore_fencing && i % 2 == 1 {
            arguments.push("--ignore-fencing".into());
        }
        self.start_emulator("engine", &arguments).await
    }

    /// Stops all processes gracefully: routers, then agents, then emulators.
    ///
    /// # Errors
    ///
    /// Fails where a process does not end in time, or ends with a status other than 0.
    pub async fn stop(mut self) -> anyhow::Result<()> {
        let routers = self.routers.iter_mut().map(|node| node.process.stop());
        try_join_all(routers).await?;
        let agents = self.agents.iter_mut().map(|node| node.process.stop());
        try_join_all(agents).await?;
        try_join_all(self.emulators.iter_mut().map(ChildProcess::stop)).await?;
        Ok(())
    }

    pub(super) async fn start_emulator(
        &mut self,
        kind: &str,
        arguments: &[OsString],
    ) -> anyhow::Result<SocketAddr> {
        spawn_emulator(&self.config.program, kind, arguments, &mut self.emulators).await
    }

    fn start_node(&mut self, is_router: bool, settings: DaemonSettingsFile) -> anyhow::Result<()> {
        let node = Node::start(&self.config.program, &self.directory, settings)?;
        if is_router {
            self.routers.push(node);
        } else {
            self.agents.push(node);
        }
        Ok(())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        // Settings files left in the temporary directory are harmless.
        let _removed = std::fs::remove_dir_all(&self.directory);
    }
}

async fn spawn_emulator(
    program: &PathBuf,
    kind: &str,
    arguments: &[OsString],
    emulators: &mut Vec<ChildProcess>,
) -> anyhow::Result<SocketAddr> {
    let mut all: Vec<OsString> = vec!["standin".into(), kind.into()];
    all.extend_from_slice(arguments);
    let mut child = ChildProcess::start(program, kind, &all)?;
    let address = child.printed_address().await?;
    emulators.push(child);
    Ok(address)
}
