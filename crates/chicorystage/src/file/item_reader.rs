use std::str::FromStr;

use chicorystage_api::inventory::{
    AdapterItem, ApplicationItem, CallerItem, Class, Item, ItemKey, ItemKind, ModelItem,
    ModelVersion, Operation, OperatorItem, PolicyItem, RuleItem,
};
use chicorystaged::settings::IniReader;

use crate::file::item_fields::{Repeat, section_name};
use crate::file::size::Size;

const NAME: &str = "a name";
const NAMES: &str = "names separated by commas, or *";
const NUMBER: &str = "a whole number";
const SIZE: &str = "a whole number of bytes, or one with KiB, MiB or GiB";
const DIGEST: &str = "a SHA-256 digest of 64 lowercase hexadecimal digits";
const VERSIONS: &str = "versions with their memory, as in v1 8GiB, v2 9GiB";
const OPERATIONS: &str = "operations, as in GET /balances idempotent, POST /payouts once";
const CLASSES: &str = "interactive, standard or batch";

const RATE_PER_S_DEFAULT: u32 = 50;
const BURST_DEFAULT: u32 = 100;
const CONCURRENT_MAX_DEFAULT: u32 = 64;
const BODY_BYTES_MAX_DEFAULT: u64 = 1 << 20;
const WEIGHT_DEFAULT: u32 = 1;

/// Reads the section of one item; returns `None` if it added a finding that prevents the item.
pub fn read_item(reader: &mut IniReader, key: &ItemKey) -> Option<Item> {
    let section = section_name(key);
    let mut fields = SectionReader { reader, section };
    match key.kind {
        ItemKind::Model => fields.model(&key.name),
        ItemKind::Adapter => fields.adapter(&key.name),
        ItemKind::Application => fields.application(&key.name),
        ItemKind::Caller => fields.caller(&key.name),
        ItemKind::Operator => fields.operator(&key.name),
        ItemKind::Rule => fields.rule(&key.name),
        ItemKind::Policy => Some(fields.policy()),
    }
}

struct SectionReader<'a> {
    reader: &'a mut IniReader,
    section: String,
}

