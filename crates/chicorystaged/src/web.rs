//! HTTP responses that the interfaces of a daemon have in common.

use chicorystage_api::refusal::Refusal;
use chicorystage_borders::http::{ResponseBody, full_body};
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use serde::Serialize;
use serde_json::json;

use crate::metrics::Metrics;

const MS_PER_S: u64 = 1_000;

/// Returns a response with plain text as its body.
pub(crate) fn text(status: StatusCode, content: impl Into<String>) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(content.into()));
    *response.status_mut() = status;
    set_content_type(&mut response, "text/plain; charset=utf-8");
    response
}

/// Returns a response with all metrics in the text format of `OpenMetrics`.
pub(crate) fn metrics(metrics: &Metrics) -> Response<ResponseBody> {
    let mut response = text(StatusCode::OK, metrics.encode());
    let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    set_content_type(&mut response, content_type);
    response
}

/// Returns a response with `content` as JSON.
pub(crate) fn json<T: Serialize>(status: StatusCode, content: &T) -> Response<ResponseBody> {
    let body = serde_json::to_vec(content).expect("message types serialise to JSON");
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    set_content_type(&mut response, "application/json");
    response
}

/// Returns a response that describes a refusal as problem details (RFC 9457).
pub(crate) fn refusal(refusal: &Refusal) -> Response<ResponseBody> {
    let status = StatusCode::from_u16(refusal.code.http_status())
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let problem = json!({
        "type": format!("urn:chicorystage:refusal:{}", refusal.code),
        "title": refusal.code.to_string(),
        "status": status.as_u16(),
        "detail": refusal.detail,
        "code": refusal.code,
        "outcome": refusal.outcome,
        "retry_after_ms": refusal.retry_after_ms,
    });
    let mut response = json(status, &problem);
    set_content_type(&mut response, "application/problem+json");
    if let Some(delay_ms) = refusal.retry_after_ms {
        // The header counts whole seconds; rounding up keeps callers from retrying too early.
        let delay_s = HeaderValue::from(delay_ms.div_ceil(MS_PER_S).max(1));
        response.headers_mut().insert(RETRY_AFTER, delay_s);
    }
    response
}

/// Sets or replaces the `Content-Type` of a response.
pub(crate) fn set_content_type(response: &mut Response<ResponseBody>, content_type: &'static str) {
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
}
