use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use chicorystage_api::name::{ModelName, VersionName};
use chicorystage_borders::engine::{
    CacheTier, EngineReplica, EngineReplicaState, Order, OrderKind,
};
use chicorystage_borders::{BorderError, BorderErrorKind};
use tokio::time::Instant;

use crate::fakes::engine::batch::Batch;
use crate::fakes::engine::delayed_reports::DelayedReports;
use crate::fakes::engine::stream::StreamEntry;
use crate::fakes::{EngineFault, FakeEngineConfig, ReplicaLedger};

/// Number of streams that are kept for resumption; the oldest is removed first.
const STREAMS_MAX: usize = 1_024;

/// Mutable state of a fake engine, shared by its clones and tasks.
#[derive(Debug)]
pub(super) struct EngineState {
    pub(super) engine_run: u64,
    pub(super) fence_highest: u64,
    pub(super) replicas: Vec<EngineReplica>,
    pub(super) cached: HashMap<(ModelName, VersionName), CacheTier>,
    pub(super) loads: BTreeMap<ModelName, u32>,
    pub(super) batch: Batch,
    pub(super) streams: HashMap<Arc<str>, StreamEntry>,
    pub(super) faults: Vec<EngineFault>,
    pub(super) memory_highest_bytes: u64,
    pub(super) overcommits: u32,
    pub(super) double_loads: u32,
    pub(super) fenced_orders: u32,
    pub(super) completions: u64,
    stream_order: VecDeque<Arc<str>>,
    up_at: Instant,
    pub(super) reports: DelayedReports,
}

impl EngineState {
    pub(super) fn new(config: &FakeEngineConfig) -> Self {
        Self {
            engine_run: 1,
            fence_highest: 0,
            replicas: Vec::new(),
            cached: HashMap::new(),
            loads: BTreeMap::new(),
            batch: Batch::new(config.batch_slots),
            streams: HashMap::new(),
            faults: Vec::new(),
            memory_highest_bytes: 0,
            overcommits: 0,
            double_loads: 0,
            fenced_orders: 0,
            completions: 0,
            stream_order: VecDeque::new(),
            up_at: Instant::now(),
            reports: DelayedReports::default(),
        }
    }

    /// Fails as not delivered while the engine is down after a crash.
    pub(super) fn check_up(&self) -> Result<(), BorderError> {
        if Instant::now() < self.up_at {
            return Err(BorderError::new(
                BorderErrorKind::NotDelivered,
                "engine is down",
            ));
        }
        Ok(())
    }

    /// Crashes the engine: clears memory, streams and the fencing token, and starts a new run.
    pub(super) fn crash(&mut self, config: &FakeEngineConfig, ledger: &ReplicaLedger) {
        for replica in self.replicas.drain(..) {
            ledger.record_removed(&replica.model);
        }
        self.engine_run += 1;
        self.fence_highest = 0;
        self.streams.clear();
        self.stream_order.clear();
        self.batch = Batch::new(config.batch_slots);
        self.up_at = Instant::now() + Duration::from_millis(config.restart_ms);
    }

    /// Removes the first pending fault that matches and returns its value.
    pub(super) fn take_fault<T>(
        &mut self,
        matcher: impl Fn(&EngineFault) -> Option<T>,
    ) -> Option<T> {
        let (i, found) = self
            .faults
            .iter()
            .enumerate()
            .find_map(|(i, fault)| Some((i, matcher(fault)?)))?;
        self.faults.remove(i);
        Some(found)
    }

    /// Records the current load for delayed load reports.
    pub(super) fn record_load(&mut self) {
        self.reports.record_load(&self.batch);
    }

    /// Returns whether the response to the next order is lost, and counts the fault down.
    pub(super) fn take_lost_answer(&mut self) -> bool {
        let left = self.take_fault(|fault| match fault {
            EngineFault::LostOrderAnswers { orders } => Some(*orders),
            _ => None,
        });
        let Some(orders) = left.filter(|orders| *orders > 0) else {
            return false;
        };
        self.faults
            .push(EngineFault::LostOrderAnswers { orders: orders - 1 });
        true
    }

    pub(super) fn replica(&mut self, model: &ModelName) -> Option<&mut EngineReplica> {
        self.replicas
            .iter_mut()
            .find(|replica| replica.model == *model)
    }

