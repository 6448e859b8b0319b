use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use chicorystage_api::name::{ModelName, VersionName};
use chicorystage_platform::engine::{
    CacheEvent, CacheTier, CachedWeights, CompletionStart, Engine, EngineEvent, EngineReplica,
    EngineReplicaState, EngineStatus, EngineStream, LoadReport, Order, OrderKind,
};
use chicorystage_platform::{BorderError, BorderErrorKind, BoxFuture};
use tokio::sync::mpsc;

/// Sizes and speeds of a [`FakeEngine`].
#[derive(Clone, Debug)]
pub struct FakeEngineConfig {
    /// Accelerator memory, in bytes.
    pub memory_total_bytes: u64,
    /// Completions run at once.
    pub batch_slots: u32,
    /// Whether orders with an old fencing number are refused.
    pub fence_enforced: bool,
    /// Time to load a model from host memory, in milliseconds.
    pub load_memory_ms: u64,
    /// Time to load a model from local disk, in milliseconds.
    pub load_disk_ms: u64,
    /// Time to load a model from the weight store, in milliseconds.
    pub load_remote_ms: u64,
    /// Time to load an adapter, in milliseconds.
    pub load_adapter_ms: u64,
    /// Time to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Time between two tokens, in milliseconds.
    pub token_ms: u64,
}

impl Default for FakeEngineConfig {
    fn default() -> Self {
        Self {
            memory_total_bytes: 80 << 30,
            batch_slots: 16,
            fence_enforced: true,
            load_memory_ms: 50,
            load_disk_ms: 150,
            load_remote_ms: 400,
            load_adapter_ms: 8,
            first_token_ms: 10,
            token_ms: 2,
        }
    }
}

/// A model engine in memory.
#[derive(Debug)]
pub struct FakeEngine {
    config: FakeEngineConfig,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    engine_run: u64,
    fence_highest: u64,
    replicas: Vec<EngineReplica>,
    cached: HashMap<(ModelName, VersionName), CacheTier>,
    loads: HashMap<ModelName, u32>,
    running: u32,
}

impl FakeEngine {
    /// Creates an engine with nothing loaded.
    #[must_use]
    pub fn new(config: FakeEngineConfig) -> Self {
        let state = State {
            engine_run: 1,
            ..State::default()
        };
        Self {
            config,
            state: Mutex::new(state),
        }
    }

    /// Returns how often each model was loaded.
    #[must_use]
    pub fn loads(&self) -> HashMap<ModelName, u32> {
        self.lock().loads.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    fn begin(&self, order: &Order) -> Result<u64, BorderError> {
        let rejected = |detail: &str| BorderError::new(BorderErrorKind::Rejected, detail);
        let mut state = self.lock();
        if self.config.fence_enforced && order.fence < state.fence_highest {
            return Err(rejected("fencing number is too old"));
        }
        state.fence_highest = state.fence_highest.max(order.fence);
        match &order.kind {
            OrderKind::Load {
                model,
                version,
                memory_bytes,
            } => {
                if state.replicas.iter().any(|replica| replica.model == *model) {
                    return Err(rejected("model is loaded or loading"));
                }
                if state.used_bytes() + memory_bytes > self.config.memory_total_bytes {
                    return Err(rejected("not enough memory"));
                }
                state.replicas.push(EngineReplica {
                    model: model.clone(),
                    version: version.clone(),
                    state: EngineReplicaState::Loading,
                    memory_bytes: *memory_bytes,
                    adapters: Vec::new(),
                });
                *state.loads.entry(model.clone()).or_default() += 1;
                let tier = state.cached.get(&(model.clone(), version.clone()));
                Ok(match tier.unwrap_or(&CacheTier::Remote) {
                    CacheTier::Memory => self.config.load_memory_ms,
                    CacheTier::Disk => self.config.load_disk_ms,
                    CacheTier::Remote => self.config.load_remote_ms,
                })
            }
            OrderKind::LoadAdapter { .. } => Ok(self.config.load_adapter_ms),
            OrderKind::Unload { .. } | OrderKind::UnloadAdapter { .. } => Ok(0),
        }
    }

    fn finish(&self, kind: OrderKind) -> Result<(), BorderError> {
        let rejected = |detail: &str| BorderError::new(BorderErrorKind::Rejected, detail);
        let mut state = self.lock();
        match kind {
            OrderKind::Load { model, version, .. } => {
                let replica = state
                    .replica(&model)
                    .ok_or_else(|| rejected("load was given up"))?;
                replica.state = EngineReplicaState::Loaded;
                state.cached.insert((model, version), CacheTier::Memory);
            }
            OrderKind::Unload { model, .. } => {
                state.replicas.retain(|replica| replica.model != model);
            }
            OrderKind::LoadAdapter {
                model,
                adapter,
                memory_bytes,
            } => {
                if state.used_bytes() + memory_bytes > self.config.memory_total_bytes {
                    return Err(rejected("not enough memory"));
                }
                let replica = state
                    .replica(&model)
                    .ok_or_else(|| rejected("model is not loaded"))?;
                if !replica.adapters.iter().any(|(name, _)| *name == adapter) {
                    replica.adapters.push((adapter, memory_bytes));
                }
            }
            OrderKind::UnloadAdapter { model, adapter } => {
                if let Some(replica) = state.replica(&model) {
                    replica.adapters.retain(|(name, _)| *name != adapter);
                }
            }
        }
        Ok(())
    }
}

impl State {
    fn used_bytes(&self) -> u64 {
        let adapters = self
            .replicas
            .iter()
            .flat_map(|replica| &replica.adapters)
            .map(|(_, bytes)| bytes);
        self.replicas
            .iter()
            .map(|replica| replica.memory_bytes)
            .sum::<u64>()
            + adapters.sum::<u64>()
    }

