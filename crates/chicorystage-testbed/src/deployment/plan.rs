//! Planning of a deployment: the settings of each daemon, and its entry in the VM list.

use std::net::SocketAddr;

use chicorystage_core::token;
use serde_json::json;

use crate::deployment::Deployment;
use crate::deployment::free_address;
use crate::settings_file::{DaemonSettingsFile, RoleSettings};

const ROUTER_GROUP: &str = "entry";

impl Deployment {
    /// Plans all daemons and starts the emulators of the endpoints; `true` marks a router.
    pub(super) async fn plan_daemons(&mut self) -> anyhow::Result<Vec<(bool, DaemonSettingsFile)>> {
        let mut planned = Vec::new();
        for i in 0..self.config.routers {
            planned.push((true, self.plan_router(i).await?));
        }
        for i in 0..self.config.engines {
            let engine = self.start_engine(i).await?;
            let group = self.config.engine_group.clone();
            let settings = self.plan_agent(i, "engine", engine, &group).await?;
            planned.push((false, settings));
        }
        for i in 0..self.config.services {
            let service = self.start_emulator("service", &[]).await?;
            let group = self.config.service_group.clone();
            let number = self.config.engines + i;
            let settings = self.plan_agent(number, "service", service, &group).await?;
            planned.push((false, settings));
        }
        Ok(planned)
    }

    pub(super) async fn plan_router(&self, i: usize) -> anyhow::Result<DaemonSettingsFile> {
        let root_token = self.config.root_token.as_bytes();
        let role = RoleSettings::Router {
            caller_api: free_address()?,
            admin_api: free_address()?,
            root_token_sha256: token::sha256(root_token),
        };
        let vm = format!("entry-{}", i + 1);
        self.plan_daemon(vm, i, ROUTER_GROUP, role).await
    }

    pub(super) async fn plan_agent(
        &self,
        i: usize,
        kind: &str,
        endpoint: SocketAddr,
        group: &str,
    ) -> anyhow::Result<DaemonSettingsFile> {
        let role = RoleSettings::Agent {
            kind: kind.to_owned(),
            endpoint,
            router_group: ROUTER_GROUP.to_owned(),
        };
        let vm = format!("worker-{}", i + 1);
        self.plan_daemon(vm, i, group, role).await
    }

    pub(super) async fn plan_replacement(
        &self,
        agent: usize,
    ) -> anyhow::Result<DaemonSettingsFile> {
        let old = &self.agents[agent].settings;
        let vm = format!("worker-{}-{}", agent + 1, self.replaced_agents);
        self.plan_daemon(vm, agent, &old.group, old.role.clone())
            .await
    }

    /// Chooses a daemon's addresses and adds its VM to the platform's VM list.
    pub(super) async fn plan_daemon(
        &self,
        vm: String,
        i: usize,
        group: &str,
        role: RoleSettings,
    ) -> anyhow::Result<DaemonSettingsFile> {
        let zones = &self.config.zones;
        let settings = DaemonSettingsFile {
            vm,
            zone: zones[i % zones.len()].clone(),
            group: group.to_owned(),
            internal: free_address()?,
            health: free_address()?,
            platform: self.platform,
            role,
        };
        let entry = json!({
            "id": settings.vm, "address": settings.internal, "zone": settings.zone,
            "group": settings.group, "state": "live",
        });
        self.post_control(self.platform, "/control/vms", &entry)
            .await?;
        Ok(settings)
    }
}
