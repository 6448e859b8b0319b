//! Calls through a gateway: routing, headers, retries of idempotent and other calls, refusals and
//! the graceful stop.

use chicorystage_testbed::users_platform::{
    EndpointEmulator, EndpointEngine, PlatformFixture, Reply, default_routes, run_local,
    send_request,
};
use googletest::prelude::*;
use http::{Method, StatusCode};

/// Maximum time that a caller of `/chat/` waits for a stream that sends nothing, in milliseconds.
const CHAT_MAX_WAIT_MS: u128 = 1_850;

fn success_reply() -> Reply {
    Reply::Complete {
        status: 200,
        body: "done".to_owned(),
    }
}

/// Registers an endpoint that gives the reply `faulty_reply` and one that succeeds.
async fn register_faulty_and_healthy(
    world: &PlatformFixture,
    faulty_reply: Reply,
) -> Result<[EndpointEmulator; 2]> {
    let endpoints = [
        EndpointEmulator::start("e1", faulty_reply, None)
            .await
            .or_fail()?,
        EndpointEmulator::start("e2", success_reply(), None)
            .await
            .or_fail()?,
    ];
    world.declare(1);
    for endpoint in &endpoints {
        world.register(endpoint, "app");
    }
    Ok(endpoints)
}

#[gtest]
fn a_call_reaches_its_endpoint_unchanged_and_the_answer_comes_back_unchanged() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let endpoint = EndpointEmulator::start("e1", success_reply(), None)
            .await
            .or_fail()?;
        world.declare(1);
        world.register(&endpoint, "app");
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;

        let headers = [
            ("hold", "h"),
            ("kv-from", "k"),
            ("x-own", "kept"),
            ("connection", "x-hop"),
            ("x-hop", "dropped"),
        ];
        let reply = send_request(&gateway, Method::POST, "/pay/x?y=1", &headers, "{}")
            .await
            .or_fail()?;

        verify_that!(reply.status, eq(StatusCode::OK))?;
        verify_that!(reply.text(), eq("done"))?;
        verify_that!(reply.header("response-stamp"), eq("stamp-e1"))?;
        verify_that!(reply.header("attempt-id"), eq("a1"))?;
        let received = endpoint.received_requests();
        verify_that!(received, len(eq(1)))?;
        verify_that!(received[0].path, eq("/pay/x?y=1"))?;
        verify_that!(received[0].method, eq(&Method::POST))?;
        verify_that!(&*received[0].body, eq(b"{}"))?;
        verify_that!(received[0].header("expect-instance"), eq("e1"))?;
        verify_that!(received[0].header("x-own"), eq("kept"))?;
        for dropped in ["hold", "kv-from", "x-hop"] {
            verify_that!(received[0].header(dropped), eq(""))?;
        }
        let remaining_ms: u64 = received[0].header("deadline-ms").parse().or_fail()?;
        verify_that!(remaining_ms, le(3_000))
    })
}

#[gtest]
fn request_before_the_first_configuration_is_refused_as_unavailable() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let gateway = world.start_gateway("g1").await.or_fail()?;
        let reply = send_request(&gateway, Method::GET, "/app/x", &[], "")
            .await
            .or_fail()?;
        verify_that!(reply.status, eq(StatusCode::SERVICE_UNAVAILABLE))?;
        let retry_after_s: f64 = reply.header("retry-after").parse().or_fail()?;
        verify_that!(retry_after_s, gt(0.0))?;
        verify_that!(gateway.is_ready(), eq(false))
    })
}

