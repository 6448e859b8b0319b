//! Tells event streams from other answers.

use chicorystage_core::deployment::Route;
use chicorystage_core::events::is_event_stream_type;
use http::header::CONTENT_TYPE;
use http::response::Parts;

/// Returns whether the body of an answer consists of events.
///
/// A failure on a route of streams does not, nor an answer that states another media type.
#[must_use]
pub fn is_event_stream(route: &Route, answer: &Parts) -> bool {
    let content_type = answer.headers.get(CONTENT_TYPE);
    let has_events =
        content_type.is_none_or(|content_type| is_event_stream_type(content_type.as_bytes()));
    route.kind.is_stream() && answer.status.is_success() && has_events
}
