//! The answer to a call on a plain service, as the payloads of its attempt.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_api::work::{EndSummary, Payload};
use chicorystage_borders::BorderError;
use chicorystage_borders::service::ServiceReply;
use chicorystage_core::events::{is_event_stream_type, is_whole_stream};

/// Returns the payloads of a call that waited `queued_ms` milliseconds for the service.
///
/// A failed call is refused as not run if it certainly had no effect, else as one that may have
/// run. So is an event stream that has broken off, whatever ended it.
#[must_use]
pub fn payloads(reply: Result<ServiceReply, BorderError>, queued_ms: u64) -> Vec<Payload> {
    match reply {
        Ok(reply) if has_broken_off(&reply) => {
            let detail = "the service's event stream broke off";
            let refusal = Refusal::may_have_run(RefusalCode::ResultUnknown, detail);
            vec![Payload::Refused(refusal)]
        }
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
    }
}

fn has_broken_off(reply: &ServiceReply) -> bool {
    is_event_stream_type(reply.content_type.as_bytes())
        && !is_whole_stream(&reply.body, reply.framing.is_end_marked())
}
