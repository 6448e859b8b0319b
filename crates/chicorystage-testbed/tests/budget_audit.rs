//! How the soak judges repeated arrivals.

use chicorystage_testbed::soak::BudgetBound;
use googletest::prelude::*;

const BOUND: BudgetBound = BudgetBound {
    ratio: 0.2,
    allowance: 2.0,
    window_ms: 1_000,
};

#[gtest]
fn window_that_begins_between_two_bursts_counts_only_the_second() {
    // 999 ms apart, the bursts share a window; 1,000 ms apart they don't.
    let repeats_at = |second_ms| [[5_000; 2], [second_ms; 2]].concat();
    let together = BOUND.worst_window(&[], &repeats_at(5_999));
    expect_that!(together.repeats, eq(4));
    expect_that!(together.is_over(), is_true());
    let apart = BOUND.worst_window(&[], &repeats_at(6_000));
    expect_that!(apart.repeats, eq(2));
    expect_that!(apart.is_over(), is_false());
}

// The window from 5,300 ms counts no request; those from 5,001 and 6,000 ms count ten each.
#[gtest]
fn window_that_begins_at_no_repeat_is_looked_at() {
    let requests = [[4_100; 10], [6_500; 10]].concat();
    let worst = BOUND.worst_window(&requests, &[6_000; 3]);
    expect_that!(worst.repeats, eq(3));
    expect_that!(worst.is_over(), is_true());
}

#[gtest]
fn requests_of_the_window_half_a_window_earlier_or_one_earlier_count() {
    let repeats = [5_000; 4];
    // Requests at 5,500 ms count in no window for the one that ends just after the repeats.
    for (requests_at_ms, is_over) in [(5_500, true), (4_700, false), (4_100, false), (3_999, true)]
    {
        let requests = [requests_at_ms; 10];
        let worst = BOUND.worst_window(&requests, &repeats);
        expect_that!(worst.repeats, eq(4));
        expect_that!(
            worst.is_over(),
            eq(is_over),
            "requests at {requests_at_ms} ms"
        );
    }
}
