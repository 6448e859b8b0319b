//! The agent's main loop: owns all state and decides.

use std::collections::HashMap;
use std::sync::Arc;

use chicorystage_api::name::ModelName;
use chicorystage_api::peer::{
    AgentStatus, AttemptRef, ClaimState, PlacementAck, PlacementPush, ReplicaState, ReplicaStatus,
    SlotState,
};
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_api::work::{AttemptRequest, Completion, EndpointLoad, Frame, Payload, WorkSpec};
use chicorystage_platform::engine::{Engine, EngineStatus, Order, OrderKind};
use tokio::sync::mpsc;

use crate::agent::borders::{AgentBorders, Endpoint};
use crate::agent::endpoint_task;
use crate::agent::event::AgentEvent;
use crate::agent::handle::AgentHandle;
use crate::settings::{AgentSettings, DaemonSettings};
use crate::timer::{Clock, unix_ms};

/// Time between two reads of the engine's status, in milliseconds.
const STATUS_READ_INTERVAL_MS: u64 = 500;

/// One attempt and the frames that it has given so far.
#[derive(Debug)]
struct Attempt {
    frames: Vec<Frame>,
    listeners: Vec<mpsc::UnboundedSender<Frame>>,
}

/// One replica that is loaded or being loaded.
#[derive(Debug)]
struct Replica {
    state: ReplicaState,
    completion: Completion,
    waiting: Vec<AttemptRequest>,
}

/// The agent's main loop.
#[derive(Debug)]
pub struct AgentLoop {
    daemon: DaemonSettings,
    settings: AgentSettings,
    borders: AgentBorders,
    handle: AgentHandle,
    clock: Clock,
    incarnation: u64,
    attempts: HashMap<AttemptRef, Attempt>,
    replicas: HashMap<ModelName, Replica>,
    slots: HashMap<ModelName, u64>,
    engine: Option<EngineStatus>,
    running: u32,
}

impl AgentLoop {
    /// Creates a loop without state.
    #[must_use]
    pub fn new(
        daemon: DaemonSettings,
        settings: AgentSettings,
        borders: AgentBorders,
        handle: AgentHandle,
        clock: Clock,
    ) -> Self {
        Self {
            daemon,
            settings,
            borders,
            handle,
            clock,
            incarnation: rand::random(),
            attempts: HashMap::new(),
            replicas: HashMap::new(),
            slots: HashMap::new(),
            engine: None,
            running: 0,
        }
    }

    /// Runs until every handle is gone.
    pub async fn run(mut self, mut events: mpsc::Receiver<AgentEvent>) {
        self.spawn_status_reader();
        while let Some(event) = events.recv().await {
            self.on_event(event);
        }
    }

    fn spawn_status_reader(&self) {
        let Endpoint::Engine(engine) = &self.borders.endpoint else {
            return;
        };
        let engine = Arc::clone(engine);
        let handle = self.handle.clone();
        let mut ticks = self.clock.subscribe(STATUS_READ_INTERVAL_MS);
        tokio::spawn(async move {
            loop {
                let status = engine.status().await.ok();
                if !handle.tell(AgentEvent::EngineRead(status)).await
                    || ticks.recv().await.is_none()
                {
                    return;
                }
            }
        });
    }

    fn on_event(&mut self, event: AgentEvent) {
        match event {
            AgentEvent::Start { request, frames } => self.start(*request, frames),
            AgentEvent::Resume {
                attempt,
                offset,
                frames,
                reply,
            } => {
                let known = self.resume(&attempt, offset, frames);
                // The router may have gone meanwhile; then nobody needs the answer.
                let _sent = reply.send(known);
            }
            AgentEvent::Cancel(_) | AgentEvent::PushQuarantine(_) | AgentEvent::Drain => {}
            AgentEvent::Output { attempt, payload } => self.output(&attempt, payload),
            AgentEvent::Loaded { model, result } => self.loaded(&model, result),
            AgentEvent::EngineRead(status) => self.engine = status,
            AgentEvent::QueryClaim { reply, .. } => {
                let state = ClaimState::OtherIncarnation {
                    incarnation: self.incarnation,
                };
                let _sent = reply.send(state);
            }
            AgentEvent::PushPlacements { pushes, reply } => {
                let acks = pushes.iter().map(|push| self.placement(push)).collect();
                let _sent = reply.send(acks);
            }
            AgentEvent::Status { reply } => {
                let _sent = reply.send(self.status());
            }
        }
    }

    fn start(&mut self, request: AttemptRequest, listener: mpsc::UnboundedSender<Frame>) {
        let attempt = AttemptRef {
            request_id: request.request_id.clone(),
            attempt: request.attempt,
        };
        let record = Attempt {
            frames: Vec::new(),
            listeners: vec![listener],
        };
        self.attempts.insert(attempt.clone(), record);
        self.running += 1;
        match (self.borders.endpoint.clone(), request.work.clone()) {
            (Endpoint::Engine(engine), WorkSpec::Completion(completion)) => {
                self.start_completion(engine, request, completion);
            }
            (Endpoint::Service(service), WorkSpec::Service(call)) => {
                tokio::spawn(endpoint_task::run_call(
                    service,
                    self.handle.clone(),
                    request,
                    call,
                ));
            }
            _ => {
                let detail = "this endpoint runs no work of that kind";
                let refusal = Refusal::not_run(RefusalCode::NoEndpoint, detail);
                self.output(&attempt, Payload::Refused(refusal));
            }
        }
    }

