//! How a gateway reacts to new configurations, endpoint changes, store outages and other gateways.

mod changes_world;

use std::time::{Duration, Instant};

use chicorystage_testbed::users_platform::{
    EndpointEmulator, PlatformFixture, Reply, StoreMode, default_routes, run_local, send_request,
    wait_until,
};
use googletest::prelude::*;
use http::{Method, StatusCode};
use serde_json::json;

use crate::changes_world::{APPLY_MS, configuration_version, send_news};

fn success_reply() -> Reply {
    Reply::Complete {
        status: 200,
        body: "done".to_owned(),
    }
}

/// Time from the end of an outage until the bounds hold again, in milliseconds.
const CONTACT_MS: u128 = 3_000;

#[gtest]
fn newer_configuration_replaces_the_current_one_and_an_older_one_never_does() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        world.declare(5);
        let gateway = world.start_gateway("g1").await.or_fail()?;
        wait_until("version 5 is in force", || {
            configuration_version(&gateway) == 5
        })
        .await;
        world.declare(9);
        wait_until("version 9 is in force", || {
            configuration_version(&gateway) == 9
        })
        .await;
        world.declare(7);
        world.declare_with(11, &default_routes());
        wait_until("version 11 is in force", || {
            configuration_version(&gateway) >= 9 && configuration_version(&gateway) == 11
        })
        .await;
        Ok(())
    })
}

#[gtest]
fn malformed_configuration_leaves_the_previous_one_in_force() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        world.declare(1);
        let gateway = world.start_gateway("g1").await.or_fail()?;
        wait_until("version 1 is in force", || {
            configuration_version(&gateway) == 1
        })
        .await;
        world
            .store
            .put("op", "config", b"{\"version\": 2, \"routes\": 7}");
        world.declare(3);
        wait_until("version 3 is in force", || {
            configuration_version(&gateway) == 3
        })
        .await;
        Ok(())
    })
}

// Guards against a gateway that waits forever for its change feed: a feed request that was sent
// while the store was silent is never answered.
#[gtest]
fn change_after_a_store_outage_is_in_force_within_seconds() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        world.declare(1);
        let gateway = world.start_gateway("g1").await.or_fail()?;
        wait_until("version 1 is in force", || {
            configuration_version(&gateway) == 1
        })
        .await;
        world.store.set_mode(StoreMode::Silent);
        // The store drops the response that reports this change and never answers that request.
        world.declare(2);
        tokio::time::sleep(Duration::from_millis(300)).await;
        world.store.set_mode(StoreMode::Serving);
        world.declare(3);
        let start = Instant::now();
        wait_until("version 3 is in force", || {
            configuration_version(&gateway) == 3
        })
        .await;
        // A change must be in force three seconds after the end of an outage; the bound adds two.
        verify_that!(start.elapsed().as_millis(), lt(5_000))
    })
}

#[gtest]
fn discarded_history_is_replaced_by_a_full_read() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        world.declare(1);
        let gateway = world.start_gateway("g1").await.or_fail()?;
        wait_until("version 1 is in force", || {
            configuration_version(&gateway) == 1
        })
        .await;
        world.declare(2);
        world.store.forget_history();
        wait_until("version 2 is in force", || {
            configuration_version(&gateway) == 2
        })
        .await;
        Ok(())
    })
}

#[gtest]
fn gateway_keeps_serving_during_store_outages() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let endpoint = EndpointEmulator::start("e1", success_reply(), None)
            .await
            .or_fail()?;
        world.declare(1);
        world.register(&endpoint, "app");
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        for mode in [
            StoreMode::Busy,
            StoreMode::LosingResponses,
            StoreMode::Silent,
        ] {
            world.store.set_mode(mode);
            let reply = send_request(&gateway, Method::GET, "/app/x", &[], "")
                .await
                .or_fail()?;
            verify_that!(reply.status, eq(StatusCode::OK))?;
        }
        verify_that!(gateway.is_ready(), eq(true))
    })
}

#[gtest]
fn draining_endpoint_gets_no_new_request() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let draining_endpoint = EndpointEmulator::start("e1", success_reply(), None)
            .await
            .or_fail()?;
        let ready_endpoint = EndpointEmulator::start("e2", success_reply(), None)
            .await
            .or_fail()?;
        world.declare(1);
        world.register(&draining_endpoint, "app");
        world.register(&ready_endpoint, "app");
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        world.register_as(&draining_endpoint, "app", "draining", 1);
        wait_until("the gateway sees the endpoint as draining", || {
            let id = draining_endpoint.id().into();
            gateway.with(|view| {
                view.fleet
                    .get(&id)
                    .is_some_and(|endpoint| !endpoint.is_ready())
            })
        })
        .await;
        let before = draining_endpoint.received_requests().len();
        for _ in 0..6 {
            let reply = send_request(&gateway, Method::GET, "/app/x", &[], "")
                .await
                .or_fail()?;
            verify_that!(reply.status, eq(StatusCode::OK))?;
        }
        verify_that!(draining_endpoint.received_requests(), len(eq(before)))
    })
}

