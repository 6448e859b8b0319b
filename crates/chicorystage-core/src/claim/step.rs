use chicorystage_api::name::{Digest, VmId};
use chicorystage_api::peer::{AttemptRef, ClaimOutcome, ClaimRow, ClaimState};
use chicorystage_api::refusal::{Refusal, RefusalCode};

/// A router's next step for a call that carries an idempotency key.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimStep {
    /// Claim this epoch by replacing the row at the version that was read, then dispatch it.
    Claim {
        /// Epoch to claim.
        epoch: u32,
    },
    /// Query the agent that the open claim names.
    QueryAgent {
        /// VM of the agent.
        vm: VmId,
        /// Incarnation of the agent.
        incarnation: u64,
        /// Epoch to query.
        epoch: u32,
    },
    /// Stream the answer of the attempt that runs or has run the call.
    Attach {
        /// The attempt, streamed from its first frame.
        attempt: AttemptRef,
    },
    /// Answer with the recorded outcome.
    Replay(ClaimOutcome),
    /// Answer with a refusal, and record an outcome if one is given.
    Refuse {
        /// Refusal to send to the caller.
        refusal: Refusal,
        /// Outcome that replaces the open claim; `None` leaves the row as it is.
        record: Option<ClaimOutcome>,
    },
}

/// Returns the next step for the claim row as read; `None` means that no row exists.
#[must_use]
pub fn step_for_row(row: Option<&ClaimRow>, body_sha256: &Digest) -> ClaimStep {
    let Some(row) = row else {
        return ClaimStep::Claim { epoch: 1 };
    };
    if row.body_sha256 != *body_sha256 {
        let detail = "the idempotency key was used with another method, path or body";
        return ClaimStep::Refuse {
            refusal: Refusal::not_run(RefusalCode::KeyReused, detail),
            record: None,
        };
    }
    match &row.outcome {
        ClaimOutcome::Open => ClaimStep::QueryAgent {
            vm: row.vm.clone(),
            incarnation: row.incarnation,
            epoch: row.epoch,
        },
        ClaimOutcome::Answered { .. } => ClaimStep::Replay(row.outcome.clone()),
        ClaimOutcome::NotRun => ClaimStep::Claim {
            epoch: row.epoch + 1,
        },
        ClaimOutcome::MayHaveRun => ClaimStep::Refuse {
            refusal: unknown_result_refusal(),
            record: None,
        },
    }
}

/// Returns the next step for an open claim whose agent reported `state`.
#[must_use]
pub fn step_after_answer(row: &ClaimRow, state: ClaimState) -> ClaimStep {
    match state {
        ClaimState::Running { attempt } | ClaimState::Finished { attempt } => {
            ClaimStep::Attach { attempt }
        }
        ClaimState::Tombstoned => ClaimStep::Claim {
            epoch: row.epoch + 1,
        },
        ClaimState::Unknown | ClaimState::OtherIncarnation { .. } => ClaimStep::Refuse {
            refusal: unknown_result_refusal(),
            record: Some(ClaimOutcome::MayHaveRun),
        },
    }
}

fn unknown_result_refusal() -> Refusal {
    let detail =
        "an earlier call with this key may have run and its answer is lost; it will not run again";
    Refusal::may_have_run(RefusalCode::ResultUnknown, detail)
}
