//! Frames are delivered once, in offset order, and only from the expected attempt.

use chicorystage_api::work::{Frame, Payload};
use chicorystage_core::sequence::{FrameDecision, FrameSequence};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(15),
        failure_persistence: None,
        ..ProptestConfig::with_cases(500)
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn delivered_frames_are_a_prefix_of_the_attempt(
        frames in prop::collection::vec((1_u32..4, 0_u64..12, any::<bool>()), 0..200),
    ) {
        let mut sequence = FrameSequence::new(2);
        let mut delivered: Vec<String> = Vec::new();
        for (attempt, offset, heartbeat) in frames {
            let payload = if heartbeat {
                Payload::Heartbeat
            } else {
                Payload::Token(format!("{attempt}/{offset}").into())
            };
            let frame = Frame { attempt, offset, load: None, payload: payload.clone() };
            let decided = sequence.accept(&frame);
            if let (FrameDecision::Deliver, Payload::Token(text)) = (decided, payload) {
                delivered.push(text.to_string());
            }
            prop_assert_eq!(decided == FrameDecision::Foreign, attempt != 2);
            let expected: Vec<String> = (0..sequence.next_offset()).map(|i| format!("2/{i}")).collect();
            prop_assert_eq!(&delivered, &expected);
        }
    }
}
