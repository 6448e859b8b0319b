use bytes::Bytes;
use displaydoc::Display;
use http_body_util::BodyExt;
use http_body_util::channel::{Channel, Sender};

use crate::http::{FlushBeforeBreak, ResponseBody};

/// the body was abandoned before its end
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub struct BodyAbandoned;

impl std::error::Error for BodyAbandoned {}

/// Sender of a streamed body.
///
/// The body is complete only once [`finish`](Self::finish) was called. Dropping the sender before
/// breaks the connection, so that what was sent so far does not look like the whole body.
#[derive(Debug)]
pub struct BodySender {
    sender: Option<Sender<Bytes, BodyAbandoned>>,
}

impl BodySender {
    /// Sends bytes; waits while as many parts are buffered as the body may hold.
    ///
    /// # Errors
    ///
    /// Fails if the connection that the body is sent on has closed.
    pub async fn send(&mut self, bytes: Bytes) -> Result<(), BodyAbandoned> {
        let Some(sender) = &mut self.sender else {
            return Err(BodyAbandoned);
        };
        sender
            .send_data(bytes)
            .await
            .map_err(|_closed| BodyAbandoned)
    }

    /// Ends the body as complete.
    pub fn finish(mut self) {
        // Without an error the channel ends the body.
        drop(self.sender.take());
    }
}

impl Drop for BodySender {
    fn drop(&mut self) {
        if let Some(sender) = self.sender.take() {
            sender.abort(BodyAbandoned);
        }
    }
}

/// Returns a streamed body and its sender.
#[must_use]
pub fn channel_body(parts_buffered_max: usize) -> (BodySender, ResponseBody) {
    let (sender, body) = Channel::new(parts_buffered_max);
    let sender = BodySender {
        sender: Some(sender),
    };
    (sender, FlushBeforeBreak::new(body).boxed_unsync())
}
