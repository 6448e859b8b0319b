use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A method and path prefix of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operation {
    /// HTTP method in upper case.
    pub method: Arc<str>,
    /// Prefix of the path, beginning with `/`; the longest matching prefix applies.
    pub path_prefix: Arc<str>,
    /// Whether the call may be repeated without a second effect.
    pub idempotent: bool,
}
