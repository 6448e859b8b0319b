//! Tests of log-line parsing and of the cause derived from one request's lines.

use chicorystage::logs::{Cause, History, LogLine};
use googletest::prelude::*;

const SECOND_MS: u32 = 1_000;

/// Returns a line in a gateway's log format, stamped `at_ms` milliseconds after ten o'clock.
fn line(at_ms: u32, gateway: &str, event: &str, fields: &[(&str, &str)]) -> String {
    let attributes = [("event", event)].into_iter().chain(fields.iter().copied());
    let attributes: Vec<String> = attributes
        .map(|(name, value)| format!("\"{name}\":\"{value}\""))
        .collect();
    format!(
        "  12.5 {gateway} {{\"time\":\"2026-04-05T10:00:{:02}.{:03}000000+00:00\",\
         \"level\":\"INFO\",\"message\":\"m\",\"attributes\":{{{}}}}}\n",
        at_ms / SECOND_MS,
        at_ms % SECOND_MS,
        attributes.join(",")
    )
}

fn history(lines: &[String]) -> History {
    let mut history = History::new("r1");
    let text = lines.concat();
    history.read("file", text.as_bytes()).expect("in memory");
    history.sort();
    history
}

fn cause(lines: &[String]) -> Option<Cause> {
    Cause::of(&history(lines))
}

fn stream_ended(at_ms: u32, request: &str, wait_ms: &str, pause_ms: &str) -> String {
    let fields = [
        ("request", request),
        ("end", "whole"),
        ("endpoint", "e1"),
        ("model", "m1"),
        ("wait_ms", wait_ms),
        ("pause_max_ms", pause_ms),
        ("time_ms", "900"),
    ];
    line(at_ms, "g1", "stream_ended", &fields)
}

fn order(at_ms: u32, reply: &str) -> String {
    let fields = [
        ("endpoint", "e2"),
        ("model", "m1"),
        ("kind", "load"),
        ("reply", reply),
    ];
    line(at_ms, "g2", "order", &fields)
}

#[gtest]
fn a_log_line_is_parsed_with_the_prefix_of_a_log_collector() {
    let parsed = LogLine::parse("file", &stream_ended(20_250, "r1", "5", "40")).expect("a line");
    expect_that!(parsed.source, eq("g1"));
    expect_that!(parsed.event, eq("stream_ended"));
    expect_that!(parsed.number("wait_ms"), eq(5));
    expect_that!(
        parsed.to_string(),
        starts_with("2026-04-05T10:00:20.250Z g1 stream_ended end=whole endpoint=e1")
    );
    expect_that!(LogLine::parse("file", "panicked at {"), none());
    expect_that!(LogLine::parse("file", "{\"time\":3}"), none());
}

#[gtest]
fn unreadable_lines_are_counted_and_skipped() {
    let history = history(&[
        "free text\n".to_owned(),
        "{\"time\":\"never\",\"attributes\":{}}\n".to_owned(),
        "\n".to_owned(),
        stream_ended(20_250, "r1", "5", "40"),
    ]);
    expect_that!(history.lines, eq(3));
    expect_that!(history.unreadable_lines, eq(2));
    expect_that!(history.request_lines, len(eq(1)));
}

#[gtest]
fn only_relevant_events_near_the_request_are_shown() {
    let fields = [("endpoint", "e1"), ("change", "gone")];
    let other = [("endpoint", "e9"), ("change", "gone")];
    let history = history(&[
        line(5_000, "g1", "endpoint", &fields),
        line(19_000, "g1", "endpoint", &fields),
        line(19_000, "g1", "endpoint", &other),
        line(19_500, "g1", "store_lost", &[("table", "op")]),
        line(19_500, "g2", "store_lost", &[("table", "op")]),
        order(19_700, "accepted"),
        line(
            19_800,
            "g2",
            "order",
            &[("model", "m1"), ("kind", "load adapter a3")],
        ),
        stream_ended(20_250, "r1", "5", "40"),
    ]);
    let shown: Vec<String> = history
        .related_lines()
        .map(|line| format!("{} {}", line.source, line.event))
        .collect();
    expect_that!(
        shown,
        elements_are![eq("g1 endpoint"), eq("g1 store_lost"), eq("g2 order")]
    );
}

#[gtest]
fn a_refusal_for_a_missing_model_reports_the_reply_to_its_load_order() {
    let fields = [
        ("request", "r1"),
        ("lacking", "NoModel"),
        ("model", "m1"),
        ("waited_ms", "1850"),
    ];
    let refused = line(20_000, "g1", "request_refused", &fields);
    expect_that!(
        cause(std::slice::from_ref(&refused)),
        some(eq(&Cause::ModelNotOrdered))
    );
    let reply = "conflict".to_owned();
    expect_that!(
        cause(&[
            order(19_000, "accepted"),
            order(19_500, "conflict"),
            refused
        ]),
        some(eq(&Cause::ModelNotLoaded { reply }))
    );
}

#[gtest]
fn a_lost_answer_is_distinguished_from_a_lost_endpoint() {
    let fields = [
        ("request", "r1"),
        ("endpoint", "e1"),
        ("reason", "connection broke before an answer"),
    ];
    let lost = line(20_000, "g1", "attempt_lost", &fields);
    expect_that!(
        cause(std::slice::from_ref(&lost)),
        some(eq(&Cause::AnswerLost {
            endpoint: "e1".to_owned(),
            reason: "connection broke before an answer".to_owned(),
        }))
    );
    let crashed = line(20_100, "g1", "endpoint_crashed", &[("request", "r1")]);
    expect_that!(
        cause(&[lost.clone(), crashed]),
        some(eq(&Cause::EndpointLost {
            endpoint: "e1".to_owned(),
            change: "crashed".to_owned(),
        }))
    );
    let change = [("endpoint", "e1"), ("change", "restarted")];
    expect_that!(
        cause(&[lost, line(21_000, "g3", "endpoint", &change)]),
        some(eq(&Cause::EndpointLost {
            endpoint: "e1".to_owned(),
            change: "restarted".to_owned(),
        }))
    );
}

#[gtest]
fn a_late_answer_is_explained_by_its_longest_delay() {
    let waited = stream_ended(20_250, "r1", "700", "40");
    expect_that!(
        cause(std::slice::from_ref(&waited)),
        some(eq(&Cause::WaitedForCapacity { wait_ms: 700 }))
    );
    expect_that!(
        cause(&[order(19_400, "accepted"), waited]),
        some(eq(&Cause::ColdStart { wait_ms: 700 }))
    );
    let paused = stream_ended(20_250, "r1", "5", "210");
    let quick = stream_ended(20_300, "r2", "5", "40");
    let slow = stream_ended(20_310, "r3", "5", "190");
    expect_that!(
        cause(&[paused.clone(), quick.clone()]),
        some(eq(&Cause::SlowAnswer { pause_ms: 210 }))
    );
    expect_that!(
        cause(&[paused, quick, slow]),
        some(eq(&Cause::CrowdedEngine {
            pause_ms: 210,
            delayed: 1,
            neighbours: 2,
        }))
    );
}

#[gtest]
fn a_request_without_an_end_has_no_cause() {
    let fields = [("request", "r1"), ("endpoint", "e1")];
    expect_that!(
        cause(&[line(20_000, "g1", "attempt_refused", &fields)]),
        none()
    );
}
