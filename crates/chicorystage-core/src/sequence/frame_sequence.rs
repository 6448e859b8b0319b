use std::cmp::Ordering;

use chicorystage_api::work::Frame;

use crate::sequence::FrameDecision;

/// Tracks how far the answer of one attempt has been delivered.
#[derive(Clone, Debug)]
pub struct FrameSequence {
    attempt: u32,
    next_offset: u64,
}

impl FrameSequence {
    /// Creates a sequence that expects the first frame of an attempt.
    #[must_use]
    pub fn new(attempt: u32) -> Self {
        Self {
            attempt,
            next_offset: 0,
        }
    }

    /// Returns the offset of the next content frame to deliver.
    #[must_use]
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Decides what to do with a frame, and advances the offset if it is delivered.
    pub fn accept(&mut self, frame: &Frame) -> FrameDecision {
        if frame.attempt != self.attempt {
            return FrameDecision::Foreign;
        }
        match frame.offset.cmp(&self.next_offset) {
            Ordering::Greater => FrameDecision::Gap,
            Ordering::Equal if frame.payload.is_content() => {
                self.next_offset += 1;
                FrameDecision::Deliver
            }
            Ordering::Equal | Ordering::Less => FrameDecision::Alive,
        }
    }
}
