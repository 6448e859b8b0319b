//! The operator of the stress command: raises the longest keep-alive of one rule
//! again and again and checks that no accepted change is reverted.

use std::sync::Arc;
use std::time::Duration;

use chicorystage_api::admin::{ChangeAnswer, ChangeStatus};
use chicorystage_api::inventory::{Change, Item, ItemChange, ItemRow, RuleItem};
use http::{Method, StatusCode};
use rand::RngExt;
use tokio::time::{sleep, timeout};

use crate::calls::CallerRequest;
use crate::chaos::shared_state::SharedState;
use crate::chaos::{MODELS, REPLICAS_MAX};

/// Time between two changes, in milliseconds.
const CHANGE_INTERVAL_MS: u64 = 500;
/// Timeout of an admin call, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 20_000;
/// Base of the rule's longest keep-alive, to which the number of the change is added.
const VALUE_BASE_MS: u64 = 1_000_000;
/// Number of the random number stream of the operator.
const RNG_STREAM: u64 = 900;
const ITEMS_PATH: &str = "/admin/v1/items/rule/m-1";

/// Changes the rule through random routers until the run ends.
pub(super) async fn run(shared: Arc<SharedState>) {
    let mut rng = shared.rng(RNG_STREAM);
    let mut seen = vec![(0, 0); shared.routers.len()];
    let mut number = 0;
    while !shared.is_stopped() {
        let router = rng.random_range(0..shared.routers.len());
        let kills = shared.routers[router].kills();
        if let Some(found) = read_rule(&shared, router).await {
            check_read(&shared, router, kills, &mut seen[router], found.as_ref());
            number += 1;
            let expected = found.map(|row| row.revision);
            let value_ms = VALUE_BASE_MS + number;
            if change_rule(&shared, router, expected, value_ms).await {
                let mut tally = shared.tally();
                tally.changes_accepted += 1;
                tally.change_value_ms = value_ms;
            }
        }
        sleep(Duration::from_millis(CHANGE_INTERVAL_MS)).await;
    }
}

/// Checks that every router has applied the last accepted change or a later one.
///
/// A later one may be a change whose answer was lost.
pub(super) async fn check_final(shared: &SharedState) {
    for router in 0..shared.routers.len() {
        let found = read_rule(shared, router).await.flatten();
        let value_ms = found.as_ref().map_or(0, rule_value_ms);
        let mut tally = shared.tally();
        if value_ms < tally.change_value_ms {
            tally.changes_reverted += 1;
            let accepted_ms = tally.change_value_ms;
            tally.add_note(format!(
                "router {router} has applied {value_ms} at the end, but {accepted_ms} was accepted"
            ));
        }
    }
}

/// Checks that a router's value did not decrease since the last read.
///
/// `seen` holds the router's kill count and its value at the last read. The
/// check is skipped where the router was killed in between, as a new
/// process may start from an older value.
fn check_read(
    shared: &SharedState,
    router: usize,
    kills: u32,
    seen: &mut (u32, u64),
    found: Option<&ItemRow>,
) {
    let value_ms = found.map_or(0, rule_value_ms);
    if seen.0 == kills && value_ms < seen.1 {
        let mut tally = shared.tally();
        tally.changes_reverted += 1;
        let before_ms = seen.1;
        tally.add_note(format!(
            "router {router} went from {before_ms} back to {value_ms}"
        ));
    }
    *seen = (kills, value_ms);
}

/// Reads the rule at a router.
///
/// Returns `None` where the router gives no usable answer, `Some(None)` where
/// the rule does not exist yet.
async fn read_rule(shared: &SharedState, router: usize) -> Option<Option<ItemRow>> {
    let request = CallerRequest::new(Method::GET, ITEMS_PATH, &shared.root_token, "");
    let limit = Duration::from_millis(CALL_TIMEOUT_MS);
    let answer = timeout(limit, shared.send_admin(router, &request)).await;
    let answer = answer.ok()?.ok()?;
    match answer.status {
        StatusCode::OK => serde_json::from_str(&answer.body).ok(),
        StatusCode::NOT_FOUND => Some(None),
        _ => None,
    }
}

/// Sends a change of the rule and returns whether the answer says that it was accepted.
async fn change_rule(
    shared: &SharedState,
    router: usize,
    expected: Option<u64>,
    value_ms: u64,
) -> bool {
    let item = Item::Rule(RuleItem {
        model: MODELS[0].into(),
        owner: "testbed".into(),
        replicas_max: REPLICAS_MAX,
        keep_alive_min_ms: 1_000,
        keep_alive_max_ms: value_ms,
    });
    let change = Change {
        change_id: format!("chaos-{value_ms}").into(),
        items: vec![ItemChange {
            key: item.key(),
            expected_revision: expected,
            item: Some(item),
        }],
        reason: "chaos".to_owned(),
    };
    let body = serde_json::to_string(&change).expect("message types serialise to JSON");
    let path = "/admin/v1/changes";
    let request = CallerRequest::new(Method::POST, path, &shared.root_token, body);
    let limit = Duration::from_millis(CALL_TIMEOUT_MS);
    let Ok(Ok(answer)) = timeout(limit, shared.send_admin(router, &request)).await else {
        return false;
    };
    let parsed: Option<ChangeAnswer> = serde_json::from_str(&answer.body).ok();
    parsed.is_some_and(|answer| answer.status == ChangeStatus::Accepted)
}

fn rule_value_ms(row: &ItemRow) -> u64 {
    match &row.item {
        Item::Rule(rule) => rule.keep_alive_max_ms,
        _ => 0,
    }
}
