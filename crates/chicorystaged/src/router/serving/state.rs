use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use chicorystage_api::inventory::{CallerItem, Class};
use chicorystage_api::name::{CallerName, Digest, ModelName, VmId};
use chicorystage_api::peer::QuarantineEntry;
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_core::admission::{DeadlineCheck, WaitQueue, check_deadline};
use chicorystage_core::choice::{Candidate, ChosenEndpoint, EndpointTracker, PrefixHints};
use chicorystage_core::limits::CallerMeters;
use chicorystage_core::retry::RetryBudget;
use chicorystage_core::suspects::{DigestStatus, SuspectList};

use tokio::sync::oneshot;

use crate::metrics::Metrics;
use crate::router::event::Choice;
use crate::router::handle::RouterHandle;
use crate::router::serving::refusals::{body_too_large, limited, overloaded, quarantined};
use crate::router::serving::trace_log::TraceLog;
use crate::router::serving::{ChooseRequest, ServingEvent, WaitGuard};
use crate::settings::RouterSettings;

/// Estimated wait above which a further slot of the model is requested, in milliseconds.
const FURTHER_SLOT_WAIT_MS: u64 = 250;
/// Minimum interval between two requests for a further slot of one model, in milliseconds.
const SLOT_REQUEST_INTERVAL_MS: u64 = 1_000;

/// The serving path's part of the main loop: limits, wait queue, retries and suspects.
#[derive(Debug)]
pub(crate) struct ServingState {
    meters: CallerMeters,
    wait_queue: WaitQueue,
    metrics: Arc<Metrics>,
    leaving_vms: HashSet<VmId>,
    slot_requested_ms: HashMap<ModelName, u64>,
    pub(crate) endpoints: EndpointTracker,
    pub(crate) prefixes: PrefixHints,
    pub(crate) retries: RetryBudget,
    pub(crate) suspects: SuspectList,
    pub(crate) traces: TraceLog,
    pub(crate) leaving: bool,
    drain_listeners: Vec<oneshot::Sender<()>>,
    pub(crate) stopped: bool,
}

impl ServingState {
    pub(crate) fn new(settings: &RouterSettings, metrics: Arc<Metrics>) -> Self {
        Self {
            meters: CallerMeters::default(),
            wait_queue: WaitQueue::new(settings.waiting_max, settings.body_bytes_held_max),
            metrics,
            leaving_vms: HashSet::new(),
            slot_requested_ms: HashMap::new(),
            endpoints: EndpointTracker::default(),
            prefixes: PrefixHints::default(),
            retries: RetryBudget::default(),
            suspects: SuspectList::default(),
            traces: TraceLog::default(),
            leaving: false,
            drain_listeners: Vec::new(),
            stopped: false,
        }
    }

    pub(crate) fn set_metrics(&mut self, metrics: Arc<Metrics>) {
        self.metrics = metrics;
    }

    /// Starts a graceful stop on an operator's command.
    pub(crate) fn drain(&mut self) {
        self.leaving = true;
        for listener in self.drain_listeners.drain(..) {
            // Fails if the router is already stopping.
            let _sent = listener.send(());
        }
    }

