//! Event streams through a gateway: complete events, resumption, failed and abandoned streams, and
//! model loads for waiting requests.

use chicorystage_testbed::users_platform::{
    EndpointEmulator, EndpointEngine, PlatformFixture, Reply, run_local, send_request, wait_until,
};
use googletest::prelude::*;
use http::{Method, StatusCode};

const MODEL: (&str, &str) = ("model", "m0");

fn events(first: u32, last: u32) -> Reply {
    Reply::Events {
        first,
        last,
        pause_ms: 1,
    }
}

async fn endpoint(id: &str, usual: Reply, models: &[&str]) -> std::io::Result<EndpointEmulator> {
    EndpointEmulator::start(id, usual, Some(EndpointEngine::new(models, 60))).await
}

fn ids(body: &str) -> Vec<u32> {
    let ids = body.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).collect()
}

#[gtest]
fn events_arrive_whole_and_in_order() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let endpoint = endpoint("e1", events(1, 20), &["m0"]).await.or_fail()?;
        world.declare(1);
        world.register(&endpoint, "llm");
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        for path in ["/chat/x", "/long/x"] {
            let reply = send_request(&gateway, Method::POST, path, &[MODEL], "{}")
                .await
                .or_fail()?;
            verify_that!(reply.is_complete, eq(true))?;
            verify_that!(ids(&reply.text()), eq(&(1..=20).collect::<Vec<_>>()))?;
        }
        let seen = endpoint.received_requests();
        verify_that!(seen[0].header("request-priority"), eq("3"))?;
        verify_that!(seen[1].header("request-priority"), eq("4"))
    })
}

#[gtest]
fn a_stream_that_may_be_resumed_goes_on_after_its_last_whole_event() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        // Among equally good endpoints the gateway chooses the first.
        let broken = Reply::BrokenEvents { first: 1, last: 5 };
        let endpoints = [
            endpoint("e1", broken, &["m0"]).await.or_fail()?,
            endpoint("e2", events(6, 9), &["m0"]).await.or_fail()?,
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
            .find(|seen| !seen.header("last-event-id").is_empty())
            .or_fail()?;
        verify_that!(resumed.header("last-event-id"), eq("5"))?;
        verify_that!(first.is_complete, eq(true))?;
        verify_that!(ids(&first.text()), eq(&(1..=9).collect::<Vec<_>>()))
    })
}

#[gtest]
fn a_stream_that_may_not_be_resumed_breaks_where_its_endpoint_broke() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let broken = Reply::BrokenEvents { first: 1, last: 3 };
        let endpoint = endpoint("e1", broken, &["m0"]).await.or_fail()?;
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
fn a_caller_that_leaves_ends_the_work_at_its_endpoint() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let endpoint = endpoint("e1", Reply::Silent, &["m0"]).await.or_fail()?;
        world.declare(1);
        world.register(&endpoint, "llm");
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;

        let asking = send_request(&gateway, Method::POST, "/chat/x", &[MODEL], "{}");
        let arrived = wait_until("the request arrived", || {
            endpoint.received_requests().len() == 1
        });
        tokio::select! {
            _reply = asking => return fail!("the gateway answered for a silent endpoint"),
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
fn a_model_that_no_engine_holds_is_loaded_for_the_request_that_waits() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let endpoint = endpoint("e1", events(1, 2), &["m0", "m1"])
            .await
            .or_fail()?;
        world.declare(1);
        world.register(&endpoint, "llm");
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;

        for model in ["m2", "m2/a1", "m3"] {
            let more = [("model", model)];
            let reply = send_request(&gateway, Method::POST, "/long/x", &more, "{}")
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
fn a_request_for_a_model_that_is_not_declared_is_not_found() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let endpoint = endpoint("e1", events(1, 2), &["m0"]).await.or_fail()?;
        world.declare(1);
        world.register(&endpoint, "llm");
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        let more = [("model", "unheard")];
        let reply = send_request(&gateway, Method::POST, "/long/x", &more, "{}")
            .await
            .or_fail()?;
        verify_that!(reply.status, eq(StatusCode::NOT_FOUND))
    })
}
