use chicorystage_api::peer::ReplicaState;

use crate::replicas::{ObservedState, OrderEnd};

/// Load state of one item in an engine's memory: a replica or an adapter.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadState {
    state: ReplicaState,
    order: Option<u64>,
    last_was_load: bool,
    changed_ms: u64,
}

/// Effect of a status or of an order's answer on a load state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoadTransition {
    Unchanged,
    Loaded,
    Gone,
}

impl LoadState {
    /// Returns the state of an item whose load order is about to be sent.
    pub(crate) fn loading(order: u64, now_ms: u64) -> Self {
        Self {
            state: ReplicaState::Loading,
            order: Some(order),
            last_was_load: true,
            changed_ms: now_ms,
        }
    }

    /// Returns the state of an item that a status lists and that no order of this agent loaded.
    pub(crate) fn adopted(observed: ObservedState, now_ms: u64) -> Self {
        let state = match observed {
            ObservedState::Loaded => ReplicaState::Loaded,
            ObservedState::Loading | ObservedState::Unloading => ReplicaState::Unsettled,
        };
        Self {
            state,
            order: None,
            last_was_load: observed != ObservedState::Unloading,
            changed_ms: now_ms,
        }
    }

    pub(crate) fn state(&self) -> ReplicaState {
        self.state
    }

    pub(crate) fn order(&self) -> Option<u64> {
        self.order
    }

    pub(crate) fn is_load(&self) -> bool {
        self.last_was_load
    }

    pub(crate) fn begin_unload(&mut self, order: u64, now_ms: u64) {
        self.state = ReplicaState::Unloading;
        self.order = Some(order);
        self.last_was_load = false;
        self.changed_ms = now_ms;
    }

    /// Applies the end of the order in flight.
    pub(crate) fn end(&mut self, end: OrderEnd, now_ms: u64) -> LoadTransition {
        self.order = None;
        self.changed_ms = now_ms;
        match (end, self.last_was_load) {
            (OrderEnd::Done, true) | (OrderEnd::NoEffect, false) => self.set_loaded(),
            (OrderEnd::Done, false) | (OrderEnd::NoEffect, true) => LoadTransition::Gone,
            (OrderEnd::Unknown, _) => {
                self.state = ReplicaState::Unsettled;
                LoadTransition::Unchanged
            }
        }
    }

    /// Applies a status that was requested at `requested_ms`.
    ///
    /// A status that was requested before the last change is ignored. A status that contradicts an
    /// unresolved order resolves it as without effect only if it was requested more than
    /// `order_in_flight_max_ms` after the last change, when the order can no longer take effect.
    pub(crate) fn observe(
        &mut self,
        observed: Option<ObservedState>,
        requested_ms: u64,
        order_in_flight_max_ms: u64,
    ) -> LoadTransition {
        if requested_ms <= self.changed_ms {
            return LoadTransition::Unchanged;
        }
        let none_in_flight = requested_ms > self.changed_ms.saturating_add(order_in_flight_max_ms);
        match (self.state, observed) {
            (ReplicaState::Loading, Some(ObservedState::Loaded)) => self.set_loaded(),
            (ReplicaState::Unloading | ReplicaState::Loaded, None) => LoadTransition::Gone,
            (ReplicaState::Loaded, Some(ObservedState::Loading | ObservedState::Unloading)) => {
                *self = Self::adopted(ObservedState::Unloading, requested_ms);
                LoadTransition::Unchanged
            }
            (ReplicaState::Unsettled, Some(ObservedState::Loaded))
                if self.last_was_load || none_in_flight =>
            {
                self.set_loaded()
            }
            (ReplicaState::Unsettled, None) if !self.last_was_load || none_in_flight => {
                LoadTransition::Gone
            }
            _ => LoadTransition::Unchanged,
        }
    }

    fn set_loaded(&mut self) -> LoadTransition {
        self.state = ReplicaState::Loaded;
        self.order = None;
        LoadTransition::Loaded
    }
}
