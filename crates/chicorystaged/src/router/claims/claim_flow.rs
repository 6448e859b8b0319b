use std::sync::Arc;

use chicorystage_api::name::{CallerName, Digest, IdempotencyKey, RequestId, VmId};
use chicorystage_api::peer::{AttemptRef, ClaimOutcome, ClaimQuery, ClaimRow, ClaimState};
use chicorystage_api::refusal::{Outcome, Refusal, RefusalCode};
use chicorystage_api::work::ClaimTicket;
use chicorystage_core::claim::{ClaimStep, step_after_answer, step_for_row};
use chicorystage_platform::link::AgentLink;
use chicorystage_platform::table::Table;
use chicorystage_platform::vm_list::VmEntry;

use crate::router::claims::claimed_answer::OutcomeRecorder;
use crate::router::claims::{
    ClaimDispatch, ClaimWrite, ClaimWriter, ClaimedAnswer, StartFailure, WriteResult, claim_row_key,
};
use crate::timer::unix_ms;

/// Delay after which a call whose claim could not be settled should come back, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;
/// Rounds of one call: each ends in an answer, or follows a change that another router made.
const ROUNDS_MAX: u32 = 16;

/// One call that is not idempotent.
#[derive(Clone, Debug)]
pub struct ClaimedCall {
    /// Caller who owns the key.
    pub caller: CallerName,
    /// Caller's idempotency key.
    pub key: IdempotencyKey,
    /// Digest of method, path and body.
    pub body_sha256: Digest,
    /// Request that makes the call.
    pub request_id: RequestId,
}

/// Carries a call to one execution.
pub struct ClaimFlow<'a, D> {
    table: &'a dyn Table,
    agents: &'a dyn AgentLink,
    writer: &'a ClaimWriter,
    dispatch: &'a D,
    call: ClaimedCall,
    row_key: Arc<str>,
    avoid: Vec<VmId>,
}

/// A claim row with its table version.
#[derive(Clone, Debug)]
struct ReadRow {
    version: u64,
    row: ClaimRow,
}

/// What one round of the flow came to.
enum Round<O> {
    /// The call is answered.
    Answered(ClaimedAnswer<O>),
    /// Read the row and decide again.
    Again,
    /// The epoch certainly did not run; claim the next in place of this row.
    Reclaim(ReadRow),
}

impl<'a, D: ClaimDispatch> ClaimFlow<'a, D> {
    /// Creates the flow of one call.
    #[must_use]
    pub fn new(
        table: &'a dyn Table,
        agents: &'a dyn AgentLink,
        writer: &'a ClaimWriter,
        dispatch: &'a D,
        call: ClaimedCall,
    ) -> Self {
        let row_key = claim_row_key(&call.caller, &call.key);
        Self {
            table,
            agents,
            writer,
            dispatch,
            call,
            row_key,
            avoid: Vec::new(),
        }
    }

    /// Runs the call at most once and returns its answer.
    ///
    /// # Errors
    ///
    /// Returns a refusal whose outcome is `not_run` only where the claim row
    /// was read and shows that no call with this key has run. A router that
    /// cannot read the row does not know, and says so.
    pub async fn run(mut self) -> Result<ClaimedAnswer<D::Opened>, Refusal> {
        match self.follow().await {
            Err(refusal) => Err(self.confirm(refusal).await),
            answered => answered,
        }
    }

    /// Makes the outcome of a refusal true for every call with this key.
    ///
    /// A resend may be refused, by a limit for instance, after an earlier call
    /// with its key has run. Its caller must not read that as "it did not
    /// happen". An open claim of this very request had no effect, or the
    /// refusal would not say so, and is marked as not run.
    pub async fn confirm(&self, refusal: Refusal) -> Refusal {
        if refusal.outcome == Outcome::MayHaveRun || refusal.code == RefusalCode::KeyReused {
            return refusal;
        }
        let may_have_run = Refusal {
            outcome: Outcome::MayHaveRun,
            ..refusal.clone()
        };
        match self.read_row().await {
            Err(_unreadable) => may_have_run,
            Ok(None) => refusal,
            Ok(Some(read)) if read.row.outcome == ClaimOutcome::NotRun => refusal,
            Ok(Some(read)) if self.is_own_open(&read.row) => {
                self.recorder(read).record(ClaimOutcome::NotRun).await;
                refusal
            }
            Ok(Some(_)) => may_have_run,
        }
    }

