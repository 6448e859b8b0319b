//! The end of a gateway, and the reload of its settings.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};

use crate::gateway::ordering;
use crate::gateway::shared::Gateway;
use crate::settings::DaemonFile;

/// Time in which the balancer notices that the gateway takes no new connections, in milliseconds.
const BALANCER_LAG_MS: u64 = 2_300;
/// Time before the longest stop at which the process ends, in milliseconds.
const END_MARGIN_MS: u64 = 400;
/// Time before the end at which requests without an answer get their final one, in milliseconds.
const LAST_ANSWER_MS: u64 = 200;
/// Time between two looks at the requests in progress, in milliseconds.
const POLL_MS: u64 = 20;
/// Longest time of giving up the lease, in milliseconds.
const RELEASE_MS: u64 = 300;

/// Waits until the process is told to stop, then leaves gracefully.
pub async fn run(gateway: &Rc<Gateway>, path: &Path) {
    tokio::select! {
        () = crate::stop::signalled() => {}
        () = reload_loop(path) => {}
    }
    leave(gateway).await;
}

/// The settings name addresses and limits of the process, so a change takes a restart.
async fn reload_loop(path: &Path) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        return std::future::pending().await;
    };
    while hangup.recv().await.is_some() {
        reload(path);
    }
}

fn reload(path: &Path) {
    let checked = std::fs::read_to_string(path)
        .map_err(|error| error.to_string())
        .and_then(|text| {
            DaemonFile::parse(&path.display().to_string(), &text).map_err(|findings| {
                let findings: Vec<String> = findings.iter().map(ToString::to_string).collect();
                findings.join("; ")
            })
        });
    match checked {
        Ok(file) => {
            log::set_max_level(file.log().level);
            log::info!(event = "settings_read", level:% = file.log().level; "settings read again");
        }
        Err(findings) => {
            log::error!(event = "settings_rejected", findings = findings.as_str(); "settings kept as they were");
        }
    }
}

/// Stops gracefully: returns once nothing is in progress, or shortly before the longest stop is over.
pub async fn leave(gateway: &Rc<Gateway>) {
    gateway.is_stopping.set(true);
    let begun_ms = gateway.now_ms();
    log::info!(event = "gateway_stopping"; "gateway is leaving");
    tokio::time::sleep(Duration::from_millis(BALANCER_LAG_MS)).await;
    gateway.closing.send_replace(true);
    let end_ms = begun_ms + gateway.settings.stop_max_ms.saturating_sub(END_MARGIN_MS);
    while gateway.now_ms() < end_ms && gateway.with(|view| view.in_progress) > 0 {
        if gateway.now_ms() + LAST_ANSWER_MS >= end_ms {
            gateway.ending.send_replace(true);
        }
        tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
    }
    let limit = Duration::from_millis(RELEASE_MS);
    // Without an answer the lease runs out by itself.
    let _released = tokio::time::timeout(limit, release(gateway)).await;
    let cut = gateway.with(|view| view.in_progress);
    log::info!(event = "gateway_stopped", cut; "gateway stopped");
    // The writer of the log gets a moment for its last lines.
    tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
}

/// Gives up the lease on orders; a renewal that was on its way makes the first try conflict.
async fn release(gateway: &Rc<Gateway>) {
    gateway.has_released.set(true);
    while let Some(action) = gateway.lease(chicorystage_core::lease::OrderLease::release) {
        let is_written = ordering::write_lease(gateway, action).await;
        if is_written {
            return;
        }
        tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
    }
}
