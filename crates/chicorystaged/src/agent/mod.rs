//! The agent: owner of one endpoint's memory, queue, orders and claims.
//!
//! [`main_loop`] owns the state and decides. The [`work_api`] turns a router's
//! connection into events and the loop's frames into bytes; endpoint tasks
//! talk to the engine or service and tell the loop what came of it.

pub mod borders;
pub mod event;
pub mod handle;
pub mod main_loop;
pub mod work_api;

mod control_api;
mod endpoint_task;
mod health_api;

use std::sync::Arc;

use chicorystage_platform::http::HttpServer;
use tokio::sync::mpsc;

use crate::agent::borders::AgentBorders;
use crate::agent::handle::AgentHandle;
use crate::agent::health_api::HealthApi;
use crate::agent::main_loop::AgentLoop;
use crate::agent::work_api::WorkApi;
use crate::settings::{AgentSettings, Settings};
use crate::timer::Clock;

/// Events that wait for the loop at once.
const EVENTS_BUFFERED: usize = 4_096;

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

    let (sender, events) = mpsc::channel(EVENTS_BUFFERED);
    let handle = AgentHandle::new(sender);
    let main_loop = AgentLoop::new(settings.daemon, role, borders, handle.clone(), clock);
    let running = tokio::spawn(main_loop.run(events));

    let internal = internal_server.start(Arc::new(WorkApi::new(handle.clone())));
    let health = health_server.start(Arc::new(HealthApi::new(handle.clone())));

    crate::stop::signalled().await;
    log::info!(event = "agent_stopping"; "agent is leaving");
    internal.stop_gracefully().await;
    health.stop_gracefully().await;
    running.abort();
    log::info!(event = "agent_stopped"; "agent stopped");
    Ok(())
}
