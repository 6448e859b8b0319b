use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::table::{Check, Write};

/// Checks and writes that apply as a whole or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Identity chosen by the client, for the platform's own log.
    pub id: Arc<str>,
    /// Conditions.
    pub checks: Vec<Check>,
    /// Effects.
    pub writes: Vec<Write>,
}
