//! Keeps the gateway's view up to date with the tables of the store.
//!
//! One task for each table reads it whole once and then long-polls for changes. The poll rate of
//! the endpoints' table and of the system's own table drops where other sources are as quick. The
//! lease holder reports the state of engines by datagram, and renewals of a live holder's lease
//! carry no information.
//!
//! While the store does not answer and for a time after its return, endpoints that have vanished
//! from the registry are not removed at once. Their entries may have expired only because they
//! could not be renewed.

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

/// Longest time for which the store delays the reply to one poll for changes, in milliseconds.
const POLL_WAIT_MS: u64 = 2_400;
/// Time allowed for a poll's reply beyond the requested wait, in milliseconds.
const POLL_SLACK_MS: u64 = 500;
/// Pause after a failed call to the store, in milliseconds.
const FAILURE_PAUSE_MS: u64 = 150;
/// Pause between two polls of the endpoints' table, in milliseconds.
///
/// Endpoints change in groups, so a pause lets one poll return a whole group.
const ENDPOINTS_PAUSE_MS: u64 = 350;
/// Longest pause between two polls of the endpoints' table, in milliseconds.
///
/// Bounded because no request may reach an endpoint two seconds after it began to leave.
const ENDPOINTS_PAUSE_MAX_MS: u64 = 1_400;
/// Longest pause between two polls of the system's own table, in milliseconds.
///
/// Each renewal of the lease is a change, and carries no information while datagrams of its holder
/// arrive.
const OWN_PAUSE_MAX_MS: u64 = 2_000;
/// Interval between checks, during that pause, whether the lease holder is silent, in milliseconds.
const OWN_CHECK_INTERVAL_MS: u64 = 200;
/// Silence of the lease holder after which its lease is read from the store, in milliseconds.
const HOLDER_SILENCE_MS: u64 = 700;
/// Time within which endpoints register again after the store has returned, in milliseconds.
const REREGISTRATION_MS: u64 = 2_300;
/// Prefix of gateways' keys in the system's own table; the VM's name follows.
pub(crate) const GATEWAY_KEY: &str = "gateway/";
/// Key in the system's own table of the lease whose holder sends orders to engines.
pub(crate) const LEASE_KEY: &str = "lease/orders";

/// Row that a gateway writes so that other gateways can send it datagrams.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct GatewayRow {
    /// Address at which the gateway receives datagrams.
    pub address: std::net::SocketAddr,
    /// Start of the gateway's process on its VM's boot clock, in milliseconds.
    pub incarnation: u64,
}

/// Starts one task for each table of the store.
pub fn start(gateway: &Rc<Gateway>) {
    for table in [TableName::Operator, TableName::Endpoints, TableName::Own] {
        let gateway = Rc::clone(gateway);
        tokio::task::spawn_local(async move { follow(gateway, table).await });
    }
}

/// Reads a table whole, then polls for its changes for as long as the gateway runs.
///
/// The configuration is read again without waiting when another gateway has a newer one.
async fn follow(gateway: Rc<Gateway>, table: TableName) {
    let timeout_ms = POLL_WAIT_MS + POLL_SLACK_MS;
    let poll_client = StoreClient::new(gateway.settings.store, timeout_ms);
    let read_client = StoreClient::new(gateway.settings.store, gateway.settings.store_timeout_ms);
    let mut after: Option<u64> = None;
    let mut lost_ms: Option<u64> = None;
    loop {
        let changes = match after {
            None => read_client
                .read(table)
                .await
                .map(|changes| Some((changes, true))),
            Some(version) => tokio::select! {
                changes = poll_client.changes(table, version, POLL_WAIT_MS) => {
                    changes.map(|changes| changes.map(|changes| (changes, false)))
                }
                () = gateway.newer_configuration.notified(), if table == TableName::Operator => {
                    read_client.read(table).await.map(|changes| Some((changes, true)))
                }
            },
        };
        match changes {
            Ok(Some((changes, is_whole))) => {
                gateway.metrics.count_store_call("follow", "ok");
                if let Some(lost_ms) = lost_ms.take() {
                    let away_ms = gateway.now_ms() - lost_ms;
                    log::info!(event = "store_regained", table:? = table, away_ms; "store answers again");
                    defer_removals(&gateway, table, "store_regained");
                }
                after = Some(changes.version);
                apply(&gateway, table, &changes, is_whole);
                pause(&gateway, table).await;
            }
            Ok(None) => {
                log::info!(event = "history_lost", table:? = table; "store has discarded the changes since the last poll; reading the whole table");
                after = None;
            }
            Err(error) => {
                gateway.metrics.count_store_call("follow", "failed");
                if lost_ms.is_none() {
                    lost_ms = Some(gateway.now_ms());
                    log::warn!(event = "store_lost", table:? = table, error:%; "store does not answer");
                }
                defer_removals(&gateway, table, "store_lost");
                tokio::time::sleep(Duration::from_millis(FAILURE_PAUSE_MS)).await;
            }
        }
    }
}

