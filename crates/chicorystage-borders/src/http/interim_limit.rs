use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use http::Request;
use tokio::sync::Notify;

/// Largest number of interim responses (1xx) to one request.
const INTERIM_RESPONSES_MAX: u32 = 16;

/// Limits the interim responses (1xx) to one request.
///
/// A client skips interim responses until the final one arrives, so that a server could send them
/// without end.
#[derive(Clone, Debug, Default)]
pub struct InterimLimit {
    state: Arc<State>,
}

#[derive(Debug, Default)]
struct State {
    received: AtomicU32,
    exceeded: Notify,
}

impl InterimLimit {
    /// Counts the interim responses to a request that is about to be sent over HTTP/1.
    pub fn watch<B>(&self, request: &mut Request<B>) {
        let state = Arc::clone(&self.state);
        hyper::ext::on_informational(request, move |_response| {
            let received = state.received.fetch_add(1, Ordering::Relaxed) + 1;
            if received > INTERIM_RESPONSES_MAX {
                state.exceeded.notify_one();
            }
        });
    }

    /// Waits until the server has sent more interim responses than it may.
    pub async fn exceeded(&self) {
        self.state.exceeded.notified().await;
    }
}
