//! Prewarming: loads a model before its next request is expected.
//!
//! The replica policy predicts the time of the next request for models whose
//! requests arrive at regular intervals.

use chicorystage_api::inventory::Class;
use chicorystage_core::slots::SlotStatus;

use crate::agent::main_loop::AgentLoop;
use crate::agent::target::Target;
use crate::agent::urgency::Urgency;

/// Target of a model's newest attempt.
#[derive(Clone, Debug)]
pub(crate) struct LastUse {
    pub(crate) target: Target,
    /// Whether the target was prewarmed since that attempt; prewarming is tried once.
    pub(crate) is_prewarmed: bool,
}

impl AgentLoop {
    /// Records an attempt's target for the policy and for later prewarming.
    pub(super) fn record_arrival(&mut self, target: &Target, now_ms: u64) {
        self.policy.record_arrival(&target.key, now_ms);
        let last_use = LastUse {
            target: target.clone(),
            is_prewarmed: false,
        };
        self.last_uses.insert(target.key.model.clone(), last_use);
    }

    /// Loads models that the policy expects requests for soon, if they fit into free memory.
    pub(super) fn prewarm(&mut self, now_ms: u64) {
        if self.drain.is_leaving() || self.fence.token().is_none() {
            return;
        }
        let uses: Vec<Target> = self
            .last_uses
            .values()
            .filter(|last_use| !last_use.is_prewarmed)
            .map(|last_use| last_use.target.clone())
            .collect();
        for target in uses {
            self.prewarm_one(&target, now_ms);
        }
    }

    fn prewarm_one(&mut self, target: &Target, now_ms: u64) {
        let model = &target.key.model;
        let may_load = self.slots.status(model) == SlotStatus::Held
            && self.replicas.of_model(model).next().is_none()
            && self.replicas.ledger().free_bytes() >= target.memory_bytes;
        if !may_load {
            return;
        }
        let settings = self.keep_alive_settings(model);
        let window_left_ms =
            self.policy
                .prewarm_time_left_ms(&target.key, target.memory_bytes, &settings, now_ms);
        let Some(window_left_ms) = window_left_ms else {
            return;
        };
        if let Some(last_use) = self.last_uses.get_mut(model) {
            last_use.is_prewarmed = true;
        }
        // No attempt waits for this load; if it does not begin, the next request starts it.
        let urgency = Urgency {
            class: Class::Batch,
            deadline_ms: now_ms.saturating_add(window_left_ms),
        };
        let _begun = self.send_load_order(target, urgency, now_ms);
    }
}
