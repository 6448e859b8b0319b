//! Rows of the system's own table that keep quarantines beyond the gateways that decided them.
//!
//! Gateways tell each other of a quarantine by datagram, which may be lost, and one that starts
//! later was not told at all. A row reaches every gateway that follows the table. An operator lifts
//! a quarantine by removing its row.

use std::rc::Rc;
use std::time::Duration;

use chicorystage_api::name::Digest;
use chicorystage_api::peer::QuarantineEntry;
use chicorystage_platform::store::{Row, StorePosition, WriteOutcome};

use crate::gateway::poison;
use crate::gateway::shared::Gateway;
use crate::timer::unix_ms;

/// Prefix of the keys of quarantines; the digest follows.
pub(crate) const QUARANTINE_KEY: &str = "quarantine/";
/// Largest number of quarantines that are stored; further ones are only sent to the other gateways.
const STORED_MAX: usize = 1_000;
/// Pause before the next try after the store failed, in milliseconds.
const WRITE_PAUSE_MS: u64 = 500;
/// Largest number of tries to write a row; together they outlast an outage of a minute.
const WRITES_MAX: u32 = 120;

/// Writes a quarantine to the store; tries again while the store is away.
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
    for _ in 0..WRITES_MAX {
        if write(gateway, &key, &value).await {
            log::info!(event = "quarantine_stored", digest; "quarantine is in the store");
            return;
        }
        tokio::time::sleep(Duration::from_millis(WRITE_PAUSE_MS)).await;
    }
    log::warn!(event = "quarantine_not_stored", digest, tries = WRITES_MAX; "store did not answer");
}

/// Writes the row if there is none; returns whether there is one now.
async fn write(gateway: &Gateway, key: &str, value: &[u8]) -> bool {
    let absent = StorePosition {
        version: 0,
        ..gateway.position(0)
    };
    match gateway.store.write(key, value, absent).await {
        WriteOutcome::Written(_) | WriteOutcome::Conflict(_) => {
            gateway.metrics.count_store_call("quarantine", "ok");
            true
        }
        WriteOutcome::OtherEra(era) => {
            gateway.observe_era(era);
            false
        }
        WriteOutcome::Refused | WriteOutcome::Unknown => {
            gateway.metrics.count_store_call("quarantine", "failed");
            false
        }
    }
}

/// Applies the row of a quarantine, or its removal.
pub(super) fn apply(gateway: &Gateway, digest: &str, row: &Row) {
    let digest = Digest::from(digest);
    let Some(value) = &row.value else {
        gateway.with(|view| {
            view.suspects.lift(unix_ms(), &digest);
            view.part_evidence.forget(&digest);
        });
        log::info!(event = "quarantine_lifted", digest = digest.as_str(); "an operator has removed the row");
        return;
    };
    match serde_json::from_slice::<QuarantineEntry>(value) {
        Ok(entry) if entry.digest == digest && entry.active => {
            let is_new = poison::merge(gateway, entry);
            if is_new {
                log::info!(event = "quarantine_read", digest = digest.as_str(); "quarantine read from the store");
            }
        }
        Ok(_other) => {
            log::warn!(event = "quarantine_unreadable", digest = digest.as_str(); "row is of another digest or of no quarantine; ignored");
        }
        Err(error) => {
            log::warn!(event = "quarantine_unreadable", digest = digest.as_str(), error:%; "row cannot be decoded; ignored");
        }
    }
}
