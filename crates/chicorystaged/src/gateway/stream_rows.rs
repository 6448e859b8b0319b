//! Rows that keep which software version began the streams that callers may take up again.
//!
//! Each gateway writes one row while several versions of a service have served lately. A gateway that
//! does not know a stream reads all rows, which shows it the streams of gateways that were killed. The
//! rows have a table of their own, which no gateway follows.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use chicorystage_api::name::{ServiceName, SoftwareVersion};
use chicorystage_borders::http::TransferProgress;
use chicorystage_core::stream_origins::{LiveStream, LiveStreams, ResumeTarget, STREAM_LIFE_MS};
use chicorystage_platform::store::{Row, TableName, WriteOutcome};
use tokio::sync::{Mutex, Notify};

use crate::gateway::caller_work::CallerWork;
use crate::gateway::shared::Gateway;
use crate::timer::unix_ms;

/// Shortest interval between two writes, in milliseconds, for each [`GATEWAYS_PER_INTERVAL`].
const WRITE_INTERVAL_MS: u64 = 50;
/// Number of gateways up to which that interval is not prolonged.
const GATEWAYS_PER_INTERVAL: usize = 8;
/// Time for which rows that were read are not read again, in milliseconds.
const READ_INTERVAL_MS: u64 = 300;

/// This gateway's streams and the state of its row.
#[derive(Debug, Default)]
pub struct StreamRows {
    live: RefCell<LiveStreams>,
    changed: Notify,
    /// Version of the own row; `None` before the rows were read.
    own_version: Cell<Option<u64>>,
    /// Time of the last read of all rows, in milliseconds; `None` before the first.
    read_ms: Mutex<Option<u64>>,
    /// Whether several versions of a service served lately when that was last examined.
    has_several_versions: Cell<bool>,
}

impl StreamRows {
    /// Records that the store has returned from an older copy, which makes versions of rows meaningless.
    pub(super) fn store_restored(&self) {
        self.own_version.set(None);
    }
}

/// Starts the task that writes the own row.
pub fn start(gateway: &Rc<Gateway>) {
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move { write_loop(&gateway).await });
}

/// Records that a stream has begun and may be taken up again.
pub(super) fn begin(
    gateway: &Gateway,
    work: &CallerWork,
    service: &ServiceName,
    software: &SoftwareVersion,
) {
    let now_unix_ms = unix_ms();
    let waits_ms = work.head.deadline_ms.unwrap_or(STREAM_LIFE_MS);
    let left_ms = (work.arrived_ms + waits_ms).saturating_sub(gateway.now_ms());
    let stream = LiveStream {
        stream: work.head.stream(),
        software: software.clone(),
        ends_unix_ms: now_unix_ms + left_ms,
    };
    let has_several_versions = has_several_versions(gateway, service);
    let rows = &gateway.stream_rows;
    rows.live
        .borrow_mut()
        .begin(now_unix_ms, stream, has_several_versions);
    if has_several_versions {
        rows.changed.notify_one();
    }
}

/// Examines the versions of these services, and has the streams stored that began before a service had
/// several.
pub(super) fn versions_changed(gateway: &Gateway, services: &BTreeSet<ServiceName>) {
    let rows = &gateway.stream_rows;
    let mut services = services.iter();
    let has_several = services.any(|service| has_several_versions(gateway, service));
    let is_known = rows.has_several_versions.replace(has_several);
    if has_several && !is_known && !rows.live.borrow().is_empty() {
        rows.live.borrow_mut().keep_changed();
        rows.changed.notify_one();
    }
}

/// Returns whether several versions of a service served lately.
fn has_several_versions(gateway: &Gateway, service: &ServiceName) -> bool {
    let target = gateway.with(|view| {
        let registered = view.fleet.software_versions(service);
        view.software.resume_target(unix_ms(), service, &registered)
    });
    target == ResumeTarget::Unknown
}

/// Records that the caller has received a stream whole.
pub(super) fn end(gateway: &Gateway, work: &CallerWork) {
    let stream = work.head.stream();
    gateway.stream_rows.live.borrow_mut().end(&stream);
}