    async fn follow(&mut self) -> Result<ClaimedAnswer<D::Opened>, Refusal> {
        let mut undispatched: Option<ReadRow> = None;
        for _ in 0..ROUNDS_MAX {
            if self.dispatch.time_left_ms() == 0 {
                let detail = "the deadline passed before the call ran";
                return Err(Refusal::not_run(RefusalCode::DeadlineExceeded, detail));
            }
            let round = match undispatched.take() {
                Some(read) => {
                    self.claim_and_start(read.row.epoch + 1, Some(read.version))
                        .await?
                }
                None => self.round().await?,
            };
            match round {
                Round::Answered(answer) => return Ok(answer),
                Round::Again => {}
                Round::Reclaim(read) => undispatched = Some(read),
            }
        }
        Err(unsettled("the claim changed hands too often"))
    }

    fn is_own_open(&self, row: &ClaimRow) -> bool {
        row.outcome == ClaimOutcome::Open && row.request_id == self.call.request_id
    }

    async fn round(&mut self) -> Result<Round<D::Opened>, Refusal> {
        let read = self.read_row().await?;
        match step_for_row(read.as_ref().map(|read| &read.row), &self.call.body_sha256) {
            ClaimStep::Claim { epoch } => {
                let version = read.map(|read| read.version);
                self.claim_and_start(epoch, version).await
            }
            ClaimStep::Ask { vm, .. } => match read {
                Some(read) => self.ask(&vm, read).await,
                None => Ok(Round::Again),
            },
            ClaimStep::Replay(outcome) => Ok(Round::Answered(ClaimedAnswer::Recorded(outcome))),
            ClaimStep::Refuse { refusal, .. } => Err(refusal),
            ClaimStep::Attach { .. } => Ok(Round::Again),
        }
    }

    async fn read_row(&self) -> Result<Option<ReadRow>, Refusal> {
        // An earlier call with this key may have run; only the row can tell.
        let unavailable = |detail: String| {
            Refusal::may_have_run(RefusalCode::ClaimUnavailable, detail)
                .retry_after_ms(RETRY_AFTER_MS)
        };
        let row = self.table.get(&self.row_key).await;
        let Some(row) = row.map_err(|error| unavailable(error.to_string()))? else {
            return Ok(None);
        };
        let parsed =
            serde_json::from_str(&row.value).map_err(|error| unavailable(error.to_string()))?;
        Ok(Some(ReadRow {
            version: row.version,
            row: parsed,
        }))
    }

    async fn claim_and_start(
        &mut self,
        epoch: u32,
        expected_version: Option<u64>,
    ) -> Result<Round<D::Opened>, Refusal> {
        let (vm, incarnation) = self.choose().await?;
        let row = ClaimRow {
            body_sha256: self.call.body_sha256.clone(),
            epoch,
            vm: vm.id.clone(),
            incarnation,
            request_id: self.call.request_id.clone(),
            claimed_unix_ms: unix_ms(),
            outcome: ClaimOutcome::Open,
        };
        let write = ClaimWrite {
            row_key: Arc::clone(&self.row_key),
            expected_version,
            row: row.clone(),
        };
        match self.writer.write(write).await {
            WriteResult::Written { row_version } => {
                let read = ReadRow {
                    version: row_version,
                    row,
                };
                self.start(&vm, read).await
            }
            WriteResult::Conflict => Ok(Round::Again),
            WriteResult::NotWritten | WriteResult::Unknown => {
                let detail = "the table did not confirm the claim; the call was not dispatched";
                Err(Refusal::not_run(RefusalCode::ClaimUnavailable, detail)
                    .retry_after_ms(RETRY_AFTER_MS))
            }
        }
    }

    /// Chooses a VM whose agent answers, and learns its incarnation.
    async fn choose(&mut self) -> Result<(VmEntry, u64), Refusal> {
        loop {
            let vm = self.dispatch.choose(&self.avoid).await?;
            match self.agents.status(vm.address).await {
                Ok(status) if status.vm == vm.id && !status.leaving => {
                    return Ok((vm, status.incarnation));
                }
                Ok(_) | Err(_) => self.avoid.push(vm.id),
            }
        }
    }

