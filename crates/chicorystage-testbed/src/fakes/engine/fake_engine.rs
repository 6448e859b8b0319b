use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use chicorystage_borders::engine::{
    CacheEvent, CacheTier, CachedWeights, CompletionStart, Engine, EngineStatus, EngineStream,
    LoadReport, Order, OrderKind,
};
use chicorystage_borders::{BorderError, BorderErrorKind, BoxFuture};
use tokio::time::sleep;

use crate::fakes::engine::state::{EngineState, rejected};
use crate::fakes::engine::stream::StreamEntry;
use crate::fakes::weight_store::{FakeWeightStore, FetchKind, WeightStore};
use crate::fakes::{EngineFault, EngineReport, FakeEngineConfig, ReplicaLedger};

/// An in-memory model engine with injectable faults.
///
/// Orders and completions continue if their client disconnects. Clones share one
/// engine.
#[derive(Clone)]
pub struct FakeEngine {
    pub(super) config: Arc<FakeEngineConfig>,
    weights: Arc<dyn WeightStore>,
    ledger: Arc<ReplicaLedger>,
    state: Arc<Mutex<EngineState>>,
}

impl fmt::Debug for FakeEngine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FakeEngine")
            .field("config", &self.config)
            .finish_non_exhaustive()
    }
}

impl FakeEngine {
    /// Creates an engine without loaded models and with its own weight store and ledger.
    #[must_use]
    pub fn new(config: FakeEngineConfig) -> Self {
        Self::with_shared(config, Arc::new(FakeWeightStore::new()), Arc::default())
    }

