//! Handling of the engine's status.
//!
//! Each status shows whether the engine is up and whether it restarted. It
//! advances the fence, which decides when the agent may send orders, and is
//! reconciled with the agent's record of loaded replicas.

use std::sync::Arc;

use chicorystage_api::peer::AttemptRef;
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_borders::engine::{EngineReplica, EngineReplicaState, EngineStatus};
use chicorystage_core::fence::{FenceStatus, FenceStep};
use chicorystage_core::replicas::{ObservedAdapter, ObservedReplica, ObservedState, ReplicaKey};

use crate::agent::borders::Endpoint;
use crate::agent::main_loop::AgentLoop;
use crate::agent::order_task;
use crate::timer::unix_ms;

impl AgentLoop {
    /// Applies a status of the engine; `requested_ms` is the clock reading at its request.
    ///
    /// A status requested before the newest handled one is ignored. `None` marks the
    /// engine as down.
    pub(super) fn on_engine_status(&mut self, begun_ms: u64, status: Option<EngineStatus>) {
        if begun_ms < self.engine_status_ms {
            return;
        }
        self.engine_status_ms = begun_ms.max(1);
        let Some(status) = status else {
            if std::mem::replace(&mut self.endpoint_up, false) {
                log::warn!(event = "engine_down"; "the engine does not answer");
            }
            return;
        };
        if !std::mem::replace(&mut self.endpoint_up, true) {
            log::info!(event = "engine_up", engine_run = status.engine_run; "the engine answers");
        }
        let run_before = self.engine_status.as_ref().map(|engine| engine.engine_run);
        if run_before.is_some_and(|run| run != status.engine_run) {
            self.on_engine_restart(status.engine_run);
        }
        let step = self.fence.on_status(&FenceStatus {
            engine_run: status.engine_run,
            fence_highest: status.fence_highest,
            fence_enforced: status.fence_enforced,
            order_in_flight_max_ms: status.order_in_flight_max_ms,
            requested_ms: begun_ms,
            unix_ms: unix_ms(),
        });
        let seen: Vec<ObservedReplica> = status.replicas.iter().map(observed).collect();
        self.replicas.reconcile(
            status.memory_total_bytes,
            &seen,
            begun_ms,
            status.order_in_flight_max_ms,
        );
        self.engine_status = Some(status);
        self.apply_fence_step(step);
        self.dispatch_due = true;
    }

    /// Raises the engine's fence, starts to drain or waits, as the fence requires.
    fn apply_fence_step(&mut self, step: FenceStep) {
        match step {
            FenceStep::Raise(fence) => {
                let Endpoint::Engine(engine) = &self.borders.endpoint else {
                    return;
                };
                let (engine, handle) = (Arc::clone(engine), self.handle.clone());
                tokio::spawn(order_task::raise_fence(engine, handle, self.clock, fence));
            }
            FenceStep::Superseded => self.begin_drain("a later agent gives this engine orders"),
            FenceStep::Wait | FenceStep::Open(_) => {}
        }
    }

    /// Refuses all completions that ran on the engine before its restart.
    fn on_engine_restart(&mut self, engine_run: u64) {
        log::warn!(event = "engine_restarted", engine_run; "the engine restarted");
        let lost = self.running.iter();
        let lost = lost.filter(|(_, running)| running.stream.is_some());
        let lost: Vec<AttemptRef> = lost.map(|(attempt, _)| attempt.clone()).collect();
        for attempt in lost {
            let detail = "the engine restarted while it ran the request";
            self.refuse(
                &attempt,
                Refusal::may_have_run(RefusalCode::EndpointLost, detail),
            );
        }
    }
}

fn observed(replica: &EngineReplica) -> ObservedReplica {
    let adapters = replica
        .adapters
        .iter()
        .map(|(name, memory_bytes)| ObservedAdapter {
            name: name.clone(),
            memory_bytes: *memory_bytes,
        });
    ObservedReplica {
        key: ReplicaKey::new(&replica.model, &replica.version),
        state: match replica.state {
            EngineReplicaState::Loading => ObservedState::Loading,
            EngineReplicaState::Loaded => ObservedState::Loaded,
            EngineReplicaState::Unloading => ObservedState::Unloading,
        },
        memory_bytes: replica.memory_bytes,
        adapters: adapters.collect(),
    }
}
