//! How a gateway reacts to new configurations, endpoint changes, store outages and other gateways.

use chicorystage_testbed::users_platform::{
    EndpointEmulator, PlatformFixture, Reply, StoreMode, default_routes, run_local, send_request,
    wait_until,
};
use googletest::prelude::*;
use http::{Method, StatusCode};

fn good() -> Reply {
    Reply::Complete {
        status: 200,
        body: "done".to_owned(),
    }
}

fn version(gateway: &chicorystaged::gateway::shared::Gateway) -> u64 {
    gateway.configuration().map_or(0, |known| known.version)
}

#[gtest]
fn a_newer_configuration_replaces_and_an_older_one_never_does() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        world.declare(5);
        let gateway = world.start_gateway("g1").await.or_fail()?;
        wait_until("version 5 is in force", || version(&gateway) == 5).await;
        world.declare(9);
        wait_until("version 9 is in force", || version(&gateway) == 9).await;
        world.declare(7);
        world.declare_with(11, &default_routes());
        wait_until("version 11 is in force", || {
            version(&gateway) >= 9 && version(&gateway) == 11
        })
        .await;
        Ok(())
    })
}

#[gtest]
fn a_configuration_that_cannot_be_read_leaves_the_one_in_force() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        world.declare(1);
        let gateway = world.start_gateway("g1").await.or_fail()?;
        wait_until("version 1 is in force", || version(&gateway) == 1).await;
        world
            .store
            .put("op", "config", b"{\"version\": 2, \"routes\": 7}");
        world.declare(3);
        wait_until("version 3 is in force", || version(&gateway) == 3).await;
        Ok(())
    })
}

// Guards against a gateway that waits forever for its change feed: a feed request that was sent
// while the store was silent is never answered.
#[gtest]
fn a_change_after_a_silent_store_is_in_force_within_seconds() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        world.declare(1);
        let gateway = world.start_gateway("g1").await.or_fail()?;
        wait_until("version 1 is in force", || version(&gateway) == 1).await;
        world.store.set_mode(StoreMode::Silent);
        // The store drops the response that reports this change and never answers that request.
        world.declare(2);
        tokio::time::sleep(std::time::Duration::from_millis(300)).await;
        world.store.set_mode(StoreMode::Serving);
        world.declare(3);
        let begun = std::time::Instant::now();
        wait_until("version 3 is in force", || version(&gateway) == 3).await;
        // A change must be in force three seconds after the end of an outage; the bound adds two.
        verify_that!(begun.elapsed().as_millis(), lt(5_000))
    })
}

#[gtest]
fn history_that_is_gone_is_made_up_for_by_a_whole_read() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        world.declare(1);
        let gateway = world.start_gateway("g1").await.or_fail()?;
        wait_until("version 1 is in force", || version(&gateway) == 1).await;
        world.declare(2);
        world.store.forget_history();
        wait_until("version 2 is in force", || version(&gateway) == 2).await;
        Ok(())
    })
}

#[gtest]
fn a_gateway_serves_on_while_the_store_is_away() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let endpoint = EndpointEmulator::start("e1", good(), None)
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
fn an_endpoint_that_leaves_gets_no_new_request() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let leaving = EndpointEmulator::start("e1", good(), None)
            .await
            .or_fail()?;
        let staying = EndpointEmulator::start("e2", good(), None)
            .await
            .or_fail()?;
        world.declare(1);
        world.register(&leaving, "app");
        world.register(&staying, "app");
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        world.register_as(&leaving, "app", "draining", 1);
        wait_until("the gateway sees the endpoint as draining", || {
            let id = leaving.id().into();
            gateway.with(|view| {
                view.fleet
                    .get(&id)
                    .is_some_and(|endpoint| !endpoint.is_ready())
            })
        })
        .await;
        let before = leaving.received_requests().len();
        for _ in 0..6 {
            let reply = send_request(&gateway, Method::GET, "/app/x", &[], "")
                .await
                .or_fail()?;
            verify_that!(reply.status, eq(StatusCode::OK))?;
        }
        verify_that!(leaving.received_requests(), len(eq(before)))
    })
}

#[gtest]
fn an_entry_that_cannot_be_read_names_no_endpoint_and_the_others_hold() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let endpoint = EndpointEmulator::start("e1", good(), None)
            .await
            .or_fail()?;
        world.declare(1);
        world.register(&endpoint, "app");
        let entry = endpoint.registry_entry("app", "ready", 1);
        for (i, (field, value)) in [
            ("addr", serde_json::json!("nowhere")),
            ("slots", serde_json::json!("many")),
            ("state", serde_json::json!("dozing")),
            ("backend", serde_json::json!(null)),
        ]
        .into_iter()
        .enumerate()
        {
            let mut wrong = entry.clone();
            wrong[field] = value;
            let key = format!("wrong{i}");
            world
                .store
                .put("servers", &key, wrong.to_string().as_bytes());
        }
        world.store.put("servers", "bytes", &[0xff, 0x00, 0x17]);
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        let known = gateway.with(|view| view.fleet.endpoints().count());
        verify_that!(known, eq(1))?;
        let reply = send_request(&gateway, Method::GET, "/app/x", &[], "")
            .await
            .or_fail()?;
        verify_that!(reply.status, eq(StatusCode::OK))
    })
}

#[gtest]
fn an_address_that_another_endpoint_has_taken_runs_nothing() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let newcomer = EndpointEmulator::start("new", good(), None)
            .await
            .or_fail()?;
        world.declare(1);
        // The registry still lists the endpoint that had this address before.
        let stale = newcomer.registry_entry("app", "ready", 1).to_string();
        world.store.put("servers", "old", stale.as_bytes());
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        let reply = send_request(&gateway, Method::POST, "/pay/x", &[], "{}")
            .await
            .or_fail()?;
        verify_that!(reply.status, eq(StatusCode::SERVICE_UNAVAILABLE))?;
        let expected: Vec<String> = newcomer
            .received_requests()
            .iter()
            .map(|seen| seen.header("expect-instance").to_owned())
            .collect();
        verify_that!(expected, each(eq("old")))
    })
}

#[gtest]
fn gateways_find_each_other_and_one_of_them_gives_orders() -> Result<()> {
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
