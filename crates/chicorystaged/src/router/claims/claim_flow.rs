//! Runs one call at most once, from reading its claim row to its answer.
//!
//! The flow works in rounds. Each round reads the claim row and acts on it:
//! claims the next epoch and dispatches it, queries the agent that an open
//! claim names, replays a recorded answer, or refuses. A round that loses a
//! race against another router is followed by another round.

mod claim_epoch;
mod query_agent;

use std::sync::Arc;

use chicorystage_api::name::VmId;
use chicorystage_api::peer::{ClaimOutcome, ClaimRow};
use chicorystage_api::refusal::{Outcome, Refusal, RefusalCode};
use chicorystage_borders::link::AgentLink;
use chicorystage_borders::table::Table;
use chicorystage_core::claim::{ClaimStep, step_for_row};

use crate::router::claims::claimed_answer::OutcomeRecorder;
use crate::router::claims::{
    ClaimDispatch, ClaimWriter, ClaimedAnswer, ClaimedCall, claim_row_key,
};

/// Delay after which the caller should retry a call whose claim is unresolved, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;
/// Maximum number of rounds of one call.
///
/// A round without an answer means that another router changed the claim or that
/// a dispatch certainly did not run.
const ROUNDS_MAX: u32 = 16;

/// Runs one call that is not idempotent at most once.
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

/// Result of one round of the flow.
enum Round<O> {
    /// The call has an answer.
    Answered(ClaimedAnswer<O>),
    /// The row may have changed: read it again in the next round.
    ReadAgain,
    /// The row's epoch certainly did not run: replace the row by a claim of the next epoch.
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
    /// Returns a refusal. Its outcome is `not_run` only if the claim row was
    /// read and shows that no call with this key has run. If the row cannot be
    /// read, the outcome is `may_have_run`.
    pub async fn run(mut self) -> Result<ClaimedAnswer<D::Opened>, Refusal> {
        match self.run_rounds().await {
            Err(refusal) => Err(self.correct_outcome(refusal).await),
            answered => answered,
        }
    }

    /// Corrects the outcome of a refusal so that it holds for every call with this key.
    ///
    /// A resend may be refused, by a limit for instance, after an earlier call
    /// with the same key has run. `not_run` would then mislead the caller, so
    /// the outcome becomes `may_have_run` unless the claim row rules that out.
    /// An open claim of this same request is recorded as not run, because the
    /// given refusal already states that this request had no effect.
    pub async fn correct_outcome(&self, refusal: Refusal) -> Refusal {
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
            Ok(Some(read)) if self.is_open_claim_of_request(&read.row) => {
                self.recorder(read).record(ClaimOutcome::NotRun).await;
                refusal
            }
            Ok(Some(_)) => may_have_run,
        }
    }

    /// Runs rounds until one answers, the deadline passes or the rounds are used up.
    async fn run_rounds(&mut self) -> Result<ClaimedAnswer<D::Opened>, Refusal> {
        let mut to_reclaim: Option<ReadRow> = None;
        for _ in 0..ROUNDS_MAX {
            if self.dispatch.time_left_ms() == 0 {
                let detail = "the deadline passed before the call ran";
                return Err(Refusal::not_run(RefusalCode::DeadlineExceeded, detail));
            }
            let round = match to_reclaim.take() {
                Some(read) => {
                    self.claim_and_start(read.row.epoch + 1, Some(read.version))
                        .await?
                }
                None => self.run_round().await?,
            };
            match round {
                Round::Answered(answer) => return Ok(answer),
                Round::ReadAgain => {}
                Round::Reclaim(read) => to_reclaim = Some(read),
            }
        }
        Err(unresolved("the claim changed hands too often"))
    }

    fn is_open_claim_of_request(&self, row: &ClaimRow) -> bool {
        row.outcome == ClaimOutcome::Open && row.request_id == self.call.request_id
    }

    /// Reads the claim row and acts on it.
    async fn run_round(&mut self) -> Result<Round<D::Opened>, Refusal> {
        let read = self.read_row().await?;
        match step_for_row(read.as_ref().map(|read| &read.row), &self.call.body_sha256) {
            ClaimStep::Claim { epoch } => {
                let version = read.map(|read| read.version);
                self.claim_and_start(epoch, version).await
            }
            ClaimStep::QueryAgent { vm, .. } => match read {
                Some(read) => self.query_agent(&vm, read).await,
                None => Ok(Round::ReadAgain),
            },
            ClaimStep::Replay(outcome) => Ok(Round::Answered(ClaimedAnswer::Recorded(outcome))),
            ClaimStep::Refuse { refusal, .. } => Err(refusal),
            ClaimStep::Attach { .. } => Ok(Round::ReadAgain),
        }
    }

    /// Reads the claim row; `None` if no call with this key has been claimed.
    async fn read_row(&self) -> Result<Option<ReadRow>, Refusal> {
        // Without the row, an earlier call with this key cannot be ruled out.
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

/// Refuses a call whose claim is unresolved; the caller should retry later.
fn unresolved(detail: &str) -> Refusal {
    Refusal::may_have_run(RefusalCode::KeyInProgress, detail).retry_after_ms(RETRY_AFTER_MS)
}

impl<D> std::fmt::Debug for ClaimFlow<'_, D> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ClaimFlow")
            .field("call", &self.call)
            .finish_non_exhaustive()
    }
}