    fn replica(&mut self, model: &ModelName) -> Option<&mut EngineReplica> {
        self.replicas
            .iter_mut()
            .find(|replica| replica.model == *model)
    }
}

impl Engine for FakeEngine {
    fn status(&self) -> BoxFuture<'_, Result<EngineStatus, BorderError>> {
        Box::pin(async move {
            let state = self.lock();
            let cached = state
                .cached
                .iter()
                .map(|((model, version), tier)| CachedWeights {
                    model: model.clone(),
                    version: version.clone(),
                    tier: *tier,
                });
            Ok(EngineStatus {
                engine_run: state.engine_run,
                fence_highest: if self.config.fence_enforced {
                    state.fence_highest
                } else {
                    0
                },
                fence_enforced: self.config.fence_enforced,
                memory_total_bytes: self.config.memory_total_bytes,
                memory_used_bytes: state.used_bytes(),
                order_in_flight_max_ms: self.config.load_remote_ms,
                batch_slots: self.config.batch_slots,
                replicas: state.replicas.clone(),
                cached: cached.collect(),
            })
        })
    }

    fn order(&self, order: Order) -> BoxFuture<'_, Result<(), BorderError>> {
        Box::pin(async move {
            let duration_ms = self.begin(&order)?;
            tokio::time::sleep(Duration::from_millis(duration_ms)).await;
            self.finish(order.kind)
        })
    }

    fn start(&self, start: CompletionStart) -> BoxFuture<'_, Result<EngineStream, BorderError>> {
        Box::pin(async move {
            let loaded = self.lock().replica(&start.model).is_some_and(|replica| {
                replica.state == EngineReplicaState::Loaded && replica.version == start.version
            });
            if !loaded {
                return Err(BorderError::new(
                    BorderErrorKind::Rejected,
                    "model is not loaded",
                ));
            }
            let (sender, receiver) = mpsc::channel(64);
            tokio::spawn(generate(self.config.clone(), start, sender));
            Ok(receiver)
        })
    }

    fn resume<'a>(
        &'a self,
        _stream_id: &'a str,
        _offset_tokens: u64,
    ) -> BoxFuture<'a, Result<EngineStream, BorderError>> {
        Box::pin(async {
            Err(BorderError::new(
                BorderErrorKind::Rejected,
                "unknown stream",
            ))
        })
    }

    fn cancel<'a>(&'a self, _stream_id: &'a str) -> BoxFuture<'a, Result<(), BorderError>> {
        Box::pin(async { Ok(()) })
    }

    fn load_report(&self) -> BoxFuture<'_, Result<LoadReport, BorderError>> {
        Box::pin(async move {
            Ok(LoadReport {
                running: self.lock().running,
                waiting: 0,
                age_ms: 0,
            })
        })
    }

    fn cache_events(
        &self,
        _after_sequence: u64,
    ) -> BoxFuture<'_, Result<Vec<CacheEvent>, BorderError>> {
        Box::pin(async { Ok(Vec::new()) })
    }
}

/// Sends the words of the prompt back, one a token, up to the limit.
async fn generate(
    config: FakeEngineConfig,
    start: CompletionStart,
    sender: mpsc::Sender<EngineEvent>,
) {
    tokio::time::sleep(Duration::from_millis(config.first_token_ms)).await;
    let words = start.prompt.split_whitespace().cycle();
    let mut tokens = 0;
    for (word, offset_tokens) in words.zip(0..u64::from(start.max_tokens)) {
        let event = EngineEvent::Token {
            offset_tokens,
            text: Arc::from(format!("{word} ")),
        };
        if sender.send(event).await.is_err() {
            return;
        }
        tokens += 1;
        tokio::time::sleep(Duration::from_millis(config.token_ms)).await;
    }
    // The reader may have gone.
    let _sent = sender.send(EngineEvent::Done { tokens }).await;
}
