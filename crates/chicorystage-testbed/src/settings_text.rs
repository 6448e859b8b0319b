//! Settings files for daemons that the test bed starts.

use std::fmt;
use std::net::SocketAddr;

use chicorystage_api::name::Digest;

/// What every daemon's settings file says.
#[derive(Clone, Debug)]
pub struct DaemonText {
    /// Identity of the VM.
    pub vm: String,
    /// Availability zone.
    pub zone: String,
    /// Group of the VM.
    pub group: String,
    /// Internal address.
    pub internal: SocketAddr,
    /// Address for health checks.
    pub health: SocketAddr,
    /// Address of the platform's stand-in.
    pub platform: SocketAddr,
    /// What belongs to the role.
    pub role: RoleText,
}

/// What the settings file of one role says.
#[derive(Clone, Debug)]
pub enum RoleText {
    /// A router.
    Router {
        /// Address of the caller API.
        caller_api: SocketAddr,
        /// Address of the admin API.
        admin_api: SocketAddr,
        /// Digest of the root token.
        root_token_sha256: Digest,
    },
    /// An agent.
    Agent {
        /// Kind of the endpoint: engine or service.
        kind: String,
        /// Address of the endpoint.
        endpoint: SocketAddr,
        /// Group of the routers.
        router_group: String,
    },
}

impl fmt::Display for DaemonText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let role = match self.role {
            RoleText::Router { .. } => "router",
            RoleText::Agent { .. } => "agent",
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
            RoleText::Router {
                caller_api,
                admin_api,
                root_token_sha256,
            } => {
                writeln!(f, "[router]\ncaller_api = {caller_api}")?;
                writeln!(f, "admin_api = {admin_api}\ndrain_lag_ms = 500")?;
                writeln!(f, "root_token_sha256 = {root_token_sha256}")
            }
            RoleText::Agent {
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
