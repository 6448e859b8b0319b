use std::sync::Arc;
use std::time::Duration;

use chicorystage_api::admin::ChangeAnswer;
use chicorystage_api::inventory::{Change, ChangeRecord, ItemRow, OperatorItem};
use chicorystage_api::name::{GroupName, VmId};
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_borders::BorderError;
use chicorystage_borders::table::{CommitOutcome, Row};

use crate::router::borders::RouterBorders;
use crate::router::handle::RouterHandle;
use crate::router::inventory::announce::Announcer;
use crate::router::inventory::rows::{self, ChangeRow, RowVersions};
use crate::router::inventory::table_read::{Head, read_head};
use crate::router::inventory::{ChangeVerdict, CommitError, InventoryEvent};
use crate::timer::{Clock, unix_ms};

/// Maximum time to commit a change and receive its outcome, in milliseconds.
const COMMIT_MAX_MS: u64 = 15_000;
/// Delay before the next commit attempt, in milliseconds.
const RETRY_PAUSE_MS: u64 = 50;
/// Delay after which the operator should send an uncommitted change again, in milliseconds.
const RETRY_AFTER_MS: u64 = 2_000;

/// Commits operators' changes to the table and announces them to the other routers.
#[derive(Clone, Debug)]
pub struct Committer {
    own_vm: VmId,
    announcer: Announcer,
    borders: RouterBorders,
    handle: RouterHandle,
    clock: Clock,
}

/// Result of one commit attempt.
enum Attempt {
    Committed(ChangeRecord),
    Retry,
    Unresolved(BorderError),
}

impl Committer {
    /// Creates the committer of the router on VM `own_vm`, which belongs to `group`.
    #[must_use]
    pub fn new(
        (own_vm, group): (VmId, GroupName),
        borders: RouterBorders,
        handle: RouterHandle,
        clock: Clock,
    ) -> Self {
        let routers = Arc::clone(&borders.routers);
        Self {
            announcer: Announcer::new((own_vm.clone(), group), routers, handle.clone(), clock),
            own_vm,
            borders,
            handle,
            clock,
        }
    }

    /// Commits a change and collects the acknowledgements of the listed routers.
    ///
    /// The change id is an idempotency key: a change that is already committed
    /// under its id is not committed again.
    ///
    /// # Errors
    ///
    /// Returns the reason why the change was not committed. A refusal whose
    /// outcome is `may_have_run` means that the table did not report the
    /// outcome; the same change may be sent again under the same id.
    pub async fn submit(
        &self,
        operator: &OperatorItem,
        change: &Change,
    ) -> Result<ChangeAnswer, CommitError> {
        let record = self.commit(operator, change).await?;
        log::info!(
            event = "change_committed", revision = record.revision,
            change_id = record.change_id.as_str(), operator = record.operator.as_str();
            "change committed"
        );
        Ok(self.announcer.announce(record).await)
    }

    async fn commit(
        &self,
        operator: &OperatorItem,
        change: &Change,
    ) -> Result<ChangeRecord, CommitError> {
        let deadline_ms = self.clock.now_ms() + COMMIT_MAX_MS;
        // Head version of a commit that was sent and whose outcome is unknown.
        // Such a commit can take effect only while the head has that version.
        let mut unresolved = None;
        while self.clock.now_ms() < deadline_ms {
            let head = match self.read_commit_state(change).await {
                Ok(CommitState::Committed(record)) => return Ok(record),
                Ok(CommitState::NotCommitted(head)) => head,
                Err(AttemptError::Commit(error)) => return Err(error),
                Err(AttemptError::Table(error)) => {
                    if unresolved.is_none() {
                        return Err(unavailable(&error).into());
                    }
                    self.pause().await;
                    continue;
                }
            };
            if unresolved.is_some_and(|version| version != head.version) {
                unresolved = None;
            }
            match self.try_commit(operator, change, head).await {
                Ok(Attempt::Committed(record)) => return Ok(record),
                Ok(Attempt::Retry) => self.pause().await,
                Ok(Attempt::Unresolved(_no_answer)) => {
                    unresolved = Some(head.version);
                    self.pause().await;
                }
                Err(AttemptError::Commit(error)) if unresolved.is_none() => return Err(error),
                Err(AttemptError::Table(error)) if unresolved.is_none() => {
                    return Err(unavailable(&error).into());
                }
                Err(_unresolved) => self.pause().await,
            }
        }
        Err(self.timeout_refusal(unresolved.is_some()).into())
    }

    /// Reads whether the change is already committed.
    ///
    /// The head is read before the change row. If the change row is absent and
    /// the head has moved since a commit was sent, that commit can no longer
    /// take effect.
    async fn read_commit_state(&self, change: &Change) -> Result<CommitState, AttemptError> {
        let table = &*self.borders.table;
        let head = read_head(table).await?;
        let Some(row) = table.get(&rows::change_key(&change.change_id)).await? else {
            return Ok(CommitState::NotCommitted(head));
        };
        let recorded: ChangeRow = rows::parse(&row).ok_or_else(|| unreadable(&row))?;
        if recorded.content_sha256 != rows::content_sha256(change) {
            let detail = "this change id was used for another change";
            return Err(CommitError::from(Refusal::not_run(RefusalCode::KeyReused, detail)).into());
        }
        let log_row = table.get(&rows::log_key(recorded.revision)).await?;
        let record = log_row.as_ref().and_then(rows::parse::<ChangeRecord>);
        let record = record.ok_or_else(|| unreadable(&row))?;
        Ok(CommitState::Committed(record))
    }

