//! Queries the agent of an open claim and attaches to the attempt that it runs or ran.

use chicorystage_api::name::VmId;
use chicorystage_api::peer::{AttemptRef, ClaimQuery, ClaimState};
use chicorystage_api::refusal::{Outcome, Refusal};
use chicorystage_borders::vm_list::VmEntry;
use chicorystage_core::claim::{ClaimStep, step_after_answer};

use super::{ClaimFlow, ReadRow, Round, unresolved};
use crate::router::claims::{ClaimDispatch, StartFailure};

impl<D: ClaimDispatch> ClaimFlow<'_, D> {
    /// Queries the agent that an open claim names and acts on the answer.
    ///
    /// An agent that never received the epoch tombstones it: it refuses the
    /// epoch from then on, so the next epoch may be claimed.
    pub(super) async fn query_agent(
        &mut self,
        vm: &VmId,
        read: ReadRow,
    ) -> Result<Round<D::Opened>, Refusal> {
        let Some(entry) = self.dispatch.find(vm).await? else {
            return self.refuse_for_removed_vm(read).await;
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
            Err(error) => return Err(unresolved(&error.to_string())),
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
            ClaimStep::QueryAgent { .. } | ClaimStep::Replay(_) => Ok(Round::ReadAgain),
        }
    }

    /// Refuses the call of an open claim whose VM is not in the platform's list any more.
    ///
    /// Whether it ran can no longer be determined, so it is recorded as one that may have run.
    pub(super) async fn refuse_for_removed_vm(
        &self,
        read: ReadRow,
    ) -> Result<Round<D::Opened>, Refusal> {
        let state = ClaimState::Unknown;
        if let ClaimStep::Refuse { refusal, record } = step_after_answer(&read.row, state) {
            if let Some(outcome) = record {
                self.recorder(read).record(outcome).await;
            }
            return Err(refusal);
        }
        Ok(Round::ReadAgain)
    }

    /// Follows the attempt that runs or ran the call.
    pub(super) async fn attach(
        &self,
        vm: &VmEntry,
        attempt: AttemptRef,
        read: ReadRow,
    ) -> Result<Round<D::Opened>, Refusal> {
        match self.dispatch.attach(vm, attempt).await {
            Ok(opened) => Ok(Round::Answered(self.opened(opened, read))),
            // The agent abandoned the claim before the call ran: read the row again.
            Err(StartFailure::Refused(refusal)) if refusal.outcome == Outcome::NotRun => {
                Ok(Round::ReadAgain)
            }
            Err(StartFailure::Refused(refusal)) => Err(refusal),
            Err(StartFailure::NotDelivered | StartFailure::Unknown) => Err(unresolved(
                "the attempt that runs the call cannot be followed",
            )),
        }
    }
}
