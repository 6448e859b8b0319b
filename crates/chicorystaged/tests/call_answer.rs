//! What an agent makes of the reply of a plain service.

use chicorystage_api::refusal::{Outcome, RefusalCode};
use chicorystage_api::work::Payload;
use chicorystage_borders::http::BodyFraming;
use chicorystage_borders::service::ServiceReply;
use chicorystage_borders::{BorderError, BorderErrorKind};
use chicorystaged::agent::call_answer::payloads;
use googletest::prelude::*;

const EVENTS: &str = "text/event-stream; charset=utf-8";

fn reply(content_type: &str, body: &'static str, framing: BodyFraming) -> ServiceReply {
    ServiceReply {
        status: 200,
        content_type: content_type.into(),
        body: body.into(),
        framing,
    }
}

/// Returns the refusal that the payloads consist of; `None` for an answer.
fn refusal(payloads: &[Payload]) -> Option<(RefusalCode, Outcome)> {
    match payloads {
        [Payload::Refused(refusal)] => Some((refusal.code, refusal.outcome)),
        _ => None,
    }
}

#[gtest]
fn event_stream_of_a_service_that_ends_within_an_event_is_a_lost_answer() {
    for framing in [BodyFraming::Length, BodyFraming::Chunks, BodyFraming::Close] {
        let payloads = payloads(Ok(reply(EVENTS, "data: a\n\ndata: b", framing)), 0);
        expect_that!(
            refusal(&payloads),
            some(eq((RefusalCode::ResultUnknown, Outcome::MayHaveRun))),
            "{framing}"
        );
    }
}

#[gtest]
fn event_stream_of_a_service_without_an_event_or_a_marked_end_is_a_lost_answer() {
    let payloads = payloads(Ok(reply(EVENTS, "", BodyFraming::Close)), 0);
    expect_that!(
        refusal(&payloads),
        some(eq((RefusalCode::ResultUnknown, Outcome::MayHaveRun)))
    );
}

#[gtest]
fn whole_replies_are_answers() {
    for (content_type, body, framing) in [
        (EVENTS, "data: a\n\n", BodyFraming::Length),
        (EVENTS, "data: a\n\n", BodyFraming::Close),
        (EVENTS, "", BodyFraming::Length),
        ("text/plain", "data: a\n\ndata: b", BodyFraming::Close),
        ("", "no type", BodyFraming::Close),
    ] {
        let payloads = payloads(Ok(reply(content_type, body, framing)), 7);
        expect_that!(refusal(&payloads), none(), "{content_type} {body}");
        expect_that!(payloads, len(eq(3)));
    }
}

#[gtest]
fn failed_call_is_refused_by_whether_it_may_have_run() {
    for (kind, outcome) in [
        (BorderErrorKind::NotDelivered, Outcome::NotRun),
        (BorderErrorKind::Unknown, Outcome::MayHaveRun),
    ] {
        let failed = Err(BorderError::new(kind, "detail"));
        let refused = refusal(&payloads(failed, 0));
        expect_that!(refused.map(|(_, outcome)| outcome), some(eq(outcome)));
    }
}
