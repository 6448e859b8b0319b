//! Which router acquires a free lease first.

use chicorystage_core::lease::acquisition_delay_ms;
use googletest::prelude::*;

/// Pause between two polls of the lease's row, in milliseconds; routers poll at different times.
const ROW_POLL_MS: u64 = 2_000;
/// CPU shares of the VMs of the users' deployments.
const CPU_SHARES: [f64; 3] = [0.09, 0.19, 0.5];

#[test]
fn large_vm_acquires_the_lease_without_delay() {
    assert_that!(acquisition_delay_ms(0.5), eq(0));
}

// A holder with a tenth of a core falls behind with the orders to 78 engines.
#[test]
fn weak_vm_waits_until_every_other_router_has_seen_that_the_lease_is_free() {
    assert_that!(acquisition_delay_ms(0.09), gt(ROW_POLL_MS));
}

#[test]
fn routers_with_more_cpu_wait_less() {
    let delays = CPU_SHARES.map(acquisition_delay_ms);
    assert_that!(delays.is_sorted_by(|a, b| a > b), eq(true), "{delays:?}");
}
