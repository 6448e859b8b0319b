//! Event streams through a gateway: complete events, resumption, failed and abandoned streams, and
//! model loads for waiting requests.

use chicorystage_testbed::users_platform::{
    EndpointEmulator, EndpointEngine, PlatformFixture, Reply, run_local, send_request, wait_until,
};
use googletest::prelude::*;
use http::{Method, StatusCode};
use serde_json::json;
use tokio::time::Instant;

const MODEL: (&str, &str) = ("model", "m0");

fn events_reply(first: u32, last: u32) -> Reply {
    Reply::Events {
        first,
        last,
        pause_ms: 1,
    }
}

fn broken_reply(last: u32, pause_ms: u64) -> Reply {
    Reply::BrokenEvents {
        first: 1,
        last,
        pause_ms,
    }
}

async fn start_endpoint(
    id: &str,
    reply: Reply,
    models: &[&str],
) -> std::io::Result<EndpointEmulator> {
    EndpointEmulator::start(id, reply, Some(EndpointEngine::new(models, 60))).await
}

fn event_ids(body: &str) -> Vec<u32> {
    let ids = body.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).collect()
}

#[gtest]
fn events_arrive_complete_and_in_order() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let endpoint = start_endpoint("e1", events_reply(1, 20), &["m0"])
            .await
            .or_fail()?;
        world.declare(1);
        world.register(&endpoint, "llm");
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        for path in ["/chat/x", "/long/x"] {
            let reply = send_request(&gateway, Method::POST, path, &[MODEL], "{}")
                .await
                .or_fail()?;
            verify_that!(reply.is_complete, eq(true))?;
            verify_that!(event_ids(&reply.text()), eq(&(1..=20).collect::<Vec<_>>()))?;
        }
        let received = endpoint.received_requests();
        verify_that!(received[0].header("request-priority"), eq("3"))?;
        verify_that!(received[1].header("request-priority"), eq("4"))
    })
}

#[gtest]
fn resumable_stream_continues_after_its_last_complete_event() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        // Among equally good endpoints the gateway chooses the first.
        let broken = broken_reply(5, 0);
        let endpoints = [
            start_endpoint("e1", broken, &["m0"]).await.or_fail()?,
            start_endpoint("e2", events_reply(6, 9), &["m0"])
                .await
                .or_fail()?,
        ];
        world.declare(1);
        for endpoint in &endpoints {
            world.register(endpoint, "llm");
        }
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;

        let first = send_request(&gateway, Method::POST, "/long/x", &[MODEL], "{}")
            .await
            .or_fail()?;

        let resumed = endpoints
            .iter()
            .flat_map(EndpointEmulator::received_requests)
            .find(|received| !received.header("last-event-id").is_empty())
            .or_fail()?;
        verify_that!(resumed.header("last-event-id"), eq("5"))?;
        verify_that!(first.is_complete, eq(true))?;
        verify_that!(event_ids(&first.text()), eq(&(1..=9).collect::<Vec<_>>()))
    })
}

/// Registers an engine with a software version; `None` leaves the version out.
fn register_version(world: &PlatformFixture, endpoint: &EndpointEmulator, version: Option<&str>) {
    let mut entry = endpoint.registry_entry("llm", "ready", 1);
    entry["version"] = json!(version);
    let entry = entry.to_string();
    world.store.put("servers", endpoint.id(), entry.as_bytes());
}

/// Sends a resumable stream that an engine of version `first` breaks off after event 5; this engine
/// and others go on with event 6.
///
/// Returns the identities of the engines that got the request, in order.
fn engines_of_a_broken_stream(
    first: Option<&str>,
    others: &[(&str, Option<&str>)],
) -> Result<Vec<String>> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let begun = start_endpoint("e1", events_reply(6, 9), &["m0"])
            .await
            .or_fail()?;
        begun.script(broken_reply(5, 0));
        world.declare(1);
        register_version(&world, &begun, first);
        let mut engines = vec![begun];
        for (id, version) in others {
            let other = start_endpoint(id, events_reply(6, 9), &["m0"])
                .await
                .or_fail()?;
            register_version(&world, &other, *version);
            engines.push(other);
        }
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        wait_until("all endpoints are known", || {
            gateway.with(|view| view.fleet.endpoints().count()) == others.len() + 1
        })
        .await;
        send_request(&gateway, Method::POST, "/long/x", &[MODEL], "{}")
            .await
            .or_fail()?;
        let received = engines.iter().flat_map(|engine| {
            let requests = engine.received_requests().into_iter();
            requests.map(|request| (request.arrived, engine.id().to_owned()))
        });
        let mut received: Vec<(Instant, String)> = received.collect();
        received.sort();
        Ok(received.into_iter().map(|(_, id)| id).collect())
    })
}

// What two versions write does not fit together, and endpoints do not check it.
#[gtest]
fn broken_stream_is_not_resumed_at_another_software_version() -> Result<()> {
    let engines = engines_of_a_broken_stream(Some("v1"), &[("e2", Some("v2"))])?;
    // The engine itself may go on.
    verify_that!(engines, not(contains(eq("e2"))))
}