#[gtest]
fn longest_prefix_wins_and_unmatched_prefix_is_not_found() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let (short, long) = (
            EndpointEmulator::start("short", success_reply(), None)
                .await
                .or_fail()?,
            EndpointEmulator::start("long", success_reply(), None)
                .await
                .or_fail()?,
        );
        let mut routes = default_routes();
        let mut special = routes[0].clone();
        special["name"] = "special".into();
        special["prefix"] = "/app/special/".into();
        special["backend"] = "other".into();
        routes.as_array_mut().or_fail()?.push(special);
        world.declare_with(1, &routes);
        world.register(&short, "app");
        world.register(&long, "other");
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;

        send_request(&gateway, Method::GET, "/app/special/x", &[], "")
            .await
            .or_fail()?;
        send_request(&gateway, Method::GET, "/app/specialist", &[], "")
            .await
            .or_fail()?;
        let unknown_prefix = send_request(&gateway, Method::GET, "/none/x", &[], "")
            .await
            .or_fail()?;
        let unknown_host = send_request(
            &gateway,
            Method::GET,
            "/app/x",
            &[("host", "no.example")],
            "",
        )
        .await;

        verify_that!(long.received_requests(), len(eq(1)))?;
        verify_that!(short.received_requests(), len(eq(1)))?;
        verify_that!(unknown_prefix.status, eq(StatusCode::NOT_FOUND))?;
        verify_that!(unknown_host.or_fail()?.status, eq(StatusCode::NOT_FOUND))
    })
}

#[gtest]
fn non_idempotent_call_is_not_retried_after_a_lost_answer() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let endpoints = [
            EndpointEmulator::start("e1", Reply::Disconnect, None)
                .await
                .or_fail()?,
            EndpointEmulator::start("e2", Reply::Disconnect, None)
                .await
                .or_fail()?,
        ];
        world.declare(1);
        for endpoint in &endpoints {
            world.register(endpoint, "app");
        }
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;

        let reply = send_request(&gateway, Method::POST, "/pay/x", &[], "{}")
            .await
            .or_fail()?;

        // The call may have run, so the status must not claim that it did not.
        verify_that!(reply.status, eq(StatusCode::BAD_GATEWAY))?;
        verify_that!(reply.header("response-stamp"), eq(""))?;
        let runs: usize = endpoints
            .iter()
            .map(|endpoint| endpoint.received_requests().len())
            .sum();
        verify_that!(runs, eq(1))
    })
}

#[gtest]
fn idempotent_call_is_retried_after_a_lost_answer() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let [disconnecting, _healthy] =
            register_faulty_and_healthy(&world, Reply::Disconnect).await?;
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;

        for _ in 0..6 {
            let reply = send_request(&gateway, Method::GET, "/app/x", &[], "")
                .await
                .or_fail()?;
            verify_that!(reply.status, eq(StatusCode::OK))?;
        }
        verify_that!(disconnecting.received_requests(), not(is_empty()))
    })
}

#[gtest]
fn call_that_was_not_executed_is_retried_at_another_endpoint() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let [rejecting, _healthy] = register_faulty_and_healthy(&world, Reply::NotExecuted).await?;
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;

        for _ in 0..4 {
            let reply = send_request(&gateway, Method::POST, "/pay/x", &[], "{}")
                .await
                .or_fail()?;
            verify_that!(reply.status, eq(StatusCode::OK))?;
        }
        verify_that!(rejecting.received_requests(), not(is_empty()))
    })
}

#[gtest]
fn call_that_no_endpoint_executes_is_refused_with_retry_after() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let rejecting = EndpointEmulator::start("e1", Reply::NotExecuted, None)
            .await
            .or_fail()?;
        world.declare(1);
        world.register(&rejecting, "app");
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;

        let reply = send_request(&gateway, Method::POST, "/pay/x", &[], "{}")
            .await
            .or_fail()?;

        verify_that!(reply.status, eq(StatusCode::SERVICE_UNAVAILABLE))?;
        verify_that!(reply.header("response-stamp"), eq(""))?;
        let retry_after_s: f64 = reply.header("retry-after").parse().or_fail()?;
        verify_that!(retry_after_s, le(4.0 / 3.0))
    })
}

#[gtest]
fn answer_of_another_attempt_is_not_forwarded() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let endpoint = EndpointEmulator::start("e1", Reply::WrongAttempt, None)
            .await
            .or_fail()?;
        world.declare(1);
        world.register(&endpoint, "app");
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;

        let reply = send_request(&gateway, Method::POST, "/pay/x", &[], "{}")
            .await
            .or_fail()?;

        verify_that!(reply.status, eq(StatusCode::BAD_GATEWAY))?;
        verify_that!(reply.text(), not(contains_substring("foreign")))
    })
}

