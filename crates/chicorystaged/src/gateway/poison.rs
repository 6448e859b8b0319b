//! Quarantines requests that crash the endpoints that run them.
//!
//! A request that crashes its endpoint would, with retries, take down one endpoint after another. A
//! crash shows as a connection that breaks during a request and an endpoint that accepts no
//! connection a moment later ([`crash_checks`](super::crash_checks)). The third such crash in a row
//! for the same request, counted over all gateways and without an answer between them, quarantines
//! the request: it is refused for good. A broken connection to an endpoint that still accepts new
//! ones is not counted.
//!
//! Requests are the same if method, host, path and body are. Many callers may send the same request
//! without a body, and endpoints may crash for other reasons while they run it; so a crash counts
//! only if its attempt began after the crash before.
//!
//! A part of prompts can be quarantined as well ([`ServicePart`]), whatever else its requests hold. Where
//! it may be the wrong one, single requests test it ([`begin_trial`]).

use std::rc::Rc;

use chicorystage_api::name::{Digest, ServiceName};
use chicorystage_api::peer::QuarantineEntry;
use chicorystage_core::suspects::DigestStatus;
use chicorystage_core::suspects::prompt_parts::ServicePart;
use chicorystage_core::token::sha256_of_parts;

use crate::gateway::caller_work::CallerWork;
use crate::gateway::crash_checks::BrokenAttempt;
use crate::gateway::peer_message::PeerContent;
use crate::gateway::peers;
use crate::gateway::quarantine_rows;
use crate::gateway::shared::Gateway;
use crate::gateway::view::View;
use crate::timer::unix_ms;

/// Number of crashes of a request after which the next one quarantines it.
const CRASHES_BEFORE_QUARANTINE: u32 = 2;
/// Counts a crash of a request and reports it to the other gateways.
pub(super) async fn record_crash(gateway: &Rc<Gateway>, attempt: &BrokenAttempt) {
    let (request, digest) = (attempt.request.as_ref(), &attempt.digest);
    let parts = attempt.parts_text();
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
    if entry.active {
        gateway.metrics.count_quarantine("request");
        publish_quarantine(gateway, entry).await;
    } else {
        peers::broadcast(gateway, PeerContent::Suspect(entry)).await;
    }
}

/// Puts a quarantine, or its end, into force here, tells the other gateways and keeps it in the store.
pub(super) async fn publish_quarantine(gateway: &Rc<Gateway>, entry: QuarantineEntry) {
    note_decision(gateway);
    peers::broadcast(gateway, PeerContent::Suspect(entry.clone())).await;
    // The store may be away for long, and further crashes are to be counted meanwhile.
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move { quarantine_rows::store(&gateway, &entry).await });
}

/// Records that a request was answered, which clears it as a suspect at every gateway.
///
/// Many callers may send the same request without a body, and each gateway sees only some of its
/// answers.
pub fn record_answer(gateway: &Rc<Gateway>, work: &CallerWork) {
    if gateway.with(|view| view.suspects.is_empty()) {
        return;
    }
    clear_suspect(gateway, work.head.attempt_id.as_str(), &digest(work));
}

/// Clears a suspect at every gateway after an answer to `request`.
pub(super) fn clear_suspect(gateway: &Rc<Gateway>, request: &str, digest: &Digest) {
    let answered_unix_ms = unix_ms();
    let was_suspect =
        gateway.with(|view| view.suspects.record_completion(answered_unix_ms, digest));
    if !was_suspect {
        return;
    }
    log::info!(
        event = "suspect_cleared", request, digest = digest.as_str();
        "a request that was suspected to crash endpoints has been answered"
    );
    let (gateway, digest) = (Rc::clone(gateway), digest.clone());
    tokio::task::spawn_local(async move {
        let content = PeerContent::Cleared {
            digest,
            answered_unix_ms,
        };
        peers::broadcast(&gateway, content).await;
    });
}

