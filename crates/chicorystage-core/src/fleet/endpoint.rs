use std::collections::HashMap;

use chicorystage_api::name::{AdapterName, ModelName};

use crate::fleet::{ComingModel, EndpointEntry, EndpointState, HeldModel, PromptPace};

/// Time for which the word of the router that gives orders goes before the registry, in milliseconds.
const PLACEMENT_KEPT_MS: u64 = 3_000;
/// Time for which a model that an endpoint denied to hold is not asked for there, in milliseconds.
const DENIED_MS: u64 = 600;
/// Time for which an adapter that an endpoint denied to hold is not asked for there, in milliseconds.
const ADAPTER_DENIED_MS: u64 = 40;
/// Time for which an endpoint that took no connection is not tried, in milliseconds.
const UNREACHABLE_MS: u64 = 800;
/// Time for which an endpoint that refused a request counts as full, in milliseconds.
const FULL_MS: u64 = 80;
/// Share of the failure rate that the newest outcome makes.
const OUTCOME_WEIGHT: f64 = 0.3;
/// Time in which the memory of failures falls to 1/e, in milliseconds.
const FAILURE_FADES_MS: f64 = 3_000.0;
/// Silence after which an endpoint with requests in progress is in doubt, in milliseconds.
const SILENCE_MS: u64 = 700;

/// One endpoint and what is known of it.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// What it registered.
    pub entry: EndpointEntry,
    placed: Option<Placed>,
    /// Requests of this router in progress, by model.
    in_progress: HashMap<Option<ModelName>, u32>,
    denied: HashMap<(ModelName, Option<AdapterName>), u64>,
    failure_rate: f64,
    failure_ms: u64,
    unanswered: u32,
    silent_since_ms: u64,
    unreachable_until_ms: u64,
    full_until_ms: u64,
    /// Spacing of the prompts that this router sends.
    pub pace: PromptPace,
}

/// Models as the router that gives orders knows them.
#[derive(Clone, Debug)]
struct Placed {
    models: Vec<HeldModel>,
    coming: Option<ComingModel>,
    received_ms: u64,
}

impl Endpoint {
    /// Creates the record of an endpoint that registered.
    #[must_use]
    pub fn new(entry: EndpointEntry) -> Self {
        Self {
            entry,
            placed: None,
            in_progress: HashMap::new(),
            denied: HashMap::new(),
            failure_rate: 0.0,
            failure_ms: 0,
            unanswered: 0,
            silent_since_ms: 0,
            unreachable_until_ms: 0,
            full_until_ms: 0,
            pace: PromptPace::default(),
        }
    }

