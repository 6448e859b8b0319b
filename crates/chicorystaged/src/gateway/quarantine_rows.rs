//! Rows of the system's own table that keep quarantines beyond the gateways that decided them.
//!
//! Gateways tell each other of a quarantine by datagram, which may be lost, and one that starts
//! later was not told at all. A row reaches every gateway that follows the table. An operator lifts
//! a quarantine by removing its row. After the store has returned from an older copy, the gateways that
//! know a quarantine store it again.

use std::rc::Rc;
use std::time::Duration;

use chicorystage_api::name::Digest;
use chicorystage_api::peer::QuarantineEntry;
use chicorystage_core::suspects::DigestStatus;
use chicorystage_platform::store::{Row, WriteOutcome};
use rand::RngExt;

use crate::gateway::poison;
use crate::gateway::shared::Gateway;
use crate::gateway::view::shared_period_ms;
use crate::timer::unix_ms;

/// Prefix of the keys of quarantines; the digest follows.
pub(crate) const QUARANTINE_KEY: &str = "quarantine/";
/// Largest number of quarantines that are stored; further ones are only sent to the other gateways.
const STORED_MAX: usize = 1_000;
/// Pause before the next try after the store failed, in milliseconds.
const WRITE_PAUSE_MS: u64 = 500;
/// Longest time over which a few gateways spread the writes of one quarantine after a return of the store,
/// in milliseconds.
const RESTORE_SPREAD_MS: u64 = 300;
/// Largest number of tries to write a row; together they outlast an outage of a minute.
const WRITES_MAX: u32 = 120;

/// Writes a quarantine or its end to the store; tries again while the store is away.
pub(super) async fn store(gateway: &Rc<Gateway>, entry: &QuarantineEntry) {
    let digest = entry.digest.as_str();
    let known = gateway.with(|view| view.suspects.quarantined().count());
    if known > STORED_MAX {
        log::warn!(event = "quarantine_not_stored", digest, known; "too many quarantines");
        return;
    }
    let value = match serde_json::to_vec(entry) {
        Ok(value) => value,
        Err(error) => {
            log::error!(event = "quarantine_not_stored", digest, error:%; "entry cannot be encoded");
            return;
        }
    };
    let key = format!("{QUARANTINE_KEY}{digest}");
    let mut version = 0;
    for _ in 0..WRITES_MAX {
        match write(gateway, &key, &value, version).await {
            WriteOutcome::Written(_) => {
                log::info!(event = "quarantine_stored", digest, active = entry.active; "decision on a quarantine is in the store");
                return;
            }
            WriteOutcome::Conflict(Some(row)) if is_older(&row, entry) => version = row.version,
            WriteOutcome::Conflict(Some(_newer)) => return,
            WriteOutcome::Conflict(None) => version = 0,
            WriteOutcome::OtherEra(_) | WriteOutcome::Refused | WriteOutcome::Unknown => {
                tokio::time::sleep(Duration::from_millis(WRITE_PAUSE_MS)).await;
            }
        }
    }
    log::warn!(event = "quarantine_not_stored", digest, tries = WRITES_MAX; "store did not answer");
}

/// Stores the known quarantines again that the rows of a store which has returned from an older copy lack.
///
/// Each gateway that knows one does so after a random time unless another has done so. That time grows with
/// the number of gateways and of quarantines, so that the calls of all come at a bounded rate.
pub(super) fn store_missing(gateway: &Rc<Gateway>) {
    let missing: Vec<QuarantineEntry> = gateway.with(|view| {
        let known = view.suspects.quarantined();
        let missing = known.filter(|entry| !is_stored(gateway, &entry.digest));
        missing.cloned().collect()
    });
    let each_ms = shared_period_ms(RESTORE_SPREAD_MS, gateway.with(|view| view.gateways()));
    let longest_ms = each_ms * u64::try_from(missing.len()).unwrap_or(u64::MAX);
    for entry in missing {
        let gateway = Rc::clone(gateway);
        let delay_ms = rand::rng().random_range(0..=longest_ms);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            if !is_stored(&gateway, &entry.digest) {
                store(&gateway, &entry).await;
            }
        });
    }
}

/// Returns whether the store has a row of a digest, as far as this gateway has read it.
fn is_stored(gateway: &Gateway, digest: &Digest) -> bool {
    gateway.stored_quarantines.borrow().contains(digest)
}

/// Notes that the store has no rows of quarantines, as far as is known, before they are read whole.
pub(super) fn forget_stored(gateway: &Gateway) {
    gateway.stored_quarantines.borrow_mut().clear();
}

/// Returns whether the decision that a row keeps is older than another one on the same digest.
fn is_older(row: &Row, entry: &QuarantineEntry) -> bool {
    let value = row.value.as_deref().unwrap_or_default();
    // What cannot be read decides nothing.
    let stored = serde_json::from_slice::<QuarantineEntry>(value).ok();
    stored.is_none_or(|stored| stored.decided_unix_ms < entry.decided_unix_ms)
}

/// Writes the row if it has this version; 0 expects none.
async fn write(gateway: &Gateway, key: &str, value: &[u8], version: u64) -> WriteOutcome {
    let expected = gateway.position(version);
    let outcome = gateway.store.write(key, value, expected).await;
    let name = match &outcome {
        WriteOutcome::Written(_) | WriteOutcome::Conflict(_) => "ok",
        WriteOutcome::OtherEra(era) => {
            gateway.observe_era(*era);
            "other era"
        }
        WriteOutcome::Refused | WriteOutcome::Unknown => "failed",
    };
    gateway.metrics.count_store_call("quarantine", name);
    outcome
}

/// Applies the row of a quarantine, or its removal.
pub(super) fn apply(gateway: &Gateway, digest: &str, row: &Row) {
    let digest = Digest::from(digest);
    let Some(value) = &row.value else {
        gateway.stored_quarantines.borrow_mut().remove(&digest);
        gateway.with(|view| {
            view.suspects.lift(unix_ms(), &digest);
            view.part_evidence.forget(&digest);
        });
        log::info!(event = "quarantine_lifted", digest = digest.as_str(); "an operator has removed the row");
        return;
    };
    gateway
        .stored_quarantines
        .borrow_mut()
        .insert(digest.clone());
    match serde_json::from_slice::<QuarantineEntry>(value) {
        Ok(entry) if entry.digest == digest && entry.active => {
            let is_new = poison::merge(gateway, entry);
            if is_new {
                log::info!(event = "quarantine_read", digest = digest.as_str(); "quarantine read from the store");
            }
        }
        Ok(entry) if entry.digest == digest && entry.crashes == 0 => {
            // Kept only where there is a quarantine: each kept digest costs requests a look.
            let is_known =
                gateway.with(|view| view.suspects.status(&digest) == DigestStatus::Quarantined);
            if is_known && poison::merge(gateway, entry) {
                gateway.with(|view| view.part_evidence.forget(&digest));
                log::info!(event = "quarantine_lifted", digest = digest.as_str(); "store says that the quarantine has ended");
            }
        }
        Ok(_other) => {
            log::warn!(event = "quarantine_unreadable", digest = digest.as_str(); "row is of another digest or of no decision; ignored");
        }
        Err(error) => {
            log::warn!(event = "quarantine_unreadable", digest = digest.as_str(), error:%; "row cannot be decoded; ignored");
        }
    }
}
