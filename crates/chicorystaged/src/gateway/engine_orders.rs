//! Sends orders to engines while this gateway holds the lease on orders.
//!
//! An order tells an engine to load or unload a model or an adapter. At most one gateway plans them
//! at a time: the one that holds a lease in the store, which it renews. Each order carries the
//! epoch of the lease as a fencing token. The lease holder also reads engines' reports and
//! publishes to all gateways what each engine has loaded.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use chicorystage_api::name::EndpointId;
use chicorystage_borders::http::HttpClient;
use chicorystage_core::lease::FIRST_EPOCH;
use chicorystage_core::orders::{FormerOrders, Order, OrderReply};
use chicorystage_platform::engine;

use crate::gateway::lease_writes::tick_lease;
use crate::gateway::peer_message::{EngineUpdate, PeerContent, PlacementUpdate};
use crate::gateway::peers;
use crate::gateway::placement_publisher::PlacementPublisher;
use crate::gateway::shared::Gateway;
use crate::gateway::software_rows;
use crate::timer::unix_ms;

/// Interval between two planning passes without a notification, in milliseconds.
const PLAN_PERIOD_MS: u64 = 100;
/// Shortest interval between two planning passes, in milliseconds.
const PLAN_INTERVAL_MIN_MS: u64 = 10;
/// Timeout of a call to an engine, in milliseconds.
const ENGINE_TIMEOUT_MS: u64 = 600;
/// Largest answer of an engine to a read of its report or to an order, in bytes.
const ENGINE_ANSWER_BYTES_MAX: usize = 1 << 20;
/// Largest number of engines in one datagram.
const ENGINES_PER_MESSAGE: usize = 40;

/// HTTP clients by engine, each kept as long as its engine is registered at the same address.
#[derive(Debug, Default)]
struct Clients {
    clients: RefCell<HashMap<EndpointId, Rc<HttpClient>>>,
}

/// Starts the task that maintains the lease and sends orders.
pub fn start(gateway: &Rc<Gateway>) {
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move { run(&gateway).await });
}

async fn run(gateway: &Rc<Gateway>) {
    let clients = Rc::new(Clients::default());
    let mut published = Published::default();
    let mut known_epoch = None;
    loop {
        let period = Duration::from_millis(PLAN_PERIOD_MS);
        // Both the end of the period and a notification start the next pass.
        let _elapsed = tokio::time::timeout(period, gateway.plan_changed.notified()).await;
        tick_lease(gateway);
        if let Some(epoch) = gateway.order_epoch() {
            if known_epoch.replace(epoch) != Some(epoch) {
                begin_epoch(gateway, epoch);
            }
            plan(gateway, &clients, epoch);
            software_rows::update(gateway);
            publish_placement(gateway, epoch, &mut published).await;
            peers::publish_total_load(gateway, epoch, &mut published.total_load_sent_ms).await;
        }
        tokio::time::sleep(Duration::from_millis(PLAN_INTERVAL_MIN_MS)).await;
    }
}

/// Prepares the view of the engines for the orders of a new epoch.
fn begin_epoch(gateway: &Gateway, epoch: u64) {
    let now_ms = gateway.now_ms();
    let former_orders = (epoch > FIRST_EPOCH).then(|| FormerOrders::before(now_ms, unix_ms()));
    let mut tracker = gateway.engine_tracker.borrow_mut();
    tracker.begin_epoch(now_ms, former_orders);
}

/// Starts the calls that are due: reads of engines' reports, and orders under `epoch`.
fn plan(gateway: &Rc<Gateway>, clients: &Rc<Clients>, epoch: u64) {
    let Some(configuration) = gateway.configuration() else {
        return;
    };
    let now_ms = gateway.now_ms();
    let (due, orders) = gateway.with(|view| {
        let mut tracker = gateway.engine_tracker.borrow_mut();
        tracker.sync_engines(now_ms, &view.fleet, &configuration);
        let due = tracker.take_due_reports(now_ms);
        let orders = tracker.plan(now_ms, &view.fleet, &view.demand, &configuration);
        (due, orders)
    });
    for id in due {
        let (gateway, clients) = (Rc::clone(gateway), Rc::clone(clients));
        tokio::task::spawn_local(async move { read_report(&gateway, &clients, id).await });
    }
    for order in orders {
        let (gateway, clients) = (Rc::clone(gateway), Rc::clone(clients));
        tokio::task::spawn_local(async move { send_order(&gateway, &clients, epoch, order).await });
    }
}

