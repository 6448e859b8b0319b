//! Builds the inventory's rows and transactions for the platform's table.

use std::sync::Arc;

use chicorystage_api::inventory::{
    CHANGE_ROW_PREFIX, Change, ChangeRecord, HEAD_ROW_KEY, HeadRow, ItemKey, ItemRow,
    LOG_ROW_PREFIX,
};
use chicorystage_api::name::{ChangeId, Digest};
use chicorystage_borders::table::{Check, Row, Transaction, Write};
use chicorystage_core::token;
use serde::{Deserialize, Serialize};

/// Row that maps a change id to the revision of its commit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ChangeRow {
    /// Revision of the inventory after the change.
    pub revision: u64,
    /// Digest of the submitted change; distinguishes a retry from another change with the same id.
    pub content_sha256: Digest,
}

/// Table versions of the rows that a commit checks.
#[derive(Clone, Debug)]
pub(crate) struct RowVersions {
    /// Table version of the head row; `None` if it is absent.
    pub head_version: Option<u64>,
    /// Table versions of the item rows that are written; `None` for a new row.
    pub item_versions: Vec<(ItemKey, Option<u64>)>,
}

pub(crate) fn log_key(revision: u64) -> String {
    format!("{LOG_ROW_PREFIX}{revision:020}")
}

pub(crate) fn change_key(change_id: &ChangeId) -> String {
    format!("{CHANGE_ROW_PREFIX}{change_id}")
}

pub(crate) fn content_sha256(change: &Change) -> Digest {
    token::sha256(to_json(change).as_bytes())
}

pub(crate) fn parse<T: for<'a> Deserialize<'a>>(row: &Row) -> Option<T> {
    serde_json::from_str(&row.value).ok()
}

/// Returns the transaction that commits a record.
///
/// The check of the head row alone puts all changes in order. The checks of the
/// item rows and of the change row still prevent lost updates and duplicate
/// commits if anything else ever writes the head row.
pub(crate) fn commit_transaction(
    change: &Change,
    record: &ChangeRecord,
    row_versions: &RowVersions,
) -> Transaction {
    let head = HeadRow {
        revision: record.revision,
        change_id: record.change_id.clone(),
    };
    let change_row = ChangeRow {
        revision: record.revision,
        content_sha256: content_sha256(change),
    };
    let change_row_key: Arc<str> = change_key(&record.change_id).into();
    let mut checks = vec![
        check(HEAD_ROW_KEY.into(), row_versions.head_version),
        check(Arc::clone(&change_row_key), None),
    ];
    for (key, version) in &row_versions.item_versions {
        checks.push(check(key.row_key().into(), *version));
    }
    let mut writes = vec![
        write(HEAD_ROW_KEY.into(), Some(to_json(&head))),
        write(change_row_key, Some(to_json(&change_row))),
        write(log_key(record.revision).into(), Some(to_json(record))),
    ];
    for entry in &record.items {
        let row = entry.item.clone().map(|item| ItemRow {
            item,
            revision: record.revision,
            change_id: record.change_id.clone(),
            operator: record.operator.clone(),
        });
        writes.push(write(entry.key.row_key().into(), row.as_ref().map(to_json)));
    }
    Transaction {
        id: record.change_id.as_str().into(),
        checks,
        writes,
    }
}

/// Returns the transaction that deletes old records with their change rows.
pub(crate) fn trim_transaction(records: &[ChangeRecord]) -> Transaction {
    let keys = records
        .iter()
        .flat_map(|record| [log_key(record.revision), change_key(&record.change_id)]);
    let newest = records.last().map_or(0, |record| record.revision);
    Transaction {
        id: format!("trim-{newest}").into(),
        checks: Vec::new(),
        writes: keys.map(|key| write(key.into(), None)).collect(),
    }
}

fn check(key: Arc<str>, version: Option<u64>) -> Check {
    Check { key, version }
}

fn write(key: Arc<str>, value: Option<Arc<str>>) -> Write {
    Write { key, value }
}

fn to_json<T: Serialize>(value: &T) -> Arc<str> {
    serde_json::to_string(value)
        .expect("message types serialise to JSON")
        .into()
}
