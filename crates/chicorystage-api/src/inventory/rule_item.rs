use serde::{Deserialize, Serialize};

use crate::name::{ModelName, OwnerName};

/// Limits on the replicas of one model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RuleItem {
    /// Model to which the rule applies.
    pub model: ModelName,
    /// Organisational unit that owns the rule; must be the owner of the model.
    pub owner: OwnerName,
    /// Largest number of replicas placed at the same time.
    pub replicas_max: u32,
    /// Shortest time for which an idle replica stays loaded, in milliseconds.
    pub keep_alive_min_ms: u64,
    /// Longest time for which an idle replica stays loaded, in milliseconds.
    pub keep_alive_max_ms: u64,
}
