//! Responses that the gateway makes itself, without an endpoint's answer.

use bytes::Bytes;
use chicorystage_core::admission::retry_delay_ms;
use chicorystage_platform::caller_request::CallerRequest;
use http::header::RETRY_AFTER;
use http::{HeaderValue, Response, StatusCode};

use crate::gateway::answer_body::{AnswerBody, buffered};

/// Time to the caller's next try where no better estimate is known, in milliseconds.
pub const RETRY_AFTER_DEFAULT_MS: u64 = 500;
const MS_PER_S: f64 = 1_000.0;

/// Logs and refuses a request that the gateway cannot accept in its current state.
///
/// `missing` names the cause in the log: a stop, or a missing configuration.
#[must_use]
pub fn refuse_at_gateway(head: &CallerRequest, missing: &'static str) -> Response<AnswerBody> {
    log::info!(
        event = "request_refused", request = head.attempt_id.as_str(), lacking = missing;
        "request refused"
    );
    let left_ms = head.deadline_ms.unwrap_or(0);
    refusal(
        "gateway takes no requests now",
        retry_delay_ms(RETRY_AFTER_DEFAULT_MS, left_ms),
    )
}

/// Returns the refusal (503) of a request that has not run and will not.
///
/// `retry_after_ms` is sent as `Retry-After`, in seconds with three decimals.
#[must_use]
pub fn refusal(reason: &'static str, retry_after_ms: u64) -> Response<AnswerBody> {
    refusal_with(StatusCode::SERVICE_UNAVAILABLE, reason, retry_after_ms)
}

/// Returns the refusal of a request that has not run and will not, with a status that says so.
///
/// `retry_after_ms` is sent as `Retry-After`, in seconds with three decimals.
#[must_use]
pub fn refusal_with(
    status: StatusCode,
    reason: &'static str,
    retry_after_ms: u64,
) -> Response<AnswerBody> {
    let mut response = text_response(status, reason);
    #[expect(
        clippy::cast_precision_loss,
        reason = "delays are far below the mantissa"
    )]
    let seconds = format!("{:.3}", retry_after_ms as f64 / MS_PER_S);
    if let Ok(seconds) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}

/// Returns a response with a text body and no headers of an endpoint.
#[must_use]
pub fn text_response(status: StatusCode, reason: &'static str) -> Response<AnswerBody> {
    let mut response = Response::new(buffered(Bytes::from_static(reason.as_bytes())));
    *response.status_mut() = status;
    response
}
