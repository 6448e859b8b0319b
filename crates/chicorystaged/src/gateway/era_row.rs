//! Row of the system's own table that states since when the store has been in its era.
//!
//! The lease holder writes it once in an era. A gateway that starts learns from it that the era has
//! lasted for long enough, and need not wait. If the row is missing or of another era, the gateway
//! counts from its own first answer.

use std::cell::Cell;
use std::rc::Rc;

use chicorystage_platform::store::{Changes, Row, WriteOutcome};
use serde::{Deserialize, Serialize};

use crate::gateway::shared::Gateway;
use crate::timer::boot_ms;

/// Key in the system's own table.
pub(super) const ERA_KEY: &str = "era";

/// Value of the row.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct EraValue {
    /// Number of the era.
    era: u64,
    /// Time by which it had begun, on the store's clock, in milliseconds.
    begun_by_ms: u64,
}

/// The row as last seen.
#[derive(Debug, Default)]
pub struct EraRow {
    /// Version of the row; 0 if there is none.
    version: Cell<u64>,
    /// Era that it states; `None` if it cannot be decoded or there is no row.
    era: Cell<Option<u64>>,
    is_being_written: Cell<bool>,
}

/// Applies the row among the rows of the whole table, or notes that there is none.
pub(super) fn apply_whole(gateway: &Gateway, changes: &Changes) {
    let row = changes.rows.iter().find(|row| row.key == ERA_KEY);
    match row {
        Some(row) => apply(gateway, row, changes.clock_ms),
        None => forget(gateway),
    }
}

/// Applies the row; `clock_ms` is the store's clock at the answer.
pub(super) fn apply(gateway: &Gateway, row: &Row, clock_ms: Option<u64>) {
    let value = row.value.as_deref().map(serde_json::from_slice::<EraValue>);
    let value = match value.transpose() {
        Ok(value) => value,
        Err(error) => {
            log::warn!(event = "store_era_unreadable", error:%; "row cannot be decoded; ignored");
            None
        }
    };
    let state = &gateway.era_row;
    state.version.set(row.version);
    state.era.set(value.map(|value| value.era));
    let (Some(value), Some(clock_ms)) = (value, clock_ms) else {
        return;
    };
    // The store's clock need not go on over a return from a copy.
    if value.era != gateway.era().number() {
        return;
    }
    let age_ms = clock_ms.saturating_sub(value.begun_by_ms);
    gateway.observe_era_at(value.era, boot_ms().saturating_sub(age_ms));
    log::info!(event = "store_era_age", era = value.era, age_ms; "age of the era is in the store");
    if gateway.unconfirmed_left_ms() == Some(0) {
        // The configuration was read before the era's age, and another read may confirm it.
        gateway.newer_configuration.notify_one();
    }
}

fn forget(gateway: &Gateway) {
    gateway.era_row.version.set(0);
    gateway.era_row.era.set(None);
}

/// Writes the row if this gateway holds the lease on orders and the row is not of the present era.
///
/// `clock_ms` is the store's clock at an answer, and `began_boot_ms` the start of the call.
pub(super) fn update(gateway: &Rc<Gateway>, clock_ms: Option<u64>, began_boot_ms: u64) {
    let (state, era) = (&gateway.era_row, gateway.era());
    let is_stored = state.era.get() == Some(era.number());
    let (Some(age_ms), Some(clock_ms)) = (era.age_ms(began_boot_ms), clock_ms) else {
        return;
    };
    if is_stored || state.is_being_written.get() || gateway.order_epoch().is_none() {
        return;
    }
    let value = EraValue {
        era: era.number(),
        begun_by_ms: clock_ms.saturating_sub(age_ms),
    };
    state.is_being_written.set(true);
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        write(&gateway, value).await;
        gateway.era_row.is_being_written.set(false);
    });
}

/// Writes the row unless it has changed; a failed write is repeated after a later answer.
async fn write(gateway: &Gateway, value: EraValue) {
    let encoded = match serde_json::to_vec(&value) {
        Ok(encoded) => encoded,
        Err(error) => {
            log::error!(event = "store_era_not_stored", error:%; "value cannot be encoded");
            return;
        }
    };
    let state = &gateway.era_row;
    let expected = gateway.position(state.version.get());
    let outcome = gateway.store.write(ERA_KEY, &encoded, expected).await;
    let name = match outcome {
        WriteOutcome::Written(version) => {
            state.version.set(version);
            state.era.set(Some(value.era));
            "ok"
        }
        WriteOutcome::Conflict(Some(row)) => {
            apply(gateway, &row, None);
            "conflict"
        }
        WriteOutcome::Conflict(None) => {
            forget(gateway);
            "conflict"
        }
        WriteOutcome::OtherEra(number) => {
            gateway.observe_era(number);
            "other era"
        }
        WriteOutcome::Refused => "refused",
        WriteOutcome::Unknown => "unknown",
    };
    gateway.metrics.count_store_call("store era", name);
    log::info!(event = "store_era_written", era = value.era, outcome = name; "age of the era written");
}
