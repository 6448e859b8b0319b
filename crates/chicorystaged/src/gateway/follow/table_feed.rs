//! Calls that keep one table up to date.
//!
//! A call may hang although the store serves others: its connection has fallen silent, or the call
//! was sent during an outage and is never answered. So further calls are sent beside it when there
//! is reason to expect an answer, and the first answer counts. A call whose response has begun to
//! arrive is left alone: it transfers what another call would transfer again.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use chicorystage_borders::http::TransferProgress;
use chicorystage_borders::{BorderError, BorderErrorKind};
use chicorystage_core::registry::expiry_ms;
use chicorystage_platform::store::{StoreClient, StorePosition, TableName};
use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::FuturesUnordered;

use crate::gateway::follow::feed_answer::FeedAnswer;
use crate::gateway::follow::poll_wait;
use crate::gateway::follow::transfers::Transfers;
use crate::gateway::shared::Gateway;
use crate::timer::boot_ms;

/// Time allowed for a poll's reply beyond the requested wait, in milliseconds.
const POLL_SLACK_MS: u64 = 500;
/// Interval between calls on the endpoints' table while the store does not answer, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 500;
/// Time beyond the expiry of entries after which a table that was restored from an older copy is
/// read once more, in milliseconds.
const REREAD_MARGIN_MS: u64 = 500;
/// Largest number of calls in flight on one table.
const CALLS_MAX: usize = 6;

type Calls<'a> = FuturesUnordered<LocalBoxFuture<'a, Result<FeedAnswer, BorderError>>>;

/// Reads one table and polls for its changes.
#[derive(Debug)]
pub(super) struct TableFeed {
    gateway: Rc<Gateway>,
    table: TableName,
    poll_wait_max_ms: u64,
    poll_client: StoreClient,
    read_client: StoreClient,
    /// Position up to which the table is known; `None` where it must be read whole.
    known: Option<StorePosition>,
    /// Era of the last rows; `None` before the first.
    era: Option<u64>,
    /// Time from which the table is read whole once more, in milliseconds.
    reread_ms: Option<u64>,
    /// Time of the first failed call since the last answer, in milliseconds.
    lost_ms: Option<u64>,
    /// Start of the call that was answered last, on the VM's boot clock, in milliseconds.
    answered_began_boot_ms: Cell<u64>,
}

impl TableFeed {
    pub(super) fn new(gateway: &Rc<Gateway>, table: TableName) -> Self {
        let settings = &gateway.settings;
        let poll_wait_max_ms = poll_wait::longest_ms(settings.heartbeat_ms);
        Self {
            gateway: Rc::clone(gateway),
            table,
            poll_wait_max_ms,
            poll_client: StoreClient::new(settings.store, poll_wait_max_ms + POLL_SLACK_MS),
            read_client: StoreClient::new(settings.store, settings.store_timeout_ms),
            known: None,
            era: None,
            reread_ms: None,
            lost_ms: None,
            answered_began_boot_ms: Cell::new(0),
        }
    }

    /// Returns the table that is followed.
    pub(super) fn table(&self) -> TableName {
        self.table
    }

    /// Returns when the call began that was answered last, on the VM's boot clock, in milliseconds.
    pub(super) fn answered_began_boot_ms(&self) -> u64 {
        self.answered_began_boot_ms.get()
    }

    /// Returns whether the last call failed.
    pub(super) fn is_lost(&self) -> bool {
        self.lost_ms.is_some()
    }

    /// Waits for the store's next answer: the whole table at first, its changes later.
    ///
    /// # Errors
    ///
    /// Returns the last error if all calls fail.
    pub(super) async fn next(&mut self) -> Result<FeedAnswer, BorderError> {
        let now_ms = self.gateway.now_ms();
        if self.reread_ms.take_if(|due_ms| now_ms >= *due_ms).is_some() {
            self.known = None;
        }
        let answer = self.first_answer().await;
        match answer.and_then(|answer| self.check_era(answer)) {
            Ok(answer) => {
                self.known = answer.position();
                self.record_answer();
                Ok(self.mark_restored(answer))
            }
            Err(error) => {
                self.record_failure(&error);
                Err(error)
            }
        }
    }

    /// Rejects an answer of an older era than another call has seen: it was sent before the store's return.
    fn check_era(&mut self, answer: FeedAnswer) -> Result<FeedAnswer, BorderError> {
        let known_era = self.gateway.era().number();
        let era = answer.position().map(|position| position.era);
        match era {
            Some(era) if era < known_era => {
                self.known = None;
                let detail = format!("answer of era {era} after one of era {known_era}");
                Err(BorderError::new(BorderErrorKind::Unknown, detail))
            }
            _ => Ok(answer),
        }
    }

    /// Marks the rows of a new era as restored.
    fn mark_restored(&mut self, answer: FeedAnswer) -> FeedAnswer {
        let Some(era) = answer.position().map(|position| position.era) else {
            return answer;
        };
        let previous = self.era.replace(era);
        self.gateway.observe_era(era);
        let FeedAnswer::Whole(rows) = answer else {
            return answer;
        };
        let Some(previous) = previous.filter(|previous| *previous != era) else {
            return FeedAnswer::Whole(rows);
        };
        log::warn!(
            event = "store_restored", table:? = self.table, previous, era,
            version = rows.position.version;
            "store has returned from an older copy; whole table read again"
        );
        self.gateway.metrics.count_store_restore();
        let expiry_ms = expiry_ms(self.gateway.settings.heartbeat_ms);
        self.reread_ms = Some(self.gateway.now_ms() + expiry_ms + REREAD_MARGIN_MS);
        self.gateway.store_regained.notify_waiters();
        FeedAnswer::Restored(rows)
    }

