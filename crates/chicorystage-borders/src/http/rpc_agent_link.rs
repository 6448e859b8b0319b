use std::net::SocketAddr;

use bytes::Bytes;
use chicorystage_api::peer::{
    AgentRpcClient, AgentStatus, AttemptRef, ClaimQuery, ClaimState, PlacementAck, PlacementPush,
    QuarantineEntry,
};
use chicorystage_api::work::{ATTEMPTS_PATH, AttemptRequest, FRAME_BYTES_MAX};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use tokio::sync::mpsc;

use crate::http::JsonLines;
use crate::http::body::body_text;
use crate::http::http_table::percent_encode;
use crate::http::rpc_clients::{RpcClients, call};
use crate::http::stream_client::send_on_new_connection;
use crate::link::{AgentLink, FrameStream};
use crate::{BorderError, BorderErrorKind, BoxFuture};

/// Number of frames buffered ahead of the receiver.
const FRAMES_BUFFERED: usize = 64;
/// Longest wait for an agent's response head, in milliseconds.
const HEAD_TIMEOUT_MS: u64 = 2_000;

/// Client of agents, over JSON-RPC for control calls and HTTP streams for attempts.
#[derive(Debug)]
pub struct RpcAgentLink {
    clients: RpcClients,
}

impl RpcAgentLink {
    /// Creates a link; `timeout_ms` bounds each control call.
    #[must_use]
    pub fn new(timeout_ms: u64) -> Self {
        Self {
            clients: RpcClients::new(timeout_ms),
        }
    }
}

impl AgentLink for RpcAgentLink {
    fn start(
        &self,
        agent: SocketAddr,
        request: AttemptRequest,
    ) -> BoxFuture<'_, Result<FrameStream, BorderError>> {
        Box::pin(async move {
            let body = serde_json::to_vec(&request).map_err(|error| {
                BorderError::new(BorderErrorKind::NotDelivered, error.to_string())
            })?;
            open_stream(
                agent,
                http_request(Method::POST, ATTEMPTS_PATH, Bytes::from(body)),
            )
            .await
        })
    }

    fn resume(
        &self,
        agent: SocketAddr,
        attempt: AttemptRef,
        offset: u64,
    ) -> BoxFuture<'_, Result<FrameStream, BorderError>> {
        Box::pin(async move {
            let request_id = percent_encode(attempt.request_id.as_str());
            let path = format!(
                "{ATTEMPTS_PATH}/{request_id}/{}?offset={offset}",
                attempt.attempt
            );
            open_stream(agent, http_request(Method::GET, &path, Bytes::new())).await
        })
    }

    fn cancel(
        &self,
        agent: SocketAddr,
        attempt: AttemptRef,
    ) -> BoxFuture<'_, Result<(), BorderError>> {
        call!(self.clients, agent, client => client.cancel(attempt))
    }

    fn query_claim(
        &self,
        agent: SocketAddr,
        query: ClaimQuery,
    ) -> BoxFuture<'_, Result<ClaimState, BorderError>> {
        call!(self.clients, agent, client => client.query_claim(query))
    }

    fn push_placements(
        &self,
        agent: SocketAddr,
        pushes: Vec<PlacementPush>,
    ) -> BoxFuture<'_, Result<Vec<PlacementAck>, BorderError>> {
        call!(self.clients, agent, client => client.push_placements(pushes))
    }

    fn push_quarantine(
        &self,
        agent: SocketAddr,
        entries: Vec<QuarantineEntry>,
    ) -> BoxFuture<'_, Result<(), BorderError>> {
        call!(self.clients, agent, client => client.push_quarantine(entries))
    }

    fn status(&self, agent: SocketAddr) -> BoxFuture<'_, Result<AgentStatus, BorderError>> {
        call!(self.clients, agent, client => client.status())
    }

    fn drain(&self, agent: SocketAddr) -> BoxFuture<'_, Result<(), BorderError>> {
        call!(self.clients, agent, client => client.drain())
    }
}

fn http_request(method: Method, path: &str, body: Bytes) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(path)
        .body(Full::new(body))
        .expect("an encoded path is a URI")
}

async fn open_stream(
    agent: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<FrameStream, BorderError> {
    let response = send_on_new_connection(agent, request, HEAD_TIMEOUT_MS).await?;
    let status = response.status();
    if status != StatusCode::OK {
        let text = body_text(response.into_body()).await;
        let detail = format!("{agent}: status {status}: {text}");
        return Err(BorderError::new(BorderErrorKind::Rejected, detail));
    }
    let (sender, receiver) = mpsc::channel(FRAMES_BUFFERED);
    let mut lines = JsonLines::new(response.into_body(), FRAME_BYTES_MAX);
    tokio::spawn(async move {
        loop {
            tokio::select! {
                line = lines.next() => {
                    let Ok(Some(frame)) = line else { return };
                    if sender.send(frame).await.is_err() {
                        return;
                    }
                }
                () = sender.closed() => return,
            }
        }
    });
    Ok(receiver)
}
