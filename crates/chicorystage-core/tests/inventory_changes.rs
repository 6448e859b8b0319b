//! Validation of inventory changes, and replicated state that applies records without gaps.

use chicorystage_api::inventory::{
    AdapterItem, ApplicationItem, CallerItem, Change, ChangeRecord, Class, Item, ItemChange,
    ItemKey, ModelItem, ModelVersion, Operation, OperatorItem, PolicyItem, RuleItem, Snapshot,
};
use chicorystage_core::inventory::{
    Applied, ChangeLog, InventoryState, check_change, check_rights, check_versions, diff,
};
use chicorystage_core::token;
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn model(name: &str, owner: &str) -> Item {
    Item::Model(ModelItem {
        name: name.into(),
        owner: owner.into(),
        group: "colmena-llm".into(),
        default_version: "v1".into(),
        versions: vec![ModelVersion {
            version: "v1".into(),
            memory_bytes: 1,
        }],
    })
}

fn adapter(model: &str, name: &str) -> Item {
    Item::Adapter(AdapterItem {
        model: model.into(),
        name: name.into(),
        owner: "field".into(),
        memory_bytes: 1,
    })
}

fn rule(model: &str, owner: &str) -> Item {
    Item::Rule(RuleItem {
        model: model.into(),
        owner: owner.into(),
        replicas_max: 0,
        keep_alive_min_ms: 1,
        keep_alive_max_ms: 2,
    })
}

fn caller(name: &str, token: &str) -> Item {
    Item::Caller(CallerItem {
        name: name.into(),
        owner: "field".into(),
        token_sha256: token::sha256(token.as_bytes()),
        class: Class::Standard,
        models: vec!["*".into()],
        applications: Vec::new(),
        rate_per_s: 1,
        burst: 1,
        concurrent_max: 1,
        body_bytes_max: 1,
        weight: 1,
    })
}

fn write(expected_revision: Option<u64>, item: Item) -> ItemChange {
    ItemChange {
        key: item.key(),
        expected_revision,
        item: Some(item),
    }
}

fn delete(expected_revision: u64, item: &Item) -> ItemChange {
    ItemChange {
        key: item.key(),
        expected_revision: Some(expected_revision),
        item: None,
    }
}

fn change(items: Vec<ItemChange>) -> Change {
    Change {
        change_id: "c".into(),
        items,
        reason: String::new(),
    }
}

fn record(revision: u64, items: Vec<ItemChange>) -> ChangeRecord {
    ChangeRecord {
        revision,
        change_id: format!("c{revision}").into(),
        operator: "root".into(),
        accepted_unix_ms: revision,
        reason: String::new(),
        items,
    }
}

/// Returns a state with model `m`, an adapter, a rule and a caller, all at revision 1.
fn state() -> InventoryState {
    let items = [
        model("m", "field"),
        adapter("m", "a"),
        rule("m", "field"),
        caller("c", "t"),
    ];
    let items = items.map(|item| write(None, item)).into();
    let mut state = InventoryState::default();
    state.apply(&record(1, items));
    state
}

fn findings(items: Vec<ItemChange>) -> Vec<String> {
    let problems = check_change(&state(), &change(items));
    let found = problems.into_iter().map(|problem| problem.finding);
    found
        .map(|finding| {
            format!("{} {}", finding.key, finding.field)
                .trim()
                .to_owned()
        })
        .collect()
}

fn edited(mut item: Item, edit: impl Fn(&mut Item)) -> Vec<ItemChange> {
    edit(&mut item);
    vec![write(None, item)]
}

