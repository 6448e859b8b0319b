//! A router delivers a complete answer, or a refusal that says correctly whether work may have run.

mod serving_world;

use chicorystage_api::name::VmId;
use chicorystage_api::peer::{PlacementPush, PlacementRow, Slot, SlotState};
use chicorystage_api::refusal::{Outcome, Refusal, RefusalCode};
use chicorystage_api::work::AttemptRequest;
use chicorystage_borders::vm_list::VmState;
use chicorystage_testbed::fakes::TableFault;
use chicorystaged::router::event::RouterEvent;
use googletest::prelude::*;
use serving_world::script::ConnectionFault;
use serving_world::{AgentAction, World, balance_call, read_to_end, start_world};
use tokio::time::{Duration, Instant, sleep};

const PROMPT: &str = "is lot 12 dry enough";
const TIMEOUT_MS: u64 = 30_000;
const WORDS: [&str; 4] = ["yes ", "it ", "is ", "dry"];
const TEXT: &str = "yes it is dry";

fn endpoint_lost() -> Refusal {
    Refusal::may_have_run(RefusalCode::EndpointLost, "the engine died")
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn broken_connections_are_resumed_at_the_offset() {
    for (fault, offset) in [
        (ConnectionFault::Silent(2), 2),
        (ConnectionFault::Cut(2), 2),
        (ConnectionFault::Gap(2), 2),
        (ConnectionFault::Silent(0), 0),
        (ConnectionFault::Cut(4), 4),
    ] {
        let world = start_world(1, move |_: &AttemptRequest, _: &VmId| {
            AgentAction::answer_with_faults(&WORDS, &[fault])
        });
        let world = world.await;
        let opened = world.open(PROMPT, TIMEOUT_MS).await.unwrap();
        let (text, refusal) = read_to_end(opened).await;
        expect_that!((text.as_str(), refusal), eq(&(TEXT, None)), "{fault:?}");
        expect_that!(
            world.agents.resumptions(),
            eq(&vec![(1, offset)]),
            "{fault:?}"
        );
        expect_that!(world.agents.started_attempts().len(), eq(1));
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn repeated_frames_and_frames_of_another_attempt_are_dropped() {
    let world = start_world(1, |_: &AttemptRequest, _: &VmId| {
        AgentAction::answer_with_faults(&WORDS, &[ConnectionFault::Echo])
    });
    let world = world.await;
    let opened = world.open(PROMPT, TIMEOUT_MS).await.unwrap();
    expect_that!(read_to_end(opened).await.0, eq(TEXT));
    expect_that!(world.agents.resumptions(), is_empty());
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn connections_that_break_without_progress_end_the_attempt() {
    let world = start_world(2, |request: &AttemptRequest, _: &VmId| {
        if request.attempt == 1 {
            return AgentAction::answer_with_faults(&WORDS, &[ConnectionFault::Silent(0); 20]);
        }
        AgentAction::answer(&WORDS)
    });
    let world = world.await;
    let answer = world.whole(PROMPT, TIMEOUT_MS).await.unwrap();
    expect_that!(&*answer.body, eq(TEXT.as_bytes()));
    expect_that!(world.agents.cancelled_attempts().len(), eq(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn engine_crash_before_delivery_is_retried() {
    let world = start_world(2, |request: &AttemptRequest, _: &VmId| {
        if request.attempt == 1 {
            return AgentAction::refuse(&[], endpoint_lost());
        }
        AgentAction::answer(&WORDS)
    });
    let world = world.await;
    let opened = world.open(PROMPT, TIMEOUT_MS).await.unwrap();
    expect_that!(read_to_end(opened).await, eq(&(TEXT.to_owned(), None)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn engine_crash_after_delivery_ends_the_stream_with_an_error() {
    let world = start_world(2, |request: &AttemptRequest, _: &VmId| {
        if request.attempt == 1 {
            return AgentAction::refuse(&["yes "], endpoint_lost());
        }
        AgentAction::answer(&WORDS)
    });
    let world = world.await;
    let opened = world.open(PROMPT, TIMEOUT_MS).await.unwrap();
    let (text, refusal) = read_to_end(opened).await;
    expect_that!(text, eq("yes "));
    let refusal = refusal.unwrap();
    expect_that!(refusal.code, eq(RefusalCode::EndpointLost));
    expect_that!(refusal.outcome, eq(Outcome::MayHaveRun));
    expect_that!(world.agents.started_attempts().len(), eq(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn collected_answer_of_a_second_attempt_contains_nothing_of_the_first() {
    let world = start_world(2, |request: &AttemptRequest, _: &VmId| {
        if request.attempt == 1 {
            return AgentAction::refuse(&["no "], endpoint_lost());
        }
        AgentAction::answer(&WORDS)
    });
    let world = world.await;
    let answer = world.whole(PROMPT, TIMEOUT_MS).await.unwrap();
    expect_that!(&*answer.body, eq(TEXT.as_bytes()));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn start_of_unknown_outcome_is_retried() {
    let world = start_world(2, |request: &AttemptRequest, _: &VmId| {
        if request.attempt == 1 {
            return AgentAction::Unknown;
        }
        AgentAction::answer(&WORDS)
    });
    let world = world.await;
    let answer = world.whole(PROMPT, TIMEOUT_MS).await.unwrap();
    expect_that!(&*answer.body, eq(TEXT.as_bytes()));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn deadline_ends_a_started_request_in_time_as_one_that_may_have_run() {
    let world = start_world(1, |_: &AttemptRequest, _: &VmId| {
        AgentAction::answer_with_faults(&WORDS, &[ConnectionFault::Stalls(0)])
    });
    let world = world.await;
    let start = Instant::now();
    let refusal = world.whole(PROMPT, 700).await.unwrap_err();
    expect_that!(start.elapsed(), le(Duration::from_millis(701)));
    expect_that!(refusal.code, eq(RefusalCode::DeadlineExceeded));
    expect_that!(refusal.outcome, eq(Outcome::MayHaveRun));
    sleep(Duration::from_millis(1)).await;
    expect_that!(world.agents.cancelled_attempts().len(), eq(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn deadline_ends_a_request_that_was_never_sent_as_not_run() {
    let world = start_world(1, |_: &AttemptRequest, _: &VmId| {
        AgentAction::answer(&WORDS)
    });
    let world = world.await;
    world.table.set_fault(TableFault::Slow { delay_ms: 60_000 });
    let start = Instant::now();
    let refusal = world.whole(PROMPT, 700).await.unwrap_err();
    expect_that!(start.elapsed(), le(Duration::from_millis(701)));
    expect_that!(refusal.code, eq(RefusalCode::DeadlineExceeded));
    expect_that!(refusal.outcome, eq(Outcome::NotRun));
    expect_that!(world.agents.started_attempts(), is_empty());
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn refusal_reports_an_earlier_attempt_that_may_have_run() {
    let world = start_world(2, |request: &AttemptRequest, _: &VmId| {
        if request.attempt == 1 {
            return AgentAction::refuse(&[], endpoint_lost());
        }
        AgentAction::NotDelivered
    });
    let world = world.await;
    let refusal = world.whole(PROMPT, TIMEOUT_MS).await.unwrap_err();
    expect_that!(refusal.code, eq(RefusalCode::NoEndpoint));
    expect_that!(refusal.outcome, eq(Outcome::MayHaveRun));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn caller_disconnect_cancels_the_attempt() {
    let world = start_world(1, |_: &AttemptRequest, _: &VmId| {
        AgentAction::answer_with_faults(&WORDS, &[ConnectionFault::Stalls(1)])
    });
    let world = world.await;
    let opened = world.open(PROMPT, TIMEOUT_MS).await.unwrap();
    // The router drops an answer when its caller disconnects.
    drop(opened);
    sleep(Duration::from_millis(1)).await;
    expect_that!(world.agents.cancelled_attempts().len(), eq(1));
    let status = world.parts.handle.status().await.unwrap();
    expect_that!(status.in_progress, eq(0));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn leaving_endpoint_is_replaced_transparently_and_avoided_afterwards() {
    let world = start_world(2, |_: &AttemptRequest, vm: &VmId| {
        if vm.as_str() == "worker-1" {
            let leaving = Refusal::not_run(RefusalCode::Leaving, "leaving");
            return AgentAction::refuse(&[], leaving);
        }
        AgentAction::answer(&WORDS)
    });
    let world = world.await;
    assign_slots(&world, &["worker-1", "worker-2"]).await;
    for _ in 0..20 {
        let answer = world.whole(PROMPT, TIMEOUT_MS).await.unwrap();
        expect_that!(&*answer.body, eq(TEXT.as_bytes()));
    }
    let started = world.agents.started_attempts();
    let to_leaving = started.iter().filter(|(vm, _)| vm.as_str() == "worker-1");
    expect_that!(to_leaving.count(), le(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn unreachable_endpoint_is_skipped_by_later_requests() {
    let world = start_world(2, |_: &AttemptRequest, vm: &VmId| {
        if vm.as_str() == "worker-1" {
            return AgentAction::NotDelivered;
        }
        AgentAction::answer(&WORDS)
    });
    let world = world.await;
    assign_slots(&world, &["worker-1", "worker-2"]).await;
    for _ in 0..20 {
        world.whole(PROMPT, TIMEOUT_MS).await.unwrap();
    }
    let started = world.agents.started_attempts();
    let to_unreachable = started.iter().filter(|(vm, _)| vm.as_str() == "worker-1");
    expect_that!(to_unreachable.count(), eq(1));
}

/// Sends the router a placement row that gives the model a slot on each of these VMs.
async fn assign_slots(world: &World, vms: &[&str]) {
    let slots = vms.iter().map(|vm| Slot {
        vm: (*vm).into(),
        state: SlotState::Held,
    });
    let push = PlacementPush {
        row_version: 1,
        row: PlacementRow {
            model: "moisture".into(),
            slots: slots.collect(),
        },
    };
    let placement_read = RouterEvent::PlacementRead(push);
    world.parts.handle.send(placement_read).await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn vm_listed_as_leaving_gets_no_new_work() {
    let world = start_world(1, |_: &AttemptRequest, _: &VmId| {
        AgentAction::answer(&WORDS)
    })
    .await;
    world.whole(PROMPT, TIMEOUT_MS).await.unwrap();
    let call = || world.dispatcher().whole(balance_call(TIMEOUT_MS));
    call().await.unwrap();
    world.vms.set_state(&"worker-1".into(), VmState::Leaving);
    sleep(Duration::from_secs(2)).await;
    for refused in [world.whole(PROMPT, TIMEOUT_MS).await, call().await] {
        let refusal = refused.unwrap_err();
        expect_that!(refusal.outcome, eq(Outcome::NotRun));
        expect_that!(refusal.retry_after_ms, some(gt(0)));
    }
    expect_that!(world.agents.started_attempts().len(), eq(2));
}
