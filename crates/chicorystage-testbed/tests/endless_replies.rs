//! Engines and agents whose replies have no end: clients return and close the connection.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chicorystage_api::peer::AttemptRef;
use chicorystage_api::work::ServiceCall;
use chicorystage_borders::BorderError;
use chicorystage_borders::engine::{Engine, Order, OrderKind};
use chicorystage_borders::http::{BodyFraming, HttpEngine, HttpService, RpcAgentLink};
use chicorystage_borders::link::AgentLink;
use chicorystage_borders::service::Service;
use chicorystage_testbed::users_platform::{
    ConnectionEnd, EndpointEngine, RawEndpoint, RawReply, run_local, wait_until,
};
use googletest::prelude::*;

const TIMEOUT_MS: u64 = 300;
/// Longest time that any of the calls may take, in milliseconds.
const CALL_MAX_MS: u64 = 10_000;
/// Timeout of a call to a service, in milliseconds; any machine reads more than the bound in it.
const SERVICE_TIMEOUT_MS: u64 = 3_000;
/// Largest number of bytes of a service's reply that may be read, with what the sockets hold.
const SERVICE_REPLY_BYTES_MAX: u64 = 24 << 20;
/// Largest number of bytes of a refusal that may be read, with what the sockets' buffers hold.
const REFUSAL_BYTES_MAX: u64 = 8 << 20;

/// Starts an endpoint that refuses every request with a body without end.
async fn endless_refusals(pause_ms: u64) -> Result<RawEndpoint> {
    let body = ConnectionEnd::Repeat {
        bytes: Bytes::from("0123456789abcdef".repeat(64)),
        pause_ms,
    };
    let refusal = RawReply::new("409 Conflict", &[], "", body);
    let engine = EndpointEngine::new(&[], 0);
    RawEndpoint::start("e1", refusal, engine).await.or_fail()
}

/// Checks that a call to the endpoint fails in time and that its connection is closed.
async fn expect_refusal<T>(
    endpoint: &RawEndpoint,
    call: impl Future<Output = std::result::Result<T, BorderError>>,
) -> Result<()> {
    let called = tokio::time::timeout(Duration::from_millis(CALL_MAX_MS), call).await;
    verify_that!(called.or_fail()?.is_err(), eq(true))?;
    wait_until("the connection is closed", || endpoint.repeating() == 0).await;
    verify_that!(endpoint.repeated_bytes(), le(REFUSAL_BYTES_MAX))
}

#[gtest]
fn interim_responses_without_end_fail_every_call_in_time() -> Result<()> {
    for pause_ms in [0, 5] {
        run_local(async {
            let interim = "HTTP/1.1 102 Processing\r\n\r\n".repeat(64);
            let reply = RawReply {
                bytes: String::new(),
                end: ConnectionEnd::Repeat {
                    bytes: Bytes::from(interim),
                    pause_ms,
                },
            };
            let engine = EndpointEngine::new(&[], 0);
            let endpoint = RawEndpoint::start("e1", reply, engine).await.or_fail()?;
            // Long timeouts, so that only the responses themselves can end the calls.
            let client = HttpEngine::new(endpoint.address, 60_000, 60_000);
            let order = Order {
                fence: 1,
                kind: OrderKind::Fence,
            };
            expect_refusal(&endpoint, client.order(order)).await?;
            expect_refusal(&endpoint, client.status()).await
        })?;
    }
    Ok(())
}

#[gtest]
fn order_refused_with_a_body_without_end_fails_in_time() -> Result<()> {
    for pause_ms in [0, 5, 60_000] {
        run_local(async {
            let endpoint = endless_refusals(pause_ms).await?;
            let engine: Arc<dyn Engine> =
                Arc::new(HttpEngine::new(endpoint.address, TIMEOUT_MS, TIMEOUT_MS));
            let order = Order {
                fence: 1,
                kind: OrderKind::Fence,
            };
            expect_refusal(&endpoint, engine.order(order)).await
        })?;
    }
    Ok(())
}

#[gtest]
fn attempt_refused_with_a_body_without_end_fails_in_time() -> Result<()> {
    for pause_ms in [0, 5, 60_000] {
        run_local(async {
            let endpoint = endless_refusals(pause_ms).await?;
            let agents: Arc<dyn AgentLink> = Arc::new(RpcAgentLink::new(TIMEOUT_MS));
            let attempt = AttemptRef {
                request_id: "r1".into(),
                attempt: 1,
            };
            let resumed = agents.resume(endpoint.address, attempt, 0);
            expect_refusal(&endpoint, resumed).await
        })?;
    }
    Ok(())
}

#[gtest]
fn reply_of_a_service_without_end_is_read_only_so_far() -> Result<()> {
    for pause_ms in [0, 5] {
        run_local(async {
            let body = ConnectionEnd::Repeat {
                bytes: Bytes::from("0123456789abcdef".repeat(1_024)),
                pause_ms,
            };
            let reply = RawReply::new("200 OK", &[], "", body);
            let engine = EndpointEngine::new(&[], 0);
            let endpoint = RawEndpoint::start("e1", reply, engine).await.or_fail()?;
            let service = HttpService::new(endpoint.address, SERVICE_TIMEOUT_MS);
            let called = service.call(service_call()).await;
            verify_that!(called.is_err(), eq(true))?;
            wait_until("the connection is closed", || endpoint.repeating() == 0).await;
            verify_that!(endpoint.repeated_bytes(), le(SERVICE_REPLY_BYTES_MAX))
        })?;
    }
    Ok(())
}

#[gtest]
fn reply_of_a_service_says_what_ended_its_body() -> Result<()> {
    let cases = [
        (
            "Content-Length: 5",
            "whole",
            ConnectionEnd::Silence,
            BodyFraming::Length,
        ),
        (
            "Transfer-Encoding: chunked",
            "5\r\nwhole\r\n0\r\n\r\n",
            ConnectionEnd::Silence,
            BodyFraming::Chunks,
        ),
        (
            "X-None: 1",
            "whole",
            ConnectionEnd::Close,
            BodyFraming::Close,
        ),
    ];
    for (header, body, end, framing) in cases {
        run_local(async {
            let reply = RawReply::new("200 OK", &[header], body, end);
            let engine = EndpointEngine::new(&[], 0);
            let endpoint = RawEndpoint::start("e1", reply, engine).await.or_fail()?;
            let service = HttpService::new(endpoint.address, TIMEOUT_MS);
            let reply = service.call(service_call()).await.or_fail()?;
            verify_that!(&*reply.body, eq(b"whole"))?;
            verify_that!(reply.framing, eq(framing))
        })?;
    }
    Ok(())
}

fn service_call() -> ServiceCall {
    ServiceCall {
        application: "ledger".into(),
        method: "POST".into(),
        path: "/x".into(),
        content_type: "".into(),
        body_base64: "".into(),
        idempotent: false,
    }
}