/// Waits between two polls, so that one poll returns several changes.
///
/// The wait on the system's own table ends early when the lease holder falls silent.
async fn pause(gateway: &Gateway, table: TableName) {
    match table {
        TableName::Operator => {}
        TableName::Endpoints => {
            let pause_ms = endpoints_pause_ms(
                gateway.with(|view| view.gateways()),
                gateway.order_epoch().is_none() && gateway.has_recent_holder(HOLDER_SILENCE_MS),
            );
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
        TableName::Own => {
            for _ in 0..OWN_PAUSE_MAX_MS / OWN_CHECK_INTERVAL_MS {
                tokio::time::sleep(Duration::from_millis(OWN_CHECK_INTERVAL_MS)).await;
                if !gateway.has_recent_holder(HOLDER_SILENCE_MS) {
                    return;
                }
            }
        }
    }
}

/// Returns the pause between two polls of the endpoints' table, in milliseconds.
///
/// `has_holder_updates` is whether the lease holder reports to this gateway which engines are gone.
/// Then the pause grows with the number of gateways, up to a limit, so that the total poll rate at
/// the store grows little.
#[must_use]
pub fn endpoints_pause_ms(gateways: usize, has_holder_updates: bool) -> u64 {
    if has_holder_updates {
        shared_period_ms(ENDPOINTS_PAUSE_MS, gateways).min(ENDPOINTS_PAUSE_MAX_MS)
    } else {
        ENDPOINTS_PAUSE_MS
    }
}

/// Defers the removal of endpoints that vanish from the registry within the next
/// [`REREGISTRATION_MS`].
///
/// Entries may have expired while the store was unavailable; their endpoints register again soon.
fn defer_removals(gateway: &Gateway, table: TableName, reason: &str) {
    let until_ms = gateway.now_ms() + REREGISTRATION_MS;
    gateway.with(|view| view.defer_removals_until_ms = until_ms);
    log::info!(event = "removals_deferred", table:? = table, reason, defer_ms = REREGISTRATION_MS; "endpoints that vanish from the registry are kept for now");
}

/// Applies changed rows to the view; `is_whole` marks a read of the whole table.
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
    gateway.capacity_changed.notify_one();
}

/// Puts a configuration into force unless the known one is at least as new.
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
            log::warn!(event = "configuration_unreadable", row_version = row.version, error:%; "configuration row cannot be decoded; ignored");
        }
    }
}

/// Applies changed endpoint rows; after a whole read, endpoints without a row are removed too.
fn apply_endpoints(gateway: &Rc<Gateway>, changes: &Changes, is_whole: bool) {
    for row in &changes.rows {
        let id = EndpointId::from(row.key.as_str());
        match &row.value {
            Some(value) => apply_entry(gateway, &id, value),
            None => remove_absent(gateway, id),
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
            remove_absent(gateway, id);
        }
    }
    gateway.with(|view| view.has_endpoints = true);
}

/// Adds or updates an endpoint; an entry that cannot be decoded removes it.
fn apply_entry(gateway: &Gateway, id: &EndpointId, value: &[u8]) {
    let entry = match endpoint_entry::decode(id.as_str(), value) {
        Ok(entry) => entry,
        Err(error) => {
            log::warn!(event = "endpoint_unreadable", endpoint = id.as_str(), error:%; "registry entry cannot be decoded; endpoint not used");
            gateway.with(|view| view.fleet.removed(id));
            return;
        }
    };
    let state = entry.state;
    let change = gateway.with(|view| {
        view.absent.remove(id);
        view.fleet.registered(entry)
    });
    if matches!(
        change,
        EntryChange::Added | EntryChange::Restarted | EntryChange::Leaving
    ) {
        log::info!(event = "endpoint", endpoint = id.as_str(), change:%, state:%; "endpoint changed");
    }
}

/// Removes an endpoint that vanished from the registry, at once or after a delay.
///
/// While removals are deferred, the endpoint is removed only if it is still absent at the end of
/// the delay.
fn remove_absent(gateway: &Rc<Gateway>, id: EndpointId) {
    let now_ms = gateway.now_ms();
    let until_ms = gateway.with(|view| view.defer_removals_until_ms);
    if now_ms >= until_ms {
        if gateway.with(|view| view.fleet.removed(&id)) {
            log::info!(event = "endpoint", endpoint = id.as_str(), change = "gone"; "endpoint is gone");
        }
        return;
    }
    gateway.with(|view| view.absent.insert(id.clone()));
    log::info!(event = "endpoint", endpoint = id.as_str(), change = "absent", defer_ms = until_ms - now_ms; "endpoint is not in the registry; kept until the end of the deferral");
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        tokio::time::sleep(Duration::from_millis(until_ms - now_ms)).await;
        let is_gone = gateway.with(|view| view.absent.remove(&id) && view.fleet.removed(&id));
        if is_gone {
            log::info!(event = "endpoint", endpoint = id.as_str(), change = "not back"; "endpoint has not registered again");
        }
    });
}

/// Applies rows of the system's own table: the lease and other gateways' addresses.
fn apply_own(gateway: &Rc<Gateway>, changes: &Changes, is_whole: bool) {
    let mut has_lease = false;
    for row in &changes.rows {
        if row.key == LEASE_KEY {
            has_lease = true;
            gateway.observe_lease(row);
        } else if let Some(vm) = row.key.strip_prefix(GATEWAY_KEY) {
            apply_gateway(gateway, vm, row);
        }
    }
    if is_whole && !has_lease {
        gateway.observe_missing_lease();
    }
}

/// Adds, updates or removes another gateway; of this gateway's own row only the version is kept.
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
        let last_message_ms = view.peers.get(&vm).and_then(|peer| peer.last_message_ms);
        let peer = Peer {
            address: decoded.address,
            last_message_ms,
        };
        view.peers.insert(vm, peer);
    });
}
