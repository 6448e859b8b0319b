use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::Instant;

/// The emulated model engine of an endpoint: its loaded models and the load in progress.
///
/// A lease holder sends it load and unload commands, which are called orders.
#[derive(Debug)]
pub struct EndpointEngine {
    /// Loaded models, each with its loaded adapters.
    pub loaded: BTreeMap<String, BTreeSet<String>>,
    /// Number of accepted orders that changed what is loaded.
    pub sequence: u64,
    /// Highest fencing token received; orders with a lower one are refused.
    pub fence_highest: u64,
    /// All orders in order of arrival, accepted or not.
    pub received_orders: Vec<Value>,
    load_ms: u64,
    loading: Option<(String, Instant)>,
}

impl EndpointEngine {
    /// Creates an engine with loaded models; further models take `load_ms` to load.
    #[must_use]
    pub fn new(models: &[&str], load_ms: u64) -> Self {
        let loaded = models
            .iter()
            .map(|model| ((*model).to_owned(), BTreeSet::new()));
        Self {
            loaded: loaded.collect(),
            sequence: 0,
            fence_highest: 0,
            received_orders: Vec::new(),
            load_ms,
            loading: None,
        }
    }

    /// Returns whether a model (`model`) or an adapter (`model/adapter`) is loaded.
    pub fn has_loaded(&mut self, model: &str) -> bool {
        self.complete_due_load();
        match model.split_once('/') {
            Some((model, adapter)) => self
                .loaded
                .get(model)
                .is_some_and(|adapters| adapters.contains(adapter)),
            None => self.loaded.contains_key(model),
        }
    }

    /// Returns the load report of the engine as JSON.
    pub(super) fn report(&mut self) -> Value {
        self.complete_due_load();
        let models: Vec<Value> = self
            .loaded
            .iter()
            .map(|(model, adapters)| json!({"name": model, "version": 1, "adapters": adapters}))
            .collect();
        json!({
            "stage": "colocated", "models": models, "busy": self.loading.is_some(),
            "seq": self.sequence, "queued": 0, "active": 0, "kv_used": 0, "kv_total": 90_000,
            "coming": [], "at_hand": {"in_memory": [], "on_disk": ["m0", "m1", "m2", "m3"]},
        })
    }

    /// Processes an order and returns the HTTP status of the response.
    ///
    /// 412: the fencing token is too old. 409: a load is in progress, or the
    /// expected sequence number differs. 421: the adapter's model isn't loaded.
    /// 202: the order was accepted. 200: it changes nothing, or removed an adapter.
    pub(super) fn handle_order(&mut self, order: Value) -> u16 {
        self.complete_due_load();
        let text = |name: &str| order[name].as_str().unwrap_or_default().to_owned();
        let (operation, model, adapter) = (text("operation"), text("model"), text("adapter"));
        let fence = order["fence"].as_u64().unwrap_or(0);
        let expected = order["expect_rev"].as_u64();
        self.received_orders.push(order);
        if fence < self.fence_highest {
            return 412;
        }
        self.fence_highest = fence;
        if self.loading.is_some() || expected.is_some_and(|expected| expected != self.sequence) {
            return 409;
        }
        let is_load = operation == "load";
        if !adapter.is_empty() {
            let Some(adapters) = self.loaded.get_mut(&model) else {
                return 421;
            };
            let changed = if is_load {
                adapters.insert(adapter)
            } else {
                adapters.remove(&adapter)
            };
            self.sequence += u64::from(changed);
            return if is_load && changed { 202 } else { 200 };
        }
        if is_load == self.loaded.contains_key(&model) {
            return 200;
        }
        self.sequence += 1;
        if is_load {
            let done = Instant::now() + Duration::from_millis(self.load_ms);
            self.loading = Some((model, done));
        } else {
            self.loaded.remove(&model);
        }
        202
    }

    /// Ends the load in progress once its load time has passed.
    fn complete_due_load(&mut self) {
        let is_done = |(_, done): &mut (String, Instant)| Instant::now() >= *done;
        if let Some((model, _)) = self.loading.take_if(is_done) {
            self.loaded.insert(model, BTreeSet::new());
        }
    }
}
