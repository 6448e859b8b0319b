//! The scanner finds the ends of events at whichever bytes the stream is divided.

use chicorystage_core::events::EventScanner;
use googletest::prelude::*;

/// Scans a stream byte by byte and returns the positions at which no event is incomplete.
fn complete_positions(stream: &[u8]) -> Vec<usize> {
    let mut scanner = EventScanner::default();
    let mut positions = Vec::new();
    for (i, byte) in stream.iter().enumerate() {
        scanner.scan(std::slice::from_ref(byte));
        if !scanner.is_within_event() {
            positions.push(i + 1);
        }
    }
    positions
}

#[gtest]
fn an_empty_line_ends_an_event_at_any_line_ending() {
    let cases: [(&[u8], &[usize]); 10] = [
        (b"data: a\n\n", &[9]),
        (b"data: a\r\n\r\n", &[11]),
        (b"data: a\r\n\r\ndata: b\r\n\r", &[11]),
        (b"data: a\r\rdata: b\r\r", &[9, 18]),
        (b"data: a\r\r", &[9]),
        (b"data: a\n\r\n", &[9, 10]),
        (b"data: a\r\n\n", &[10]),
        (b"data: a\n", &[]),
        (b"data: a\r\n", &[]),
        (b"id: 1\ndata: a\n\nid: 2\n", &[15]),
    ];
    for (stream, expected) in cases {
        let text = String::from_utf8_lossy(stream);
        expect_that!(complete_positions(stream), eq(expected), "{text:?}");
    }
}

#[gtest]
fn a_stream_without_bytes_is_not_within_an_event() {
    assert_that!(EventScanner::default().is_within_event(), eq(false));
}

#[gtest]
fn parts_of_any_size_complete_the_same_bytes() {
    let stream = b"id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\nid: 3\rdata: c\r\rid: 4";
    let mut whole = EventScanner::default();
    let expected = whole.scan(stream);
    assert_that!(expected, some(eq(stream.len() - 5)));
    for size in 1..=stream.len() {
        let mut scanner = EventScanner::default();
        let mut complete_bytes = None;
        for (i, part) in stream.chunks(size).enumerate() {
            let found = scanner.scan(part);
            complete_bytes = found.map(|bytes| i * size + bytes).or(complete_bytes);
        }
        expect_that!(complete_bytes, eq(expected), "parts of {size} bytes");
        expect_that!(scanner.is_within_event(), eq(true), "parts of {size} bytes");
    }
}