    async fn try_commit(
        &self,
        operator: &OperatorItem,
        change: &Change,
        head: Head,
    ) -> Result<Attempt, AttemptError> {
        let prepared = self
            .handle
            .ask_inventory(|reply| InventoryEvent::Prepare {
                change: change.clone(),
                operator: operator.clone(),
                head_revision: head.revision,
                reply,
            })
            .await;
        match prepared {
            Some(ChangeVerdict::Ready) => {}
            Some(ChangeVerdict::OtherRevision) => return Ok(Attempt::Retry),
            Some(ChangeVerdict::Conflict(mut conflicts)) => {
                for conflict in &mut conflicts {
                    let revision = conflict.current_revision;
                    if let (None, Some(revision)) = (&conflict.winner, revision) {
                        let row = self.borders.table.get(&rows::log_key(revision)).await?;
                        conflict.winner = row.as_ref().and_then(rows::parse);
                    }
                }
                return Err(CommitError::Conflict(conflicts).into());
            }
            Some(ChangeVerdict::Invalid(findings)) => {
                return Err(CommitError::Invalid(findings).into());
            }
            Some(ChangeVerdict::Forbidden(keys)) => return Err(CommitError::Forbidden(keys).into()),
            None => {
                let refusal = Refusal::not_run(RefusalCode::Internal, "the router is stopping");
                return Err(CommitError::from(refusal).into());
            }
        }
        let Some(row_versions) = self.read_row_versions(change, head).await? else {
            return Ok(Attempt::Retry);
        };
        let record = ChangeRecord {
            revision: head.revision + 1,
            change_id: change.change_id.clone(),
            operator: operator.name.clone(),
            accepted_unix_ms: unix_ms(),
            reason: change.reason.clone(),
            items: change.items.clone(),
        };
        let transaction = rows::commit_transaction(change, &record, &row_versions);
        match self.borders.table.commit(transaction).await {
            Ok(CommitOutcome::Applied { .. }) => Ok(Attempt::Committed(record)),
            Ok(CommitOutcome::Conflict { .. }) => Ok(Attempt::Retry),
            Err(error) if error.had_no_effect() => Err(AttemptError::Table(error)),
            Err(error) => Ok(Attempt::Unresolved(error)),
        }
    }

    /// Reads the table versions of the rows that the change writes.
    ///
    /// Returns `None` if a row does not have the revision that the change
    /// expects, which means that the head has moved.
    async fn read_row_versions(
        &self,
        change: &Change,
        head: Head,
    ) -> Result<Option<RowVersions>, BorderError> {
        let mut item_versions = Vec::with_capacity(change.items.len());
        for entry in &change.items {
            if entry.expected_revision.is_none() {
                item_versions.push((entry.key.clone(), None));
                continue;
            }
            let row = self.borders.table.get(&entry.key.row_key()).await?;
            let revision = row
                .as_ref()
                .and_then(rows::parse::<ItemRow>)
                .map(|row| row.revision);
            if revision != entry.expected_revision {
                return Ok(None);
            }
            item_versions.push((entry.key.clone(), row.map(|row| row.version)));
        }
        Ok(Some(RowVersions {
            head_version: head.version,
            item_versions,
        }))
    }

    async fn pause(&self) {
        tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
    }

    fn timeout_refusal(&self, unresolved: bool) -> Refusal {
        let vm = &self.own_vm;
        if unresolved {
            let detail = format!(
                "the table did not tell {vm} whether the change is committed; send it again under the same id"
            );
            return Refusal::may_have_run(RefusalCode::ResultUnknown, detail)
                .retry_after_ms(RETRY_AFTER_MS);
        }
        let detail = format!("{vm} found no quiet moment to commit the change");
        Refusal::not_run(RefusalCode::Overloaded, detail).retry_after_ms(RETRY_AFTER_MS)
    }
}

/// Whether a change is committed, as read from its change row.
enum CommitState {
    Committed(ChangeRecord),
    NotCommitted(Head),
}

/// Reason why a commit attempt failed.
enum AttemptError {
    Commit(CommitError),
    Table(BorderError),
}

impl From<BorderError> for AttemptError {
    fn from(error: BorderError) -> Self {
        Self::Table(error)
    }
}

impl From<CommitError> for AttemptError {
    fn from(error: CommitError) -> Self {
        Self::Commit(error)
    }
}

fn unreadable(row: &Row) -> CommitError {
    let detail = format!("row {} is unreadable", row.key);
    Refusal::not_run(RefusalCode::Internal, detail).into()
}

fn unavailable(error: &BorderError) -> Refusal {
    let detail = format!("the table cannot record the change: {error}");
    Refusal::not_run(RefusalCode::ClaimUnavailable, detail).retry_after_ms(RETRY_AFTER_MS)
}
