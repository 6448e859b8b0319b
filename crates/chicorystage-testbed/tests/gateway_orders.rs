//! Orders of a gateway that holds the lease on them.

use std::time::Duration;

use chicorystage_testbed::users_platform::{
    EndpointEmulator, EndpointEngine, PlatformFixture, Reply, run_local, send_request, wait_until,
};
use googletest::prelude::*;
use http::Method;
use serde_json::Value;

/// Number of orders that the other holder's engine has accepted meanwhile.
const OTHERS_ORDERS: u64 = 5;
/// Time in which a gateway reads a row that was written, in milliseconds.
const READ_MS: u64 = 500;
/// Limit that an engine names, in requests a second.
const LIMIT_PER_S: f64 = 0.5;
/// Requests for a model whose engine names a limit, and the interval between them in milliseconds.
const LIMITED_REQUESTS: usize = 20;
const LIMITED_INTERVAL_MS: u64 = 400;

#[gtest]
fn gateway_that_holds_the_lease_again_sends_no_order_on_its_former_view() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let events = Reply::Events {
            first: 1,
            last: 2,
            pause_ms: 1,
        };
        let engine = EndpointEngine::new(&["m0", "m1"], 60);
        let endpoint = EndpointEmulator::start("e1", events, Some(engine))
            .await
            .or_fail()?;
        world.declare(1);
        world.register(&endpoint, "llm");
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        wait_until("the engine's report is read", || {
            let tracker = gateway.engine_tracker.borrow();
            tracker
                .engine(&"e1".into())
                .is_some_and(|engine| engine.sequence.is_some())
        })
        .await;

        let row = world.store.get("chicorystage", "lease/orders");
        let mut row: Value = serde_json::from_slice(&row.or_fail()?).or_fail()?;
        row["holder"] = "g2".into();
        row["epoch"] = (row["epoch"].as_u64().unwrap_or(0) + 1).into();
        let row = row.to_string();
        world
            .store
            .put("chicorystage", "lease/orders", row.as_bytes());
        wait_until("the lease is lost", || gateway.order_epoch().is_none()).await;
        tokio::time::sleep(Duration::from_millis(READ_MS)).await;
        endpoint.with_engine(|engine| {
            engine.sequence = OTHERS_ORDERS;
            engine.received_orders.clear();
        });
        // The request waits for the model until the lease is free and acquired again.
        let headers = [("model", "m2"), ("deadline-ms", "14000")];
        let reply = send_request(&gateway, Method::POST, "/long/x", &headers, "{}")
            .await
            .or_fail()?;
        verify_that!(reply.status.as_u16(), eq(200))?;
        let orders = endpoint.with_engine(|engine| engine.received_orders.clone());
        let counts: Vec<u64> = orders
            .iter()
            .filter_map(|order| order["expect_rev"].as_u64())
            .collect();
        verify_that!(counts, not(is_empty()))?;
        verify_that!(counts, each(ge(&OTHERS_ORDERS)))
    })
}

#[gtest]
fn model_whose_only_engine_names_a_limit_below_its_demand_is_loaded_elsewhere() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        world.declare(1);
        let events = Reply::Events {
            first: 1,
            last: 2,
            pause_ms: 1,
        };
        let mut engines = Vec::new();
        for (id, model) in [("e1", "m0"), ("e2", "m1")] {
            let engine = EndpointEngine::new(&[model], 60);
            let endpoint = EndpointEmulator::start(id, events.clone(), Some(engine))
                .await
                .or_fail()?;
            world.register(&endpoint, "llm");
            engines.push(endpoint);
        }
        engines[0].set_limit_per_s(Some(LIMIT_PER_S));
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        for _ in 0..LIMITED_REQUESTS {
            let headers = [("model", "m0"), ("deadline-ms", "4000")];
            // Those beyond the limit are refused.
            let _reply = send_request(&gateway, Method::POST, "/long/x", &headers, "{}")
                .await
                .or_fail()?;
            tokio::time::sleep(Duration::from_millis(LIMITED_INTERVAL_MS)).await;
            if engines[1].with_engine(|engine| engine.has_loaded("m0")) {
                return Ok(());
            }
        }
        fail!("the model was loaded nowhere else")
    })
}
