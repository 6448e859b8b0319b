use std::collections::{BTreeMap, BTreeSet, VecDeque};

use chicorystage_api::name::{AdapterName, ModelName};
use chicorystage_core::fleet::LoadedModel;
use chicorystage_core::orders::{EngineReport, Order, OrderKind, OrderReply};

use super::{ADAPTER_MB, ADAPTERS_MAX, DISK_LOAD_MS, MEMORY_MB, MODEL_MB, REPORT_LAG_MS};

/// A simulated engine: loaded models, copies on disk and at most one load or unload at a time.
#[derive(Debug, Default)]
pub struct Engine {
    pub started_ms: u64,
    pub sequence: u64,
    pub loaded: BTreeMap<ModelName, BTreeSet<AdapterName>>,
    pub on_disk: BTreeSet<ModelName>,
    pub busy: Option<(Order, u64)>,
    /// Adapters that requests use, with the time at which the last of these ends.
    pub in_use_until_ms: BTreeMap<(ModelName, AdapterName), u64>,
    /// Adapters that are unloaded once no request uses them.
    pub draining: BTreeSet<(ModelName, AdapterName)>,
    /// Whether the unload of a used adapter counts as accepted only once it has ended.
    pub counts_unloads_at_their_end: bool,
    /// Highest epoch of an order since the engine's start.
    pub epoch_highest: u64,
    /// Whether orders of a lower epoch than the highest are carried out.
    pub ignores_epochs: bool,
    /// Recent states with their times; a delayed report shows one of them.
    pub history: VecDeque<(u64, EngineReport)>,
    pub store_loads_ms: Vec<u64>,
    pub store_load_ms: u64,
}

impl Engine {
    pub fn memory_mb(&self) -> f64 {
        let adapters: usize = self.loaded.values().map(BTreeSet::len).sum();
        let adapters = u32::try_from(adapters).expect("a small number");
        let models = u32::try_from(self.loaded.len()).expect("a small number");
        f64::from(models) * MODEL_MB + f64::from(adapters) * ADAPTER_MB
    }

    pub fn adapters(&self) -> usize {
        self.loaded.values().map(BTreeSet::len).sum()
    }

    /// Completes an order that is due and records the state for later reports.
    pub fn advance(&mut self, now_ms: u64) {
        if let Some((order, done_ms)) = self.busy.clone()
            && now_ms >= done_ms
        {
            self.busy = None;
            match order.kind {
                OrderKind::Load => {
                    self.on_disk.insert(order.model.clone());
                    self.loaded.insert(order.model, BTreeSet::new());
                }
                _ => {
                    self.loaded.remove(&order.model);
                }
            }
        }
        self.in_use_until_ms
            .retain(|_, until_ms| *until_ms > now_ms);
        let in_use = &self.in_use_until_ms;
        let unused = self
            .draining
            .extract_if(.., |adapter| !in_use.contains_key(adapter));
        for (model, adapter) in unused {
            if let Some(adapters) = self.loaded.get_mut(&model) {
                adapters.remove(&adapter);
            }
            if self.counts_unloads_at_their_end {
                self.sequence += 1;
            }
        }
        self.history.push_back((now_ms, self.report()));
        while self.history.len() > 30 {
            self.history.pop_front();
        }
    }

    pub fn report(&self) -> EngineReport {
        let models = self.loaded.iter().map(|(model, adapters)| LoadedModel {
            model: model.clone(),
            adapters: adapters.iter().cloned().collect(),
        });
        EngineReport {
            is_busy: self.busy.is_some(),
            sequence: self.sequence,
            models: models.collect(),
            in_memory: Vec::new(),
            on_disk: self.on_disk.iter().cloned().collect(),
            running: 0,
            queued: 0,
        }
    }

    pub fn lagging_report(&self, now_ms: u64) -> EngineReport {
        let seen = self.history.iter().rev();
        let mut seen = seen.filter(|(at_ms, _)| at_ms + REPORT_LAG_MS <= now_ms);
        seen.next()
            .map_or_else(|| self.report(), |(_, report)| report.clone())
    }

    /// Executes an order unless one of a higher epoch was received since the engine's start.
    pub fn receive(&mut self, now_ms: u64, epoch: u64, order: &Order) -> OrderReply {
        if epoch < self.epoch_highest && !self.ignores_epochs {
            return OrderReply::Fenced;
        }
        self.epoch_highest = epoch;
        self.execute(now_ms, order)
    }

    /// Executes an order and returns its reply; panics if a load would overcommit the engine.
    pub fn execute(&mut self, now_ms: u64, order: &Order) -> OrderReply {
        let is_in_progress = self
            .busy
            .as_ref()
            .is_some_and(|(busy, _)| busy.kind == order.kind && busy.model == order.model);
        if is_in_progress && order.kind == OrderKind::Unload {
            return OrderReply::Accepted;
        }
        if self.busy.is_some() || self.sequence != order.expected_sequence {
            return OrderReply::Conflict;
        }
        match &order.kind {
            OrderKind::Load if self.loaded.contains_key(&order.model) => return OrderReply::Holds,
            OrderKind::Load => {
                let full = self.memory_mb() + MODEL_MB > MEMORY_MB;
                assert!(!full, "{} overcommitted by {order:?}", order.endpoint);
                let from_disk = self.on_disk.contains(&order.model);
                let load_ms = if from_disk {
                    DISK_LOAD_MS
                } else {
                    self.store_load_ms
                };
                if !from_disk {
                    self.store_loads_ms.push(now_ms);
                }
                self.busy = Some((order.clone(), now_ms + load_ms));
            }
            OrderKind::Unload if !self.loaded.contains_key(&order.model) => {
                return OrderReply::Holds;
            }
            OrderKind::Unload => self.busy = Some((order.clone(), now_ms + 60)),
            OrderKind::LoadAdapter(adapter) => {
                let count = self.adapters();
                let full = count >= ADAPTERS_MAX || self.memory_mb() + ADAPTER_MB > MEMORY_MB;
                let Some(adapters) = self.loaded.get_mut(&order.model) else {
                    return OrderReply::Rejected;
                };
                if adapters.contains(adapter) {
                    return OrderReply::Holds;
                }
                assert!(!full, "{} has too many adapters", order.endpoint);
                adapters.insert(adapter.clone());
            }
            OrderKind::UnloadAdapter(adapter) => {
                let Some(adapters) = self.loaded.get_mut(&order.model) else {
                    return OrderReply::Rejected;
                };
                let adapter = (order.model.clone(), adapter.clone());
                if !self.in_use_until_ms.contains_key(&adapter) {
                    adapters.remove(&adapter.1);
                    self.sequence += 1;
                    return OrderReply::Holds;
                }
                self.draining.insert(adapter);
                if self.counts_unloads_at_their_end {
                    return OrderReply::Accepted;
                }
            }
        }
        self.sequence += 1;
        OrderReply::Accepted
    }
}
