//! Requests to a deployment: its caller and admin APIs and its emulators.

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
    /// Sends a caller's request to the router with an index.
    ///
    /// # Errors
    ///
    /// Fails where no response was received.
    pub async fn send(
        &self,
        router: usize,
        request: &CallerRequest,
    ) -> Result<CallerAnswer, SendError> {
        let address = self.routers[router].caller_api();
        send_to(address, request).await
    }

    /// Sends an operator's request to the router with an index.
    ///
    /// # Errors
    ///
    /// Fails where no response was received.
    pub async fn send_admin(
        &self,
        router: usize,
        request: &CallerRequest,
    ) -> Result<CallerAnswer, SendError> {
        let address = self.routers[router].admin_api();
        send_to(address, request).await
    }

    /// Posts a JSON body to a control path of an emulator.
    ///
    /// # Errors
    ///
    /// Fails where the emulator does not answer with success.
    pub async fn post_control<B: Serialize + Sync>(
        &self,
        emulator: SocketAddr,
        path: &str,
        body: &B,
    ) -> anyhow::Result<()> {
        let client = HttpClient::new(emulator, CALL_TIMEOUT_MS);
        client
            .post_json::<B, serde_json::Value>(path, body)
            .await
            .with_context(|| path.to_owned())?;
        Ok(())
    }

    /// Reads the JSON document at a control path of an emulator.
    ///
    /// # Errors
    ///
    /// Fails where the emulator does not answer with success.
    pub async fn read_control<T: DeserializeOwned>(
        &self,
        emulator: SocketAddr,
        path: &str,
    ) -> anyhow::Result<T> {
        let client = HttpClient::new(emulator, CALL_TIMEOUT_MS);
        let found = client.get_json(path).await?;
        found.with_context(|| format!("{path}: not found"))
    }

    /// Runs the operators' command-line tool against the first router.
    ///
    /// # Errors
    ///
    /// Fails where the tool cannot be started, or ends with a status other than 0;
    /// the error then contains its output.
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

    /// Writes a file that is removed with the deployment, and returns its path.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error where the file cannot be written.
    pub fn write_file(&self, name: &str, text: &str) -> anyhow::Result<PathBuf> {
        let path = self.directory.join(name);
        std::fs::write(&path, text)?;
        Ok(path)
    }

    /// Writes the settings file of the operators' tool and returns its path.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error where the file cannot be written.
    pub fn tool_settings(&self) -> anyhow::Result<PathBuf> {
        let router = self.routers.first().context("no router")?;
        let admin_api = router.admin_api().context("router without an admin API")?;
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
    let address = address
        .ok_or_else(|| not_connected("the daemon is an agent and has no such API".to_owned()))?;
    let connection = TcpStream::connect(address)
        .await
        .map_err(|error| not_connected(error.to_string()))?;
    send(connection, request).await
}
