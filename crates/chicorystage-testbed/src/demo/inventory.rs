use chicorystage_api::inventory::{
    ApplicationItem, CallerItem, Change, Class, Item, ItemChange, ModelItem, ModelVersion,
    Operation,
};
use chicorystage_api::name::Digest;
use chicorystage_core::token;

/// Token of the demo's operator.
pub(crate) const ROOT_TOKEN: &str = "demo-root-token";
/// Token of the demo's caller.
pub(crate) const CALLER_TOKEN: &str = "demo-caller-token";

const GIB: u64 = 1 << 30;

pub(crate) fn root_token_sha256() -> Digest {
    token::sha256(ROOT_TOKEN.as_bytes())
}

/// Returns the demo's inventory as one change.
pub(crate) fn sample() -> Change {
    let items = [model(), application(), caller()];
    let items = items.into_iter().map(|item| ItemChange {
        key: item.key(),
        expected_revision: None,
        item: Some(item),
    });
    Change {
        change_id: "demo-inventory".into(),
        items: items.collect(),
        reason: "demo".to_owned(),
    }
}

fn model() -> Item {
    Item::Model(ModelItem {
        name: "moisture".into(),
        owner: "field".into(),
        group: "colmena-llm".into(),
        default_version: "v1".into(),
        versions: vec![ModelVersion {
            version: "v1".into(),
            memory_bytes: 8 * GIB,
        }],
    })
}

fn application() -> Item {
    let operation = |method: &str, prefix: &str, idempotent| Operation {
        method: method.into(),
        path_prefix: prefix.into(),
        idempotent,
    };
    Item::Application(ApplicationItem {
        name: "libro-socios".into(),
        owner: "ledger".into(),
        group: "libro-socios".into(),
        operations: vec![
            operation("GET", "/balances", true),
            operation("POST", "/payouts", false),
        ],
    })
}

fn caller() -> Item {
    Item::Caller(CallerItem {
        name: "field-agents".into(),
        owner: "field".into(),
        token_sha256: token::sha256(CALLER_TOKEN.as_bytes()),
        class: Class::Interactive,
        models: vec!["*".into()],
        applications: vec!["*".into()],
        rate_per_s: 100,
        burst: 200,
        concurrent_max: 100,
        body_bytes_max: 1 << 20,
        weight: 1,
    })
}
