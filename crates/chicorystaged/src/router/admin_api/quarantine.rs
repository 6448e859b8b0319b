//! Listing and lifting quarantines.

use std::sync::Arc;
use std::time::Duration;

use chicorystage_api::name::Digest;
use chicorystage_api::peer::{QUARANTINE_ROW_PREFIX, QuarantineEntry};
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_platform::BorderError;
use chicorystage_platform::table::{Check, CommitOutcome, Row, Transaction, Write};
use tokio::time::timeout;

use crate::router::admin_api::admin_error::AdminError;
use crate::router::admin_api::{AdminApi, Answer, ok};
use crate::timer::unix_ms;

/// Rows a scan page.
const SCAN_PAGE_ROWS: usize = 1_000;
/// Longest time until one router has taken the news, in milliseconds.
const PUSH_MAX_MS: u64 = 2_000;
/// Why a quarantine was lifted, for a person.
const LIFTED: &str = "lifted by an operator";

impl AdminApi {
    /// Lists the digests in quarantine.
    pub(super) async fn quarantine(&self) -> Answer {
        let entries = self.read_quarantine().await;
        Ok(ok(&entries.map_err(|error| AdminError::unread(&error))?))
    }

    /// Lifts one quarantine, or all.
    pub(super) async fn lift_quarantine(&self, only: Option<Digest>) -> Answer {
        let rows = self.quarantine_rows().await;
        let rows = rows.map_err(|error| AdminError::unread(&error))?;
        let wanted = |entry: &QuarantineEntry| {
            entry.active && only.as_ref().is_none_or(|digest| entry.digest == *digest)
        };
        let mut lifted = Vec::new();
        for (row, entry) in rows.into_iter().filter(|(_, entry)| wanted(entry)) {
            lifted.push(self.lift(&row, entry).await?);
        }
        if let Some(digest) = only
            && lifted.is_empty()
        {
            return Err(AdminError::NotFound(format!(
                "{digest} is not in quarantine"
            )));
        }
        self.push(&lifted).await?;
        Ok(ok(&lifted))
    }

    pub(super) async fn read_quarantine(&self) -> Result<Vec<QuarantineEntry>, BorderError> {
        let rows = self.quarantine_rows().await?;
        let entries = rows.into_iter().map(|(_, entry)| entry);
        Ok(entries.filter(|entry| entry.active).collect())
    }

    async fn quarantine_rows(&self) -> Result<Vec<(Row, QuarantineEntry)>, BorderError> {
        let mut found = Vec::new();
        let mut after = None;
        loop {
            let page = self
                .borders
                .table
                .scan(QUARANTINE_ROW_PREFIX, after.as_deref(), SCAN_PAGE_ROWS)
                .await?;
            for row in page.rows {
                if let Ok(entry) = serde_json::from_str(&row.value) {
                    found.push((row, entry));
                }
            }
            after = page.next_after;
            if after.is_none() {
                return Ok(found);
            }
        }
    }

    async fn lift(
        &self,
        row: &Row,
        mut entry: QuarantineEntry,
    ) -> Result<QuarantineEntry, Refusal> {
        entry.active = false;
        entry.reason = LIFTED.into();
        entry.decided_unix_ms = unix_ms();
        let value = serde_json::to_string(&entry).expect("message types serialise to JSON");
        let transaction = Transaction {
            id: format!("lift-{}-{}", entry.digest, row.version).into(),
            checks: vec![Check {
                key: Arc::clone(&row.key),
                version: Some(row.version),
            }],
            writes: vec![Write {
                key: Arc::clone(&row.key),
                value: Some(value.into()),
            }],
        };
        let digest = &entry.digest;
        match self.borders.table.commit(transaction).await {
            Ok(CommitOutcome::Applied { .. }) => Ok(entry),
            Ok(CommitOutcome::Conflict { .. }) => {
                let detail = format!("the quarantine of {digest} changed meanwhile");
                Err(Refusal::not_run(RefusalCode::StaleClaim, detail))
            }
            Err(error) if error.had_no_effect() => {
                let detail = format!("the table cannot record it: {error}");
                Err(Refusal::not_run(RefusalCode::ClaimUnavailable, detail))
            }
            Err(error) => {
                let detail = format!("it is unknown whether {digest} was lifted: {error}");
                Err(Refusal::may_have_run(RefusalCode::ResultUnknown, detail))
            }
        }
    }

    /// Tells the listed routers; one that misses it reads the rows itself.
    async fn push(&self, entries: &[QuarantineEntry]) -> Result<(), AdminError> {
        let vms = self.vms().await?;
        let bound = Duration::from_millis(PUSH_MAX_MS);
        for vm in vms.into_values().filter(|vm| vm.group == self.group) {
            let routers = Arc::clone(&self.borders.routers);
            let entries = entries.to_vec();
            tokio::spawn(async move {
                let pushed = routers.push_quarantine(vm.address, entries);
                // A router that does not answer in time reads the rows itself.
                let _pushed = timeout(bound, pushed).await;
            });
        }
        Ok(())
    }
}
