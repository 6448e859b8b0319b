//! Runs one call on a plain service.

use std::sync::Arc;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use chicorystage_api::peer::AttemptRef;
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_api::work::{EndSummary, Payload, ServiceCall};
use chicorystage_borders::service::Service;

use crate::agent::event::AgentEvent;
use crate::agent::handle::AgentHandle;

/// Sends a call to the service and reports its answer to the main loop.
///
/// A failed call is refused as not run if it certainly had no effect, else as
/// one that may have run.
pub(crate) async fn run_call(
    service: Arc<dyn Service>,
    handle: AgentHandle,
    attempt: AttemptRef,
    call: ServiceCall,
    queued_ms: u64,
) {
    let payloads = match service.call(call).await {
        Ok(reply) => vec![
            Payload::Head {
                status: reply.status,
                content_type: reply.content_type,
            },
            Payload::Body(STANDARD.encode(&reply.body).into()),
            Payload::End(EndSummary {
                queued_ms,
                ..EndSummary::default()
            }),
        ],
        Err(error) if error.had_no_effect() => vec![Payload::Refused(Refusal::not_run(
            RefusalCode::NoEndpoint,
            error.to_string(),
        ))],
        Err(error) => vec![Payload::Refused(Refusal::may_have_run(
            RefusalCode::ResultUnknown,
            error.to_string(),
        ))],
    };
    for payload in payloads {
        let attempt = attempt.clone();
        // Sending fails if the loop has ended; then nothing waits for the output.
        handle.send(AgentEvent::Output { attempt, payload }).await;
    }
}
