use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use tokio::sync::Notify;

/// How much of a response has arrived so far.
///
/// Shared between the call that receives the response and whoever decides on further calls or logs
/// why this one failed.
#[derive(Debug, Default)]
pub struct TransferProgress {
    has_head: AtomicBool,
    body_bytes: AtomicU64,
    body_arrived: Notify,
}

impl TransferProgress {
    /// Returns whether status and headers have arrived.
    #[must_use]
    pub fn has_head(&self) -> bool {
        self.has_head.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes of the body that have arrived.
    #[must_use]
    pub fn body_bytes(&self) -> u64 {
        self.body_bytes.load(Ordering::Relaxed)
    }

    /// Waits until that many bytes of the body have arrived; one task at a time may wait.
    pub(crate) async fn wait_for_body(&self, bytes: u64) {
        while self.body_bytes() < bytes {
            self.body_arrived.notified().await;
        }
    }

    /// Records that status and headers have arrived.
    pub(crate) fn record_head(&self) {
        self.has_head.store(true, Ordering::Relaxed);
    }

    /// Records a further part of the body.
    pub(crate) fn record_body(&self, bytes: usize) {
        self.body_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        self.body_arrived.notify_one();
    }
}
