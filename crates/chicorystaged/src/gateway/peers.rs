//! Exchanges load, demand and placement between gateways by datagram.
//!
//! Each gateway must know the load that all others put on an endpoint, and the lease holder must
//! know the demand at every gateway. Every gateway sends its requests in progress and its waiting
//! requests to the lease holder several times a second, and at once when a request begins to wait
//! for a model or an adapter. The lease holder sums up the load of all gateways and broadcasts it,
//! together with the models and adapters of engines. So the number of messages grows with the
//! number of gateways and not with its square. While no lease holder is known, every gateway
//! broadcasts.
//!
//! Datagrams are not acknowledged or sent again: the next update replaces a lost one.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use chicorystage_api::name::{AdapterName, EndpointId, ModelName, VmId};
use chicorystage_core::fleet::{Choice, LoadedModel, LoadingModel, PeerLoad};
use chicorystage_core::orders::AdapterRef;
use chicorystage_platform::store::{StoreClient, WriteOutcome};
use tokio::net::UdpSocket;

use crate::gateway::follow::{GATEWAY_KEY, GatewayRow};
use crate::gateway::peer_message::{
    EngineUpdate, LoadUpdate, PeerContent, PeerMessage, PlacementUpdate, TotalLoadUpdate,
};
use crate::gateway::poison;
use crate::gateway::shared::Gateway;
use crate::gateway::view::shared_period_ms;

/// Interval between two load updates where there are few gateways, in milliseconds.
const LOAD_PERIOD_MS: u64 = 120;
/// Shortest interval between two load updates, in milliseconds.
const LOAD_INTERVAL_MIN_MS: u64 = 5;
/// Largest datagram, in bytes.
const DATAGRAM_BYTES_MAX: usize = 60_000;
/// Pause before the next try to register after the store failed, in milliseconds.
const REGISTER_PAUSE_MS: u64 = 500;

/// Binds the datagram socket for messages between gateways.
///
/// # Errors
///
/// Returns the operating system's error with the address.
pub fn bind(address: SocketAddr) -> std::io::Result<UdpSocket> {
    let named = |error: std::io::Error| {
        std::io::Error::new(error.kind(), format!("listen on {address}: {error}"))
    };
    let socket = std::net::UdpSocket::bind(address).map_err(named)?;
    socket.set_nonblocking(true).map_err(named)?;
    UdpSocket::from_std(socket).map_err(named)
}

/// Starts the tasks that register this gateway, send updates and receive messages.
pub fn start(gateway: &Rc<Gateway>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    gateway.set_peer_socket(Rc::clone(&socket));
    let registering = Rc::clone(gateway);
    tokio::task::spawn_local(async move { register(&registering).await });
    let sending = Rc::clone(gateway);
    tokio::task::spawn_local(async move { send_loop(&sending).await });
    let receiving = Rc::clone(gateway);
    tokio::task::spawn_local(async move { receive_loop(&receiving, &socket).await });
}

/// Writes this gateway's row to the store, so that the others know its address.
///
/// Tries until the row is written; a conflict yields the version to write against.
async fn register(gateway: &Rc<Gateway>) {
    let store = StoreClient::new(gateway.settings.store, gateway.settings.store_timeout_ms);
    let key = format!("{GATEWAY_KEY}{}", gateway.settings.vm);
    let row = GatewayRow {
        address: gateway.settings.peers,
        incarnation: gateway.incarnation,
    };
    let Ok(value) = serde_json::to_vec(&row) else {
        return;
    };
    loop {
        let expected = gateway.own_row_version.get();
        match store.write(&key, &value, expected).await {
            WriteOutcome::Written(_version) => {
                gateway.metrics.count_store_call("register", "ok");
                gateway.observe_registration();
                return;
            }
            WriteOutcome::Conflict(row) => gateway.observe_own_row(row.as_ref()),
            WriteOutcome::Refused | WriteOutcome::Unknown => {
                gateway.metrics.count_store_call("register", "failed");
                tokio::time::sleep(Duration::from_millis(REGISTER_PAUSE_MS)).await;
            }
        }
    }
}

