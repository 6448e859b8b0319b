//! Finds out whether an endpoint crashed when connections broke during requests.
//!
//! A crash shows as connections that break during requests and an endpoint that accepts no connection
//! a moment later. One that accepts a connection then has only reset the old ones. An answer that only
//! the end of its connection ends looks whole where its endpoint crashes, so that it proves its request
//! sound only if the endpoint still accepts connections.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use chicorystage_api::name::{Digest, EndpointId, PromptPartId, ServiceName};
use chicorystage_core::suspects::prompt_parts::BrokenRequest;

use crate::gateway::caller_work::CallerWork;
use crate::gateway::connection::Connection;
use crate::gateway::shared::Gateway;
use crate::gateway::{poison, prompt_parts};
use crate::timer::unix_ms;

/// Delay after which a crashed endpoint no longer accepts connections, in milliseconds.
const CRASH_CHECK_DELAY_MS: u64 = 100;
/// Longest time within which the connections of a crashed endpoint end, in milliseconds.
const CRASH_SPAN_MS: u64 = 20;

/// Requests whose connections broke, by endpoint that is to be checked.
#[derive(Debug, Default)]
pub struct CrashChecks {
    pending: RefCell<HashMap<EndpointId, Vec<BrokenAttempt>>>,
}

/// How far an endpoint had got with a request when the connection broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerProgress {
    /// No answer had arrived.
    NotBegun,
    /// The answer was at its beginning.
    Beginning,
    /// The answer ended with its connection, and may be whole.
    Ended,
    /// The answer had got past its beginning.
    Advanced,
}

/// An attempt that ended with a broken connection.
#[derive(Clone, Debug)]
pub struct BrokenAttempt {
    /// Attempt id of the caller, for the log.
    pub(super) request: Arc<str>,
    /// Digest of the request.
    pub(super) digest: Digest,
    /// Service of the endpoint.
    pub(super) service: ServiceName,
    /// Wall-clock start of the attempt, in milliseconds since the Unix epoch.
    pub(super) began_unix_ms: u64,
    /// Wall-clock time of the break, in milliseconds since the Unix epoch.
    pub(super) broke_unix_ms: u64,
    /// Time of the break on the gateway's clock, in milliseconds.
    pub(super) broke_ms: u64,
    /// The prompt and how far the endpoint had got; `None` if the answer was past its beginning.
    pub(super) broken: Option<BrokenRequest>,
    /// Whether the answer is whole unless the endpoint has crashed.
    is_whole: bool,
    parts: Vec<PromptPartId>,
}

impl BrokenAttempt {
    /// Returns the last attempt of a request, which ends now.
    pub(super) fn ending_now(
        gateway: &Gateway,
        work: &CallerWork,
        service: &ServiceName,
        progress: AnswerProgress,
    ) -> Self {
        let (broke_ms, broke_unix_ms) = (gateway.now_ms(), unix_ms());
        let attempt_began_ms = work.attempt_began_ms.get();
        let parts = work.head.shared_parts.clone();
        let broken = (progress != AnswerProgress::Advanced).then(|| BrokenRequest {
            parts: parts.clone(),
            is_begun: progress != AnswerProgress::NotBegun,
            attempt_began_ms,
        });
        Self {
            request: Arc::from(work.head.attempt_id.as_str()),
            digest: poison::digest(work),
            service: service.clone(),
            began_unix_ms: broke_unix_ms.saturating_sub(broke_ms.saturating_sub(attempt_began_ms)),
            broke_unix_ms,
            broke_ms,
            broken,
            is_whole: progress == AnswerProgress::Ended,
            parts,
        }
    }

    /// Returns the identifiers of the prompt's shared parts, separated by commas.
    pub(super) fn parts_text(&self) -> String {
        let ids: Vec<&str> = self.parts.iter().map(PromptPartId::as_str).collect();
        ids.join(",")
    }
}

/// Checks in the background whether an endpoint has crashed; attempts that break until then share the
/// check.
pub(super) fn check(
    gateway: &Rc<Gateway>,
    endpoint: EndpointId,
    address: SocketAddr,
    attempt: BrokenAttempt,
) {
    let mut pending = gateway.crash_checks.pending.borrow_mut();
    if let Some(attempts) = pending.get_mut(&endpoint) {
        attempts.push(attempt);
        return;
    }
    pending.insert(endpoint.clone(), vec![attempt]);
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        tokio::time::sleep(Duration::from_millis(CRASH_CHECK_DELAY_MS)).await;
        let attempts = gateway.crash_checks.pending.borrow_mut().remove(&endpoint);
        let attempts = attempts.unwrap_or_default();
        let has_crashed = Connection::open(address).await.is_err();
        record(&gateway, &endpoint, attempts, has_crashed).await;
    });
}

/// Records the result of a check.
async fn record(
    gateway: &Rc<Gateway>,
    endpoint: &EndpointId,
    attempts: Vec<BrokenAttempt>,
    has_crashed: bool,
) {
    let last_ms = attempts.iter().map(|attempt| attempt.broke_ms).max();
    let (whole, broken): (Vec<_>, Vec<_>) = attempts.into_iter().partition(|attempt| {
        let ended_before = Some(attempt.broke_ms + CRASH_SPAN_MS) < last_ms;
        attempt.is_whole && (!has_crashed || ended_before)
    });
    for attempt in &whole {
        prompt_parts::record_sound(gateway, &attempt.service, &attempt.parts);
        poison::clear_suspect(gateway, &attempt.request, &attempt.digest);
    }
    if broken.is_empty() {
        return;
    }
    if !has_crashed {
        log::info!(
            event = "endpoint_not_crashed", endpoint = endpoint.as_str(), attempts = broken.len(),
            whole = whole.len();
            "endpoint accepts connections after some broke during requests"
        );
        return;
    }
    prompt_parts::record_crash(gateway, endpoint, &broken).await;
    for attempt in &broken {
        poison::record_crash(gateway, attempt).await;
    }
}
