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

use crate::deceptive_engine::{Deceit, DeceptiveEngine};
use crate::world::{Answer, World, answer, reference, work};

async fn start() -> World {
    World::start(FakeEngineConfig::default(), &["a"]).await
}

/// Starts an agent with model `a` loaded, whose engine runs one completion at a time.
async fn start_narrow() -> World {
    let config = FakeEngineConfig {
        batch_slots: 1,
        ..FakeEngineConfig::default()
    };
    let mut world = World::start(config, &["a"]).await;
    expect_that!(world.ask("a").await.is_whole(), is_true());
    world
}

fn whole(tokens: u32) -> String {
    answer_words("is lot 12 dry enough", tokens).concat()
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_deadline_in_the_queue_is_refused_at_once() {
    let mut world = start().await;
    let mut request = world.request("a");
    request.time_left_ms = 100;
    let begun = Instant::now();
    let refused = answer(world.send(request).await).await;
    expect_that!(
        refused.refusal(),
        some(eq((RefusalCode::DeadlineExceeded, Outcome::NotRun)))
    );
    expect_that!(begun.elapsed().as_millis(), le(150));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_deadline_while_running_is_refused_as_may_have_run() {
    let mut world = start().await;
    expect_that!(world.ask("a").await.is_whole(), is_true());
    let mut request = world.request("a");
    request.time_left_ms = 200;
    work(&mut request).max_tokens = 10_000;
    let refused = answer(world.send(request).await).await;
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
async fn a_full_queue_refuses_with_a_delay_and_lets_a_higher_class_in() {
    let mut world = start_narrow().await;
    let mut waiting = Vec::new();
    for _ in 0..9 {
        let mut request = world.request("a");
        request.class = Class::Batch;
        waiting.push(world.send(request).await);
    }
    let mut request = world.request("a");
    request.class = Class::Batch;
    let refused = answer(world.send(request).await).await;
    expect_that!(
        refused.refusal(),
        some(eq((RefusalCode::Overloaded, Outcome::NotRun)))
    );
    let mut request = world.request("a");
    request.class = Class::Interactive;
    expect_that!(
        answer(world.send(request).await).await.is_whole(),
        is_true()
    );
    let mut served = 0;
    for frames in waiting {
        served += u32::from(answer(frames).await.is_whole());
    }
    expect_that!(served, eq(8));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn what_cannot_be_reached_before_its_deadline_is_refused_at_once() {
    let mut world = start_narrow().await;
    let mut waiting = Vec::new();
    for _ in 0..6 {
        let request = world.request("a");
        waiting.push(world.send(request).await);
    }
    let mut request = world.request("a");
    request.time_left_ms = 60;
    let refused = answer(world.send(request).await).await;
    expect_that!(
        refused.refusal(),
        some(eq((RefusalCode::DeadlineUnreachable, Outcome::NotRun)))
    );
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn an_engine_that_dies_loses_everything_that_ran_as_may_have_run() {
    let mut world = start().await;
    expect_that!(world.ask("a").await.is_whole(), is_true());
    let mut frames = Vec::new();
    for _ in 0..3 {
        let mut request = world.request("a");
        work(&mut request).max_tokens = 500;
        frames.push(world.send(request).await);
    }
    sleep(Duration::from_millis(100)).await;
    world.engine.inject(EngineFault::Crash);
    for frames in frames {
        expect_that!(
            answer(frames).await.refusal(),
            some(eq((RefusalCode::EndpointLost, Outcome::MayHaveRun)))
        );
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_cut_stream_is_resumed_where_the_engine_still_has_it() {
    let mut world = start().await;
    expect_that!(world.ask("a").await.is_whole(), is_true());
    let mut request = world.request("a");
    work(&mut request).max_tokens = 200;
    let frames = world.send(request).await;
    sleep(Duration::from_millis(100)).await;
    world.engine.inject(EngineFault::CutStreams);
    let answer = answer(frames).await;
    expect_that!(answer.is_whole(), is_true());
    expect_that!(answer.text, eq(&whole(200)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_stream_that_the_engine_forgot_is_lost_and_not_run_again() {
    let mut world = start().await;
    expect_that!(world.ask("a").await.is_whole(), is_true());
    let mut request = world.request("a");
    work(&mut request).max_tokens = 200;
    let frames = world.send(request).await;
    sleep(Duration::from_millis(100)).await;
    world.engine.inject(EngineFault::ForgetStreams);
    let answer = answer(frames).await;
    expect_that!(
        answer.refusal(),
        some(eq((RefusalCode::EndpointLost, Outcome::MayHaveRun)))
    );
    expect_that!(whole(200).starts_with(&answer.text), is_true());
    expect_that!(world.engine.report().completions, eq(2));
}

/// Injects a fault into an engine during an answer of 500 tokens.
///
/// Returns the answer, and the time from the fault to the final frame.
async fn fault_behind(
    wrap: fn(FakeEngine) -> Arc<dyn Engine>,
    fault: EngineFault,
) -> (Answer, Duration) {
    let mut world = World::start_behind(FakeEngineConfig::default(), &["a"], wrap).await;
    expect_that!(world.ask("a").await.is_whole(), is_true());
    let mut request = world.request("a");
    work(&mut request).max_tokens = 500;
    let frames = world.send(request).await;
    sleep(Duration::from_millis(100)).await;
    world.engine.inject(fault);
    let begun = Instant::now();
    let answer = answer(frames).await;
    (answer, begun.elapsed())
}

fn foreign(engine: FakeEngine) -> Arc<dyn Engine> {
    let deceit = Deceit::Foreign;
    Arc::new(DeceptiveEngine { engine, deceit })
}

fn silent(engine: FakeEngine) -> Arc<dyn Engine> {
    let deceit = Deceit::Silent;
    Arc::new(DeceptiveEngine { engine, deceit })
}

fn early(engine: FakeEngine) -> Arc<dyn Engine> {
    let deceit = Deceit::Early;
    Arc::new(DeceptiveEngine { engine, deceit })
}

fn late(engine: FakeEngine) -> Arc<dyn Engine> {
    let deceit = Deceit::Late;
    Arc::new(DeceptiveEngine { engine, deceit })
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_restarted_engine_is_never_asked_to_go_on_with_an_answer() {
    let (answer, _elapsed) = fault_behind(foreign, EngineFault::Crash).await;
    expect_that!(
        answer.refusal(),
        some(eq((RefusalCode::EndpointLost, Outcome::MayHaveRun)))
    );
    expect_that!(answer.text, not(contains_substring("another")));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_restart_ends_answers_also_where_their_connections_went_silent() {
    let (answer, elapsed) = fault_behind(silent, EngineFault::Crash).await;
    expect_that!(
        answer.refusal(),
        some(eq((RefusalCode::EndpointLost, Outcome::MayHaveRun)))
    );
    expect_that!(elapsed.as_millis(), le(1_200));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn tokens_that_come_twice_are_delivered_once() {
    let (answer, _elapsed) = fault_behind(early, EngineFault::CutStreams).await;
    expect_that!(answer.is_whole(), is_true());
    expect_that!(answer.text, eq(&whole(500)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn an_answer_with_missing_tokens_is_lost_and_not_spliced() {
    let (answer, _elapsed) = fault_behind(late, EngineFault::CutStreams).await;
    expect_that!(
        answer.refusal(),
        some(eq((RefusalCode::EndpointLost, Outcome::MayHaveRun)))
    );
    expect_that!(whole(500).starts_with(&answer.text), is_true());
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_second_copy_of_an_attempt_listens_to_the_first() {
    let mut world = start().await;
    let request = world.request("a");
    let first = world.send(request.clone()).await;
    let second = world.send(request).await;
    expect_that!(answer(first).await.text, eq(&whole(20)));
    expect_that!(answer(second).await.text, eq(&whole(20)));
    expect_that!(world.engine.report().completions, eq(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn an_attempt_is_resumed_from_any_frame() {
    let mut world = start().await;
    let request = world.request("a");
    let attempt = reference(&request);
    expect_that!(
        answer(world.send(request).await).await.is_whole(),
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
async fn a_cancelled_attempt_is_refused_and_frees_its_place() {
    let mut world = start_narrow().await;
    let mut request = world.request("a");
    work(&mut request).max_tokens = 10_000;
    let attempt = reference(&request);
    let frames = world.send(request).await;
    sleep(Duration::from_millis(100)).await;
    world.handle.send(AgentEvent::Cancel(attempt)).await;
    expect_that!(
        answer(frames).await.refusal(),
        some(eq((RefusalCode::Cancelled, Outcome::MayHaveRun)))
    );
    expect_that!(world.ask("a").await.is_whole(), is_true());
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_suspect_runs_alone() {
    let mut world = start().await;
    expect_that!(world.ask("a").await.is_whole(), is_true());
    let mut innocent = world.request("a");
    work(&mut innocent).max_tokens = 100;
    let innocent = world.send(innocent).await;
    let mut suspect = world.request("a");
    suspect.suspect = true;
    suspect.time_left_ms = 10_000;
    world.engine.inject(EngineFault::CrashOnDigest {
        digest: suspect.digest.clone(),
    });
    let suspect = world.send(suspect).await;
    let later = world.request("a");
    let later = world.send(later).await;
    expect_that!(answer(innocent).await.is_whole(), is_true());
    let code = answer(suspect).await.refusal().map(|(code, _)| code);
    expect_that!(code, some(eq(RefusalCode::EndpointLost)));
    let outcome = answer(later).await.refusal().map(|(_, outcome)| outcome);
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
        answer(world.send(request).await).await.refusal(),
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
        world.ask("a").await.refusal(),
        some(eq((RefusalCode::Forbidden, Outcome::NotRun)))
    );
}
