//! The splitter passes on only complete events, at whichever bytes the stream is divided.

use chicorystage_core::events::EventSplitter;
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// A stream of events that ends with an incomplete event of eight bytes.
const STREAM: &[u8] =
    b"id: 1\ndata: a\n\nid: 2\ndata: bb\n\ndata: no id\n\nid: 3\ndata: c\n\nid: 4\nda";

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
            let events = splitter.push(&STREAM[from..boundary]);
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
    splitter.push(b"id: 7\ndata: x\n\nid: 8\ndat");
    splitter.discard_partial_event();
    let events = splitter.push(b"id: 8\ndata: y\n\n");
    assert_that!(&*events, eq(b"id: 8\ndata: y\n\n"));
    assert_that!(splitter.last_id(), some(eq("8")));
    assert_that!(splitter.has_partial_event(), eq(false));
}
