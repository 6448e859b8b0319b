/// Decision about a received frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameDecision {
    /// The frame is the next content of the answer: deliver it.
    Deliver,
    /// The frame has no new content, but shows that the attempt is alive.
    Alive,
    /// The frame belongs to another attempt: drop it, and don't count it as a heartbeat.
    Foreign,
    /// Content before this frame is missing: resume the stream at the next expected offset.
    Gap,
}
