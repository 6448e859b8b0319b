//! How many retries a gateway sends to the endpoints of one service.

use std::time::Duration;

use chicorystage_testbed::users_platform::{
    EndpointEmulator, PlatformFixture, Reply, run_local, send_request,
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
