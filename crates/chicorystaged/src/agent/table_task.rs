//! Reads of placement rows from the table, and the write that releases a slot.

use std::sync::Arc;

use chicorystage_api::name::{ModelName, VmId};
use chicorystage_api::peer::{PLACEMENT_ROW_PREFIX, PlacementRow};
use chicorystage_borders::table::{Check, CommitOutcome, Row, Table, Transaction, Write};
use chicorystage_borders::{BorderError, BorderErrorKind};

use crate::agent::event::SlotRows;

/// Number of rows to request in one page of a scan.
const PAGE_ROWS: usize = 500;

type VersionedRow = (u64, PlacementRow);

/// Reads every placement row.
pub(crate) async fn read_all_slots(table: &dyn Table) -> Result<SlotRows, BorderError> {
    let mut after: Option<Arc<str>> = None;
    let mut table_version = None;
    let mut rows = Vec::new();
    loop {
        let page = table
            .scan(PLACEMENT_ROW_PREFIX, after.as_deref(), PAGE_ROWS)
            .await?;
        // Later pages may be newer; every page includes all commits up to the first one's version.
        let table_version = *table_version.get_or_insert(page.table_version);
        for row in &page.rows {
            rows.push(parse(row)?);
        }
        after = page.next_after;
        if after.is_none() {
            return Ok(SlotRows {
                table_version,
                rows,
            });
        }
    }
}

/// Reads the placement row of one model.
pub(crate) async fn read_slot_row(
    table: &dyn Table,
    model: &ModelName,
) -> Result<Option<VersionedRow>, BorderError> {
    let row = table.get(&format!("{PLACEMENT_ROW_PREFIX}{model}")).await?;
    row.as_ref().map(parse).transpose()
}

/// Removes a VM's slot from a placement row; the VM must never load the model again.
///
/// Returns the row without the slot, with its version, or `None` if there is no row.
///
/// # Errors
///
/// Fails if the table does not answer or the row changed since it was read. The
/// outcome of a failed commit may be unknown; the read of the next call shows it.
pub(crate) async fn release_slot(
    table: &dyn Table,
    model: &ModelName,
    vm: &VmId,
) -> Result<Option<VersionedRow>, BorderError> {
    let Some((row_version, mut row)) = read_slot_row(table, model).await? else {
        return Ok(None);
    };
    let before = row.slots.len();
    row.slots.retain(|slot| slot.vm != *vm);
    if row.slots.len() == before {
        return Ok(Some((row_version, row)));
    }
    let key: Arc<str> = format!("{PLACEMENT_ROW_PREFIX}{model}").into();
    let value = serde_json::to_string(&row).expect("message types serialise to JSON");
    let transaction = Transaction {
        id: format!("leave-{vm}-{model}-{:016x}", rand::random::<u64>()).into(),
        checks: vec![Check {
            key: Arc::clone(&key),
            version: Some(row_version),
        }],
        writes: vec![Write {
            key,
            value: Some(value.into()),
        }],
    };
    match table.commit(transaction).await? {
        CommitOutcome::Applied { version } => Ok(Some((version, row))),
        CommitOutcome::Conflict { .. } => Err(BorderError::new(
            BorderErrorKind::Rejected,
            "the placement row changed meanwhile",
        )),
    }
}

fn parse(row: &Row) -> Result<VersionedRow, BorderError> {
    let parsed = serde_json::from_str(&row.value).map_err(|error| {
        let detail = format!("{}: {error}", row.key);
        BorderError::new(BorderErrorKind::Rejected, detail)
    })?;
    Ok((row.version, parsed))
}
