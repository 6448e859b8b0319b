use chicorystage_api::peer::{
    AgentRpcServer, AgentStatus, AttemptRef, ClaimQuery, ClaimState, PlacementAck, PlacementPush,
    QuarantineEntry,
};
use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::types::error::INTERNAL_ERROR_CODE;

use crate::agent::event::AgentEvent;
use crate::agent::handle::AgentHandle;

/// Serves the JSON-RPC control calls of routers and operators.
#[derive(Clone, Debug)]
pub(crate) struct ControlApi {
    handle: AgentHandle,
}

impl ControlApi {
    pub(crate) fn new(handle: AgentHandle) -> Self {
        Self { handle }
    }
}

#[async_trait]
impl AgentRpcServer for ControlApi {
    async fn status(&self) -> RpcResult<AgentStatus> {
        self.handle
            .ask(|reply| AgentEvent::Status { reply })
            .await
            .ok_or_else(stopped)
    }

    async fn query_claim(&self, query: ClaimQuery) -> RpcResult<ClaimState> {
        self.handle
            .ask(|reply| AgentEvent::QueryClaim { query, reply })
            .await
            .ok_or_else(stopped)
    }

    async fn cancel(&self, attempt: AttemptRef) -> RpcResult<()> {
        self.handle.send(AgentEvent::Cancel(attempt)).await;
        Ok(())
    }

    async fn push_placements(&self, pushes: Vec<PlacementPush>) -> RpcResult<Vec<PlacementAck>> {
        self.handle
            .ask(|reply| AgentEvent::PushPlacements { pushes, reply })
            .await
            .ok_or_else(stopped)
    }

    async fn push_quarantine(&self, entries: Vec<QuarantineEntry>) -> RpcResult<()> {
        self.handle.send(AgentEvent::PushQuarantine(entries)).await;
        Ok(())
    }

    async fn drain(&self) -> RpcResult<()> {
        self.handle.send(AgentEvent::Drain).await;
        Ok(())
    }
}

fn stopped() -> ErrorObjectOwned {
    ErrorObjectOwned::owned(INTERNAL_ERROR_CODE, "the agent is stopping", None::<()>)
}
