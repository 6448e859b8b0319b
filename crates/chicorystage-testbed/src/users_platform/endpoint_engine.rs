use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::Instant;

/// The model engine of an endpoint: what it holds and which order is under way.
#[derive(Debug)]
pub struct EndpointEngine {
    /// Models with their adapters.
    pub held: BTreeMap<String, BTreeSet<String>>,
    /// Orders accepted.
    pub sequence: u64,
    /// Highest fencing number seen.
    pub fence: u64,
    /// Orders as they came, accepted or not.
    pub orders: Vec<Value>,
    load_ms: u64,
    busy: Option<(String, Instant)>,
}

impl EndpointEngine {
    /// Creates an engine that holds models and loads others in `load_ms`.
    #[must_use]
    pub fn new(models: &[&str], load_ms: u64) -> Self {
        let held = models
            .iter()
            .map(|model| ((*model).to_owned(), BTreeSet::new()));
        Self {
            held: held.collect(),
            sequence: 0,
            fence: 0,
            orders: Vec::new(),
            load_ms,
            busy: None,
        }
    }

    /// Returns whether a model, or an adapter after a slash, is held.
    pub fn holds(&mut self, model: &str) -> bool {
        self.advance();
        match model.split_once('/') {
            Some((model, adapter)) => self
                .held
                .get(model)
                .is_some_and(|adapters| adapters.contains(adapter)),
            None => self.held.contains_key(model),
        }
    }

    pub(super) fn report(&mut self) -> Value {
        self.advance();
        let models: Vec<Value> = self
            .held
            .iter()
            .map(|(model, adapters)| json!({"name": model, "version": 1, "adapters": adapters}))
            .collect();
        json!({
            "stage": "colocated", "models": models, "busy": self.busy.is_some(),
            "seq": self.sequence, "queued": 0, "active": 0, "kv_used": 0, "kv_total": 90_000,
            "coming": [], "at_hand": {"in_memory": [], "on_disk": ["m0", "m1", "m2", "m3"]},
        })
    }

    /// Takes an order and returns the status of the answer.
    pub(super) fn order(&mut self, order: Value) -> u16 {
        self.advance();
        let text = |name: &str| order[name].as_str().unwrap_or_default().to_owned();
        let (operation, model, adapter) = (text("operation"), text("model"), text("adapter"));
        let fence = order["fence"].as_u64().unwrap_or(0);
        let expected = order["expect_rev"].as_u64();
        self.orders.push(order);
        if fence < self.fence {
            return 412;
        }
        self.fence = fence;
        if self.busy.is_some() || expected.is_some_and(|expected| expected != self.sequence) {
            return 409;
        }
        let is_load = operation == "load";
        if !adapter.is_empty() {
            let Some(adapters) = self.held.get_mut(&model) else {
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
        if is_load == self.held.contains_key(&model) {
            return 200;
        }
        self.sequence += 1;
        if is_load {
            let done = Instant::now() + Duration::from_millis(self.load_ms);
            self.busy = Some((model, done));
        } else {
            self.held.remove(&model);
        }
        202
    }

    fn advance(&mut self) {
        let is_done = |(_, done): &mut (String, Instant)| Instant::now() >= *done;
        if let Some((model, _)) = self.busy.take_if(is_done) {
            self.held.insert(model, BTreeSet::new());
        }
    }
}