    fn start_completion(
        &mut self,
        engine: Arc<dyn Engine>,
        request: AttemptRequest,
        completion: Completion,
    ) {
        if let Some(replica) = self.replicas.get_mut(&completion.model) {
            if replica.state == ReplicaState::Loaded {
                let handle = self.handle.clone();
                tokio::spawn(endpoint_task::run_completion(
                    engine, handle, request, completion, 0,
                ));
            } else {
                replica.waiting.push(request);
            }
            return;
        }
        let model = completion.model.clone();
        let kind = OrderKind::Load {
            model: model.clone(),
            version: completion.version.clone(),
            memory_bytes: completion.model_memory_bytes,
        };
        let replica = Replica {
            state: ReplicaState::Loading,
            completion,
            waiting: vec![request],
        };
        self.replicas.insert(model.clone(), replica);
        let order = Order {
            fence: unix_ms(),
            kind,
        };
        let (handle, clock) = (self.handle.clone(), self.clock);
        tokio::spawn(async move {
            let start_ms = clock.now_ms();
            let result = engine.order(order).await;
            let result = result.map(|()| clock.now_ms() - start_ms);
            let result = result
                .map_err(|error| Refusal::not_run(RefusalCode::LoadFailed, error.to_string()));
            handle.tell(AgentEvent::Loaded { model, result }).await;
        });
    }

    fn loaded(&mut self, model: &ModelName, result: Result<u64, Refusal>) {
        let Some(replica) = self.replicas.get_mut(model) else {
            return;
        };
        let waiting = std::mem::take(&mut replica.waiting);
        match result {
            Ok(load_ms) => {
                replica.state = ReplicaState::Loaded;
                log::info!(event = "replica_loaded", model = model.as_str(), load_ms; "replica loaded");
                let Endpoint::Engine(engine) = self.borders.endpoint.clone() else {
                    return;
                };
                for request in waiting {
                    let WorkSpec::Completion(completion) = request.work.clone() else {
                        continue;
                    };
                    let (engine, handle) = (Arc::clone(&engine), self.handle.clone());
                    tokio::spawn(endpoint_task::run_completion(
                        engine, handle, request, completion, load_ms,
                    ));
                }
            }
            Err(refusal) => {
                self.replicas.remove(model);
                for request in waiting {
                    let attempt = AttemptRef {
                        request_id: request.request_id,
                        attempt: request.attempt,
                    };
                    self.output(&attempt, Payload::Refused(refusal.clone()));
                }
            }
        }
    }

    fn resume(
        &mut self,
        attempt: &AttemptRef,
        offset: u64,
        listener: mpsc::UnboundedSender<Frame>,
    ) -> bool {
        let Some(record) = self.attempts.get_mut(attempt) else {
            return false;
        };
        for frame in record.frames.iter().filter(|frame| frame.offset >= offset) {
            // A listener that has gone is dropped at the next frame.
            let _sent = listener.send(frame.clone());
        }
        record.listeners.push(listener);
        true
    }

    fn output(&mut self, attempt: &AttemptRef, payload: Payload) {
        let load = payload.is_final().then(|| self.load());
        let Some(record) = self.attempts.get_mut(attempt) else {
            return;
        };
        let last = payload.is_final();
        let frame = Frame {
            attempt: attempt.attempt,
            offset: record.frames.len() as u64,
            load,
            payload,
        };
        record
            .listeners
            .retain(|listener| listener.send(frame.clone()).is_ok());
        record.frames.push(frame);
        if last {
            record.listeners.clear();
            self.running = self.running.saturating_sub(1);
        }
    }

    fn placement(&mut self, push: &PlacementPush) -> PlacementAck {
        let model = &push.row.model;
        let held = push
            .row
            .slots
            .iter()
            .any(|slot| slot.vm == self.daemon.vm && slot.state == SlotState::Held);
        if held {
            self.slots.insert(model.clone(), push.row_version);
        } else {
            self.slots.remove(model);
        }
        PlacementAck {
            model: model.clone(),
            row_version: push.row_version,
            held,
            released: !self.replicas.contains_key(model),
        }
    }

    fn load(&self) -> EndpointLoad {
        let slots = self
            .engine
            .as_ref()
            .map_or(self.settings.service_concurrent_max, |engine| {
                engine.batch_slots
            });
        EndpointLoad {
            running: self.running,
            queued: 0,
            service_time_ms: 0,
            slots,
        }
    }

    fn status(&self) -> AgentStatus {
        let replicas = self.replicas.values().map(|replica| ReplicaStatus {
            model: replica.completion.model.clone(),
            version: replica.completion.version.clone(),
            state: replica.state,
            adapters: Vec::new(),
            idle_ms: 0,
        });
        AgentStatus {
            vm: self.daemon.vm.clone(),
            zone: self.daemon.zone.clone(),
            group: self.daemon.group.clone(),
            incarnation: self.incarnation,
            revision: 0,
            leaving: false,
            endpoint_up: self.engine.is_some()
                || matches!(self.borders.endpoint, Endpoint::Service(_)),
            memory_total_bytes: self
                .engine
                .as_ref()
                .map_or(0, |engine| engine.memory_total_bytes),
            memory_reserved_bytes: self
                .replicas
                .values()
                .map(|replica| replica.completion.model_memory_bytes)
                .sum(),
            replicas: replicas.collect(),
            cached_memory: Vec::new(),
            cached_disk: Vec::new(),
            slots: self
                .slots
                .iter()
                .map(|(model, version)| (model.clone(), *version))
                .collect(),
            load: self.load(),
        }
    }
}