    /// Sends calls until one of them is answered or all have failed.
    async fn first_answer(&self) -> Result<FeedAnswer, BorderError> {
        let wait_ms = if self.is_lost() {
            0
        } else {
            self.poll_wait_ms()
        };
        let mut transfers = Transfers::default();
        let mut calls = Calls::new();
        calls.push(Box::pin(self.call(wait_ms, transfers.begin())));
        loop {
            let has_room = calls.len() < CALLS_MAX;
            let is_read = tokio::select! {
                Some(result) = calls.next() => match result {
                    Ok(answer) => return Ok(answer),
                    Err(error) if calls.is_empty() => return Err(error),
                    Err(error) => {
                        self.record_failed_call(&error);
                        continue;
                    }
                },
                () = self.probe_due(), if has_room => false,
                () = self.newer_configuration(), if has_room => true,
            };
            // A transfer in progress would only be slowed down by another one.
            if transfers.any_begun() {
                continue;
            }
            let progress = transfers.begin();
            let next_call: LocalBoxFuture<'_, _> = if is_read {
                Box::pin(self.read(progress))
            } else {
                Box::pin(self.call(0, progress))
            };
            calls.push(next_call);
        }
    }

    /// Reads the whole table, or waits up to `wait_ms` for its changes.
    async fn call(
        &self,
        wait_ms: u64,
        progress: Rc<TransferProgress>,
    ) -> Result<FeedAnswer, BorderError> {
        let Some(known) = self.known else {
            return self.read(progress).await;
        };
        let began_boot_ms = boot_ms();
        let changes = self
            .poll_client
            .changes(self.table, known, wait_ms, &progress);
        let changes = changes
            .await
            .inspect_err(|error| self.log_broken_transfer(&progress, error))?;
        self.answered_began_boot_ms.set(began_boot_ms);
        Ok(changes.map_or(FeedAnswer::HistoryLost, FeedAnswer::Changed))
    }

    async fn read(&self, progress: Rc<TransferProgress>) -> Result<FeedAnswer, BorderError> {
        let began_boot_ms = boot_ms();
        let rows = self.read_client.read(self.table, &progress).await;
        let rows = rows.inspect_err(|error| self.log_broken_transfer(&progress, error))?;
        self.answered_began_boot_ms.set(began_boot_ms);
        Ok(FeedAnswer::Whole(rows))
    }

    /// Logs a failed call whose response had begun to arrive.
    fn log_broken_transfer(&self, progress: &TransferProgress, error: &BorderError) {
        if !progress.has_head() {
            return;
        }
        log::warn!(
            event = "store_transfer_broken", table:? = self.table,
            body_bytes = progress.body_bytes(), error:%;
            "response of the store did not arrive whole"
        );
    }

    /// Returns for how long the store should delay the reply to the next poll, in milliseconds.
    fn poll_wait_ms(&self) -> u64 {
        poll_wait::next_ms(&self.gateway, self.table, self.poll_wait_max_ms)
    }

    /// Waits until another call may be answered sooner than those in flight.
    ///
    /// The feed of the endpoints' table probes a store that does not answer; the other feeds wait
    /// for its success. A reply that would confirm the configuration is not waited for longer than the
    /// store was asked to delay it.
    async fn probe_due(&self) {
        match self.table {
            TableName::Operator if self.gateway.needs_confirmation() => {
                let overdue = Duration::from_millis(self.poll_wait_ms() + PROBE_INTERVAL_MS);
                // Both the end of this time and a success of another feed call for a probe.
                let regained = self.gateway.store_regained.notified();
                let _elapsed = tokio::time::timeout(overdue, regained).await;
            }
            TableName::Endpoints if self.is_lost() => {
                tokio::time::sleep(Duration::from_millis(PROBE_INTERVAL_MS)).await;
            }
            TableName::Endpoints => std::future::pending().await,
            TableName::Operator | TableName::Own | TableName::Streams => {
                self.gateway.store_regained.notified().await;
            }
        }
    }

    /// Waits until another gateway reports a newer configuration.
    async fn newer_configuration(&self) {
        match self.table {
            TableName::Operator => self.gateway.newer_configuration.notified().await,
            TableName::Endpoints | TableName::Own | TableName::Streams => {
                std::future::pending::<()>().await;
            }
        }
    }

    fn record_answer(&mut self) {
        self.gateway.metrics.count_store_call("follow", "ok");
        let Some(lost_ms) = self.lost_ms.take() else {
            return;
        };
        let away_ms = self.gateway.now_ms() - lost_ms;
        log::info!(event = "store_regained", table:? = self.table, away_ms; "store answers again");
        if self.table == TableName::Endpoints {
            self.gateway.store_regained.notify_waiters();
        }
    }

    /// Records a failed call beside which others are in flight.
    fn record_failed_call(&self, error: &BorderError) {
        self.gateway.metrics.count_store_call("follow", "failed");
        log::debug!(event = "store_call_failed", table:? = self.table, error:%; "one of several calls failed");
    }

    fn record_failure(&mut self, error: &BorderError) {
        self.gateway.metrics.count_store_call("follow", "failed");
        if self.lost_ms.is_none() {
            self.lost_ms = Some(self.gateway.now_ms());
            log::warn!(event = "store_lost", table:? = self.table, error:%; "store does not answer");
        }
    }
}
