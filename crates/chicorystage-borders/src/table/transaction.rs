use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::table::{Check, Write};

/// Atomic set of checks and writes, applied as a whole or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Identity chosen by the client, which the platform writes to its own log.
    pub id: Arc<str>,
    /// Preconditions, all of which must pass.
    pub checks: Vec<Check>,
    /// Rows to write or delete if all checks pass.
    pub writes: Vec<Write>,
}
