//! Random schedules of load and unload orders: engines are never overcommitted.
//!
//! Orders, answers and status reports are lost, delayed or rejected, and engines restart. A
//! simulated engine fails the test as soon as an order would exceed its memory or its adapters.
//! Further tests cover the rate of loads from the weight store and the number of replicas.

mod changed_models;
mod former_orders;
mod order_world;
mod uncached;

use std::collections::{BTreeSet, HashMap};

use chicorystage_api::name::{EndpointId, ModelName, VmId};
use chicorystage_core::fleet::PeerLoad;
use googletest::prelude::*;
use order_world::{
    CEILING_FACTOR, DISK_LOAD_MS, LOADS_PER_S, MODELS, SCARCE_LOADS_PER_S, STEP_MS, STORE_LOAD_MS,
    WINDOW_MS, World, configuration_with_adapterless, model, waiting_for_models,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Time for which a report of requests in progress counts, in milliseconds.
const LOAD_VALID_MS: u64 = 1_500;

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::with_cases(24)
    }
}

proptest! {
    #![proptest_config(config())]

    // The simulated engine panics if an order would overcommit it.
    #[test]
    fn lost_and_late_orders_never_overcommit_an_engine(seed in any::<u64>()) {
        let mut world = World::new(seed);
        world.run_ms(40_000);
    }

    // The new holder knows neither its predecessor's last orders nor which adapters are in use.
    #[test]
    fn hand_overs_of_the_lease_never_overcommit_an_engine(seed in any::<u64>()) {
        hand_over_often(&mut World::new(seed));
    }

    #[test]
    fn hand_overs_never_overcommit_an_engine_that_ignores_epochs(seed in any::<u64>()) {
        let mut world = World::new(seed);
        world.ignore_epochs();
        hand_over_often(&mut world);
    }

    // Nothing is waited for there: no order to the process before reaches the next one.
    #[test]
    fn hand_overs_never_overcommit_engines_whose_processes_each_have_an_identity(
        seed in any::<u64>(),
    ) {
        let mut world = World::new(seed);
        world.ignore_epochs();
        world.give_new_identities();
        hand_over_often(&mut world);
    }

    #[test]
    fn loads_from_the_store_stay_under_the_ceiling(seed in any::<u64>()) {
        // Loads so short that busy engines alone would not limit the rate.
        let mut world = World::with_store(seed, 100, SCARCE_LOADS_PER_S);
        world.has_no_disk_copies = true;
        world.run_ms(40_000);
        let mut loads_ms: Vec<u64> = world.engines.values().flat_map(|engine| engine.store_loads_ms.clone()).collect();
        loads_ms.sort_unstable();
        let limit = SCARCE_LOADS_PER_S * 5.0 * CEILING_FACTOR + 3.0;
        for (i, start_ms) in loads_ms.iter().enumerate() {
            let within = loads_ms[i..].iter().filter(|at_ms| **at_ms < start_ms + WINDOW_MS).count();
            let within = f64::from(u32::try_from(within).expect("a small number"));
            prop_assert!(within <= limit, "{within} loads within {WINDOW_MS} ms");
        }
    }
}

// A restarted engine carries the late order out once it has accepted as many orders as before.
#[test]
fn late_order_to_an_earlier_process_of_an_engine_never_overcommits_it() {
    const SEED: u64 = 15_986_310_652_727_596_068;
    let mut world = World::new(SEED);
    world.run_ms(40_000);
}

// A restarted engine that ignores epochs carries out a late order that its new holder doesn't know.
#[test]
fn late_order_of_a_former_holder_never_overcommits_an_engine_that_ignores_epochs() {
    const SEED: u64 = 731_041_281_631_250_300;
    let mut world = World::new(SEED);
    world.ignore_epochs();
    hand_over_often(&mut world);
}

/// Passes the lease to and fro between two routers for 40 seconds.
fn hand_over_often(world: &mut World) {
    for _ in 0..50 {
        world.run_ms(800);
        world.hand_over();
    }
}

#[test]
fn requested_model_is_loaded_within_one_and_a_half_load_times() {
    let mut world = World::new(3);
    world.is_fault_free = true;
    world.run_ms(1_000);
    let requested = (0..MODELS)
        .map(model)
        .find(|model| {
            !world
                .engines
                .values()
                .any(|engine| engine.loaded.contains_key(model))
        })
        .expect("more models than the engines have memory for");
    let mut waited_ms = 0;
    while !world
        .engines
        .values()
        .any(|engine| engine.loaded.contains_key(&requested))
    {
        let waiting = HashMap::from([(requested.clone(), 1)]);
        let report = waiting_for_models(world.now_ms, waiting);
        world
            .demand
            .record_requests(world.now_ms, &requested, 1, 3_000);
        world
            .demand
            .update_waiting(world.now_ms, VmId::from("other"), report);
        world.step();
        waited_ms += STEP_MS;
        assert_that!(
            waited_ms,
            le(DISK_LOAD_MS * 3 / 2),
            "{requested} is not loaded"
        );
    }
}

/// Returns a world without faults that has run for its first second.
fn fault_free_world() -> World {
    let mut world = World::new(5);
    world.is_fault_free = true;
    world.run_ms(1_000);
    world
}

fn replica_count(world: &World, model: &ModelName) -> usize {
    let engines = world.engines.values();
    let loaded = engines.filter(|engine| engine.loaded.contains_key(model));
    loaded.count()
}

