//! Models that only the weight store can bring.

use chicorystage_api::name::{EndpointId, ModelName, ServiceName};
use chicorystage_core::fleet::{Choice, Prompt, Requirements, UncachedModel};
use googletest::prelude::*;

use crate::order_world::{MODELS, STORE_LOAD_MS, World, model};

const NOW_MS: u64 = 1_000;

/// Returns a world in which no engine has a copy of any model that it has not loaded.
fn world_without_copies() -> World {
    let mut world = World::new(7);
    world.is_fault_free = true;
    world.has_no_disk_copies = true;
    world
}

fn uncached(world: &World) -> Vec<UncachedModel> {
    let mut services = world.configuration.engines();
    let (service, spec) = services.next().expect("one service");
    world
        .tracker
        .uncached_models(world.now_ms, service, spec, &world.fleet)
}

fn requirements(model: &ModelName) -> Requirements {
    Requirements {
        service: ServiceName::from("llm"),
        model: Some(model.clone()),
        adapter: None,
        software: None,
        is_resumable: false,
        is_most_urgent: false,
        prompt: Prompt::default(),
        avoid: Vec::new(),
    }
}

#[test]
fn model_without_a_loaded_replica_or_copy_is_uncached() {
    let mut world = world_without_copies();
    world.run_ms(NOW_MS);
    let is_loaded = |model: &ModelName| {
        let mut engines = world.engines.values();
        engines.any(|engine| engine.loaded.contains_key(model))
    };
    let missing = (0..MODELS).map(model).filter(|model| !is_loaded(model));
    let expected: Vec<UncachedModel> = missing
        .map(|model| UncachedModel {
            model,
            load_ms: STORE_LOAD_MS,
        })
        .collect();
    assert_that!(expected.len(), gt(0));
    let found = uncached(&world);
    assert_that!(found.len(), eq(expected.len()));
    for model in &expected {
        assert_that!(found, contains(eq(model)));
    }
}

#[test]
fn model_with_a_copy_on_disk_is_cached() {
    let mut world = World::new(7);
    world.is_fault_free = true;
    world.run_ms(NOW_MS);
    assert_that!(uncached(&world), is_empty());
}

// An engine that has not reported may have the copy.
#[test]
fn nothing_is_uncached_before_all_engines_have_reported() {
    let mut world = world_without_copies();
    world
        .tracker
        .sync_engines(world.now_ms, &world.fleet, &world.configuration);
    assert_that!(
        world.tracker.engine(&EndpointId::from("e0")),
        some(anything())
    );
    assert_that!(uncached(&world), is_empty());
}

#[test]
fn unreachable_engine_does_not_hold_up_the_others() {
    let mut world = world_without_copies();
    world.run_ms(NOW_MS);
    let silent = EndpointId::from("e9");
    let mut entry = world
        .fleet
        .get(&EndpointId::from("e0"))
        .expect("known")
        .entry
        .clone();
    entry.id = silent.clone();
    world.fleet.registered(entry);
    world
        .tracker
        .sync_engines(world.now_ms, &world.fleet, &world.configuration);
    assert_that!(uncached(&world), is_empty());
    let endpoint = world.fleet.get_mut(&silent).expect("known");
    endpoint.unreachable(world.now_ms);
    assert_that!(uncached(&world), not(is_empty()));
}

// A caller learns at once when to come back instead of waiting in vain.
#[test]
fn uncached_model_is_expected_after_a_load_from_the_store() {
    let mut world = world_without_copies();
    let missing = model(MODELS - 1);
    let models = vec![UncachedModel {
        model: missing.clone(),
        load_ms: STORE_LOAD_MS,
    }];
    world.fleet.uncached_reported(models, 5_000);
    let ready_ms = |now_ms, choice: Choice| {
        world
            .fleet
            .ready_ms(now_ms, &requirements(&missing), &choice)
    };
    assert_that!(
        ready_ms(NOW_MS, Choice::NoModel),
        some(eq(NOW_MS + STORE_LOAD_MS))
    );
    assert_that!(ready_ms(NOW_MS, Choice::Full), none());
    // The list is too old.
    assert_that!(ready_ms(5_000, Choice::NoModel), none());
}
