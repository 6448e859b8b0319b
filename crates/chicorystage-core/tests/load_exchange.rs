//! How often routers report their load, and for how long a report counts.

use chicorystage_core::fleet::{
    holder_silence_ms, load_age_ms, load_period_ms, load_valid_ms, waiting_valid_ms,
};
use googletest::prelude::*;

/// Longest interval at which the reports of the users' largest deployment, 68 routers, are still
/// useful, in milliseconds: a short answer takes about as long.
const PERIOD_USEFUL_MS: u64 = 400;
/// Reports that the lease holder may receive in a second.
const REPORTS_PER_S_MAX: usize = 300;

#[test]
fn reports_of_68_routers_are_not_older_than_a_short_answer() {
    assert_that!(load_period_ms(68), le(PERIOD_USEFUL_MS));
}

#[test]
fn few_routers_report_as_often_as_one() {
    for routers in 0..=28 {
        assert_that!(load_period_ms(routers), eq(120), "{routers} routers");
    }
}

#[test]
fn router_that_is_alone_knows_all_requests() {
    assert_that!(load_age_ms(1), eq(0));
    assert_that!(load_age_ms(2), eq(load_period_ms(2)));
}

#[test]
fn lease_holder_receives_a_bounded_number_of_reports() {
    for routers in 1..=1_000 {
        let period_ms = usize::try_from(load_period_ms(routers)).expect("a small number");
        let reports_per_s = routers * 1_000 / period_ms;
        assert_that!(reports_per_s, le(REPORTS_PER_S_MAX), "{routers} routers");
    }
}

// A lost datagram must not look like the end of all requests of a router, or of the holder.
#[test]
fn reports_count_until_two_in_a_row_are_lost() {
    for routers in 1..=1_000 {
        let two_lost_ms = 3 * load_period_ms(routers);
        assert_that!(load_valid_ms(routers), ge(two_lost_ms), "{routers} routers");
        assert_that!(
            waiting_valid_ms(routers),
            ge(two_lost_ms),
            "{routers} routers"
        );
        assert_that!(
            holder_silence_ms(routers),
            ge(two_lost_ms),
            "{routers} routers"
        );
    }
}