/// Returns the number of replicas after six seconds with `count` requests in progress.
fn replicas_with_requests_in_progress(count: u32) -> usize {
    let mut world = fault_free_world();
    let popular = model(0);
    for _ in 0..6_000 / STEP_MS {
        world.demand.record_requests(world.now_ms, &popular, 1, 300);
        report_requests_in_progress(&mut world, &popular, count);
        world.step();
    }
    replica_count(&world, &popular)
}

/// Reports `count` requests in progress, spread evenly over the engines that loaded the model.
fn report_requests_in_progress(world: &mut World, model: &ModelName, count: u32) {
    let endpoints: Vec<EndpointId> = world
        .engines
        .iter()
        .filter(|(_, engine)| engine.loaded.contains_key(model))
        .map(|(id, _)| id.clone())
        .collect();
    let share = count / u32::try_from(endpoints.len()).expect("a small number");
    let in_progress = endpoints
        .into_iter()
        .map(|id| ((id, Some(model.clone())), share));
    let load = PeerLoad {
        valid_until_ms: world.now_ms + LOAD_VALID_MS,
        in_progress: in_progress.collect(),
    };
    world.fleet.peer_load(VmId::from("gateway"), load);
}

// Sixty concurrent short requests for one model at one engine: beyond about a dozen requests per
// engine the pauses within answers exceed their objective, so the model needs more replicas.
#[test]
fn model_with_many_concurrent_requests_gets_replicas_within_seconds() {
    assert_that!(replicas_with_requests_in_progress(60), eq(4));
}

// Without concurrent requests a second replica would only take memory from another model.
#[test]
fn rarely_requested_model_keeps_one_replica() {
    let mut world = fault_free_world();
    let rare = model(1);
    for i in 0..6_000 / STEP_MS {
        if i % 50 == 0 {
            world.demand.record_requests(world.now_ms, &rare, 1, 3_000);
        }
        world.step();
    }
    assert_that!(replica_count(&world, &rare), eq(1));
}

// After a restart of the whole platform under heavy load, far more requests for one model are in
// progress than the engines that loaded it can serve.
#[test]
fn model_far_beyond_the_capacity_of_its_engines_gets_replicas() {
    assert_that!(replicas_with_requests_in_progress(400), eq(4));
}

// Three models with eleven requests each leave their engine of 32 slots none free, though none of
// them alone would crowd it.
#[test]
fn models_that_crowd_one_engine_together_get_replicas() {
    let mut world = fault_free_world();
    let crowded = EndpointId::from("e0");
    let models: Vec<ModelName> = world.engines[&crowded].loaded.keys().cloned().collect();
    assert_that!(models.len(), eq(3));
    let in_progress = models
        .iter()
        .map(|model| ((crowded.clone(), Some(model.clone())), 11));
    let load = PeerLoad {
        valid_until_ms: world.now_ms + 10_000,
        in_progress: in_progress.collect(),
    };
    world.fleet.peer_load(VmId::from("gateway"), load);
    let before: usize = models
        .iter()
        .map(|model| replica_count(&world, model))
        .sum();
    for i in 0..4_000 / STEP_MS {
        if i % 50 == 0 {
            for model in &models {
                world.demand.record_requests(world.now_ms, model, 1, 300);
            }
        }
        world.step();
    }
    let after: usize = models
        .iter()
        .map(|model| replica_count(&world, model))
        .sum();
    assert_that!(after, gt(before));
}

/// Returns a world whose engines all loaded the same models and have no copies of others on disk.
fn world_without_disk_copies(seed: u64) -> World {
    let mut world = World::new(seed);
    world.is_fault_free = true;
    world.has_no_disk_copies = true;
    for engine in world.engines.values_mut() {
        let loaded = (0..3).map(|i| (model(i), BTreeSet::new()));
        engine.loaded = loaded.collect();
    }
    world
}

fn store_loads(world: &World) -> usize {
    let engines = world.engines.values();
    engines.map(|engine| engine.store_loads_ms.len()).sum()
}

// Loads without demand would occupy a weight store that serves one load at a time, and delay the
// load of a busy model by half a minute.
#[test]
fn nothing_is_loaded_from_the_store_without_demand() {
    let mut world = World::new(7);
    world.is_fault_free = true;
    world.has_no_disk_copies = true;
    // Among models without demand, those with adapters rank above all loaded models.
    world.configuration = configuration_with_adapterless(STORE_LOAD_MS, LOADS_PER_S, MODELS - 2);
    world.run_ms(10_000);
    assert_that!(store_loads(&world), eq(0));
}

// Each engine has to unload a model first, so its load from the store has not started yet.
#[test]
fn loads_pending_behind_an_unload_count_as_store_loads() {
    let mut world = world_without_disk_copies(7);
    world.run_ms(1_000);
    for _ in 0..3_000 / STEP_MS {
        let waiting: HashMap<ModelName, u32> = (6..12).map(|i| (model(i), 1)).collect();
        for model in waiting.keys() {
            world.demand.record_requests(world.now_ms, model, 1, 300);
        }
        let router = VmId::from("other");
        let report = waiting_for_models(world.now_ms, waiting);
        world.demand.update_waiting(world.now_ms, router, report);
        world.step();
    }
    assert_that!(store_loads(&world), eq(1));
}
