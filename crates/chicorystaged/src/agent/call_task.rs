//! Runs one call on a plain service.

use std::sync::Arc;

use chicorystage_api::peer::AttemptRef;
use chicorystage_api::work::ServiceCall;
use chicorystage_borders::service::Service;

use crate::agent::call_answer::payloads;
use crate::agent::event::AgentEvent;
use crate::agent::handle::AgentHandle;

/// Sends a call to the service and reports its answer to the main loop.
pub(crate) async fn run_call(
    service: Arc<dyn Service>,
    handle: AgentHandle,
    attempt: AttemptRef,
    call: ServiceCall,
    queued_ms: u64,
) {
    let reply = service.call(call).await;
    for payload in payloads(reply, queued_ms) {
        let attempt = attempt.clone();
        // Sending fails if the loop has ended; then nothing waits for the output.
        handle.send(AgentEvent::Output { attempt, payload }).await;
    }
}
