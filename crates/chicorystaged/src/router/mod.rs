//! The router: from a caller's request to an endpoint's whole answer.
//!
//! [`main_loop`] owns the state and decides. A [`caller_api`] task follows one
//! request through its life, asks the loop for each decision and moves the
//! bytes between the caller and an agent. Refresh tasks read the platform and
//! tell the loop what they found.

pub mod admin_api;
pub mod borders;
pub mod caller_api;
pub mod claims;
pub mod event;
pub mod handle;
pub mod main_loop;
pub mod permits;
pub mod planner;
pub mod refresh;

mod health_api;
mod internal_api;

use std::sync::Arc;

use chicorystage_platform::http::HttpServer;
use tokio::sync::mpsc;

use crate::router::admin_api::AdminApi;
use crate::router::borders::RouterBorders;
use crate::router::caller_api::CallerApi;
use crate::router::handle::RouterHandle;
use crate::router::health_api::HealthApi;
use crate::router::internal_api::InternalApi;
use crate::router::main_loop::RouterLoop;
use crate::settings::{RouterSettings, Settings};
use crate::timer::Clock;

/// Events that wait for the loop at once.
const EVENTS_BUFFERED: usize = 4_096;

/// Runs a router until it is told to stop.
///
/// # Errors
///
/// Fails where an address cannot be bound.
pub async fn serve(settings: Settings, role: RouterSettings) -> anyhow::Result<()> {
    let clock = Clock::start();
    let borders = RouterBorders::connect(&settings.platform);
    let caller_server = HttpServer::bind(role.caller_api).await?;
    let admin_server = HttpServer::bind(role.admin_api).await?;
    let internal_server = HttpServer::bind(settings.listen.internal).await?;
    let health_server = HttpServer::bind(settings.listen.health).await?;
    log::info!(
        event = "router_started", vm = settings.daemon.vm.as_str(), caller_api:% = caller_server.address();
        "router started"
    );

    let (sender, events) = mpsc::channel(EVENTS_BUFFERED);
    let handle = RouterHandle::new(sender);
    refresh::spawn(&borders, &handle, clock);
    let main_loop = RouterLoop::new(
        settings.daemon,
        role.clone(),
        borders.clone(),
        handle.clone(),
        clock,
    );
    let running = tokio::spawn(main_loop.run(events));

    let caller_api = CallerApi::new(handle.clone(), borders.clone(), clock);
    let callers = caller_server.start(Arc::new(caller_api));
    let admins = admin_server.start(Arc::new(AdminApi::new(handle.clone(), borders, role)));
    let internal = internal_server.start(Arc::new(InternalApi::new(handle.clone())));
    let health = health_server.start(Arc::new(HealthApi::new(handle.clone())));

    crate::stop::signalled().await;
    log::info!(event = "router_stopping"; "router is leaving");
    callers.stop_gracefully().await;
    admins.stop_gracefully().await;
    internal.stop_gracefully().await;
    health.stop_gracefully().await;
    drop(handle);
    running.abort();
    log::info!(event = "router_stopped"; "router stopped");
    Ok(())
}
