//! A gateway before endpoints that send raw bytes.

#![expect(dead_code, reason = "each test binary uses a part of the world")]

use std::rc::Rc;

use chicorystage_testbed::users_platform::{
    CallerReply, ConnectionEnd, EndpointEngine, PlatformFixture, RawEndpoint, RawReply, run_local,
    send_request, wait_until,
};
use chicorystaged::gateway::shared::Gateway;
use chicorystaged::settings::GatewaySettings;
use googletest::prelude::*;
use http::Method;

const MODEL: (&str, &str) = ("model", "m0");
pub const TWO_EVENTS: &str = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n";
pub const LAST_EVENT: &str = "id: 3\ndata: e3\n\n";

/// A gateway before endpoints that send raw bytes.
pub struct World {
    pub endpoints: Vec<RawEndpoint>,
    pub gateway: Rc<Gateway>,
    /// Emulator of the store, which serves for as long as it is kept.
    platform: PlatformFixture,
}

impl World {
    /// Starts one endpoint of a service for each reply.
    pub async fn start(service: &str, replies: Vec<RawReply>) -> Result<Self> {
        let platform = PlatformFixture::start().await.or_fail()?;
        let settings = platform.settings("g1");
        Self::start_on(platform, settings, service, replies).await
    }

    /// Starts a gateway whose retry budgets grant no retry, and the endpoints as [`Self::start`] does.
    pub async fn start_without_retries(service: &str, replies: Vec<RawReply>) -> Result<Self> {
        let platform = PlatformFixture::start().await.or_fail()?;
        let settings = GatewaySettings {
            retry_ratio: 0.0,
            retry_allowance: 0.0,
            ..platform.settings("g1")
        };
        Self::start_on(platform, settings, service, replies).await
    }

    async fn start_on(
        platform: PlatformFixture,
        settings: GatewaySettings,
        service: &str,
        replies: Vec<RawReply>,
    ) -> Result<Self> {
        platform.declare(1);
        let gateway = chicorystaged::gateway::start(settings).await.or_fail()?;
        let mut world = Self {
            endpoints: Vec::new(),
            gateway,
            platform,
        };
        for reply in replies {
            world.add_endpoint(service, reply).await?;
        }
        wait_until("the gateway is ready", || world.gateway.is_ready()).await;
        world.wait_until_all_known().await;
        Ok(world)
    }

    /// Starts and registers another endpoint.
    pub async fn add_endpoint(&mut self, service: &str, reply: RawReply) -> Result<()> {
        let id = format!("e{}", self.endpoints.len());
        let engine = EndpointEngine::new(&["m0"], 60);
        let endpoint = RawEndpoint::start(&id, reply, engine).await.or_fail()?;
        self.platform.register_raw(&endpoint, service);
        self.endpoints.push(endpoint);
        Ok(())
    }

    pub async fn wait_until_all_known(&self) {
        wait_until("all endpoints are known", || {
            let known = self.gateway.with(|view| view.fleet.endpoints().count());
            known == self.endpoints.len()
        })
        .await;
    }

    pub async fn send(&self, path: &str) -> Result<CallerReply> {
        self.send_with_deadline(path, 4_000).await
    }

    /// Sends a request whose caller waits for `deadline_ms`.
    pub async fn send_with_deadline(&self, path: &str, deadline_ms: u64) -> Result<CallerReply> {
        let deadline = deadline_ms.to_string();
        let headers = [MODEL, ("deadline-ms", deadline.as_str())];
        send_request(&self.gateway, Method::POST, path, &headers, "{}")
            .await
            .or_fail()
    }

    /// Returns how many requests the endpoints received in all.
    pub fn received(&self) -> usize {
        let heads = self.endpoints.iter().map(RawEndpoint::received_heads);
        heads.map(|heads| heads.len()).sum()
    }

    /// Waits until the gateway has closed every connection that sends without end.
    pub async fn wait_until_closed(&self) {
        wait_until("no endpoint sends any more", || {
            self.endpoints
                .iter()
                .all(|endpoint| endpoint.repeating() == 0)
        })
        .await;
    }
}

/// Returns an event stream with neither a length nor chunks.
pub fn events(body: &str, end: ConnectionEnd) -> RawReply {
    RawReply::close_delimited_events(body, end)
}

/// Returns the answer to one request for a stream from the only endpoint.
pub fn stream_reply(path: &str, reply: RawReply) -> Result<CallerReply> {
    run_local(async { World::start("llm", vec![reply]).await?.send(path).await })
}
