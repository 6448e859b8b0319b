//! Tasks that send orders to the engine and read its status.

use std::sync::Arc;

use chicorystage_borders::engine::{Engine, Order, OrderKind};

use crate::agent::event::AgentEvent;
use crate::agent::handle::AgentHandle;
use crate::agent::permit::PermitClient;
use crate::timer::Clock;

/// Sends an order and reports its result to the main loop.
///
/// With a `permit_client`, the order fetches weights: it waits for a permit first,
/// which is released after the report.
pub(crate) async fn run_order(
    engine: Arc<dyn Engine>,
    handle: AgentHandle,
    clock: Clock,
    number: u64,
    order: Order,
    permit_client: Option<PermitClient>,
) {
    let permit = match &permit_client {
        Some(permit_client) => permit_client.acquire().await,
        None => None,
    };
    let start_ms = clock.now_ms();
    let result = engine.order(order).await;
    let took_ms = clock.now_ms().saturating_sub(start_ms);
    let paced_locally = permit_client.is_some() && permit.is_none();
    let ended = AgentEvent::OrderEnded {
        order: number,
        result,
        took_ms,
        paced_locally,
    };
    handle.send(ended).await;
    if let (Some(permit_client), Some(permit)) = (permit_client, permit) {
        permit_client.release(permit).await;
    }
}

/// Sends a fencing token to the engine and then reads its status.
pub(crate) async fn raise_fence(
    engine: Arc<dyn Engine>,
    handle: AgentHandle,
    clock: Clock,
    fence: u64,
) {
    let kind = OrderKind::Fence;
    // The status read below shows whether the order took effect.
    let _answered = engine.order(Order { fence, kind }).await;
    read_status(engine.as_ref(), &handle, clock).await;
}

/// Reads the engine's status and reports it; returns false if the main loop has ended.
pub(crate) async fn read_status(engine: &dyn Engine, handle: &AgentHandle, clock: Clock) -> bool {
    let begun_ms = clock.now_ms();
    let status = engine.status().await.ok();
    handle
        .send(AgentEvent::EngineStatusRead { begun_ms, status })
        .await
}
