//! What the bodies of all requests may take together.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use chicorystage_testbed::users_platform::{
    EndpointEmulator, PlatformFixture, Reply, run_local, send_request, wait_until,
};
use chicorystaged::gateway::shared::Gateway;
use googletest::prelude::*;
use http::{Method, StatusCode};

/// Memory for bodies, for one of [`LONG_BYTES`] and not for two, in bytes.
const BODY_MEMORY_BYTES: usize = 150_000;
/// Length of a long body, within the limit of the configuration, in bytes.
const LONG_BYTES: usize = 90_000;
/// Length of a short body, in bytes.
const SHORT_BYTES: usize = 50_000;
/// Number of callers that send short bodies at once.
const SHORT_CALLERS: usize = 5;
/// Time for which the first caller holds its body back, in milliseconds.
const HELD_BACK_MS: u64 = 800;

async fn start(world: &PlatformFixture) -> Result<(Rc<Gateway>, EndpointEmulator)> {
    let reply = Reply::Complete {
        status: 200,
        body: "done".to_owned(),
    };
    let endpoint = EndpointEmulator::start("e1", reply, None).await.or_fail()?;
    world.declare(1);
    world.register(&endpoint, "app");
    let mut settings = world.settings("g1");
    settings.body_memory_bytes = BODY_MEMORY_BYTES;
    let gateway = chicorystaged::gateway::start(settings).await.or_fail()?;
    wait_until("the gateway is ready", || gateway.is_ready()).await;
    Ok((gateway, endpoint))
}

/// Sends a long body in two parts with a pause between them; returns the answer.
fn send_in_parts(gateway: SocketAddr, framing: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(gateway)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let head = format!(
        "POST /pay/x HTTP/1.1\r\nhost: h.example\r\nattempt-id: a\r\ndeadline-ms: 4000\r\n\
         connection: close\r\n{framing}\r\n\r\n"
    );
    let body = vec![b'x'; LONG_BYTES];
    let (first, rest) = body.split_at(LONG_BYTES / 2);
    stream.write_all(head.as_bytes())?;
    stream.write_all(first)?;
    std::thread::sleep(Duration::from_millis(HELD_BACK_MS));
    stream.write_all(rest)?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer)
}

// Each body is within its limit; together they would exceed the memory of the process.
#[gtest]
fn body_without_memory_is_refused_and_a_short_one_beside_it_is_served() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let (gateway, endpoint) = start(&world).await?;
        let address = gateway.settings.callers;
        let length = format!("content-length: {LONG_BYTES}");
        let (first, second) = (length.clone(), length);
        let served = tokio::task::spawn_blocking(move || send_in_parts(address, &first));
        wait_until("the first body arrives", || {
            gateway.body_budget.used_bytes() > 0
        })
        .await;
        let refused = tokio::task::spawn_blocking(move || send_in_parts(address, &second));
        let short = send_request(&gateway, Method::POST, "/pay/x", &[], "short").await;
        verify_that!(short.or_fail()?.status, eq(StatusCode::OK))?;
        let refused = refused.await.or_fail()?.or_fail()?;
        verify_that!(refused, starts_with("HTTP/1.1 503"))?;
        verify_that!(refused, contains_substring("retry-after"))?;
        let served = served.await.or_fail()?.or_fail()?;
        verify_that!(served, starts_with("HTTP/1.1 200"))?;
        verify_that!(endpoint.received_requests().len(), eq(2))?;
        verify_that!(gateway.body_budget.used_bytes(), eq(0))
    })
}

// How long a body in chunks gets is known only at its end, so that it counts as it grows.
#[gtest]
fn body_in_chunks_counts_with_what_has_arrived_of_it() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let (gateway, _endpoint) = start(&world).await?;
        let address = gateway.settings.callers;
        let length = format!("content-length: {LONG_BYTES}");
        let chunks = format!("transfer-encoding: chunked\r\n\r\n{LONG_BYTES:x}");
        let first = tokio::task::spawn_blocking(move || send_in_parts(address, &length));
        wait_until("the first body arrives", || {
            gateway.body_budget.used_bytes() > 0
        })
        .await;
        let refused = tokio::task::spawn_blocking(move || send_in_parts(address, &chunks));
        let refused = refused.await.or_fail()?.or_fail()?;
        verify_that!(refused, starts_with("HTTP/1.1 503"))?;
        verify_that!(gateway.body_budget.used_bytes(), le(BODY_MEMORY_BYTES))?;
        let first = first.await.or_fail()?.or_fail()?;
        verify_that!(first, starts_with("HTTP/1.1 200"))
    })
}

// Most bodies are short, whatever their framing; they must not count as the longest ones.
#[gtest]
fn many_short_bodies_in_chunks_are_served_at_once() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let (gateway, endpoint) = start(&world).await?;
        let address = gateway.settings.callers;
        let callers = (0..8).map(|_number| {
            tokio::task::spawn_blocking(move || {
                let mut stream = TcpStream::connect(address)?;
                let head = "POST /pay/x HTTP/1.1\r\nhost: h.example\r\nattempt-id: a\r\n\
                            connection: close\r\ntransfer-encoding: chunked\r\n\r\n5\r\nshort\r\n";
                stream.write_all(head.as_bytes())?;
                std::thread::sleep(Duration::from_millis(HELD_BACK_MS));
                stream.write_all(b"0\r\n\r\n")?;
                let mut answer = String::new();
                stream.read_to_string(&mut answer)?;
                Ok::<_, std::io::Error>(answer)
            })
        });
        for caller in callers.collect::<Vec<_>>() {
            let answer = caller.await.or_fail()?.or_fail()?;
            verify_that!(answer, starts_with("HTTP/1.1 200"))?;
        }
        verify_that!(endpoint.received_requests().len(), eq(8))
    })
}

// A limit for each body alone would let many short ones take more than the process has.
#[gtest]
fn short_bodies_together_are_bounded_too() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let (gateway, _endpoint) = start(&world).await?;
        let address = gateway.settings.callers;
        let callers = (0..SHORT_CALLERS).map(|_number| {
            tokio::task::spawn_blocking(move || {
                let mut stream = TcpStream::connect(address)?;
                let head = format!(
                    "POST /pay/x HTTP/1.1\r\nhost: h.example\r\nattempt-id: a\r\n\
                     connection: close\r\ncontent-length: {SHORT_BYTES}\r\n\r\n"
                );
                stream.write_all(head.as_bytes())?;
                std::thread::sleep(Duration::from_millis(HELD_BACK_MS));
                stream.write_all(&vec![b'x'; SHORT_BYTES])?;
                let mut answer = String::new();
                stream.read_to_string(&mut answer)?;
                Ok::<_, std::io::Error>(answer)
            })
        });
        let mut refused = 0;
        for caller in callers.collect::<Vec<_>>() {
            let answer = caller.await.or_fail()?.or_fail()?;
            refused += usize::from(answer.starts_with("HTTP/1.1 503"));
        }
        verify_that!(refused, eq(SHORT_CALLERS - BODY_MEMORY_BYTES / SHORT_BYTES))
    })
}
