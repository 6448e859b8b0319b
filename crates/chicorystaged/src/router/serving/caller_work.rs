use std::sync::Arc;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use chicorystage_api::inventory::ModelRef;
use chicorystage_api::name::ApplicationName;
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_api::work::{Completion, ServiceCall, WorkSpec};

use crate::router::event::{Resolved, Target};

/// Work that a caller requests, before the inventory has resolved it.
#[derive(Clone, Debug)]
pub enum CallerWork {
    /// A completion of a prompt by a model.
    Completion {
        /// Model as the caller names it.
        model: ModelRef,
        /// Text to complete.
        prompt: Arc<str>,
        /// Largest number of tokens to generate.
        max_tokens: u32,
    },
    /// An HTTP call of a service that needs no model.
    Call {
        /// Application that offers the service.
        application: ApplicationName,
        /// HTTP method in capitals.
        method: Arc<str>,
        /// Path and query below the service's root, beginning with `/`.
        path: Arc<str>,
        /// `Content-Type` of the body; empty without one.
        content_type: Arc<str>,
        /// Body as received.
        body: Bytes,
    },
}

impl CallerWork {
    /// Returns the model or service that the inventory has to resolve.
    pub(super) fn target(&self) -> Target {
        match self {
            Self::Completion { model, .. } => Target::Model(model.clone()),
            Self::Call {
                application,
                method,
                path,
                ..
            } => Target::Application {
                application: application.clone(),
                method: method.to_string(),
                path: path.to_string(),
            },
        }
    }

    /// Describes the work for a trace.
    ///
    /// Leaves out the query of the path, which may contain personal data.
    pub(super) fn describe(&self) -> Arc<str> {
        match self {
            Self::Completion { model, .. } => Arc::from(model.to_string()),
            Self::Call {
                application,
                method,
                path,
                ..
            } => {
                let path = path.split('?').next().unwrap_or_default();
                Arc::from(format!("{method} {application}{path}"))
            }
        }
    }

    /// Returns the work in the form that is sent to agents.
    ///
    /// # Errors
    ///
    /// Fails if the inventory resolved another kind of work.
    pub(super) fn resolve(&self, resolved: &Resolved) -> Result<WorkSpec, Refusal> {
        match (resolved, self) {
            (
                Resolved::Model {
                    model,
                    model_memory_bytes,
                    adapter_memory_bytes,
                },
                Self::Completion {
                    prompt, max_tokens, ..
                },
            ) => Ok(WorkSpec::Completion(Completion {
                version: model.version.clone().unwrap_or_else(|| "".into()),
                model: model.model.clone(),
                adapter: model.adapter.clone(),
                model_memory_bytes: *model_memory_bytes,
                adapter_memory_bytes: *adapter_memory_bytes,
                prompt: Arc::clone(prompt),
                max_tokens: *max_tokens,
            })),
            (
                Resolved::Application { idempotent },
                Self::Call {
                    application,
                    method,
                    path,
                    content_type,
                    body,
                },
            ) => Ok(WorkSpec::Service(ServiceCall {
                application: application.clone(),
                method: Arc::clone(method),
                path: Arc::clone(path),
                content_type: Arc::clone(content_type),
                body_base64: STANDARD.encode(body).into(),
                idempotent: *idempotent,
            })),
            _ => Err(Refusal::not_run(
                RefusalCode::Internal,
                "the request was resolved as another kind of work",
            )),
        }
    }
}
