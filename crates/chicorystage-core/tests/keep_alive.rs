//! Keep-alive and prewarming learned from usage intervals, and the choice of replicas to evict.

use chicorystage_api::name::ModelName;
use chicorystage_core::evict::{Resident, evict};
use chicorystage_core::keep_alive::{KeepAlive, KeepAliveCost, KeepAlivePlan};
use googletest::prelude::*;

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;

fn cost(weight: u32) -> KeepAliveCost {
    KeepAliveCost {
        reload_ms: 10_000,
        memory_permille: 500,
        cold_start_weight_percent: weight,
        keep_alive_min_ms: 0,
        keep_alive_max_ms: HOUR_MS,
    }
}

fn plan_after(
    intervals_ms: &[u64],
    repeats: usize,
    cost: &KeepAliveCost,
) -> (KeepAlivePlan, KeepAlive) {
    let mut history = KeepAlive::new();
    let model = ModelName::from("m");
    let mut now_ms = 0;
    history.observe(&model, now_ms);
    for interval_ms in intervals_ms
        .iter()
        .cycle()
        .take(intervals_ms.len() * repeats)
    {
        now_ms += interval_ms;
        history.observe(&model, now_ms);
    }
    (history.plan(&model, cost), history)
}

#[gtest]
fn replica_is_kept_during_a_session_and_released_in_a_long_pause() {
    let (plan, _) = plan_after(&[30_000, 40_000, 35_000, 5 * HOUR_MS], 10, &cost(50));
    expect_that!(plan.keep_alive_ms, all![ge(40_000), le(2 * MINUTE_MS)]);
}

#[gtest]
fn regular_hourly_use_is_prewarmed_instead_of_kept_alive() {
    let (plan, _) = plan_after(&[59 * MINUTE_MS, 61 * MINUTE_MS], 10, &cost(50));
    expect_that!(plan.keep_alive_ms, eq(0));
    let window = plan.prewarm.expect("regular use is prewarmed");
    expect_that!(window.from_ms, all![ge(45 * MINUTE_MS), le(59 * MINUTE_MS)]);
    expect_that!(
        window.until_ms,
        all![ge(61 * MINUTE_MS), le(75 * MINUTE_MS)]
    );
}

#[gtest]
fn cold_start_weight_ranges_from_never_to_always_keeping_alive() {
    let intervals_ms = [5 * MINUTE_MS, 20 * MINUTE_MS, 45 * MINUTE_MS];
    let keep_alive_ms_for = |weight| plan_after(&intervals_ms, 10, &cost(weight)).0.keep_alive_ms;
    expect_that!(keep_alive_ms_for(0), eq(0));
    expect_that!(keep_alive_ms_for(100), ge(44 * MINUTE_MS));
    let rising: Vec<u64> = [0, 20, 40, 60, 80, 100]
        .into_iter()
        .map(keep_alive_ms_for)
        .collect();
    expect_that!(rising.is_sorted(), eq(true));
}

#[gtest]
fn the_rule_bounds_the_keep_alive() {
    let bounded = KeepAliveCost {
        keep_alive_min_ms: 7_000,
        keep_alive_max_ms: 9_000,
        ..cost(100)
    };
    expect_that!(
        plan_after(&[MINUTE_MS], 10, &bounded).0.keep_alive_ms,
        le(9_000)
    );
    let low = KeepAliveCost {
        cold_start_weight_percent: 0,
        ..bounded
    };
    expect_that!(
        plan_after(&[MINUTE_MS], 10, &low).0.keep_alive_ms,
        eq(7_000)
    );
}

#[gtest]
fn probability_of_use_falls_after_a_missed_interval() {
    let (_, history) = plan_after(&[10 * MINUTE_MS], 20, &cost(50));
    let last_ms = 200 * MINUTE_MS;
    let probability =
        |idle_ms| history.probability_of_use(&"m".into(), last_ms + idle_ms, 10 * MINUTE_MS);
    expect_that!(probability(MINUTE_MS), ge(0.9));
    expect_that!(probability(HOUR_MS), le(0.1));
}

#[gtest]
fn eviction_spares_replicas_with_work_and_takes_the_least_valuable() {
    let resident = |model: &str, gib: u64, reload_ms, probability_of_use, has_work| Resident {
        model: model.into(),
        memory_bytes: gib << 30,
        reload_ms,
        probability_of_use,
        has_work,
    };
    let residents = [
        resident("busy", 40, 1, 0.0, true),
        resident("soon", 10, 10_000, 0.9, false),
        resident("never", 10, 10_000, 0.01, false),
        resident("large", 30, 10_000, 0.1, false),
    ];
    expect_that!(
        evict(&residents, 5 << 30),
        some(elements_are![eq(&ModelName::from("never"))])
    );
    expect_that!(
        evict(&residents, 25 << 30),
        some(elements_are![eq(&ModelName::from("large"))])
    );
    expect_that!(evict(&residents, 60 << 30), none());
}
