//! The gateway: callers before it, endpoints behind it, nothing beside them.
//!
//! A gateway serves a platform whose endpoints take requests and orders over
//! HTTP themselves. It keeps nothing: the configuration, the endpoints and the
//! lease on orders live in the platform's store, and everything else is learned
//! again within seconds of a start.
//!
//! # Parts
//!
//! * [`callers`] accepts connections and hands each request to [`request`], which
//!   finds its route; [`serving`] waits for an endpoint and sends it by [`attempt`].
//! * [`follow`] keeps the tables of the store in view.
//! * [`granting`] gives waiting requests the endpoints that have room.
//! * [`poison`] refuses requests that crash endpoints.
//! * [`peers`] tells the other gateways what is in progress and asked for.
//! * [`ordering`] gives orders to engines while this gateway holds the lease.
//! * [`shared`] is the state that all of them share.
//!
//! All tasks run on one thread. The state is borrowed for the length of one
//! decision and never across an await, so each decision sees it whole.

pub mod answer_body;
pub mod attempt;
pub mod callers;
pub mod connection;
pub mod event_stream;
pub mod event_timing;
pub mod follow;
pub mod granting;
pub mod in_progress;
pub mod ordering;
pub mod own_answers;
pub mod peer_message;
pub mod peers;
pub mod placement_told;
pub mod plain_http;
pub mod poison;
pub mod pool;
pub mod request;
pub mod reservation;
pub mod serving;
pub mod shared;
pub mod stop;
pub mod view;
pub mod waiter;
pub mod waiting;

use std::path::Path;
use std::rc::Rc;

use chicorystage_borders::http::HttpServer;
use tokio::task::LocalSet;

use crate::gateway::shared::Gateway;
use crate::settings::GatewaySettings;

/// Runs a gateway until it is told to stop.
///
/// # Errors
///
/// Fails where an address cannot be bound.
pub async fn serve(path: &Path, settings: GatewaySettings) -> anyhow::Result<()> {
    let tasks = LocalSet::new();
    tasks
        .run_until(async move {
            let gateway = start(settings).await?;
            stop::run(&gateway, path).await;
            Ok(())
        })
        .await
}

/// Starts a gateway on the current local task set; port 0 takes a free port.
///
/// # Errors
///
/// Fails where an address cannot be bound.
pub async fn start(mut settings: GatewaySettings) -> anyhow::Result<Rc<Gateway>> {
    let listener = callers::bind(settings.callers)?;
    settings.callers = listener.local_addr()?;
    let readiness = callers::bind(settings.readiness)?;
    settings.readiness = readiness.local_addr()?;
    let socket = peers::bind(settings.peers)?;
    settings.peers = socket.local_addr()?;
    let metrics = match settings.metrics {
        Some(address) => Some(HttpServer::bind(address).await?),
        None => None,
    };
    let gateway = Rc::new(Gateway::new(settings));
    log::info!(
        event = "gateway_started", vm = gateway.settings.vm.as_str(),
        callers:% = gateway.settings.callers, version = env!("CARGO_PKG_VERSION");
        "gateway started"
    );
    if let Some(server) = metrics {
        plain_http::serve_metrics(server, &gateway);
    }
    plain_http::serve_readiness(readiness, Rc::clone(&gateway));
    follow::start(&gateway);
    peers::start(&gateway, socket);
    ordering::start(&gateway);
    granting::start(&gateway);
    callers::start(&gateway, listener);
    Ok(gateway)
}
