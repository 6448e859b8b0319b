//! What the lease holder knows of an engine after reports and orders of others.

use std::collections::BTreeSet;

use chicorystage_api::name::{AdapterName, EndpointId, ModelName, ServiceName};
use chicorystage_core::fleet::LoadedModel;
use chicorystage_core::orders::{EngineRecord, EngineReport, Order, OrderKind};
use googletest::prelude::*;

const NOW_MS: u64 = 10_000;

fn report(sequence: u64, is_busy: bool, models: &[&str]) -> EngineReport {
    let models = models.iter().map(|model| LoadedModel {
        model: ModelName::from(*model),
        adapters: Vec::new(),
    });
    EngineReport {
        is_busy,
        sequence,
        models: models.collect(),
        ..EngineReport::default()
    }
}

fn unload(model: &str, expected_sequence: u64) -> Order {
    Order {
        endpoint: EndpointId::from("e"),
        model: ModelName::from(model),
        kind: OrderKind::Unload,
        expected_sequence,
    }
}

/// Returns the record of an engine that reported models `a` and `b` after ten orders.
fn record() -> EngineRecord {
    let mut record = EngineRecord::new(EndpointId::from("e"), ServiceName::from("llm"), Some(1));
    record.apply_report(NOW_MS, &report(10, false, &["a", "b"]));
    record
}

fn loaded(record: &EngineRecord) -> BTreeSet<&str> {
    record.loaded.keys().map(ModelName::as_str).collect()
}

// An engine accepts the unload that it is carrying out again, although its count has gone on.
#[test]
fn report_with_a_higher_count_than_assumed_replaces_the_list_of_models() {
    let mut record = record();
    let order = unload("a", 10);
    record.record_sent(order.clone(), NOW_MS + 400);
    record.outstanding = None;
    record.record_accepted(NOW_MS, &order, 0);
    record.reserve(NOW_MS, ModelName::from("x"));
    record.apply_report(NOW_MS + 200, &report(13, true, &["b", "c", "d"]));
    assert_that!(record.sequence, some(eq(13)));
    assert_that!(loaded(&record), eq(&BTreeSet::from(["b", "c", "d"])));
    assert_that!(record.loadable_reserved(NOW_MS + 200), none());
}

#[test]
fn order_that_was_sent_several_times_without_an_answer_takes_one_adapter_slot() {
    let mut record = record();
    let order = Order {
        kind: OrderKind::LoadAdapter(AdapterName::from("a1")),
        ..unload("a", 10)
    };
    record.record_sent(order, NOW_MS + 400);
    for sent in 1..4 {
        record.record_sent_again(NOW_MS + 400 * sent, NOW_MS + 400 * (sent + 1));
    }
    record.outstanding = None;
    assert_that!(record.adapter_count(), eq(1));
}

// The engine counts the unload when the last request that uses the adapter has ended.
#[test]
fn no_count_is_assumed_after_the_unload_of_a_used_adapter_is_accepted() {
    let mut record = record();
    let order = Order {
        kind: OrderKind::UnloadAdapter(AdapterName::from("a1")),
        ..unload("a", 10)
    };
    record.record_sent(order.clone(), NOW_MS + 400);
    record.outstanding = None;
    record.record_accepted(NOW_MS, &order, 0);
    assert_that!(record.can_accept_order(NOW_MS + 100), eq(false));
    record.apply_report(NOW_MS + 200, &report(10, false, &["a", "b"]));
    assert_that!(record.sequence, some(eq(10)));
}

#[test]
fn report_does_not_raise_the_count_while_an_order_has_no_answer() {
    let mut record = record();
    record.record_sent(unload("a", 10), NOW_MS + 400);
    record.apply_report(NOW_MS + 200, &report(13, false, &["b", "c", "d"]));
    assert_that!(record.sequence, some(eq(10)));
}
