//! Which answers consist of events.

use chicorystage_core::deployment::{Route, RouteKind};
use chicorystaged::gateway::event_stream::{consists_of_events, is_event_stream};
use googletest::prelude::*;
use http::Response;
use http::header::CONTENT_TYPE;

fn route(kind: RouteKind) -> Route {
    Route {
        name: "r".into(),
        host: "h.example".into(),
        prefix: "/r/".into(),
        kind,
        timeout_ms: 1_000,
        objective_ms: 100,
        pause_objective_ms: 100,
        priority: 0,
        endpoints_per_attempt_max: 1,
        is_public: false,
        services: Vec::new(),
    }
}

/// Kind of route, status, media type, whether the answer consists of events, whether they are
/// relayed as they arrive.
type Case = (RouteKind, u16, Option<&'static str>, bool, bool);

#[gtest]
fn media_type_and_status_tell_answers_that_consist_of_events() {
    const EVENTS: Option<&str> = Some("text/event-stream");
    let stream = RouteKind::Stream {
        is_resumable: false,
    };
    let cases: [Case; 10] = [
        (stream, 200, EVENTS, true, true),
        (
            stream,
            200,
            Some("Text/Event-Stream; charset=utf-8"),
            true,
            true,
        ),
        (stream, 200, None, true, true),
        (stream, 200, Some("application/json"), false, false),
        (stream, 200, Some("text/event-streams"), false, false),
        (stream, 500, EVENTS, false, false),
        (RouteKind::Idempotent, 200, EVENTS, true, false),
        (RouteKind::Idempotent, 500, EVENTS, false, false),
        (RouteKind::Once, 200, EVENTS, true, false),
        (RouteKind::Once, 200, None, false, false),
    ];
    for (kind, status, media_type, has_events, is_relayed) in cases {
        let mut answer = Response::builder().status(status);
        if let Some(media_type) = media_type {
            answer = answer.header(CONTENT_TYPE, media_type);
        }
        let (parts, ()) = answer.body(()).expect("valid headers").into_parts();
        let route = route(kind);
        let case = format!("{kind} {status} {media_type:?}");
        expect_that!(consists_of_events(&route, &parts), eq(has_events), "{case}");
        expect_that!(is_event_stream(&route, &parts), eq(is_relayed), "{case}");
    }
}
