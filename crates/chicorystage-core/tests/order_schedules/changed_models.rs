//! Engines that hold models which the configuration does not list, or not for their service.

use std::collections::{BTreeSet, HashMap};

use chicorystage_api::name::{EndpointId, VmId};
use googletest::prelude::*;
use proptest::prelude::*;

use crate::order_world::{
    DISK_LOAD_MS, MODEL_MB, MODELS, World, configuration_listing, configuration_of_size, model,
    waiting_for_models,
};
use crate::{config, hand_over_often};

proptest! {
    #![proptest_config(config())]

    // The simulated engine panics if an order would overcommit it.
    #[test]
    fn models_that_come_and_go_never_overcommit_an_engine(seed in any::<u64>()) {
        let mut world = World::new(seed);
        for version in 2..42 {
            world.run_ms(1_000);
            list_at_random(&mut world, version);
        }
    }

    // The new holder does not know the sizes of models that were dropped before.
    #[test]
    fn hand_overs_while_models_come_and_go_never_overcommit_an_engine(seed in any::<u64>()) {
        let mut world = World::new(seed);
        for version in 2..42 {
            world.run_ms(700);
            if world.random.random_bool(0.3) {
                world.hand_over();
            }
            list_at_random(&mut world, version);
        }
    }

    // An engine holds models of its own service, which the list of the other one lacks.
    #[test]
    fn engines_of_another_service_are_never_overcommitted(seed in any::<u64>()) {
        let mut world = World::new(seed);
        world.divide_services();
        hand_over_often(&mut world);
    }
}

/// Lists each model with a probability of two thirds.
fn list_at_random(world: &mut World, version: u64) {
    let listed: Vec<u32> = (0..MODELS)
        .filter(|_| world.random.random_bool(0.67))
        .collect();
    world.configuration = configuration_listing(version, listed);
}

/// Requests a model until it is loaded; returns the time that took, in milliseconds.
fn time_to_load_ms(world: &mut World, number: u32, limit_ms: u64) -> Option<u64> {
    let requested = model(number);
    let since_ms = world.now_ms;
    while world.now_ms < since_ms + limit_ms {
        let mut engines = world.engines.values();
        if engines.any(|engine| engine.loaded.contains_key(&requested)) {
            return Some(world.now_ms - since_ms);
        }
        let now_ms = world.now_ms;
        world.demand.record_requests(now_ms, &requested, 1, 3_000);
        let waiting = HashMap::from([(requested.clone(), 1)]);
        let report = waiting_for_models(now_ms, waiting);
        world
            .demand
            .update_waiting(now_ms, VmId::from("other"), report);
        world.step();
    }
    None
}

/// Returns a world without faults in which each engine holds three models that are listed no more.
fn world_of_dropped_models() -> World {
    let mut world = World::new(3);
    world.is_fault_free = true;
    for engine in world.engines.values_mut() {
        engine.loaded = (0..3).map(|i| (model(i), BTreeSet::new())).collect();
    }
    world.run_ms(1_000);
    world
}

// A model that is listed no more takes its memory until it is unloaded.
#[test]
fn model_is_loaded_in_place_of_one_that_is_listed_no_more() {
    let mut world = world_of_dropped_models();
    world.configuration = configuration_listing(2, (0..MODELS).filter(|i| *i != 2));
    let time_ms = time_to_load_ms(&mut world, 7, 5_000);
    assert_that!(time_ms, some(le(DISK_LOAD_MS * 3 / 2)));
}

// A holder that never saw their sizes has to unload all three first.
#[test]
fn new_holder_frees_an_engine_of_models_whose_sizes_it_does_not_know() {
    let mut world = world_of_dropped_models();
    world.configuration = configuration_listing(2, 3..MODELS);
    world.hand_over();
    let time_ms = time_to_load_ms(&mut world, 7, 10_000);
    assert_that!(time_ms, some(le(DISK_LOAD_MS * 3)));
}

// What the configuration says of a model's size does not change what an engine holds of it.
#[test]
fn held_model_keeps_its_size_when_the_configuration_lists_a_smaller_one() {
    let mut world = world_of_dropped_models();
    world.configuration = configuration_of_size(2, MODEL_MB / 2.0);
    time_to_load_ms(&mut world, 7, 5_000);
    let engines = world.engines.values();
    let loaded: Vec<usize> = engines.map(|engine| engine.loaded.len()).collect();
    assert_that!(loaded, each(le(&3)));
}

// Models of another service do not count as copies, whatever their names.
#[test]
fn engines_of_another_service_get_no_order_for_a_model() {
    let mut world = World::new(3);
    world.is_fault_free = true;
    world.divide_services();
    let missing = MODELS / 2 - 1;
    for engine in world.engines.values_mut() {
        engine.loaded.remove(&model(missing));
    }
    world.run_ms(1_000);
    time_to_load_ms(&mut world, missing, 5_000);
    let holder = |id: &str| {
        let engine = &world.engines[&EndpointId::from(id)];
        engine.loaded.contains_key(&model(missing))
    };
    assert_that!(holder("e0") || holder("e1"), eq(true));
    assert_that!(holder("e2") || holder("e3"), eq(false));
}
