//! The splitter passes on only complete events, at whichever bytes the stream is divided.

use bytes::Bytes;
use chicorystage_core::events::EventSplitter;
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// A stream of events that ends with an incomplete event of eight bytes.
const STREAM: &[u8] =
    b"id: 1\ndata: a\n\nid: 2\ndata: bb\n\ndata: no id\n\nid: 3\ndata: c\n\nid: 4\nda";

fn push(splitter: &mut EventSplitter, bytes: Bytes) -> Bytes {
    splitter.push(bytes).expect("events are short")
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::with_cases(300)
    })]

    #[test]
    fn chunk_boundaries_change_nothing(boundaries in prop::collection::vec(0..STREAM.len(), 0..20)) {
        let mut boundaries = boundaries;
        boundaries.push(STREAM.len());
        boundaries.sort_unstable();
        let mut splitter = EventSplitter::default();
        let (mut complete, mut from) = (Vec::new(), 0);
        for boundary in boundaries {
            let events = push(&mut splitter, Bytes::from_static(&STREAM[from..boundary]));
            prop_assert!(events.is_empty() || events.ends_with(b"\n\n"));
            complete.extend_from_slice(&events);
            from = boundary;
        }
        prop_assert_eq!(&*complete, &STREAM[..STREAM.len() - 8]);
        prop_assert_eq!(splitter.last_id(), Some("3"));
        prop_assert!(splitter.has_partial_event());
    }
}

#[test]
fn discarded_partial_event_leaves_no_trace() {
    let mut splitter = EventSplitter::default();
    push(
        &mut splitter,
        Bytes::from_static(b"id: 7\ndata: x\n\nid: 8\ndat"),
    );
    splitter.restart();
    let events = push(&mut splitter, Bytes::from_static(b"id: 8\ndata: y\n\n"));
    assert_that!(&*events, eq(b"id: 8\ndata: y\n\n"));
    assert_that!(splitter.last_id(), some(eq("8")));
    assert_that!(splitter.has_partial_event(), eq(false));
}

#[test]
fn events_with_any_line_ending_are_split_and_identified() {
    let streams: [&'static [u8]; 3] = [
        b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3",
        b"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\nid: 3",
        b"id: 1\rdata: a\r\rid: 2\rdata: b\r\rid: 3",
    ];
    for stream in streams {
        let mut splitter = EventSplitter::default();
        let complete = push(&mut splitter, Bytes::from_static(stream));
        assert_that!(complete.len(), eq(stream.len() - b"id: 3".len()));
        assert_that!(splitter.last_id(), some(eq("2")));
        assert_that!(splitter.has_partial_event(), eq(true));
    }
}

#[gtest]
fn a_stream_may_end_only_after_an_event_or_at_a_mark() {
    let cases = [
        ("", false, true),
        ("\n", false, true),
        ("\r\n\r\n", false, true),
        (": keep open\n\n", false, true),
        (": keep open\ndata: a\n\n", true, true),
        ("data: a\n\n", true, true),
        ("data: a\n\n: keep open\n\n", true, true),
        ("data: a\r\rdata: b\r\r", true, true),
        ("data: a\r\n\r", false, false),
        ("data: a\r\n\r\n", true, true),
        ("data: a\n\ndata: b\n", false, false),
    ];
    for (stream, may_end_unmarked, may_end_marked) in cases {
        let mut splitter = EventSplitter::default();
        push(&mut splitter, Bytes::from_static(stream.as_bytes()));
        expect_that!(splitter.may_end(false), eq(may_end_unmarked), "{stream:?}");
        expect_that!(splitter.may_end(true), eq(may_end_marked), "{stream:?}");
    }
}

#[test]
fn events_of_an_earlier_answer_do_not_let_a_later_one_end() {
    let mut splitter = EventSplitter::default();
    push(&mut splitter, Bytes::from_static(b"data: a\n\n"));
    splitter.restart();
    assert_that!(splitter.may_end(false), eq(false));
    assert_that!(splitter.may_end(true), eq(true));
}

#[test]
fn an_event_without_end_is_refused_before_it_fills_the_memory() {
    const PART: &[u8] = b"data: 0123456789abcdef\n";
    const BUFFERED_MAX: usize = 1 << 20;
    let mut splitter = EventSplitter::default();
    push(&mut splitter, Bytes::from_static(b"id: 1\ndata: a\n\n"));
    let mut parts = 0;
    while splitter.push(Bytes::from_static(PART)).is_ok() {
        parts += 1;
        assert_that!(parts * PART.len(), le(BUFFERED_MAX));
    }
    assert_that!(splitter.last_id(), some(eq("1")));
    splitter.restart();
    let events = push(&mut splitter, Bytes::from_static(b"id: 2\ndata: b\n\n"));
    assert_that!(&*events, eq(b"id: 2\ndata: b\n\n"));
}
