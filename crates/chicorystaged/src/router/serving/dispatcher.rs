use std::sync::Arc;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use chicorystage_api::peer::TraceEvent;
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_api::work::{Completion, ServiceCall, WorkSpec};
use tokio::sync::oneshot;

use crate::metrics::Metrics;
use crate::router::borders::RouterBorders;
use crate::router::event::{Admission, Resolved, Target};
use crate::router::handle::RouterHandle;
use crate::router::serving::conversation::Conversation;
use crate::router::serving::request_record::RequestRecord;
use crate::router::serving::taken_on::TakenOn;
use crate::router::serving::terms::Terms;
use crate::router::serving::{
    CallerHead, CallerRequest, CallerWork, ClaimGate, Entry, NoClaims, OpenedAnswer, WholeAnswer,
    body_too_large,
};
use crate::timer::Clock;

/// Entry point of requests: from a parsed request to an answer.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    pub(crate) handle: RouterHandle,
    pub(crate) borders: RouterBorders,
    pub(crate) clock: Clock,
    pub(crate) claims: Arc<dyn ClaimGate>,
    pub(crate) metrics: Arc<Metrics>,
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
            metrics: Arc::default(),
        }
    }

    /// Sets who takes and settles the claims of calls that are not idempotent.
    #[must_use]
    pub fn with_claims(mut self, claims: Arc<dyn ClaimGate>) -> Self {
        self.claims = claims;
        self
    }

    /// Sets where requests are counted.
    #[must_use]
    pub fn with_metrics(mut self, metrics: Arc<Metrics>) -> Self {
        self.metrics = metrics;
        self
    }

    /// Knows a caller by its token and counts a request in under its limits.
    ///
    /// `body_bytes` is the size of the body where the caller names it.
    ///
    /// # Errors
    ///
    /// Returns the final refusal of the request.
    pub async fn enter(
        &self,
        head: &CallerHead,
        body_bytes: Option<u64>,
    ) -> Result<Entry, Refusal> {
        self.handle
            .enter(head.token_sha256.clone(), body_bytes)
            .await
    }

    /// Runs a request until its answer begins.
    ///
    /// Dropping the future or the answer gives the request up.
    ///
    /// # Errors
    ///
    /// Returns the final refusal of the request.
    pub async fn open(&self, request: CallerRequest) -> Result<OpenedAnswer, Refusal> {
        let entry = self.enter(&request.head, Some(request.body_bytes)).await?;
        self.open_entered(entry, request).await
    }

    /// Runs a request that has entered until its answer begins.
    ///
    /// # Errors
    ///
    /// Returns the final refusal of the request.
    pub async fn open_entered(
        &self,
        entry: Entry,
        request: CallerRequest,
    ) -> Result<OpenedAnswer, Refusal> {
        self.converse(entry, request).await?.open().await
    }

    /// Runs a request to its whole answer.
    ///
    /// # Errors
    ///
    /// Returns the final refusal of the request.
    pub async fn whole(&self, request: CallerRequest) -> Result<WholeAnswer, Refusal> {
        let entry = self.enter(&request.head, Some(request.body_bytes)).await?;
        self.whole_entered(entry, request).await
    }

    /// Runs a request that has entered to its whole answer.
    ///
    /// Dropping the future gives the request up, unless it is a call that is
    /// not idempotent: that is followed to its end, so that it is recorded.
    ///
    /// # Errors
    ///
    /// Returns the final refusal of the request.
    pub async fn whole_entered(
        &self,
        entry: Entry,
        request: CallerRequest,
    ) -> Result<WholeAnswer, Refusal> {
        let conversation = self.converse(entry, request).await?;
        if conversation.is_idempotent() {
            return conversation.open().await?.whole().await;
        }
        let (sender, receiver) = oneshot::channel();
        tokio::spawn(async move {
            let end = match conversation.open().await {
                Ok(opened) => opened.whole().await,
                Err(refusal) => Err(refusal),
            };
            // The caller may have gone; the end is recorded all the same.
            let _sent = sender.send(end);
        });
        receiver.await.unwrap_or_else(|_dropped| {
            let detail = "the router gave up while the call was in progress";
            Err(Refusal::may_have_run(RefusalCode::Internal, detail))
        })
    }

    async fn converse(
        &self,
        entry: Entry,
        request: CallerRequest,
    ) -> Result<Conversation, Refusal> {
        let mut record = RequestRecord::new(
            self.clone(),
            entry.received_ms(),
            request.request_id.clone(),
            describe(&request.work),
        );
        match self.take_on(entry, &request, &mut record).await {
            Ok(taken_on) => Ok(Conversation::new(self, taken_on, record)),
            Err(refusal) => {
                record.refused(&refusal);
                Err(refusal)
            }
        }
    }

    /// Admits a request by the inventory and waits for a place among those that wait.
    async fn take_on(
        &self,
        entry: Entry,
        request: &CallerRequest,
        record: &mut RequestRecord,
    ) -> Result<TakenOn, Refusal> {
        if request.body_bytes > entry.caller().body_bytes_max {
            return Err(body_too_large(entry.caller()));
        }
        let token = request.head.token_sha256.clone();
        let admission = self.handle.admit(token, target(&request.work)).await?;
        let work = work_spec(&admission, &request.work)?;
        let received_ms = entry.received_ms();
        let terms = Terms::agree(self.clock, received_ms, request, &admission, &work)?;
        let (caller, weight) = (admission.caller.name.clone(), admission.caller.weight);
        record.taken_on(&caller, terms.class, terms.timeout_ms);
        record.step(TraceEvent::Admitted {
            revision: admission.revision,
            digest: terms.digest.clone(),
        });
        let digest = terms.digest.clone();
        let waiting = self
            .handle
            .wait(caller, weight, terms.class, digest)
            .await?;
        Ok(TakenOn {
            entry,
            admission,
            terms,
            work,
            waiting,
        })
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

/// Names the work in a trace, without the query, which may hold personal data.
fn describe(work: &CallerWork) -> Arc<str> {
    match work {
        CallerWork::Completion { model, .. } => Arc::from(model.to_string()),
        CallerWork::Call {
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
