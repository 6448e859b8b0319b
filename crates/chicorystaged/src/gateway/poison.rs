//! Requests that crash the endpoints that run them.
//!
//! A connection that breaks under a request may be the request's doing: then its
//! endpoint is down a moment later. The third such crash in a row of the same
//! path and body, at any gateways, without an answer between them, ends in a
//! refusal for good. A connection that an endpoint merely reset counts for
//! nothing.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use chicorystage_api::name::Digest;
use chicorystage_api::peer::QuarantineEntry;
use chicorystage_core::suspects::Standing;
use chicorystage_core::token::sha256_of_parts;

use crate::gateway::attempt::CallerWork;
use crate::gateway::connection::Connection;
use crate::gateway::peer_message::PeerContent;
use crate::gateway::peers;
use crate::gateway::shared::Gateway;
use crate::timer::unix_ms;

/// Crashes before the one that quarantines a request.
const CRASHES_BEFORE_QUARANTINE: u32 = 2;
/// Time after which an endpoint that crashed takes no connection, in milliseconds.
const CRASH_SHOWS_MS: u64 = 100;

/// Looks whether an endpoint survived a connection that broke under a request.
///
/// An endpoint that takes a new connection a moment later has only reset the old one.
pub fn broke(gateway: &Rc<Gateway>, work: &CallerWork, address: SocketAddr) {
    let Some(digest) = digest(work) else {
        return;
    };
    let request: Arc<str> = Arc::from(work.head.attempt_id.as_str());
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        tokio::time::sleep(Duration::from_millis(CRASH_SHOWS_MS)).await;
        if Connection::open(address).await.is_err() {
            crashed(&gateway, &request, &digest).await;
        }
    });
}

/// Counts a crash, and tells the other gateways.
async fn crashed(gateway: &Rc<Gateway>, request: &str, digest: &Digest) {
    let entry = gateway.with(|view| {
        let is_last = view.suspects.crashes(digest) >= CRASHES_BEFORE_QUARANTINE;
        view.suspects.crashed(unix_ms(), digest, is_last)
    });
    log::warn!(
        event = "endpoint_crashed", request, digest = digest.as_str(),
        crashes = entry.crashes, quarantined = entry.active;
        "endpoint is down after a request broke"
    );
    peers::broadcast(gateway, PeerContent::Suspect(entry)).await;
}

/// Notes that a request was answered.
pub fn answered(gateway: &Gateway, work: &CallerWork) {
    if gateway.with(|view| view.suspects.is_empty()) {
        return;
    }
    if let Some(digest) = digest(work) {
        gateway.with(|view| view.suspects.completed(unix_ms(), &digest));
    }
}

/// Returns whether a request is refused for good.
#[must_use]
pub fn is_quarantined(gateway: &Gateway, work: &CallerWork) -> bool {
    if gateway.with(|view| view.suspects.is_empty()) {
        return false;
    }
    digest(work).is_some_and(|digest| {
        gateway.with(|view| view.suspects.standing(&digest) == Standing::Quarantined)
    })
}

/// Takes over what another gateway noted.
pub fn learn(gateway: &Gateway, entry: QuarantineEntry) {
    gateway.with(|view| view.suspects.learn(entry));
}

/// Returns the digest of a request's path and body; none without a body, which tells callers
/// and requests apart.
fn digest(work: &CallerWork) -> Option<Digest> {
    if work.body.is_empty() {
        return None;
    }
    let uri = work.uri.to_string();
    Some(sha256_of_parts(&[uri.as_bytes(), &work.body]))
}
