//! How many retries a gateway sends to the endpoints of one service.

use std::time::Duration;

use chicorystage_testbed::users_platform::{
    EndpointEmulator, PlatformFixture, Reply, run_local, send_request, wait_until,
};
use googletest::prelude::*;
use http::{Method, StatusCode};
use serde_json::json;

/// Retries allowed per request to a service, over all gateways.
const RETRY_RATIO: f64 = 0.2;
/// Retries of a service allowed in each window beyond that ratio, over all gateways.
const RETRY_ALLOWANCE: f64 = 54.0;
/// Requests to the service that fails, within one window.
const FAILING_REQUESTS: u32 = 200;
/// Requests to another service in the same window.
const OTHER_REQUESTS: u32 = 600;

/// Endpoints that take no connection, more than one window's retries.
const DEAD_ENDPOINTS: u32 = 60;

fn reply(status: u16) -> Reply {
    Reply::Complete {
        status,
        body: "x".to_owned(),
    }
}

// A failing service may draw on its own requests only, however many another service gets.
#[gtest]
fn retries_of_one_service_stay_within_its_own_budget() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let healthy = EndpointEmulator::start("e1", reply(200), None)
            .await
            .or_fail()?;
        let failing = EndpointEmulator::start("e2", reply(500), None)
            .await
            .or_fail()?;
        let routes = json!([
            {"name": "app", "host": "h.example", "prefix": "/app/", "kind": "safe",
                "backend": "app", "timeout_ms": 3_000, "latency_target_ms": 150, "priority": 2,
                "max_attempts": 2},
            {"name": "other", "host": "h.example", "prefix": "/other/", "kind": "safe",
                "backend": "other", "timeout_ms": 3_000, "latency_target_ms": 150, "priority": 2,
                "max_attempts": 2},
        ]);
        world.declare_with(1, &routes);
        world.register(&healthy, "other");
        world.register(&failing, "app");
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        for _ in 0..OTHER_REQUESTS {
            send_request(&gateway, Method::GET, "/other/x", &[], "")
                .await
                .or_fail()?;
        }
        for _ in 0..FAILING_REQUESTS {
            send_request(&gateway, Method::GET, "/app/x", &[], "")
                .await
                .or_fail()?;
        }
        let arrivals = u32::try_from(failing.received_requests().len()).or_fail()?;
        let retries = f64::from(arrivals - FAILING_REQUESTS);
        let bound = RETRY_RATIO * f64::from(FAILING_REQUESTS) + RETRY_ALLOWANCE;
        verify_that!(retries, le(bound))
    })
}

// Each request to an endpoint whose address another one has is refused, and spends a retry.
#[gtest]
fn endpoint_at_whose_address_another_one_answers_gets_no_second_request() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let current = EndpointEmulator::start("new", reply(200), None)
            .await
            .or_fail()?;
        world.declare(1);
        world.register(&current, "app");
        // The registry still lists the endpoint that had this address before.
        let stale_entry = current.registry_entry("app", "ready", 1).to_string();
        world.store.put("servers", "a-old", stale_entry.as_bytes());
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        for _ in 0..10 {
            // Longer than a refusal for lack of capacity counts.
            tokio::time::sleep(Duration::from_millis(100)).await;
            let reply = send_request(&gateway, Method::GET, "/app/x", &[], "")
                .await
                .or_fail()?;
            verify_that!(reply.status, eq(StatusCode::OK))?;
        }
        let received = current.received_requests();
        let to_old = received
            .iter()
            .filter(|received| received.header("expect-instance") == "a-old");
        verify_that!(to_old.count(), le(1))
    })
}

// Nothing arrived at the endpoints that took no connection, so no retry was spent on them.
#[gtest]
fn refused_connections_spend_no_retries() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        world.declare(1);
        let failing = EndpointEmulator::start("y", reply(500), None)
            .await
            .or_fail()?;
        let healthy = EndpointEmulator::start("z", reply(200), None)
            .await
            .or_fail()?;
        for i in 0..DEAD_ENDPOINTS {
            let mut entry = healthy.registry_entry("app", "ready", 1);
            entry["addr"] = json!(closed_address().or_fail()?);
            let key = format!("a{i}");
            world
                .store
                .put("servers", &key, entry.to_string().as_bytes());
        }
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        // Each request tries several of them.
        for _ in 0..DEAD_ENDPOINTS {
            send_request(&gateway, Method::POST, "/pay/x", &[], "{}")
                .await
                .or_fail()?;
        }
        world.register(&failing, "app");
        world.register(&healthy, "app");
        wait_until("all endpoints are known", || {
            gateway.with(|view| view.fleet.get(&"z".into()).is_some())
        })
        .await;
        let reply = send_request(&gateway, Method::GET, "/app/x", &[], "")
            .await
            .or_fail()?;
        verify_that!(reply.status, eq(StatusCode::OK))
    })
}

/// Returns a loopback address at which nothing listens.
fn closed_address() -> std::io::Result<String> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
    Ok(listener.local_addr()?.to_string())
}
