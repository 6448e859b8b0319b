use std::fmt;

use zeroize::Zeroizing;

use crate::teams::QuotaUnit;

/// A team as the operator has declared it, not yet checked.
pub struct TeamDeclaration {
    /// Name of the team.
    pub name: String,
    /// API keys, wiped from memory when the declaration is dropped.
    pub keys: Vec<Zeroizing<String>>,
    /// Priority among teams.
    pub priority: f64,
    /// Units a second; 0 for no limit.
    pub per_s: f64,
    /// Units beyond the rate that may be used at once.
    pub burst: f64,
    /// What the quota counts.
    pub unit: QuotaUnit,
}

impl fmt::Debug for TeamDeclaration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TeamDeclaration")
            .field("name", &self.name)
            .field("keys", &self.keys.len())
            .finish_non_exhaustive()
    }
}