    async fn start(&mut self, vm: &VmEntry, read: ReadRow) -> Result<Round<D::Opened>, Refusal> {
        let ticket = ClaimTicket {
            key: self.call.key.clone(),
            body_sha256: self.call.body_sha256.clone(),
            epoch: read.row.epoch,
            incarnation: read.row.incarnation,
            row_version: read.version,
        };
        match self.dispatch.start(vm, ticket).await {
            Ok(opened) => Ok(Round::Answered(self.opened(opened, read))),
            Err(StartFailure::NotDelivered) => {
                self.avoid.push(vm.id.clone());
                Ok(Round::Reclaim(read))
            }
            Err(StartFailure::Refused(refusal)) => self.refused(vm, read, refusal),
            Err(StartFailure::Unknown) => self.ask(&vm.id, read).await,
        }
    }

    fn refused(
        &mut self,
        vm: &VmEntry,
        read: ReadRow,
        refusal: Refusal,
    ) -> Result<Round<D::Opened>, Refusal> {
        if refusal.code == RefusalCode::StaleClaim {
            // Another router tombstoned this epoch and may have run a higher one.
            return Ok(Round::Again);
        }
        if refusal.outcome == Outcome::MayHaveRun {
            return Err(refusal);
        }
        let elsewhere = matches!(
            refusal.code,
            RefusalCode::Leaving
                | RefusalCode::Overloaded
                | RefusalCode::NoEndpoint
                | RefusalCode::WrongIncarnation
                | RefusalCode::Internal
        );
        if elsewhere {
            self.avoid.push(vm.id.clone());
            return Ok(Round::Reclaim(read));
        }
        Err(refusal)
    }

    /// Asks the agent of an open claim what became of it.
    async fn ask(&mut self, vm: &VmId, read: ReadRow) -> Result<Round<D::Opened>, Refusal> {
        let Some(entry) = self.dispatch.find(vm).await? else {
            return self.gone(read).await;
        };
        let query = ClaimQuery {
            caller: self.call.caller.clone(),
            key: self.call.key.clone(),
            epoch: read.row.epoch,
            incarnation: read.row.incarnation,
            row_version: read.version,
        };
        let state = match self.agents.query_claim(entry.address, query).await {
            Ok(state) => state,
            Err(error) => return Err(unsettled(&error.to_string())),
        };
        match step_after_answer(&read.row, state) {
            ClaimStep::Attach { attempt } => self.attach(&entry, attempt, read).await,
            ClaimStep::Claim { .. } => Ok(Round::Reclaim(read)),
            ClaimStep::Refuse { refusal, record } => {
                if let Some(outcome) = record {
                    self.recorder(read).record(outcome).await;
                }
                Err(refusal)
            }
            ClaimStep::Ask { .. } | ClaimStep::Replay(_) => Ok(Round::Again),
        }
    }

    /// Ends a claim whose VM has left the platform's list for good.
    async fn gone(&self, read: ReadRow) -> Result<Round<D::Opened>, Refusal> {
        let state = ClaimState::Unknown;
        if let ClaimStep::Refuse { refusal, record } = step_after_answer(&read.row, state) {
            if let Some(outcome) = record {
                self.recorder(read).record(outcome).await;
            }
            return Err(refusal);
        }
        Ok(Round::Again)
    }

    async fn attach(
        &self,
        vm: &VmEntry,
        attempt: AttemptRef,
        read: ReadRow,
    ) -> Result<Round<D::Opened>, Refusal> {
        match self.dispatch.attach(vm, attempt).await {
            Ok(opened) => Ok(Round::Answered(self.opened(opened, read))),
            // The agent gave the claim up before the call ran: ask again.
            Err(StartFailure::Refused(refusal)) if refusal.outcome == Outcome::NotRun => {
                Ok(Round::Again)
            }
            Err(StartFailure::Refused(refusal)) => Err(refusal),
            Err(StartFailure::NotDelivered | StartFailure::Unknown) => Err(unsettled(
                "the attempt that runs the call cannot be followed",
            )),
        }
    }

    fn opened(&self, opened: D::Opened, read: ReadRow) -> ClaimedAnswer<D::Opened> {
        ClaimedAnswer::Opened {
            opened,
            recorder: self.recorder(read),
        }
    }

    fn recorder(&self, read: ReadRow) -> OutcomeRecorder {
        OutcomeRecorder {
            writer: self.writer.clone(),
            row_key: Arc::clone(&self.row_key),
            row_version: read.version,
            row: read.row,
        }
    }
}

fn unsettled(detail: &str) -> Refusal {
    Refusal::may_have_run(RefusalCode::KeyInProgress, detail).retry_after_ms(RETRY_AFTER_MS)
}

impl<D> std::fmt::Debug for ClaimFlow<'_, D> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ClaimFlow")
            .field("call", &self.call)
            .finish_non_exhaustive()
    }
}
