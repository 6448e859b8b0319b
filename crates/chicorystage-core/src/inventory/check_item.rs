//! Validation of one item, for each kind of item.

use std::collections::BTreeSet;

use chicorystage_api::inventory::{
    AdapterItem, ApplicationItem, CallerItem, Item, ItemKey, ItemKind, ModelItem, OperatorItem,
    PolicyItem, RuleItem,
};
use chicorystage_api::name::Digest;

use crate::inventory::Problem;
use crate::inventory::check::problem;
use crate::inventory::overlay::Overlay;

/// Wildcard for every item of a kind, or every owner.
const ANY: &str = "*";
const NAME_LEN_MAX: usize = 128;
const NAME_ALLOWED: &str = "1 to 128 letters, digits, '.', '_' or '-'";
const DIGEST_HEX_LEN: usize = 64;
const DIGEST_ALLOWED: &str = "a SHA-256 digest of 64 lowercase hexadecimal digits";
const POSITIVE: &str = "a whole number above 0";
const PERCENT_MAX: u32 = 100;
const METHODS: [&str; 6] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];

/// Adds a problem for every reason why `item` is invalid in the inventory after the change.
pub(crate) fn check_item(overlay: &Overlay<'_>, item: &Item, problems: &mut Vec<Problem>) {
    let mut check = Check {
        overlay,
        key: item.key(),
        problems,
    };
    match item {
        Item::Model(item) => check.model(item),
        Item::Adapter(item) => check.adapter(item),
        Item::Application(item) => check.application(item),
        Item::Caller(item) => check.caller(item),
        Item::Operator(item) => check.operator(item),
        Item::Rule(item) => check.rule(item),
        Item::Policy(item) => check.policy(item),
    }
}

struct Check<'a> {
    overlay: &'a Overlay<'a>,
    key: ItemKey,
    problems: &'a mut Vec<Problem>,
}