    /// Returns whether the endpoint takes new requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.entry.state == EndpointState::Ready
    }

    /// Notes that the endpoint took no connection.
    pub fn unreachable(&mut self, now_ms: u64) {
        self.unreachable_until_ms = now_ms + UNREACHABLE_MS;
    }

    /// Notes that the endpoint refused a request for want of room.
    pub fn refused(&mut self, now_ms: u64) {
        self.full_until_ms = now_ms + FULL_MS;
    }

    /// Returns whether the endpoint has room beside `occupancy` requests, as far as is known.
    #[must_use]
    pub fn has_room(&self, now_ms: u64, occupancy: u32) -> bool {
        now_ms >= self.full_until_ms && occupancy < self.entry.slots
    }

    /// Returns whether the endpoint is worth trying now.
    #[must_use]
    pub fn is_reachable(&self, now_ms: u64) -> bool {
        now_ms >= self.unreachable_until_ms
    }

    /// Returns the models that the endpoint is believed to hold.
    #[must_use]
    pub fn models(&self, now_ms: u64) -> &[HeldModel] {
        match &self.placed {
            Some(placed) if now_ms < placed.received_ms + PLACEMENT_KEPT_MS => &placed.models,
            _ => &self.entry.models,
        }
    }

    /// Returns the model that the endpoint is believed to be loading.
    #[must_use]
    pub fn coming(&self, now_ms: u64) -> Option<&ComingModel> {
        let placed = self.placed.as_ref()?;
        let is_recent = now_ms < placed.received_ms + PLACEMENT_KEPT_MS;
        placed.coming.as_ref().filter(|_| is_recent)
    }

    /// Returns whether the endpoint is believed to hold a model.
    #[must_use]
    pub fn holds(&self, now_ms: u64, model: &ModelName) -> bool {
        self.held(now_ms, model).is_some() && !self.is_denied(now_ms, model, None)
    }

    /// Returns whether the endpoint is believed to hold an adapter of a model.
    #[must_use]
    pub fn holds_adapter(&self, now_ms: u64, model: &ModelName, adapter: &AdapterName) -> bool {
        let Some(held) = self.held(now_ms, model) else {
            return false;
        };
        held.adapters.contains(adapter) && !self.is_denied(now_ms, model, Some(adapter))
    }

    /// Takes over the models as the router that gives orders knows them.
    pub fn placed(&mut self, now_ms: u64, models: Vec<HeldModel>, coming: Option<ComingModel>) {
        self.placed = Some(Placed {
            models,
            coming,
            received_ms: now_ms,
        });
        self.denied.clear();
    }

    /// Notes that the endpoint answered that it lacks a model or an adapter.
    pub fn denied(&mut self, now_ms: u64, model: ModelName, adapter: Option<AdapterName>) {
        let denied_ms = if adapter.is_some() {
            ADAPTER_DENIED_MS
        } else {
            DENIED_MS
        };
        self.denied.insert((model, adapter), now_ms + denied_ms);
    }

    /// Forgets everything but the entry, as after a restart of the endpoint.
    pub fn restarted(&mut self) {
        self.placed = None;
        self.denied.clear();
        self.failure_rate = 0.0;
        self.unanswered = 0;
        self.unreachable_until_ms = 0;
        self.pace = PromptPace::default();
    }

    /// Notes that a request was sent.
    pub fn started(&mut self, now_ms: u64, model: Option<&ModelName>) {
        *self.in_progress.entry(model.cloned()).or_default() += 1;
        if self.unanswered == 0 {
            self.silent_since_ms = now_ms;
        }
        self.unanswered += 1;
    }

    /// Notes that a request began to be answered, or failed before.
    pub fn answered(&mut self, now_ms: u64) {
        self.unanswered = self.unanswered.saturating_sub(1);
        self.silent_since_ms = now_ms;
    }

    /// Notes that a request is no longer in progress.
    pub fn ended(&mut self, model: Option<&ModelName>) {
        let key = model.cloned();
        let Some(count) = self.in_progress.get_mut(&key) else {
            return;
        };
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.in_progress.remove(&key);
        }
    }

    /// Notes whether a request went well.
    pub fn outcome(&mut self, now_ms: u64, is_good: bool) {
        let newest = if is_good { 0.0 } else { 1.0 };
        let before = self.failure_rate(now_ms);
        self.failure_rate = before * (1.0 - OUTCOME_WEIGHT) + newest * OUTCOME_WEIGHT;
        self.failure_ms = now_ms;
    }

    /// Returns the share of recent requests that failed, from 0 to 1.
    #[must_use]
    pub fn failure_rate(&self, now_ms: u64) -> f64 {
        #[expect(
            clippy::cast_precision_loss,
            reason = "ages of interest are far below the mantissa"
        )]
        let age_ms = now_ms.saturating_sub(self.failure_ms) as f64;
        self.failure_rate * (-age_ms / FAILURE_FADES_MS).exp()
    }

    /// Returns whether requests have been in progress for long without any answer.
    #[must_use]
    pub fn is_silent(&self, now_ms: u64) -> bool {
        self.unanswered > 0 && now_ms.saturating_sub(self.silent_since_ms) > SILENCE_MS
    }

    /// Returns this router's requests in progress by model.
    pub fn in_progress(&self) -> impl Iterator<Item = (&Option<ModelName>, u32)> {
        self.in_progress
            .iter()
            .map(|(model, count)| (model, *count))
    }

    fn held(&self, now_ms: u64, model: &ModelName) -> Option<&HeldModel> {
        self.models(now_ms).iter().find(|held| held.model == *model)
    }

    fn is_denied(&self, now_ms: u64, model: &ModelName, adapter: Option<&AdapterName>) -> bool {
        let key = (model.clone(), adapter.cloned());
        self.denied
            .get(&key)
            .is_some_and(|until_ms| now_ms < *until_ms)
    }
}
