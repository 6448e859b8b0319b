//! Transfers of configurations that are slow, silent or begun twice.

mod changes_world;

use std::time::{Duration, Instant};

use chicorystage_testbed::users_platform::{PlatformFixture, run_local, wait_until};
use googletest::prelude::*;

use crate::changes_world::{APPLY_MS, configuration_version, send_news};

/// Time of a transfer that is longer than the limit of any single call, in milliseconds.
const LONG_TRANSFER_MS: u64 = 3_500;
/// Time of a transfer that brings a few bytes at a time, in milliseconds.
const TRICKLE_MS: u64 = 200_000;

// News of the version from other gateways ended the poll that was transferring it.
#[gtest]
fn configuration_in_slow_transfer_is_in_force_in_time_while_others_report_it() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        world.declare(1);
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        // Longer than the store's timeout for reads, shorter than that of a poll.
        world.store.set_transfer_ms("op", 1_000);
        world.declare(2);
        let start = Instant::now();
        while configuration_version(&gateway) < 2 && start.elapsed().as_millis() < APPLY_MS {
            tokio::time::sleep(Duration::from_millis(100)).await;
            send_news(&gateway, 2).await.or_fail()?;
        }
        verify_that!(configuration_version(&gateway), eq(2))
    })
}

// On a slow link each further transfer delays the first one.
#[gtest]
fn news_of_a_configuration_begins_no_second_transfer_of_it() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        world.declare(1);
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        world.store.set_transfer_ms("op", 600);
        world.declare(2);
        // Lets the poll's response begin.
        tokio::time::sleep(Duration::from_millis(100)).await;
        let before = world.store.reads("op");
        send_news(&gateway, 2).await.or_fail()?;
        wait_until("version 2 is in force", || {
            configuration_version(&gateway) == 2
        })
        .await;
        verify_that!(world.store.reads("op"), eq(before))
    })
}

// A call's time limit covered the transfer, so the next call began it again, and so on.
#[gtest]
fn configuration_that_takes_longer_to_transfer_than_a_call_may_take_is_in_force_once_transferred()
-> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        world.declare(1);
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        world.store.set_transfer_ms("op", LONG_TRANSFER_MS);
        world.declare(2);
        let start = Instant::now();
        wait_until("version 2 is in force", || {
            configuration_version(&gateway) == 2
                || start.elapsed().as_millis() > u128::from(LONG_TRANSFER_MS) + APPLY_MS
        })
        .await;
        verify_that!(configuration_version(&gateway), eq(2))
    })
}

#[gtest]
fn gateway_starts_with_a_configuration_that_takes_longer_to_transfer_than_a_call_may_take()
-> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        world.declare(1);
        world.store.set_transfer_ms("op", LONG_TRANSFER_MS);
        let start = Instant::now();
        let gateway = world.start_gateway("g1").await.or_fail()?;
        wait_until("a version is in force", || {
            configuration_version(&gateway) == 1
                || start.elapsed().as_millis() > u128::from(LONG_TRANSFER_MS) + APPLY_MS
        })
        .await;
        verify_that!(configuration_version(&gateway), eq(1))
    })
}

#[gtest]
fn configuration_whose_transfer_falls_silent_is_in_force_after_another_one() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        world.declare(1);
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        world.store.set_transfer_ms("op", 200);
        world.store.stall_transfers("op", 1);
        world.declare(2);
        let start = Instant::now();
        wait_until("version 2 is in force", || {
            configuration_version(&gateway) == 2
        })
        .await;
        verify_that!(start.elapsed().as_millis(), lt(APPLY_MS))
    })
}

// A byte now and then is no progress.
#[gtest]
fn configuration_whose_transfer_trickles_is_in_force_after_another_one() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        world.declare(1);
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        world.store.set_transfer_ms("op", TRICKLE_MS);
        world.declare(2);
        tokio::time::sleep(Duration::from_millis(200)).await;
        world.store.set_transfer_ms("op", 200);
        let start = Instant::now();
        wait_until("version 2 is in force", || {
            configuration_version(&gateway) == 2
        })
        .await;
        verify_that!(start.elapsed().as_millis(), lt(APPLY_MS))
    })
}

// The failed poll counted as the end of the transfer that another call had begun.
#[gtest]
fn transfer_of_one_call_goes_on_alone_when_another_call_fails() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        world.declare(1);
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        tokio::time::sleep(Duration::from_millis(200)).await;
        world.store.silence_feeds("op");
        // The poll would be answered if it saw the change and the fault together.
        tokio::time::sleep(Duration::from_millis(100)).await;
        world.store.set_transfer_ms("op", LONG_TRANSFER_MS);
        world.declare(2);
        let before = world.store.reads("op");
        let start = Instant::now();
        let bound_ms = u128::from(LONG_TRANSFER_MS) + APPLY_MS;
        while configuration_version(&gateway) < 2 && start.elapsed().as_millis() < bound_ms {
            send_news(&gateway, 2).await.or_fail()?;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        verify_that!(configuration_version(&gateway), eq(2))?;
        verify_that!(world.store.reads("op"), eq(before + 1))
    })
}
