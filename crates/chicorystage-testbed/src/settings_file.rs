//! Settings files for the daemons that the test bed starts, written as INI text.

use std::fmt;
use std::net::SocketAddr;

use chicorystage_api::name::Digest;

/// Contents of a daemon's settings file; `Display` writes the file's text.
#[derive(Clone, Debug)]
pub struct DaemonSettingsFile {
    /// ID of the VM.
    pub vm: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// VM group of the daemon.
    pub group: String,
    /// Address for calls from other daemons.
    pub internal: SocketAddr,
    /// Address for health checks.
    pub health: SocketAddr,
    /// Address of the platform emulator: table, object store and VM list.
    pub platform: SocketAddr,
    /// Settings of the daemon's role.
    pub role: RoleSettings,
}

/// The settings that depend on the daemon's role.
#[derive(Clone, Debug)]
pub enum RoleSettings {
    /// A router.
    Router {
        /// Address of the caller API.
        caller_api: SocketAddr,
        /// Address of the admin API.
        admin_api: SocketAddr,
        /// SHA-256 digest of the root token.
        root_token_sha256: Digest,
    },
    /// An agent.
    Agent {
        /// Kind of the endpoint: engine or service.
        kind: String,
        /// Address of the endpoint.
        endpoint: SocketAddr,
        /// VM group of the routers that the agent serves.
        router_group: String,
    },
}

impl fmt::Display for DaemonSettingsFile {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let role = match self.role {
            RoleSettings::Router { .. } => "router",
            RoleSettings::Agent { .. } => "agent",
        };
        writeln!(f, "[daemon]\nrole = {role}\nvm = {}", self.vm)?;
        writeln!(f, "zone = {}\ngroup = {}\n", self.zone, self.group)?;
        writeln!(f, "[listen]\ninternal = {}", self.internal)?;
        writeln!(f, "health = {}\n", self.health)?;
        let platform = self.platform;
        writeln!(f, "[platform]\ntable = {platform}")?;
        writeln!(f, "object_store = {platform}\nvm_list = {platform}\n")?;
        writeln!(f, "[log]\nlevel = warn\n")?;
        match &self.role {
            RoleSettings::Router {
                caller_api,
                admin_api,
                root_token_sha256,
            } => {
                writeln!(f, "[router]\ncaller_api = {caller_api}")?;
                writeln!(f, "admin_api = {admin_api}\ndrain_lag_ms = 500")?;
                writeln!(f, "root_token_sha256 = {root_token_sha256}")
            }
            RoleSettings::Agent {
                kind,
                endpoint,
                router_group,
            } => {
                writeln!(f, "[agent]\nendpoint_kind = {kind}")?;
                writeln!(f, "endpoint = {endpoint}\nrouter_group = {router_group}")
            }
        }
    }
}
