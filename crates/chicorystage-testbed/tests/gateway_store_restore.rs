//! What a gateway believes after the store has returned from an older copy.

use std::rc::Rc;
use std::time::Duration;

use chicorystage_core::fleet::Endpoint;
use chicorystage_testbed::users_platform::{
    EndpointEmulator, PlatformFixture, Reply, StoreCopy, StoreMode, run_local, wait_until,
};
use chicorystaged::gateway::shared::Gateway;
use googletest::prelude::*;

/// Time for which the store is away before it returns, in milliseconds.
const AWAY_MS: u64 = 300;

async fn endpoint(id: &str) -> Result<EndpointEmulator> {
    let reply = Reply::Complete {
        status: 200,
        body: "done".to_owned(),
    };
    EndpointEmulator::start(id, reply, None).await.or_fail()
}

async fn sleep_ms(time_ms: u64) {
    tokio::time::sleep(Duration::from_millis(time_ms)).await;
}

fn knows(gateway: &Rc<Gateway>, id: &str) -> bool {
    gateway.with(|view| view.fleet.get(&id.into()).is_some())
}

fn is_ready(gateway: &Rc<Gateway>, id: &str) -> bool {
    gateway.with(|view| view.fleet.get(&id.into()).is_some_and(Endpoint::is_ready))
}

/// Takes the store away, returns it from a copy, and calls `write` before it serves again.
async fn restore(world: &PlatformFixture, copy: StoreCopy, write: impl FnOnce()) {
    world.store.set_mode(StoreMode::Silent);
    sleep_ms(AWAY_MS).await;
    world.store.restore(copy);
    write();
    world.store.set_mode(StoreMode::Serving);
}

// The versions of the lost changes are given out again, so that a feed that goes on after the last
// known version misses what was written under them.
#[gtest]
fn change_under_a_version_that_is_given_out_again_is_not_missed() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        world.declare(1);
        world.register(&endpoint("e1").await?, "app");
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        let copy = world.store.copy();
        for _ in 0..5 {
            world.store.put("other", "lost", b"x");
        }
        // Lets the gateway's feeds advance beyond the copy.
        world.register(&endpoint("e2").await?, "app");
        wait_until("e2 is known", || knows(&gateway, "e2")).await;
        let late = endpoint("e3").await?;
        restore(&world, copy, || {
            world.register(&late, "app");
            for _ in 0..20 {
                world.store.put("other", "later", b"x");
            }
        })
        .await;
        wait_until("e3 is known", || knows(&gateway, "e3")).await;
        Ok(())
    })
}

#[gtest]
fn endpoint_missing_from_the_copy_is_kept_until_it_could_have_registered_again() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        world.declare(1);
        world.register(&endpoint("e1").await?, "app");
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        let copy = world.store.copy();
        let recent = endpoint("e2").await?;
        world.register(&recent, "app");
        wait_until("e2 is known", || knows(&gateway, "e2")).await;
        restore(&world, copy, || {}).await;
        // Longer than a poll that was sent during the outage stays unanswered.
        for _ in 0..45 {
            sleep_ms(100).await;
            if gateway.era().number() > 0 {
                break;
            }
        }
        sleep_ms(1_000).await;
        verify_that!(knows(&gateway, "e2"), eq(true))?;
        world.register(&recent, "app");
        sleep_ms(2_500).await;
        verify_that!(knows(&gateway, "e2"), eq(true))
    })
}

#[gtest]
fn endpoint_that_left_before_the_copy_was_restored_stays_left() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        world.declare(1);
        let (leaving, gone) = (endpoint("e1").await?, endpoint("e2").await?);
        world.register(&leaving, "app");
        world.register(&gone, "app");
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        let copy = world.store.copy();
        world.register_as(&leaving, "app", "draining", 1);
        world.store.remove("servers", "e2");
        wait_until("both have left", || {
            !is_ready(&gateway, "e1") && !knows(&gateway, "e2")
        })
        .await;
        restore(&world, copy, || {}).await;
        wait_until("the restored table is read", || gateway.era().number() > 0).await;
        sleep_ms(1_000).await;
        verify_that!(is_ready(&gateway, "e1"), eq(false))?;
        verify_that!(knows(&gateway, "e2"), eq(false))
    })
}

#[gtest]
fn gateway_missing_from_the_copy_registers_again() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        world.declare(1);
        let copy = world.store.copy();
        let _gateway = world.start_ready_gateway("g1").await.or_fail()?;
        let is_registered = || world.store.get("chicorystage", "gateway/g1").is_some();
        wait_until("the gateway is registered", is_registered).await;
        restore(&world, copy, || {}).await;
        wait_until("the gateway is registered again", is_registered).await;
        Ok(())
    })
}

#[gtest]
fn endpoint_that_has_registered_again_before_the_copy_was_taken_is_kept() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        world.declare(1);
        let returned = endpoint("e1").await?;
        world.register(&returned, "app");
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        world.store.remove("servers", "e1");
        wait_until("e1 is gone", || !knows(&gateway, "e1")).await;
        world.register(&returned, "app");
        wait_until("e1 is back", || knows(&gateway, "e1")).await;
        restore(&world, world.store.copy(), || {}).await;
        wait_until("the restored table is read", || gateway.era().number() > 0).await;
        // Covers a poll that is never answered, and the time for registering again after it.
        for _ in 0..60 {
            sleep_ms(100).await;
            verify_that!(knows(&gateway, "e1"), eq(true))?;
        }
        Ok(())
    })
}

#[gtest]
fn store_that_returns_from_a_copy_shows_in_the_metrics() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        world.declare(1);
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        let shows = |line: &str| gateway.metrics.encode().lines().any(|shown| shown == line);
        verify_that!(shows("chicorystage_gateway_store_era 0"), is_true())?;
        let copy = world.store.copy();
        restore(&world, copy, || {}).await;
        // The operator's, the endpoints' and the system's own table are read again.
        wait_until("three tables are read again", || {
            shows("chicorystage_gateway_store_restores_total 3")
        })
        .await;
        verify_that!(shows("chicorystage_gateway_store_era 1"), is_true())
    })
}
