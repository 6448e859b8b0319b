//! Rows of the system's own table that keep which software versions of a service served lately.
//!
//! A gateway that has just started must know whether a stream that it does not know can have begun at
//! another version than those that are registered now. The lease holder writes a row a service when its
//! versions change.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use chicorystage_api::name::ServiceName;
use chicorystage_core::stream_origins::SoftwareSpan;
use chicorystage_platform::store::{Row, WriteOutcome};

use crate::gateway::shared::Gateway;
use crate::timer::unix_ms;

/// Prefix of the keys of software histories; the service follows.
pub(crate) const SOFTWARE_KEY: &str = "software/";
/// Interval between two comparisons of the histories with the registry, in milliseconds.
const UPDATE_INTERVAL_MS: u64 = 500;

/// Versions of the rows as last seen, and when they were last compared with the registry.
#[derive(Debug, Default)]
pub struct SoftwareRows {
    versions: RefCell<HashMap<ServiceName, u64>>,
    compared_ms: Cell<u64>,
}

/// Applies the row of a service.
pub(super) fn apply(gateway: &Gateway, service: &str, row: &Row) {
    let service = ServiceName::from(service);
    let versions = &gateway.software_rows.versions;
    versions.borrow_mut().insert(service.clone(), row.version);
    let spans = row.value.as_deref().map(serde_json::from_slice);
    let spans: Vec<SoftwareSpan> = match spans.transpose() {
        Ok(spans) => spans.unwrap_or_default(),
        Err(error) => {
            log::warn!(event = "software_unreadable", service = service.as_str(), error:%; "row cannot be decoded; ignored");
            return;
        }
    };
    gateway.with(|view| view.software.replace(service, spans));
}

/// Writes the rows of services whose registered versions differ from their history, if a comparison is
/// due.
pub(super) fn update(gateway: &Rc<Gateway>) {
    let (rows, now_ms) = (&gateway.software_rows, gateway.now_ms());
    if now_ms < rows.compared_ms.get() + UPDATE_INTERVAL_MS {
        return;
    }
    rows.compared_ms.set(now_ms);
    let Some(configuration) = gateway.configuration() else {
        return;
    };
    for (service, _) in configuration.engines() {
        let changed = gateway.with(|view| {
            let registered = view.fleet.software_versions(service);
            let is_known = view.has_endpoints && view.has_peers;
            let changed = view.software.changed(unix_ms(), service, &registered);
            changed.filter(|_| is_known)
        });
        if let Some(spans) = changed {
            let (gateway, service) = (Rc::clone(gateway), service.clone());
            tokio::task::spawn_local(async move { write(&gateway, &service, spans).await });
        }
    }
}

/// Writes the row of a service unless it has changed; a failed write is repeated by the next
/// comparison.
async fn write(gateway: &Gateway, service: &ServiceName, spans: Vec<SoftwareSpan>) {
    let value = match serde_json::to_vec(&spans) {
        Ok(value) => value,
        Err(error) => {
            log::error!(event = "software_not_stored", service = service.as_str(), error:%; "history cannot be encoded");
            return;
        }
    };
    let versions = &gateway.software_rows.versions;
    let known = versions.borrow().get(service).copied().unwrap_or(0);
    let key = format!("{SOFTWARE_KEY}{service}");
    let outcome = gateway
        .store
        .write(&key, &value, gateway.position(known))
        .await;
    let name = match outcome {
        WriteOutcome::Written(version) => {
            versions.borrow_mut().insert(service.clone(), version);
            gateway.with(|view| view.software.replace(service.clone(), spans.clone()));
            "ok"
        }
        WriteOutcome::Conflict(Some(row)) => {
            apply(gateway, service.as_str(), &row);
            "conflict"
        }
        WriteOutcome::Conflict(None) => {
            versions.borrow_mut().remove(service);
            "conflict"
        }
        WriteOutcome::OtherEra(era) => {
            gateway.observe_era(era);
            "other era"
        }
        WriteOutcome::Refused => "refused",
        WriteOutcome::Unknown => "unknown",
    };
    gateway.metrics.count_store_call("software", name);
    log::info!(
        event = "software", service = service.as_str(), versions:? = spans, outcome = name;
        "software versions of a service have changed"
    );
}
