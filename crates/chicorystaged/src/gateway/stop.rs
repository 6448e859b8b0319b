//! Graceful shutdown of a gateway, and the check of its settings file on a hangup signal.
//!
//! A shutdown first reports the gateway as not ready while it still serves, so that the load
//! balancer stops sending connections. Then it refuses new requests, lets those in progress finish
//! until the last byte of their answers has left the process, ends those still without an answer by a
//! final error shortly before the stop's time limit, and releases the lease on orders.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};

use crate::gateway::lease_writes;
use crate::gateway::shared::Gateway;
use crate::settings::DaemonFile;

/// Time within which the load balancer stops sending new connections, in milliseconds.
const BALANCER_REACTION_MS: u64 = 2_300;
/// Time reserved before the stop's time limit for releasing the lease and logging, in milliseconds.
const END_MARGIN_MS: u64 = 400;
/// Time before the end of the wait at which requests without an answer get a final error, in
/// milliseconds.
const FINAL_ERROR_MARGIN_MS: u64 = 200;
/// Interval between checks of the number of requests in progress, in milliseconds.
const POLL_MS: u64 = 20;
/// Longest time for releasing the lease, in milliseconds.
const RELEASE_MS: u64 = 300;

/// Waits until the process is signalled to stop, then shuts the gateway down gracefully.
///
/// Until then each hangup signal checks the settings file at `path`.
pub async fn run(gateway: &Rc<Gateway>, path: &Path) {
    tokio::select! {
        () = crate::stop::signalled() => {}
        () = reload_loop(path) => {}
    }
    shut_down(gateway).await;
}

/// Checks the settings file on each hangup signal.
///
/// Only the log level is applied: the other settings name addresses and limits of the process, and
/// changing them takes a restart.
async fn reload_loop(path: &Path) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        return std::future::pending().await;
    };
    while hangup.recv().await.is_some() {
        reload(path);
    }
}

/// Reads the settings file and applies its log level; an invalid file changes nothing.
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
            log::error!(event = "settings_rejected", findings = findings.as_str(); "settings file is invalid; settings unchanged");
        }
    }
}

/// Shuts down gracefully.
///
/// Returns once no request is in progress and each answer has been sent whole, or shortly before the
/// stop's time limit.
pub async fn shut_down(gateway: &Rc<Gateway>) {
    gateway.is_stopping.set(true);
    let begun_ms = gateway.now_ms();
    log::info!(event = "gateway_stopping"; "gateway is shutting down");
    let end_ms = begun_ms + gateway.settings.stop_max_ms.saturating_sub(END_MARGIN_MS);
    gateway.stop_end_ms.set(Some(end_ms));
    tokio::time::sleep(Duration::from_millis(BALANCER_REACTION_MS)).await;
    gateway.closing.send_replace(true);
    while gateway.now_ms() < end_ms && has_unfinished(gateway) {
        if gateway.now_ms() + FINAL_ERROR_MARGIN_MS >= end_ms {
            gateway.aborting.send_replace(true);
        }
        tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
    }
    let limit = Duration::from_millis(RELEASE_MS);
    // Without an answer from the store the lease expires by itself.
    let _released = tokio::time::timeout(limit, release_lease(gateway)).await;
    let cut = log_cut(gateway);
    log::info!(event = "gateway_stopped", cut; "gateway stopped");
    // Gives the log writer time to write the last lines.
    tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
}

/// Returns whether a request is in progress, or bytes of an answer have not left the process.
fn has_unfinished(gateway: &Gateway) -> bool {
    let unfinished = gateway.caller_connections.unfinished();
    !unfinished.is_empty() || gateway.with(|view| view.in_progress) > 0
}

/// Logs the requests whose connections end with the process; returns their number.
fn log_cut(gateway: &Gateway) -> usize {
    let unfinished = gateway.caller_connections.unfinished();
    for request in &unfinished {
        log::warn!(
            event = "request_cut", request = request.as_ref(), reason = "time limit of the stop";
            "connection ends before its answer has been sent whole"
        );
    }
    unfinished.len()
}

/// Releases the lease on orders, if this gateway holds it.
///
/// Retries until written, because a renewal still in flight makes the first try conflict.
async fn release_lease(gateway: &Rc<Gateway>) {
    gateway.has_released_lease.set(true);
    while let Some(action) = gateway.lease(chicorystage_core::lease::OrderLease::release) {
        let is_written = lease_writes::write_lease(gateway, action).await;
        if is_written {
            return;
        }
        tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
    }
}