    /// Handles the events that need no other state of the main loop.
    ///
    /// # Panics
    ///
    /// Panics on the events that the main loop handles itself, which is a bug.
    pub(crate) fn on_event(&mut self, handle: &RouterHandle, event: ServingEvent) {
        match event {
            ServingEvent::RequestEnded { caller, body_bytes } => {
                self.request_ended(&caller, body_bytes);
            }
            ServingEvent::ReleaseBytes { excess_bytes } => {
                self.wait_queue.release_bytes(excess_bytes);
            }
            ServingEvent::Wait {
                caller,
                weight,
                class,
                digest,
                reply,
            } => {
                let digest_status = self.wait(&caller, weight, class, &digest);
                let guard = digest_status
                    .map(|digest_status| WaitGuard::new(handle.clone(), caller, digest_status));
                // If the request has ended meanwhile, dropping the guard releases the place.
                let _sent = reply.send(guard);
            }
            ServingEvent::WaitEnded { caller } => self.wait_ended(&caller),
            ServingEvent::TakeRetry {
                digest,
                charged,
                reply,
            } => {
                let _sent = reply.send(self.take_retry(&digest, charged));
            }
            ServingEvent::VmLeaving(vm) => {
                self.leaving_vms.insert(vm);
            }
            ServingEvent::QuarantineReceived(entries) => self.merge_quarantine(entries),
            ServingEvent::QuarantineList { reply } => {
                let _sent = reply.send(self.suspects.quarantined().cloned().collect());
            }
            ServingEvent::Traced(trace) => self.traces.put(*trace),
            ServingEvent::Explain { request_id, reply } => {
                let _sent = reply.send(self.traces.get(&request_id).cloned());
            }
            ServingEvent::AwaitDrain { reply } => self.drain_listeners.push(reply),
            ServingEvent::Leave => self.leaving = true,
            ServingEvent::Stop => self.stopped = true,
            ServingEvent::Enter { .. }
            | ServingEvent::FindVm { .. }
            | ServingEvent::Unanswered(_)
            | ServingEvent::NotPlaced { .. }
            | ServingEvent::Crashed { .. }
            | ServingEvent::Completed { .. }
            | ServingEvent::QuarantineLift { .. } => {
                unreachable!("the main loop handles the events that need its other state")
            }
        }
    }

    /// Counts a request under its caller's limits and reserves the bytes of its body.
    ///
    /// Returns the number of bytes reserved: the declared size, or the caller's
    /// maximum if none is declared.
    pub(crate) fn enter(
        &mut self,
        now_ms: u64,
        caller: &CallerItem,
        body_bytes: Option<u64>,
    ) -> Result<u64, Refusal> {
        let limit_bytes = caller.body_bytes_max;
        let reserved_bytes = body_bytes.unwrap_or(limit_bytes);
        if reserved_bytes > limit_bytes {
            return Err(body_too_large(caller));
        }
        self.wait_queue
            .reserve_bytes(reserved_bytes)
            .map_err(|shed| overloaded(shed, &caller.name))?;
        let entered = self.meters.admit(now_ms, &caller.name, caller.into());
        if let Err(exceeded) = entered {
            self.wait_queue.release_bytes(reserved_bytes);
            return Err(limited(exceeded, caller));
        }
        self.update_gauges();
        Ok(reserved_bytes)
    }

    fn request_ended(&mut self, caller: &CallerName, body_bytes: u64) {
        self.meters.release(caller);
        self.wait_queue.release_bytes(body_bytes);
        self.update_gauges();
    }

    /// Enters a request into the wait queue and returns the status of its digest.
    ///
    /// # Errors
    ///
    /// Refuses quarantined work and requests that the queue sheds.
    fn wait(
        &mut self,
        caller: &CallerName,
        weight: u32,
        class: Class,
        digest: &Digest,
    ) -> Result<DigestStatus, Refusal> {
        let digest_status = self.suspects.status(digest);
        if digest_status == DigestStatus::Quarantined {
            return Err(quarantined());
        }
        self.wait_queue
            .enter(class, caller, weight)
            .map_err(|shed| overloaded(shed, caller))?;
        self.update_gauges();
        Ok(digest_status)
    }

    fn wait_ended(&mut self, caller: &CallerName) {
        self.wait_queue.leave(caller);
        self.update_gauges();
    }

    /// Takes a retry, from the budget if `charged`; `None` if the budget is spent.
    fn take_retry(&mut self, digest: &Digest, charged: bool) -> Option<DigestStatus> {
        if charged && !self.retries.try_take() {
            return None;
        }
        Some(self.suspects.status(digest))
    }

