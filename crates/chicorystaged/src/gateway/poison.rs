//! Requests that crash the endpoints that run them.
//!
//! A connection that breaks under a request may be the request's doing. It is
//! told apart from an endpoint's own failure by repetition: the third break in
//! a row of the same path and body, at any gateways, without an answer between
//! them, ends in a refusal for good.

use std::rc::Rc;

use chicorystage_api::name::Digest;
use chicorystage_api::peer::QuarantineEntry;
use chicorystage_core::suspects::Standing;
use chicorystage_core::token::sha256_of_parts;

use crate::gateway::attempt::CallerWork;
use crate::gateway::peer_message::PeerContent;
use crate::gateway::peers;
use crate::gateway::shared::Gateway;
use crate::timer::unix_ms;

/// Breaks in a row before the one that quarantines a request.
const BREAKS_BEFORE_QUARANTINE: u32 = 2;

/// Notes that a connection broke under a request, and tells the other gateways.
pub fn broke(gateway: &Rc<Gateway>, work: &CallerWork) {
    let Some(digest) = digest(work) else {
        return;
    };
    let entry = gateway.with(|view| {
        let is_last = view.suspects.crashes(&digest) >= BREAKS_BEFORE_QUARANTINE;
        view.suspects.crashed(unix_ms(), &digest, is_last)
    });
    if entry.active {
        gateway.metrics.attempt("quarantined");
        log::warn!(
            event = "request_quarantined", request = work.head.attempt_id.as_str(),
            digest = digest.as_str(), crashes = entry.crashes;
            "request breaks each endpoint that runs it"
        );
    }
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        peers::broadcast(&gateway, PeerContent::Suspect(entry)).await;
    });
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
