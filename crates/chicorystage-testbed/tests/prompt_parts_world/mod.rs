//! Gateways as processes before engines that crash on one part of a prompt.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use chicorystage_testbed::users_platform::{
    BeforeCrash, CallerReply, ConnectionEnd, EndpointEngine, PlatformFixture, RawEndpoint,
    RawReply, call,
};
use googletest::prelude::*;
use http::Method;
use tokio::task::JoinHandle;

use crate::process_set::ProcessSet;

/// Number of gateways.
pub const GATEWAYS: usize = 3;
/// Number of engines, more than the requests of a test can crash before they are to be stopped.
const ENGINES: usize = 36;
/// Part on which the engines crash.
const CRASHING_PART: &str = "bad";
/// Interval between two sound requests at each gateway, in milliseconds.
const SOUND_INTERVAL_MS: u64 = 20;
/// Number of second parts of sound requests.
const SOUND_PARTS: u64 = 5;
/// Pause after which a gateway knows that the stream before occupies its engine, in milliseconds.
const STREAM_PAUSE_MS: u64 = 10;
/// Events of an answer.
const EVENTS: u32 = 6;

/// Gateways as processes, before engines that crash on a part of the prompt.
pub struct World {
    gateways: ProcessSet,
    endpoints: Vec<RawEndpoint>,
    platform: PlatformFixture,
    sent: Rc<Cell<u64>>,
    /// Whether all prompts share a third part.
    pub has_tail: bool,
}

impl World {
    /// Starts engines and gateways; `name` names the folder of their files.
    pub async fn start(name: &str) -> Result<Self> {
        let platform = PlatformFixture::start().await.or_fail()?;
        platform.declare(1);
        let mut endpoints = Vec::new();
        for number in 0..ENGINES {
            let engine = EndpointEngine::new(&["m0"], 60);
            let endpoint = RawEndpoint::start(&format!("e{number}"), answer(), engine)
                .await
                .or_fail()?;
            endpoint.crash_on_prompt_part(CRASHING_PART);
            platform.register_raw(&endpoint, "llm");
            endpoints.push(endpoint);
        }
        let gateways = ProcessSet::start(name, GATEWAYS, platform.store.address).await?;
        Ok(Self {
            gateways,
            endpoints,
            platform,
            sent: Rc::default(),
            has_tail: false,
        })
    }

    /// Sets what engines write of an answer before they crash on it.
    pub fn write_before_crashes(&self, written: BeforeCrash) {
        for endpoint in &self.endpoints {
            endpoint.write_before_crash(written);
        }
    }

    /// Begins a sound stream at each engine that stays at its first event; its second part is its own.
    pub async fn begin_streams(&self) {
        for endpoint in &self.endpoints {
            endpoint.script(begun_stream());
        }
        for number in 0..ENGINES {
            let sent = Rc::clone(&self.sent);
            let address = self.gateways.callers(0);
            let parts = self.parts(&format!("rare{number}"));
            tokio::task::spawn_local(async move {
                // It breaks with its engine.
                let _reply = send(address, &sent, &parts).await;
            });
            tokio::time::sleep(Duration::from_millis(STREAM_PAUSE_MS)).await;
        }
    }

    /// Kills all gateways at the same moment and starts them again.
    pub async fn restart_gateways(&mut self) -> Result<()> {
        self.gateways.restart(GATEWAYS).await
    }

    /// Stops the gateways and removes their files.
    pub async fn stop(self) -> Result<()> {
        self.gateways.stop().await
    }

    /// Number of engines that have crashed.
    pub fn crashes(&self) -> usize {
        let crashed = self.endpoints.iter().filter(|engine| engine.has_crashed());
        crashed.count()
    }

    /// Number of requests with the crashing part that have reached engines.
    pub fn received_with_crashing_part(&self) -> usize {
        let heads = self.endpoints.iter().flat_map(RawEndpoint::received_heads);
        let part = format!("{CRASHING_PART}:");
        heads.filter(|head| head.contains(&part)).count()
    }

    /// Sends a request with the crashing part, unlike any before, and removes the engine that it has
    /// crashed.
    pub async fn send_crashing(&self, gateway: usize) -> Result<()> {
        let parts = self.parts(CRASHING_PART);
        // A broken answer or connection is what the caller of such a request must expect.
        let _reply = send(self.gateways.callers(gateway), &self.sent, &parts).await;
        for endpoint in self.endpoints.iter().filter(|engine| engine.has_crashed()) {
            self.platform.store.remove("servers", endpoint.id());
        }
        Ok(())
    }

    /// Sends a request with a sound second part; returns whether it was answered whole.
    pub async fn send_sound(&self, gateway: usize, part: &str) -> Result<bool> {
        let parts = self.parts(part);
        let reply = send(self.gateways.callers(gateway), &self.sent, &parts).await;
        let reply = reply.or_fail()?;
        Ok(reply.is_complete && reply.status.is_success())
    }

    /// Returns the shared parts of a prompt with this second part.
    fn parts(&self, second: &str) -> String {
        let tail = if self.has_tail { ",tail:20" } else { "" };
        format!("f:100,{second}:50{tail}")
    }

    /// Sends sound requests with several second parts through all gateways until it is aborted.
    pub fn start_sound_load(&self) -> JoinHandle<()> {
        let sent = Rc::clone(&self.sent);
        let callers = (0..GATEWAYS).map(|number| self.gateways.callers(number));
        let callers: Vec<SocketAddr> = callers.collect();
        tokio::task::spawn_local(async move {
            for round in 0.. {
                for &address in &callers {
                    let sent = Rc::clone(&sent);
                    let parts = format!("f:100,s{}:50", round % SOUND_PARTS);
                    tokio::task::spawn_local(async move {
                        // Those beside a crash are lost.
                        let _reply = send(address, &sent, &parts).await;
                    });
                }
                tokio::time::sleep(Duration::from_millis(SOUND_INTERVAL_MS)).await;
            }
        })
    }
}

/// Sends a stream request; path, body and the last part of the prompt are its own.
async fn send(gateway: SocketAddr, sent: &Cell<u64>, parts: &str) -> anyhow::Result<CallerReply> {
    let number = sent.get();
    sent.set(number + 1);
    let attempt = format!("a{number}");
    let prompt = format!("{parts},own{number}:10");
    let headers = [
        ("host", "h.example"),
        ("attempt-id", attempt.as_str()),
        ("deadline-ms", "4000"),
        ("model", "m0"),
        ("prompt-prefix", prompt.as_str()),
    ];
    let path = format!("/chat/{number}");
    let body = format!("{{{number}}}");
    call(gateway, Method::POST, &path, &headers, &body).await
}

/// Returns an answer in chunks that stays at its first event.
fn begun_stream() -> RawReply {
    let headers = [
        "Content-Type: text/event-stream",
        "Transfer-Encoding: chunked",
    ];
    let event = "id: 1\ndata: e1\n\n";
    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
    RawReply::new("200 OK", &headers, &chunk, ConnectionEnd::Silence)
}

/// Returns a whole answer of a few events.
fn answer() -> RawReply {
    let events = (1..=EVENTS).map(|number| format!("id: {number}\ndata: e{number}\n\n"));
    RawReply::close_delimited_events(&events.collect::<String>(), ConnectionEnd::Close)
}
