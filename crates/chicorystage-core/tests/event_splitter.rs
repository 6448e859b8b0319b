//! The splitter passes on only complete events, at whichever bytes the stream is divided.

use chicorystage_core::events::EventSplitter;
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const STREAM: &[u8] =
    b"id: 1\ndata: a\n\nid: 2\ndata: bb\n\ndata: no id\n\nid: 3\ndata: c\n\nid: 4\nda";

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::with_cases(300)
    })]

    #[test]
    fn cuts_change_nothing(cuts in prop::collection::vec(0..STREAM.len(), 0..20)) {
        let mut cuts = cuts;
        cuts.push(STREAM.len());
        cuts.sort_unstable();
        let mut splitter = EventSplitter::default();
        let (mut whole, mut from) = (Vec::new(), 0);
        for cut in cuts {
            let events = splitter.push(&STREAM[from..cut]);
            prop_assert!(events.is_empty() || events.ends_with(b"\n\n"));
            whole.extend_from_slice(&events);
            from = cut;
        }
        prop_assert_eq!(&*whole, &STREAM[..STREAM.len() - 8]);
        prop_assert_eq!(splitter.last_id(), Some("3"));
        prop_assert!(splitter.has_partial_event());
    }
}

#[test]
fn a_dropped_part_leaves_no_trace() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 7\ndata: x\n\nid: 8\ndat");
    splitter.discard_partial_event();
    let events = splitter.push(b"id: 8\ndata: y\n\n");
    assert_that!(&*events, eq(b"id: 8\ndata: y\n\n"));
    assert_that!(splitter.last_id(), some(eq("8")));
    assert_that!(splitter.has_partial_event(), eq(false));
}
