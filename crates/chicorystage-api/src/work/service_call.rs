use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::name::ApplicationName;

/// A call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCall {
    /// Service that is called.
    pub application: ApplicationName,
    /// HTTP method in capitals.
    pub method: Arc<str>,
    /// Path and query below the service's root, beginning with `/`.
    pub path: Arc<str>,
    /// `Content-Type` of the body; empty without one.
    pub content_type: Arc<str>,
    /// Body in base64.
    pub body_base64: Arc<str>,
    /// Whether the call may be repeated without a second effect.
    pub idempotent: bool,
}