#[gtest]
fn broken_stream_is_resumed_at_the_software_version_that_began_it() -> Result<()> {
    let others = [("e2", Some("v2")), ("e3", Some("v1"))];
    let engines = engines_of_a_broken_stream(Some("v1"), &others)?;
    verify_that!(engines, elements_are![eq("e1"), eq("e3")])
}

#[gtest]
fn broken_stream_of_an_unknown_software_version_is_not_resumed() -> Result<()> {
    let engines = engines_of_a_broken_stream(None, &[("e2", Some("v1")), ("e3", None)])?;
    verify_that!(engines, elements_are![eq("e1")])
}

#[gtest]
fn broken_stream_ends_without_a_retry_if_no_endpoint_runs_its_software_version() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let begun = start_endpoint("e1", broken_reply(10, 50), &["m0"])
            .await
            .or_fail()?;
        let other = start_endpoint("e2", events_reply(11, 20), &["m0"])
            .await
            .or_fail()?;
        world.declare(1);
        register_version(&world, &begun, Some("v1"));
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        let send = send_request(&gateway, Method::POST, "/long/x", &[MODEL], "{}");
        let change = async {
            wait_until("the stream has begun", || {
                !begun.received_requests().is_empty()
            })
            .await;
            register_version(&world, &other, Some("v2"));
            world.store.remove("servers", "e1");
        };
        let (reply, ()) = tokio::join!(send, change);
        verify_that!(reply.or_fail()?.is_complete, eq(false))?;
        verify_that!(other.received_requests(), len(eq(0)))?;
        let metrics = gateway.metrics.encode();
        verify_that!(metrics, not(contains_substring("retries_total{")))
    })
}

#[gtest]
fn stream_that_is_not_resumable_ends_where_its_endpoint_failed() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let broken = broken_reply(3, 0);
        let endpoint = start_endpoint("e1", broken, &["m0"]).await.or_fail()?;
        world.declare(1);
        world.register(&endpoint, "llm");
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;

        let reply = send_request(&gateway, Method::POST, "/chat/x", &[MODEL], "{}")
            .await
            .or_fail()?;

        verify_that!(reply.is_complete, eq(false))?;
        verify_that!(endpoint.received_requests(), len(eq(1)))
    })
}

#[gtest]
fn caller_disconnect_cancels_the_stream_at_its_endpoint() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let endpoint = start_endpoint("e1", Reply::Silent, &["m0"])
            .await
            .or_fail()?;
        world.declare(1);
        world.register(&endpoint, "llm");
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;

        let request = send_request(&gateway, Method::POST, "/chat/x", &[MODEL], "{}");
        let arrived = wait_until("the request arrived", || {
            endpoint.received_requests().len() == 1
        });
        tokio::select! {
            _reply = request => return fail!("the gateway answered for a silent endpoint"),
            () = arrived => {}
        }
        // `select!` dropped the request, which closed the caller's connection.
        wait_until("the endpoint sees the close", || {
            endpoint.cancelled_streams() == 1
        })
        .await;
        wait_until("nothing is in progress", || {
            gateway.with(|view| view.in_progress) == 0
        })
        .await;
        Ok(())
    })
}

#[gtest]
fn missing_model_is_loaded_for_a_waiting_request() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let endpoint = start_endpoint("e1", events_reply(1, 2), &["m0", "m1"])
            .await
            .or_fail()?;
        world.declare(1);
        world.register(&endpoint, "llm");
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;

        for model in ["m2", "m2/a1", "m3"] {
            let headers = [("model", model)];
            let reply = send_request(&gateway, Method::POST, "/long/x", &headers, "{}")
                .await
                .or_fail()?;
            verify_that!(reply.status, eq(StatusCode::OK))
                .with_failure_message(|| model.to_owned())?;
        }
        // The engine's memory fits two models, so it must never have more loaded.
        let orders = endpoint.with_engine(|engine| engine.received_orders.clone());
        verify_that!(endpoint.with_engine(|engine| engine.loaded.len()), le(2))?;
        let fences: Vec<u64> = orders
            .iter()
            .filter_map(|order| order["fence"].as_u64())
            .collect();
        verify_that!(fences, each(eq(&1)))?;
        verify_that!(
            orders,
            each(predicate(
                |order: &serde_json::Value| !order["expect_rev"].is_null()
            ))
        )
    })
}

#[gtest]
fn request_for_an_undeclared_model_is_not_found() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let endpoint = start_endpoint("e1", events_reply(1, 2), &["m0"])
            .await
            .or_fail()?;
        world.declare(1);
        world.register(&endpoint, "llm");
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        let headers = [("model", "unheard")];
        let reply = send_request(&gateway, Method::POST, "/long/x", &headers, "{}")
            .await
            .or_fail()?;
        verify_that!(reply.status, eq(StatusCode::NOT_FOUND))
    })
}
