//! Sends messages to the other gateways.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use chicorystage_api::name::{EndpointId, VmId};
use chicorystage_core::fleet::{UncachedModel, load_period_ms, load_valid_ms};
use chicorystage_core::quota::TeamLevel;

use crate::gateway::peer_message::{LoadUpdate, PeerContent, PeerMessage, TotalLoadUpdate};
use crate::gateway::peers::load_update::{collect_load_update, record_own_waiting};
use crate::gateway::peers::room;
use crate::gateway::request_limits;
use crate::gateway::shared::Gateway;

/// Shortest interval between two load updates, in milliseconds.
const LOAD_INTERVAL_MIN_MS: u64 = 5;

/// Sends load updates, each after a period or as soon as a request begins to wait.
pub(super) async fn send_loop(gateway: &Rc<Gateway>) {
    loop {
        let period = Duration::from_millis(period_ms(gateway));
        // Both the end of the period and a request that begins to wait start the next update.
        let _elapsed = tokio::time::timeout(period, gateway.demand_changed.notified()).await;
        let update = collect_load_update(gateway);
        record_own_waiting(gateway, &update);
        gateway.plan_changed.notify_one();
        let in_progress = update.in_progress.iter();
        let sent = in_progress.map(|(endpoint, _, count)| (endpoint.clone(), *count));
        let waiting = update.waiting.iter().cloned().collect();
        gateway.with(|view| {
            view.load_sent = sum_by_endpoint(sent);
            view.waiting_sent = waiting;
        });
        if !gateway.has_recent_holder() {
            room::share_by_reports(gateway);
        }
        let teams = update.teams.clone();
        send_load(gateway, update).await;
        if !teams.is_empty() && !gateway.has_recent_holder() {
            broadcast(gateway, PeerContent::TeamUse(teams)).await;
        }
        tokio::time::sleep(Duration::from_millis(LOAD_INTERVAL_MIN_MS)).await;
    }
}

/// Returns the interval between two load updates, in milliseconds.
fn period_ms(gateway: &Gateway) -> u64 {
    load_period_ms(gateway.with(|view| view.gateways()))
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

/// Sends a message to other gateways; those that are not registered are left out.
pub async fn send_to(gateway: &Rc<Gateway>, vms: &[VmId], content: PeerContent) {
    let addresses: Vec<SocketAddr> = gateway.with(|view| {
        let peers = vms.iter().filter_map(|vm| view.peers.get(vm));
        peers.map(|peer| peer.address).collect()
    });
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
    room::share_by_reports(gateway);
    let waiting = gateway.with(|view| room::waiting_total(now_ms, view));
    let uncached = uncached_models(gateway, now_ms);
    let update = TotalLoadUpdate {
        epoch,
        in_progress,
        waiting,
        uncached,
        limits: request_limits::known(gateway),
        teams: quota_levels(gateway, now_ms),
    };
    broadcast(gateway, PeerContent::Sum(update)).await;
}

/// Returns what is left of the quotas of teams, and logs those of which little is.
fn quota_levels(gateway: &Gateway, now_ms: u64) -> Vec<TeamLevel> {
    let levels = gateway.with(|view| {
        let gateways = view.gateways();
        view.quotas.levels(now_ms, gateways)
    });
    for level in levels.iter().filter(|level| level.is_short()) {
        log::info!(
            event = "quota_short", team = level.team.as_str(), level = level.level,
            asked_per_s = level.asked_per_s;
            "a team has used nearly all of its quota"
        );
    }
    levels
}

/// Returns the models that only the weight store can bring, and records them in the own view.
fn uncached_models(gateway: &Gateway, now_ms: u64) -> Vec<UncachedModel> {
    let Some(configuration) = gateway.configuration() else {
        return Vec::new();
    };
    let tracker = gateway.engine_tracker.borrow();
    gateway.with(|view| {
        let models = configuration.engines().flat_map(|(service, spec)| {
            tracker.uncached_models(now_ms, service, spec, &view.fleet)
        });
        let models: Vec<UncachedModel> = models.collect();
        let valid_until_ms = now_ms + load_valid_ms(view.gateways());
        view.fleet.uncached_reported(models.clone(), valid_until_ms);
        models
    })
}

/// Adds up counts by endpoint.
fn sum_by_endpoint(counts: impl Iterator<Item = (EndpointId, u32)>) -> HashMap<EndpointId, u32> {
    let mut sums = HashMap::new();
    for (endpoint, count) in counts {
        *sums.entry(endpoint).or_default() += count;
    }
    sums
}
