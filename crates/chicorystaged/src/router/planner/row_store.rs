use std::sync::Arc;

use chicorystage_api::inventory::{Item, ItemKey, ItemKind, ItemRow, PolicyItem};
use chicorystage_api::name::ModelName;
use chicorystage_api::peer::{PLACEMENT_ROW_PREFIX, PlacementPush, PlacementRow};
use chicorystage_borders::BorderError;
use chicorystage_borders::table::{Check, CommitOutcome, Row, Table, Transaction, Write};
use chicorystage_core::planner::CapRows;

/// Name of the only policy item in the inventory.
const POLICY_NAME: &str = "deployment";

/// Reads a model's placement row and the rows that determine its replica cap.
///
/// The cap rows are the model's item, its rule and the policy; their versions
/// are returned for the check in [`commit`]. Returns `None` if a read fails or
/// the placement row cannot be parsed. The inner `None` means that the model
/// has no placement row yet.
pub(crate) async fn read(
    table: &dyn Table,
    model: &ModelName,
) -> Option<(Option<PlacementPush>, CapRows)> {
    let keys = [
        row_key(model),
        ItemKey::new(ItemKind::Model, model.as_str()).row_key(),
        ItemKey::new(ItemKind::Rule, model.as_str()).row_key(),
        ItemKey::new(ItemKind::Policy, POLICY_NAME).row_key(),
    ];
    let [placement, item, rule, policy] = &keys;
    let (placement, item, rule, policy) = tokio::join!(
        table.get(placement),
        table.get(item),
        table.get(rule),
        table.get(policy)
    );
    let rows = [item.ok()?, rule.ok()?, policy.ok()?];
    let current = match placement.ok()? {
        Some(row) => Some(parse(&row)?),
        None => None,
    };
    let cap = cap(&rows);
    let versions = rows.iter().map(|row| row.as_ref().map(|row| row.version));
    let versions = keys.into_iter().skip(1).zip(versions).collect();
    Some((current, CapRows { cap, versions }))
}

/// Writes a placement row if it and its model's cap rows are unchanged since they were read.
///
/// `row_version` is the version that was read; `None` if there was no row.
///
/// # Errors
///
/// Fails if the table does not confirm the write. The error says whether the
/// write certainly had no effect.
///
/// # Panics
///
/// Panics if a message type cannot be serialised, which is a bug.
pub(crate) async fn commit(
    table: &dyn Table,
    row_version: Option<u64>,
    cap_rows: CapRows,
    row: &PlacementRow,
) -> Result<CommitOutcome, BorderError> {
    let key: Arc<str> = row_key(&row.model).into();
    let value = serde_json::to_string(row).expect("message types serialise to JSON");
    let mut checks = vec![Check {
        key: Arc::clone(&key),
        version: row_version,
    }];
    let cap_checks = cap_rows.versions.into_iter();
    checks.extend(cap_checks.map(|(key, version)| Check {
        key: key.into(),
        version,
    }));
    let transaction = Transaction {
        id: format!("place-{}-{:016x}", row.model, rand::random::<u64>()).into(),
        checks,
        writes: vec![Write {
            key,
            value: Some(value.into()),
        }],
    };
    table.commit(transaction).await
}

/// Parses a stored placement row; `None` if its value is malformed.
pub(crate) fn parse(row: &Row) -> Option<PlacementPush> {
    let parsed = serde_json::from_str(&row.value).ok()?;
    Some(PlacementPush {
        row_version: row.version,
        row: parsed,
    })
}

fn row_key(model: &ModelName) -> String {
    format!("{PLACEMENT_ROW_PREFIX}{model}")
}

/// Returns the maximum number of replicas of a model from its item, rule and policy rows.
///
/// 0 for a model without an item; else the model's rule decides, then the
/// policy, then the policy's default. A malformed rule or policy counts as missing.
fn cap(rows: &[Option<Row>; 3]) -> u32 {
    let [model, rule, policy] = rows;
    if model.is_none() {
        return 0;
    }
    if let Some(Item::Rule(rule)) = item(rule.as_ref()) {
        return rule.replicas_max;
    }
    match item(policy.as_ref()) {
        Some(Item::Policy(policy)) => policy.replicas_max_default,
        _ => PolicyItem::default().replicas_max_default,
    }
}

fn item(row: Option<&Row>) -> Option<Item> {
    let row: ItemRow = serde_json::from_str(&row?.value).ok()?;
    Some(row.item)
}
