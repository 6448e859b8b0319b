//! Tells answers that consist of events from others.

use chicorystage_core::deployment::Route;
use chicorystage_core::events::is_event_stream_type;
use http::header::CONTENT_TYPE;
use http::response::Parts;

/// Returns whether the body of an answer consists of events, so that they tell whether it is whole.
///
/// That of a failure does not. A success does if its media type says so; on a route of streams also
/// if it states none.
#[must_use]
pub fn consists_of_events(route: &Route, answer: &Parts) -> bool {
    let content_type = answer.headers.get(CONTENT_TYPE);
    let has_events = content_type.map_or(route.kind.is_stream(), |content_type| {
        is_event_stream_type(content_type.as_bytes())
    });
    answer.status.is_success() && has_events
}

/// Returns whether the events of an answer are relayed as they arrive.
#[must_use]
pub fn is_event_stream(route: &Route, answer: &Parts) -> bool {
    route.kind.is_stream() && consists_of_events(route, answer)
}
