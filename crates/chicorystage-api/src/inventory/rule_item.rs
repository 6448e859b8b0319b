use serde::{Deserialize, Serialize};

use crate::name::{ModelName, OwnerName};

/// Rule of one model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RuleItem {
    /// Model that the rule is for.
    pub model: ModelName,
    /// Unit that owns the rule, that of the model.
    pub owner: OwnerName,
    /// Largest number of replicas decided at once.
    pub replicas_max: u32,
    /// Shortest time an idle replica stays loaded, in milliseconds.
    pub keep_alive_min_ms: u64,
    /// Longest time an idle replica stays loaded, in milliseconds.
    pub keep_alive_max_ms: u64,
}
