//! Applies the registry of endpoints to the gateway's view.
//!
//! An endpoint without an entry is removed at once, or after an outage of the store once it could
//! have registered again (see [`chicorystage_core::registry`]).

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use chicorystage_api::name::EndpointId;
use chicorystage_core::fleet::{EndpointState, EntryChange};
use chicorystage_core::registry::Absence;
use chicorystage_platform::endpoint_entry;
use chicorystage_platform::store::{Changes, Row};

use crate::gateway::shared::Gateway;
use crate::gateway::software_rows;

/// Starts the task that removes endpoints that have not registered again.
pub(super) fn start_removals(gateway: &Rc<Gateway>) {
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move { remove_overdue(&gateway).await });
}

/// Records that a call on the endpoints' table, sent at `started_ms`, has failed.
pub(super) fn record_failure(gateway: &Gateway, started_ms: u64) {
    let now_ms = gateway.now_ms();
    gateway.with(|view| view.absences.call_failed(started_ms, now_ms));
    gateway.absences_changed.notify_one();
}

/// Records that a call on the endpoints' table was answered.
pub(super) fn record_answer(gateway: &Gateway) {
    let now_ms = gateway.now_ms();
    let contact = gateway.with(|view| view.absences.call_answered(now_ms));
    let Some(contact) = contact else {
        return;
    };
    log::info!(
        event = "registry_contact", away_ms = contact.away_ms, is_outage = contact.is_outage;
        "endpoints' table is read again; after an outage, endpoints without an entry are kept for a time"
    );
    gateway.absences_changed.notify_one();
}

/// Applies the rows of a registry that has returned from an older copy.
///
/// Endpoints that the copy lacks may register again. Those that it shows as serving although they
/// have left since stay left; dead ones expire, and a later read of the whole table applies the
/// others.
pub(super) fn apply_restored(gateway: &Gateway, mut rows: Changes) {
    let now_ms = gateway.now_ms();
    gateway.with(|view| view.absences.store_restored(now_ms));
    rows.rows.retain(|row| !has_left(gateway, row));
    apply_endpoints(gateway, &rows, true);
}

/// Returns whether a row shows an endpoint as serving that has left.
fn has_left(gateway: &Gateway, row: &Row) -> bool {
    let entry = row.value.as_ref();
    let Some(entry) = entry.and_then(|value| endpoint_entry::decode(&row.key, value).ok()) else {
        return false;
    };
    let is_departed = gateway.with(|view| view.departures.contains(&entry.id, entry.born_unix_ms));
    let has_left = is_departed && entry.state == EndpointState::Ready;
    if has_left {
        log::info!(event = "endpoint", endpoint = row.key.as_str(), change = "stays left"; "older copy of the registry shows an endpoint that has left");
    }
    has_left
}

/// Applies changed endpoint rows; after a whole read, endpoints without a row are absent too.
pub(super) fn apply_endpoints(gateway: &Gateway, changes: &Changes, is_whole: bool) {
    for row in &changes.rows {
        let id = EndpointId::from(row.key.as_str());
        match &row.value {
            Some(value) => apply_entry(gateway, &id, value),
            None => apply_absence(gateway, &id),
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
        for id in &absent {
            apply_absence(gateway, id);
        }
    }
    gateway.with(|view| view.has_endpoints = true);
}

/// Adds or updates an endpoint; an entry that cannot be decoded removes it.
fn apply_entry(gateway: &Gateway, id: &EndpointId, value: &[u8]) {
    gateway.with(|view| view.absences.endpoint_present(id));
    let entry = match endpoint_entry::decode(id.as_str(), value) {
        Ok(entry) => entry,
        Err(error) => {
            log::warn!(event = "endpoint_unreadable", endpoint = id.as_str(), error:%; "registry entry cannot be decoded; endpoint not used");
            gateway.with(|view| view.fleet.removed(id));
            return;
        }
    };
    let state = entry.state;
    let born_unix_ms = entry.born_unix_ms;
    if state == EndpointState::Ready {
        gateway.with(|view| view.departures.forget(id));
    }
    let change = gateway.with(|view| view.fleet.registered(entry));
    if change == EntryChange::Leaving {
        record_departure(gateway, id, born_unix_ms);
    }
    if matches!(
        change,
        EntryChange::Added | EntryChange::Restarted | EntryChange::Leaving
    ) {
        software_rows::registry_changed(gateway);
        log::info!(event = "endpoint", endpoint = id.as_str(), change:%, state:%; "endpoint changed");
    }
}

/// Removes an endpoint without an entry, or keeps it for now.
fn apply_absence(gateway: &Gateway, id: &EndpointId) {
    let now_ms = gateway.now_ms();
    if gateway.with(|view| view.fleet.get(id).is_none()) {
        return;
    }
    match gateway.with(|view| view.absences.endpoint_absent(now_ms, id)) {
        Absence::Gone => {
            remove(gateway, id);
            log::info!(event = "endpoint", endpoint = id.as_str(), change = "gone"; "endpoint is gone");
        }
        Absence::Kept { until_ms } => {
            let defer_ms = until_ms - now_ms;
            log::info!(event = "endpoint", endpoint = id.as_str(), change = "absent", defer_ms; "endpoint may register again after an outage; kept until then");
            gateway.absences_changed.notify_one();
        }
    }
}

/// Removes an endpoint and remembers that it has left.
fn remove(gateway: &Gateway, id: &EndpointId) {
    let known = gateway.with(|view| view.fleet.get(id).map(|known| known.entry.born_unix_ms));
    let Some(born_unix_ms) = known else {
        return;
    };
    gateway.with(|view| view.fleet.removed(id));
    record_departure(gateway, id, born_unix_ms);
}

fn record_departure(gateway: &Gateway, id: &EndpointId, born_unix_ms: Option<u64>) {
    let now_ms = gateway.now_ms();
    gateway.with(|view| view.departures.record(now_ms, id.clone(), born_unix_ms));
}

/// Removes absent endpoints that have not registered again in time.
async fn remove_overdue(gateway: &Rc<Gateway>) {
    loop {
        let due_ms = gateway.with(|view| view.absences.due_ms());
        tokio::select! {
            () = sleep_until(gateway, due_ms) => {}
            () = gateway.absences_changed.notified() => continue,
        }
        let now_ms = gateway.now_ms();
        for id in gateway.with(|view| view.absences.take_gone(now_ms)) {
            remove(gateway, &id);
            log::info!(event = "endpoint", endpoint = id.as_str(), change = "not back"; "endpoint has not registered again");
        }
    }
}

/// Sleeps until a time on the gateway's clock, in milliseconds; forever if there is none.
async fn sleep_until(gateway: &Gateway, time_ms: Option<u64>) {
    let Some(time_ms) = time_ms else {
        return std::future::pending().await;
    };
    let left_ms = time_ms.saturating_sub(gateway.now_ms());
    tokio::time::sleep(Duration::from_millis(left_ms)).await;
}
