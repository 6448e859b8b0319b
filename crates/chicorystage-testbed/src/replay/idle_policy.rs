use std::fmt;

use chicorystage_api::name::ModelName;
use chicorystage_core::keep_alive::{KeepAlive, KeepAliveCost, KeepAlivePlan};

/// Decides how long an idle replica stays loaded.
pub(crate) trait IdlePolicy: fmt::Debug {
    /// Returns the keep-alive, and any prewarm window, to apply after a model's last request.
    fn plan(&self, history: &KeepAlive, model: &ModelName, cost: &KeepAliveCost) -> KeepAlivePlan;
}

/// The product's policy, which learns from each model's request history.
#[derive(Debug)]
pub(crate) struct LearnedIdle;

impl IdlePolicy for LearnedIdle {
    fn plan(&self, history: &KeepAlive, model: &ModelName, cost: &KeepAliveCost) -> KeepAlivePlan {
        history.plan(model, cost)
    }
}

/// A baseline that applies one keep-alive to every model and never prewarms.
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
