use std::collections::HashMap;

use chicorystage_api::name::{ModelName, VmId};

use crate::orders::{AdapterRef, ModelDemand, WaitQueueReport};

/// Tracks the demand for models and adapters over all routers.
#[derive(Clone, Debug, Default)]
pub struct DemandTracker {
    models: HashMap<ModelName, ModelDemand>,
    adapters_requested_ms: HashMap<AdapterRef, u64>,
    wait_queues: HashMap<VmId, WaitQueueReport>,
    /// Time since which requests have waited for a model continuously, in milliseconds.
    waiting_since_ms: HashMap<ModelName, u64>,
}

impl DemandTracker {
    /// Records `count` requests for a model with a latency objective in milliseconds.
    pub fn record_requests(
        &mut self,
        now_ms: u64,
        model: &ModelName,
        count: u32,
        objective_ms: u64,
    ) {
        let demand = self.models.entry(model.clone()).or_default();
        demand.record(now_ms, count, objective_ms);
    }

    /// Records a request for an adapter.
    pub fn record_adapter_request(&mut self, now_ms: u64, adapter: &AdapterRef) {
        self.adapters_requested_ms.insert(adapter.clone(), now_ms);
    }

    /// Replaces a router's counts of requests that wait for a model or an adapter.
    pub fn update_waiting(&mut self, now_ms: u64, router: VmId, report: WaitQueueReport) {
        for model in report.models.keys() {
            self.waiting_since_ms.entry(model.clone()).or_insert(now_ms);
        }
        self.wait_queues.insert(router, report);
        let mut since_ms = std::mem::take(&mut self.waiting_since_ms);
        since_ms.retain(|model, _| self.waiting_for(now_ms, model) > 0);
        self.waiting_since_ms = since_ms;
    }

    /// Returns for how long requests have waited for a model without a break, in milliseconds.
    ///
    /// Returns 0 if none waited at the last update of any router's wait queue.
    #[must_use]
    pub fn waited_ms(&self, now_ms: u64, model: &ModelName) -> u64 {
        let since_ms = self.waiting_since_ms.get(model);
        since_ms.map_or(0, |since_ms| now_ms.saturating_sub(*since_ms))
    }

    /// Returns the demand for a model; an unrequested model has the default demand.
    #[must_use]
    pub fn model(&self, model: &ModelName) -> ModelDemand {
        self.models.get(model).copied().unwrap_or_default()
    }

    /// Returns the number of requests over all routers that wait for a model to be loaded.
    #[must_use]
    pub fn waiting_for(&self, now_ms: u64, model: &ModelName) -> u32 {
        let recent = self.recent(now_ms);
        recent.filter_map(|waiting| waiting.models.get(model)).sum()
    }

    /// Returns the requests that wait for each model at all routers, or all but `except`.
    #[must_use]
    pub fn waiting_models(&self, now_ms: u64, except: Option<&VmId>) -> HashMap<ModelName, u32> {
        let queues = self
            .wait_queues
            .iter()
            .filter(|(router, waiting)| now_ms < waiting.valid_until_ms && Some(*router) != except);
        let mut counts = HashMap::new();
        for (model, count) in queues.flat_map(|(_, waiting)| &waiting.models) {
            *counts.entry(model.clone()).or_default() += count;
        }
        counts
    }

    /// Returns the adapters that requests wait for, with the number of requests, highest first.
    #[must_use]
    pub fn waiting_adapters(&self, now_ms: u64) -> Vec<(AdapterRef, u32)> {
        let mut counts: HashMap<AdapterRef, u32> = HashMap::new();
        for waiting in self.recent(now_ms) {
            for (adapter, count) in &waiting.adapters {
                *counts.entry(adapter.clone()).or_default() += count;
            }
        }
        let mut counts: Vec<_> = counts.into_iter().collect();
        counts.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
        counts
    }

    /// Returns the time of the last request for an adapter, in milliseconds; 0 if there was none.
    #[must_use]
    pub fn adapter_requested_ms(&self, adapter: &AdapterRef) -> u64 {
        self.adapters_requested_ms
            .get(adapter)
            .copied()
            .unwrap_or(0)
    }

    fn recent(&self, now_ms: u64) -> impl Iterator<Item = &WaitQueueReport> {
        self.wait_queues
            .values()
            .filter(move |waiting| now_ms < waiting.valid_until_ms)
    }
}
