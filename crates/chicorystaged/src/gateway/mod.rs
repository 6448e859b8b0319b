//! HTTP proxy between callers and endpoints, without an agent beside each endpoint.
//!
//! A gateway serves a platform whose endpoints accept requests and orders (commands to load or
//! unload a model or adapter) over HTTP themselves. It stores nothing locally: the configuration,
//! the endpoints and the lease on orders live in the platform's store, and all other state is
//! rebuilt within seconds of a start.
//!
//! # Parts
//!
//! * [`callers`] accepts connections and hands each request to [`request`], which
//!   finds its route; [`serving`] reserves an endpoint and sends the request with [`attempt`];
//!   [`relay`] passes a long answer on as it arrives.
//! * [`follow`] polls the tables of the store for changes.
//! * [`teams`] decides whether a request's key and its team's quota let it in.
//! * [`granting`] grants reservations to waiting requests when endpoints have capacity.
//! * [`crash_checks`] finds out whether an endpoint crashed when a connection broke; [`poison`] refuses
//!   requests that crash endpoints, `prompt_parts` finds parts of prompts that do, and
//!   `quarantine_rows` keeps both in the store.
//! * [`stream_origins`] finds the software version that began a stream which a caller takes up again;
//!   [`software_rows`] keeps the versions that served lately, [`stream_rows`] those streams.
//! * [`peers`] exchanges load, demand and placement with the other gateways.
//! * [`request_limits`] keeps the limits that endpoints name for all gateways together.
//! * [`lease_writes`] acquires and renews the lease on orders.
//! * [`engine_orders`] sends orders to engines while this gateway holds the lease.
//! * [`shared`] is the state that all tasks share.
//!
//! All tasks run on one thread. The state is borrowed for one decision at a time and never across
//! an await, so each decision sees a consistent state.

pub mod answer_body;
pub mod attempt;
pub mod body_budget;
pub mod body_reading;
pub mod caller_connections;
pub mod caller_identity;
pub mod caller_work;
pub mod callers;
pub mod choice_page;
pub mod connection;
pub mod crash_checks;
pub mod elsewhere;
pub mod engine_orders;
pub mod era_row;
pub mod event_stream;
pub mod follow;
pub mod granting;
pub mod in_progress;
pub mod lateness;
pub mod lease_writes;
pub mod loss_reason;
pub mod origin_evidence;
pub mod own_responses;
pub mod part_trials;
pub mod peer_message;
pub mod peers;
pub mod placement_publisher;
pub mod poison;
pub mod pool;
pub mod probe_http;
mod prompt_parts;
mod quarantine_rows;
pub mod recorded_versions;
pub mod relay;
pub mod request;
pub mod request_limits;
pub mod reservation;
pub mod retry_decision;
pub mod retry_permit;
pub mod serving;
pub mod shared;
pub mod software_rows;
pub mod stop;
pub mod store_era;
pub mod stream_origins;
pub mod stream_rows;
pub mod teams;
pub mod view;
pub mod wait_queue;
pub mod waiter;

use std::path::Path;
use std::rc::Rc;

use chicorystage_borders::http::HttpServer;
use tokio::task::LocalSet;

use crate::gateway::shared::Gateway;
use crate::settings::GatewaySettings;

/// Runs a gateway until the process is signalled to stop, then shuts it down gracefully.
///
/// `path` is the settings file that is checked again on a hangup signal.
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

/// Starts a gateway on the current local task set.
///
/// An address of port 0 binds a free port, which the gateway's settings then name.
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
    settings.metrics = metrics.as_ref().map(HttpServer::address);
    let gateway = Rc::new(Gateway::new(settings));
    log::info!(
        event = "gateway_started", vm = gateway.settings.vm.as_str(),
        callers:% = gateway.settings.callers, version = env!("CARGO_PKG_VERSION");
        "gateway started"
    );
    if let Some(server) = metrics {
        probe_http::serve_metrics(server, &gateway);
    }
    probe_http::serve_readiness(readiness, Rc::clone(&gateway));
    follow::start(&gateway);
    peers::start(&gateway, socket);
    software_rows::start(&gateway);
    stream_rows::start(&gateway);
    engine_orders::start(&gateway);
    request_limits::start(&gateway);
    granting::start(&gateway);
    callers::start(&gateway, listener);
    Ok(gateway)
}
