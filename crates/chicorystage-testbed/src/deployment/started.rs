use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

use anyhow::Context;
use chicorystage_core::token;
use chicorystage_platform::http::HttpClient;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use tokio::net::TcpStream;

use crate::calls::{CallerAnswer, CallerRequest, SendError, send};
use crate::deployment::ports::free_address;
use crate::deployment::{ChildProcess, DeploymentConfig, Node};
use crate::settings_text::{DaemonText, RoleText};

const CALL_TIMEOUT_MS: u64 = 10_000;
const ROUTER_GROUP: &str = "entry";

/// Number of deployments that this process has started.
static STARTED: AtomicU32 = AtomicU32::new(0);

/// A running system with its stand-ins.
#[derive(Debug)]
pub struct Deployment {
    /// What it consists of.
    pub config: DeploymentConfig,
    /// Address of the platform's stand-in.
    pub platform: SocketAddr,
    /// Routers.
    pub routers: Vec<Node>,
    /// Agents: first those with an engine, then those with a service.
    pub agents: Vec<Node>,
    standins: Vec<ChildProcess>,
    directory: PathBuf,
}

impl Deployment {
    /// Starts all processes; waits until the routers listen.
    ///
    /// # Errors
    ///
    /// Fails where a process does not start.
    pub async fn start(config: DeploymentConfig) -> anyhow::Result<Self> {
        let number = STARTED.fetch_add(1, Ordering::Relaxed);
        let name = format!("chicorystage-testbed-{}-{number}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory)?;
        let mut standins = Vec::new();
        let platform = start_standin(&config.program, "platform", &[], &mut standins).await?;
        let mut deployment = Self {
            config,
            platform,
            routers: Vec::new(),
            agents: Vec::new(),
            standins,
            directory,
        };
        for _ in 0..deployment.config.routers {
            deployment.add_router().await?;
        }
        for i in 0..deployment.config.engines {
            let engine = deployment.start_engine(i).await?;
            let group = deployment.config.engine_group.clone();
            deployment.add_agent("engine", engine, &group).await?;
        }
        for _ in 0..deployment.config.services {
            let service = deployment.standin("service", &[]).await?;
            let group = deployment.config.service_group.clone();
            deployment.add_agent("service", service, &group).await?;
        }
        for router in &mut deployment.routers {
            router.wait_until_listening().await?;
        }
        Ok(deployment)
    }

    /// Waits until every daemon is ready.
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

    /// Sends a caller's request to a router.
    ///
    /// # Errors
    ///
    /// Fails where no response came.
    pub async fn send(
        &self,
        router: usize,
        request: &CallerRequest,
    ) -> Result<CallerAnswer, SendError> {
        let address = self.routers[router].caller_api();
        send_to(address, request).await
    }

    /// Sends an operator's request to a router.
    ///
    /// # Errors
    ///
    /// Fails where no response came.
    pub async fn send_admin(
        &self,
        router: usize,
        request: &CallerRequest,
    ) -> Result<CallerAnswer, SendError> {
        let address = self.routers[router].admin_api();
        send_to(address, request).await
    }

    /// Posts to a stand-in's control path.
    ///
    /// # Errors
    ///
    /// Fails where the stand-in does not answer well.
    pub async fn control<B: Serialize + Sync>(
        &self,
        standin: SocketAddr,
        path: &str,
        body: &B,
    ) -> anyhow::Result<()> {
        let client = HttpClient::new(standin, CALL_TIMEOUT_MS);
        client
            .post_json::<B, serde_json::Value>(path, body)
            .await
            .with_context(|| path.to_owned())?;
        Ok(())
    }

    /// Reads a stand-in's control path.
    ///
    /// # Errors
    ///
    /// Fails where the stand-in does not answer well.
    pub async fn read_control<T: DeserializeOwned>(
        &self,
        standin: SocketAddr,
        path: &str,
    ) -> anyhow::Result<T> {
        let client = HttpClient::new(standin, CALL_TIMEOUT_MS);
        let found = client.get_json(path).await?;
        found.with_context(|| format!("{path}: not found"))
    }

    /// Adds a router and lists its VM.
    ///
    /// # Errors
    ///
    /// Fails where its process does not start.
    pub async fn add_router(&mut self) -> anyhow::Result<()> {
        let i = self.routers.len();
        let root_token = self.config.root_token.as_bytes();
        let role = RoleText::Router {
            caller_api: free_address()?,
            admin_api: free_address()?,
            root_token_sha256: token::sha256(root_token),
        };
        let vm = format!("entry-{}", i + 1);
        let node = self.start_node(vm, i, ROUTER_GROUP, role).await?;
        self.routers.push(node);
        Ok(())
    }

    /// Adds an agent beside an endpoint and lists its VM.
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
        let i = self.agents.len();
        let role = RoleText::Agent {
            kind: kind.to_owned(),
            endpoint,
            router_group: ROUTER_GROUP.to_owned(),
        };
        let vm = format!("worker-{}", i + 1);
        let node = self.start_node(vm, i, group, role).await?;
        self.agents.push(node);
        Ok(())
    }

    /// Starts the stand-in of the engine with a number.
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
        self.standin("engine", &arguments).await
    }

    /// Stops everything gracefully, daemons before stand-ins.
    ///
    /// # Errors
    ///
    /// Fails where a process does not end well.
    pub async fn stop(mut self) -> anyhow::Result<()> {
        for node in self.routers.iter_mut().chain(&mut self.agents) {
            node.process.stop().await?;
        }
        for standin in &mut self.standins {
            standin.stop().await?;
        }
        Ok(())
    }

    async fn standin(&mut self, kind: &str, arguments: &[OsString]) -> anyhow::Result<SocketAddr> {
        start_standin(&self.config.program, kind, arguments, &mut self.standins).await
    }

    async fn start_node(
        &self,
        vm: String,
        i: usize,
        group: &str,
        role: RoleText,
    ) -> anyhow::Result<Node> {
        let zones = &self.config.zones;
        let text = DaemonText {
            vm,
            zone: zones[i % zones.len()].clone(),
            group: group.to_owned(),
            internal: free_address()?,
            health: free_address()?,
            platform: self.platform,
            role,
        };
        let entry = json!({
            "id": text.vm, "address": text.internal, "zone": text.zone,
            "group": text.group, "state": "live",
        });
        self.control(self.platform, "/control/vms", &entry).await?;
        Node::start(&self.config.program, &self.directory, text)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        // A settings file that stays behind in the temporary directory does no harm.
        let _removed = std::fs::remove_dir_all(&self.directory);
    }
}

async fn start_standin(
    program: &PathBuf,
    kind: &str,
    arguments: &[OsString],
    standins: &mut Vec<ChildProcess>,
) -> anyhow::Result<SocketAddr> {
    let mut all: Vec<OsString> = vec!["standin".into(), kind.into()];
    all.extend_from_slice(arguments);
    let mut child = ChildProcess::start(program, kind, &all)?;
    let address = child.printed_address().await?;
    standins.push(child);
    Ok(address)
}

async fn send_to(
    address: Option<SocketAddr>,
    request: &CallerRequest,
) -> Result<CallerAnswer, SendError> {
    let not_connected = |detail: String| SendError::NotConnected(detail);
    let address = address.ok_or_else(|| not_connected("an agent has no such API".to_owned()))?;
    let connection = TcpStream::connect(address)
        .await
        .map_err(|error| not_connected(error.to_string()))?;
    send(connection, request).await
}
