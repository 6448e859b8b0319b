//! Quarantine of requests that crash endpoints, retries and their budget, caller limits, and the
//! trace and metrics of a request.

mod serving_world;

use chicorystage_api::inventory::CallerItem;
use chicorystage_api::name::VmId;
use chicorystage_api::peer::{
    PLACEMENT_ROW_PREFIX, QUARANTINE_ROW_PREFIX, QuarantineEntry, TraceEnd, TraceEvent,
};
use chicorystage_api::refusal::{Outcome, Refusal, RefusalCode};
use chicorystage_api::work::{AttemptRequest, EndpointLoad};
use chicorystage_borders::table::{Table, Transaction, Write};
use chicorystage_testbed::fakes::TableFault;
use googletest::prelude::*;
use serde_json::{Value, json};
use serving_world::script::ConnectionFault;
use serving_world::{AgentAction, World, caller, request, start_world, start_world_with};
use tokio::time::{Duration, Instant, sleep};

const POISON: &str = "crash please";
const PROMPT: &str = "is lot 12 dry enough";
const TIMEOUT_MS: u64 = 30_000;

fn endpoint_lost() -> Refusal {
    Refusal::may_have_run(RefusalCode::EndpointLost, "the engine died")
}

fn prompt_of(request: &AttemptRequest) -> String {
    serde_json::to_value(&request.work).unwrap()["prompt"]
        .as_str()
        .unwrap()
        .to_owned()
}

fn crash_on_poison(request: &AttemptRequest, _vm: &VmId) -> AgentAction {
    if prompt_of(request) == POISON {
        return AgentAction::refuse(&[], endpoint_lost());
    }
    AgentAction::answer(&["fine"])
}

