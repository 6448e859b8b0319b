//! Answers without a length or chunks through gateways that are processes of their own.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;

use chicorystage_testbed::soak::{GatewayProcess, SoakPlan};
use chicorystage_testbed::users_platform::{
    CallerReply, ConnectionEnd, EndpointEngine, PlatformFixture, RawEndpoint, RawReply, call,
    run_local,
};
use googletest::prelude::*;
use http::Method;

const GATEWAYS: usize = 2;
const TWO_EVENTS: &str = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n";
const LAST_EVENT: &str = "id: 3\ndata: e3\n\n";

/// Gateways as processes, before two engines that send raw bytes.
struct World {
    gateways: Vec<GatewayProcess>,
    directory: PathBuf,
    /// Emulators, which serve for as long as they are kept.
    _endpoints: [RawEndpoint; 2],
    _platform: PlatformFixture,
}

impl World {
    /// Starts the world; the first engine answers with `first` and the second with `second`.
    ///
    /// The second one is in another availability zone and each has many slots, so that a gateway
    /// chooses the first.
    async fn start(name: &str, first: RawReply, second: RawReply) -> Result<Self> {
        let platform = PlatformFixture::start().await.or_fail()?;
        platform.declare(1);
        let engine = || EndpointEngine::new(&["m0"], 60);
        let endpoints = [
            RawEndpoint::start("e1", first, engine()).await.or_fail()?,
            RawEndpoint::start("e2", second, engine()).await.or_fail()?,
        ];
        for (endpoint, zone) in endpoints.iter().zip(["z1", "z2"]) {
            let mut entry = endpoint.registry_entry("llm");
            entry["slots"] = 100.into();
            entry["zone"] = zone.into();
            let entry = entry.to_string();
            platform
                .store
                .put("servers", endpoint.id(), entry.as_bytes());
        }
        let plan = plan(name);
        std::fs::create_dir_all(&plan.directory).or_fail()?;
        let mut gateways = Vec::new();
        for number in 0..GATEWAYS {
            let gateway = GatewayProcess::start(number, &plan, platform.store.address).or_fail()?;
            gateway.wait_until_ready().await.or_fail()?;
            gateways.push(gateway);
        }
        Ok(Self {
            gateways,
            directory: plan.directory,
            _endpoints: endpoints,
            _platform: platform,
        })
    }

    /// Stops the gateways and returns what they logged.
    async fn stop(mut self) -> Result<String> {
        for gateway in &mut self.gateways {
            gateway.stop().await.or_fail()?;
        }
        let mut logs = String::new();
        for number in 0..GATEWAYS {
            let file = self.directory.join(format!("gateway-{number}.log"));
            logs.push_str(&std::fs::read_to_string(file).or_fail()?);
        }
        std::fs::remove_dir_all(self.directory).or_fail()?;
        Ok(logs)
    }
}

fn plan(name: &str) -> SoakPlan {
    let directory = format!("chicorystage-answers-{}-{name}", std::process::id());
    SoakPlan {
        program: PathBuf::from(env!("CARGO_BIN_EXE_chicorystage-testbed")),
        arguments: vec![OsString::from("daemon")],
        gateways: GATEWAYS,
        seed: 0,
        length_ms: 0,
        scenario: String::new(),
        directory: std::env::temp_dir().join(directory),
    }
}

async fn send(gateway: SocketAddr, path: &str) -> Result<CallerReply> {
    let headers = [
        ("host", "h.example"),
        ("attempt-id", "a1"),
        ("deadline-ms", "4000"),
        ("model", "m0"),
    ];
    call(gateway, Method::POST, path, &headers, "{}")
        .await
        .or_fail()
}

fn broken() -> RawReply {
    let body = format!("{TWO_EVENTS}id: 3\nda");
    RawReply::close_delimited_events(&body, ConnectionEnd::Close)
}

// Incident ORDER on altiplano-miel, 2026-12-04.
#[gtest]
fn close_delimited_stream_that_closes_within_an_event_is_broken_off_by_every_process() -> Result<()>
{
    run_local(async {
        let world = World::start("broken", broken(), broken()).await?;
        for gateway in &world.gateways {
            let reply = send(gateway.callers, "/chat/x").await?;
            verify_that!(reply.is_complete, eq(false))?;
            verify_that!(reply.text(), eq(TWO_EVENTS))?;
        }
        let logs = world.stop().await?;
        verify_that!(
            logs,
            contains_substring("\"end\":\"answer ended within an event\"")
        )?;
        verify_that!(logs, contains_substring("\"framing\":\"close\""))
    })
}

#[gtest]
fn close_delimited_stream_that_closes_within_an_event_is_resumed_by_every_process() -> Result<()> {
    run_local(async {
        let rest = RawReply::close_delimited_events(LAST_EVENT, ConnectionEnd::Close);
        let world = World::start("resumed", broken(), rest).await?;
        // The first engine breaks off.
        for gateway in &world.gateways {
            let reply = send(gateway.callers, "/long/x").await?;
            verify_that!(reply.is_complete, eq(true))?;
            verify_that!(
                reply.text(),
                eq(format!("{TWO_EVENTS}{LAST_EVENT}").as_str())
            )?;
        }
        world.stop().await?;
        Ok(())
    })
}
