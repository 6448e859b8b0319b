//! Planned stops of a gateway: late requests.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use chicorystage_testbed::users_platform::{
    EndpointEmulator, PlatformFixture, Reply, run_local, wait_until,
};
use chicorystaged::gateway::stop;
use googletest::prelude::*;

/// Time after the begin of a stop at which a late request's body arrives, in milliseconds.
const LATE_MS: u64 = 2_600;

async fn endpoint(body_bytes: usize) -> Result<EndpointEmulator> {
    let reply = Reply::Complete {
        status: 200,
        body: "x".repeat(body_bytes),
    };
    EndpointEmulator::start("e1", reply, None).await.or_fail()
}

/// Sends a request whose body arrives [`LATE_MS`] after its head; returns the first line of the answer.
fn send_late(gateway: SocketAddr, deadline_ms: u64) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(gateway)?;
    stream.set_read_timeout(Some(Duration::from_secs(8)))?;
    let head = format!(
        "POST /pay/x HTTP/1.1\r\nhost: h.example\r\nattempt-id: late\r\ndeadline-ms: {deadline_ms}\r\n\
         content-length: 4\r\n\r\npa"
    );
    stream.write_all(head.as_bytes())?;
    std::thread::sleep(Duration::from_millis(LATE_MS));
    stream.write_all(b"id")?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer.lines().next().unwrap_or_default().to_owned())
}

/// Returns the answer to a request whose body arrives late in a stop, and how many requests reached the
/// endpoint; `stop_max_ms` is the time limit of the stop.
fn answer_late_in_a_stop(deadline_ms: u64, stop_max_ms: u64) -> Result<(String, usize)> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let endpoint = endpoint(10).await?;
        world.declare(1);
        world.register(&endpoint, "app");
        let mut settings = world.settings("g1");
        settings.stop_max_ms = stop_max_ms;
        let gateway = chicorystaged::gateway::start(settings).await.or_fail()?;
        wait_until("the gateway is ready", || gateway.is_ready()).await;
        let address = gateway.settings.callers;
        let caller = tokio::task::spawn_blocking(move || send_late(address, deadline_ms));
        wait_until("the request has arrived", || {
            gateway.with(|view| view.in_progress) > 0
        })
        .await;
        stop::shut_down(&gateway).await;
        let answer = caller.await.or_fail()?.or_fail()?;
        Ok((answer, endpoint.received_requests().len()))
    })
}

// The route allows 3 s, and the stop leaves less.
#[gtest]
fn request_that_the_end_of_a_stop_may_cut_is_refused_and_not_passed_on() -> Result<()> {
    let (answer, reached) = answer_late_in_a_stop(20_000, 3_300)?;
    verify_that!(answer, eq("HTTP/1.1 503 Service Unavailable"))?;
    verify_that!(reached, eq(0))
}

#[gtest]
fn request_that_ends_before_the_stop_does_is_served() -> Result<()> {
    let (answer, reached) = answer_late_in_a_stop(20_000, 8_000)?;
    verify_that!(answer, eq("HTTP/1.1 200 OK"))?;
    verify_that!(reached, eq(1))
}
