use chicorystage_api::inventory::{Item, ItemKey, ItemKind};
use derive_more::Display;

use crate::file::size::size_text;

/// Returns the name of an item's section in an inventory file, without brackets.
#[must_use]
pub fn section_name(key: &ItemKey) -> String {
    match key.kind {
        ItemKind::Policy => "policy".to_owned(),
        kind => format!("{kind} {}", key.name),
    }
}

/// Returns an item's keys and values in the form that an inventory file uses.
#[must_use]
pub fn item_fields(item: &Item) -> Vec<(&'static str, String)> {
    match item {
        Item::Model(item) => {
            let versions = item.versions.iter();
            let versions = versions
                .map(|entry| format!("{} {}", entry.version, size_text(entry.memory_bytes)));
            vec![
                ("owner", item.owner.to_string()),
                ("group", item.group.to_string()),
                ("default_version", item.default_version.to_string()),
                ("versions", comma_separated(versions)),
            ]
        }
        Item::Adapter(item) => vec![
            ("owner", item.owner.to_string()),
            ("memory_bytes", size_text(item.memory_bytes)),
        ],
        Item::Application(item) => {
            let operations = item.operations.iter().map(|operation| {
                let repeat = Repeat::of(operation.idempotent);
                format!("{} {} {repeat}", operation.method, operation.path_prefix)
            });
            vec![
                ("owner", item.owner.to_string()),
                ("group", item.group.to_string()),
                ("operations", comma_separated(operations)),
            ]
        }
        Item::Caller(item) => vec![
            ("owner", item.owner.to_string()),
            ("token_sha256", item.token_sha256.to_string()),
            ("class", item.class.to_string()),
            ("models", comma_separated(&item.models)),
            ("applications", comma_separated(&item.applications)),
            ("rate_per_s", item.rate_per_s.to_string()),
            ("burst", item.burst.to_string()),
            ("concurrent_max", item.concurrent_max.to_string()),
            ("body_bytes_max", size_text(item.body_bytes_max)),
            ("weight", item.weight.to_string()),
        ],
        Item::Operator(item) => vec![
            ("token_sha256", item.token_sha256.to_string()),
            ("owners", comma_separated(&item.owners)),
        ],
        Item::Rule(item) => vec![
            ("owner", item.owner.to_string()),
            ("replicas_max", item.replicas_max.to_string()),
            ("keep_alive_min_ms", item.keep_alive_min_ms.to_string()),
            ("keep_alive_max_ms", item.keep_alive_max_ms.to_string()),
        ],
        Item::Policy(item) => vec![
            (
                "cold_start_weight_percent",
                item.cold_start_weight_percent.to_string(),
            ),
            (
                "replicas_max_default",
                item.replicas_max_default.to_string(),
            ),
            (
                "loads_concurrent_max",
                item.loads_concurrent_max.to_string(),
            ),
            ("loads_per_s_max", item.loads_per_s_max.to_string()),
            ("adapter_fetches_max", item.adapter_fetches_max.to_string()),
            (
                "retry_budget_percent",
                item.retry_budget_percent.to_string(),
            ),
            ("timeout_default_ms", item.timeout_default_ms.to_string()),
            ("timeout_max_ms", item.timeout_max_ms.to_string()),
        ],
    }
}

/// Word in an inventory file that states whether an operation may be repeated.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Repeat {
    #[display("idempotent")]
    Idempotent,
    #[display("once")]
    Once,
}

impl Repeat {
    pub(crate) fn of(idempotent: bool) -> Self {
        if idempotent {
            return Self::Idempotent;
        }
        Self::Once
    }

    pub(crate) fn parse(text: &str) -> Option<Self> {
        [Self::Idempotent, Self::Once]
            .into_iter()
            .find(|repeat| repeat.to_string() == text)
    }
}

fn comma_separated<T: ToString>(entries: impl IntoIterator<Item = T>) -> String {
    let entries: Vec<String> = entries.into_iter().map(|entry| entry.to_string()).collect();
    entries.join(", ")
}
