//! Quarantine of a request that crashes every engine that runs it, while other requests are served.

use chicorystage_api::inventory::{
    CallerItem, Change, Class, Item, ItemChange, ModelItem, ModelVersion, RuleItem,
};
use chicorystage_core::token;
use chicorystage_testbed::calls::{CallerAnswer, CallerRequest};
use chicorystage_testbed::fakes::{EngineFault, answer_words};
use chicorystage_testbed::harness::{Harness, HarnessConfig};
use futures_util::future::join_all;
use googletest::prelude::*;
use tokio::time::{Duration, sleep};

const TOKEN: &str = "caller-token";
const POISON: &str = "poison in the prompt";
const ROUTERS: usize = 3;

fn inventory() -> Change {
    let model = ModelItem {
        name: "moisture".into(),
        owner: "field".into(),
        group: "colmena-llm".into(),
        default_version: "v1".into(),
        versions: vec![ModelVersion {
            version: "v1".into(),
            memory_bytes: 8 << 30,
        }],
    };
    let rule = RuleItem {
        model: "moisture".into(),
        owner: "field".into(),
        replicas_max: 3,
        keep_alive_min_ms: 0,
        keep_alive_max_ms: 600_000,
    };
    let caller = CallerItem {
        name: "field-agents".into(),
        owner: "field".into(),
        token_sha256: token::sha256(TOKEN.as_bytes()),
        class: Class::Interactive,
        models: vec!["*".into()],
        applications: vec!["*".into()],
        rate_per_s: 1_000,
        burst: 1_000,
        concurrent_max: 1_000,
        body_bytes_max: 1 << 20,
        weight: 1,
    };
    let items = [Item::Model(model), Item::Rule(rule), Item::Caller(caller)];
    let items = items.map(|item| ItemChange {
        key: item.key(),
        expected_revision: None,
        item: Some(item),
    });
    Change {
        change_id: "poison".into(),
        items: items.into(),
        reason: String::new(),
    }
}

async fn start_harness(seed: u64) -> Harness {
    let config = HarnessConfig {
        seed,
        routers: ROUTERS,
        services: 0,
        ..HarnessConfig::default()
    };
    let harness = Harness::start(config, "colmena-llm", "none");
    sleep(Duration::from_secs(1)).await;
    harness.apply(&inventory()).await;
    for engine in &harness.engines {
        engine.inject(EngineFault::CrashOnPrompt {
            text: POISON.to_owned(),
        });
    }
    harness
}

fn crash_count(harness: &Harness) -> u64 {
    let engines = harness.engines.iter();
    engines.map(|engine| engine.report().engine_run - 1).sum()
}

async fn complete(harness: &Harness, router: usize, prompt: &str) -> CallerAnswer {
    let request = CallerRequest::completion(TOKEN, "moisture", prompt, 20);
    harness.send(router, &request).await.expect("answers")
}

/// Sends harmless requests through all routers for two seconds and expects every answer.
async fn serve_harmless_requests(harness: &Harness) {
    let requests = (0..40).map(|i| async move {
        sleep(Duration::from_millis(i * 50)).await;
        let prompt = format!("is lot {i} dry");
        let answer = complete(harness, usize::try_from(i).unwrap() % ROUTERS, &prompt).await;
        expect_that!(answer.is_served(), is_true(), "{}", answer.body);
        expect_that!(answer.text(), eq(&answer_words(&prompt, 20).concat()));
    });
    join_all(requests).await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn request_resent_through_all_routers_crashes_two_engines_and_no_other_request_fails() {
    for seed in 0..5 {
        let harness = start_harness(seed).await;
        let poison = async {
            sleep(Duration::from_millis(500)).await;
            for i in 0..9 {
                let answer = complete(&harness, i % ROUTERS, POISON).await;
                expect_that!(answer.code(), some(eq("quarantined")), "{}", answer.body);
                sleep(Duration::from_millis(50)).await;
            }
        };
        tokio::join!(poison, serve_harmless_requests(&harness));
        expect_that!(crash_count(&harness), eq(2), "seed {seed}");
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn concurrent_copies_crash_at_most_two_engines_per_router() {
    for seed in 0..5 {
        let harness = start_harness(seed).await;
        let copies = (0..ROUTERS).map(|i| complete(&harness, i, POISON));
        for answer in join_all(copies).await {
            expect_that!(answer.is_served(), is_false());
        }
        let concurrent_crashes = crash_count(&harness);
        expect_that!(concurrent_crashes, le(2 * ROUTERS as u64), "seed {seed}");
        sleep(Duration::from_secs(1)).await;
        for router in 0..ROUTERS {
            let answer = complete(&harness, router, POISON).await;
            expect_that!(answer.code(), some(eq("quarantined")), "{}", answer.body);
        }
        expect_that!(crash_count(&harness), eq(concurrent_crashes), "seed {seed}");
    }
}
