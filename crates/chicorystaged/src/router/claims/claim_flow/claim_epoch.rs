//! Claims an epoch of a call in the table, then dispatches it to the claimed agent.

use std::sync::Arc;

use chicorystage_api::peer::{ClaimOutcome, ClaimRow};
use chicorystage_api::refusal::{Outcome, Refusal, RefusalCode};
use chicorystage_api::work::ClaimTicket;
use chicorystage_borders::vm_list::VmEntry;

use super::{ClaimFlow, RETRY_AFTER_MS, ReadRow, Round};
use crate::router::claims::{ClaimDispatch, ClaimWrite, StartFailure, WriteResult};
use crate::timer::unix_ms;

impl<D: ClaimDispatch> ClaimFlow<'_, D> {
    /// Writes the claim of an epoch and dispatches it if the write is confirmed.
    ///
    /// `expected_version` is the version of the row to replace; `None` if there
    /// is none. A claim whose write is not confirmed is never dispatched.
    pub(super) async fn claim_and_start(
        &mut self,
        epoch: u32,
        expected_version: Option<u64>,
    ) -> Result<Round<D::Opened>, Refusal> {
        let (vm, incarnation) = self.choose_agent().await?;
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
                self.dispatch_claim(&vm, read).await
            }
            WriteResult::Conflict => Ok(Round::ReadAgain),
            WriteResult::NotWritten | WriteResult::Unknown => {
                let detail = "the table did not confirm the claim; the call was not dispatched";
                Err(Refusal::not_run(RefusalCode::ClaimUnavailable, detail)
                    .retry_after_ms(RETRY_AFTER_MS))
            }
        }
    }

    /// Chooses a VM whose agent answers and returns it with the agent's incarnation.
    ///
    /// A VM is avoided for the rest of the call if its agent does not answer, is
    /// leaving, or reports another VM's id.
    pub(super) async fn choose_agent(&mut self) -> Result<(VmEntry, u64), Refusal> {
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

    /// Dispatches a claimed epoch and waits for the start of its answer.
    ///
    /// If the dispatch's effect is unknown, the agent is queried.
    pub(super) async fn dispatch_claim(
        &mut self,
        vm: &VmEntry,
        read: ReadRow,
    ) -> Result<Round<D::Opened>, Refusal> {
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
            Err(StartFailure::Refused(refusal)) => self.after_refusal(vm, read, refusal),
            Err(StartFailure::Unknown) => self.query_agent(&vm.id, read).await,
        }
    }

    /// Decides what follows a refusal by the agent.
    ///
    /// If the epoch did not run and another VM may accept the call, the next
    /// epoch is claimed for another VM; else the refusal is final.
    pub(super) fn after_refusal(
        &mut self,
        vm: &VmEntry,
        read: ReadRow,
        refusal: Refusal,
    ) -> Result<Round<D::Opened>, Refusal> {
        if refusal.code == RefusalCode::StaleClaim {
            // Another router's query tombstoned this epoch and may have led to a higher one.
            return Ok(Round::ReadAgain);
        }
        if refusal.outcome == Outcome::MayHaveRun {
            return Err(refusal);
        }
        let may_run_elsewhere = matches!(
            refusal.code,
            RefusalCode::Leaving
                | RefusalCode::Overloaded
                | RefusalCode::NoEndpoint
                | RefusalCode::WrongIncarnation
                | RefusalCode::Internal
        );
        if may_run_elsewhere {
            self.avoid.push(vm.id.clone());
            return Ok(Round::Reclaim(read));
        }
        Err(refusal)
    }
}
