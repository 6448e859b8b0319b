//! The tables of the store, kept in view.

use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use chicorystage_api::name::{EndpointId, VmId};
use chicorystage_core::fleet::EntryChange;
use chicorystage_platform::store::{Changes, Row, StoreClient, TableName};
use chicorystage_platform::{configuration, endpoint_entry};
use serde::{Deserialize, Serialize};

use crate::gateway::shared::Gateway;
use crate::gateway::view::{Peer, shared_period_ms};

/// Longest wait of one call for changes, in milliseconds.
const FEED_WAIT_MS: u64 = 2_400;
/// Time by which an answer may be later than the wait asked for, in milliseconds.
const FEED_SLACK_MS: u64 = 500;
/// Pause after a failed call, in milliseconds.
const FAILURE_PAUSE_MS: u64 = 150;
/// Pause between two calls for changes of the endpoints, which come in groups, in milliseconds.
const ENDPOINTS_PAUSE_MS: u64 = 350;
/// Longest pause between two calls for changes of the endpoints, in milliseconds.
///
/// No request may reach an endpoint two seconds after it began to leave.
const ENDPOINTS_PAUSE_MAX_MS: u64 = 1_400;
/// Longest pause between two calls for changes of the system's own rows, in milliseconds.
///
/// Each renewal of the lease is a change, and while its holder is heard of they tell nothing new.
const OWN_PAUSE_MS: u64 = 2_000;
/// Time between two looks whether the holder of the lease is still heard of, in milliseconds.
const OWN_LOOK_MS: u64 = 200;
/// Silence of the holder after which its lease is looked at, in milliseconds.
const HOLDER_SILENCE_MS: u64 = 700;
/// Time after the store's return within which endpoints register again, in milliseconds.
const RETURN_MS: u64 = 2_300;
/// Prefix of the keys of gateways in the system's own table.
pub(crate) const GATEWAY_KEY: &str = "gateway/";
/// Key of the lease on orders in the system's own table.
pub(crate) const LEASE_KEY: &str = "lease/orders";

/// A gateway's row: where the others reach it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct GatewayRow {
    /// Address of its datagrams.
    pub address: std::net::SocketAddr,
    /// Start of its process.
    pub incarnation: u64,
}

/// Starts to follow every table.
pub fn start(gateway: &Rc<Gateway>) {
    for table in [TableName::Operator, TableName::Endpoints, TableName::Own] {
        let gateway = Rc::clone(gateway);
        tokio::task::spawn_local(async move { follow(gateway, table).await });
    }
}

async fn follow(gateway: Rc<Gateway>, table: TableName) {
    let timeout_ms = FEED_WAIT_MS + FEED_SLACK_MS;
    let feed = StoreClient::new(gateway.settings.store, timeout_ms);
    let calls = StoreClient::new(gateway.settings.store, gateway.settings.store_timeout_ms);
    let mut after: Option<u64> = None;
    let mut is_lost = false;
    loop {
        let changes = match after {
            None => calls.read(table).await.map(|changes| Some((changes, true))),
            Some(version) => tokio::select! {
                changes = feed.changes(table, version, FEED_WAIT_MS) => {
                    changes.map(|changes| changes.map(|changes| (changes, false)))
                }
                () = gateway.newer_configuration.notified(), if table == TableName::Operator => {
                    calls.read(table).await.map(|changes| Some((changes, true)))
                }
            },
        };
        match changes {
            Ok(Some((changes, is_whole))) => {
                gateway.metrics.store_call("follow", "ok");
                if is_lost {
                    is_lost = false;
                    log::info!(event = "store_regained", table:? = table; "store answers again");
                    doubt(&gateway);
                }
                after = Some(changes.version);
                apply(&gateway, table, &changes, is_whole);
                pause(&gateway, table).await;
            }
            Ok(None) => {
                log::info!(event = "history_lost", table:? = table; "store has dropped its history");
                after = None;
            }
            Err(error) => {
                gateway.metrics.store_call("follow", "failed");
                if !is_lost {
                    is_lost = true;
                    log::warn!(event = "store_lost", table:? = table, error:%; "store does not answer");
                }
                doubt(&gateway);
                tokio::time::sleep(Duration::from_millis(FAILURE_PAUSE_MS)).await;
            }
        }
    }
}

