//! Requests to a deployment, its stand-ins and its admin API.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;

use anyhow::{Context, bail};
use chicorystage_borders::http::HttpClient;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::process::Command;

use crate::calls::{CallerAnswer, CallerRequest, SendError, send};
use crate::deployment::Deployment;

const CALL_TIMEOUT_MS: u64 = 10_000;

impl Deployment {
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

    /// Runs the operators' tool against the first router.
    ///
    /// # Errors
    ///
    /// Fails where the tool cannot be started or ends with another status than 0.
    pub async fn tool(&self, arguments: &[&str]) -> anyhow::Result<()> {
        let output = Command::new(&self.config.program)
            .args(["tool", "--config"])
            .arg(self.tool_settings()?)
            .args(arguments)
            .stdin(Stdio::null())
            .output()
            .await?;
        if !output.status.success() {
            bail!(
                "chicorystage {}: {}\n{}{}",
                arguments.join(" "),
                output.status,
                String::from_utf8_lossy(&output.stdout),
                String::from_utf8_lossy(&output.stderr)
            );
        }
        Ok(())
    }

    /// Writes a file that lasts as long as the deployment.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn write_file(&self, name: &str, text: &str) -> anyhow::Result<PathBuf> {
        let path = self.directory.join(name);
        std::fs::write(&path, text)?;
        Ok(path)
    }

    /// Writes the tool's settings and returns their path.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn tool_settings(&self) -> anyhow::Result<PathBuf> {
        let router = self.routers.first().context("no router")?;
        let admin_api = router.admin_api().context("a router has an admin API")?;
        self.write_file("operator.token", &self.config.root_token)?;
        let text = format!("[admin]\naddress = {admin_api}\ntoken_file = operator.token\n");
        self.write_file("chicorystage.ini", &text)
    }
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
