use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::body::{Body, Frame, SizeHint};

/// A body that lets the server write what it has got before the body breaks.
///
/// A server that receives a body's error drops the bytes that it has not written yet. This body
/// yields once before its error, so that they are written, as far as the connection takes them.
#[derive(Debug)]
pub struct FlushBeforeBreak<B: Body> {
    inner: B,
    /// Error that the next poll returns.
    pending_error: Option<B::Error>,
}

impl<B: Body> FlushBeforeBreak<B> {
    /// Wraps a body.
    #[must_use]
    pub fn new(inner: B) -> Self {
        Self {
            inner,
            pending_error: None,
        }
    }
}

impl<B> Body for FlushBeforeBreak<B>
where
    B: Body + Unpin,
    B::Error: Unpin,
{
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        if let Some(error) = self.pending_error.take() {
            return Poll::Ready(Some(Err(error)));
        }
        match Pin::new(&mut self.inner).poll_frame(cx) {
            Poll::Ready(Some(Err(error))) => {
                self.pending_error = Some(error);
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            polled => polled,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.pending_error.is_none() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
