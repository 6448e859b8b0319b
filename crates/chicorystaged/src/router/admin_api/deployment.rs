//! Reports the state of the whole deployment, traces of requests, and drains VMs.

use std::sync::Arc;
use std::time::Duration;

use chicorystage_api::admin::{AgentReport, DeploymentStatus, RouterReport};
use chicorystage_api::name::{RequestId, VmId};
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_borders::BorderError;
use chicorystage_borders::vm_list::{VmEntry, VmState};
use http::StatusCode;
use serde_json::json;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::router::admin_api::admin_error::AdminError;
use crate::router::admin_api::{AdminApi, Answer, json_ok};
use crate::web;

/// Maximum time to wait for the answer of one process, in milliseconds.
const STATUS_MAX_MS: u64 = 2_000;
/// Maximum number of processes that are queried at the same time.
const CONCURRENT_QUERIES_MAX: usize = 64;

/// State of one process, without a status if it did not answer.
enum ProcessReport {
    Router(RouterReport),
    Agent(AgentReport),
}

impl AdminApi {
    /// Queries the state of every listed process.
    ///
    /// A process that does not answer is reported without a status.
    pub(super) async fn status(&self) -> Answer {
        let mut queries = JoinSet::new();
        let semaphore = Arc::new(Semaphore::new(CONCURRENT_QUERIES_MAX));
        for vm in self.vms().await?.into_values() {
            let (api, semaphore) = (self.clone(), Arc::clone(&semaphore));
            queries.spawn(async move {
                let _permit = semaphore.acquire_owned().await;
                api.query_process(vm).await
            });
        }
        let mut status = DeploymentStatus {
            revision: self.handle.status().await.map_or(0, |own| own.revision),
            routers: Vec::new(),
            agents: Vec::new(),
            quarantine: self.handle.list_quarantine().await,
        };
        while let Some(report) = queries.join_next().await {
            match report {
                Ok(ProcessReport::Router(router)) => status.routers.push(router),
                Ok(ProcessReport::Agent(agent)) => status.agents.push(agent),
                Err(_panicked) => {}
            }
        }
        status.routers.sort_by(|a, b| a.vm.cmp(&b.vm));
        status.agents.sort_by(|a, b| a.vm.cmp(&b.vm));
        Ok(json_ok(&status))
    }

    async fn query_process(&self, vm: VmEntry) -> ProcessReport {
        let max_wait = Duration::from_millis(STATUS_MAX_MS);
        let listed_leaving = vm.state == VmState::Leaving;
        if vm.group == self.group {
            let status = timeout(max_wait, self.borders.routers.status(vm.address)).await;
            return ProcessReport::Router(RouterReport {
                vm: vm.id,
                zone: vm.zone,
                listed_leaving,
                status: status.ok().and_then(Result::ok),
            });
        }
        let status = timeout(max_wait, self.borders.agents.status(vm.address)).await;
        ProcessReport::Agent(AgentReport {
            vm: vm.id,
            zone: vm.zone,
            group: vm.group,
            listed_leaving,
            status: status.ok().and_then(Result::ok),
        })
    }

    /// Returns the trace of a request, which only the router that accepted it has.
    ///
    /// Looks in this router first, then queries the other listed routers.
    pub(super) async fn explain(&self, id: RequestId) -> Answer {
        if let Some(trace) = self.handle.explain(id.clone()).await {
            return Ok(json_ok(&trace));
        }
        let mut queries = JoinSet::new();
        let vms = self.vms().await?.into_values();
        for vm in vms.filter(|vm| vm.group == self.group && vm.id != self.own_vm) {
            let (routers, id) = (Arc::clone(&self.borders.routers), id.clone());
            let max_wait = Duration::from_millis(STATUS_MAX_MS);
            queries.spawn(async move { timeout(max_wait, routers.explain(vm.address, id)).await });
        }
        while let Some(answer) = queries.join_next().await {
            if let Ok(Ok(Ok(Some(trace)))) = answer {
                return Ok(json_ok(&trace));
            }
        }
        let detail = format!("no router that answers remembers request {id}");
        Err(AdminError::NotFound(detail))
    }

    /// Requests a graceful stop of the process on one VM.
    pub(super) async fn drain(&self, vm: &VmId) -> Answer {
        let vms = self.vms().await?;
        let entry = vms
            .get(vm)
            .ok_or_else(|| AdminError::NotFound(format!("no VM {vm} is listed")))?;
        let result = if entry.group == self.group {
            self.borders.routers.drain(entry.address).await
        } else {
            self.borders.agents.drain(entry.address).await
        };
        result.map_err(|error| drain_unconfirmed(vm, &error))?;
        log::info!(event = "drain_asked", vm = vm.as_str(); "drain requested");
        Ok(web::json(StatusCode::ACCEPTED, &json!({ "vm": vm })))
    }
}

fn drain_unconfirmed(vm: &VmId, error: &BorderError) -> Refusal {
    let detail = format!("{vm} did not confirm the drain: {error}");
    if error.had_no_effect() {
        return Refusal::not_run(RefusalCode::NoEndpoint, detail);
    }
    Refusal::may_have_run(RefusalCode::ResultUnknown, detail)
}
