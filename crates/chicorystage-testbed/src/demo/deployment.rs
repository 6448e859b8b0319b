use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::time::Duration;

use anyhow::{Context, bail};
use bytes::Bytes;
use chicorystage_platform::http::HttpClient;
use http::Method;
use http::header::AUTHORIZATION;
use serde_json::json;

use crate::demo::child::ChildProcess;
use crate::demo::inventory::{self, ROOT_TOKEN};

const CALL_TIMEOUT_MS: u64 = 5_000;
/// Time between two readiness checks, in milliseconds.
const READY_POLL_MS: u64 = 50;
/// Readiness checks before the demo gives up.
const READY_POLLS_MAX: u32 = 400;

/// A running system with its stand-ins.
#[derive(Debug)]
pub(crate) struct Deployment {
    children: Vec<ChildProcess>,
    directory: PathBuf,
    caller_apis: Vec<SocketAddr>,
}

impl Deployment {
    pub(crate) async fn start() -> anyhow::Result<Self> {
        let directory =
            std::env::temp_dir().join(format!("chicorystage-demo-{}", std::process::id()));
        std::fs::create_dir_all(&directory)?;
        let mut deployment = Self {
            children: Vec::new(),
            directory,
            caller_apis: Vec::new(),
        };
        let platform = deployment.standin("platform").await?;
        let mut ready = Vec::new();
        let mut admin_apis = Vec::new();
        for i in 1..=3 {
            let [internal, health, caller_api, admin_api] = free_addresses()?;
            let vm = format!("entry-{i}");
            let text = format!(
                "[daemon]\nrole = router\nvm = {vm}\nzone = huehue-a\ngroup = entry\n\n\
                 [listen]\ninternal = {internal}\nhealth = {health}\n\n\
                 [platform]\ntable = {platform}\nobject_store = {platform}\nvm_list = {platform}\n\n\
                 [router]\ncaller_api = {caller_api}\nadmin_api = {admin_api}\nroot_token_sha256 = {}\n",
                inventory::root_token_sha256()
            );
            deployment.daemon(&vm, &text)?;
            register(platform, &vm, internal, "entry").await?;
            deployment.caller_apis.push(caller_api);
            admin_apis.push(admin_api);
            ready.push(health);
        }
        for (i, kind) in ["engine", "engine", "engine", "service"]
            .into_iter()
            .enumerate()
        {
            let endpoint = deployment.standin(kind).await?;
            let [internal, health, _, _] = free_addresses()?;
            let vm = format!("worker-{}", i + 1);
            let group = if kind == "engine" {
                "colmena-llm"
            } else {
                "libro-socios"
            };
            let text = format!(
                "[daemon]\nrole = agent\nvm = {vm}\nzone = huehue-a\ngroup = {group}\n\n\
                 [listen]\ninternal = {internal}\nhealth = {health}\n\n\
                 [platform]\ntable = {platform}\nobject_store = {platform}\nvm_list = {platform}\n\n\
                 [agent]\nendpoint_kind = {kind}\nendpoint = {endpoint}\nrouter_group = entry\n"
            );
            deployment.daemon(&vm, &text)?;
            register(platform, &vm, internal, group).await?;
            ready.push(health);
        }
        wait_for_listener(admin_apis[0]).await?;
        apply_inventory(admin_apis[0]).await?;
        for health in ready {
            wait_until_ready(health).await?;
        }
        Ok(deployment)
    }

    pub(crate) fn caller_api(&self) -> SocketAddr {
        self.caller_apis[0]
    }

    pub(crate) async fn stop(self) -> anyhow::Result<()> {
        for child in self.children.into_iter().rev() {
            child.end().await?;
        }
        std::fs::remove_dir_all(&self.directory)?;
        Ok(())
    }

    async fn standin(&mut self, kind: &str) -> anyhow::Result<SocketAddr> {
        let mut child = ChildProcess::start(kind, &["standin", kind])?;
        let address = child.printed_address().await?;
        self.children.push(child);
        Ok(address)
    }

    fn daemon(&mut self, name: &str, settings: &str) -> anyhow::Result<()> {
        let path = self.directory.join(format!("{name}.ini"));
        std::fs::write(&path, settings)?;
        let path = path.to_str().context("temporary directory is not UTF-8")?;
        self.children
            .push(ChildProcess::start(name, &["daemon", "--config", path])?);
        Ok(())
    }
}

/// Takes free ports of the loopback interface.
///
/// Another process may take one before the daemon does; the daemon then says
/// so and the demo fails.
fn free_addresses() -> anyhow::Result<[SocketAddr; 4]> {
    let mut listeners = Vec::new();
    let mut addresses = [SocketAddr::from(([127, 0, 0, 1], 0)); 4];
    for address in &mut addresses {
        let listener = TcpListener::bind(*address)?;
        *address = listener.local_addr()?;
        listeners.push(listener);
    }
    Ok(addresses)
}

async fn register(
    platform: SocketAddr,
    vm: &str,
    address: SocketAddr,
    group: &str,
) -> anyhow::Result<()> {
    let client = HttpClient::new(platform, CALL_TIMEOUT_MS);
    let entry = json!({ "id": vm, "address": address, "zone": "huehue-a", "group": group, "state": "live" });
    client
        .post_json::<_, serde_json::Value>("/control/vms", &entry)
        .await?;
    Ok(())
}

async fn wait_for_listener(address: SocketAddr) -> anyhow::Result<()> {
    for _ in 0..READY_POLLS_MAX {
        if tokio::net::TcpStream::connect(address).await.is_ok() {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(READY_POLL_MS)).await;
    }
    bail!("nothing listens on {address}")
}

async fn wait_until_ready(health: SocketAddr) -> anyhow::Result<()> {
    let client = HttpClient::new(health, CALL_TIMEOUT_MS);
    for _ in 0..READY_POLLS_MAX {
        let response = client
            .send(client.request(Method::GET, "/readyz", Bytes::new()))
            .await;
        if response.is_ok_and(|response| response.status().is_success()) {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(READY_POLL_MS)).await;
    }
    bail!("the daemon at {health} did not become ready")
}

async fn apply_inventory(admin_api: SocketAddr) -> anyhow::Result<()> {
    let client = HttpClient::new(admin_api, CALL_TIMEOUT_MS);
    let body = serde_json::to_vec(&inventory::sample())?;
    let mut request = client.request(Method::POST, "/admin/v1/changes", Bytes::from(body));
    request
        .headers_mut()
        .insert(AUTHORIZATION, format!("Bearer {ROOT_TOKEN}").parse()?);
    let response = client.send(request).await?;
    if !response.status().is_success() {
        bail!(
            "inventory: {} {}",
            response.status(),
            String::from_utf8_lossy(response.body())
        );
    }
    Ok(())
}