    pub(super) fn used_bytes(&self) -> u64 {
        let adapters = self.replicas.iter().flat_map(|replica| &replica.adapters);
        let adapter_bytes: u64 = adapters.map(|(_, bytes)| bytes).sum();
        let replica_bytes: u64 = self
            .replicas
            .iter()
            .map(|replica| replica.memory_bytes)
            .sum();
        replica_bytes + adapter_bytes
    }

    pub(super) fn add_stream(&mut self, id: Arc<str>, entry: StreamEntry) {
        self.streams.insert(Arc::clone(&id), entry);
        self.stream_order.push_back(id);
        if self.stream_order.len() > STREAMS_MAX
            && let Some(oldest) = self.stream_order.pop_front()
        {
            self.streams.remove(&oldest);
        }
    }

    /// Validates an order and reserves the memory that it needs.
    ///
    /// An adapter counts as loaded from here on; a model only once
    /// [`finish_order`](Self::finish_order) has run.
    ///
    /// # Errors
    ///
    /// Fails as not delivered if the engine is down. Rejects an outdated fencing
    /// token, a load of a model that is present, an adapter of a model that is not,
    /// and a load for which memory is missing.
    pub(super) fn begin_order(
        &mut self,
        config: &FakeEngineConfig,
        ledger: &ReplicaLedger,
        order: &Order,
    ) -> Result<(), BorderError> {
        self.check_up()?;
        if config.fence_enforced && order.fence < self.fence_highest {
            self.fenced_orders += 1;
            return Err(rejected("fencing token is outdated"));
        }
        self.fence_highest = self.fence_highest.max(order.fence);
        match &order.kind {
            OrderKind::Load {
                model,
                version,
                memory_bytes,
            } => {
                if self.replica(model).is_some() {
                    self.double_loads += 1;
                    return Err(rejected("model is loaded or loading"));
                }
                self.reserve(config, *memory_bytes)?;
                self.replicas.push(EngineReplica {
                    model: model.clone(),
                    version: version.clone(),
                    state: EngineReplicaState::Loading,
                    memory_bytes: *memory_bytes,
                    adapters: Vec::new(),
                });
                *self.loads.entry(model.clone()).or_default() += 1;
                ledger.record_added(model);
            }
            OrderKind::LoadAdapter {
                model,
                adapter,
                memory_bytes,
            } => {
                let Some(replica) = self.replica(model) else {
                    return Err(rejected("model is not loaded"));
                };
                if replica.adapters.iter().any(|(name, _)| name == adapter) {
                    return Ok(());
                }
                self.reserve(config, *memory_bytes)?;
                if let Some(replica) = self.replica(model) {
                    replica.adapters.push((adapter.clone(), *memory_bytes));
                }
            }
            OrderKind::Unload { model, .. } => {
                if let Some(replica) = self.replica(model) {
                    replica.state = EngineReplicaState::Unloading;
                }
            }
            OrderKind::Fence | OrderKind::UnloadAdapter { .. } => {}
        }
        self.memory_highest_bytes = self.memory_highest_bytes.max(self.used_bytes());
        Ok(())
    }

    /// Completes an order after its duration has passed.
    pub(super) fn finish_order(
        &mut self,
        ledger: &ReplicaLedger,
        kind: OrderKind,
    ) -> Result<(), BorderError> {
        match kind {
            OrderKind::Load { model, version, .. } => {
                let replica = self
                    .replica(&model)
                    .ok_or_else(|| rejected("load was abandoned"))?;
                replica.state = EngineReplicaState::Loaded;
                self.cached.insert((model, version), CacheTier::Memory);
            }
            OrderKind::Unload { model, .. } => {
                let before = self.replicas.len();
                self.replicas.retain(|replica| replica.model != model);
                if self.replicas.len() < before {
                    ledger.record_removed(&model);
                }
            }
            OrderKind::Fence | OrderKind::LoadAdapter { .. } => {}
            OrderKind::UnloadAdapter { model, adapter } => {
                if let Some(replica) = self.replica(&model) {
                    replica.adapters.retain(|(name, _)| *name != adapter);
                }
            }
        }
        Ok(())
    }

    fn reserve(&mut self, config: &FakeEngineConfig, memory_bytes: u64) -> Result<(), BorderError> {
        if self.used_bytes() + memory_bytes > config.memory_total_bytes {
            self.overcommits += 1;
            return Err(rejected("not enough memory"));
        }
        Ok(())
    }
}

pub(super) fn rejected(detail: &str) -> BorderError {
    BorderError::new(BorderErrorKind::Rejected, detail)
}
