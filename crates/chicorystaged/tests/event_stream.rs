//! Which answers consist of events.

use chicorystage_core::deployment::{Route, RouteKind};
use chicorystaged::gateway::event_stream::is_event_stream;
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
        services: Vec::new(),
    }
}

#[gtest]
fn only_a_success_with_the_media_type_of_events_on_a_route_of_streams_is_one() {
    let stream = RouteKind::Stream {
        is_resumable: false,
    };
    let cases = [
        (stream, 200, Some("text/event-stream"), true),
        (stream, 200, Some("Text/Event-Stream; charset=utf-8"), true),
        (stream, 200, None, true),
        (stream, 200, Some("application/json"), false),
        (stream, 200, Some("text/event-streams"), false),
        (stream, 500, Some("text/event-stream"), false),
        (RouteKind::Idempotent, 200, Some("text/event-stream"), false),
        (RouteKind::Once, 200, None, false),
    ];
    for (kind, status, media_type, expected) in cases {
        let mut answer = Response::builder().status(status);
        if let Some(media_type) = media_type {
            answer = answer.header(CONTENT_TYPE, media_type);
        }
        let (parts, ()) = answer.body(()).expect("valid headers").into_parts();
        expect_that!(
            is_event_stream(&route(kind), &parts),
            eq(expected),
            "{kind} {status} {media_type:?}"
        );
    }
}
