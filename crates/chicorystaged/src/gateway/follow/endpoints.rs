//! Applies the registry of endpoints to the gateway's view.
//!
//! While the store does not answer and for a time after its return, endpoints that have vanished
//! from the registry are not removed at once. Their entries may have expired only because they
//! could not be renewed.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use chicorystage_api::name::EndpointId;
use chicorystage_core::fleet::EntryChange;
use chicorystage_platform::endpoint_entry;
use chicorystage_platform::store::{Changes, TableName};

use crate::gateway::shared::Gateway;

/// Time within which endpoints register again after the store has returned, in milliseconds.
const REREGISTRATION_MS: u64 = 2_300;
/// Defers the removal of endpoints that vanish from the registry within the next
/// [`REREGISTRATION_MS`].
///
/// Entries may have expired while the store was unavailable; their endpoints register again soon.
pub(super) fn defer_removals(gateway: &Gateway, table: TableName, reason: &str) {
    let until_ms = gateway.now_ms() + REREGISTRATION_MS;
    gateway.with(|view| view.defer_removals_until_ms = until_ms);
    log::info!(event = "removals_deferred", table:? = table, reason, defer_ms = REREGISTRATION_MS; "endpoints that vanish from the registry are kept for now");
}

/// Applies changed endpoint rows; after a whole read, endpoints without a row are removed too.
pub(super) fn apply_endpoints(gateway: &Rc<Gateway>, changes: &Changes, is_whole: bool) {
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
