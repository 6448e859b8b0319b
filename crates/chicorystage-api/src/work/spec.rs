use serde::{Deserialize, Serialize};

use crate::work::{Completion, ServiceCall};

/// The work that an attempt runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum WorkSpec {
    /// A completion on a model engine.
    Completion(Completion),
    /// An HTTP call to a plain service.
    Service(ServiceCall),
}