/// Reads an engine's report of its state and records it.
async fn read_report(gateway: &Rc<Gateway>, clients: &Rc<Clients>, id: EndpointId) {
    let Some(client) = clients.get(gateway, &id) else {
        return;
    };
    match engine::fetch_report(&client).await {
        Ok(report) => {
            let now_ms = gateway.now_ms();
            gateway
                .engine_tracker
                .borrow_mut()
                .apply_report(now_ms, &id, &report);
            gateway.plan_changed.notify_one();
        }
        Err(error) => {
            log::debug!(event = "report_failed", endpoint = id.as_str(), error:%; "engine's report could not be read");
        }
    }
}

/// Sends an order to its engine and records the reply; no reply counts as an unknown outcome.
async fn send_order(gateway: &Rc<Gateway>, clients: &Rc<Clients>, epoch: u64, order: Order) {
    let Some(client) = clients.get(gateway, &order.endpoint) else {
        return;
    };
    // The lease may have ended since the order was planned.
    if gateway.order_epoch() != Some(epoch) {
        return;
    }
    let reply = engine::send_order(&client, &gateway.settings.vm, epoch, &order).await;
    let reply = reply.unwrap_or(OrderReply::Unknown);
    let kind = if order.kind.adapter().is_some() {
        "adapter"
    } else {
        "model"
    };
    gateway.metrics.count_order(kind, &reply.to_string());
    log::info!(
        event = "order", endpoint = order.endpoint.as_str(), model = order.model.as_str(),
        kind:% = order.kind, sequence = order.expected_sequence, epoch, reply:%;
        "order sent"
    );
    if reply == OrderReply::Fenced {
        gateway.observe_epoch(epoch + 1);
    }
    let Some(configuration) = gateway.configuration() else {
        return;
    };
    let now_ms = gateway.now_ms();
    gateway
        .engine_tracker
        .borrow_mut()
        .apply_reply(now_ms, &order, reply, &configuration);
    gateway.plan_changed.notify_one();
}

impl Clients {
    /// Returns the client for an engine's current address; `None` where the engine is not
    /// registered.
    fn get(&self, gateway: &Gateway, id: &EndpointId) -> Option<Rc<HttpClient>> {
        let Some(address) = gateway.address_of(id) else {
            self.clients.borrow_mut().remove(id);
            return None;
        };
        let mut clients = self.clients.borrow_mut();
        let known = clients.get(id).filter(|client| client.address() == address);
        if let Some(known) = known {
            return Some(Rc::clone(known));
        }
        let client = HttpClient::new(address, ENGINE_TIMEOUT_MS)
            .with_response_bytes_max(ENGINE_ANSWER_BYTES_MAX);
        let client = Rc::new(client);
        clients.insert(id.clone(), Rc::clone(&client));
        Some(client)
    }
}

/// What this gateway has published to the others as the lease holder, and when.
#[derive(Debug, Default)]
struct Published {
    placement: PlacementPublisher,
    total_load_sent_ms: Option<u64>,
}

/// Publishes to every gateway, this one included, what engines have loaded.
async fn publish_placement(gateway: &Rc<Gateway>, epoch: u64, published: &mut Published) {
    let now_ms = gateway.now_ms();
    let updates = engine_updates(gateway, now_ms);
    let changed = published
        .placement
        .due(now_ms, updates, |engine| is_tracked(gateway, engine));
    if !changed.is_empty() {
        peers::apply_placement(gateway, now_ms, changed.clone());
    }
    for engines in changed.chunks(ENGINES_PER_MESSAGE) {
        let update = PlacementUpdate {
            epoch,
            engines: engines.to_vec(),
        };
        peers::broadcast(gateway, PeerContent::Placement(update)).await;
    }
}

/// Returns whether an engine is still tracked with the same start time, even if its state is
/// unresolved.
fn is_tracked(gateway: &Gateway, update: &EngineUpdate) -> bool {
    let tracker = gateway.engine_tracker.borrow();
    let engine = tracker.engine(&update.endpoint);
    engine.is_some_and(|engine| engine.born_unix_ms == update.born_unix_ms)
}

/// Returns what each engine of known state has loaded and is loading.
fn engine_updates(gateway: &Gateway, now_ms: u64) -> Vec<EngineUpdate> {
    let tracker = gateway.engine_tracker.borrow();
    let updates = tracker.known_engines().map(|engine| {
        let loaded = engine.loaded.iter();
        let loaded = loaded.map(|(model, adapters)| {
            let adapters = adapters.iter().cloned().collect();
            (model.clone(), adapters)
        });
        let loading = engine.loading_model();
        EngineUpdate {
            endpoint: engine.id.clone(),
            born_unix_ms: engine.born_unix_ms,
            models: loaded.collect(),
            loading: loading.map(|load| (load.model, load.due_ms.saturating_sub(now_ms))),
        }
    });
    updates.collect()
}
