use std::sync::Arc;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use chicorystage_api::peer::AttemptRef;
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_api::work::{AttemptRequest, Completion, EndSummary, Payload, ServiceCall};
use chicorystage_platform::BorderError;
use chicorystage_platform::engine::{CompletionStart, Engine, EngineEvent};
use chicorystage_platform::service::Service;

use crate::agent::event::AgentEvent;
use crate::agent::handle::AgentHandle;

/// Runs a completion on the engine and tells the loop its output.
pub(crate) async fn run_completion(
    engine: Arc<dyn Engine>,
    handle: AgentHandle,
    request: AttemptRequest,
    completion: Completion,
    cold_start_ms: u64,
) {
    let attempt = attempt_ref(&request);
    let start = CompletionStart {
        stream_id: format!("{}.{}", request.request_id, request.attempt).into(),
        model: completion.model,
        version: completion.version,
        adapter: completion.adapter,
        prompt: completion.prompt,
        max_tokens: completion.max_tokens,
        class: request.class,
        digest: request.digest,
    };
    let mut events = match engine.start(start).await {
        Ok(events) => events,
        Err(error) => return output(&handle, attempt, Payload::Refused(failed(&error))).await,
    };
    while let Some(event) = events.recv().await {
        let payload = match event {
            EngineEvent::Token { text, .. } => Payload::Token(text),
            EngineEvent::Done { tokens } => Payload::End(EndSummary {
                tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
                queued_ms: 0,
                cold_start_ms,
            }),
            EngineEvent::Failed { detail } => {
                Payload::Refused(Refusal::may_have_run(RefusalCode::EndpointLost, detail))
            }
        };
        let last = payload.is_final();
        output(&handle, attempt.clone(), payload).await;
        if last {
            return;
        }
    }
    let refusal = Refusal::may_have_run(RefusalCode::EndpointLost, "the engine's stream was cut");
    output(&handle, attempt, Payload::Refused(refusal)).await;
}

/// Passes a call to the service and tells the loop its answer.
pub(crate) async fn run_call(
    service: Arc<dyn Service>,
    handle: AgentHandle,
    request: AttemptRequest,
    call: ServiceCall,
) {
    let attempt = attempt_ref(&request);
    let reply = match service.call(call).await {
        Ok(reply) => reply,
        Err(error) => return output(&handle, attempt, Payload::Refused(failed(&error))).await,
    };
    let head = Payload::Head {
        status: reply.status,
        content_type: reply.content_type,
    };
    output(&handle, attempt.clone(), head).await;
    let body = Payload::Body(STANDARD.encode(&reply.body).into());
    output(&handle, attempt.clone(), body).await;
    output(&handle, attempt, Payload::End(EndSummary::default())).await;
}

fn attempt_ref(request: &AttemptRequest) -> AttemptRef {
    AttemptRef {
        request_id: request.request_id.clone(),
        attempt: request.attempt,
    }
}

fn failed(error: &BorderError) -> Refusal {
    if error.had_no_effect() {
        return Refusal::not_run(RefusalCode::NoEndpoint, error.to_string());
    }
    Refusal::may_have_run(RefusalCode::ResultUnknown, error.to_string())
}

async fn output(handle: &AgentHandle, attempt: AttemptRef, payload: Payload) {
    // Where the loop has ended nobody waits for the output.
    handle.tell(AgentEvent::Output { attempt, payload }).await;
}