/// Sends load updates, each after a period or as soon as a request begins to wait.
async fn send_loop(gateway: &Rc<Gateway>) {
    loop {
        let period = Duration::from_millis(period_ms(gateway));
        // Both the end of the period and a request that begins to wait start the next update.
        let _elapsed = tokio::time::timeout(period, gateway.demand_changed.notified()).await;
        let update = collect_load_update(gateway);
        record_own_waiting(gateway, &update);
        gateway.plan_changed.notify_one();
        let in_progress = update.in_progress.iter();
        let sent = in_progress.map(|(endpoint, _, count)| (endpoint.clone(), *count));
        gateway.with(|view| view.load_sent = sum_by_endpoint(sent));
        send_load(gateway, update).await;
        tokio::time::sleep(Duration::from_millis(LOAD_INTERVAL_MIN_MS)).await;
    }
}

/// Returns the interval between two load updates, in milliseconds.
fn period_ms(gateway: &Gateway) -> u64 {
    shared_period_ms(LOAD_PERIOD_MS, gateway.with(|view| view.gateways()))
}

/// Sends a load update to the lease holder, or to all gateways while its address is not known.
async fn send_load(gateway: &Rc<Gateway>, update: LoadUpdate) {
    let holder = gateway.with(|view| {
        let holder = view.lease_holder.as_ref()?;
        let is_self = *holder == gateway.settings.vm;
        Some((is_self, view.peers.get(holder).map(|peer| peer.address)))
    });
    match holder {
        Some((true, _)) => {}
        Some((false, Some(address))) => send(gateway, &[address], PeerContent::Load(update)).await,
        Some((false, None)) | None => broadcast(gateway, PeerContent::Load(update)).await,
    }
}

/// Sends a message to every other gateway.
pub async fn broadcast(gateway: &Rc<Gateway>, content: PeerContent) {
    let addresses: Vec<SocketAddr> =
        gateway.with(|view| view.peers.values().map(|peer| peer.address).collect());
    send(gateway, &addresses, content).await;
}

/// Sends a message to each address; failures are ignored.
async fn send(gateway: &Rc<Gateway>, addresses: &[SocketAddr], content: PeerContent) {
    let Some(socket) = gateway.peer_socket() else {
        return;
    };
    let message = PeerMessage {
        from: gateway.settings.vm.clone(),
        incarnation: gateway.incarnation,
        configuration: gateway
            .configuration()
            .map_or(0, |configuration| configuration.version),
        content,
    };
    let Ok(bytes) = serde_json::to_vec(&message) else {
        return;
    };
    for address in addresses {
        // A gateway that is gone is removed with its row; the next update replaces a lost one.
        let _sent = socket.send_to(&bytes, address).await;
    }
}

/// Broadcasts the load of all gateways together, if that is due.
///
/// `published_ms` is the time of the last broadcast, and is updated.
pub async fn publish_total_load(gateway: &Rc<Gateway>, epoch: u64, published_ms: &mut Option<u64>) {
    let now_ms = gateway.now_ms();
    let period_ms = period_ms(gateway);
    if published_ms.is_some_and(|published_ms| now_ms < published_ms + period_ms) {
        return;
    }
    *published_ms = Some(now_ms);
    let in_progress = gateway.with(|view| {
        view.fleet.forget_silent_peers(now_ms);
        let ids = view.fleet.endpoints().map(|(id, _)| id);
        let sums = ids.map(|id| (id.clone(), view.fleet.occupancy(id)));
        sums.filter(|(_, count)| *count > 0).collect()
    });
    let update = TotalLoadUpdate { epoch, in_progress };
    broadcast(gateway, PeerContent::Sum(update)).await;
}

