//! Claims: at-most-once execution of calls that are not idempotent.
//!
//! The claim of an attempt is recorded before the attempt is queued, and its
//! outcome when the attempt ends. The frames of a finished attempt are kept
//! for a limited time. A claim whose frames have expired is reported as
//! unknown, since its answer can no longer be delivered.

use chicorystage_api::name::{CallerName, IdempotencyKey};
use chicorystage_api::peer::{AttemptRef, ClaimQuery, ClaimState};
use chicorystage_api::refusal::{Outcome, Refusal, RefusalCode};
use chicorystage_api::work::{AttemptRequest, Payload, WorkSpec};
use chicorystage_core::claim::ClaimRejection;

use crate::agent::main_loop::AgentLoop;

/// Claim of an attempt that is queued or running.
#[derive(Clone, Debug)]
pub(super) struct OpenClaim {
    caller: CallerName,
    key: IdempotencyKey,
}

impl AgentLoop {
    /// Records the claim of an attempt; without a claim only idempotent work is accepted.
    pub(super) fn begin_claim(
        &mut self,
        attempt: &AttemptRef,
        request: &AttemptRequest,
    ) -> Result<(), Refusal> {
        let Some(ticket) = &request.claim else {
            return check_unclaimed(request);
        };
        self.claims
            .begin(&request.caller, ticket, attempt.clone())
            .map_err(claim_refusal)?;
        let claim = OpenClaim {
            caller: request.caller.clone(),
            key: ticket.key.clone(),
        };
        self.open_claims.insert(attempt.clone(), claim);
        Ok(())
    }

    /// Records the outcome of an attempt's claim from its final frame.
    ///
    /// A refusal as not run abandons the claim; any other final frame finishes it.
    pub(super) fn end_claim(&mut self, attempt: &AttemptRef, payload: &Payload) {
        let Some(claim) = self.open_claims.remove(attempt) else {
            return;
        };
        match payload {
            Payload::Refused(refusal) if refusal.outcome == Outcome::NotRun => {
                self.claims.abandon(&claim.caller, &claim.key);
            }
            _ => self.claims.finish(&claim.caller, &claim.key),
        }
    }

    pub(super) fn query_claim(&mut self, query: &ClaimQuery) -> ClaimState {
        let state = self.claims.query(query);
        match &state {
            ClaimState::Running { attempt } | ClaimState::Finished { attempt }
                if self.attempts.get(attempt).is_none() =>
            {
                ClaimState::Unknown
            }
            _ => state,
        }
    }
}

/// Refuses a service call that is not idempotent, for an attempt without a claim.
fn check_unclaimed(request: &AttemptRequest) -> Result<(), Refusal> {
    let WorkSpec::Service(call) = &request.work else {
        return Ok(());
    };
    if call.idempotent {
        return Ok(());
    }
    let detail = "the call is not idempotent and carries no claim";
    Err(Refusal::not_run(RefusalCode::KeyRequired, detail))
}

fn claim_refusal(rejection: ClaimRejection) -> Refusal {
    let code = match rejection {
        ClaimRejection::OtherIncarnation => RefusalCode::WrongIncarnation,
        ClaimRejection::Stale => RefusalCode::StaleClaim,
    };
    Refusal::not_run(code, rejection.to_string())
}
