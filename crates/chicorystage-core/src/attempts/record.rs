use chicorystage_api::work::{EndpointLoad, Frame, Payload};

/// Memory that a frame occupies beside its text, in bytes.
const FRAME_OVERHEAD_BYTES: u64 = 128;

/// Frames that one attempt has produced so far.
#[derive(Clone, Debug, Default)]
pub struct AttemptRecord {
    frames: Vec<Frame>,
    bytes: u64,
    finished_ms: Option<u64>,
}

impl AttemptRecord {
    /// Returns the frames, with consecutive offsets from 0.
    #[must_use]
    pub fn frames(&self) -> &[Frame] {
        &self.frames
    }

    /// Returns whether the final frame has been recorded.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.finished_ms.is_some()
    }

    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
    }

    pub(crate) fn finished_ms(&self) -> Option<u64> {
        self.finished_ms
    }

    pub(crate) fn append(
        &mut self,
        attempt: u32,
        payload: Payload,
        load: Option<EndpointLoad>,
        now_ms: u64,
    ) -> Option<&Frame> {
        if self.is_finished() {
            return None;
        }
        if payload.is_final() {
            self.finished_ms = Some(now_ms);
        }
        self.bytes += FRAME_OVERHEAD_BYTES + text_bytes(&payload);
        self.frames.push(Frame {
            attempt,
            offset: self.frames.len() as u64,
            load,
            payload,
        });
        self.frames.last()
    }
}

fn text_bytes(payload: &Payload) -> u64 {
    let len = match payload {
        Payload::Token(text) | Payload::Body(text) => text.len(),
        Payload::Head { content_type, .. } => content_type.len(),
        Payload::Refused(refusal) => refusal.detail.len(),
        Payload::Heartbeat | Payload::End(_) => 0,
    };
    len as u64
}