/// Adds up counts by endpoint.
fn sum_by_endpoint(counts: impl Iterator<Item = (EndpointId, u32)>) -> HashMap<EndpointId, u32> {
    let mut sums = HashMap::new();
    for (endpoint, count) in counts {
        *sums.entry(endpoint).or_default() += count;
    }
    sums
}

/// Receives messages; those that cannot be decoded are logged and ignored.
async fn receive_loop(gateway: &Rc<Gateway>, socket: &UdpSocket) {
    let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
    loop {
        let len = match socket.recv_from(&mut buffer).await {
            Ok((len, _sender)) => len,
            Err(error) => {
                log::debug!(event = "peer_socket", error:%; "cannot receive a datagram");
                tokio::time::sleep(Duration::from_millis(LOAD_INTERVAL_MIN_MS)).await;
                continue;
            }
        };
        match serde_json::from_slice::<PeerMessage>(&buffer[..len]) {
            Ok(message) => receive(gateway, message),
            Err(error) => {
                log::warn!(event = "peer_message_unreadable", error:%; "message cannot be decoded; ignored");
            }
        }
    }
}

/// Records the time of a message, triggers a read of a newer configuration, applies the content.
fn receive(gateway: &Rc<Gateway>, message: PeerMessage) {
    let now_ms = gateway.now_ms();
    let is_newer = gateway.with(|view| {
        if let Some(peer) = view.peers.get_mut(&message.from) {
            peer.last_message_ms = Some(now_ms);
        }
        let known = view.configuration.as_ref();
        known.is_some_and(|known| known.version < message.configuration)
    });
    if is_newer {
        gateway.newer_configuration.notify_one();
    }
    match message.content {
        PeerContent::Load(update) => receive_load(gateway, now_ms, message.from, update),
        PeerContent::Placement(update) => receive_placement(gateway, now_ms, update),
        PeerContent::Sum(update) => receive_total_load(gateway, now_ms, message.from, update),
        PeerContent::Suspect(entry) => poison::merge(gateway, entry),
    }
}

/// Replaces the load of the other gateways by the lease holder's total, unless its epoch is
/// outdated.
///
/// The total includes this gateway's own requests as it last sent them, which are subtracted.
fn receive_total_load(gateway: &Rc<Gateway>, now_ms: u64, from: VmId, update: TotalLoadUpdate) {
    if !gateway.observe_epoch(update.epoch) {
        return;
    }
    gateway.with(|view| {
        view.lease_holder = Some(from.clone());
        let others = update
            .in_progress
            .into_iter()
            .filter_map(|(endpoint, sum)| {
                let own = view.load_sent.get(&endpoint).copied().unwrap_or(0);
                let others = sum.saturating_sub(own);
                (others > 0).then_some(((endpoint, None), others))
            });
        let load = PeerLoad {
            received_ms: now_ms,
            in_progress: others.collect(),
        };
        view.fleet.replace_peer_loads(from, load);
    });
}

/// Records another gateway's load and demand; waiting requests trigger a planning pass.
fn receive_load(gateway: &Rc<Gateway>, now_ms: u64, from: VmId, update: LoadUpdate) {
    let has_waiting = !update.waiting.is_empty() || !update.waiting_adapters.is_empty();
    gateway.with(|view| {
        let in_progress = update
            .in_progress
            .into_iter()
            .map(|(endpoint, model, count)| ((endpoint, model), count));
        let load = PeerLoad {
            received_ms: now_ms,
            in_progress: in_progress.collect(),
        };
        view.fleet.peer_load(from.clone(), load);
        for (model, count, objective_ms) in &update.requested {
            view.demand
                .record_requests(now_ms, model, *count, *objective_ms);
        }
        for (model, adapter) in update.requested_adapters {
            view.demand
                .record_adapter_request(now_ms, &AdapterRef { model, adapter });
        }
        let waiting = update.waiting.into_iter().collect();
        let adapters = adapter_counts(update.waiting_adapters);
        view.demand.update_waiting(now_ms, from, waiting, adapters);
    });
    if has_waiting {
        gateway.plan_changed.notify_one();
    }
}

