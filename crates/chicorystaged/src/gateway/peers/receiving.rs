//! Receives the messages of other gateways and applies them to the view.

use std::rc::Rc;
use std::time::Duration;

use chicorystage_api::name::{ModelName, VmId};
use chicorystage_core::fleet::{
    LoadedModel, LoadingModel, PeerLoad, load_valid_ms, waiting_valid_ms,
};
use chicorystage_core::orders::{AdapterRef, WaitQueueReport};
use tokio::net::UdpSocket;

use crate::gateway::peer_message::{
    EngineUpdate, LoadUpdate, PeerContent, PeerMessage, PlacementUpdate, TotalLoadUpdate,
};
use crate::gateway::peers::load_update::adapter_counts;
use crate::gateway::peers::room;
use crate::gateway::poison;
use crate::gateway::prompt_parts;
use crate::gateway::request_limits;
use crate::gateway::shared::Gateway;
use crate::gateway::stream_origins;

/// Largest datagram, in bytes.
const DATAGRAM_BYTES_MAX: usize = 60_000;
/// Pause after a failure to receive, in milliseconds.
const FAILURE_PAUSE_MS: u64 = 5;

/// Receives messages; those that cannot be decoded are logged and ignored.
pub(super) async fn receive_loop(gateway: &Rc<Gateway>, socket: &UdpSocket) {
    let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
    loop {
        let len = match socket.recv_from(&mut buffer).await {
            Ok((len, _sender)) => len,
            Err(error) => {
                log::debug!(event = "peer_socket", error:%; "cannot receive a datagram");
                tokio::time::sleep(Duration::from_millis(FAILURE_PAUSE_MS)).await;
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
        PeerContent::Load(update) => {
            receive_load(gateway, now_ms, message.from, message.incarnation, update);
        }
        PeerContent::Placement(update) => receive_placement(gateway, now_ms, update),
        PeerContent::Sum(update) => receive_total_load(gateway, now_ms, message.from, update),
        PeerContent::TeamUse(uses) => gateway.with(|view| {
            let gateways = view.gateways();
            view.quotas
                .reported(now_ms, &message.from, message.incarnation, uses, gateways);
        }),
        PeerContent::Suspect(entry) => prompt_parts::merge_decision(gateway, entry),
        PeerContent::Cleared {
            digest,
            answered_unix_ms,
        } => poison::merge_answer(gateway, answered_unix_ms, &digest),
        PeerContent::Crash(report) => prompt_parts::merge_crash(gateway, report),
        PeerContent::Stream { stream, software } => {
            stream_origins::merge(gateway, stream, software);
        }
        PeerContent::StreamWanted(stream) => {
            stream_origins::answer(gateway, message.from, stream);
        }
        PeerContent::SoundParts { service, parts } => {
            prompt_parts::merge_sound(gateway, &service, &parts);
        }
        PeerContent::FormerlySoundParts { service, parts } => {
            prompt_parts::merge_formerly_sound(gateway, &service, &parts);
        }
        PeerContent::Limits(limits) => request_limits::merge(gateway, limits),
        PeerContent::LimitWanted(wishes) => {
            request_limits::answer_wishes(gateway, message.from, wishes);
        }
        PeerContent::LimitGrants { epoch, grants } => {
            request_limits::apply_grants(gateway, epoch, grants);
        }
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
    request_limits::merge(gateway, update.limits);
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
            valid_until_ms: now_ms + load_valid_ms(view.gateways()),
            in_progress: others.collect(),
        };
        let valid_until_ms = load.valid_until_ms;
        view.fleet.replace_peer_loads(from, load);
        room::share_by_total(now_ms, view, update.waiting);
        view.quotas.told(now_ms, update.teams);
        view.fleet
            .uncached_reported(update.uncached, valid_until_ms);
    });
}

/// Records another gateway's load and demand; waiting requests trigger a planning pass.
fn receive_load(
    gateway: &Rc<Gateway>,
    now_ms: u64,
    from: VmId,
    incarnation: u64,
    update: LoadUpdate,
) {
    let has_waiting = !update.waiting.is_empty() || !update.waiting_adapters.is_empty();
    gateway.with(|view| {
        let in_progress = update
            .in_progress
            .into_iter()
            .map(|(endpoint, model, count)| ((endpoint, model), count));
        let load = PeerLoad {
            valid_until_ms: now_ms + load_valid_ms(view.gateways()),
            in_progress: in_progress.collect(),
        };
        view.fleet.peer_load(from.clone(), load);
        let gateways = view.gateways();
        view.quotas
            .reported(now_ms, &from, incarnation, update.teams, gateways);
        for (model, count, objective_ms) in &update.requested {
            view.demand
                .record_requests(now_ms, model, *count, *objective_ms);
        }
        for (model, adapter) in update.requested_adapters {
            view.demand
                .record_adapter_request(now_ms, &AdapterRef { model, adapter });
        }
        let report = WaitQueueReport {
            valid_until_ms: now_ms + waiting_valid_ms(view.gateways()),
            models: update.waiting.into_iter().collect(),
            adapters: adapter_counts(update.waiting_adapters),
        };
        view.demand.update_waiting(now_ms, from, report);
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
    let mut extended = Vec::new();
    for engine in engines {
        gateway.with_endpoint(&engine.endpoint, |endpoint| {
            if endpoint.entry.born_unix_ms == engine.born_unix_ms {
                let is_new = |model: &ModelName| {
                    let mut known = endpoint.models(now_ms).iter();
                    known.all(|loaded| loaded.model != *model)
                };
                if engine.models.iter().any(|(model, _)| is_new(model)) {
                    extended.push(engine.endpoint.clone());
                }
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
    room::share_of(gateway, now_ms, &extended);
    gateway.capacity_changed.notify_one();
}
