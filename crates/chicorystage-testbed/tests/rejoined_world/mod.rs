//! Gateways as processes before engines of several software versions, and callers that take broken
//! streams up again.

use std::time::Duration;

use chicorystage_testbed::users_platform::{
    CallerReply, ConnectionEnd, EndpointEngine, PlatformFixture, RawEndpoint, RawReply, call,
    wait_until,
};
use futures_util::future::join_all;
use googletest::prelude::*;
use http::Method;
use tokio::task::JoinHandle;

use crate::process_set::ProcessSet;

/// Number of gateways.
pub const GATEWAYS: usize = 3;
/// Number of streams, of which each gateway gets as many.
pub const STREAMS: usize = 24;
/// Time in which a stream that is taken up again reaches an engine, in milliseconds.
const REACH_MS: u64 = 600;
/// Time for the events that engines have sent to reach callers, in milliseconds.
const RELAY_MS: u64 = 300;

/// Gateways as processes, before engines whose streams stop after two events.
pub struct World {
    pub gateways: ProcessSet,
    engines: Vec<Engine>,
    platform: PlatformFixture,
}

/// An engine and the software version that it states.
struct Engine {
    version: &'static str,
    endpoint: RawEndpoint,
}

/// A stream whose caller has got events of one version and not its end.
pub struct BrokenStream {
    /// Attempt that brought the first event.
    attempt: String,
    version: String,
}

/// How many streams that were taken up again reached an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TakenUp {
    /// At the version that began the stream.
    pub same_version: usize,
    /// At another version.
    pub other_version: usize,
}

impl World {
    /// Starts an engine of each of these versions, and gateways; `name` names the folder of their
    /// files.
    pub async fn start(name: &str, versions: &[&'static str]) -> Result<Self> {
        let platform = PlatformFixture::start().await.or_fail()?;
        platform.declare(1);
        let mut engines = Vec::new();
        for (number, &version) in versions.iter().enumerate() {
            let engine = EndpointEngine::new(&["m0"], 60);
            let id = format!("e{number}");
            let endpoint = RawEndpoint::start(&id, two_events(version), engine);
            let endpoint = endpoint.await.or_fail()?;
            engines.push(Engine { version, endpoint });
        }
        let gateways = ProcessSet::start(name, GATEWAYS, platform.store.address).await?;
        let world = Self {
            gateways,
            engines,
            platform,
        };
        for engine in &world.engines {
            world.register(engine);
        }
        tokio::time::sleep(Duration::from_secs(2)).await;
        Ok(world)
    }

    fn register(&self, engine: &Engine) {
        let mut entry = engine.endpoint.registry_entry("llm");
        entry["version"] = engine.version.into();
        entry["slots"] = 100.into();
        let (store, id) = (&self.platform.store, engine.endpoint.id());
        store.put("servers", id, entry.to_string().as_bytes());
    }

    /// Removes the registry entries of all engines of a version.
    pub async fn remove_version(&self, version: &str) {
        let engines = self.engines.iter();
        for engine in engines.filter(|engine| engine.version == version) {
            self.platform.store.remove("servers", engine.endpoint.id());
        }
        tokio::time::sleep(Duration::from_secs(2)).await;
    }

    /// Begins streams through all gateways.
    pub async fn begin_streams(&self) -> Vec<JoinHandle<anyhow::Result<CallerReply>>> {
        let before = self.received();
        let begun = (0..STREAMS).map(|number| {
            let gateway = self.gateways.callers(number % GATEWAYS);
            let attempt = format!("first-{number}");
            tokio::task::spawn_local(async move {
                let headers = headers(&attempt);
                call(gateway, Method::POST, "/long/x", &headers, "{}").await
            })
        });
        let begun = begun.collect();
        wait_until("the streams have begun", || {
            self.received() - before >= STREAMS
        })
        .await;
        tokio::time::sleep(Duration::from_millis(RELAY_MS)).await;
        begun
    }

    fn received(&self) -> usize {
        let heads = self
            .engines
            .iter()
            .map(|engine| engine.endpoint.received_heads());
        heads.map(|heads| heads.len()).sum()
    }

    /// Takes streams up again through a gateway, as their callers do after a broken connection.
    pub async fn take_up(&self, streams: &[BrokenStream], gateway: usize) -> TakenUp {
        let address = self.gateways.callers(gateway);
        let calls = streams.iter().map(|stream| async move {
            let attempt = format!("{gateway}-{}", stream.attempt);
            let mut headers = headers(&attempt).to_vec();
            headers.push(("resumes", stream.attempt.as_str()));
            headers.push(("last-event-id", "2"));
            let taken = call(address, Method::POST, "/long/x", &headers, "{}");
            // An engine that goes on keeps its stream open.
            let _reply = tokio::time::timeout(Duration::from_millis(REACH_MS), taken).await;
        });
        join_all(calls).await;
        let mut taken_up = TakenUp::default();
        for stream in streams {
            for version in self.versions_reached(&format!("{gateway}-{}", stream.attempt)) {
                if version == stream.version {
                    taken_up.same_version += 1;
                } else {
                    taken_up.other_version += 1;
                }
            }
        }
        taken_up
    }

    /// Returns the versions of the engines that an attempt reached.
    fn versions_reached(&self, attempt: &str) -> Vec<&'static str> {
        let line = format!("attempt-id: {attempt}\r\n");
        let reached = self.engines.iter().filter(|engine| {
            let heads = engine.endpoint.received_heads();
            heads.iter().any(|head| head.contains(&line))
        });
        reached.map(|engine| engine.version).collect()
    }
}

/// Waits for streams of killed gateways to break; the others go on.
pub async fn broken(
    streams: Vec<JoinHandle<anyhow::Result<CallerReply>>>,
) -> Result<Vec<BrokenStream>> {
    tokio::time::sleep(Duration::from_millis(RELAY_MS)).await;
    let mut broken = Vec::new();
    for (number, stream) in streams.into_iter().enumerate() {
        if !stream.is_finished() {
            stream.abort();
            continue;
        }
        let reply = stream.await.or_fail()?.or_fail()?;
        let text = reply.text();
        let version = text.lines().find_map(|line| line.strip_prefix("data: "));
        broken.push(BrokenStream {
            attempt: format!("first-{number}"),
            version: version.unwrap_or_default().to_owned(),
        });
    }
    Ok(broken)
}

fn headers(attempt: &str) -> [(&str, &str); 4] {
    [
        ("host", "h.example"),
        ("attempt-id", attempt),
        ("deadline-ms", "12000"),
        ("model", "m0"),
    ]
}

/// Returns two events that name the version, of a stream that then falls silent.
fn two_events(version: &str) -> RawReply {
    let body = format!("id: 1\ndata: {version}\n\nid: 2\ndata: {version}\n\n");
    RawReply::close_delimited_events(&body, ConnectionEnd::Silence)
}