impl Check<'_> {
    fn model(&mut self, item: &ModelItem) {
        self.name("name", item.name.as_str());
        self.name("owner", item.owner.as_str());
        self.name("group", item.group.as_str());
        let mut seen = BTreeSet::new();
        for entry in &item.versions {
            self.name("versions", entry.version.as_str());
            self.positive(&format!("versions.{}", entry.version), entry.memory_bytes);
            if !seen.insert(&entry.version) {
                self.report("versions", entry.version.as_str(), "each version once");
            }
        }
        if item.version(None).is_none() {
            let given = item.default_version.as_str();
            self.report("default_version", given, "one of the versions");
        }
        let rule_key = ItemKey::new(ItemKind::Rule, item.name.as_str());
        if let Some(Item::Rule(rule)) = self.overlay.get(&rule_key)
            && rule.owner != item.owner
        {
            let allowed = format!("{}, the owner of {rule_key}", rule.owner);
            self.report_caused_by("owner", item.owner.as_str(), &allowed, rule_key);
        }
    }

    fn adapter(&mut self, item: &AdapterItem) {
        self.name("name", item.name.as_str());
        self.name("owner", item.owner.as_str());
        self.require_declared("model", ItemKind::Model, item.model.as_str());
        self.positive("memory_bytes", item.memory_bytes);
    }

    fn application(&mut self, item: &ApplicationItem) {
        self.name("name", item.name.as_str());
        self.name("owner", item.owner.as_str());
        self.name("group", item.group.as_str());
        let mut seen = BTreeSet::new();
        for operation in &item.operations {
            if !METHODS.contains(&&*operation.method) {
                self.report("operations", &operation.method, &METHODS.join(", "));
            }
            if !operation.path_prefix.starts_with('/') {
                self.report(
                    "operations",
                    &operation.path_prefix,
                    "a path beginning with /",
                );
            }
            if !seen.insert((&operation.method, &operation.path_prefix)) {
                self.report("operations", &operation.path_prefix, "each operation once");
            }
        }
    }

    fn caller(&mut self, item: &CallerItem) {
        self.name("name", item.name.as_str());
        self.name("owner", item.owner.as_str());
        self.digest(&item.token_sha256);
        for model in item.models.iter().filter(|name| name.as_str() != ANY) {
            self.require_declared("models", ItemKind::Model, model.as_str());
        }
        for name in item.applications.iter().filter(|name| name.as_str() != ANY) {
            self.require_declared("applications", ItemKind::Application, name.as_str());
        }
        self.positive("rate_per_s", item.rate_per_s.into());
        self.positive("burst", item.burst.into());
        self.positive("concurrent_max", item.concurrent_max.into());
        self.positive("body_bytes_max", item.body_bytes_max);
        self.positive("weight", item.weight.into());
    }

    fn operator(&mut self, item: &OperatorItem) {
        self.name("name", item.name.as_str());
        self.digest(&item.token_sha256);
        if item.owners.is_empty() {
            self.report("owners", "", "at least one owner, or *");
        }
        for owner in item.owners.iter().filter(|owner| owner.as_str() != ANY) {
            self.name("owners", owner.as_str());
        }
    }

    fn rule(&mut self, item: &RuleItem) {
        if item.keep_alive_min_ms > item.keep_alive_max_ms {
            let given = item.keep_alive_min_ms.to_string();
            self.report("keep_alive_min_ms", &given, "at most keep_alive_max_ms");
        }
        let model_key = ItemKey::new(ItemKind::Model, item.model.as_str());
        match self.overlay.get(&model_key) {
            Some(Item::Model(model)) if model.owner != item.owner => {
                let allowed = format!("{}, the owner of {model_key}", model.owner);
                self.report_caused_by("owner", item.owner.as_str(), &allowed, model_key);
            }
            Some(_) => {}
            None => self.require_declared("model", ItemKind::Model, item.model.as_str()),
        }
    }

    fn policy(&mut self, item: &PolicyItem) {
        self.percent("cold_start_weight_percent", item.cold_start_weight_percent);
        self.percent("retry_budget_percent", item.retry_budget_percent);
        self.positive("loads_concurrent_max", item.loads_concurrent_max.into());
        self.positive("loads_per_s_max", item.loads_per_s_max.into());
        self.positive("adapter_fetches_max", item.adapter_fetches_max.into());
        self.positive("timeout_default_ms", item.timeout_default_ms);
        if item.timeout_default_ms > item.timeout_max_ms {
            let given = item.timeout_default_ms.to_string();
            self.report("timeout_default_ms", &given, "at most timeout_max_ms");
        }
    }

    fn name(&mut self, field: &str, given: &str) {
        let allowed_char = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
        let well_formed = (1..=NAME_LEN_MAX).contains(&given.len());
        if !well_formed || !given.chars().all(allowed_char) {
            self.report(field, given, NAME_ALLOWED);
        }
    }

    fn positive(&mut self, field: &str, given: u64) {
        if given == 0 {
            self.report(field, "0", POSITIVE);
        }
    }

    fn percent(&mut self, field: &str, given: u32) {
        if given > PERCENT_MAX {
            self.report(field, &given.to_string(), "a whole number from 0 to 100");
        }
    }

    fn require_declared(&mut self, field: &str, kind: ItemKind, name: &str) {
        if !self.overlay.has(kind, name) {
            let allowed = format!("the name of a declared {kind}");
            self.report_caused_by(field, name, &allowed, ItemKey::new(kind, name));
        }
    }

    /// Checks that a token digest is well formed and belongs to no other caller or operator.
    ///
    /// A bearer token identifies its holder, so two holders must not share one.
    fn digest(&mut self, given: &Digest) {
        let text = given.as_str();
        let hex = |byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
        if text.len() != DIGEST_HEX_LEN || !text.bytes().all(hex) {
            // The value may be the secret token itself, so it is not repeated.
            self.report("token_sha256", "(hidden)", DIGEST_ALLOWED);
            return;
        }
        let has_digest = |item: &&Item| match item {
            Item::Caller(other) => other.token_sha256 == *given,
            Item::Operator(other) => other.token_sha256 == *given,
            _ => false,
        };
        let mut holders = self.overlay.items().filter(has_digest).map(Item::key);
        if let Some(other) = holders.find(|other| *other != self.key) {
            let allowed = format!("a token other than that of {other}");
            self.report_caused_by("token_sha256", "(hidden)", &allowed, other);
        }
    }

    fn report(&mut self, field: &str, given: &str, allowed: &str) {
        self.problems
            .push(problem(&self.key, field, given, allowed));
    }

    fn report_caused_by(&mut self, field: &str, given: &str, allowed: &str, cause: ItemKey) {
        let mut reported = problem(&self.key, field, given, allowed);
        reported.cause = Some(cause);
        self.problems.push(reported);
    }
}
