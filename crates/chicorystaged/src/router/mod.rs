//! The router: dispatches callers' requests to endpoints and returns their answers.
//!
//! [`main_loop`] owns the state and makes all decisions. The [`caller_api`]
//! parses requests and formats answers as HTTP. A [`serving`] task handles one
//! request from admission to the last frame: it asks the main loop for each
//! decision, dispatches attempts and forwards their frames. [`refresh`] tasks
//! poll the platform and send what they read to the main loop. The [`planner`]
//! and the [`permits`] decide on placements and weight fetches.

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

/// Runs a router until a stop signal or an operator's drain command, then shuts it down.
///
/// # Errors
///
/// Returns an error if an address cannot be bound.
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
        () = parts.handle.drain_requested() => {}
    }
    log::info!(event = "router_stopping"; "router is shutting down");
    drain::shut_down(&parts.handle, callers, &role).await;
    tokio::join!(
        admins.stop_gracefully(),
        internal.stop_gracefully(),
        health.stop_gracefully()
    );
    parts.handle.stop().await;
    // The stop event ends the loop. If it panicked, the router is stopping anyway.
    let _ended = parts.main_loop.await;
    log::info!(event = "router_stopped"; "router stopped");
    Ok(())
}