/// Applies a placement update unless its epoch is outdated.
fn receive_placement(gateway: &Rc<Gateway>, now_ms: u64, update: PlacementUpdate) {
    if !gateway.observe_epoch(update.epoch) {
        return;
    }
    apply_placement(gateway, now_ms, update.engines);
}

/// Records what engines have loaded; ignores an update for another start of the engine than the
/// registered one.
pub fn apply_placement(gateway: &Gateway, now_ms: u64, engines: Vec<EngineUpdate>) {
    for engine in engines {
        gateway.with_endpoint(&engine.endpoint, |endpoint| {
            if endpoint.entry.born_unix_ms == engine.born_unix_ms {
                let models = engine.models.into_iter();
                let models = models.map(|(model, adapters)| LoadedModel { model, adapters });
                let loading = engine.loading.map(|(model, due_in_ms)| LoadingModel {
                    model,
                    due_ms: now_ms + due_in_ms,
                });
                endpoint.models_reported(now_ms, models.collect(), loading);
            }
        });
    }
    gateway.capacity_changed.notify_one();
}

/// Returns the load update to send now, and starts new counts of requested models and adapters.
///
/// A request that waits counts as demand for its model, or for its adapter where the model is
/// loaded. It counts as neither where an endpoint can be reserved or the request waits only
/// for endpoints to process earlier prompts.
fn collect_load_update(gateway: &Rc<Gateway>) -> LoadUpdate {
    let now_ms = gateway.now_ms();
    gateway.with(|view| {
        let mut waiting: HashMap<ModelName, u32> = HashMap::new();
        let mut adapters: HashMap<(ModelName, AdapterName), u32> = HashMap::new();
        for waiter in &view.waiters {
            let Some(model) = &waiter.requirements.model else {
                continue;
            };
            let choice = view
                .fleet
                .choose(now_ms, &gateway.settings.zone, &waiter.requirements);
            match (choice, &waiter.requirements.adapter) {
                (Choice::NoAdapter, Some(adapter)) => {
                    *adapters
                        .entry((model.clone(), adapter.clone()))
                        .or_default() += 1;
                }
                (Choice::Endpoint(_) | Choice::Reading, _) => {}
                _ => *waiting.entry(model.clone()).or_default() += 1,
            }
        }
        let in_progress = view.fleet.endpoints().flat_map(|(id, endpoint)| {
            endpoint
                .in_progress()
                .map(move |(model, count)| (id.clone(), model.clone(), count))
        });
        let in_progress = in_progress.collect();
        let requested = std::mem::take(&mut view.requested);
        LoadUpdate {
            in_progress,
            requested: requested
                .into_iter()
                .map(|(model, (count, objective_ms))| (model, count, objective_ms))
                .collect(),
            waiting: waiting.into_iter().collect(),
            waiting_adapters: adapters
                .into_iter()
                .map(|((model, adapter), count)| (model, adapter, count))
                .collect(),
            requested_adapters: std::mem::take(&mut view.requested_adapters),
        }
    })
}

/// Records this gateway's own waiting requests as demand, like those of the others.
fn record_own_waiting(gateway: &Rc<Gateway>, update: &LoadUpdate) {
    let now_ms = gateway.now_ms();
    let vm = gateway.settings.vm.clone();
    let waiting = update.waiting.iter().cloned().collect();
    let adapters = adapter_counts(update.waiting_adapters.clone());
    gateway.with(|view| view.demand.update_waiting(now_ms, vm, waiting, adapters));
}

/// Returns the counts by adapter.
fn adapter_counts(counts: Vec<(ModelName, AdapterName, u32)>) -> HashMap<AdapterRef, u32> {
    counts
        .into_iter()
        .map(|(model, adapter, count)| (AdapterRef { model, adapter }, count))
        .collect()
}
