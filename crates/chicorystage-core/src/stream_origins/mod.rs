//! Which software version began a stream that a caller takes up again.
//!
//! Events of two software versions of a service do not fit together, and endpoints do not check it. A
//! caller that takes up a broken stream names the attempt that brought its first event, and may ask any
//! gateway. [`BegunStreams`] keeps the versions of streams that this process began or was told of.
//! [`LiveStreams`] are stored while several versions serve, so that they outlast their process. Where a
//! stream is not known any more, [`SoftwareHistory`] tells whether only one version can
//! have begun it.

mod begun_streams;
mod live_stream;
mod live_streams;
mod resume_target;
mod software_history;
mod software_span;

pub use begun_streams::BegunStreams;
pub use live_stream::LiveStream;
pub use live_streams::LiveStreams;
pub use resume_target::ResumeTarget;
pub use software_history::SoftwareHistory;
pub use software_span::SoftwareSpan;

/// Longest time for which an endpoint serves after its entry is gone, in milliseconds.
///
/// A gateway out of touch with the store may begin streams there until then.
pub const LINGER_MS: u64 = 30_000;
/// Time after which no caller takes up a stream again, in milliseconds.
pub const STREAM_LIFE_MS: u64 = 60_000;
