//! The store load limiter learns from load times how many loads the weight store serves at once.

use chicorystage_core::orders::StoreLoadLimiter;
use googletest::prelude::*;

const WINDOW_MS: u64 = 5_000;
/// Loads that the limiter lets start in one window.
const LOADS_MAX: f64 = 100.0;
const LOAD_MS: f64 = 13_200.0;
const STEP_MS: u32 = 100;
/// Factors of the time of loads that take longer than stated.
const LONGER: [f64; 4] = [1.02, 1.01, 1.03, 1.04];

/// A load in progress.
#[derive(Clone, Copy, Debug)]
struct Load {
    started_ms: u32,
    remaining_ms: f64,
}

/// Returns the times, in milliseconds, at which `loads` simultaneously requested loads complete.
///
/// The store serves up to `at_full_speed` loads at full speed and divides its rate among more.
fn ends_ms(loads: usize, at_full_speed: f64) -> Vec<u32> {
    ends_seen_late_ms(loads, at_full_speed, 0)
}

/// Returns the times of [`ends_ms`] where each load takes up to four in a hundred longer than stated
/// and its end is seen at the next of its engine's reports, `report_ms` apart.
fn ends_seen_late_ms(loads: usize, at_full_speed: f64, report_ms: u32) -> Vec<u32> {
    let mut limiter = StoreLoadLimiter::default();
    let mut running: Vec<Load> = Vec::new();
    let mut ends_ms = Vec::new();
    let mut now_ms = 0;
    while ends_ms.len() < loads {
        let count = u32::try_from(running.len()).expect("a few loads");
        for load in &running {
            limiter.observe_running(
                u64::from(now_ms),
                count,
                LOAD_MS,
                f64::from(now_ms - load.started_ms),
            );
        }
        let is_pending = ends_ms.len() + running.len() < loads;
        if is_pending && limiter.allows(u64::from(now_ms), count, WINDOW_MS, LOADS_MAX) {
            limiter.record_start(u64::from(now_ms));
            let number = ends_ms.len() + running.len();
            running.push(Load {
                started_ms: now_ms,
                remaining_ms: LOAD_MS
                    * if report_ms == 0 {
                        1.0
                    } else {
                        LONGER[number % 4]
                    },
            });
        }
        let speed = (at_full_speed / f64::from(count.max(1))).min(1.0);
        for load in &mut running {
            load.remaining_ms -= f64::from(STEP_MS) * speed;
        }
        now_ms += STEP_MS;
        let is_seen = |load: &mut Load| {
            let is_reported =
                report_ms == 0 || (now_ms - load.started_ms).is_multiple_of(report_ms);
            load.remaining_ms <= 0.0 && is_reported
        };
        for load in running.extract_if(.., is_seen) {
            limiter.observe_completed(
                u64::from(now_ms),
                count,
                LOAD_MS,
                f64::from(now_ms - load.started_ms),
            );
            ends_ms.push(now_ms);
        }
    }
    ends_ms
}

#[test]
fn store_that_serves_one_load_at_a_time_soon_gets_one_at_a_time() {
    let ends_ms = ends_ms(6, 1.0);
    println!("one at full speed: {ends_ms:?}");
    // The first load runs alone; the next two run together and show that two are too many.
    assert_that!(ends_ms[0], le(13_300));
    assert_that!(ends_ms[2], le(41_000));
    assert_that!(ends_ms[5], le(81_000));
}

#[test]
fn a_store_that_serves_four_loads_soon_gets_four() {
    let ends_ms = ends_ms(14, 4.0);
    println!("four at full speed: {ends_ms:?}");
    // One, two, three and four at a time, each group at full speed.
    assert_that!(ends_ms[2], le(27_000));
    assert_that!(ends_ms[5], le(40_000));
    assert_that!(ends_ms[13], le(70_000));
}

// A load that is seen complete a little late counted as slower than full speed.
#[test]
fn store_whose_loads_are_seen_complete_late_soon_gets_as_many_as_it_serves() {
    for (at_full_speed, loads) in [(2_u32, 7), (4, 15), (8, 31)] {
        let ends_ms = ends_seen_late_ms(loads, f64::from(at_full_speed), 300);
        println!("{at_full_speed} at full speed: {ends_ms:?}");
        // One load alone shows the first step; the number then doubles until the store is in use.
        let steps = at_full_speed.ilog2() + 1;
        let begun = 2_usize.pow(steps) - 1;
        let groups = steps
            + u32::try_from((loads - begun).div_ceil(at_full_speed as usize))
                .expect("a few groups");
        let each_ms = LOAD_MS * LONGER[3] + 300.0;
        let longest_ms = f64::from(groups) * each_ms;
        assert_that!(f64::from(ends_ms[loads - 1]), le(longest_ms));
    }
}

#[test]
fn overdue_load_blocks_further_loads_before_it_completes() {
    let mut limiter = StoreLoadLimiter::default();
    limiter.observe_completed(13_200, 1, LOAD_MS, LOAD_MS);
    assert_that!(limiter.allows(13_200, 1, WINDOW_MS, LOADS_MAX), eq(true));
    limiter.observe_running(26_400, 2, LOAD_MS, LOAD_MS);
    assert_that!(limiter.allows(26_400, 1, WINDOW_MS, LOADS_MAX), eq(true));
    limiter.observe_running(30_360, 2, LOAD_MS, LOAD_MS * 1.3);
    assert_that!(limiter.allows(30_360, 1, WINDOW_MS, LOADS_MAX), eq(false));
    assert_that!(limiter.allows(30_360, 0, WINDOW_MS, LOADS_MAX), eq(true));
}

#[test]
fn no_more_loads_start_in_a_window_than_the_store_allows() {
    let mut limiter = StoreLoadLimiter::default();
    for at_ms in [0, 1_000, 2_000] {
        assert_that!(limiter.allows(at_ms, 0, WINDOW_MS, 3.0), eq(true));
        limiter.record_start(at_ms);
    }
    assert_that!(limiter.allows(4_000, 0, WINDOW_MS, 3.0), eq(false));
    assert_that!(limiter.allows(5_000, 0, WINDOW_MS, 3.0), eq(true));
}
