use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};
use std::time::{SystemTime, UNIX_EPOCH};

use chicorystage_api::name::ModelName;
use serde::{Deserialize, Serialize};

/// A replica was added to or removed from the memory of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaEvent {
    /// Wall-clock time, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Model that the replica serves.
    pub model: ModelName,
    /// Whether the replica was added; false if it was removed.
    #[serde(rename = "came")]
    pub was_added: bool,
}

/// History of the number of replicas of each model on all engines that share the ledger.
///
/// A replica counts from the order that starts its load until its memory is freed.
#[derive(Debug, Default)]
pub struct ReplicaLedger {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    events: Vec<ReplicaEvent>,
    current: BTreeMap<ModelName, u32>,
    highest: BTreeMap<ModelName, u32>,
}

impl ReplicaLedger {
    /// Creates an empty ledger.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns all events in the order of their recording.
    #[must_use]
    pub fn events(&self) -> Vec<ReplicaEvent> {
        self.lock().events.clone()
    }

    /// Returns the highest number of replicas that a model has had at the same time.
    #[must_use]
    pub fn highest(&self, model: &ModelName) -> u32 {
        self.lock().highest.get(model).copied().unwrap_or(0)
    }

    /// Returns the current number of replicas of a model, including loading ones.
    #[must_use]
    pub fn current(&self, model: &ModelName) -> u32 {
        self.lock().current.get(model).copied().unwrap_or(0)
    }

    pub(crate) fn record_added(&self, model: &ModelName) {
        let mut state = self.lock();
        let now = state.current.entry(model.clone()).or_default();
        *now += 1;
        let now = *now;
        let highest = state.highest.entry(model.clone()).or_default();
        *highest = now.max(*highest);
        state.record(model, true);
    }

    pub(crate) fn record_removed(&self, model: &ModelName) {
        let mut state = self.lock();
        if let Some(now) = state.current.get_mut(model) {
            *now = now.saturating_sub(1);
        }
        state.record(model, false);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl State {
    fn record(&mut self, model: &ModelName, was_added: bool) {
        let elapsed = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        self.events.push(ReplicaEvent {
            at_unix_ms: u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
            model: model.clone(),
            was_added,
        });
    }
}