    /// Chooses one of the candidates and counts the attempt as started there.
    ///
    /// Candidates to avoid are used only if there is no other and the request
    /// allows it. Returns `None` if no candidate is left.
    ///
    /// # Errors
    ///
    /// Refuses a request whose deadline is too close for the estimated wait.
    pub(crate) fn choose(
        &mut self,
        now_ms: u64,
        request: &ChooseRequest,
        mut candidates: Vec<Candidate>,
    ) -> Result<Option<ChosenEndpoint>, Refusal> {
        let mut untried = candidates.clone();
        untried.retain(|candidate| !request.avoid.contains(&candidate.vm));
        if !untried.is_empty() || !request.allow_avoided {
            candidates = untried;
        }
        let prefix_at = request.prefix_key.and_then(|key| self.prefixes.get(key));
        let Some(chosen) = self.endpoints.choose(now_ms, &candidates, prefix_at) else {
            return Ok(None);
        };
        let time_left_ms = request.deadline_ms.saturating_sub(now_ms);
        if let DeadlineCheck::TooLate { retry_after_ms } =
            check_deadline(chosen.estimated_wait_ms, time_left_ms)
        {
            let detail = format!(
                "the estimated wait is {} ms and the request has {time_left_ms} ms left",
                chosen.estimated_wait_ms
            );
            return Err(Refusal::not_run(RefusalCode::DeadlineUnreachable, detail)
                .retry_after_ms(retry_after_ms));
        }
        self.endpoints.started(now_ms, &chosen.vm);
        Ok(Some(chosen))
    }

    /// Merges entries received from other processes or the table into the suspect list.
    pub(crate) fn merge_quarantine(&mut self, entries: Vec<QuarantineEntry>) {
        for entry in entries {
            let (digest, active) = (entry.digest.clone(), entry.active);
            if self.suspects.merge(entry) && active {
                log::info!(event = "quarantine_learnt", digest = digest.as_str(); "received the quarantine of a digest from another process");
            }
        }
    }

    /// Returns whether the agent of a VM has refused work because it is leaving.
    pub(crate) fn is_leaving(&self, vm: &VmId) -> bool {
        self.leaving_vms.contains(vm)
    }

    /// Returns whether to request a further slot of a model, given its last choice.
    ///
    /// True if the estimated wait is too long, or the deadline cannot be met, and
    /// no slot was requested within the interval. Returning true starts a new
    /// interval.
    pub(crate) fn needs_further_slot(
        &mut self,
        now_ms: u64,
        model: &ModelName,
        choice: &Result<Choice, Refusal>,
    ) -> bool {
        let busy = match choice {
            Ok(choice) => choice.estimated_wait_ms > FURTHER_SLOT_WAIT_MS,
            Err(refusal) => refusal.code == RefusalCode::DeadlineUnreachable,
        };
        let requested_ms = self.slot_requested_ms.get(model);
        let recently = requested_ms
            .is_some_and(|requested_ms| now_ms < requested_ms + SLOT_REQUEST_INTERVAL_MS);
        if !busy || recently {
            return false;
        }
        let in_interval = |requested_ms: u64| now_ms < requested_ms + SLOT_REQUEST_INTERVAL_MS;
        self.slot_requested_ms
            .retain(|_, requested_ms| in_interval(*requested_ms));
        self.slot_requested_ms.insert(model.clone(), now_ms);
        true
    }

    /// Removes the state of VMs that are no longer listed; their ids are not reused.
    pub(crate) fn retain_listed_vms(&mut self, is_listed: impl Fn(&VmId) -> bool) {
        self.leaving_vms.retain(is_listed);
    }

    /// Counts a crash against a digest and returns the resulting entry for publication.
    pub(crate) fn crashed(
        &mut self,
        now_unix_ms: u64,
        digest: &Digest,
        alone: bool,
    ) -> QuarantineEntry {
        self.metrics.count_endpoint_crash();
        let entry = self.suspects.record_crash(now_unix_ms, digest, alone);
        if entry.active {
            self.metrics.count_quarantine();
            log::warn!(event = "digest_quarantined", digest = digest.as_str(), crashes = entry.crashes; "digest quarantined");
        }
        entry
    }

    pub(crate) fn quarantined_len(&self) -> u32 {
        u32::try_from(self.suspects.quarantined().count()).unwrap_or(u32::MAX)
    }

    /// Returns the number of requests that have entered and not ended.
    pub(crate) fn in_progress(&self) -> u32 {
        self.meters.in_progress_total()
    }

    /// Updates the gauges of waiting requests, requests in progress and reserved bytes.
    fn update_gauges(&self) {
        self.metrics.set_gauges(
            self.wait_queue.waiting(),
            self.meters.in_progress_total(),
            self.wait_queue.bytes(),
        );
    }
}