impl SectionReader<'_> {
    fn model(&mut self, name: &str) -> Option<Item> {
        let owner = self.text("owner", NAME);
        let group = self.text("group", NAME);
        let default_version = self.text("default_version", "one of the versions");
        let versions = self.entries("versions", VERSIONS, parse_version);
        Some(Item::Model(ModelItem {
            name: name.into(),
            owner: owner?.into(),
            group: group?.into(),
            default_version: default_version?.into(),
            versions: versions?,
        }))
    }

    fn adapter(&mut self, name: &str) -> Option<Item> {
        let owner = self.text("owner", NAME);
        let memory = self.required::<Size>("memory_bytes", SIZE);
        let Some((model, adapter)) = name.split_once(':') else {
            let section = self.section.clone();
            self.add_finding("", &section, "[adapter MODEL:NAME]");
            return None;
        };
        Some(Item::Adapter(AdapterItem {
            model: model.into(),
            name: adapter.into(),
            owner: owner?.into(),
            memory_bytes: memory?.0,
        }))
    }

    fn application(&mut self, name: &str) -> Option<Item> {
        let owner = self.text("owner", NAME);
        let group = self.text("group", NAME);
        let operations = self.entries("operations", OPERATIONS, parse_operation);
        Some(Item::Application(ApplicationItem {
            name: name.into(),
            owner: owner?.into(),
            group: group?.into(),
            operations: operations?,
        }))
    }

    fn caller(&mut self, name: &str) -> Option<Item> {
        let owner = self.text("owner", NAME);
        let token = self.text("token_sha256", DIGEST);
        let class = self.class();
        let models = self.names("models");
        let applications = self.names("applications");
        let rate_per_s = self.number("rate_per_s", RATE_PER_S_DEFAULT);
        let burst = self.number("burst", BURST_DEFAULT);
        let concurrent_max = self.number("concurrent_max", CONCURRENT_MAX_DEFAULT);
        let body_bytes_max = self.number("body_bytes_max", Size(BODY_BYTES_MAX_DEFAULT));
        let weight = self.number("weight", WEIGHT_DEFAULT);
        Some(Item::Caller(CallerItem {
            name: name.into(),
            owner: owner?.into(),
            token_sha256: token?.into(),
            class: class?,
            models: models.into_iter().map(Into::into).collect(),
            applications: applications.into_iter().map(Into::into).collect(),
            rate_per_s,
            burst,
            concurrent_max,
            body_bytes_max: body_bytes_max.0,
            weight,
        }))
    }

    fn operator(&mut self, name: &str) -> Option<Item> {
        let token = self.text("token_sha256", DIGEST);
        let owners = self.names("owners");
        Some(Item::Operator(OperatorItem {
            name: name.into(),
            token_sha256: token?.into(),
            owners: owners.into_iter().map(Into::into).collect(),
        }))
    }

    fn rule(&mut self, model: &str) -> Option<Item> {
        let owner = self.text("owner", NAME);
        let replicas_max = self.required("replicas_max", NUMBER);
        let keep_alive_min_ms = self.required("keep_alive_min_ms", NUMBER);
        let keep_alive_max_ms = self.required("keep_alive_max_ms", NUMBER);
        Some(Item::Rule(RuleItem {
            model: model.into(),
            owner: owner?.into(),
            replicas_max: replicas_max?,
            keep_alive_min_ms: keep_alive_min_ms?,
            keep_alive_max_ms: keep_alive_max_ms?,
        }))
    }

    fn policy(&mut self) -> Item {
        let default = PolicyItem::default();
        Item::Policy(PolicyItem {
            cold_start_weight_percent: self.number(
                "cold_start_weight_percent",
                default.cold_start_weight_percent,
            ),
            replicas_max_default: self.number("replicas_max_default", default.replicas_max_default),
            loads_concurrent_max: self.number("loads_concurrent_max", default.loads_concurrent_max),
            loads_per_s_max: self.number("loads_per_s_max", default.loads_per_s_max),
            adapter_fetches_max: self.number("adapter_fetches_max", default.adapter_fetches_max),
            retry_budget_percent: self.number("retry_budget_percent", default.retry_budget_percent),
            timeout_default_ms: self.number("timeout_default_ms", default.timeout_default_ms),
            timeout_max_ms: self.number("timeout_max_ms", default.timeout_max_ms),
        })
    }

    fn class(&mut self) -> Option<Class> {
        let given = self.text("class", CLASSES)?;
        let class = Class::from_name(&given);
        if class.is_none() {
            self.add_finding("class", &given, CLASSES);
        }
        class
    }

    /// Reads a list of names, which is empty if the key is absent or empty.
    fn names(&mut self, key: &str) -> Vec<String> {
        let given = self.reader.optional::<String>(&self.section, key, NAMES);
        let given = given.unwrap_or_default();
        let names = given.split(',').map(str::trim);
        names
            .filter(|name| !name.is_empty())
            .map(str::to_owned)
            .collect()
    }

    /// Reads a list of structured entries and adds a finding for each malformed one.
    ///
    /// Returns `None` if the key is absent or any entry is malformed.
    fn entries<T>(
        &mut self,
        key: &str,
        allowed: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<Vec<T>> {
        let given = self.text(key, allowed)?;
        let mut parsed = Vec::new();
        let mut all_parsed = true;
        for entry in given.split(',').map(str::trim) {
            if let Some(entry) = parse(entry) {
                parsed.push(entry);
                continue;
            }
            self.add_finding(key, entry, allowed);
            all_parsed = false;
        }
        all_parsed.then_some(parsed)
    }

    fn text(&mut self, key: &str, allowed: &str) -> Option<String> {
        self.required(key, allowed)
    }

    fn required<T: FromStr>(&mut self, key: &str, allowed: &str) -> Option<T> {
        self.reader.required(&self.section, key, allowed)
    }

    fn number<T: FromStr>(&mut self, key: &str, default: T) -> T {
        let allowed = if key.ends_with("_bytes_max") {
            SIZE
        } else {
            NUMBER
        };
        let given = self.reader.optional(&self.section, key, allowed);
        given.unwrap_or(default)
    }

    fn add_finding(&mut self, key: &str, given: &str, allowed: &str) {
        self.reader.add_finding(&self.section, key, given, allowed);
    }
}

fn parse_version(entry: &str) -> Option<ModelVersion> {
    let (version, memory) = entry.split_once(char::is_whitespace)?;
    let memory: Size = memory.trim().parse().ok()?;
    Some(ModelVersion {
        version: version.into(),
        memory_bytes: memory.0,
    })
}

fn parse_operation(entry: &str) -> Option<Operation> {
    let parts: Vec<&str> = entry.split_whitespace().collect();
    let [method, path_prefix, repeat] = parts.as_slice() else {
        return None;
    };
    Some(Operation {
        method: (*method).into(),
        path_prefix: (*path_prefix).into(),
        idempotent: Repeat::parse(repeat)? == Repeat::Idempotent,
    })
}