async fn quarantine_rows(world: &World) -> Vec<QuarantineEntry> {
    let page = world.table.scan(QUARANTINE_ROW_PREFIX, None, 100).await;
    let rows = page.unwrap().rows;
    rows.iter()
        .map(|row| serde_json::from_str(&row.value).unwrap())
        .collect()
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn request_that_crashes_endpoints_is_quarantined_at_its_second_crash() {
    let world = start_world(3, crash_on_poison).await;
    let refusal = world.whole(POISON, TIMEOUT_MS).await.unwrap_err();
    expect_that!(refusal.code, eq(RefusalCode::Quarantined));
    expect_that!(refusal.outcome, eq(Outcome::MayHaveRun));
    let started = world.agents.started_attempts();
    let suspects: Vec<bool> = started.iter().map(|(_, attempt)| attempt.suspect).collect();
    expect_that!(suspects, elements_are![eq(&false), eq(&true)]);

    let repeat = world.whole(POISON, TIMEOUT_MS).await.unwrap_err();
    expect_that!(repeat.code, eq(RefusalCode::Quarantined));
    expect_that!(repeat.outcome, eq(Outcome::NotRun));
    expect_that!(repeat.retry_after_ms, none());
    expect_that!(world.agents.started_attempts().len(), eq(2));

    sleep(Duration::from_millis(100)).await;
    let received = world.agents.received_quarantine();
    expect_that!(received.iter().filter(|entry| entry.active).count(), eq(3));
    let rows = quarantine_rows(&world).await;
    expect_that!(rows.len(), eq(1));
    expect_that!(rows[0].active, is_true());
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn request_that_completes_after_a_crash_is_not_quarantined() {
    let script = |request: &AttemptRequest, _: &VmId| {
        if request.attempt == 1 {
            return AgentAction::refuse(&[], endpoint_lost());
        }
        AgentAction::answer(&["fine"])
    };
    let world = start_world(3, script).await;
    for _ in 0..3 {
        world.whole(PROMPT, TIMEOUT_MS).await.unwrap();
    }
    let started = world.agents.started_attempts();
    let suspects: Vec<bool> = started.iter().map(|(_, attempt)| attempt.suspect).collect();
    expect_that!(
        suspects,
        container_eq([false, true, false, true, false, true])
    );
    expect_that!(world.parts.handle.list_quarantine().await, is_empty());
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn quarantine_by_another_router_applies_whether_pushed_or_read() {
    let source = start_world(1, crash_on_poison).await;
    source.whole(POISON, TIMEOUT_MS).await.unwrap_err();
    let entries = source.parts.handle.list_quarantine().await;
    expect_that!(entries.len(), eq(1));

    let pushed = start_world(1, crash_on_poison).await;
    pushed.parts.handle.merge_quarantine(entries.clone()).await;
    let refusal = pushed.whole(POISON, TIMEOUT_MS).await.unwrap_err();
    expect_that!(refusal.code, eq(RefusalCode::Quarantined));
    expect_that!(pushed.agents.started_attempts(), is_empty());

    let polling = start_world(1, crash_on_poison).await;
    copy_rows(&source, &polling).await;
    sleep(Duration::from_secs(6)).await;
    let refusal = polling.whole(POISON, TIMEOUT_MS).await.unwrap_err();
    expect_that!(refusal.code, eq(RefusalCode::Quarantined));
    expect_that!(polling.agents.started_attempts(), is_empty());
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn quarantine_is_stored_once_the_table_is_back_and_lifted_permanently() {
    let world = start_world(1, crash_on_poison).await;
    world.whole(PROMPT, TIMEOUT_MS).await.unwrap();
    world.table.set_fault(TableFault::Down);
    world.whole(POISON, TIMEOUT_MS).await.unwrap_err();
    sleep(Duration::from_secs(1)).await;
    world.table.set_fault(TableFault::None);
    sleep(Duration::from_secs(10)).await;
    let rows = quarantine_rows(&world).await;
    expect_that!(rows.len(), eq(1));

    let digest = rows[0].digest.clone();
    world.parts.handle.lift_quarantine(digest).await.unwrap();
    sleep(Duration::from_secs(10)).await;
    expect_that!(quarantine_rows(&world).await[0].active, is_false());
    expect_that!(world.parts.handle.list_quarantine().await, is_empty());
}

async fn copy_rows(from: &World, to: &World) {
    sleep(Duration::from_millis(100)).await;
    for entry in quarantine_rows(from).await {
        let key = format!("{QUARANTINE_ROW_PREFIX}{}", entry.digest);
        put_row(to, &key, json!(entry)).await;
    }
}

async fn put_row(world: &World, key: &str, value: Value) {
    let transaction = Transaction {
        id: key.into(),
        checks: Vec::new(),
        writes: vec![Write {
            key: key.into(),
            value: Some(value.to_string().into()),
        }],
    };
    world.table.commit(transaction).await.unwrap();
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn retry_budget_limits_attempts_while_all_endpoints_fail() {
    let script = |_: &AttemptRequest, _: &VmId| {
        AgentAction::refuse(&[], Refusal::not_run(RefusalCode::LoadFailed, "no weights"))
    };
    let world = start_world(3, script).await;
    let first_attempts = 500;
    for i in 0..first_attempts {
        let refusal = world
            .whole(&format!("{PROMPT} {i}"), TIMEOUT_MS)
            .await
            .unwrap_err();
        expect_that!(refusal.outcome, eq(Outcome::NotRun));
        expect_that!(refusal.retry_after_ms, some(gt(0)));
    }
    // The retry budget: 20 retries at the start and one more for each five first attempts.
    expect_that!(
        world.agents.started_attempts().len(),
        le(first_attempts + 20 + first_attempts / 5)
    );
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn failure_that_a_retry_cannot_fix_is_not_retried() {
    for code in [
        RefusalCode::Forbidden,
        RefusalCode::DeadlineExceeded,
        RefusalCode::Quarantined,
    ] {
        let world = start_world(3, move |_: &AttemptRequest, _: &VmId| {
            AgentAction::refuse(&[], Refusal::not_run(code, "no"))
        });
        let world = world.await;
        let refusal = world.whole(PROMPT, TIMEOUT_MS).await.unwrap_err();
        expect_that!(refusal.code, eq(code));
        expect_that!(world.agents.started_attempts().len(), eq(1));
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn placement_that_its_agents_reject_is_read_again() {
    let script = |request: &AttemptRequest, vm: &VmId| {
        let slot_moved = request.grant.as_ref().unwrap().row_version > 1;
        if !slot_moved || vm.as_str() != "worker-9" {
            return AgentAction::refuse(&[], Refusal::not_run(RefusalCode::NotPlaced, "no slot"));
        }
        AgentAction::answer(&["fine"])
    };
    let world = start_world(9, script).await;
    world.whole(PROMPT, TIMEOUT_MS).await.unwrap_err();
    let row = json!({ "model": "moisture", "slots": [{ "vm": "worker-9", "state": "held" }] });
    put_row(&world, &format!("{PLACEMENT_ROW_PREFIX}moisture"), row).await;
    world.whole(PROMPT, TIMEOUT_MS).await.unwrap();
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn concurrency_limit_of_a_caller_is_released_when_its_requests_end() {
    let limited = CallerItem {
        concurrent_max: 2,
        ..caller()
    };
    let stalling = |_: &AttemptRequest, _: &VmId| {
        AgentAction::answer_with_faults(&["fine"], &[ConnectionFault::Stalls(1); 100])
    };
    let world = start_world_with(1, limited, stalling).await;
    for _ in 0..3 {
        let first = world.open(PROMPT, TIMEOUT_MS).await.unwrap();
        let second = world.open(PROMPT, TIMEOUT_MS).await.unwrap();
        let third = world.open(PROMPT, TIMEOUT_MS).await.unwrap_err();
        expect_that!(third.code, eq(RefusalCode::ConcurrencyLimited));
        expect_that!(third.outcome, eq(Outcome::NotRun));
        drop((first, second));
        sleep(Duration::from_millis(1)).await;
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn trace_records_attempts_and_end_of_a_request() {
    let script = |request: &AttemptRequest, _: &VmId| {
        if request.attempt == 1 {
            return AgentAction::NotDelivered;
        }
        AgentAction::answer(&["fine"])
    };
    let world = start_world(2, script).await;
    let request = request(PROMPT, TIMEOUT_MS);
    let request_id = request.request_id.clone();
    world.dispatcher().whole(request).await.unwrap();
    let trace = world.parts.handle.explain(request_id).await.unwrap();
    expect_that!(trace.end, matches_pattern!(TraceEnd::Answered { .. }));
    let events: Vec<TraceEvent> = trace.steps.into_iter().map(|step| step.event).collect();
    expect_that!(
        events,
        elements_are![
            matches_pattern!(TraceEvent::Admitted { .. }),
            matches_pattern!(TraceEvent::Chosen {
                attempt: eq(&1),
                ..
            }),
            matches_pattern!(TraceEvent::Failed {
                attempt: eq(&1),
                ..
            }),
            matches_pattern!(TraceEvent::Retried { .. }),
            matches_pattern!(TraceEvent::Chosen {
                attempt: eq(&2),
                ..
            }),
            matches_pattern!(TraceEvent::Begun { attempt: eq(&2) }),
        ]
    );
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn leaving_router_fails_readiness_and_keeps_serving() {
    let world = start_world(1, |_: &AttemptRequest, _: &VmId| {
        AgentAction::answer(&["fine"])
    })
    .await;
    world.whole(PROMPT, TIMEOUT_MS).await.unwrap();
    expect_that!(world.parts.handle.status().await.unwrap().ready, is_true());
    world.parts.handle.fail_readiness().await;
    expect_that!(world.parts.handle.status().await.unwrap().ready, is_false());
    world.whole(PROMPT, TIMEOUT_MS).await.unwrap();
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn metrics_are_labelled_by_class_and_tenant() {
    let world = start_world(1, |_: &AttemptRequest, _: &VmId| {
        AgentAction::answer(&["a", "b"])
    })
    .await;
    world.whole(PROMPT, TIMEOUT_MS).await.unwrap();
    let text = world.parts.metrics.encode();
    for line in [
        "chicorystage_requests_total{class=\"interactive\",tenant=\"field-agents\"} 1",
        "chicorystage_first_token_seconds_count{class=\"interactive\",tenant=\"field-agents\"} 1",
        "chicorystage_between_tokens_seconds_count{class=\"interactive\",tenant=\"field-agents\"} 1",
        "chicorystage_answer_seconds_count{class=\"interactive\",tenant=\"field-agents\"} 1",
        "chicorystage_wait_seconds_count{class=\"interactive\",tenant=\"field-agents\"} 1",
        "chicorystage_attempts_total 1",
    ] {
        expect_that!(text, contains_substring(line));
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn second_slot_is_added_when_the_vm_of_the_only_slot_rejects_work() {
    for code in [RefusalCode::Leaving, RefusalCode::MemoryFull] {
        let script = move |request: &AttemptRequest, _: &VmId| {
            if request.attempt == 1 {
                return AgentAction::refuse(&[], Refusal::not_run(code, "not here"));
            }
            AgentAction::answer(&["fine"])
        };
        let world = start_world(3, script).await;
        world.whole(PROMPT, TIMEOUT_MS).await.unwrap();
        let started = world.agents.started_attempts();
        expect_that!(started.len(), eq(2));
        expect_that!(started[0].0, not(eq(&started[1].0)));
    }
}

fn overloaded() -> EndpointLoad {
    EndpointLoad {
        running: 4,
        queued: 36,
        service_time_ms: 100,
        slots: 4,
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn request_that_cannot_meet_its_deadline_is_refused_before_it() {
    let world = start_world(1, |_: &AttemptRequest, _: &VmId| {
        AgentAction::answer(&["fine"])
    })
    .await;
    world.agents.set_reported_load(overloaded());
    world.whole(PROMPT, TIMEOUT_MS).await.unwrap();
    let start = Instant::now();
    let refusal = world.whole(PROMPT, 500).await.unwrap_err();
    expect_that!(refusal.code, eq(RefusalCode::DeadlineUnreachable));
    expect_that!(refusal.outcome, eq(Outcome::NotRun));
    expect_that!(refusal.retry_after_ms, some(gt(0)));
    expect_that!(start.elapsed(), lt(Duration::from_millis(500)));
    expect_that!(world.agents.started_attempts().len(), eq(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn overloaded_model_gets_another_slot() {
    let world = start_world(3, |_: &AttemptRequest, _: &VmId| {
        AgentAction::answer(&["fine"])
    })
    .await;
    world.agents.set_reported_load(overloaded());
    for _ in 0..4 {
        world.whole(PROMPT, TIMEOUT_MS).await.unwrap();
        sleep(Duration::from_millis(200)).await;
    }
    let started = world.agents.started_attempts();
    let mut vms: Vec<&VmId> = started.iter().map(|(vm, _)| vm).collect();
    vms.sort();
    vms.dedup();
    expect_that!(vms.len(), eq(2));
}
