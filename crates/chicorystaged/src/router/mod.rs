//! The router: from a caller's request to an endpoint's whole answer.
//!
//! [`main_loop`] owns the state and decides. The [`caller_api`] parses and
//! formats HTTP. A [`serving`] task follows one request through its life, asks
//! the loop for each decision and moves the frames of its attempts. Refresh tasks read the platform and
//! tell the loop what they found.

pub mod admin_api;
pub mod borders;
pub mod caller_api;
pub mod claims;
pub mod drain;
pub mod event;
pub mod handle;
pub mod inventory;
pub mod main_loop;
pub mod parts;
pub mod permits;
pub mod planner;
pub mod refresh;
pub mod serving;

mod health_api;
mod internal_api;
mod internal_rpc;

use chicorystage_borders::http::HttpServer;

use crate::router::borders::RouterBorders;
use crate::router::parts::RouterParts;
use crate::settings::{RouterSettings, Settings};
use crate::timer::Clock;

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

    let parts = RouterParts::start(&settings.daemon, &role, borders, clock);
    let callers = caller_server.start(parts.caller_api);
    let admins = admin_server.start(parts.admin_api);
    let internal = internal_server.start(parts.internal_api);
    let health = health_server.start(parts.health_api);

    tokio::select! {
        () = crate::stop::signalled() => {}
        () = parts.handle.drain_ordered() => {}
    }
    log::info!(event = "router_stopping"; "router is leaving");
    drain::leave(&parts.handle, callers, &role).await;
    tokio::join!(
        admins.stop_gracefully(),
        internal.stop_gracefully(),
        health.stop_gracefully()
    );
    parts.handle.stop().await;
    // The loop ends by the event above; a panic in it has ended the process's work anyway.
    let _ended = parts.running.await;
    log::info!(event = "router_stopped"; "router stopped");
    Ok(())
}