#[gtest]
fn each_invalid_change_is_reported() {
    let no_version = |item: &mut Item| {
        if let Item::Model(model) = item {
            model.default_version = "v9".into();
        }
    };
    let no_memory = |item: &mut Item| {
        if let Item::Model(model) = item {
            model.versions[0].memory_bytes = 0;
        }
    };
    let no_rate = |item: &mut Item| {
        if let Item::Caller(caller) = item {
            caller.rate_per_s = 0;
            caller.token_sha256 = "plain-text-token".into();
        }
    };
    let policy = PolicyItem {
        cold_start_weight_percent: 101,
        timeout_default_ms: 2,
        timeout_max_ms: 1,
        ..PolicyItem::default()
    };
    let application = ApplicationItem {
        name: "x".into(),
        owner: "field".into(),
        group: "g".into(),
        operations: vec![Operation {
            method: "get".into(),
            path_prefix: "balances".into(),
            idempotent: true,
        }],
    };
    let cases: Vec<(Vec<ItemChange>, Vec<&str>)> = vec![
        (
            edited(model("n", "f"), no_version),
            vec!["model/n default_version"],
        ),
        (
            edited(model("n", "f"), no_memory),
            vec!["model/n versions.v1"],
        ),
        (edited(model("n n", "f"), |_| {}), vec!["model/n n name"]),
        (edited(adapter("x", "a"), |_| {}), vec!["adapter/x:a model"]),
        (edited(rule("x", "field"), |_| {}), vec!["rule/x model"]),
        (edited(rule("m", "other"), |_| {}), vec!["rule/m owner"]),
        (edited(model("m", "other"), |_| {}), vec!["model/m owner"]),
        (
            edited(caller("d", "t"), |_| {}),
            vec!["caller/d token_sha256"],
        ),
        (
            edited(caller("d", "u"), no_rate),
            vec!["caller/d token_sha256", "caller/d rate_per_s"],
        ),
        (
            edited(Item::Application(application), |_| {}),
            vec!["application/x operations", "application/x operations"],
        ),
        (
            vec![write(None, Item::Policy(policy))],
            vec![
                "policy/deployment cold_start_weight_percent",
                "policy/deployment timeout_default_ms",
            ],
        ),
        (
            vec![write(None, model("n", "f")), write(None, model("n", "f"))],
            vec!["model/n"],
        ),
        (
            vec![delete(1, &model("m", "field"))],
            vec!["model/m", "model/m"],
        ),
        (vec![delete(1, &model("n", "field"))], vec!["model/n"]),
        (
            vec![
                delete(1, &model("m", "field")),
                delete(1, &adapter("m", "a")),
                delete(1, &rule("m", "field")),
            ],
            vec![],
        ),
        (
            vec![write(None, model("n", "f")), write(None, adapter("n", "a"))],
            vec![],
        ),
    ];
    for (items, expected) in cases {
        let input = format!("{items:?}");
        expect_that!(findings(items), eq(&expected), "{input}");
    }
}

#[gtest]
fn invalid_token_hash_is_never_shown() {
    let items = edited(caller("d", "u"), |item| {
        if let Item::Caller(caller) = item {
            caller.token_sha256 = "plain-text-token".into();
        }
    });
    let problems = check_change(&state(), &change(items));
    expect_that!(
        format!("{problems:?}"),
        not(contains_substring("plain-text-token"))
    );
}

#[gtest]
fn operators_change_only_items_of_their_owners() {
    let operator = |owners: &[&str]| OperatorItem {
        name: "o".into(),
        token_sha256: token::sha256(b"o"),
        owners: owners.iter().map(|&owner| owner.into()).collect(),
    };
    let transferred = change(vec![write(Some(1), model("m", "export"))]);
    let new_operator = change(vec![write(None, Item::Operator(operator(&["*"])))]);
    let own = change(vec![write(Some(1), model("m", "field"))]);
    let forbidden = |owners: &[&str], change: &Change| {
        !check_rights(&state(), &operator(owners), change).is_empty()
    };
    expect_that!(forbidden(&["field"], &own), is_false());
    expect_that!(forbidden(&["export"], &own), is_true());
    expect_that!(forbidden(&["field"], &transferred), is_true());
    expect_that!(forbidden(&["export"], &transferred), is_true());
    expect_that!(forbidden(&["field", "export"], &transferred), is_false());
    expect_that!(forbidden(&["field"], &new_operator), is_true());
    expect_that!(forbidden(&["*"], &new_operator), is_false());
}

