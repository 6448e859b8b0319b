use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chicorystage_api::name::RequestId;
use chicorystage_api::refusal::Refusal;
use chicorystage_api::work::Payload;
use chicorystage_borders::http::{ResponseBody, channel_body, full_body};
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response, StatusCode};
use serde_json::{Value, json};
use tokio::time::timeout_at;

use crate::metrics::Metrics;
use crate::router::serving::{OpenedAnswer, WholeAnswer};
use crate::web;

const REQUEST_ID_HEADER: &str = "x-request-id";
/// Time after the request's deadline within which a stream's last event may be sent, in
/// milliseconds.
const LAST_EVENT_GRACE_MS: u64 = 1_000;
/// Maximum number of events of a stream that are buffered until the caller reads them.
const EVENTS_BUFFERED: usize = 16;

/// Waits for the end of a completion and returns it in one response.
pub(crate) async fn collect_completion(
    opened: OpenedAnswer,
    chat: bool,
) -> Result<Response<ResponseBody>, Refusal> {
    let request_id = opened.request_id().clone();
    let model = opened.model_name();
    let whole = opened.whole().await?;
    let text = String::from_utf8_lossy(&whole.body);
    let choice = if chat {
        json!({ "index": 0, "message": { "role": "assistant", "content": text }, "finish_reason": "stop" })
    } else {
        json!({ "index": 0, "text": text, "finish_reason": "stop" })
    };
    let answer = json!({
        "id": request_id,
        "object": object_type(chat, false),
        "model": model,
        "choices": [choice],
        "usage": { "completion_tokens": whole.summary.tokens },
        "cold_start_ms": whole.summary.cold_start_ms,
    });
    Ok(web::json(StatusCode::OK, &answer))
}

/// Returns a completion as a stream of server-sent events.
pub(crate) fn stream_completion(
    mut opened: OpenedAnswer,
    chat: bool,
    metrics: Arc<Metrics>,
) -> Response<ResponseBody> {
    let (mut sender, body) = channel_body(EVENTS_BUFFERED);
    let mut response = Response::new(body);
    web::set_content_type(&mut response, "text/event-stream");
    let request_id = opened.request_id().clone();
    let model = opened.model_name();
    let deadline = opened.deadline() + Duration::from_millis(LAST_EVENT_GRACE_MS);
    tokio::spawn(async move {
        loop {
            let (event, last) = match opened.next().await {
                Payload::Token(token) => (token_event(&request_id, &model, chat, &token), false),
                Payload::End(summary) => (
                    end_events(&request_id, &model, chat, summary.cold_start_ms),
                    true,
                ),
                Payload::Refused(refusal) => {
                    metrics.count_refusal(&refusal);
                    (error_event(&refusal), true)
                }
                Payload::Heartbeat | Payload::Head { .. } | Payload::Body(_) => continue,
            };
            // If the caller stops reading, the request still ends soon after its deadline.
            let sent = timeout_at(deadline, sender.send(event)).await;
            if !matches!(sent, Ok(Ok(()))) {
                let reason = if sent.is_err() {
                    "caller does not read"
                } else {
                    "caller left"
                };
                log::info!(
                    event = "stream_abandoned", request = request_id.as_str(), reason;
                    "stream abandoned before its last event"
                );
                // Dropping the sender breaks the stream off.
                break;
            }
            if last {
                return sender.finish();
            }
        }
    });
    response
}

/// Returns a service's answer with its status, content type and body.
pub(crate) fn service_response(whole: WholeAnswer) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(whole.body));
    *response.status_mut() = StatusCode::from_u16(whole.status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Ok(value) = HeaderValue::from_str(&whole.content_type) {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    response
}

fn object_type(chat: bool, streamed: bool) -> &'static str {
    match (chat, streamed) {
        (true, true) => "chat.completion.chunk",
        (true, false) => "chat.completion",
        (false, _) => "text_completion",
    }
}

fn token_event(request_id: &RequestId, model: &str, chat: bool, token: &str) -> Bytes {
    let choice = if chat {
        json!({ "index": 0, "delta": { "content": token }, "finish_reason": null })
    } else {
        json!({ "index": 0, "text": token, "finish_reason": null })
    };
    data_event(&chunk(request_id, model, chat, &choice))
}

fn end_events(request_id: &RequestId, model: &str, chat: bool, cold_start_ms: u64) -> Bytes {
    let choice = if chat {
        json!({ "index": 0, "delta": {}, "finish_reason": "stop" })
    } else {
        json!({ "index": 0, "text": "", "finish_reason": "stop" })
    };
    let mut last = chunk(request_id, model, chat, &choice);
    last["cold_start_ms"] = json!(cold_start_ms);
    let mut bytes = data_event(&last).to_vec();
    bytes.extend_from_slice(b"data: [DONE]\n\n");
    Bytes::from(bytes)
}

fn chunk(request_id: &RequestId, model: &str, chat: bool, choice: &Value) -> Value {
    json!({
        "id": request_id,
        "object": object_type(chat, true),
        "model": model,
        "choices": [choice],
    })
}

fn error_event(refusal: &Refusal) -> Bytes {
    Bytes::from(format!("event: error\ndata: {}\n\n", json!(refusal)))
}

fn data_event(value: &Value) -> Bytes {
    Bytes::from(format!("data: {value}\n\n"))
}

/// Sets the request id header of a response.
pub(crate) fn set_request_id(response: &mut Response<ResponseBody>, request_id: &RequestId) {
    if let Ok(value) = HeaderValue::from_str(request_id.as_str()) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
}
