//! For how long the store has been in its era, as one process knows.

use chicorystage_core::store_era::StoreEra;
use googletest::prelude::*;

fn era(number: u64, at_ms: u64) -> StoreEra {
    let mut era = StoreEra::default();
    era.observe(number, at_ms);
    era
}

#[gtest]
fn store_that_has_never_returned_has_no_age_and_has_lasted() {
    let first = era(0, 5_000);
    expect_that!(first.age_ms(6_000), none());
    expect_that!(first.had_lasted(0, u64::MAX), eq(true));
}

#[gtest]
fn era_has_lasted_since_the_earliest_time_at_which_it_was_seen() {
    let mut known = era(3, 5_000);
    expect_that!(known.observe(3, 2_000), eq(false));
    expect_that!(known.observe(3, 9_000), eq(false));
    expect_that!(known.age_ms(10_000), some(eq(8_000)));
    expect_that!(known.had_lasted(10_000, 8_000), eq(true));
    expect_that!(known.had_lasted(9_999, 8_000), eq(false));
}

#[gtest]
fn newer_era_begins_anew_and_an_older_one_is_ignored() {
    let mut known = era(3, 1_000);
    expect_that!(known.observe(4, 7_000), eq(true));
    expect_that!(known.observe(3, 500), eq(false));
    known.merge(era(3, 100));
    expect_that!(known.number(), eq(4));
    expect_that!(known.age_ms(8_000), some(eq(1_000)));
}

// A read that began before the era was seen is no proof of anything.
#[gtest]
fn time_before_the_era_was_seen_counts_as_its_beginning() {
    expect_that!(era(2, 5_000).age_ms(4_000), some(eq(0)));
}