/// Reads all rows, unless they were read a moment ago.
pub(super) async fn read(gateway: &Rc<Gateway>) {
    let mut read_ms = gateway.stream_rows.read_ms.lock().await;
    let now_ms = gateway.now_ms();
    if read_ms.is_some_and(|read_ms| now_ms < read_ms + READ_INTERVAL_MS) {
        return;
    }
    let progress = TransferProgress::default();
    let rows = gateway.store.read(TableName::Streams, &progress).await;
    let outcome = if rows.is_ok() { "ok" } else { "failed" };
    gateway.metrics.count_store_call("streams", outcome);
    match rows {
        Ok(rows) => {
            *read_ms = Some(now_ms);
            apply(gateway, &rows.rows);
        }
        Err(error) => {
            log::warn!(event = "streams_unread", error:%; "rows of streams cannot be read");
        }
    }
}

/// Records the streams of rows; those of the own row, which an earlier process wrote, are kept in it.
fn apply(gateway: &Gateway, rows: &[Row]) {
    let (now_ms, now_unix_ms) = (gateway.now_ms(), unix_ms());
    let own = &gateway.stream_rows;
    for row in rows {
        let is_own = row.key == gateway.settings.vm.as_str();
        let is_first = is_own && own.own_version.get().is_none();
        if is_own {
            own.own_version.set(Some(row.version));
        }
        for stream in decode(row) {
            if stream.ends_unix_ms <= now_unix_ms {
                continue;
            }
            let (id, software) = (stream.stream.clone(), stream.software.clone());
            gateway.with(|view| view.begun_streams.record(now_ms, id, software));
            if is_first {
                own.live.borrow_mut().begin(now_unix_ms, stream, false);
            }
        }
    }
    if own.own_version.get().is_none() {
        own.own_version.set(Some(0));
    }
    gateway.stream_told.notify_waiters();
}

fn decode(row: &Row) -> Vec<LiveStream> {
    let Some(value) = &row.value else {
        return Vec::new();
    };
    match serde_json::from_slice(value) {
        Ok(streams) => streams,
        Err(error) => {
            log::warn!(event = "streams_unreadable", vm = row.key.as_str(), error:%; "row cannot be decoded; ignored");
            Vec::new()
        }
    }
}

async fn write_loop(gateway: &Rc<Gateway>) {
    let rows = &gateway.stream_rows;
    loop {
        if !rows.live.borrow().is_changed() {
            rows.changed.notified().await;
        }
        if rows.own_version.get().is_none() {
            read(gateway).await;
        }
        if let Some(version) = rows.own_version.get() {
            write(gateway, version).await;
        }
        let gateways = gateway.with(|view| view.gateways());
        let factor = gateways.div_ceil(GATEWAYS_PER_INTERVAL);
        let interval_ms = WRITE_INTERVAL_MS * u64::try_from(factor).unwrap_or(u64::MAX);
        tokio::time::sleep(Duration::from_millis(interval_ms)).await;
    }
}

/// Writes the own row if it has the expected version.
async fn write(gateway: &Gateway, version: u64) {
    let rows = &gateway.stream_rows;
    let streams = rows.live.borrow_mut().take(unix_ms());
    let value = match serde_json::to_vec(&streams) {
        Ok(value) => value,
        Err(error) => {
            log::error!(event = "streams_not_stored", error:%; "streams cannot be encoded");
            return;
        }
    };
    let expected = gateway.position(version);
    let key = gateway.settings.vm.as_str();
    let table = TableName::Streams;
    let outcome = gateway.store.write_to(table, key, &value, expected).await;
    let name = match outcome {
        WriteOutcome::Written(version) => {
            rows.own_version.set(Some(version));
            gateway.metrics.count_store_call("streams", "ok");
            return;
        }
        WriteOutcome::Conflict(row) => {
            // A call without an answer was performed, or the store has returned from an older copy.
            rows.own_version.set(Some(row.map_or(0, |row| row.version)));
            "conflict"
        }
        WriteOutcome::OtherEra(era) => {
            gateway.observe_era(era);
            rows.own_version.set(None);
            "other era"
        }
        WriteOutcome::Refused => "refused",
        WriteOutcome::Unknown => "unknown",
    };
    gateway.metrics.count_store_call("streams", name);
    rows.live.borrow_mut().keep_changed();
}
