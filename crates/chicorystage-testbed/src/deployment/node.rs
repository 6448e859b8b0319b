use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::bail;
use bytes::Bytes;
use chicorystage_borders::http::HttpClient;
use http::Method;

use crate::deployment::ChildProcess;
use crate::settings_file::{DaemonSettingsFile, RoleSettings};

/// Interval between two readiness checks, in milliseconds.
const READY_POLL_MS: u64 = 50;
/// Most readiness checks before a wait fails.
const READY_POLLS_MAX: u32 = 1_200;
const CALL_TIMEOUT_MS: u64 = 2_000;

/// A router or agent of a deployment.
#[derive(Debug)]
pub struct Node {
    /// Contents of its settings file.
    pub settings: DaemonSettingsFile,
    /// Process that runs the daemon.
    pub process: ChildProcess,
    program: PathBuf,
    path: PathBuf,
}

impl Node {
    pub(super) fn start(
        program: &PathBuf,
        directory: &std::path::Path,
        settings: DaemonSettingsFile,
    ) -> anyhow::Result<Self> {
        let path = directory.join(format!("{}.ini", settings.vm));
        std::fs::write(&path, settings.to_string())?;
        let process = start_process(program, &settings.vm, &path)?;
        Ok(Self {
            settings,
            process,
            program: program.clone(),
            path,
        })
    }

    /// Starts the daemon again with the same settings, after its process has ended.
    ///
    /// # Errors
    ///
    /// Fails where the program cannot be started.
    pub fn restart(&mut self) -> anyhow::Result<()> {
        self.process = start_process(&self.program, &self.settings.vm, &self.path)?;
        Ok(())
    }

    /// Returns the address of a router's caller API; `None` for an agent.
    #[must_use]
    pub fn caller_api(&self) -> Option<SocketAddr> {
        match self.settings.role {
            RoleSettings::Router { caller_api, .. } => Some(caller_api),
            RoleSettings::Agent { .. } => None,
        }
    }

    /// Returns the address of a router's admin API; `None` for an agent.
    #[must_use]
    pub fn admin_api(&self) -> Option<SocketAddr> {
        match self.settings.role {
            RoleSettings::Router { admin_api, .. } => Some(admin_api),
            RoleSettings::Agent { .. } => None,
        }
    }

    /// Returns the address of an agent's endpoint; `None` for a router.
    #[must_use]
    pub fn endpoint(&self) -> Option<SocketAddr> {
        match self.settings.role {
            RoleSettings::Agent { endpoint, .. } => Some(endpoint),
            RoleSettings::Router { .. } => None,
        }
    }

    /// Returns whether the daemon's readiness check succeeds.
    pub async fn is_ready(&self) -> bool {
        let client = HttpClient::new(self.settings.health, CALL_TIMEOUT_MS);
        let request = client.request(Method::GET, "/readyz", Bytes::new());
        let response = client.send(request).await;
        response.is_ok_and(|response| response.status().is_success())
    }

    /// Waits until the daemon's readiness check succeeds.
    ///
    /// # Errors
    ///
    /// Fails where the process ends, or is not ready after a minute or more.
    pub async fn wait_until_ready(&mut self) -> anyhow::Result<()> {
        for _ in 0..READY_POLLS_MAX {
            if self.is_ready().await {
                return Ok(());
            }
            if let Some(status) = self.process.exit_status()? {
                bail!("{} ended with {status}", self.settings.vm);
            }
            tokio::time::sleep(Duration::from_millis(READY_POLL_MS)).await;
        }
        bail!("{} did not become ready", self.settings.vm)
    }

    /// Waits until the daemon accepts connections: a router at its admin API, an
    /// agent at its health address.
    ///
    /// # Errors
    ///
    /// Fails where the process ends, or accepts no connection for a minute.
    pub async fn wait_until_listening(&mut self) -> anyhow::Result<()> {
        let address = self.admin_api().unwrap_or(self.settings.health);
        for _ in 0..READY_POLLS_MAX {
            if tokio::net::TcpStream::connect(address).await.is_ok() {
                return Ok(());
            }
            if let Some(status) = self.process.exit_status()? {
                bail!("{} ended with {status}", self.settings.vm);
            }
            tokio::time::sleep(Duration::from_millis(READY_POLL_MS)).await;
        }
        bail!("{} does not listen on {address}", self.settings.vm)
    }
}

fn start_process(
    program: &PathBuf,
    name: &str,
    path: &std::path::Path,
) -> anyhow::Result<ChildProcess> {
    let arguments = ["daemon".into(), "--config".into(), path.into()];
    ChildProcess::start(program, name, &arguments)
}
