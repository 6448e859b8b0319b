//! Operating-system signals that request a daemon's graceful stop.

use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM or SIGINT.
pub(crate) async fn signalled() {
    let (Ok(mut terminate), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        // Without signal handlers the signals' default action terminates the process.
        return std::future::pending().await;
    };
    tokio::select! {
        _received = terminate.recv() => {}
        _received = interrupt.recv() => {}
    }
}
