use std::sync::Arc;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_api::work::{Completion, ServiceCall, WorkSpec};

use crate::router::borders::RouterBorders;
use crate::router::event::{Admission, Resolved, Target};
use crate::router::handle::RouterHandle;
use crate::router::serving::conversation::Conversation;
use crate::router::serving::{CallerRequest, CallerWork, ClaimGate, NoClaims, OpenedAnswer};
use crate::timer::Clock;

/// Entry point of requests: from a parsed request to an answer that has begun.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    pub(crate) handle: RouterHandle,
    pub(crate) borders: RouterBorders,
    pub(crate) clock: Clock,
    pub(crate) claims: Arc<dyn ClaimGate>,
}

impl Dispatcher {
    /// Creates an entry point on a router's loop.
    #[must_use]
    pub fn new(handle: RouterHandle, borders: RouterBorders, clock: Clock) -> Self {
        Self {
            handle,
            borders,
            clock,
            claims: Arc::new(NoClaims),
        }
    }

    /// Sets who takes and settles the claims of calls that are not idempotent.
    #[must_use]
    pub fn with_claims(mut self, claims: Arc<dyn ClaimGate>) -> Self {
        self.claims = claims;
        self
    }

    /// Admits a request and runs it until its answer begins.
    ///
    /// Dropping the future or the answer gives the request up.
    ///
    /// # Errors
    ///
    /// Returns the final refusal of the request.
    pub async fn open(&self, request: CallerRequest) -> Result<OpenedAnswer, Refusal> {
        let token = request.head.token_sha256.clone();
        let admission = self.handle.admit(token, target(&request.work)).await?;
        check_body(&admission, request.body_bytes)?;
        let work = work_spec(&admission, &request.work)?;
        Conversation::new(self, &request, admission, work)?
            .open()
            .await
    }
}

fn target(work: &CallerWork) -> Target {
    match work {
        CallerWork::Completion { model, .. } => Target::Model(model.clone()),
        CallerWork::Call {
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

fn check_body(admission: &Admission, body_bytes: u64) -> Result<(), Refusal> {
    let limit_bytes = admission.caller.body_bytes_max;
    if body_bytes <= limit_bytes {
        return Ok(());
    }
    let detail = format!(
        "the body has {body_bytes} bytes; caller {} may send {limit_bytes}",
        admission.caller.name
    );
    Err(Refusal::not_run(RefusalCode::BodyTooLarge, detail))
}

fn work_spec(admission: &Admission, work: &CallerWork) -> Result<WorkSpec, Refusal> {
    match (&admission.resolved, work) {
        (
            Resolved::Model {
                model,
                model_memory_bytes,
                adapter_memory_bytes,
            },
            CallerWork::Completion {
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
            CallerWork::Call {
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
