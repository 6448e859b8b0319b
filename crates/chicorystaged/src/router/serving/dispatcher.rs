use std::sync::Arc;

use chicorystage_api::peer::TraceEvent;
use chicorystage_api::refusal::{Outcome, Refusal, RefusalCode};
use tokio::sync::oneshot;

use crate::metrics::Metrics;
use crate::router::borders::RouterBorders;
use crate::router::claims::{ClaimFlow, ClaimWriter, ClaimedCall};
use crate::router::event::Resolved;
use crate::router::handle::RouterHandle;
use crate::router::serving::call::Call;
use crate::router::serving::conversation::Conversation;
use crate::router::serving::job::Job;
use crate::router::serving::no_dispatch::NoDispatch;
use crate::router::serving::request_record::RequestRecord;
use crate::router::serving::terms::Terms;
use crate::router::serving::{
    CallerHead, CallerRequest, CallerWork, Entry, OpenedAnswer, WholeAnswer, body_too_large,
    work_key,
};
use crate::timer::Clock;

/// Entry point of requests: from a parsed request to an answer.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    pub(crate) handle: RouterHandle,
    pub(crate) borders: RouterBorders,
    pub(crate) clock: Clock,
    pub(crate) claims: ClaimWriter,
    pub(crate) metrics: Arc<Metrics>,
}

impl Dispatcher {
    /// Creates an entry point on a router's loop and starts its writer of claims.
    #[must_use]
    pub fn new(handle: RouterHandle, borders: RouterBorders, clock: Clock) -> Self {
        let claims = ClaimWriter::start(Arc::clone(&borders.table));
        Self {
            handle,
            borders,
            clock,
            claims,
            metrics: Arc::default(),
        }
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
    /// Returns the final refusal of the request. One that carries a key may be
    /// the repeat of a call that has run: it is not told that nothing ran.
    pub async fn enter(
        &self,
        head: &CallerHead,
        body_bytes: Option<u64>,
    ) -> Result<Entry, Refusal> {
        let token = head.token_sha256.clone();
        let entered = self.handle.enter(token, body_bytes).await;
        entered.map_err(|refusal| match head.key {
            Some(_) if is_passing(refusal.code) => Refusal {
                outcome: Outcome::MayHaveRun,
                ..refusal
            },
            _ => refusal,
        })
    }

    /// Runs a completion or an idempotent call until its answer begins.
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
        let (job, mut record) = self.take_on(&entry, request).await?;
        if job.terms.idempotent {
            return Conversation::begin(entry, job, record).await?.open().await;
        }
        let detail = "a call that is not idempotent is answered whole";
        let refusal = Refusal::not_run(RefusalCode::Internal, detail);
        record.refused(&refusal);
        Err(refusal)
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
        let (job, record) = self.take_on(&entry, request).await?;
        if job.terms.idempotent {
            let conversation = Conversation::begin(entry, job, record).await?;
            return conversation.open().await?.whole().await;
        }
        let (sender, receiver) = oneshot::channel();
        tokio::spawn(async move {
            let end = Call::new(entry, job, record).run().await;
            // The caller may have gone; the end is recorded all the same.
            let _sent = sender.send(end);
        });
        receiver.await.unwrap_or_else(|_dropped| {
            let detail = "the router gave up while the call was in progress";
            Err(Refusal::may_have_run(RefusalCode::Internal, detail))
        })
    }

    async fn take_on(
        &self,
        entry: &Entry,
        request: CallerRequest,
    ) -> Result<(Job, RequestRecord), Refusal> {
        let mut record = RequestRecord::new(
            self.clone(),
            entry.received_ms(),
            request.request_id.clone(),
            request.work.describe(),
        );
        match self.admit(entry, &request, &mut record).await {
            Ok(job) => Ok((job, record)),
            Err(refusal) => {
                let refusal = self.confirm(entry, &request, refusal).await;
                record.refused(&refusal);
                Err(refusal)
            }
        }
    }

    /// Makes the outcome of an early refusal true for every call with the same key.
    async fn confirm(&self, entry: &Entry, request: &CallerRequest, refusal: Refusal) -> Refusal {
        let (CallerWork::Call { .. }, Some(key)) = (&request.work, &request.head.key) else {
            return refusal;
        };
        let resolved = Resolved::Application { idempotent: false };
        let Ok(work) = request.work.resolve(&resolved) else {
            return refusal;
        };
        let call = ClaimedCall {
            caller: entry.caller().name.clone(),
            key: key.clone(),
            body_sha256: work_key::digest(&work),
            request_id: request.request_id.clone(),
        };
        let (table, agents) = (&*self.borders.table, &*self.borders.agents);
        let flow = ClaimFlow::new(table, agents, &self.claims, &NoDispatch, call);
        flow.confirm(refusal).await
    }

    /// Admits a request by the inventory.
    async fn admit(
        &self,
        entry: &Entry,
        request: &CallerRequest,
        record: &mut RequestRecord,
    ) -> Result<Job, Refusal> {
        if request.body_bytes > entry.caller().body_bytes_max {
            return Err(body_too_large(entry.caller()));
        }
        let token = request.head.token_sha256.clone();
        let admission = self.handle.admit(token, request.work.target()).await?;
        let work = request.work.resolve(&admission.resolved)?;
        let received_ms = entry.received_ms();
        let terms = Terms::agree(self.clock, received_ms, request, &admission, &work)?;
        record.taken_on(&admission.caller.name, terms.class, terms.timeout_ms);
        record.step(TraceEvent::Admitted {
            revision: admission.revision,
            digest: terms.digest.clone(),
        });
        Ok(Job {
            dispatcher: self.clone(),
            terms,
            admission,
            work,
        })
    }
}

/// Returns whether a refusal says nothing of the request, so that a repeat may meet it.
fn is_passing(code: RefusalCode) -> bool {
    matches!(
        code,
        RefusalCode::RateLimited
            | RefusalCode::ConcurrencyLimited
            | RefusalCode::Overloaded
            | RefusalCode::StaleRules
            | RefusalCode::Internal
    )
}
