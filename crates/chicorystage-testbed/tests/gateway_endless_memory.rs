//! What a gateway, as a process, keeps of bytes without end from all endpoints together.

#[expect(dead_code, reason = "each test binary uses a part of the set")]
mod process_set;

use std::time::Duration;

use chicorystage_testbed::users_platform::{
    ConnectionEnd, EndpointEngine, PlatformFixture, RawEndpoint, RawReply, call, run_local,
};
use googletest::prelude::*;
use http::Method;
use process_set::ProcessSet;

/// Endpoints, with 8 slots each: as many slots as the engines of the largest small deployment.
const ENDPOINTS: usize = 96;
/// Requests at once, one for each slot.
const REQUESTS: usize = 768;
/// Length of what each endpoint writes at once of an answer without end, in bytes.
const WRITTEN_BYTES: usize = 400_000;
/// The same, of an event that stays short of usual limits.
const SHORTER_BYTES: usize = 250_000;
/// Deadline of the requests, in milliseconds.
const DEADLINE_MS: u64 = 3_000;
/// Time by which all requests have ended, in milliseconds; the emulators need most of it.
const ENDED_MS: u64 = 30_000;
/// Memory that the process may hold, of the 160 MB of the smallest machines, in KiB.
const PEAK_KIB_MAX: u64 = 150 << 10;

/// Sends a request for each slot at endpoints that all answer so; returns the gateway's peak of memory,
/// in KiB.
fn peak_memory_kib(name: &str, path: &'static str, begin: &str, bytes: usize) -> Result<u64> {
    let reply = RawReply {
        bytes: format!("{begin}{}", "x".repeat(bytes)),
        end: ConnectionEnd::Silence,
    };
    run_local(async {
        let platform = PlatformFixture::start().await.or_fail()?;
        platform.declare(1);
        let service = if path.starts_with("/app") {
            "app"
        } else {
            "llm"
        };
        let mut endpoints = Vec::new();
        for number in 0..ENDPOINTS {
            let engine = EndpointEngine::new(&["m0"], 60);
            let id = format!("e{number}");
            let endpoint = RawEndpoint::start(&id, reply.clone(), engine).await;
            let endpoint = endpoint.or_fail()?;
            platform.register_raw(&endpoint, service);
            endpoints.push(endpoint);
        }
        let gateways = ProcessSet::start(name, 1, platform.store.address).await?;
        let address = gateways.callers(0);
        let sent = (0..REQUESTS).map(|number| {
            tokio::task::spawn_local(async move {
                let (attempt, deadline) = (format!("a{number}"), DEADLINE_MS.to_string());
                let headers = [
                    ("host", "h.example"),
                    ("attempt-id", attempt.as_str()),
                    ("deadline-ms", deadline.as_str()),
                    ("model", "m0"),
                ];
                // Its answer breaks off or is late.
                let _reply = call(address, Method::POST, path, &headers, "").await;
            })
        });
        let sent: Vec<_> = sent.collect();
        let end = Duration::from_millis(ENDED_MS);
        let all = futures_util::future::join_all(sent);
        verify_that!(tokio::time::timeout(end, all).await.is_ok(), is_true())?;
        let received = endpoints
            .iter()
            .map(|endpoint| endpoint.received_heads().len());
        verify_that!(received.sum::<usize>(), ge(REQUESTS / 2))?;
        let peak_kib = gateways.peak_memory_kib(0)?;
        gateways.stop().await?;
        Ok(peak_kib)
    })
}

#[gtest]
fn heads_without_end_of_all_endpoints_stay_within_memory() -> Result<()> {
    let begin = "HTTP/1.1 200 OK\r\nX-Junk: ";
    let peak_kib = peak_memory_kib("heads", "/chat/x", begin, WRITTEN_BYTES)?;
    verify_that!(peak_kib, le(PEAK_KIB_MAX))
}

#[gtest]
fn events_without_end_of_all_endpoints_stay_within_memory() -> Result<()> {
    let begin =
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nContent-Type: text/event-stream\r\n\r\ndata: ";
    for bytes in [WRITTEN_BYTES, SHORTER_BYTES] {
        let peak_kib = peak_memory_kib("events", "/chat/x", begin, bytes)?;
        verify_that!(peak_kib, le(PEAK_KIB_MAX))?;
    }
    Ok(())
}

#[gtest]
fn bodies_without_end_of_all_endpoints_stay_within_memory() -> Result<()> {
    let begin = "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\n\r\n";
    let peak_kib = peak_memory_kib("bodies", "/app/x", begin, WRITTEN_BYTES)?;
    verify_that!(peak_kib, le(PEAK_KIB_MAX))
}
