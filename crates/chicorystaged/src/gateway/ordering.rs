//! Orders to engines, while this gateway holds the lease.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use chicorystage_api::name::EndpointId;
use chicorystage_borders::http::HttpClient;
use chicorystage_core::lease::{LeaseAction, LeaseRow, StoreReply};
use chicorystage_core::orders::{Order, OrderReply};
use chicorystage_platform::engine;
use chicorystage_platform::store::{Row, WriteOutcome};

use crate::gateway::follow::LEASE_KEY;
use crate::gateway::peer_message::{EngineNews, PeerContent, PlacementNews};
use crate::gateway::peers;
use crate::gateway::placement_told::PlacementTold;
use crate::gateway::shared::Gateway;
use crate::timer::boot_ms;

/// Time between two looks at the plan where nothing happens, in milliseconds.
const PLAN_PERIOD_MS: u64 = 100;
/// Shortest time between two looks at the plan, in milliseconds.
const PLAN_GAP_MS: u64 = 10;
/// Longest time of a call to an engine, in milliseconds.
const ENGINE_TIMEOUT_MS: u64 = 600;
/// Engines in one message.
const ENGINES_PER_MESSAGE: usize = 40;

/// Clients of engines, each kept as long as its engine is known.
#[derive(Debug, Default)]
struct Clients {
    clients: RefCell<HashMap<EndpointId, Rc<HttpClient>>>,
}

/// Starts the lease and the orders.
pub fn start(gateway: &Rc<Gateway>) {
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move { run(&gateway).await });
}

async fn run(gateway: &Rc<Gateway>) {
    let clients = Rc::new(Clients::default());
    let mut told = Told::default();
    loop {
        let period = Duration::from_millis(PLAN_PERIOD_MS);
        // Either the period is over or something has changed.
        let _elapsed = tokio::time::timeout(period, gateway.plan_changed.notified()).await;
        tick_lease(gateway);
        if let Some(epoch) = gateway.order_epoch() {
            plan(gateway, &clients, epoch);
            tell(gateway, epoch, &mut told).await;
            peers::tell_sum(gateway, epoch, &mut told.sum_told_ms).await;
        }
        tokio::time::sleep(Duration::from_millis(PLAN_GAP_MS)).await;
    }
}

/// A gateway that is leaving keeps the lease to its end and takes none.
fn tick_lease(gateway: &Rc<Gateway>) {
    let holds = gateway.order_epoch().is_some();
    if gateway.has_released.get() || (gateway.is_stopping.get() && !holds) {
        return;
    }
    let Some(action) = gateway.lease(|lease| lease.tick(boot_ms())) else {
        return;
    };
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        write_lease(&gateway, action).await;
    });
}

/// Writes the lease and takes over the store's answer; returns whether it was written.
pub async fn write_lease(gateway: &Rc<Gateway>, action: LeaseAction) -> bool {
    let sent_ms = boot_ms();
    let Ok(value) = serde_json::to_vec(&action.row) else {
        return false;
    };
    let outcome = gateway
        .store
        .write(LEASE_KEY, &value, action.expected_version)
        .await;
    let (reply, name) = match outcome {
        WriteOutcome::Written(version) => (StoreReply::Written(version), "ok"),
        WriteOutcome::Conflict(row) => (
            StoreReply::Conflict(row.and_then(|row| decode(&row))),
            "conflict",
        ),
        WriteOutcome::Refused => (StoreReply::Refused, "refused"),
        WriteOutcome::Unknown => (StoreReply::Unknown, "unknown"),
    };
    gateway.metrics.store_call("lease", name);
    let is_first = action.row.renewals == 0;
    if is_first || name != "ok" {
        log::info!(
            event = "lease", epoch = action.row.epoch, renewals = action.row.renewals,
            released = action.row.released, outcome = name;
            "lease written"
        );
    }
    let is_written = matches!(reply, StoreReply::Written(_));
    gateway.lease(|lease| lease.replied(boot_ms(), sent_ms, action, reply));
    gateway.plan_changed.notify_one();
    is_written
}

fn decode(row: &Row) -> Option<(LeaseRow, u64)> {
    let value = row.value.as_ref()?;
    let lease = serde_json::from_slice(value).ok()?;
    Some((lease, row.version))
}

impl Gateway {
    /// Takes over the lease's row as the store's feed shows it.
    pub fn lease_seen(&self, row: &Row) {
        let Some(decoded) = decode(row) else {
            log::warn!(event = "lease_unreadable", version = row.version; "lease ignored");
            return;
        };
        self.lease(|lease| lease.observed(boot_ms(), Some(decoded)));
        let holder = self.lease(|lease| lease.holder().cloned());
        self.with(|view| view.order_holder = holder);
    }

    /// Takes over that the store has no row of the lease.
    pub fn lease_absent(&self) {
        self.lease(|lease| lease.observed(boot_ms(), None));
    }

    /// Takes over an epoch from another gateway; returns whether it is the newest.
    pub fn epoch_mentioned(&self, epoch: u64) -> bool {
        self.lease(|lease| {
            lease.mentioned(epoch);
            lease.highest_epoch() <= epoch
        })
    }

