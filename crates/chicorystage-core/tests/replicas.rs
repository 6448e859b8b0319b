//! Replicas of an agent: how answers and engine statuses resolve orders and free memory.

use chicorystage_api::peer::ReplicaState;
use chicorystage_core::replicas::{
    BeginError, ObservedAdapter, ObservedReplica, ObservedState, OrderEnd, Replica, ReplicaKey,
    Replicas,
};
use googletest::prelude::*;

const IN_FLIGHT_MAX_MS: u64 = 100;
const TOTAL_BYTES: u64 = 100;

fn key(model: &str) -> ReplicaKey {
    ReplicaKey::new(&model.into(), &"v1".into())
}

fn observed(model: &str, adapters: &[(&str, u64)]) -> ObservedReplica {
    let adapters = adapters.iter().map(|(name, memory_bytes)| ObservedAdapter {
        name: (*name).into(),
        memory_bytes: *memory_bytes,
    });
    ObservedReplica {
        key: key(model),
        state: ObservedState::Loaded,
        memory_bytes: 60,
        adapters: adapters.collect(),
    }
}

fn status(replicas: &mut Replicas, observed: &[ObservedReplica], begun_ms: u64) {
    replicas.reconcile(TOTAL_BYTES, observed, begun_ms, IN_FLIGHT_MAX_MS);
}

/// Returns replicas with model `a` loaded at 20 ms, with 60 bytes.
fn with_a_loaded() -> Replicas {
    let mut replicas = Replicas::default();
    status(&mut replicas, &[], 1);
    let order = replicas.begin_load(&key("a"), 60, 10).expect("fits");
    replicas.end_order(order, OrderEnd::Done, 20);
    replicas
}

#[gtest]
fn an_unanswered_load_keeps_its_memory_until_no_order_can_be_in_flight() {
    let mut replicas = Replicas::default();
    status(&mut replicas, &[], 1);
    let order = replicas.begin_load(&key("a"), 60, 10).expect("fits");
    replicas.end_order(order, OrderEnd::Unknown, 20);
    status(&mut replicas, &[], 20 + IN_FLIGHT_MAX_MS);
    expect_that!(replicas.ledger().reserved_bytes(), eq(60));
    expect_that!(
        replicas.begin_load(&key("a"), 60, 130),
        err(eq(BeginError::Busy))
    );
    status(&mut replicas, &[], 21 + IN_FLIGHT_MAX_MS);
    expect_that!(replicas.ledger().reserved_bytes(), eq(0));
}

#[gtest]
fn status_requested_before_the_answer_does_not_resolve_the_order() {
    let mut replicas = with_a_loaded();
    status(&mut replicas, &[], 20);
    expect_that!(replicas.ledger().reserved_bytes(), eq(60));
    let order = replicas.begin_unload(&key("a"), 30).expect("idle");
    replicas.end_order(order, OrderEnd::Done, 40);
    status(&mut replicas, &[observed("a", &[])], 40);
    expect_that!(replicas.ledger().reserved_bytes(), eq(0));
}

#[gtest]
fn restarted_engine_frees_a_replica_only_after_its_adapter_order_is_resolved() {
    let mut replicas = with_a_loaded();
    let order = replicas
        .begin_adapter_load(&key("a"), &"tone".into(), 30, 30)
        .expect("fits");
    status(&mut replicas, &[], 40);
    expect_that!(replicas.ledger().reserved_bytes(), eq(90));
    status(&mut replicas, &[], 1_000);
    expect_that!(replicas.ledger().reserved_bytes(), eq(90));
    replicas.end_order(order, OrderEnd::Unknown, 1_010);
    status(&mut replicas, &[], 1_011 + IN_FLIGHT_MAX_MS);
    status(&mut replicas, &[], 1_112 + IN_FLIGHT_MAX_MS);
    expect_that!(replicas.ledger().reserved_bytes(), eq(0));
}

#[gtest]
fn a_replica_with_an_adapter_order_in_flight_is_not_unloaded() {
    let mut replicas = with_a_loaded();
    let order = replicas
        .begin_adapter_load(&key("a"), &"tone".into(), 30, 30)
        .expect("fits");
    expect_that!(
        replicas.begin_unload(&key("a"), 31),
        err(eq(BeginError::Busy))
    );
    replicas.end_order(order, OrderEnd::Done, 40);
    expect_that!(replicas.begin_unload(&key("a"), 41), ok(anything()));
}

#[gtest]
fn a_replica_in_use_is_not_unloaded() {
    let mut replicas = with_a_loaded();
    let acquired = replicas.acquire(&key("a"), None, 30).expect("loaded");
    expect_that!(
        replicas.begin_unload(&key("a"), 31),
        err(eq(BeginError::Busy))
    );
    replicas.release(&acquired, 40);
    expect_that!(replicas.begin_unload(&key("a"), 41), ok(anything()));
}

#[gtest]
fn release_of_a_lost_replica_does_not_release_its_successor() {
    let mut replicas = with_a_loaded();
    let lost = replicas.acquire(&key("a"), None, 30).expect("loaded");
    status(&mut replicas, &[], 40);
    let order = replicas.begin_load(&key("a"), 60, 50).expect("fits");
    replicas.end_order(order, OrderEnd::Done, 60);
    let _used = replicas.acquire(&key("a"), None, 70).expect("loaded");
    replicas.release(&lost, 80);
    expect_that!(
        replicas.begin_unload(&key("a"), 90),
        err(eq(BeginError::Busy))
    );
}

#[gtest]
fn unanswered_load_is_loaded_once_a_status_shows_it() {
    let mut replicas = Replicas::default();
    status(&mut replicas, &[], 1);
    let order = replicas.begin_load(&key("a"), 60, 10).expect("fits");
    status(&mut replicas, &[observed("a", &[])], 30);
    let state = replicas.get(&key("a")).map(Replica::state);
    expect_that!(state, some(eq(ReplicaState::Loaded)));
    expect_that!(replicas.end_order(order, OrderEnd::Unknown, 40), none());
}

#[gtest]
fn idle_time_is_counted_between_uses() {
    let mut replicas = with_a_loaded();
    let acquired = replicas.acquire(&key("a"), None, 50).expect("loaded");
    replicas.release(&acquired, 80);
    let total = replicas.idle_total_ms(100);
    expect_that!(total.get("a").copied(), some(eq(50)));
}
