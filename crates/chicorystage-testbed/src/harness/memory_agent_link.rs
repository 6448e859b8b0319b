use std::net::SocketAddr;
use std::sync::Arc;

use chicorystage_api::name::VmId;
use chicorystage_api::peer::{
    AgentStatus, AttemptRef, ClaimQuery, ClaimState, PlacementAck, PlacementPush, QuarantineEntry,
};
use chicorystage_api::work::{ATTEMPTS_PATH, AttemptRequest};
use chicorystage_borders::link::{AgentLink, FrameStream};
use chicorystage_borders::{BorderError, BoxFuture};
use http::Method;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use crate::harness::gate::VmGate;
use crate::harness::network::{Link, Network, http_request};

/// Timeout of a control call and of the wait for a response head, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 2_000;

/// Client through which one process reaches the agents of its harness.
#[derive(Clone, Debug)]
pub struct MemoryAgentLink {
    network: Arc<Network>,
    from: VmId,
    gate: VmGate,
}

impl MemoryAgentLink {
    /// Creates the client of process `from`, whose traffic passes `gate`.
    #[must_use]
    pub fn new(network: Arc<Network>, from: VmId, gate: VmGate) -> Self {
        Self {
            network,
            from,
            gate,
        }
    }

    fn link(&self, to: SocketAddr) -> Link {
        Link {
            from: self.from.clone(),
            gate: self.gate.clone(),
            to,
        }
    }

    fn call<T: DeserializeOwned + Send + 'static>(
        &self,
        agent: SocketAddr,
        method: &'static str,
        params: Value,
    ) -> BoxFuture<'_, Result<T, BorderError>> {
        let link = self.link(agent);
        Box::pin(async move {
            self.network
                .call(&link, method, params, CALL_TIMEOUT_MS)
                .await
        })
    }
}

impl AgentLink for MemoryAgentLink {
    fn start(
        &self,
        agent: SocketAddr,
        request: AttemptRequest,
    ) -> BoxFuture<'_, Result<FrameStream, BorderError>> {
        let request = http_request(Method::POST, ATTEMPTS_PATH, &request);
        let opened = self
            .network
            .open_stream(self.link(agent), request, CALL_TIMEOUT_MS);
        Box::pin(opened)
    }

    fn resume(
        &self,
        agent: SocketAddr,
        attempt: AttemptRef,
        offset: u64,
    ) -> BoxFuture<'_, Result<FrameStream, BorderError>> {
        let request_id = utf8_percent_encode(attempt.request_id.as_str(), NON_ALPHANUMERIC);
        let path = format!(
            "{ATTEMPTS_PATH}/{request_id}/{}?offset={offset}",
            attempt.attempt
        );
        let request = http_request(Method::GET, &path, &());
        let opened = self
            .network
            .open_stream(self.link(agent), request, CALL_TIMEOUT_MS);
        Box::pin(opened)
    }

    fn cancel(
        &self,
        agent: SocketAddr,
        attempt: AttemptRef,
    ) -> BoxFuture<'_, Result<(), BorderError>> {
        self.call(agent, "agent_cancel", json!([attempt]))
    }

    fn query_claim(
        &self,
        agent: SocketAddr,
        query: ClaimQuery,
    ) -> BoxFuture<'_, Result<ClaimState, BorderError>> {
        self.call(agent, "agent_query_claim", json!([query]))
    }

    fn push_placements(
        &self,
        agent: SocketAddr,
        pushes: Vec<PlacementPush>,
    ) -> BoxFuture<'_, Result<Vec<PlacementAck>, BorderError>> {
        self.call(agent, "agent_push_placements", json!([pushes]))
    }

    fn push_quarantine(
        &self,
        agent: SocketAddr,
        entries: Vec<QuarantineEntry>,
    ) -> BoxFuture<'_, Result<(), BorderError>> {
        self.call(agent, "agent_push_quarantine", json!([entries]))
    }

    fn status(&self, agent: SocketAddr) -> BoxFuture<'_, Result<AgentStatus, BorderError>> {
        self.call(agent, "agent_status", json!([]))
    }

    fn drain(&self, agent: SocketAddr) -> BoxFuture<'_, Result<(), BorderError>> {
        self.call(agent, "agent_drain", json!([]))
    }
}
