//! Helpers that start three routers, submit changes to them and cut their links.

use chicorystage_api::admin::{ChangeAnswer, ChangeStatus, HistoryPage, ItemsPage};
use chicorystage_api::inventory::{
    CallerItem, Change, Class, Item, ItemChange, ModelItem, ModelVersion, OperatorItem, RuleItem,
};
use chicorystage_core::token;
use chicorystage_testbed::calls::{CallerAnswer, CallerRequest};
use chicorystage_testbed::harness::{Harness, HarnessConfig, LinkFaults, ROOT_TOKEN};
use http::Method;
use tokio::time::{Duration, sleep};

pub const CALLER_TOKEN: &str = "caller-token";
pub const ROUTERS: usize = 3;
/// Time within which every reachable router applies a change, in milliseconds.
pub const PROPAGATION_MS: u64 = 4_000;

/// Starts three routers and applies an inventory of one model, rule and caller.
pub async fn start_harness(seed: u64) -> Harness {
    let config = HarnessConfig {
        seed,
        routers: ROUTERS,
        engines: 0,
        services: 0,
        ..HarnessConfig::default()
    };
    let harness = Harness::start(config, "engines", "services");
    wait_ms(1_000).await;
    let items = vec![
        write(None, model("m", "field")),
        write(None, rule("m", 1)),
        write(None, caller()),
    ];
    let answer = submit(&harness, 0, &change("start", items)).await;
    assert_eq!(answer.status, 200, "{}", answer.body);
    wait_ms(PROPAGATION_MS).await;
    harness
}

pub async fn wait_ms(ms: u64) {
    sleep(Duration::from_millis(ms)).await;
}

pub fn model(name: &str, owner: &str) -> Item {
    Item::Model(ModelItem {
        name: name.into(),
        owner: owner.into(),
        group: "engines".into(),
        default_version: "v1".into(),
        versions: vec![ModelVersion {
            version: "v1".into(),
            memory_bytes: 1,
        }],
    })
}

pub fn rule(model: &str, replicas_max: u32) -> Item {
    Item::Rule(RuleItem {
        model: model.into(),
        owner: "field".into(),
        replicas_max,
        keep_alive_min_ms: 1,
        keep_alive_max_ms: 2,
    })
}

pub fn caller() -> Item {
    Item::Caller(CallerItem {
        name: "field-agents".into(),
        owner: "field".into(),
        token_sha256: token::sha256(CALLER_TOKEN.as_bytes()),
        class: Class::Interactive,
        models: vec!["*".into()],
        applications: Vec::new(),
        rate_per_s: 1_000,
        burst: 1_000,
        concurrent_max: 1_000,
        body_bytes_max: 1 << 20,
        weight: 1,
    })
}

pub fn operator(name: &str, token: &str, owner: &str) -> Item {
    Item::Operator(OperatorItem {
        name: name.into(),
        token_sha256: token::sha256(token.as_bytes()),
        owners: vec![owner.into()],
    })
}

pub fn write(expected_revision: Option<u64>, item: Item) -> ItemChange {
    ItemChange {
        key: item.key(),
        expected_revision,
        item: Some(item),
    }
}

pub fn delete(expected_revision: u64, item: &Item) -> ItemChange {
    ItemChange {
        key: item.key(),
        expected_revision: Some(expected_revision),
        item: None,
    }
}

pub fn change(id: &str, items: Vec<ItemChange>) -> Change {
    Change {
        change_id: id.into(),
        items,
        reason: String::new(),
    }
}

pub async fn submit(harness: &Harness, router: usize, change: &Change) -> CallerAnswer {
    submit_as(harness, router, change, ROOT_TOKEN).await
}

pub async fn submit_as(
    harness: &Harness,
    router: usize,
    change: &Change,
    token: &str,
) -> CallerAnswer {
    let body = serde_json::to_string(change).unwrap();
    let request = CallerRequest::new(Method::POST, "/admin/v1/changes", token, body);
    harness.send_admin(router, &request).await.unwrap()
}

pub async fn get(harness: &Harness, router: usize, path: &str) -> CallerAnswer {
    let request = CallerRequest::new(Method::GET, path, ROOT_TOKEN, "");
    harness.send_admin(router, &request).await.unwrap()
}

pub async fn items(harness: &Harness, router: usize) -> ItemsPage {
    let answer = get(harness, router, "/admin/v1/items").await;
    serde_json::from_str(&answer.body).unwrap()
}

pub async fn history(harness: &Harness) -> HistoryPage {
    let answer = get(harness, 0, "/admin/v1/history?after=0&limit=1000").await;
    serde_json::from_str(&answer.body).unwrap()
}

/// Returns the answer to a change if it was accepted.
pub fn accepted(answer: &CallerAnswer) -> Option<ChangeAnswer> {
    let answer: ChangeAnswer = serde_json::from_str(&answer.body).ok()?;
    (answer.status == ChangeStatus::Accepted).then_some(answer)
}

/// Sends a completion request and returns its refusal code, or an empty text.
///
/// The harness has no endpoints, so an admitted request is refused for that reason.
pub async fn call_refusal_code(harness: &Harness, router: usize) -> String {
    let request = CallerRequest::completion(CALLER_TOKEN, "m", "prompt", 1);
    let answer = harness.send(router, &request).await.unwrap();
    answer.code().unwrap_or_default()
}

/// Cuts or restores the links between a router and its peers, in both directions.
pub fn cut_from_peers(harness: &Harness, router: usize, cut_off: bool) {
    let faults = LinkFaults {
        cut_off,
        ..LinkFaults::default()
    };
    for peer in (0..ROUTERS).filter(|peer| *peer != router) {
        set_link(harness, router, peer, faults);
        set_link(harness, peer, router, faults);
    }
}

pub fn set_link(harness: &Harness, from: usize, to: usize, faults: LinkFaults) {
    let address = harness.address(to);
    harness
        .network
        .set_faults(harness.vm(from), address, faults);
}
