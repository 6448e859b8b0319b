//! Dispatch: moves attempts from the queue to the endpoint.
//!
//! Each pass refuses expired attempts, sends the orders (load and unload
//! commands to the engine) that queued attempts need, and starts attempts
//! whose replica and adapter are loaded while capacity is free. At most one
//! version of a model is loaded at a time; the attempt that has waited longest
//! decides which one.

use std::collections::HashMap;
use std::sync::Arc;

use chicorystage_api::name::{ModelName, VersionName};
use chicorystage_api::peer::{AttemptRef, ReplicaState};
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_api::work::{Completion, WorkSpec};
use chicorystage_borders::engine::{CompletionStart, Engine};
use chicorystage_borders::service::Service;
use chicorystage_core::ledger::ReservationOwner;
use chicorystage_core::queue::Entry;
use chicorystage_core::replicas::ReplicaUse;
use tokio::sync::oneshot;

use crate::agent::admission::leaving_refusal;
use crate::agent::borders::Endpoint;
use crate::agent::call_task;
use crate::agent::completion_task::CompletionTask;
use crate::agent::main_loop::AgentLoop;
use crate::agent::queued_attempt::QueuedAttempt;
use crate::agent::readiness::Readiness;
use crate::agent::running_attempt::{RunningAttempt, RunningStream};
use crate::agent::target::Target;
use crate::agent::urgency::Urgency;

/// Version of each model that its longest waiting attempt needs.
pub(super) type RequestedVersions = HashMap<ModelName, VersionName>;

impl AgentLoop {
    /// Refuses expired attempts, sends orders for queued ones and starts those that are ready.
    pub(super) fn dispatch(&mut self) {
        let now_ms = self.clock.now_ms();
        self.expire_queued(now_ms);
        if self.queue.is_empty() {
            return;
        }
        let requested = self.requested_versions();
        self.load_for_queued(&requested, now_ms);
        self.start_ready(&requested, now_ms);
    }

    fn expire_queued(&mut self, now_ms: u64) {
        let expired = self.queue.remove_where(|entry| entry.deadline_ms <= now_ms);
        let detail = "the deadline passed in the endpoint's queue";
        for entry in expired {
            let refusal = Refusal::not_run(RefusalCode::DeadlineExceeded, detail);
            self.refuse(&entry.item.attempt, refusal);
        }
    }

    fn requested_versions(&self) -> RequestedVersions {
        let mut requested = RequestedVersions::new();
        for target in self
            .queue
            .iter()
            .filter_map(|entry| entry.item.target.as_ref())
        {
            requested
                .entry(target.key.model.clone())
                .or_insert_with(|| target.key.version.clone());
        }
        requested
    }

    /// Sends the orders that queued attempts need and refuses attempts that cannot be served.
    ///
    /// Attempts are handled by class, then deadline, then time in the queue; each distinct
    /// target is handled once.
    fn load_for_queued(&mut self, requested: &RequestedVersions, now_ms: u64) {
        let mut waiting: Vec<_> = self
            .queue
            .iter()
            .filter_map(|entry| {
                let target = entry.item.target.clone()?;
                let priority = (entry.class, entry.deadline_ms, entry.queued_ms);
                Some((priority, entry.item.attempt.clone(), target))
            })
            .collect();
        waiting.sort_by_key(|(priority, _, _)| *priority);
        let mut handled: Vec<(Target, Readiness)> = Vec::new();
        let mut refused: Vec<(AttemptRef, Refusal)> = Vec::new();
        for ((class, deadline_ms, queued_ms), attempt, target) in waiting {
            let known = handled.iter().find(|(other, _)| *other == target);
            let readiness = if let Some((_, readiness)) = known {
                readiness.clone()
            } else {
                let urgency = Urgency { class, deadline_ms };
                let readiness = self.ensure_loaded(&target, requested, urgency, now_ms);
                handled.push((target, readiness.clone()));
                readiness
            };
            if let Some(refusal) = readiness.refusal(now_ms.saturating_sub(queued_ms)) {
                refused.push((attempt, refusal));
            }
        }
        self.refuse_queued(&refused);
    }

    fn refuse_queued(&mut self, refused: &[(AttemptRef, Refusal)]) {
        if refused.is_empty() {
            return;
        }
        let is_refused = |entry: &Entry<QueuedAttempt>| {
            refused
                .iter()
                .any(|(attempt, _)| *attempt == entry.item.attempt)
        };
        let removed = self.queue.remove_where(is_refused);
        for entry in removed {
            let attempt = &entry.item.attempt;
            if let Some((_, refusal)) = refused.iter().find(|(refused, _)| refused == attempt) {
                self.refuse(attempt, refusal.clone());
            }
        }
    }

