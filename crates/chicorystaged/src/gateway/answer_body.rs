//! Body types of responses to callers.

use std::convert::Infallible;
use std::pin::Pin;

use bytes::Bytes;
use chicorystage_borders::http::FlushBeforeBreak;
use futures_util::Stream;
use http_body_util::{Either, Full, StreamBody};
use hyper::body::Frame;

use crate::gateway::attempt::AnswerBroken;

/// Stream of body frames that are relayed from an endpoint as they arrive.
pub type FrameStream = Pin<Box<dyn Stream<Item = Result<Frame<Bytes>, AnswerBroken>>>>;

/// Body of a response to a caller: either buffered whole or relayed frame by frame.
pub type AnswerBody = Either<Full<Bytes>, FlushBeforeBreak<StreamBody<FrameStream>>>;

/// Error type of a hyper service function that always returns a response.
pub type Never = Infallible;

/// Returns a body made of one buffer.
#[must_use]
pub fn buffered(bytes: Bytes) -> AnswerBody {
    Either::Left(Full::new(bytes))
}

/// Returns a body that relays frames as they arrive.
#[must_use]
pub fn relayed(frames: FrameStream) -> AnswerBody {
    Either::Right(FlushBeforeBreak::new(StreamBody::new(frames)))
}
