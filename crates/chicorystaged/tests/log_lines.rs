//! What is left of a log line that a collector has cut short.

use chicorystaged::logging::LineEncoder;
use googletest::prelude::*;
use log::{Level, Record};
use log4rs::encode::Encode;
use log4rs::encode::writer::simple::SimpleWriter;
use serde_json::Value;

/// Length to which a collector cuts a line, in bytes.
const CUT_BYTES: usize = 200;

/// Returns the line of a record with the attributes of a failed attempt, in a deep module.
fn line_of_a_failed_attempt() -> String {
    let attributes = [
        ("service", "libro-socios"),
        ("reason", "connection broke before an answer"),
        ("endpoint", "i-7f3a91c2"),
        ("request", "9c41d07be2a35f68"),
        ("event", "attempt_lost"),
    ];
    let mut line = Vec::new();
    let record = Record::builder()
        .level(Level::Warn)
        .args(format_args!("the answer of an endpoint is lost"))
        .module_path(Some("chicorystaged::gateway::serving::failure"))
        .file(Some("crates/chicorystaged/src/gateway/serving/failure.rs"))
        .line(Some(94))
        .key_values(&attributes)
        .build();
    let encoded = LineEncoder.encode(&mut SimpleWriter(&mut line), &record);
    encoded.expect("memory takes every line");
    String::from_utf8(line).expect("a line is UTF-8")
}

#[gtest]
fn line_that_is_cut_short_names_event_request_and_reason() {
    let line = line_of_a_failed_attempt();
    let kept = &line[..CUT_BYTES];
    expect_that!(kept, contains_substring("\"event\":\"attempt_lost\""));
    expect_that!(kept, contains_substring("\"request\":\"9c41d07be2a35f68\""));
    expect_that!(
        kept,
        contains_substring("\"reason\":\"connection broke before an answer\"")
    );
}

#[gtest]
fn line_holds_each_attribute_once_with_message_and_place() {
    let line = line_of_a_failed_attempt();
    expect_that!(line.matches("\"reason\"").count(), eq(1));
    expect_that!(line, ends_with("}\n"));
    let document: Value = serde_json::from_str(&line).expect("a line is JSON");
    expect_that!(
        document["attributes"].as_object().expect("attributes"),
        len(eq(5))
    );
    expect_that!(document["attributes"]["endpoint"], eq("i-7f3a91c2"));
    expect_that!(document["message"], eq("the answer of an endpoint is lost"));
    expect_that!(
        document["module_path"],
        eq("chicorystaged::gateway::serving::failure")
    );
    expect_that!(document["line"], eq(94));
}