    /// Starts queued attempts whose target is loaded while capacity is free.
    ///
    /// Nothing starts while a suspect request runs, and nothing after one in the same pass.
    fn start_ready(&mut self, requested: &RequestedVersions, now_ms: u64) {
        let suspect_runs = self.running.values().any(|running| running.suspect);
        if suspect_runs {
            return;
        }
        while self.running_count() < self.capacity() {
            let running = self.running_count();
            let replicas = &self.replicas;
            let next = self.queue.pop(running, |waiting| {
                waiting.target.as_ref().is_none_or(|target| {
                    is_loaded(replicas, target)
                        && requested.get(&target.key.model) == Some(&target.key.version)
                })
            });
            let Some(entry) = next else {
                return;
            };
            let suspect = entry.suspect;
            self.run_attempt(entry, now_ms);
            if suspect {
                return;
            }
        }
    }

    /// Starts an attempt on the endpoint and marks its replica and adapter as in use.
    fn run_attempt(&mut self, entry: Entry<QueuedAttempt>, now_ms: u64) {
        let queued_ms = now_ms.saturating_sub(entry.queued_ms);
        let QueuedAttempt {
            attempt,
            request,
            target,
        } = entry.item;
        let running = RunningAttempt {
            started_ms: now_ms,
            deadline_ms: entry.deadline_ms,
            class: entry.class,
            suspect: entry.suspect,
            stream: None,
        };
        match (self.borders.endpoint.clone(), request.work, target) {
            (Endpoint::Engine(engine), WorkSpec::Completion(work), Some(target)) => {
                let cold_start_ms = self.cold_start_ms(&target, entry.queued_ms);
                let replica_use =
                    self.replicas
                        .acquire(&target.key, target.adapter.as_ref(), now_ms);
                let Some(replica_use) = replica_use else {
                    return self.refuse(&attempt, leaving_refusal());
                };
                let start = completion_start(&attempt, &work, entry.class, request.digest);
                let times = (queued_ms, cold_start_ms);
                self.run_completion(engine, attempt, running, replica_use, start, times);
            }
            (Endpoint::Service(service), WorkSpec::Service(call), _) => {
                self.run_call(service, attempt, running, call, queued_ms);
            }
            _ => {
                let detail = "this endpoint runs no work of that kind";
                self.refuse(&attempt, Refusal::not_run(RefusalCode::NoEndpoint, detail));
            }
        }
    }

    fn run_completion(
        &mut self,
        engine: Arc<dyn Engine>,
        attempt: AttemptRef,
        mut running: RunningAttempt,
        replica_use: ReplicaUse,
        start: CompletionStart,
        (queued_ms, cold_start_ms): (u64, u64),
    ) {
        let (cancel_on_drop, cancelled) = oneshot::channel();
        running.stream = Some(RunningStream {
            replica_use,
            stream_id: Arc::clone(&start.stream_id),
            _cancel_on_drop: cancel_on_drop,
        });
        self.running.insert(attempt.clone(), running);
        let task = CompletionTask {
            engine,
            handle: self.handle.clone(),
            attempt,
            start,
            engine_run: self
                .engine_status
                .as_ref()
                .map_or(0, |engine| engine.engine_run),
            queued_ms,
            cold_start_ms,
        };
        tokio::spawn(task.run(cancelled));
    }

    fn run_call(
        &mut self,
        service: Arc<dyn Service>,
        attempt: AttemptRef,
        running: RunningAttempt,
        call: chicorystage_api::work::ServiceCall,
        queued_ms: u64,
    ) {
        self.running.insert(attempt.clone(), running);
        let handle = self.handle.clone();
        tokio::spawn(call_task::run_call(
            service, handle, attempt, call, queued_ms,
        ));
    }

    /// Returns how long an attempt waited for its replica and adapter to load, in milliseconds.
    ///
    /// 0 if both were loaded when it was queued.
    fn cold_start_ms(&self, target: &Target, queued_ms: u64) -> u64 {
        let replica = self.loaded_ms.get(&ReservationOwner::replica(&target.key));
        let adapter = target.adapter.as_ref().and_then(|adapter| {
            let owner = ReservationOwner::adapter(&target.key, adapter);
            self.loaded_ms.get(&owner)
        });
        let loaded_ms = replica.copied().max(adapter.copied()).unwrap_or(0);
        loaded_ms.saturating_sub(queued_ms)
    }

    pub(super) fn running_count(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }
}

fn is_loaded(replicas: &chicorystage_core::replicas::Replicas, target: &Target) -> bool {
    let Some(replica) = replicas.get(&target.key) else {
        return false;
    };
    let has_adapter = target.adapter.as_ref().is_none_or(|name| {
        let adapter = replica.adapter(name);
        adapter.is_some_and(|adapter| adapter.state() == ReplicaState::Loaded)
    });
    replica.state() == ReplicaState::Loaded && has_adapter
}

fn completion_start(
    attempt: &AttemptRef,
    work: &Completion,
    class: chicorystage_api::inventory::Class,
    digest: chicorystage_api::name::Digest,
) -> CompletionStart {
    CompletionStart {
        stream_id: format!("{}.{}", attempt.request_id, attempt.attempt).into(),
        model: work.model.clone(),
        version: work.version.clone(),
        adapter: work.adapter.clone(),
        prompt: Arc::clone(&work.prompt),
        max_tokens: work.max_tokens,
        class,
        digest,
    }
}
