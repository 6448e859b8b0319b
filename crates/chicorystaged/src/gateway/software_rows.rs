//! Rows of the system's own table that keep which software versions of a service served lately.
//!
//! A gateway that takes up a stream which nobody knows must know which versions can have begun it. So
//! no gateway begins a resumable stream at an endpoint before its version is in the row of its service,
//! and a gateway that draws a conclusion from a row reads it anew first ([`read`]): its
//! view of the store may be old without its knowledge.
//!
//! The lease holder writes a row when the versions of its service change. Another gateway adds a
//! version that is still missing after a moment, as the holder may be out of touch with the store, and
//! at once if no stream could begin until then.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use chicorystage_api::name::ServiceName;
use chicorystage_borders::http::TransferProgress;
use chicorystage_borders::{BorderError, BorderErrorKind};
use chicorystage_core::stream_origins::SoftwareSpan;
use chicorystage_platform::store::{Changes, Row, TableName, WriteOutcome};
use rand::RngExt;
use tokio::sync::{Mutex, Notify};

use crate::gateway::recorded_versions::RecordedVersions;
use crate::gateway::shared::Gateway;
use crate::gateway::stream_rows;
use crate::gateway::view::shared_period_ms;
use crate::timer::unix_ms;

/// Prefix of the keys of software histories; the service follows.
pub(crate) const SOFTWARE_KEY: &str = "software/";
/// Interval between two comparisons of the histories with the registry, in milliseconds.
const UPDATE_INTERVAL_MS: u64 = 500;
/// Shortest time for which a gateway leaves it to the lease holder to add a version, in milliseconds.
const HOLDER_WRITES_MS: u64 = 300;

/// Versions of the rows as last seen, and when they were last compared with the registry.
#[derive(Debug, Default)]
pub struct SoftwareRows {
    versions: RefCell<HashMap<ServiceName, u64>>,
    compared_ms: Cell<u64>,
    /// Notified when registered versions or the configuration may have changed.
    changed: Notify,
    /// Start of the last successful read of the rows, in milliseconds; `None` before the first.
    read_ms: Mutex<Option<u64>>,
}

impl SoftwareRows {
    /// Records that the store has returned from an older copy, which makes versions of rows meaningless.
    pub(super) fn store_restored(&self) {
        self.versions.borrow_mut().clear();
    }
}

/// Starts the task that has new versions recorded.
pub fn start(gateway: &Rc<Gateway>) {
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move { record_loop(&gateway).await });
}

/// Records that registered versions or the configuration may have changed.
pub(super) fn registry_changed(gateway: &Gateway) {
    gateway.software_rows.changed.notify_one();
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
    registry_changed(gateway);
}

/// Applies the rows of all services: a service without a row has no history.
pub(super) fn apply_all(gateway: &Gateway, rows: &[Row]) {
    let of_service = |row: &Row| row.key.strip_prefix(SOFTWARE_KEY).map(ServiceName::from);
    let present: Vec<ServiceName> = rows.iter().filter_map(of_service).collect();
    let mut versions = gateway.software_rows.versions.borrow_mut();
    versions.retain(|service, _| present.contains(service));
    drop(versions);
    gateway.with(|view| view.software.retain(&present));
    for row in rows {
        if let Some(service) = row.key.strip_prefix(SOFTWARE_KEY) {
            apply(gateway, service, row);
        }
    }
    registry_changed(gateway);
}

/// Reads the rows from the store, unless a read has been started since `since_ms`.
///
/// # Errors
///
/// Returns the store's error; the histories may then be out of date.
pub(super) async fn read(gateway: &Rc<Gateway>, since_ms: u64) -> Result<(), BorderError> {
    let mut read_ms = gateway.software_rows.read_ms.lock().await;
    if read_ms.is_some_and(|read_ms| since_ms < read_ms) {
        return Ok(());
    }
    let started_ms = gateway.now_ms();
    let progress = TransferProgress::default();
    let rows = gateway
        .store
        .read_prefix(TableName::Own, SOFTWARE_KEY, &progress)
        .await;
    let outcome = if rows.is_ok() { "ok" } else { "failed" };
    gateway.metrics.count_store_call("software read", outcome);
    let rows = rows.inspect_err(|error| {
        log::warn!(event = "software_unread", error:%; "software versions of services cannot be read");
    })?;
    let (era, known_era) = (rows.position.era, gateway.era().number());
    if era < known_era {
        let detail = format!("software versions of services: era {era} after {known_era}");
        return Err(BorderError::new(BorderErrorKind::Unknown, detail));
    }
    apply_newer(gateway, &rows);
    *read_ms = Some(started_ms);
    Ok(())
}

