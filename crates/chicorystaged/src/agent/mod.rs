//! The agent: owner of one endpoint's memory, queue, orders and claims.
//!
//! [`main_loop`] owns the state and decides. The [`work_api`] turns a router's
//! connection into events and the loop's frames into bytes; endpoint tasks
//! talk to the engine or service and tell the loop what came of it.

pub mod borders;
pub mod event;
pub mod handle;
pub mod main_loop;
pub mod parts;
pub mod work_api;

mod control_api;
mod endpoint_task;
mod health_api;

use chicorystage_platform::http::HttpServer;

use crate::agent::borders::AgentBorders;
use crate::agent::parts::AgentParts;
use crate::settings::{AgentSettings, Settings};
use crate::timer::Clock;

/// Runs an agent until it is told to stop.
///
/// # Errors
///
/// Fails where an address cannot be bound.
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

    crate::stop::signalled().await;
    log::info!(event = "agent_stopping"; "agent is leaving");
    internal.stop_gracefully().await;
    health.stop_gracefully().await;
    parts.running.abort();
    log::info!(event = "agent_stopped"; "agent stopped");
    Ok(())
}
