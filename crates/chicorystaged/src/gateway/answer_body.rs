//! Bodies of answers to callers.

use std::convert::Infallible;
use std::pin::Pin;

use bytes::Bytes;
use futures_util::Stream;
use http_body_util::{Either, Full, StreamBody};
use hyper::body::Frame;

use crate::gateway::attempt::AnswerBroken;

/// Frames of an answer that is passed on as it arrives.
pub type FrameStream = Pin<Box<dyn Stream<Item = Result<Frame<Bytes>, AnswerBroken>>>>;

/// Body of an answer: whole, or passed on as it arrives.
pub type AnswerBody = Either<Full<Bytes>, StreamBody<FrameStream>>;

/// Error of a service function that always answers.
pub type Never = Infallible;

/// Returns a body that is whole.
#[must_use]
pub fn whole(bytes: Bytes) -> AnswerBody {
    Either::Left(Full::new(bytes))
}

/// Returns a body that is passed on as it arrives.
#[must_use]
pub fn streamed(frames: FrameStream) -> AnswerBody {
    Either::Right(StreamBody::new(frames))
}