    /// Creates an engine without loaded models that shares a weight store and a ledger.
    #[must_use]
    pub fn with_shared(
        config: FakeEngineConfig,
        weights: Arc<dyn WeightStore>,
        ledger: Arc<ReplicaLedger>,
    ) -> Self {
        let state = EngineState::new(&config);
        Self {
            config: Arc::new(config),
            weights,
            ledger,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Applies a fault now, or at the next event to which it applies.
    pub fn inject(&self, fault: EngineFault) {
        let mut state = self.lock();
        match fault {
            EngineFault::Crash => state.crash(&self.config, &self.ledger),
            EngineFault::CutStreams => state.streams.values().for_each(StreamEntry::cut_readers),
            EngineFault::ForgetStreams => state.streams.clear(),
            EngineFault::Clear => state.faults.clear(),
            fault => state.faults.push(fault),
        }
    }

    /// Sets the cache tier of a model's weights, which determines the load time.
    pub fn set_cached(&self, model: &str, version: &str, tier: CacheTier) {
        let weights = (model.into(), version.into());
        self.lock().cached.insert(weights, tier);
    }

    /// Returns the counters and the replica history of the engine.
    #[must_use]
    pub fn report(&self) -> EngineReport {
        let state = self.lock();
        EngineReport {
            engine_run: state.engine_run,
            memory_total_bytes: self.config.memory_total_bytes,
            memory_highest_bytes: state.memory_highest_bytes,
            overcommits: state.overcommits,
            double_loads: state.double_loads,
            fenced_orders: state.fenced_orders,
            completions: state.completions,
            loads: state.loads.clone(),
            replicas: self.ledger.events(),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Executes an order for as long as it takes; fails if the engine crashes meanwhile.
    async fn execute_order(self, order: Order) -> Result<(), BorderError> {
        let begun = self.begin_order(&order);
        let (engine_run, crash) = begun?;
        let duration_ms = self.fixed_duration_ms(&order.kind);
        if crash {
            sleep(Duration::from_millis(self.config.load_remote_ms / 2)).await;
            self.inject(EngineFault::Crash);
            return Err(outcome_unknown("engine crashed while loading"));
        }
        match (&order.kind, duration_ms) {
            (OrderKind::Load { .. }, None) => {
                let remote_ms = self.config.load_remote_ms;
                self.weights.fetch(FetchKind::Model, remote_ms).await;
            }
            (OrderKind::LoadAdapter { .. }, None) => {
                let adapter_ms = self.config.load_adapter_ms;
                self.weights.fetch(FetchKind::Adapter, adapter_ms).await;
            }
            (_, duration_ms) => {
                sleep(Duration::from_millis(duration_ms.unwrap_or(0))).await;
            }
        }
        let mut state = self.lock();
        if state.engine_run != engine_run {
            return Err(outcome_unknown("engine crashed"));
        }
        state.finish_order(&self.ledger, order.kind)
    }

    /// Starts an order; returns the engine run and whether the engine crashes during the load.
    fn begin_order(&self, order: &Order) -> Result<(u64, bool), BorderError> {
        let mut state = self.lock();
        state.begin_order(&self.config, &self.ledger, order)?;
        let is_load = matches!(order.kind, OrderKind::Load { .. });
        let crash = is_load
            && state
                .take_fault(|fault| (*fault == EngineFault::CrashMidLoad).then_some(()))
                .is_some();
        Ok((state.engine_run, crash))
    }

    /// Returns the duration of an order, or `None` if it depends on the weight store.
    fn fixed_duration_ms(&self, kind: &OrderKind) -> Option<u64> {
        match kind {
            OrderKind::Load { model, version, .. } => {
                let weights = (model.clone(), version.clone());
                match self.lock().cached.get(&weights) {
                    Some(CacheTier::Memory) => Some(self.config.load_memory_ms),
                    Some(CacheTier::Disk) => Some(self.config.load_disk_ms),
                    Some(CacheTier::Remote) | None => None,
                }
            }
            OrderKind::LoadAdapter { .. } => None,
            OrderKind::Unload { .. } => Some(self.config.unload_ms),
            OrderKind::Fence | OrderKind::UnloadAdapter { .. } => Some(0),
        }
    }

    fn read_status(&self) -> Result<EngineStatus, BorderError> {
        let state = self.lock();
        state.check_up()?;
        let cached = state
            .cached
            .iter()
            .map(|((model, version), tier)| CachedWeights {
                model: model.clone(),
                version: version.clone(),
                tier: *tier,
            });
        let fence_enforced = self.config.fence_enforced;
        Ok(EngineStatus {
            engine_run: state.engine_run,
            fence_highest: if fence_enforced {
                state.fence_highest
            } else {
                0
            },
            fence_enforced,
            memory_total_bytes: self.config.memory_total_bytes,
            memory_used_bytes: state.used_bytes(),
            order_in_flight_max_ms: self.config.order_in_flight_max_ms,
            batch_slots: self.config.batch_slots,
            replicas: state.replicas.clone(),
            cached: cached.collect(),
        })
    }
}

impl Engine for FakeEngine {
    fn status(&self) -> BoxFuture<'_, Result<EngineStatus, BorderError>> {
        Box::pin(async move { self.read_status() })
    }

    fn order(&self, order: Order) -> BoxFuture<'_, Result<(), BorderError>> {
        let late_ms = self.lock().take_fault(|fault| match fault {
            EngineFault::LateOrder { delay_ms } => Some(*delay_ms),
            _ => None,
        });
        let answer_lost = self.lock().take_lost_answer();
        let engine = self.clone();
        let execution = tokio::spawn(async move {
            if let Some(late_ms) = late_ms {
                sleep(Duration::from_millis(late_ms)).await;
            }
            engine.execute_order(order).await
        });
        Box::pin(async move {
            if late_ms.is_some() {
                return Err(outcome_unknown("no answer to the order"));
            }
            let result = execution
                .await
                .unwrap_or_else(|_| Err(outcome_unknown("task of the order ended")));
            if answer_lost {
                return Err(outcome_unknown("no answer to the order"));
            }
            result
        })
    }

    fn start(&self, start: CompletionStart) -> BoxFuture<'_, Result<EngineStream, BorderError>> {
        Box::pin(async move { self.begin_stream(start) })
    }

    fn resume<'a>(
        &'a self,
        stream_id: &'a str,
        offset_tokens: u64,
    ) -> BoxFuture<'a, Result<EngineStream, BorderError>> {
        Box::pin(async move {
            let state = self.lock();
            state.check_up()?;
            let entry = state
                .streams
                .get(stream_id)
                .ok_or_else(|| rejected("unknown stream"))?;
            Ok(entry.read(offset_tokens))
        })
    }

    fn cancel<'a>(&'a self, stream_id: &'a str) -> BoxFuture<'a, Result<(), BorderError>> {
        Box::pin(async move {
            self.lock().streams.remove(stream_id);
            Ok(())
        })
    }

    fn load_report(&self) -> BoxFuture<'_, Result<LoadReport, BorderError>> {
        Box::pin(async move {
            let state = self.lock();
            state.check_up()?;
            Ok(state.reports.load_with_lag(self.config.report_lag_ms))
        })
    }

    fn cache_events(
        &self,
        after_sequence: u64,
    ) -> BoxFuture<'_, Result<Vec<CacheEvent>, BorderError>> {
        Box::pin(async move {
            let state = self.lock();
            state.check_up()?;
            Ok(state
                .reports
                .events_with_lag(after_sequence, self.config.report_lag_ms))
        })
    }
}

fn outcome_unknown(detail: &str) -> BorderError {
    BorderError::new(BorderErrorKind::Unknown, detail)
}
