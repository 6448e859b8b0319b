//! Quarantines requests that crash the endpoints that run them.
//!
//! A request that crashes its endpoint would, with retries, take down one endpoint after another. A
//! crash shows as a connection that breaks during a request and an endpoint that accepts no
//! connection a moment later. The third such crash in a row for the same request, counted over all
//! gateways and without an answer between them, quarantines the request: it is refused for good. A
//! broken connection to an endpoint that still accepts new ones is not counted.
//!
//! Requests are the same if method, host, path and body are. Many callers may send the same request
//! without a body, and endpoints may crash for other reasons while they run it; so a crash counts
//! only if its attempt began after the crash before.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use chicorystage_api::name::{Digest, PromptPartId};
use chicorystage_api::peer::QuarantineEntry;
use chicorystage_core::suspects::DigestStatus;
use chicorystage_core::token::sha256_of_parts;

use crate::gateway::attempt::CallerWork;
use crate::gateway::connection::Connection;
use crate::gateway::peer_message::PeerContent;
use crate::gateway::peers;
use crate::gateway::quarantine_rows;
use crate::gateway::shared::Gateway;
use crate::timer::unix_ms;

/// Number of crashes of a request after which the next one quarantines it.
const CRASHES_BEFORE_QUARANTINE: u32 = 2;
/// Delay after which a crashed endpoint no longer accepts connections, in milliseconds.
const CRASH_CHECK_DELAY_MS: u64 = 100;

/// Checks in the background whether an endpoint crashed when a connection broke during a request.
///
/// An endpoint that accepts a new connection after `CRASH_CHECK_DELAY_MS` has only reset the old
/// one.
pub fn check_for_crash(gateway: &Rc<Gateway>, work: &CallerWork, address: SocketAddr) {
    let digest = digest(work);
    let attempt = BrokenAttempt::ending_now(gateway, work);
    let request: Arc<str> = Arc::from(work.head.attempt_id.as_str());
    let parts = parts_text(&work.head.shared_parts);
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        tokio::time::sleep(Duration::from_millis(CRASH_CHECK_DELAY_MS)).await;
        if Connection::open(address).await.is_err() {
            record_crash(&gateway, &request, &parts, &digest, attempt).await;
        } else {
            log::info!(
                event = "endpoint_not_crashed", request, address:%, parts;
                "endpoint accepts connections after one broke during a request"
            );
        }
    });
}

/// Wall-clock times of an attempt that ended with a broken connection, in milliseconds since the
/// Unix epoch.
#[derive(Clone, Copy, Debug)]
struct BrokenAttempt {
    began_unix_ms: u64,
    broke_unix_ms: u64,
}

impl BrokenAttempt {
    /// Returns the times of the last attempt of a request, which ends now.
    fn ending_now(gateway: &Gateway, work: &CallerWork) -> Self {
        let broke_unix_ms = unix_ms();
        let took_ms = gateway.now_ms().saturating_sub(work.attempt_began_ms.get());
        Self {
            began_unix_ms: broke_unix_ms.saturating_sub(took_ms),
            broke_unix_ms,
        }
    }
}

/// Counts a crash of a request and reports it to the other gateways.
async fn record_crash(
    gateway: &Rc<Gateway>,
    request: &str,
    parts: &str,
    digest: &Digest,
    attempt: BrokenAttempt,
) {
    let entry = gateway.with(|view| {
        if !view.suspects.is_new_evidence(digest, attempt.began_unix_ms) {
            return None;
        }
        let is_last = view.suspects.crashes(digest) >= CRASHES_BEFORE_QUARANTINE;
        let broke_unix_ms = attempt.broke_unix_ms;
        Some(view.suspects.record_crash(broke_unix_ms, digest, is_last))
    });
    let Some(entry) = entry else {
        log::info!(
            event = "endpoint_crashed", request, digest = digest.as_str(), parts, counted = false;
            "endpoint crashed during a request that began before the last crash"
        );
        return;
    };
    log::warn!(
        event = "endpoint_crashed", request, digest = digest.as_str(), parts, counted = true,
        crashes = entry.crashes, quarantined = entry.active;
        "endpoint accepts no connection after one broke during a request"
    );
    peers::broadcast(gateway, PeerContent::Suspect(entry.clone())).await;
    if entry.active {
        quarantine_rows::store(gateway, &entry).await;
    }
}

/// Records that a request was answered, which clears it as a suspect at every gateway.
///
/// Many callers may send the same request without a body, and each gateway sees only some of its
/// answers.
pub fn record_answer(gateway: &Rc<Gateway>, work: &CallerWork) {
    if gateway.with(|view| view.suspects.is_empty()) {
        return;
    }
    let digest = digest(work);
    let answered_unix_ms = unix_ms();
    let was_suspect =
        gateway.with(|view| view.suspects.record_completion(answered_unix_ms, &digest));
    if !was_suspect {
        return;
    }
    log::info!(
        event = "suspect_cleared", request = work.head.attempt_id.as_str(),
        digest = digest.as_str();
        "a request that was suspected to crash endpoints has been answered"
    );
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        let content = PeerContent::Cleared {
            digest,
            answered_unix_ms,
        };
        peers::broadcast(&gateway, content).await;
    });
}

/// Returns whether a request is quarantined.
#[must_use]
pub fn is_quarantined(gateway: &Gateway, work: &CallerWork) -> bool {
    if gateway.with(|view| view.suspects.is_empty()) {
        return false;
    }
    let digest = digest(work);
    gateway.with(|view| view.suspects.status(&digest) == DigestStatus::Quarantined)
}

/// Merges a crash record that another gateway sent.
pub fn merge(gateway: &Gateway, entry: QuarantineEntry) {
    gateway.with(|view| view.suspects.merge(entry));
}

/// Clears a suspect that another gateway has seen answered.
pub fn merge_answer(gateway: &Gateway, answered_unix_ms: u64, digest: &Digest) {
    gateway.with(|view| view.suspects.merge_completion(answered_unix_ms, digest));
}

/// Returns the identifiers of prompt parts, separated by commas.
fn parts_text(parts: &[PromptPartId]) -> String {
    let ids: Vec<&str> = parts.iter().map(PromptPartId::as_str).collect();
    ids.join(",")
}

/// Returns the digest of a request's method, host, path and body.
fn digest(work: &CallerWork) -> Digest {
    let uri = work.uri.to_string();
    let parts = [
        work.method.as_str().as_bytes(),
        work.route.host.as_bytes(),
        uri.as_bytes(),
        &work.body,
    ];
    sha256_of_parts(&parts)
}
