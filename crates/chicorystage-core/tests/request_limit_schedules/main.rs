//! Random schedules of gateways that divide the limit of an endpoint.

mod world;

use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::world::{Schedule, World};

/// Length of the windows in which the platform counts arrivals, in milliseconds.
const WINDOW_MS: u64 = 4_000;
/// Arrivals in a window that it allows, as a multiple of the limit.
const EXCESS_FACTOR: f64 = 1.5;
/// Arrivals in a window that it allows beyond that.
const EXCESS_REQUESTS: f64 = 5.0;
/// Length of a schedule, in milliseconds.
const LENGTH_MS: u64 = 30_000;
/// Length of a schedule in which the use of a limit is measured, in seconds.
const USE_S: u64 = 60;
/// Seeds of each random test in CI; `SEEDS` sets another number.
const SEEDS: u64 = 40;
/// Numbers of gateways.
const GATEWAYS: [usize; 5] = [1, 3, 12, 68, 300];
/// Limits in requests a second.
const LIMITS_PER_S: [f64; 7] = [0.0, 0.3, 0.9, 1.8, 5.0, 20.0, 60.0];

fn seeds() -> u64 {
    let seeds = std::env::var("SEEDS").ok();
    seeds.and_then(|seeds| seeds.parse().ok()).unwrap_or(SEEDS)
}

/// Returns the largest number of arrivals in a window.
fn fullest_window(arrivals: &[u64]) -> usize {
    let windows = arrivals.iter().enumerate().map(|(i, start_ms)| {
        let end = arrivals.partition_point(|at_ms| *at_ms < start_ms + WINDOW_MS);
        end - i
    });
    windows.max().unwrap_or(0)
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap())
}

fn allowed(per_s: f64) -> f64 {
    EXCESS_FACTOR * per_s * as_f64(usize::try_from(WINDOW_MS).unwrap()) / 1_000.0 + EXCESS_REQUESTS
}

fn calm(gateways: usize, per_s: f64, demand_per_s: Vec<f64>, seed: u64) -> Schedule {
    Schedule {
        seed,
        gateways,
        per_s,
        demand_per_s,
        wait_ms: 300,
        quiet_ms: (0, 0),
        elsewhere_ms: (0, 0),
        loss: 0.0,
        holder_lost_ms: Vec::new(),
        cut: Vec::new(),
        unheard: Vec::new(),
        restarts: Vec::new(),
        length_ms: LENGTH_MS,
    }
}

fn played(schedule: Schedule) -> World {
    let mut world = World::new(schedule);
    world.run();
    world
}

/// Returns the part of a limit that is used in a long schedule.
fn used(per_s: f64, schedule: Schedule) -> f64 {
    let world = played(Schedule {
        length_ms: USE_S * 1_000,
        ..schedule
    });
    as_f64(world.arrivals.len()) / (per_s * as_f64(usize::try_from(USE_S).unwrap()))
}

#[test]
fn most_of_a_limit_is_used_where_demand_is_steady() {
    for gateways in GATEWAYS {
        for per_s in [0.3, 0.9, 1.8, 5.0, 20.0] {
            let each = 4.0 * per_s / as_f64(gateways) + 0.5;
            let used = used(per_s, calm(gateways, per_s, vec![each; gateways], 1));
            assert_that!(used, ge(0.8), "{gateways} gateways, {per_s} a second");
        }
    }
}

#[test]
fn most_of_a_limit_is_used_where_all_demand_is_at_one_gateway() {
    for gateways in GATEWAYS {
        for per_s in [0.3, 0.9, 1.8, 5.0, 20.0] {
            let mut demand_per_s = vec![0.0; gateways];
            demand_per_s[gateways - 1] = 4.0 * per_s + 2.0;
            let used = used(per_s, calm(gateways, per_s, demand_per_s, 1));
            assert_that!(used, ge(0.6), "{gateways} gateways, {per_s} a second");
        }
    }
}

#[test]
fn few_requests_wait_in_vain_for_a_limit() {
    for gateways in GATEWAYS {
        let each = 40.0 / as_f64(gateways) + 0.5;
        let world = played(calm(gateways, 1.8, vec![each; gateways], 1));
        let in_vain = as_f64(world.waited_in_vain) / as_f64(world.requests);
        assert_that!(in_vain, le(0.05), "{gateways} gateways");
    }
}

