//! Keeps in the store what teams have used, for gateways that all start at once.
//!
//! While some team has used much of its quota, the lease holder writes one row a second. A gateway that
//! starts reads it with the system's own table; as soon as the lease holder tells it more, the row no
//! longer matters. Once no team has used much, the row is written a last time, empty.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use chicorystage_core::quota::StoredUse;
use chicorystage_platform::store::{Row, WriteOutcome};

use crate::gateway::shared::Gateway;

/// Key of the row in the system's own table.
pub const QUOTAS_KEY: &str = "quotas";
/// Interval between two writes, in milliseconds.
const WRITE_INTERVAL_MS: u64 = 1_000;

/// What is known of the stored row.
#[derive(Debug, Default)]
pub struct QuotaRows {
    /// Version of the row; 0 where there is none.
    version: Cell<u64>,
    /// Whether the row lists teams, as far as is known.
    has_teams: Cell<bool>,
}

/// Starts the task that writes the row at the lease holder.
pub fn start(gateway: &Rc<Gateway>) {
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(Duration::from_millis(WRITE_INTERVAL_MS)).await;
            if gateway.order_epoch().is_some() {
                write(&gateway).await;
            }
        }
    });
}

/// Applies the row as stored.
pub fn apply(gateway: &Gateway, row: &Row) {
    let rows = &gateway.quota_rows;
    rows.version.set(row.version);
    let Some(value) = &row.value else {
        rows.has_teams.set(false);
        return;
    };
    match serde_json::from_slice::<Vec<StoredUse>>(value) {
        Ok(stored) => {
            rows.has_teams.set(!stored.is_empty());
            gateway.with(|view| view.quotas.restore(stored, WRITE_INTERVAL_MS));
        }
        Err(error) => {
            log::warn!(event = "quotas_unreadable", error:%; "stored use of quotas cannot be decoded; ignored");
        }
    }
}

async fn write(gateway: &Rc<Gateway>) {
    let now_ms = gateway.now_ms();
    let uses = gateway.with(|view| view.quotas.to_store(now_ms));
    let rows = &gateway.quota_rows;
    if uses.is_empty() && !rows.has_teams.get() {
        return;
    }
    let value = match serde_json::to_vec(&uses) {
        Ok(value) => value,
        Err(error) => {
            log::error!(event = "quotas_unwritable", error:%; "use of quotas cannot be encoded");
            return;
        }
    };
    let expected = gateway.position(rows.version.get());
    let outcome = gateway.store.write(QUOTAS_KEY, &value, expected).await;
    let result = match outcome {
        WriteOutcome::Written(version) => {
            rows.version.set(version);
            rows.has_teams.set(!uses.is_empty());
            "ok"
        }
        WriteOutcome::Conflict(row) => {
            rows.version.set(row.map_or(0, |row| row.version));
            "conflict"
        }
        WriteOutcome::OtherEra(era) => {
            gateway.observe_era(era);
            rows.version.set(0);
            "conflict"
        }
        WriteOutcome::Refused | WriteOutcome::Unknown => "failed",
    };
    gateway.metrics.count_store_call("quotas", result);
}