/// Applies rows that were read, except for those that the feed has overtaken since.
fn apply_newer(gateway: &Gateway, rows: &Changes) {
    // Versions of rows are only comparable within an era.
    let is_same_era = rows.position.era == gateway.era().number();
    gateway.observe_era(rows.position.era);
    for row in &rows.rows {
        let Some(service) = row.key.strip_prefix(SOFTWARE_KEY) else {
            continue;
        };
        let versions = gateway.software_rows.versions.borrow();
        let known = versions.get(&ServiceName::from(service)).copied();
        drop(versions);
        if !is_same_era || known.is_none_or(|known| known < row.version) {
            apply(gateway, service, row);
        }
    }
}

/// Has versions recorded as they appear, and tells the fleet which ones are.
async fn record_loop(gateway: &Rc<Gateway>) {
    let rows = &gateway.software_rows;
    loop {
        rows.changed.notified().await;
        let has_holder = gateway.order_epoch().is_none() && gateway.has_recent_holder();
        let mut may_wait = true;
        loop {
            let recorded = apply_recorded(gateway);
            if recorded == RecordedVersions::All {
                break;
            }
            let waits_for_holder =
                has_holder && may_wait && recorded == RecordedVersions::SomeMissing;
            if !waits_for_holder {
                extend(gateway).await;
                if apply_recorded(gateway) == RecordedVersions::All {
                    break;
                }
            }
            may_wait = false;
            let wait_ms = write_delay_ms(gateway.with(|view| view.gateways()));
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        }
    }
}

/// Returns a random time for which this gateway leaves a version to the others, in milliseconds.
///
/// It grows with their number, so that the calls of all gateways on one row come at a bounded rate.
fn write_delay_ms(gateways: usize) -> u64 {
    let longest_ms = shared_period_ms(HOLDER_WRITES_MS, gateways);
    rand::rng().random_range(HOLDER_WRITES_MS..=longest_ms)
}

/// Tells the fleet which versions are recorded; returns which of the registered ones are.
fn apply_recorded(gateway: &Gateway) -> RecordedVersions {
    let Some(configuration) = gateway.configuration() else {
        return RecordedVersions::All;
    };
    let services = configuration.resumable_services();
    let state = gateway.with(|view| {
        let mut state = RecordedVersions::All;
        for service in &services {
            let recorded = view.software.recorded(service);
            let registered = view.fleet.software_versions(service);
            state = state.max(RecordedVersions::of(&registered, &recorded));
            view.fleet.record_software(service.clone(), recorded);
        }
        let is_read = view.has_endpoints && view.has_peers;
        if is_read {
            state
        } else {
            RecordedVersions::All
        }
    });
    gateway.capacity_changed.notify_one();
    stream_rows::versions_changed(gateway, &services);
    state
}

/// Adds registered versions that the rows lack.
async fn extend(gateway: &Gateway) {
    let Some(configuration) = gateway.configuration() else {
        return;
    };
    for service in configuration.resumable_services() {
        let extended = gateway.with(|view| {
            let registered = view.fleet.software_versions(&service);
            view.software.extended(unix_ms(), &service, &registered)
        });
        if let Some(spans) = extended {
            write(gateway, &service, spans).await;
        }
    }
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
    for service in configuration.resumable_services() {
        let changed = gateway.with(|view| {
            let registered = view.fleet.software_versions(&service);
            let is_known = view.has_endpoints && view.has_peers;
            let changed = view.software.changed(unix_ms(), &service, &registered);
            changed.filter(|_| is_known)
        });
        if let Some(spans) = changed {
            let gateway = Rc::clone(gateway);
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
            registry_changed(gateway);
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
