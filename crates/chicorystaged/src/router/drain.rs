//! Shuts a router down gracefully.
//!
//! The load balancer notices a failed readiness check only after a delay.
//! Readiness therefore fails first, and the router keeps serving for that delay.
//! Then it accepts no more requests and finishes those in progress.

use std::time::Duration;

use chicorystage_borders::http::RunningServer;

use crate::router::handle::RouterHandle;
use crate::settings::RouterSettings;

/// Interval between two checks for requests in progress, in milliseconds.
const POLL_INTERVAL_MS: u64 = 50;

/// Drains the router; returns once no request is in progress or `drain_max_ms` has passed.
pub async fn shut_down(handle: &RouterHandle, callers: RunningServer, role: &RouterSettings) {
    handle.fail_readiness().await;
    tokio::time::sleep(Duration::from_millis(role.drain_lag_ms)).await;
    let finishing = async {
        callers.stop_gracefully().await;
        finished(handle).await;
    };
    let limit = Duration::from_millis(role.drain_max_ms);
    if tokio::time::timeout(limit, finishing).await.is_err() {
        log::warn!(event = "drain_cut", limit_ms = role.drain_max_ms; "requests in progress were cut off");
    }
}

/// Returns once no request is in progress or the main loop has ended.
///
/// This can be later than the end of all connections: a call that is not
/// idempotent is followed to its end even if its caller has disconnected.
async fn finished(handle: &RouterHandle) {
    while let Some(status) = handle.status().await {
        if status.in_progress == 0 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}
