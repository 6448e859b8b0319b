//! Benchmarks of the inventory at its largest intended size: 280 models, 23,000 adapters.
//!
//! Run with `cargo bench -p chicorystage-core --bench inventory`.

use std::hint::black_box;

use chicorystage_api::inventory::{
    AdapterItem, Change, ChangeRecord, Item, ItemChange, ModelItem, ModelVersion,
};
use chicorystage_core::inventory::{InventoryState, check_change, check_versions};
use criterion::{Criterion, criterion_group, criterion_main};

const MODELS: usize = 280;
const ADAPTERS: usize = 23_000;

fn write(item: Item) -> ItemChange {
    ItemChange {
        key: item.key(),
        expected_revision: None,
        item: Some(item),
    }
}

fn model(i: usize) -> Item {
    Item::Model(ModelItem {
        name: format!("model-{i}").into(),
        owner: "owner".into(),
        group: "engines".into(),
        default_version: "v1".into(),
        versions: vec![ModelVersion {
            version: "v1".into(),
            memory_bytes: 8 << 30,
        }],
    })
}

fn adapter(i: usize) -> Item {
    Item::Adapter(AdapterItem {
        model: format!("model-{}", i % MODELS).into(),
        name: format!("adapter-{i}").into(),
        owner: "owner".into(),
        memory_bytes: 96 << 20,
    })
}

fn record(revision: u64, items: Vec<ItemChange>) -> ChangeRecord {
    ChangeRecord {
        revision,
        change_id: format!("change-{revision}").into(),
        operator: "root".into(),
        accepted_unix_ms: 0,
        reason: String::new(),
        items,
    }
}

fn full_state() -> InventoryState {
    let items = (0..MODELS).map(model).chain((0..ADAPTERS).map(adapter));
    let mut state = InventoryState::default();
    state.apply(&record(1, items.map(write).collect()));
    state
}

fn inventory(c: &mut Criterion) {
    let state = full_state();
    let json = serde_json::to_vec(&state.snapshot()).expect("message types serialise to JSON");
    println!("snapshot: {} bytes of JSON", json.len());
    let one = Change {
        change_id: "one".into(),
        items: vec![write(adapter(ADAPTERS))],
        reason: String::new(),
    };
    c.bench_function("judge a change of one adapter", |b| {
        b.iter(|| {
            (
                check_versions(&state, &one).len(),
                check_change(&state, &one).len(),
            )
        });
    });
    c.bench_function("apply a record of one adapter", |b| {
        let mut state = state.clone();
        b.iter(|| state.apply(&record(state.revision() + 1, one.items.clone())));
    });
    c.bench_function("clone for a snapshot", |b| {
        b.iter(|| state.snapshot().rows.len());
    });
    c.bench_function("serialise a snapshot", |b| {
        let snapshot = state.snapshot();
        b.iter(|| serde_json::to_vec(black_box(&snapshot)));
    });
    c.bench_function("start from a snapshot", |b| {
        b.iter(|| {
            let mut state = InventoryState::default();
            state.replace(serde_json::from_slice(black_box(&json)).expect("is a snapshot"))
        });
    });
}

criterion_group!(benches, inventory);
criterion_main!(benches);