#[gtest]
fn unexpected_version_is_reported() {
    let outdated = |expected| {
        let change = change(vec![write(expected, model("m", "field"))]);
        !check_versions(&state(), &change).is_empty()
    };
    expect_that!(outdated(Some(1)), is_false());
    expect_that!(outdated(Some(2)), is_true());
    expect_that!(outdated(None), is_true());
}

#[gtest]
fn token_moved_to_another_caller_stays_valid() {
    let items = vec![delete(1, &caller("c", "t")), write(None, caller("b", "t"))];
    let reversed = items.iter().rev().cloned().collect();
    for items in [items, reversed] {
        let mut state = state();
        state.apply(&record(2, items));
        let found = state.caller_by_token(&token::sha256(b"t"));
        expect_that!(found.map(|caller| caller.name.as_str()), some(eq("b")));
    }
}

#[gtest]
fn kind_without_desired_items_is_left_unchanged() {
    let rows: Vec<_> = state().rows().cloned().collect();
    let desired = [rule("m", "field")];
    expect_that!(diff(&rows, &desired), is_empty());
    let desired = [adapter("m", "b")];
    let keys: Vec<String> = diff(&rows, &desired)
        .iter()
        .map(|diff| diff.change.key.to_string())
        .collect();
    expect_that!(keys, elements_are![eq("adapter/m:a"), eq("adapter/m:b")]);
}

/// Returns records of writes and deletes of four models with consecutive revisions.
fn records_of(writes: &[(u8, bool)]) -> Vec<ChangeRecord> {
    let mut state = InventoryState::default();
    let mut records = Vec::new();
    for (name, deletes) in writes {
        let item = model(&format!("m{}", name % 4), "field");
        let expected = state.row(&item.key()).map(|row| row.revision);
        let entry = match (deletes, expected) {
            (true, Some(revision)) => delete(revision, &item),
            _ => write(expected, item),
        };
        let record = record(state.revision() + 1, vec![entry]);
        state.apply(&record);
        records.push(record);
    }
    records
}

#[gtest]
fn records_in_any_order_never_revert_a_state() {
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let schedules = (
        prop::collection::vec(any::<(u8, bool)>(), 1..30),
        prop::collection::vec((any::<prop::sample::Index>(), any::<bool>()), 1..120),
    );
    let outcome = TestRunner::new_with_rng(config, rng).run(&schedules, |(writes, deliveries)| {
        let records = records_of(&writes);
        let mut expected_states = vec![InventoryState::default()];
        for record in &records {
            let mut next = expected_states.last().unwrap().clone();
            prop_assert_eq!(next.apply(record), Applied::Advanced);
            expected_states.push(next);
        }
        let mut state = InventoryState::default();
        let mut log = ChangeLog::new(8);
        for (index, as_snapshot) in &deliveries {
            let i = index.index(records.len());
            let before = state.revision();
            if *as_snapshot {
                state.replace(expected_states[i + 1].snapshot());
            } else if state.apply(&records[i]) == Applied::Advanced {
                log.push(records[i].clone());
            }
            prop_assert!(state.revision() >= before);
            let revision = usize::try_from(state.revision()).unwrap();
            prop_assert_eq!(state.snapshot(), expected_states[revision].snapshot());
            if let Some(tail) = log.since(before) {
                let gapless = tail
                    .windows(2)
                    .all(|pair| pair[0].revision + 1 == pair[1].revision);
                prop_assert!(gapless && tail.iter().all(|record| record.revision > before));
            }
        }
        Ok(())
    });
    verify_that!(outcome.map_err(|error| error.to_string()), ok(eq(&()))).and_log_failure();
}

#[gtest]
fn an_older_snapshot_changes_nothing() {
    let mut state = state();
    let older = Snapshot {
        revision: 1,
        rows: Vec::new(),
    };
    expect_that!(state.replace(older), is_false());
    let key = ItemKey::parse("model/m").unwrap();
    expect_that!(state.row(&key), some(anything()));
}
