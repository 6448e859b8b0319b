use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// One kind of call that a plain service offers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operation {
    /// HTTP method in capitals.
    pub method: Arc<str>,
    /// Prefix of the path, beginning with `/`; the longest match decides.
    pub path_prefix: Arc<str>,
    /// Whether the call may be repeated without a second effect.
    pub idempotent: bool,
}
