//! Tests of the hand-written frame codec.

use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_api::work::{EndSummary, EndpointLoad, Frame, Payload};
use googletest::prelude::*;

fn frame(payload: Payload) -> Frame {
    Frame {
        attempt: 2,
        offset: 7,
        load: None,
        payload,
    }
}

#[gtest]
fn every_payload_survives_a_round_trip() {
    let payloads = [
        Payload::Heartbeat,
        Payload::Token("été \"quoted\"\n".into()),
        Payload::Head {
            status: 201,
            content_type: "application/json".into(),
        },
        Payload::Body("aGk=".into()),
        Payload::End(EndSummary {
            tokens: 3,
            queued_ms: 4,
            cold_start_ms: 5,
        }),
        Payload::Refused(
            Refusal::may_have_run(RefusalCode::EndpointLost, "cut").retry_after_ms(250),
        ),
    ];
    for payload in payloads {
        let mut sent = frame(payload);
        sent.load = Some(EndpointLoad {
            running: 1,
            queued: 2,
            service_time_ms: 3,
            slots: 4,
        });
        let line = serde_json::to_vec(&sent).unwrap();
        let received: Frame = serde_json::from_slice(&line).unwrap();
        expect_that!(received, eq(&sent));
    }
}

#[gtest]
fn unknown_keys_are_ignored_and_missing_ones_named() {
    let received: Frame =
        serde_json::from_str(r#"{"a":1,"o":0,"zz":[1,{"x":2}],"t":"hi"}"#).unwrap();
    expect_that!(received.payload, eq(&Payload::Token("hi".into())));
    let error = serde_json::from_str::<Frame>(r#"{"o":0}"#).unwrap_err();
    expect_that!(error.to_string(), contains_substring("missing field `a`"));
}