/// Returns whether a request at a service, or a part of its prompt, is quarantined; a request that
/// tests the quarantine of a part is let through.
#[must_use]
pub fn is_quarantined(gateway: &Gateway, work: &CallerWork, service: &ServiceName) -> bool {
    if gateway.with(|view| view.suspects.is_empty()) {
        return false;
    }
    let digest = digest(work);
    let is_request = |view: &mut View| is_active(view, &digest);
    gateway.with(is_request)
        || !work.is_trial.get() && !quarantined_parts(gateway, work, service).is_empty()
}

/// Lets a quarantined request through if its outcome would tell whether the quarantine of a part of its
/// prompt is right, and no other one is due before; returns whether it is.
pub(super) fn begin_trial(gateway: &Gateway, work: &CallerWork, service: &ServiceName) -> bool {
    let digest = digest(work);
    let now_ms = gateway.now_ms();
    if gateway.with(|view| is_active(view, &digest)) || !gateway.part_trials.is_due(now_ms) {
        return false;
    }
    let parts = quarantined_parts(gateway, work, service);
    let is_telling = gateway.with(|view| {
        let evidence = &view.part_evidence;
        let mut parts = parts.iter();
        parts.all(|part| evidence.is_telling(part, &work.head.shared_parts))
    });
    if !is_telling {
        return false;
    }
    gateway
        .part_trials
        .defer(now_ms, gateway.with(|view| view.gateways()));
    work.is_trial.set(true);
    let parts: Vec<&str> = parts.iter().map(|part| part.part.as_str()).collect();
    log::info!(
        event = "prompt_part_trial", request = work.head.attempt_id.as_str(),
        service = service.as_str(), parts = parts.join(",");
        "request is let through to find out whether a quarantined part crashes endpoints"
    );
    true
}

fn is_active(view: &View, digest: &Digest) -> bool {
    view.suspects.status(digest) == DigestStatus::Quarantined
}

/// Returns the quarantined parts of a request's prompt.
fn quarantined_parts(
    gateway: &Gateway,
    work: &CallerWork,
    service: &ServiceName,
) -> Vec<ServicePart> {
    let parts = work.head.shared_parts.iter();
    let parts = parts.map(|part| ServicePart::new(service, part));
    gateway.with(|view| {
        let quarantined = parts.filter(|part| is_active(view, &part.digest()));
        quarantined.collect()
    })
}

/// Waits until a request at a service, or a part of its prompt, is quarantined.
pub async fn quarantined(gateway: &Gateway, work: &CallerWork, service: &ServiceName) {
    let mut quarantined = gateway.quarantined.subscribe();
    // The sender lives as long as the gateway.
    while !is_quarantined(gateway, work, service) && quarantined.changed().await.is_ok() {}
}

/// Merges a crash record or a quarantine of another process; returns whether it was new.
pub fn merge(gateway: &Gateway, entry: QuarantineEntry) -> bool {
    let is_quarantine = entry.active;
    let is_new = gateway.with(|view| view.suspects.merge(entry));
    if is_new && is_quarantine {
        note_decision(gateway);
    }
    is_new
}

/// Ends waits of quarantined requests, and puts off the next trial.
fn note_decision(gateway: &Gateway) {
    gateway.quarantined.send_replace(());
    let gateways = gateway.with(|view| view.gateways());
    gateway.part_trials.defer(gateway.now_ms(), gateways);
}

/// Clears a suspect that another gateway has seen answered.
pub fn merge_answer(gateway: &Gateway, answered_unix_ms: u64, digest: &Digest) {
    gateway.with(|view| view.suspects.merge_completion(answered_unix_ms, digest));
}

/// Returns the digest of a request's method, host, path and body, which is computed once.
pub(super) fn digest(work: &CallerWork) -> Digest {
    work.digest.get_or_init(|| compute_digest(work)).clone()
}

fn compute_digest(work: &CallerWork) -> Digest {
    let uri = work.uri.to_string();
    let parts = [
        work.method.as_str().as_bytes(),
        work.route.host.as_bytes(),
        uri.as_bytes(),
        &work.body,
    ];
    sha256_of_parts(&parts)
}
