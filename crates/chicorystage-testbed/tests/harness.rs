//! Real router and agent loops, connected in memory, serve callers also while links, VMs and the
//! table fail.

use chicorystage_api::inventory::{
    ApplicationItem, CallerItem, Change, Class, Item, ItemChange, ModelItem, ModelVersion,
    Operation,
};
use chicorystage_api::peer::PlacementRow;
use chicorystage_api::refusal::Outcome;
use chicorystage_borders::table::Table;
use chicorystage_core::token;
use chicorystage_testbed::calls::CallerRequest;
use chicorystage_testbed::fakes::{TableFault, answer_words};
use chicorystage_testbed::harness::{Harness, HarnessConfig, LinkFaults, VmCondition};
use googletest::prelude::*;
use tokio::time::{Duration, Instant, sleep};

const TOKEN: &str = "caller-token";
const PROMPT: &str = "is lot 12 dry enough";

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
    let application = ApplicationItem {
        name: "libro".into(),
        owner: "ledger".into(),
        group: "libro-socios".into(),
        operations: vec![Operation {
            method: "GET".into(),
            path_prefix: "/balances".into(),
            idempotent: true,
        }],
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
    let items = [
        Item::Model(model),
        Item::Application(application),
        Item::Caller(caller),
    ];
    let items = items.map(|item| ItemChange {
        key: item.key(),
        expected_revision: None,
        item: Some(item),
    });
    Change {
        change_id: "harness".into(),
        items: items.into(),
        reason: String::new(),
    }
}

async fn start_harness(config: HarnessConfig) -> Harness {
    let harness = Harness::start(config, "colmena-llm", "libro-socios");
    sleep(Duration::from_secs(1)).await;
    harness.apply(&inventory()).await;
    harness
}

fn expected_text(tokens: u32) -> String {
    answer_words(PROMPT, tokens).concat()
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn burst_at_all_routers_loads_one_replica_and_answers_every_caller() {
    let harness = start_harness(HarnessConfig::default()).await;
    let request = CallerRequest::completion(TOKEN, "moisture", PROMPT, 5);
    let sends = (0..12).map(|i| harness.send(i % 3, &request));
    for sent in futures_util::future::join_all(sends).await {
        expect_that!(sent.expect("answers").text(), eq(&expected_text(5)));
    }
    expect_that!(harness.ledger.highest(&"moisture".into()), eq(1));
    let balance = CallerRequest::new(
        http::Method::GET,
        "/v1/services/libro/balances/7",
        TOKEN,
        "",
    );
    let balance = harness.send(2, &balance).await.expect("answers");
    expect_that!(balance.is_served(), is_true());
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn streams_survive_cut_and_silent_connections() {
    for seed in 0..10 {
        let config = HarnessConfig {
            seed,
            ..HarnessConfig::default()
        };
        let harness = start_harness(config).await;
        harness.network.set_faults_default(LinkFaults {
            stream_cut_percent: 30,
            stream_silent_percent: 30,
            delay_max_ms: 20,
            ..LinkFaults::default()
        });
        let request = CallerRequest::streamed(TOKEN, "moisture", PROMPT, 40);
        let sends = (0..6).map(|i| harness.send(i % 3, &request));
        for sent in futures_util::future::join_all(sends).await {
            let sent = sent.expect("answers");
            expect_that!(sent.is_served(), is_true(), "seed {seed}: {}", sent.body);
            expect_that!(sent.text(), eq(&expected_text(40)));
        }
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn paused_router_answers_after_it_resumes() {
    let harness = start_harness(HarnessConfig::default()).await;
    harness.gate(0).set(VmCondition::Paused);
    let request = CallerRequest::completion(TOKEN, "moisture", PROMPT, 5);
    let start = Instant::now();
    let resume = async {
        sleep(Duration::from_secs(20)).await;
        harness.gate(0).set(VmCondition::Running);
    };
    let (sent, ()) = tokio::join!(harness.send(0, &request), resume);
    // The router's rules may have been replaced while it was paused, so it refuses requests
    // until it has confirmed its rules. It may confirm them before it reads this request, and
    // then serves it.
    let answer = sent.expect("answers");
    let refusal = answer.code().zip(answer.outcome());
    if !answer.is_served() {
        expect_that!(
            refusal,
            some(eq(&("stale_rules".to_owned(), Outcome::NotRun)))
        );
    }
    expect_that!(start.elapsed(), ge(Duration::from_secs(20)));
    sleep(Duration::from_secs(5)).await;
    let sent = harness.send(0, &request).await.expect("answers");
    expect_that!(sent.is_served(), is_true());
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn killed_router_disconnects_its_callers_and_serves_after_a_restart() {
    let mut harness = start_harness(HarnessConfig::default()).await;
    let request = CallerRequest::streamed(TOKEN, "moisture", PROMPT, 2_000);
    let kill = async {
        sleep(Duration::from_secs(2)).await;
        harness.kill(0);
    };
    let (sent, ()) = tokio::join!(harness.send(0, &request), kill);
    expect_that!(sent.is_ok_and(|answer| answer.is_served()), is_false());
    harness.restart(0);
    sleep(Duration::from_secs(5)).await;
    let request = CallerRequest::completion(TOKEN, "moisture", PROMPT, 5);
    let sent = harness.send(0, &request).await.expect("answers");
    expect_that!(sent.text(), eq(&expected_text(5)));
}

/// Returns the indices of the agents that hold a slot of the model.
async fn holders(harness: &Harness) -> Vec<usize> {
    let row = harness
        .table
        .get("placement/moisture")
        .await
        .expect("reads");
    let row = row.expect("the model has a slot");
    let row: PlacementRow = serde_json::from_str(&row.value).expect("parses");
    let agents = (0..3).map(|i| harness.agent(i));
    let holds_slot = |agent: &usize| row.slots.iter().any(|slot| slot.vm == *harness.vm(*agent));
    agents.filter(holds_slot).collect()
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn loss_of_two_vms_in_a_long_table_outage_causes_refusals_until_the_table_returns() {
    let harness = start_harness(HarnessConfig::default()).await;
    let request = CallerRequest::completion(TOKEN, "moisture", PROMPT, 5);
    let sent = harness.send(0, &request).await.expect("answers");
    expect_that!(sent.is_served(), is_true());
    let holder = holders(&harness).await[0];

    harness.table.set_fault(TableFault::Down);
    sleep(Duration::from_mins(1)).await;
    let warm = harness.send(1, &request).await.expect("answers");
    expect_that!(warm.is_served(), is_true(), "{}", warm.body);
    for removed in [holder, 2] {
        harness.kill(removed);
        harness.vms.remove(harness.vm(removed));
    }
    sleep(Duration::from_mins(5)).await;
    let refused = harness.send(0, &request).await.expect("answers");
    expect_that!(refused.is_served(), is_false());
    expect_that!(refused.outcome(), some(eq(Outcome::NotRun)));
    expect_that!(refused.headers.contains_key("retry-after"), is_true());

    harness.table.set_fault(TableFault::None);
    sleep(Duration::from_mins(2)).await;
    let moved = harness.send(0, &request).await.expect("answers");
    expect_that!(moved.text(), eq(&expected_text(5)));
    expect_that!(holders(&harness).await, not(contains(eq(&holder))));
    expect_that!(harness.ledger.highest(&"moisture".into()), le(2));
}
