//! The flow of one call, from its claim row to its answer.

mod asking;
mod claiming;

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

/// Delay after which a call whose claim could not be settled should come back, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;
/// Rounds of one call: each ends in an answer, or follows a change that another router made.
const ROUNDS_MAX: u32 = 16;

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
