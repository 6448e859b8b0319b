//! Deciding a model's first slot in the platform's table.

use std::sync::Arc;

use chicorystage_api::name::{ModelName, VmId};
use chicorystage_api::peer::{PLACEMENT_ROW_PREFIX, PlacementPush, PlacementRow, Slot, SlotState};
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_platform::BorderError;
use chicorystage_platform::table::{Check, CommitOutcome, Table, Transaction, Write};

/// Delay after which a request without a slot should come back, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Reads a model's slots and decides the first one where there is none.
///
/// # Errors
///
/// Refuses as not run where the table cannot be read or written.
///
/// # Panics
///
/// Panics where a message type does not serialise, which is a bug.
pub async fn read_or_decide(
    table: &dyn Table,
    model: &ModelName,
    candidates: &[VmId],
) -> Result<PlacementPush, Refusal> {
    let key: Arc<str> = format!("{PLACEMENT_ROW_PREFIX}{model}").into();
    if let Some(push) = read(table, &key).await? {
        return Ok(push);
    }
    let Some(vm) = candidates.first() else {
        return Err(
            Refusal::not_run(RefusalCode::NoEndpoint, "no live VM in the model's group")
                .retry_after_ms(RETRY_AFTER_MS),
        );
    };
    let row = PlacementRow {
        model: model.clone(),
        slots: vec![Slot {
            vm: vm.clone(),
            state: SlotState::Held,
        }],
    };
    let value = serde_json::to_string(&row).expect("message types serialise to JSON");
    let transaction = Transaction {
        id: format!("place-{model}-{:016x}", rand::random::<u64>()).into(),
        checks: vec![Check {
            key: Arc::clone(&key),
            version: None,
        }],
        writes: vec![Write {
            key: Arc::clone(&key),
            value: Some(value.into()),
        }],
    };
    match table.commit(transaction).await {
        Ok(CommitOutcome::Applied { version }) => Ok(PlacementPush {
            row_version: version,
            row,
        }),
        // Another router decided first, or the answer was lost: the row tells.
        Ok(CommitOutcome::Conflict { .. }) | Err(_) => read(table, &key)
            .await?
            .ok_or_else(|| unavailable("no row was written")),
    }
}

async fn read(table: &dyn Table, key: &str) -> Result<Option<PlacementPush>, Refusal> {
    let row = table
        .get(key)
        .await
        .map_err(|error: BorderError| unavailable(&error.to_string()))?;
    let Some(row) = row else {
        return Ok(None);
    };
    let parsed =
        serde_json::from_str(&row.value).map_err(|error| unavailable(&error.to_string()))?;
    Ok(Some(PlacementPush {
        row_version: row.version,
        row: parsed,
    }))
}

fn unavailable(detail: &str) -> Refusal {
    Refusal::not_run(RefusalCode::NoPlacement, detail).retry_after_ms(RETRY_AFTER_MS)
}
