//! How many retries a gateway sends to the endpoints of one service.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use chicorystage_testbed::users_platform::{
    EndpointEmulator, PlatformFixture, Reply, run_local, send_request, wait_until,
};
use chicorystaged::gateway::shared::Gateway;
use chicorystaged::settings::GatewaySettings;
use futures_util::future::join_all;
use googletest::prelude::*;
use http::{Method, StatusCode};
use serde_json::json;
use socket2::{Domain, Socket, Type};
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Retries allowed per request to a service, over all gateways.
const RETRY_RATIO: f64 = 0.2;
/// Retries of a service allowed in each window beyond that ratio, over all gateways.
const RETRY_ALLOWANCE: f64 = 54.0;
/// Requests to the service that fails, within one window.
const FAILING_REQUESTS: u32 = 200;
/// Requests to another service in the same window.
const OTHER_REQUESTS: u32 = 600;

/// Window of the retry budget where a test spans two of them, in milliseconds.
const SHORT_WINDOW_MS: u64 = 2_000;
/// Time for which an endpoint is paused, in milliseconds.
const PAUSE_MS: u64 = 800;
/// Requests of a burst that spends the whole budget.
const BURST_REQUESTS: u32 = 100;
/// Repeated requests at an endpoint that has another one's address: three at most show that it has.
const REPEATS_AT_A_WRONG_ENDPOINT_MAX: usize = 2;
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

// Each refusal reads as if the adapter had not arrived yet.
#[gtest]
fn engine_at_whose_address_an_application_answers_gets_few_repeated_requests() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let application = EndpointEmulator::start("new", reply(200), None)
            .await
            .or_fail()?;
        world.declare(1);
        world.register(&application, "app");
        let mut stale_entry = application.registry_entry("llm", "ready", 1);
        stale_entry["models"] = json!([{"name": "m0", "version": 1, "adapters": ["a1"]}]);
        let stale_entry = stale_entry.to_string();
        world.store.put("servers", "e-old", stale_entry.as_bytes());
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        for i in 0..5 {
            let id = format!("r{i}");
            let headers = [
                ("attempt-id", id.as_str()),
                ("model", "m0/a1"),
                ("deadline-ms", "1000"),
            ];
            send_request(&gateway, Method::POST, "/chat/x", &headers, "{}")
                .await
                .or_fail()?;
        }
        let mut known = HashSet::new();
        // The lease holder reads the engine's report at that address as well.
        let mut received = application.received_requests();
        received.retain(|received| received.path == "/chat/x");
        let repeats = received.iter().filter(|received| {
            let id = received.header("attempt-id").to_owned();
            !known.insert(id)
        });
        verify_that!(repeats.count(), le(REPEATS_AT_A_WRONG_ENDPOINT_MAX))
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
        let mut closed_ports = Vec::new();
        for i in 0..DEAD_ENDPOINTS {
            let closed = closed_port().or_fail()?;
            let mut entry = healthy.registry_entry("app", "ready", 1);
            entry["addr"] = json!(address_of(&closed)?);
            closed_ports.push(closed);
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

// The host of a paused endpoint takes retries that the endpoint reads only when it goes on.
#[gtest]
fn retries_that_arrive_late_stay_within_the_budget_of_their_window() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let failing = EndpointEmulator::start("a", reply(500), None)
            .await
            .or_fail()?;
        let paused = EndpointEmulator::start("b", reply(500), None)
            .await
            .or_fail()?;
        world.declare(1);
        for endpoint in [&failing, &paused] {
            let mut entry = endpoint.registry_entry("app", "ready", 1);
            entry["slots"] = json!(2 * BURST_REQUESTS);
            let entry = entry.to_string();
            world.store.put("servers", endpoint.id(), entry.as_bytes());
        }
        let settings = GatewaySettings {
            retry_window_ms: SHORT_WINDOW_MS,
            ..world.settings("g1")
        };
        let gateway = chicorystaged::gateway::start(settings).await.or_fail()?;
        wait_until("the gateway is ready", || gateway.is_ready()).await;
        // More than a window after the start, as a gateway then has its whole share.
        tokio::time::sleep(Duration::from_millis(SHORT_WINDOW_MS)).await;

        paused.set_running(false);
        let first_burst = spawn_local(send_at_once(Rc::clone(&gateway)));
        tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
        paused.set_running(true);
        let went_on = Instant::now();
        first_burst.await.or_fail()?;
        // More than a window after the first retries were sent, and less than one after they arrived.
        let rest_ms = SHORT_WINDOW_MS - PAUSE_MS / 2;
        tokio::time::sleep_until(went_on + Duration::from_millis(rest_ms)).await;
        send_at_once(Rc::clone(&gateway)).await;

        let window = went_on..went_on + Duration::from_millis(SHORT_WINDOW_MS);
        let mut arrivals = Vec::new();
        for endpoint in [&failing, &paused] {
            arrivals.extend(endpoint.received_requests());
        }
        arrivals.sort_by_key(|received| received.arrived);
        let mut known = HashSet::new();
        let repeats = arrivals.iter().filter(|received| {
            let is_repeat = !known.insert(received.header("attempt-id").to_owned());
            is_repeat && window.contains(&received.arrived)
        });
        let repeats = u32::try_from(repeats.count()).or_fail()?;
        let bound = RETRY_RATIO * f64::from(BURST_REQUESTS) + RETRY_ALLOWANCE;
        verify_that!(f64::from(repeats), le(bound))
    })
}

/// Sends a burst of idempotent requests, each with an identity of its own, and awaits all answers.
async fn send_at_once(gateway: Rc<Gateway>) {
    let gateway = &gateway;
    let requests = (0..BURST_REQUESTS).map(|i| async move {
        let id = format!("{:?}-{i}", Instant::now());
        let headers = [("attempt-id", id.as_str())];
        // An error is a failed answer, which the endpoints count.
        let _reply = send_request(gateway, Method::GET, "/app/x", &headers, "").await;
    });
    join_all(requests).await;
}

/// Returns a socket that holds a free port without listening, so that connections to it are
/// refused and no other socket gets the port.
fn closed_port() -> std::io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
    Ok(socket)
}

/// Returns the address of a socket as text.
fn address_of(socket: &Socket) -> Result<String> {
    let address = socket.local_addr().or_fail()?;
    let address = address.as_socket().or_fail()?;
    Ok(address.to_string())
}