#[gtest]
fn oversized_body_and_malformed_head_are_refused_with_their_status() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let endpoint = EndpointEmulator::start("e1", success_reply(), None)
            .await
            .or_fail()?;
        world.declare(1);
        world.register(&endpoint, "app");
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;

        let body = "x".repeat(100_001);
        let oversized = send_request(&gateway, Method::POST, "/pay/x", &[], &body)
            .await
            .or_fail()?;
        verify_that!(oversized.status, eq(StatusCode::PAYLOAD_TOO_LARGE))?;
        for head in [
            "BOGUS\r\n\r\n",
            "POST /pay/x HTTP/1.1\r\nhost: h.example\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab",
        ] {
            verify_that!(
                send_raw(&gateway, head).await.or_fail()?,
                starts_with("HTTP/1.1 400")
            )?;
        }
        verify_that!(endpoint.received_requests(), is_empty())?;
        let reply = send_request(&gateway, Method::GET, "/app/x", &[], "")
            .await
            .or_fail()?;
        verify_that!(reply.status, eq(StatusCode::OK))
    })
}

/// Sends bytes on a new connection and returns the answer up to the end of the connection.
async fn send_raw(
    gateway: &chicorystaged::gateway::shared::Gateway,
    bytes: &str,
) -> std::io::Result<String> {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut stream = tokio::net::TcpStream::connect(gateway.settings.callers).await?;
    stream.write_all(bytes.as_bytes()).await?;
    let mut answer = Vec::new();
    // The gateway closes the connection after a malformed head; a reset ends the answer too.
    let _read = stream.read_to_end(&mut answer).await;
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

#[gtest]
fn graceful_stop_answers_waiting_requests() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        world.declare(1);
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        // No endpoint is registered, so the request waits for one.
        let headers = [("deadline-ms", "20000"), ("model", "m0")];
        // The process exits when `shut_down` returns: an answer after that would be lost.
        let has_shut_down = std::cell::Cell::new(false);
        let waiting = async {
            let reply = send_request(&gateway, Method::POST, "/long/x", &headers, "{}").await;
            (reply, has_shut_down.get())
        };
        let stopping = async {
            chicorystaged::gateway::stop::shut_down(&gateway).await;
            has_shut_down.set(true);
        };
        let ((reply, answered_after_shutdown), ()) = tokio::join!(waiting, stopping);
        verify_that!(answered_after_shutdown, eq(false))?;
        let reply = reply.or_fail()?;
        verify_that!(reply.status, eq(StatusCode::SERVICE_UNAVAILABLE))?;
        verify_that!(reply.header("connection"), eq("close"))?;
        verify_that!(gateway.is_ready(), eq(false))
    })
}

// Guards against a useless wait: callers waited nearly two seconds for a model whose load takes
// twenty seconds, and were refused only then.
#[gtest]
fn request_whose_model_loads_too_late_is_refused_before_its_max_wait() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let engine = EndpointEngine::new(&["m0"], 20_000);
        let endpoint = EndpointEmulator::start("e1", success_reply(), Some(engine))
            .await
            .or_fail()?;
        world.declare_loads(1, &default_routes(), 20.0);
        world.register(&endpoint, "llm");
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        // The first request starts the load; the second finds the model loading.
        for _ in 0..2 {
            let start = tokio::time::Instant::now();
            let model = ("model", "m1");
            let reply = send_request(&gateway, Method::POST, "/chat/x", &[model], "{}")
                .await
                .or_fail()?;
            verify_that!(reply.status, eq(StatusCode::SERVICE_UNAVAILABLE))?;
            let retry_after_s: f64 = reply.header("retry-after").parse().or_fail()?;
            verify_that!(retry_after_s, gt(0.5))?;
            verify_that!(start.elapsed().as_millis(), lt(CHAT_MAX_WAIT_MS))?;
        }
        verify_that!(endpoint.received_requests(), is_empty())
    })
}
