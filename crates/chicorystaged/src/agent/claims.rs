//! Claims of calls that are not idempotent.
//!
//! A claimed attempt is entered in the claim book before it is queued and
//! leaves its end there. The frames of an attempt are kept for a while only; a
//! claim whose frames are gone is told as unknown, since its answer is.

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
    /// Enters the claim of an attempt; without one only idempotent work passes.
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
            .map_err(rejected)?;
        let claim = OpenClaim {
            caller: request.caller.clone(),
            key: ticket.key.clone(),
        };
        self.open_claims.insert(attempt.clone(), claim);
        Ok(())
    }

    /// Records what the final frame of an attempt says of its claim.
    pub(super) fn end_claim(&mut self, attempt: &AttemptRef, payload: &Payload) {
        let Some(claim) = self.open_claims.remove(attempt) else {
            return;
        };
        match payload {
            Payload::Refused(refusal) if refusal.outcome == Outcome::NotRun => {
                self.claims.give_up(&claim.caller, &claim.key);
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

/// Refuses a call that must not run twice and that no claim guards.
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

fn rejected(rejection: ClaimRejection) -> Refusal {
    let code = match rejection {
        ClaimRejection::OtherIncarnation => RefusalCode::WrongIncarnation,
        ClaimRejection::Stale => RefusalCode::StaleClaim,
    };
    Refusal::not_run(code, rejection.to_string())
}