#[gtest]
fn malformed_registry_entries_are_ignored_and_valid_ones_kept() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let endpoint = EndpointEmulator::start("e1", success_reply(), None)
            .await
            .or_fail()?;
        world.declare(1);
        world.register(&endpoint, "app");
        let entry = endpoint.registry_entry("app", "ready", 1);
        for (i, (field, value)) in [
            ("addr", json!("nowhere")),
            ("slots", json!("many")),
            ("state", json!("dozing")),
            ("backend", json!(null)),
        ]
        .into_iter()
        .enumerate()
        {
            let mut malformed = entry.clone();
            malformed[field] = value;
            let key = format!("wrong{i}");
            world
                .store
                .put("servers", &key, malformed.to_string().as_bytes());
        }
        world.store.put("servers", "bytes", &[0xff, 0x00, 0x17]);
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        let endpoint_count = gateway.with(|view| view.fleet.endpoints().count());
        verify_that!(endpoint_count, eq(1))?;
        let reply = send_request(&gateway, Method::GET, "/app/x", &[], "")
            .await
            .or_fail()?;
        verify_that!(reply.status, eq(StatusCode::OK))
    })
}

#[gtest]
fn request_to_a_reused_address_is_not_executed() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let current = EndpointEmulator::start("new", success_reply(), None)
            .await
            .or_fail()?;
        world.declare(1);
        // The registry still lists the endpoint that had this address before.
        let stale_entry = current.registry_entry("app", "ready", 1).to_string();
        world.store.put("servers", "old", stale_entry.as_bytes());
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        let reply = send_request(&gateway, Method::POST, "/pay/x", &[], "{}")
            .await
            .or_fail()?;
        verify_that!(reply.status, eq(StatusCode::SERVICE_UNAVAILABLE))?;
        let expected_instances: Vec<String> = current
            .received_requests()
            .iter()
            .map(|received| received.header("expect-instance").to_owned())
            .collect();
        verify_that!(expected_instances, each(eq("old")))
    })
}

#[gtest]
fn gateways_discover_each_other_and_one_holds_the_order_lease() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        world.declare(1);
        let first = world.start_gateway("g1").await.or_fail()?;
        let second = world.start_gateway("g2").await.or_fail()?;
        for gateway in [&first, &second] {
            wait_until("the other gateway is a live peer", || {
                let now_ms = gateway.now_ms();
                gateway.with(|view| view.live_peers(now_ms).count() == 1)
            })
            .await;
        }
        wait_until("one gateway holds the order lease", || {
            first.order_epoch().is_some() || second.order_epoch().is_some()
        })
        .await;
        verify_that!(
            first.order_epoch().is_some() && second.order_epoch().is_some(),
            eq(false)
        )
    })
}

// A poll on a connection that fell silent does not tell of the version.
#[gtest]
fn configuration_reported_by_others_is_in_force_in_time_while_the_poll_is_silent() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        world.declare(1);
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        tokio::time::sleep(Duration::from_millis(200)).await;
        world.store.silence_feeds("op");
        world.declare(2);
        let start = Instant::now();
        send_news(&gateway, 2).await.or_fail()?;
        wait_until("version 2 is in force", || {
            configuration_version(&gateway) == 2
        })
        .await;
        verify_that!(start.elapsed().as_millis(), lt(APPLY_MS))
    })
}

// A call that was sent shortly before the store's return is never answered.
#[gtest]
fn configuration_written_at_the_end_of_an_outage_is_in_force_once_contact_is_restored() -> Result<()>
{
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        world.declare(1);
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        tokio::time::sleep(Duration::from_millis(100)).await;
        world.store.set_mode(StoreMode::Silent);
        // The poll in flight has timed out by then, and the next call is in flight.
        tokio::time::sleep(Duration::from_millis(2_800)).await;
        world.store.set_mode(StoreMode::Serving);
        world.store.set_transfer_ms("op", 400);
        world.declare(2);
        let start = Instant::now();
        wait_until("version 2 is in force", || {
            configuration_version(&gateway) == 2
        })
        .await;
        verify_that!(start.elapsed().as_millis(), lt(CONTACT_MS))
    })
}