#[test]
fn gateway_that_the_holder_does_not_hear_uses_its_own_part() {
    for gateways in [3, 12] {
        let last = gateways - 1;
        let mut demand_per_s = vec![0.0; gateways];
        demand_per_s[last] = 80.0;
        let schedule = Schedule {
            unheard: vec![(last, 0, USE_S * 1_000)],
            ..calm(gateways, 20.0, demand_per_s, 1)
        };
        let own_part = 0.2 / as_f64(gateways);
        assert_that!(
            used(20.0, schedule),
            ge(0.8 * own_part),
            "{gateways} gateways"
        );
    }
}

#[test]
fn gateways_that_lost_the_holder_stay_within_a_limit_that_the_others_use_up() {
    for per_s in [5.0, 20.0, 60.0] {
        for gateways in [12, 68] {
            let mut demand_per_s = vec![4.0 * per_s; gateways];
            // The holder alone uses the whole limit.
            demand_per_s[0] = 8.0 * per_s;
            let cut = (1..gateways).map(|number| (number, 3_000, LENGTH_MS));
            let world = played(Schedule {
                cut: cut.collect(),
                ..calm(gateways, per_s, demand_per_s, 1)
            });
            let fullest = as_f64(fullest_window(&world.arrivals));
            assert_that!(
                fullest,
                le(allowed(per_s)),
                "{gateways} gateways, {per_s} a second"
            );
        }
    }
}

#[test]
fn gateways_that_lose_the_holder_together_do_not_send_together() {
    for per_s in [0.3, 1.8, 5.0] {
        let world = played(Schedule {
            holder_lost_ms: vec![5_000, 12_000, 20_000],
            ..calm(68, per_s, vec![5.0; 68], 1)
        });
        let fullest = as_f64(fullest_window(&world.arrivals));
        assert_that!(fullest, le(allowed(per_s)), "{per_s} a second");
    }
}

fn random_schedule(seed: u64) -> Schedule {
    let mut random = StdRng::seed_from_u64(seed);
    let gateways = GATEWAYS[random.random_range(0..4)];
    let per_s = LIMITS_PER_S[random.random_range(0..LIMITS_PER_S.len())];
    let demand_max = [0.5, 5.0, 50.0][random.random_range(0..3)];
    let demand = (0..gateways).map(|_| random.random_range(0.0..demand_max));
    let demand_per_s = demand.collect();
    let time = |random: &mut StdRng| random.random_range(1_000..LENGTH_MS);
    let lost = (0..random.random_range(0..4)).map(|_| time(&mut random));
    let holder_lost_ms = lost.collect();
    let mut cut = Vec::new();
    let mut unheard = Vec::new();
    let mut restarts = Vec::new();
    for number in 0..gateways {
        if random.random_bool(0.3) {
            let from_ms = time(&mut random);
            cut.push((number, from_ms, from_ms + random.random_range(100..8_000)));
        }
        if random.random_bool(0.2) {
            let from_ms = time(&mut random);
            unheard.push((number, from_ms, from_ms + random.random_range(100..8_000)));
        }
        if random.random_bool(0.2) {
            restarts.push((number, time(&mut random)));
        }
    }
    let quiet_from_ms = time(&mut random);
    let elsewhere_from_ms = time(&mut random);
    Schedule {
        wait_ms: [200, 300, 3_000][random.random_range(0..3)],
        quiet_ms: (
            quiet_from_ms,
            quiet_from_ms + random.random_range(0..12_000),
        ),
        elsewhere_ms: (
            elsewhere_from_ms,
            elsewhere_from_ms + random.random_range(0..6_000),
        ),
        loss: [0.0, 0.1, 0.3][random.random_range(0..3)],
        holder_lost_ms,
        cut,
        unheard,
        restarts,
        ..calm(gateways, per_s, demand_per_s, seed)
    }
}

#[test]
fn limit_is_kept_in_each_window_of_random_schedules() {
    for seed in 0..seeds() {
        let schedule = random_schedule(seed);
        let per_s = schedule.per_s;
        let gateways = schedule.gateways;
        let world = played(schedule);
        let fullest = as_f64(fullest_window(&world.arrivals));
        assert_that!(
            fullest,
            le(allowed(per_s)),
            "seed {seed}, {gateways} gateways, {per_s} a second"
        );
    }
}
