//! Attempts: queueing, deadlines, complete answers, and refusals that state whether the
//! work may have run.

use std::sync::Arc;
use std::time::Duration;

use chicorystage_api::inventory::{CallerItem, Class, Item, ItemRow, Snapshot};
use chicorystage_api::name::Digest;
use chicorystage_api::peer::QuarantineEntry;
use chicorystage_api::refusal::{Outcome, RefusalCode};
use chicorystage_borders::engine::Engine;
use chicorystage_testbed::fakes::{EngineFault, FakeEngine, FakeEngineConfig, answer_words};
use chicorystaged::agent::event::AgentEvent;
use googletest::prelude::*;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

use crate::faulty_stream_engine::{FaultyStreamEngine, StreamFault};
use crate::world::{Answer, World, attempt_ref, collect_answer, completion_mut};

async fn start() -> World {
    World::start(FakeEngineConfig::default(), &["a"]).await
}

/// Starts an agent with model `a` loaded, whose engine runs one completion at a time.
async fn start_with_one_batch_slot() -> World {
    let config = FakeEngineConfig {
        batch_slots: 1,
        ..FakeEngineConfig::default()
    };
    let mut world = World::start(config, &["a"]).await;
    expect_that!(world.run_completion("a").await.is_complete(), is_true());
    world
}

