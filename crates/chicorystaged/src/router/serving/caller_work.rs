use std::sync::Arc;

use bytes::Bytes;
use chicorystage_api::inventory::ModelRef;
use chicorystage_api::name::ApplicationName;

/// What a caller asks to be run.
#[derive(Clone, Debug)]
pub enum CallerWork {
    /// A completion.
    Completion {
        /// Model as the caller names it.
        model: ModelRef,
        /// Text to complete.
        prompt: Arc<str>,
        /// Largest number of tokens to generate.
        max_tokens: u32,
    },
    /// A call of a plain service.
    Call {
        /// Service that is called.
        application: ApplicationName,
        /// HTTP method in capitals.
        method: Arc<str>,
        /// Path and query below the service's root, beginning with `/`.
        path: Arc<str>,
        /// `Content-Type` of the body; empty without one.
        content_type: Arc<str>,
        /// Body.
        body: Bytes,
    },
}
