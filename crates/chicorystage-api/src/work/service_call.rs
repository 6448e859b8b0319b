use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::name::ApplicationName;

/// An HTTP call to a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCall {
    /// Service to call.
    pub application: ApplicationName,
    /// HTTP method in upper case.
    pub method: Arc<str>,
    /// Path and query relative to the service's root, beginning with `/`.
    pub path: Arc<str>,
    /// `Content-Type` of the body; empty if there is none.
    pub content_type: Arc<str>,
    /// Body in base64.
    pub body_base64: Arc<str>,
    /// Whether the call may be repeated without a second effect.
    pub idempotent: bool,
}
