//! The order lease after the store has returned from an older copy.

use chicorystage_api::name::VmId;
use chicorystage_core::lease::{LeaseAction, LeaseRow, OrderLease, StoreReply};
use googletest::prelude::*;

const LEASE_MS: u64 = 3_000;

fn lease(vm: &str) -> OrderLease {
    OrderLease::new(VmId::from(vm), 1, LEASE_MS, true)
}

fn row(holder: &str, epoch: u64) -> LeaseRow {
    LeaseRow {
        holder: VmId::from(holder),
        incarnation: 1,
        epoch,
        renewals: 3,
        released: false,
    }
}

/// Ticks a lease every 100 ms and returns the first write and its time.
fn first_write(lease: &mut OrderLease, from_ms: u64, until_ms: u64) -> Option<(u64, LeaseAction)> {
    let mut ticks = (from_ms..until_ms).step_by(100);
    ticks.find_map(|now_ms| lease.tick(now_ms).map(|action| (now_ms, action)))
}

/// Returns the holder of epoch 5 at 1,000 ms, whose row has version 50.
fn holder_of_epoch_5() -> OrderLease {
    let mut lease = lease("a");
    lease.apply_row(0, Some((row("a", 4), 40)));
    lease.observe_epoch(4);
    let action = LeaseAction {
        row: row("a", 5),
        expected_version: 40,
    };
    lease.apply_reply(1_000, 1_000, action, StoreReply::Written(50));
    lease.tick(1_000);
    lease
}

#[gtest]
fn holder_sends_no_order_before_the_restored_row_is_confirmed() {
    let mut lease = holder_of_epoch_5();
    expect_that!(lease.epoch(1_000), some(eq(5)));
    lease.store_restored();
    expect_that!(lease.epoch(1_100), none());
    lease.apply_row(1_100, Some((row("a", 5), 30)));
    expect_that!(lease.epoch(1_100), none());
    let (now_ms, action) = first_write(&mut lease, 1_100, 2_000).expect("a renewal is due");
    expect_that!(action.expected_version, eq(30));
    lease.apply_reply(now_ms, now_ms, action, StoreReply::Written(31));
    expect_that!(lease.epoch(now_ms), some(eq(5)));
}

#[gtest]
fn holder_whose_row_is_lost_acquires_at_once_with_a_higher_epoch() {
    for restored in [None, Some((row("b", 3), 20))] {
        let mut lease = holder_of_epoch_5();
        lease.store_restored();
        lease.apply_row(1_100, restored);
        let write = first_write(&mut lease, 1_100, 1_300);
        let (_, action) = write.expect("no other router can hold the lease");
        expect_that!(action.row.epoch, eq(6));
    }
}

// The holder of the lost row may not know of its loss yet, and sends orders under its epoch.
#[gtest]
fn another_router_waits_for_the_lease_to_end_and_raises_the_epoch() {
    for restored in [None, Some((row("b", 3), 20))] {
        let mut lease = lease("c");
        lease.apply_row(0, Some((row("a", 5), 50)));
        lease.tick(1_000);
        lease.store_restored();
        lease.apply_row(1_100, restored);
        let write = first_write(&mut lease, 1_100, 9_000);
        let (now_ms, action) = write.expect("the lease is free in the end");
        expect_that!(now_ms, gt(1_100 + LEASE_MS));
        expect_that!(action.row.epoch, eq(6));
    }
}

// Another router has taken over meanwhile, so the former holder has no claim any more.
#[gtest]
fn former_holder_that_hears_of_a_higher_epoch_waits_like_the_others() {
    let mut lease = holder_of_epoch_5();
    lease.store_restored();
    lease.apply_row(1_100, None);
    lease.observe_epoch(6);
    let write = first_write(&mut lease, 1_100, 9_000);
    let (now_ms, action) = write.expect("the lease is free in the end");
    expect_that!(now_ms, gt(1_100 + LEASE_MS));
    expect_that!(action.row.epoch, eq(7));
}
