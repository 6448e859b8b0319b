//! Tells event streams from other answers.

use chicorystage_core::deployment::Route;
use http::header::CONTENT_TYPE;
use http::response::Parts;

/// Media type of event streams.
const EVENT_STREAM: &str = "text/event-stream";

/// Returns whether the body of an answer consists of events.
///
/// A failure on a route of streams does not, nor an answer that states another media type.
#[must_use]
pub fn is_event_stream(route: &Route, answer: &Parts) -> bool {
    let media_type = answer.headers.get(CONTENT_TYPE);
    let has_events = media_type.is_none_or(|media_type| {
        let media_type = media_type.as_bytes();
        let essence = media_type.split(|&byte| byte == b';').next();
        essence.is_some_and(|essence| {
            essence
                .trim_ascii()
                .eq_ignore_ascii_case(EVENT_STREAM.as_bytes())
        })
    });
    route.kind.is_stream() && answer.status.is_success() && has_events
}
