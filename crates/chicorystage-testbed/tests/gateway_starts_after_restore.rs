//! What a gateway takes from the store that starts after the store has returned from an older copy.
//!
//! It sees a single era, so that nothing but the era's age tells it that rows may be missing.

use std::rc::Rc;
use std::time::{Duration, Instant};

use chicorystage_core::retry::Predecessor;
use chicorystage_testbed::users_platform::{PlatformFixture, run_local, wait_until};
use chicorystaged::gateway::shared::Gateway;
use chicorystaged::timer::boot_ms;
use googletest::prelude::*;
use serde_json::{Value, json};

/// Duration of the lease on orders in the fixture's settings, in milliseconds.
const LEASE_MS: u64 = 3_000;
/// Window of the retry budget in the fixture's settings, in milliseconds.
const RETRY_WINDOW_MS: u64 = 10_000;
/// Longest wait of a poll for changes at the fixture's heartbeat, in milliseconds.
const POLL_WAIT_MAX_MS: u64 = 2_300;

async fn sleep_ms(time_ms: u64) {
    tokio::time::sleep(Duration::from_millis(time_ms)).await;
}

/// Starts a store with a configuration that has returned from a copy.
async fn restored_world() -> Result<PlatformFixture> {
    let world = PlatformFixture::start().await.or_fail()?;
    world.declare(1);
    world.store.restore(world.store.copy());
    Ok(world)
}

/// Writes the row of a lease that an earlier process of this VM held.
fn put_own_lease(world: &PlatformFixture, vm: &str) {
    let row = json!({"holder": vm, "incarnation": 1, "epoch": 4, "renewals": 3, "released": false});
    let row = row.to_string();
    let table = "chicorystage";
    world.store.put(table, "lease/orders", row.as_bytes());
}

fn put_era(world: &PlatformFixture, row: &Value) {
    let row = row.to_string();
    let table = "chicorystage";
    world.store.put(table, "era", row.as_bytes());
}

fn age_ms(gateway: &Rc<Gateway>) -> Option<u64> {
    gateway.era().age_ms(boot_ms())
}

/// Returns how long it takes until the gateway may send orders, in milliseconds.
async fn time_to_orders_ms(gateway: &Rc<Gateway>) -> u128 {
    let started = Instant::now();
    wait_until("the lease is acquired", || gateway.order_epoch().is_some()).await;
    started.elapsed().as_millis()
}

// Another gateway may hold the lease by a row that the copy lacks, and sends orders (review/8).
#[gtest]
fn lease_of_an_earlier_process_is_not_acquired_at_once_in_a_young_era() -> Result<()> {
    run_local(async {
        let world = restored_world().await?;
        put_own_lease(&world, "g1");
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        verify_that!(
            time_to_orders_ms(&gateway).await,
            gt(u128::from(LEASE_MS - 200))
        )
    })
}

#[gtest]
fn lease_of_an_earlier_process_is_acquired_at_once_in_an_old_era() -> Result<()> {
    run_local(async {
        let world = restored_world().await?;
        put_own_lease(&world, "g1");
        sleep_ms(LEASE_MS + 500).await;
        put_era(&world, &json!({"era": 1, "begun_by_ms": 0}));
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        verify_that!(time_to_orders_ms(&gateway).await, lt(1_000))
    })
}

#[gtest]
fn lease_holder_stores_since_when_the_store_has_been_in_its_era() -> Result<()> {
    run_local(async {
        let world = restored_world().await?;
        let first = world.start_ready_gateway("g1").await.or_fail()?;
        wait_until("the lease is acquired", || first.order_epoch().is_some()).await;
        let is_stored = || world.store.get("chicorystage", "era").is_some();
        wait_until("the age is stored", is_stored).await;
        let second = world.start_ready_gateway("g2").await.or_fail()?;
        // The holder may have learned of the era by a poll that began this long before its answer.
        verify_that!(age_ms(&second), some(gt(LEASE_MS - POLL_WAIT_MAX_MS)))?;
        let longest_ms = world.store.clock_ms();
        verify_that!(age_ms(&second), some(le(longest_ms)))
    })
}

// The row may be that of a copy, or written by someone else.
#[gtest]
fn row_of_another_era_or_without_meaning_tells_nothing() -> Result<()> {
    run_local(async {
        for row in [
            json!({"era": 0, "begun_by_ms": 0}),
            json!({"era": 2, "begun_by_ms": 0}),
            json!({"era": 1, "begun_by_ms": u64::MAX}),
            json!({"era": 1}),
            json!("later"),
        ] {
            let world = restored_world().await?;
            sleep_ms(300).await;
            put_era(&world, &row);
            let gateway = world.start_ready_gateway("g1").await.or_fail()?;
            verify_that!(age_ms(&gateway), some(lt(250)))
                .with_failure_message(|| row.to_string())?;
        }
        Ok(())
    })
}

// The row of the VM's last process may be missing, which may have spent retries within this window.
#[gtest]
fn predecessor_is_known_only_where_the_era_is_older_than_a_window_of_the_retry_budget() -> Result<()>
{
    run_local(async {
        for (age_ms, expected) in [
            (0, Predecessor::Recent),
            (RETRY_WINDOW_MS + 1_000, Predecessor::Settled),
        ] {
            let world = restored_world().await?;
            let own_row = json!({"address": "127.0.0.1:9", "incarnation": 1}).to_string();
            let table = "chicorystage";
            world.store.put(table, "gateway/g1", own_row.as_bytes());
            world.store.advance_clock(age_ms);
            put_era(&world, &json!({"era": 1, "begun_by_ms": 0}));
            let gateway = world.start_ready_gateway("g1").await.or_fail()?;
            wait_until("the gateway is registered", || gateway.is_registered.get()).await;
            wait_until("the own table is read", || {
                gateway.with(|view| view.has_peers)
            })
            .await;
            verify_that!(gateway.predecessor(), eq(expected))?;
        }
        Ok(())
    })
}
