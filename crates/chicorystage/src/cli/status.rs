//! The commands `status` and `drain VM`.

use bytes::Bytes;
use chicorystage_api::admin::{AgentReport, DeploymentStatus, RouterReport};
use chicorystage_api::peer::{AgentStatus, ReplicaState};
use http::Method;
use serde_json::Value;

use crate::ToolError;
use crate::admin_client::encode;
use crate::cli::context::Context;
use crate::cli::options::DrainOptions;
use crate::cli::quarantine;
use crate::table::Table;

const UNKNOWN: &str = "?";
const MIB: u64 = 1 << 20;

pub(crate) async fn run(context: &Context) -> Result<(), ToolError> {
    let status: DeploymentStatus = context.client()?.get("status").await?;
    context.print(&status, describe)
}

pub(crate) async fn drain(context: &Context, options: &DrainOptions) -> Result<(), ToolError> {
    let path = format!("drain/{}", encode(&options.vm));
    let answer = context
        .client()?
        .call::<Value>(Method::POST, &path, Bytes::new())
        .await?;
    context.print(&answer, |_| format!("{} is leaving\n", options.vm))
}

fn describe(status: &DeploymentStatus) -> String {
    let mut routers = Table::new(&[
        "ROUTER",
        "ZONE",
        "STATE",
        "REVISION",
        "CONFIRMED",
        "TABLE",
        "IN_PROGRESS",
        "QUARANTINED",
    ]);
    for report in &status.routers {
        routers.add_row(router_row(report));
    }
    let mut agents = Table::new(&[
        "AGENT",
        "ZONE",
        "GROUP",
        "STATE",
        "REVISION",
        "MEMORY_MIB",
        "RUNNING",
        "QUEUED",
        "LOADED",
        "SLOTS",
    ]);
    for report in &status.agents {
        agents.add_row(agent_row(report));
    }
    let quarantine = quarantine::describe(&status.quarantine);
    format!("{routers}\n{agents}\n{quarantine}")
}

fn router_row(report: &RouterReport) -> Vec<String> {
    let mut cells = vec![report.vm.to_string(), report.zone.to_string()];
    let Some(status) = &report.status else {
        cells.extend(["no answer".to_owned()]);
        cells.extend(std::iter::repeat_n(UNKNOWN.to_owned(), 5));
        return cells;
    };
    let state = match (status.leaving || report.listed_leaving, status.ready) {
        (true, _) => "leaving",
        (false, true) => "ready",
        (false, false) => "not ready",
    };
    let confirmed = match status.confirmed_age_ms {
        u64::MAX => "never".to_owned(),
        age_ms => format!("{age_ms} ms ago"),
    };
    let table = if status.table_up { "up" } else { "down" };
    cells.extend([
        state.to_owned(),
        status.revision.to_string(),
        confirmed,
        table.to_owned(),
        status.in_progress.to_string(),
        status.quarantined.to_string(),
    ]);
    cells
}

fn agent_row(report: &AgentReport) -> Vec<String> {
    let mut cells = vec![
        report.vm.to_string(),
        report.zone.to_string(),
        report.group.to_string(),
    ];
    let Some(status) = &report.status else {
        cells.extend(["no answer".to_owned()]);
        cells.extend(std::iter::repeat_n(UNKNOWN.to_owned(), 6));
        return cells;
    };
    let state = match (status.leaving || report.listed_leaving, status.endpoint_up) {
        (true, _) => "leaving",
        (false, true) => "up",
        (false, false) => "endpoint down",
    };
    let memory = format!(
        "{}/{}",
        status.memory_reserved_bytes / MIB,
        status.memory_total_bytes / MIB
    );
    let slots: Vec<&str> = status
        .slots
        .iter()
        .map(|(model, _)| model.as_str())
        .collect();
    cells.extend([
        state.to_owned(),
        status.revision.to_string(),
        memory,
        status.load.running.to_string(),
        status.load.queued.to_string(),
        replicas_text(status),
        slots.join(" "),
    ]);
    cells
}

fn replicas_text(status: &AgentStatus) -> String {
    let replicas = status.replicas.iter().map(|replica| {
        let mark = match replica.state {
            ReplicaState::Loaded => "",
            ReplicaState::Loading => " (loading)",
            ReplicaState::Unloading => " (unloading)",
            ReplicaState::Unsettled => " (unsettled)",
        };
        format!("{}@{}{mark}", replica.model, replica.version)
    });
    replicas.collect::<Vec<_>>().join(" ")
}