    /// Returns the epoch under which orders may be given now.
    #[must_use]
    pub fn order_epoch(&self) -> Option<u64> {
        if self.has_released.get() {
            return None;
        }
        self.lease(|lease| lease.epoch(boot_ms()))
    }
}

fn plan(gateway: &Rc<Gateway>, clients: &Rc<Clients>, epoch: u64) {
    let Some(configuration) = gateway.configuration() else {
        return;
    };
    let now_ms = gateway.now_ms();
    let (due, orders) = gateway.with(|view| {
        let mut book = gateway.book.borrow_mut();
        book.follow(&view.fleet, &configuration);
        let due = book.reports_due(now_ms);
        let orders = book.plan(now_ms, &view.fleet, &view.demand, &configuration);
        (due, orders)
    });
    for id in due {
        let (gateway, clients) = (Rc::clone(gateway), Rc::clone(clients));
        tokio::task::spawn_local(async move { read_report(&gateway, &clients, id).await });
    }
    for order in orders {
        let (gateway, clients) = (Rc::clone(gateway), Rc::clone(clients));
        tokio::task::spawn_local(async move { give(&gateway, &clients, epoch, order).await });
    }
}

async fn read_report(gateway: &Rc<Gateway>, clients: &Rc<Clients>, id: EndpointId) {
    let Some(client) = clients.get(gateway, &id) else {
        return;
    };
    match engine::report(&client).await {
        Ok(report) => {
            let now_ms = gateway.now_ms();
            gateway.book.borrow_mut().reported(now_ms, &id, &report);
            gateway.plan_changed.notify_one();
        }
        Err(error) => {
            log::debug!(event = "report_failed", endpoint = id.as_str(), error:%; "no report");
        }
    }
}

async fn give(gateway: &Rc<Gateway>, clients: &Rc<Clients>, epoch: u64, order: Order) {
    let Some(client) = clients.get(gateway, &order.endpoint) else {
        return;
    };
    // The lease may have ended since the plan was made.
    if gateway.order_epoch() != Some(epoch) {
        return;
    }
    let reply = engine::order(&client, &gateway.settings.vm, epoch, &order).await;
    let reply = reply.unwrap_or(OrderReply::Unknown);
    let kind = if order.kind.adapter().is_some() {
        "adapter"
    } else {
        "model"
    };
    gateway.metrics.order(kind, &reply.to_string());
    log::info!(
        event = "order", endpoint = order.endpoint.as_str(), model = order.model.as_str(),
        kind:% = order.kind, sequence = order.expected_sequence, epoch, reply:%;
        "order given"
    );
    if reply == OrderReply::Fenced {
        gateway.epoch_mentioned(epoch + 1);
    }
    let Some(configuration) = gateway.configuration() else {
        return;
    };
    let now_ms = gateway.now_ms();
    gateway
        .book
        .borrow_mut()
        .replied(now_ms, &order, reply, &configuration);
    gateway.plan_changed.notify_one();
}

impl Clients {
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
        let client = Rc::new(HttpClient::new(address, ENGINE_TIMEOUT_MS));
        clients.insert(id.clone(), Rc::clone(&client));
        Some(client)
    }
}

/// What the other gateways were told last.
#[derive(Debug, Default)]
struct Told {
    placement: PlacementTold,
    sum_told_ms: Option<u64>,
}

/// Tells every gateway, this one included, what engines hold.
async fn tell(gateway: &Rc<Gateway>, epoch: u64, told: &mut Told) {
    let now_ms = gateway.now_ms();
    let news = engine_news(gateway, now_ms);
    let changed = told
        .placement
        .due(now_ms, news, |engine| is_there(gateway, engine));
    if !changed.is_empty() {
        peers::take_placement(gateway, now_ms, changed.clone());
    }
    for engines in changed.chunks(ENGINES_PER_MESSAGE) {
        let news = PlacementNews {
            epoch,
            engines: engines.to_vec(),
        };
        peers::broadcast(gateway, PeerContent::Placement(news)).await;
    }
}

/// Returns whether an engine takes orders, even if what it holds is in doubt.
fn is_there(gateway: &Gateway, told: &EngineNews) -> bool {
    let book = gateway.book.borrow();
    let engine = book.engine(&told.endpoint);
    engine.is_some_and(|engine| engine.born_unix_ms == told.born_unix_ms)
}

fn engine_news(gateway: &Gateway, now_ms: u64) -> Vec<EngineNews> {
    let book = gateway.book.borrow();
    let news = book.known_engines().map(|engine| {
        let held = engine.held.iter();
        let held = held.map(|(model, adapters)| {
            let adapters = adapters.iter().cloned().collect();
            (model.clone(), adapters)
        });
        let coming = engine.coming();
        EngineNews {
            endpoint: engine.id.clone(),
            born_unix_ms: engine.born_unix_ms,
            models: held.collect(),
            coming: coming.map(|it| (it.model, it.due_ms.saturating_sub(now_ms))),
        }
    });
    news.collect()
}
