//! Calls that are not idempotent run at most once, also under failures.

mod claim_world;

use std::sync::Arc;
use std::time::Duration;

use chicorystage_api::peer::ClaimOutcome;
use chicorystage_api::refusal::{Outcome, Refusal, RefusalCode};
use chicorystage_testbed::fakes::TableFault;
use chicorystaged::router::claims::ClaimedAnswer;
use googletest::prelude::*;

use crate::claim_world::{World, call, correct_outcome, send};

fn opened_attempt<O>(answer: std::result::Result<ClaimedAnswer<O>, Refusal>) -> Option<O> {
    match answer {
        Ok(ClaimedAnswer::Opened { opened, .. }) => Some(opened),
        _ => None,
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_repeat_attaches_to_the_first_call() {
    let world = World::new(1, 2);
    let first = opened_attempt(send(&world, call("r1", "k", "b"), 0).await);
    let second = opened_attempt(send(&world, call("r2", "k", "b"), 0).await);
    expect_that!(first, some(anything()));
    expect_that!(second, eq(&first));
    expect_that!(world.runs("b"), eq(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_key_with_another_body_is_refused() {
    let world = World::new(1, 2);
    send(&world, call("r1", "k", "b"), 0).await.unwrap();
    let refusal = send(&world, call("r2", "k", "other"), 0).await.unwrap_err();
    expect_that!(refusal.code, eq(RefusalCode::KeyReused));
    expect_that!(refusal.outcome, eq(Outcome::NotRun));
    expect_that!(world.runs("other"), eq(0));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn router_paused_before_its_dispatch_attaches_to_the_newer_attempt() {
    let world = World::new(1, 2);
    let paused = tokio::spawn({
        let world = Arc::clone(&world);
        async move { send(&world, call("r1", "k", "b"), 3_600_000).await }
    });
    tokio::time::sleep(Duration::from_secs(10)).await;
    let second = opened_attempt(send(&world, call("r2", "k", "b"), 0).await);
    let first = opened_attempt(paused.await.unwrap());
    expect_that!(second.as_ref().map(|attempt| attempt.attempt), some(eq(2)));
    expect_that!(first, eq(&second));
    expect_that!(world.runs("b"), eq(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_call_whose_agent_restarted_is_never_run_again() {
    let world = World::new(1, 1);
    send(&world, call("r1", "k", "b"), 0).await.unwrap();
    world.restart("worker-1");
    for request in ["r2", "r3"] {
        let refusal = send(&world, call(request, "k", "b"), 0).await.unwrap_err();
        expect_that!(refusal.code, eq(RefusalCode::ResultUnknown));
        expect_that!(refusal.outcome, eq(Outcome::MayHaveRun));
    }
    expect_that!(world.runs("b"), eq(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn call_whose_vm_was_removed_is_reported_as_may_have_run() {
    let world = World::new(1, 2);
    send(&world, call("r1", "k", "b"), 0).await.unwrap();
    world.remove("worker-1");
    let refusal = send(&world, call("r2", "k", "b"), 0).await.unwrap_err();
    expect_that!(refusal.outcome, eq(Outcome::MayHaveRun));
    expect_that!(world.runs("b"), eq(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_claim_that_was_not_delivered_moves_to_another_vm() {
    let world = World::new(1, 2);
    let paused = tokio::spawn({
        let world = Arc::clone(&world);
        async move { send(&world, call("r1", "k", "b"), 10_000).await }
    });
    tokio::time::sleep(Duration::from_secs(5)).await;
    world.remove("worker-1");
    let attempt = opened_attempt(paused.await.unwrap());
    expect_that!(attempt.map(|attempt| attempt.attempt), some(eq(2)));
    expect_that!(world.runs("b"), eq(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn an_unconfirmed_claim_is_not_dispatched_and_a_repeat_runs() {
    let world = World::new(1, 2);
    world.table.set_fault(TableFault::Down);
    let refusal = send(&world, call("r1", "k", "b"), 0).await.unwrap_err();
    expect_that!(refusal.code, eq(RefusalCode::ClaimUnavailable));
    expect_that!(world.runs("b"), eq(0));

    world.table.set_fault(TableFault::Unanswered);
    let resolved = opened_attempt(send(&world, call("r2", "k", "b"), 0).await);
    expect_that!(resolved, some(anything()));
    expect_that!(world.runs("b"), eq(1));
}

/// Guards against a wrong "not run" while the table is down: the claim of the resend cannot be
/// read, and an earlier call with its key may have run.
#[gtest]
#[tokio::test(start_paused = true)]
async fn resend_that_cannot_read_its_claim_is_not_reported_as_not_run() {
    let world = World::new(1, 2);
    send(&world, call("r1", "k", "b"), 0).await.unwrap();
    world.table.set_fault(TableFault::Down);
    let refusal = send(&world, call("r2", "k", "b"), 0).await.unwrap_err();
    expect_that!(refusal.outcome, eq(Outcome::MayHaveRun));
    expect_that!(refusal.retry_after_ms, some(anything()));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_recorded_answer_is_replayed_without_the_agent() {
    let world = World::new(1, 1);
    let Ok(ClaimedAnswer::Opened { recorder, .. }) = send(&world, call("r1", "k", "b"), 0).await
    else {
        panic!("the first call is answered");
    };
    let outcome = ClaimOutcome::Answered {
        status: 201,
        content_type: "text/plain".into(),
        body_base64: "b2s=".into(),
    };
    recorder.record(outcome.clone()).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    world.remove("worker-1");
    let replayed = send(&world, call("r2", "k", "b"), 0).await;
    let Ok(ClaimedAnswer::Recorded(recorded)) = replayed else {
        panic!("the recorded answer is replayed");
    };
    expect_that!(recorded, eq(&outcome));
    expect_that!(world.runs("b"), eq(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn resend_refused_by_a_limit_reports_the_outcome_of_its_key() {
    let world = World::new(1, 1);
    send(&world, call("r1", "ran", "b"), 0).await.unwrap();
    let limited = Refusal::not_run(RefusalCode::RateLimited, "too many requests");
    let resent = correct_outcome(&world, call("r2", "ran", "b"), limited.clone()).await;
    expect_that!(resent.outcome, eq(Outcome::MayHaveRun));
    let fresh = correct_outcome(&world, call("r3", "fresh", "b"), limited).await;
    expect_that!(fresh.outcome, eq(Outcome::NotRun));
}

/// Runs random schedules of resends, router pauses, message losses, agent restarts, VM removals
/// and table faults.
#[gtest]
#[tokio::test(start_paused = true)]
async fn no_schedule_runs_a_call_twice_or_reports_a_run_as_not_run() {
    const SEEDS: u64 = 400;
    let mut answered = 0;
    for seed in 0..SEEDS {
        answered += random_schedule(seed).await;
    }
    expect_that!(answered, gt(SEEDS / 2));
}

async fn random_schedule(seed: u64) -> u64 {
    let world = World::new(seed, 3);
    world.set_loss_percent(u32::try_from(world.random(40)).unwrap());
    let mut senders = Vec::new();
    for i in 0..5 {
        let world = Arc::clone(&world);
        senders.push(tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(world.random(400))).await;
            let pause_ms = if world.random(3) == 0 {
                world.random(600)
            } else {
                0
            };
            let answer = send(&world, call(&format!("r{i}"), "k", "b"), pause_ms).await;
            (answer, world.runs("b"))
        }));
    }
    let faults = tokio::spawn({
        let world = Arc::clone(&world);
        async move {
            for _ in 0..6 {
                tokio::time::sleep(Duration::from_millis(world.random(120))).await;
                match world.random(6) {
                    0 => world.restart("worker-1"),
                    1 => world.remove("worker-2"),
                    2 => world.table.set_fault(TableFault::Unanswered),
                    3 => world.table.set_fault(TableFault::Slow { delay_ms: 50 }),
                    4 => world.table.set_fault(TableFault::Down),
                    _ => world.table.set_fault(TableFault::None),
                }
            }
        }
    });
    faults.await.unwrap();
    let mut answered = 0;
    for sender in senders {
        let (answer, runs_at_answer) = sender.await.unwrap();
        match answer {
            Ok(_) => {
                answered += 1;
                assert_eq!(runs_at_answer, 1, "seed {seed}: answered without a run");
            }
            Err(refusal) if refusal.outcome == Outcome::NotRun => {
                assert_eq!(runs_at_answer, 0, "seed {seed}: {refusal}");
            }
            Err(_) => {}
        }
    }
    assert!(
        world.runs("b") <= 1,
        "seed {seed}: the call ran {} times",
        world.runs("b")
    );
    answered
}
