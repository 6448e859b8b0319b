/// What to do with a frame that has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sequenced {
    /// The next content of the answer.
    Deliver,
    /// A sign of life without new content.
    Alive,
    /// A frame of another attempt: dropped, and no sign of life.
    Foreign,
    /// Content before this frame is missing: resume at the offset reached.
    Gap,
}