/// Waits a while after an answer, in which further changes gather.
async fn pause(gateway: &Gateway, table: TableName) {
    match table {
        TableName::Operator => {}
        TableName::Endpoints => {
            let pause_ms = endpoints_pause_ms(
                gateway.with(|view| view.gateways()),
                gateway.order_epoch().is_none() && gateway.hears_holder(HOLDER_SILENCE_MS),
            );
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
        TableName::Own => {
            for _ in 0..OWN_PAUSE_MS / OWN_LOOK_MS {
                tokio::time::sleep(Duration::from_millis(OWN_LOOK_MS)).await;
                if !gateway.hears_holder(HOLDER_SILENCE_MS) {
                    return;
                }
            }
        }
    }
}

/// Returns the pause between two calls for changes of the endpoints, in milliseconds.
///
/// A gateway that is told by the holder of the lease which engines are gone follows the
/// others' entries less closely the more gateways there are, so that the store's load
/// grows little with their number.
#[must_use]
pub fn endpoints_pause_ms(gateways: usize, is_told: bool) -> u64 {
    if is_told {
        shared_period_ms(ENDPOINTS_PAUSE_MS, gateways).min(ENDPOINTS_PAUSE_MAX_MS)
    } else {
        ENDPOINTS_PAUSE_MS
    }
}

/// Entries may have lapsed while the store was away; endpoints register again soon.
fn doubt(gateway: &Gateway) {
    let until_ms = gateway.now_ms() + RETURN_MS;
    gateway.with(|view| view.registry_doubt_until_ms = until_ms);
}

fn apply(gateway: &Rc<Gateway>, table: TableName, changes: &Changes, is_whole: bool) {
    match table {
        TableName::Operator => {
            for row in &changes.rows {
                if row.key == TableName::CONFIGURATION_KEY {
                    apply_configuration(gateway, row);
                }
            }
        }
        TableName::Endpoints => apply_endpoints(gateway, changes, is_whole),
        TableName::Own => apply_own(gateway, changes, is_whole),
    }
    gateway.room_changed.notify_one();
}

fn apply_configuration(gateway: &Gateway, row: &Row) {
    let Some(value) = &row.value else {
        return;
    };
    match configuration::decode(value) {
        Ok(configuration) => {
            let version = configuration.version;
            let routes = configuration.route_count();
            let is_newer = gateway.with(|view| {
                let known = view.configuration.as_ref();
                let is_newer = known.is_none_or(|known| known.version < version);
                if is_newer {
                    view.configuration = Some(Arc::new(configuration));
                }
                is_newer
            });
            if is_newer {
                log::info!(event = "configuration", version, routes; "configuration in force");
            }
        }
        Err(error) => {
            log::warn!(event = "configuration_unreadable", row_version = row.version, error:%; "configuration ignored");
        }
    }
}

fn apply_endpoints(gateway: &Rc<Gateway>, changes: &Changes, is_whole: bool) {
    for row in &changes.rows {
        let id = EndpointId::from(row.key.as_str());
        match &row.value {
            Some(value) => registered(gateway, &id, value),
            None => lost(gateway, id),
        }
    }
    if is_whole {
        let present: HashSet<&str> = changes.rows.iter().map(|row| row.key.as_str()).collect();
        let absent: Vec<EndpointId> = gateway.with(|view| {
            let ids = view.fleet.endpoints().map(|(id, _)| id);
            ids.filter(|id| !present.contains(id.as_str()))
                .cloned()
                .collect()
        });
        for id in absent {
            lost(gateway, id);
        }
    }
    gateway.with(|view| view.has_endpoints = true);
}

fn registered(gateway: &Gateway, id: &EndpointId, value: &[u8]) {
    let entry = match endpoint_entry::decode(id.as_str(), value) {
        Ok(entry) => entry,
        Err(error) => {
            log::warn!(event = "endpoint_unreadable", endpoint = id.as_str(), error:%; "entry names no endpoint to use");
            gateway.with(|view| view.fleet.removed(id));
            return;
        }
    };
    let state = entry.state;
    let change = gateway.with(|view| view.fleet.registered(entry));
    if matches!(
        change,
        EntryChange::Added | EntryChange::Restarted | EntryChange::Leaving
    ) {
        log::info!(event = "endpoint", endpoint = id.as_str(), change:%, state:%; "endpoint changed");
    }
}

/// Drops an endpoint, at once or after the time in which it may register again.
fn lost(gateway: &Rc<Gateway>, id: EndpointId) {
    let now_ms = gateway.now_ms();
    let until_ms = gateway.with(|view| view.registry_doubt_until_ms);
    if now_ms >= until_ms {
        if gateway.with(|view| view.fleet.removed(&id)) {
            log::info!(event = "endpoint", endpoint = id.as_str(), change = "gone"; "endpoint is gone");
        }
        return;
    }
    let entry = gateway.with(|view| view.fleet.get(&id).map(|known| known.entry.clone()));
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        tokio::time::sleep(Duration::from_millis(until_ms - now_ms)).await;
        let is_gone = gateway.with(|view| {
            let known = view.fleet.get(&id).map(|known| known.entry.clone());
            known.is_some() && known == entry && view.fleet.removed(&id)
        });
        if is_gone {
            log::info!(event = "endpoint", endpoint = id.as_str(), change = "not back"; "endpoint is gone");
        }
    });
}

fn apply_own(gateway: &Rc<Gateway>, changes: &Changes, is_whole: bool) {
    let mut has_lease = false;
    for row in &changes.rows {
        if row.key == LEASE_KEY {
            has_lease = true;
            gateway.lease_seen(row);
        } else if let Some(vm) = row.key.strip_prefix(GATEWAY_KEY) {
            apply_gateway(gateway, vm, row);
        }
    }
    if is_whole && !has_lease {
        gateway.lease_absent();
    }
}

fn apply_gateway(gateway: &Gateway, vm: &str, row: &Row) {
    if vm == gateway.settings.vm.as_str() {
        gateway.own_row_version.set(row.version);
        return;
    }
    let vm = VmId::from(vm);
    let decoded: Option<GatewayRow> = row
        .value
        .as_ref()
        .and_then(|value| serde_json::from_slice(value).ok());
    gateway.with(|view| {
        let Some(decoded) = decoded else {
            view.peers.remove(&vm);
            return;
        };
        let heard_ms = view.peers.get(&vm).and_then(|peer| peer.heard_ms);
        let peer = Peer {
            address: decoded.address,
            heard_ms,
        };
        view.peers.insert(vm, peer);
    });
}
