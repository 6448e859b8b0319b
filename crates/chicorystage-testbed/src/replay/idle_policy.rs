use std::fmt;

use chicorystage_api::name::ModelName;
use chicorystage_core::keep_alive::{KeepAlive, KeepAliveCost, KeepAlivePlan};

/// How long idle replicas stay.
pub(crate) trait IdlePolicy: fmt::Debug {
    /// Returns the plan after a model's last request.
    fn plan(&self, history: &KeepAlive, model: &ModelName, cost: &KeepAliveCost) -> KeepAlivePlan;
}

/// The product's policy.
#[derive(Debug)]
pub(crate) struct LearnedIdle;

impl IdlePolicy for LearnedIdle {
    fn plan(&self, history: &KeepAlive, model: &ModelName, cost: &KeepAliveCost) -> KeepAlivePlan {
        history.plan(model, cost)
    }
}

/// The same keep-alive for every model.
#[derive(Debug)]
pub(crate) struct FixedIdle {
    pub(crate) keep_alive_ms: u64,
}

impl IdlePolicy for FixedIdle {
    fn plan(&self, _: &KeepAlive, _: &ModelName, _: &KeepAliveCost) -> KeepAlivePlan {
        KeepAlivePlan {
            keep_alive_ms: self.keep_alive_ms,
            prewarm: None,
        }
    }
}