fn expected_text(tokens: u32) -> String {
    answer_words("is lot 12 dry enough", tokens).concat()
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn attempt_that_expires_in_the_queue_is_refused_at_its_deadline() {
    let mut world = start().await;
    let mut request = world.request("a");
    request.time_left_ms = 100;
    let started_at = Instant::now();
    let refused = collect_answer(world.send(request).await).await;
    expect_that!(
        refused.refusal(),
        some(eq((RefusalCode::DeadlineExceeded, Outcome::NotRun)))
    );
    expect_that!(started_at.elapsed().as_millis(), le(150));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn attempt_that_expires_while_running_is_refused_as_may_have_run() {
    let mut world = start().await;
    expect_that!(world.run_completion("a").await.is_complete(), is_true());
    let mut request = world.request("a");
    request.time_left_ms = 200;
    completion_mut(&mut request).max_tokens = 10_000;
    let refused = collect_answer(world.send(request).await).await;
    expect_that!(
        refused.refusal(),
        some(eq((RefusalCode::DeadlineExceeded, Outcome::MayHaveRun)))
    );
    expect_that!(world.status().await.load.running, eq(0));
    sleep(Duration::from_secs(1)).await;
    let report = world.engine.load_report().await.expect("the engine is up");
    expect_that!(report.running, eq(0), "the engine still generates");
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn full_queue_refuses_an_equal_class_and_admits_a_higher_one() {
    let mut world = start_with_one_batch_slot().await;
    // One batch attempt runs and eight fill the queue; the interactive attempt displaces one.
    let mut waiting = Vec::new();
    for _ in 0..9 {
        let mut request = world.request("a");
        request.class = Class::Batch;
        waiting.push(world.send(request).await);
    }
    let mut request = world.request("a");
    request.class = Class::Batch;
    let refused = collect_answer(world.send(request).await).await;
    expect_that!(
        refused.refusal(),
        some(eq((RefusalCode::Overloaded, Outcome::NotRun)))
    );
    let mut request = world.request("a");
    request.class = Class::Interactive;
    expect_that!(
        collect_answer(world.send(request).await)
            .await
            .is_complete(),
        is_true()
    );
    let mut served = 0;
    for frames in waiting {
        served += u32::from(collect_answer(frames).await.is_complete());
    }
    expect_that!(served, eq(8));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn attempt_that_cannot_start_before_its_deadline_is_refused_as_unreachable() {
    let mut world = start_with_one_batch_slot().await;
    let mut waiting = Vec::new();
    for _ in 0..6 {
        let request = world.request("a");
        waiting.push(world.send(request).await);
    }
    let mut request = world.request("a");
    request.time_left_ms = 60;
    let refused = collect_answer(world.send(request).await).await;
    expect_that!(
        refused.refusal(),
        some(eq((RefusalCode::DeadlineUnreachable, Outcome::NotRun)))
    );
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn engine_crash_refuses_running_attempts_as_may_have_run() {
    let mut world = start().await;
    expect_that!(world.run_completion("a").await.is_complete(), is_true());
    let mut frames = Vec::new();
    for _ in 0..3 {
        let mut request = world.request("a");
        completion_mut(&mut request).max_tokens = 500;
        frames.push(world.send(request).await);
    }
    sleep(Duration::from_millis(100)).await;
    world.engine.inject(EngineFault::Crash);
    for frames in frames {
        expect_that!(
            collect_answer(frames).await.refusal(),
            some(eq((RefusalCode::EndpointLost, Outcome::MayHaveRun)))
        );
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn cut_stream_is_resumed_when_the_engine_still_has_it() {
    let mut world = start().await;
    expect_that!(world.run_completion("a").await.is_complete(), is_true());
    let mut request = world.request("a");
    completion_mut(&mut request).max_tokens = 200;
    let frames = world.send(request).await;
    sleep(Duration::from_millis(100)).await;
    world.engine.inject(EngineFault::CutStreams);
    let answer = collect_answer(frames).await;
    expect_that!(answer.is_complete(), is_true());
    expect_that!(answer.text, eq(&expected_text(200)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn stream_forgotten_by_the_engine_is_refused_and_not_rerun() {
    let mut world = start().await;
    expect_that!(world.run_completion("a").await.is_complete(), is_true());
    let mut request = world.request("a");
    completion_mut(&mut request).max_tokens = 200;
    let frames = world.send(request).await;
    sleep(Duration::from_millis(100)).await;
    world.engine.inject(EngineFault::ForgetStreams);
    let answer = collect_answer(frames).await;
    expect_that!(
        answer.refusal(),
        some(eq((RefusalCode::EndpointLost, Outcome::MayHaveRun)))
    );
    expect_that!(expected_text(200).starts_with(&answer.text), is_true());
    expect_that!(world.engine.report().completions, eq(2));
}

/// Injects a fault into an engine during an answer of 500 tokens.
///
/// Returns the answer, and the time from the fault to the final frame.
async fn fault_during_answer(
    wrap: fn(FakeEngine) -> Arc<dyn Engine>,
    fault: EngineFault,
) -> (Answer, Duration) {
    let mut world = World::start_with_engine(FakeEngineConfig::default(), &["a"], wrap).await;
    expect_that!(world.run_completion("a").await.is_complete(), is_true());
    let mut request = world.request("a");
    completion_mut(&mut request).max_tokens = 500;
    let frames = world.send(request).await;
    sleep(Duration::from_millis(100)).await;
    world.engine.inject(fault);
    let started_at = Instant::now();
    let answer = collect_answer(frames).await;
    (answer, started_at.elapsed())
}

fn with_foreign_resume(engine: FakeEngine) -> Arc<dyn Engine> {
    let fault = StreamFault::Foreign;
    Arc::new(FaultyStreamEngine { engine, fault })
}

fn with_silent_cut(engine: FakeEngine) -> Arc<dyn Engine> {
    let fault = StreamFault::Silent;
    Arc::new(FaultyStreamEngine { engine, fault })
}

fn with_early_resume(engine: FakeEngine) -> Arc<dyn Engine> {
    let fault = StreamFault::Early;
    Arc::new(FaultyStreamEngine { engine, fault })
}

fn with_late_resume(engine: FakeEngine) -> Arc<dyn Engine> {
    let fault = StreamFault::Late;
    Arc::new(FaultyStreamEngine { engine, fault })
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn stream_is_not_resumed_on_a_restarted_engine() {
    let (answer, _elapsed) = fault_during_answer(with_foreign_resume, EngineFault::Crash).await;
    expect_that!(
        answer.refusal(),
        some(eq((RefusalCode::EndpointLost, Outcome::MayHaveRun)))
    );
    expect_that!(answer.text, not(contains_substring("another")));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn engine_restart_ends_answers_on_silent_connections() {
    let (answer, elapsed) = fault_during_answer(with_silent_cut, EngineFault::Crash).await;
    expect_that!(
        answer.refusal(),
        some(eq((RefusalCode::EndpointLost, Outcome::MayHaveRun)))
    );
    expect_that!(elapsed.as_millis(), le(1_200));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn repeated_tokens_are_delivered_once() {
    let (answer, _elapsed) = fault_during_answer(with_early_resume, EngineFault::CutStreams).await;
    expect_that!(answer.is_complete(), is_true());
    expect_that!(answer.text, eq(&expected_text(500)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn answer_with_missing_tokens_is_refused_and_not_spliced() {
    let (answer, _elapsed) = fault_during_answer(with_late_resume, EngineFault::CutStreams).await;
    expect_that!(
        answer.refusal(),
        some(eq((RefusalCode::EndpointLost, Outcome::MayHaveRun)))
    );
    expect_that!(expected_text(500).starts_with(&answer.text), is_true());
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn duplicate_attempt_attaches_to_the_running_one() {
    let mut world = start().await;
    let request = world.request("a");
    let first = world.send(request.clone()).await;
    let second = world.send(request).await;
    expect_that!(collect_answer(first).await.text, eq(&expected_text(20)));
    expect_that!(collect_answer(second).await.text, eq(&expected_text(20)));
    expect_that!(world.engine.report().completions, eq(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn an_attempt_is_resumed_from_any_frame() {
    let mut world = start().await;
    let request = world.request("a");
    let attempt = attempt_ref(&request);
    expect_that!(
        collect_answer(world.send(request).await)
            .await
            .is_complete(),
        is_true()
    );
    let (frames, mut resumed) = mpsc::unbounded_channel();
    let known = world
        .handle
        .ask(|reply| AgentEvent::Resume {
            attempt,
            offset: 18,
            frames,
            reply,
        })
        .await;
    expect_that!(known, some(is_true()));
    let mut offsets = Vec::new();
    while let Some(frame) = resumed.recv().await {
        offsets.push(frame.offset);
    }
    expect_that!(offsets, eq(&vec![18, 19, 20]));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn cancelled_attempt_is_refused_and_frees_its_capacity() {
    let mut world = start_with_one_batch_slot().await;
    let mut request = world.request("a");
    completion_mut(&mut request).max_tokens = 10_000;
    let attempt = attempt_ref(&request);
    let frames = world.send(request).await;
    sleep(Duration::from_millis(100)).await;
    world.handle.send(AgentEvent::Cancel(attempt)).await;
    expect_that!(
        collect_answer(frames).await.refusal(),
        some(eq((RefusalCode::Cancelled, Outcome::MayHaveRun)))
    );
    expect_that!(world.run_completion("a").await.is_complete(), is_true());
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn suspect_attempt_runs_alone() {
    let mut world = start().await;
    expect_that!(world.run_completion("a").await.is_complete(), is_true());
    let mut earlier = world.request("a");
    completion_mut(&mut earlier).max_tokens = 100;
    let earlier = world.send(earlier).await;
    let mut suspect = world.request("a");
    suspect.suspect = true;
    suspect.time_left_ms = 10_000;
    world.engine.inject(EngineFault::CrashOnDigest {
        digest: suspect.digest.clone(),
    });
    let suspect = world.send(suspect).await;
    let later = world.request("a");
    let later = world.send(later).await;
    expect_that!(collect_answer(earlier).await.is_complete(), is_true());
    let code = collect_answer(suspect)
        .await
        .refusal()
        .map(|(code, _)| code);
    expect_that!(code, some(eq(RefusalCode::EndpointLost)));
    let outcome = collect_answer(later)
        .await
        .refusal()
        .map(|(_, outcome)| outcome);
    expect_that!(outcome, not(some(eq(Outcome::MayHaveRun))));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_quarantined_request_is_refused() {
    let mut world = start().await;
    let request = world.request("a");
    let entry = QuarantineEntry {
        digest: request.digest.clone(),
        active: true,
        crashes: 2,
        reason: "crashed two endpoints".into(),
        decided_unix_ms: 1,
    };
    world
        .handle
        .send(AgentEvent::PushQuarantine(vec![entry]))
        .await;
    expect_that!(
        collect_answer(world.send(request).await).await.refusal(),
        some(eq((RefusalCode::Quarantined, Outcome::NotRun)))
    );
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_caller_removed_by_a_newer_revision_is_refused() {
    let mut world = start().await;
    let other = CallerItem {
        name: "someone-else".into(),
        owner: "field".into(),
        token_sha256: Digest::from("0"),
        class: Class::Standard,
        models: vec!["*".into()],
        applications: Vec::new(),
        rate_per_s: 1,
        burst: 1,
        concurrent_max: 1,
        body_bytes_max: 1,
        weight: 1,
    };
    world.router.set_inventory(Snapshot {
        revision: 2,
        rows: vec![ItemRow {
            item: Item::Caller(other),
            revision: 2,
            change_id: "c".into(),
            operator: "root".into(),
        }],
    });
    sleep(Duration::from_secs(2)).await;
    expect_that!(world.status().await.revision, eq(2));
    expect_that!(
        world.run_completion("a").await.refusal(),
        some(eq((RefusalCode::Forbidden, Outcome::NotRun)))
    );
}
