//! The agent: runs the attempts that routers send to one endpoint.
//!
//! One agent runs beside each endpoint, which is a model engine or a plain
//! service. It alone manages the endpoint's queue and claims and, on an engine,
//! the accelerator memory and the load and unload commands ("orders").
//!
//! [`main_loop`] is a single-threaded actor: it owns all state, handles one
//! event at a time and leaves decisions to the state machines of
//! `chicorystage-core`. [`work_api`] turns router connections into events and
//! streams the loop's frames back. All input and output happens in spawned
//! tasks: they talk to the endpoint, the table, the list of VMs and the
//! routers, and report each result to the loop as an event.

pub mod borders;
pub mod call_answer;
pub mod event;
pub mod handle;
pub mod learned_policy;
pub mod main_loop;
pub mod parts;
pub mod policy;
pub mod work_api;

mod admission;
mod attempts;
mod call_task;
mod claims;
mod completion_task;
mod control_api;
mod dispatch;
mod draining;
mod engine_state;
mod health_api;
mod metrics;
mod order_result;
mod order_task;
mod orders;
mod permit;
mod placement;
mod prewarm;
mod queued_attempt;
mod readiness;
mod running_attempt;
mod slot_reads;
mod status_report;
mod table_task;
mod target;
mod unloading;
mod urgency;
mod watch_task;

use chicorystage_borders::http::HttpServer;

use crate::agent::borders::AgentBorders;
use crate::agent::event::AgentEvent;
use crate::agent::parts::AgentParts;
use crate::settings::{AgentSettings, Settings};
use crate::timer::Clock;

/// Runs an agent until it has drained after a stop signal or a drain request.
///
/// # Errors
///
/// Fails if one of the two listen addresses cannot be bound.
pub async fn serve(settings: Settings, role: AgentSettings) -> anyhow::Result<()> {
    let clock = Clock::start();
    let borders = AgentBorders::connect(&settings.platform, &role);
    let internal_server = HttpServer::bind(settings.listen.internal).await?;
    let health_server = HttpServer::bind(settings.listen.health).await?;
    log::info!(
        event = "agent_started", vm = settings.daemon.vm.as_str(), internal:% = internal_server.address();
        "agent started"
    );

    let parts = AgentParts::start(settings.daemon, role, borders, clock);
    let internal = internal_server.start(parts.internal_api);
    let health = health_server.start(parts.health_api);

    let mut running = parts.main_loop;
    let has_left = tokio::select! {
        () = crate::stop::signalled() => false,
        _ended = &mut running => true,
    };
    if !has_left {
        parts.handle.send(AgentEvent::Drain).await;
        // The loop ends once nothing is left to finish or release, or after the maximum drain time.
        let _ended = running.await;
    }
    tokio::join!(internal.stop_gracefully(), health.stop_gracefully());
    log::info!(event = "agent_stopped"; "agent stopped");
    Ok(())
}
