//! Planned stops of a gateway: late requests, and answers to callers that read slowly.

#[expect(dead_code, reason = "each test binary uses a part of the set")]
mod process_set;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use chicorystage_testbed::users_platform::{
    ConnectionEnd, EndpointEmulator, EndpointEngine, PlatformFixture, RawEndpoint, RawReply, Reply,
    default_routes, run_local, wait_until,
};
use chicorystaged::gateway::shared::Gateway;
use chicorystaged::gateway::stop;
use googletest::prelude::*;
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};

use crate::process_set::ProcessSet;

/// Time after the begin of a stop at which a late request's body arrives, in milliseconds.
const LATE_MS: u64 = 2_600;
/// Number of stops during an answer to a caller that reads slowly.
const STOPS: usize = 24;
/// Length of the shortest answer to such a caller, in bytes.
const ANSWER_BYTES: usize = 400_000;
/// By how much the next answer is longer, in bytes.
///
/// Where the end of an answer falls in the buffers depends on its length.
const STEP_BYTES: usize = 3_000;
/// Bytes that a slow caller reads in a second.
const SLOW_BYTES_PER_S: f64 = 100_000.0;
/// Time for which answers are received before the stops begin, in milliseconds.
const BEGUN_MS: u64 = 500;
/// Receive buffer of a slow caller, in bytes.
const SLOW_BUFFER_BYTES: usize = 4 << 10;
/// Segment size of a slow caller, in bytes.
///
/// With those of the loopback device, 64 KiB each, the kernel buffers megabytes.
const SEGMENT_BYTES: u32 = 1_448;

async fn endpoint(body_bytes: usize) -> Result<EndpointEmulator> {
    let reply = Reply::Complete {
        status: 200,
        body: "x".repeat(body_bytes),
    };
    EndpointEmulator::start("e1", reply, None).await.or_fail()
}

/// Starts a gateway before an endpoint of the service `app`.
async fn start(world: &PlatformFixture, endpoint: &EndpointEmulator) -> Result<Rc<Gateway>> {
    world.declare_with(1, &routes());
    world.register(endpoint, "app");
    let gateway = world.start_ready_gateway("g1").await.or_fail()?;
    wait_until("the endpoint is known", || {
        gateway.with(|view| view.fleet.get(&"e1".into()).is_some())
    })
    .await;
    Ok(gateway)
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

/// Receives an answer slowly; returns whether all bytes of its body have come.
fn receive_slowly(gateway: SocketAddr) -> std::io::Result<bool> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_recv_buffer_size(SLOW_BUFFER_BYTES)?;
    socket.set_tcp_mss(SEGMENT_BYTES)?;
    socket.connect(&gateway.into())?;
    let mut stream = TcpStream::from(socket);
    let head =
        b"GET /app/x HTTP/1.1\r\nhost: h.example\r\nattempt-id: s\r\ndeadline-ms: 9000\r\n\r\n";
    stream.write_all(head)?;
    let began = Instant::now();
    let (mut received, mut buffer) = (Vec::new(), vec![0; SLOW_BUFFER_BYTES]);
    loop {
        let len = match stream.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(len) => len,
        };
        received.extend_from_slice(&buffer[..len]);
        #[expect(clippy::cast_precision_loss, reason = "less than a megabyte")]
        let due = Duration::from_secs_f64(received.len() as f64 / SLOW_BYTES_PER_S);
        std::thread::sleep(due.saturating_sub(began.elapsed()));
    }
    Ok(is_whole(&received))
}

/// Returns whether a response has as many bytes as its head states.
fn is_whole(response: &[u8]) -> bool {
    let text = String::from_utf8_lossy(response);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let mut lines = head.lines();
    let length = lines.find_map(|line| line.strip_prefix("content-length: "));
    length.and_then(|length| length.parse().ok()) == Some(body.len())
}

// The HTTP library may hold the last bytes of an answer after it has taken all of it over; which stop is
// hit depends on the length of the answer.
#[gtest]
fn stop_cuts_no_answer_to_a_caller_that_reads_slowly() -> Result<()> {
    run_local(async {
        let platform = PlatformFixture::start().await.or_fail()?;
        platform.declare_with(1, &routes());
        let engine = EndpointEngine::new(&[], 60);
        let endpoint = RawEndpoint::start("e1", answer(0), engine)
            .await
            .or_fail()?;
        let mut entry = endpoint.registry_entry("app");
        entry["slots"] = STOPS.into();
        platform
            .store
            .put("servers", "e1", entry.to_string().as_bytes());
        let gateways = ProcessSet::start("stop", STOPS, platform.store.address).await?;
        let mut callers = Vec::new();
        for number in 0..STOPS {
            endpoint.script(answer(number));
            let address = gateways.callers(number);
            callers.push(std::thread::spawn(move || receive_slowly(address)));
            wait_until("the request has arrived", || {
                endpoint.received_heads().len() > number
            })
            .await;
        }
        tokio::time::sleep(Duration::from_millis(BEGUN_MS)).await;
        gateways.stop().await?;
        let mut cut = 0;
        for caller in callers {
            let received = tokio::task::spawn_blocking(|| caller.join());
            let is_whole = received
                .await
                .or_fail()?
                .map_err(|_panic| "a caller failed")
                .or_fail()?;
            cut += usize::from(!is_whole.or_fail()?);
        }
        verify_that!(cut, eq(0))
    })
}

/// Returns an answer whose length depends on its number.
fn answer(number: usize) -> RawReply {
    let body = "x".repeat(ANSWER_BYTES + number * STEP_BYTES);
    let length = format!("Content-Length: {}", body.len());
    RawReply::new("200 OK", &[&length], &body, ConnectionEnd::Silence)
}

/// Returns routes that leave time for a slow caller.
fn routes() -> Value {
    let mut routes = default_routes();
    routes[0]["timeout_ms"] = json!(15_000);
    routes
}

// A caller that never reads its answer must not hold up a stop beyond its time limit.
#[gtest]
fn caller_that_never_reads_does_not_hold_up_a_stop_beyond_its_limit() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let endpoint = endpoint(16 << 20).await?;
        let gateway = start(&world, &endpoint).await?;
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).or_fail()?;
        socket.set_recv_buffer_size(SLOW_BUFFER_BYTES).or_fail()?;
        socket.connect(&gateway.settings.callers.into()).or_fail()?;
        let mut stream = TcpStream::from(socket);
        let head = b"GET /app/x HTTP/1.1\r\nhost: h.example\r\nattempt-id: n\r\n\r\n";
        stream.write_all(head).or_fail()?;
        wait_until("the request has arrived", || {
            !endpoint.received_requests().is_empty()
        })
        .await;
        let began_ms = gateway.now_ms();
        stop::shut_down(&gateway).await;
        let took_ms = gateway.now_ms() - began_ms;
        verify_that!(took_ms, le(gateway.settings.stop_max_ms))
    })
}
