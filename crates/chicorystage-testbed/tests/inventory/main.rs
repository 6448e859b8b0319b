//! An accepted inventory change takes effect at all routers within seconds and is never
//! reverted.

mod schedules;
mod tables;
mod tool;
mod world;

use chicorystage_api::name::VmId;
use chicorystage_testbed::calls::CallerRequest;
use chicorystage_testbed::fakes::TableFault;
use chicorystage_testbed::harness::{LinkFaults, ROOT_TOKEN};
use googletest::prelude::*;
use http::{Method, StatusCode};

use crate::world::{
    CALLER_TOKEN, PROPAGATION_MS, ROUTERS, accepted, call_refusal_code, caller, change,
    cut_from_peers, delete, get, history, items, model, operator, rule, set_link, start_harness,
    submit, submit_as, wait_ms, write,
};

/// Longer than the freshness bound of the default settings with its retries, in
/// milliseconds.
const FRESHNESS_EXPIRED_MS: u64 = 5_000;
const LONG_OUTAGE_MS: u64 = 600_000;

#[gtest]
#[tokio::test(start_paused = true)]
async fn unanswered_commit_is_resolved_and_applied_once() {
    let harness = start_harness(1).await;
    harness
        .table
        .set_fault(TableFault::UnansweredNext { commits: 1 });
    let second = change("second", vec![write(Some(1), rule("m", 2))]);
    let first_answer = accepted(&submit(&harness, 0, &second).await);
    expect_that!(
        first_answer.as_ref().map(|answer| answer.revision),
        some(eq(2))
    );
    let resubmitted = accepted(&submit(&harness, 1, &second).await);
    expect_that!(resubmitted.map(|answer| answer.revision), some(eq(2)));
    expect_that!(history(&harness).await.head_revision, eq(2));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn lost_commit_is_resent_and_applied_once() {
    let harness = start_harness(2).await;
    harness.table.set_fault(TableFault::LostNext { commits: 1 });
    let second = change("second", vec![write(Some(1), rule("m", 2))]);
    let answer = accepted(&submit(&harness, 0, &second).await);
    expect_that!(answer.map(|answer| answer.revision), some(eq(2)));
    expect_that!(history(&harness).await.head_revision, eq(2));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn reused_change_id_is_rejected_for_a_different_change() {
    let harness = start_harness(3).await;
    let other = change("start", vec![write(Some(1), rule("m", 2))]);
    let answer = submit(&harness, 0, &other).await;
    expect_that!(answer.status, eq(StatusCode::UNPROCESSABLE_ENTITY));
    expect_that!(answer.code(), some(eq("idempotency_key_reused")));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn one_of_two_concurrent_writes_to_an_item_wins() {
    for seed in 10..16 {
        let harness = start_harness(seed).await;
        let delays = LinkFaults {
            delay_max_ms: 40,
            ..LinkFaults::default()
        };
        harness.network.set_faults_default(delays);
        let left = change("left", vec![write(Some(1), rule("m", 2))]);
        let right = change("right", vec![write(Some(1), rule("m", 3))]);
        let (left, right) = tokio::join!(submit(&harness, 0, &left), submit(&harness, 1, &right));
        expect_one_winner(&[left, right]);
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn either_a_new_rule_or_the_deletion_of_its_model_wins() {
    let harness = start_harness(4).await;
    let other = change("other", vec![write(None, model("n", "field"))]);
    submit(&harness, 0, &other).await;
    let ruled = change("ruled", vec![write(None, rule("n", 2))]);
    let deleted = change("deleted", vec![delete(2, &model("n", "field"))]);
    let answers = tokio::join!(submit(&harness, 0, &ruled), submit(&harness, 1, &deleted));
    expect_one_winner(&[answers.0, answers.1]);
    for (first, second, id) in [(0, 1, "x"), (1, 0, "y")] {
        let harness = start_harness(5).await;
        submit(&harness, 0, &other).await;
        let pair = [&ruled, &deleted];
        let winner = submit(&harness, 0, pair[first]).await;
        let loser = submit(&harness, 1, pair[second]).await;
        expect_one_winner(&[winner, loser]);
        expect_that!(history(&harness).await.head_revision, eq(3), "{id}");
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn either_a_write_or_a_deletion_of_an_item_wins() {
    let harness = start_harness(6).await;
    let changed = change("changed", vec![write(Some(1), rule("m", 2))]);
    let deleted = change("deleted", vec![delete(1, &rule("m", 1))]);
    let answers = tokio::join!(submit(&harness, 0, &changed), submit(&harness, 2, &deleted));
    expect_one_winner(&[answers.0, answers.1]);
}

fn expect_one_winner(answers: &[chicorystage_testbed::calls::CallerAnswer]) {
    let winners: Vec<_> = answers.iter().filter_map(accepted).collect();
    expect_that!(winners.len(), eq(1));
    let loser = answers
        .iter()
        .find(|answer| answer.status == StatusCode::CONFLICT);
    let conflicts = loser.map(|answer| answer.json()["conflicts"].clone());
    let winner = conflicts.map(|conflicts| conflicts[0]["winner"]["change_id"].clone());
    let winner = winner.as_ref().and_then(|id| id.as_str());
    expect_that!(winner, some(eq(winners[0].change_id.as_str())));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn router_that_misses_every_push_follows_the_head_row() {
    let harness = start_harness(7).await;
    let cut = LinkFaults {
        cut_off: true,
        ..LinkFaults::default()
    };
    set_link(&harness, 0, 2, cut);
    let second = change("second", vec![write(Some(1), rule("m", 2))]);
    let answer = accepted(&submit(&harness, 0, &second).await).unwrap();
    expect_that!(
        answer.unconfirmed,
        elements_are![eq(&VmId::from("entry-3"))]
    );
    wait_ms(PROPAGATION_MS).await;
    expect_that!(items(&harness, 2).await.revision, eq(2));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn change_without_a_majority_is_not_reported_as_accepted() {
    let harness = start_harness(8).await;
    cut_from_peers(&harness, 0, true);
    let second = change("second", vec![write(Some(1), rule("m", 2))]);
    let answer = submit(&harness, 0, &second).await;
    expect_that!(answer.json()["status"].as_str(), some(eq("committed")));
    expect_that!(
        answer.json()["unconfirmed"].as_array().map(Vec::len),
        some(eq(2))
    );
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn router_cut_from_the_table_receives_changes_from_its_peers() {
    let harness = start_harness(9).await;
    harness.gate(2).set_table_cut(true);
    wait_ms(LONG_OUTAGE_MS).await;
    let one_way = LinkFaults {
        cut_off: true,
        ..LinkFaults::default()
    };
    // Router 2 misses the pushes too and receives the change by polling its peers.
    set_link(&harness, 0, 2, one_way);
    set_link(&harness, 1, 2, one_way);
    let second = change("second", vec![write(Some(1), rule("m", 2))]);
    expect_that!(
        accepted(&submit(&harness, 0, &second).await),
        some(anything())
    );
    wait_ms(PROPAGATION_MS).await;
    expect_that!(items(&harness, 2).await.revision, eq(2));
    expect_that!(call_refusal_code(&harness, 2).await, not(eq("stale_rules")));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn router_cut_from_table_and_peers_stops_admitting_until_reconnected() {
    let harness = start_harness(20).await;
    harness.gate(2).set_table_cut(true);
    cut_from_peers(&harness, 2, true);
    let revoked = change("revoked", vec![delete(1, &caller())]);
    expect_that!(
        accepted(&submit(&harness, 0, &revoked).await),
        some(anything())
    );
    wait_ms(FRESHNESS_EXPIRED_MS).await;
    expect_that!(call_refusal_code(&harness, 2).await, eq("stale_rules"));
    expect_that!(call_refusal_code(&harness, 0).await, eq("unauthenticated"));
    cut_from_peers(&harness, 2, false);
    wait_ms(FRESHNESS_EXPIRED_MS).await;
    expect_that!(call_refusal_code(&harness, 2).await, eq("unauthenticated"));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn routers_keep_serving_through_a_long_table_outage_and_a_restart() {
    let mut harness = start_harness(21).await;
    harness.table.set_fault(TableFault::Down);
    wait_ms(LONG_OUTAGE_MS).await;
    for router in 0..ROUTERS {
        expect_that!(
            call_refusal_code(&harness, router).await,
            not(eq("stale_rules"))
        );
    }
    let second = change("second", vec![write(Some(1), rule("m", 2))]);
    let answer = submit(&harness, 0, &second).await;
    expect_that!(answer.json()["outcome"].as_str(), some(eq("not_run")));
    harness.restart(1);
    wait_ms(FRESHNESS_EXPIRED_MS).await;
    expect_that!(items(&harness, 1).await.revision, eq(1));
    expect_that!(call_refusal_code(&harness, 1).await, not(eq("stale_rules")));
    harness.kill(0);
    harness.kill(2);
    wait_ms(FRESHNESS_EXPIRED_MS).await;
    expect_that!(call_refusal_code(&harness, 1).await, eq("stale_rules"));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn new_process_reaches_the_head_with_or_without_the_object_store() {
    let mut harness = start_harness(22).await;
    for revision in 1..=140 {
        let id = format!("change-{revision}");
        let entry = write(Some(revision), rule("m", 1));
        let answer = submit(&harness, 0, &change(&id, vec![entry])).await;
        assert!(accepted(&answer).is_some(), "{}", answer.body);
    }
    let stored = get(&harness, 0, "/admin/v1/status").await;
    expect_that!(stored.json()["revision"].as_u64(), some(eq(141)));
    for objects_down in [false, true] {
        harness.objects.set_down(objects_down);
        harness.restart(1);
        wait_ms(PROPAGATION_MS).await;
        let page = items(&harness, 1).await;
        expect_that!(page.revision, eq(141));
        expect_that!(page.rows, eq(&items(&harness, 0).await.rows));
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn operators_change_only_items_of_their_owners() {
    let harness = start_harness(23).await;
    let names = [
        ("export", "t-export", "export"),
        ("field", "t-field", "field"),
    ];
    let operators = names.map(|(name, token, owner)| write(None, operator(name, token, owner)));
    submit(&harness, 0, &change("operators", operators.into())).await;
    let edit = change("edit", vec![write(Some(1), rule("m", 2))]);
    let refused = submit_as(&harness, 0, &edit, "t-export").await;
    expect_that!(refused.code(), some(eq("forbidden")));
    let unknown = submit_as(&harness, 0, &edit, "nobody").await;
    expect_that!(unknown.code(), some(eq("unauthenticated")));
    let own = submit_as(&harness, 0, &edit, "t-field").await;
    expect_that!(accepted(&own), some(anything()));
    let last = history(&harness).await.records.pop().unwrap();
    expect_that!(last.operator.as_str(), eq("field"));
    let drain = CallerRequest::new(Method::POST, "/admin/v1/drain/entry-2", "t-field", "");
    let drained = harness.send_admin(0, &drain).await.unwrap();
    expect_that!(drained.code(), some(eq("forbidden")));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn each_invalid_admin_request_is_refused_with_its_code() {
    let harness = start_harness(24).await;
    let bad_name = serde_json::to_string(&change("a b", vec![write(None, model("n", "f"))]));
    let empty = serde_json::to_string(&change("empty", Vec::new()));
    let invalid = serde_json::to_string(&change("bad", vec![write(None, rule("x", 1))]));
    let cases = [
        (
            Method::POST,
            "/admin/v1/changes",
            "{".to_owned(),
            "bad_json",
        ),
        (
            Method::POST,
            "/admin/v1/changes",
            bad_name.unwrap(),
            "bad_request",
        ),
        (
            Method::POST,
            "/admin/v1/changes",
            empty.unwrap(),
            "bad_request",
        ),
        (
            Method::POST,
            "/admin/v1/changes",
            invalid.unwrap(),
            "invalid_change",
        ),
        (
            Method::GET,
            "/admin/v1/items?kind=x",
            String::new(),
            "bad_request",
        ),
        (
            Method::GET,
            "/admin/v1/items/model/x",
            String::new(),
            "not_found",
        ),
        (
            Method::GET,
            "/admin/v1/history?limit=x",
            String::new(),
            "bad_request",
        ),
        (
            Method::POST,
            "/admin/v1/drain/x",
            String::new(),
            "not_found",
        ),
        (
            Method::DELETE,
            "/admin/v1/quarantine/x",
            String::new(),
            "not_found",
        ),
        (
            Method::GET,
            "/admin/v1/explain/x",
            String::new(),
            "not_found",
        ),
        (
            Method::GET,
            "/admin/v2/status",
            String::new(),
            "unknown_path",
        ),
        (
            Method::PUT,
            "/admin/v1/status",
            String::new(),
            "unknown_path",
        ),
    ];
    for (method, path, body, code) in cases {
        let request = CallerRequest::new(method, path, ROOT_TOKEN, body);
        let answer = harness.send_admin(0, &request).await.unwrap();
        expect_that!(answer.code(), some(eq(code)), "{path}");
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn any_router_explains_a_request_and_status_lists_all_routers() {
    let harness = start_harness(25).await;
    let request = CallerRequest::completion(CALLER_TOKEN, "m", "prompt", 1);
    let answer = harness.send(1, &request).await.unwrap();
    let path = format!("/admin/v1/explain/{}", answer.request_id());
    for router in 0..ROUTERS {
        let explained = get(&harness, router, &path).await;
        expect_that!(
            explained.json()["request_id"].as_str(),
            some(eq(answer.request_id()))
        );
    }
    harness.kill(2);
    let status = get(&harness, 0, "/admin/v1/status").await.json();
    let routers = status["routers"].as_array().unwrap();
    let revisions: Vec<Option<u64>> = routers
        .iter()
        .map(|router| router["status"]["revision"].as_u64())
        .collect();
    expect_that!(revisions, elements_are![some(eq(&1)), some(eq(&1)), none()]);
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_request_waits_for_the_read_that_confirms_the_rules() {
    let harness = start_harness(26).await;
    harness.gate(2).set_table_cut(true);
    cut_from_peers(&harness, 2, true);
    wait_ms(FRESHNESS_EXPIRED_MS).await;
    expect_that!(call_refusal_code(&harness, 2).await, eq("stale_rules"));
    harness.gate(2).set_table_cut(false);
    expect_that!(call_refusal_code(&harness, 2).await, not(eq("stale_rules")));
}
