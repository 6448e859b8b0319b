use std::sync::Arc;

use chicorystage_api::peer::TraceEvent;
use chicorystage_api::refusal::{Outcome, Refusal, RefusalCode};
use tokio::sync::oneshot;

use crate::metrics::Metrics;
use crate::router::borders::RouterBorders;
use crate::router::claims::{ClaimFlow, ClaimWriter, ClaimedCall};
use crate::router::event::Resolved;
use crate::router::handle::RouterHandle;
use crate::router::serving::admitted_request::AdmittedRequest;
use crate::router::serving::at_most_once_run::AtMostOnceRun;
use crate::router::serving::idempotent_run::IdempotentRun;
use crate::router::serving::no_dispatch::NoDispatch;
use crate::router::serving::request_record::RequestRecord;
use crate::router::serving::terms::RequestTerms;
use crate::router::serving::{
    CallerHead, CallerRequest, CallerWork, EntryGuard, OpenedAnswer, WholeAnswer, body_too_large,
    work_key,
};
use crate::timer::Clock;

/// Entry point of the serving path: takes a parsed request and returns its answer.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    pub(crate) handle: RouterHandle,
    pub(crate) borders: RouterBorders,
    pub(crate) clock: Clock,
    pub(crate) claims: ClaimWriter,
    pub(crate) metrics: Arc<Metrics>,
}

impl Dispatcher {
    /// Creates a dispatcher for a router's main loop and starts its claim writer.
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

    /// Sets the metrics in which requests are counted.
    #[must_use]
    pub fn with_metrics(mut self, metrics: Arc<Metrics>) -> Self {
        self.metrics = metrics;
        self
    }

    /// Authenticates a caller by its token and applies the caller's limits to a request.
    ///
    /// `body_bytes` is the declared size of the body; without it the caller's
    /// maximum is reserved.
    ///
    /// # Errors
    ///
    /// Returns the final refusal of the request. A request with an idempotency
    /// key may be the resend of a call that has run, so refusals that do not
    /// depend on the request's content have the outcome `may_have_run` for it.
    pub async fn enter(
        &self,
        head: &CallerHead,
        body_bytes: Option<u64>,
    ) -> Result<EntryGuard, Refusal> {
        let token = head.token_sha256.clone();
        let entered = self.handle.enter(token, body_bytes).await;
        entered.map_err(|refusal| match head.key {
            Some(_) if is_independent_of_content(refusal.code) => Refusal {
                outcome: Outcome::MayHaveRun,
                ..refusal
            },
            _ => refusal,
        })
    }

    /// Runs a completion or an idempotent call until its answer begins.
    ///
    /// Dropping the future or the answer abandons the request.
    ///
    /// # Errors
    ///
    /// Returns the final refusal of the request.
    pub async fn open(&self, request: CallerRequest) -> Result<OpenedAnswer, Refusal> {
        let entry = self.enter(&request.head, Some(request.body_bytes)).await?;
        self.open_entered(entry, request).await
    }

    /// Runs a request that passed [`enter`](Self::enter) until its answer begins.
    ///
    /// Refuses a call that is not idempotent, which only
    /// [`whole_entered`](Self::whole_entered) runs.
    ///
    /// # Errors
    ///
    /// Returns the final refusal of the request.
    pub async fn open_entered(
        &self,
        entry: EntryGuard,
        request: CallerRequest,
    ) -> Result<OpenedAnswer, Refusal> {
        let (admitted, mut record) = self.admit_and_trace(&entry, request).await?;
        if admitted.terms.idempotent {
            return IdempotentRun::begin(entry, admitted, record)
                .await?
                .open()
                .await;
        }
        let detail = "a call that is not idempotent is answered whole";
        let refusal = Refusal::not_run(RefusalCode::Internal, detail);
        record.refused(&refusal);
        Err(refusal)
    }

    /// Runs a request and returns its complete answer.
    ///
    /// # Errors
    ///
    /// Returns the final refusal of the request.
    pub async fn whole(&self, request: CallerRequest) -> Result<WholeAnswer, Refusal> {
        let entry = self.enter(&request.head, Some(request.body_bytes)).await?;
        self.whole_entered(entry, request).await
    }

    /// Runs a request that passed [`enter`](Self::enter) and returns its complete answer.
    ///
    /// Dropping the future abandons an idempotent request. A call that is not
    /// idempotent is followed to its end in a task of its own, so that its
    /// outcome is recorded.
    ///
    /// # Errors
    ///
    /// Returns the final refusal of the request.
    pub async fn whole_entered(
        &self,
        entry: EntryGuard,
        request: CallerRequest,
    ) -> Result<WholeAnswer, Refusal> {
        let (admitted, record) = self.admit_and_trace(&entry, request).await?;
        if admitted.terms.idempotent {
            let run = IdempotentRun::begin(entry, admitted, record).await?;
            return run.open().await?.whole().await;
        }
        let (sender, receiver) = oneshot::channel();
        tokio::spawn(async move {
            let end = AtMostOnceRun::new(entry, admitted, record).run().await;
            // Fails if the caller has disconnected; the outcome is recorded in any case.
            let _sent = sender.send(end);
        });
        receiver.await.unwrap_or_else(|_dropped| {
            let detail = "the router gave up while the call was in progress";
            Err(Refusal::may_have_run(RefusalCode::Internal, detail))
        })
    }

    /// Admits a request and starts its trace; records a refusal in the trace.
    async fn admit_and_trace(
        &self,
        entry: &EntryGuard,
        request: CallerRequest,
    ) -> Result<(AdmittedRequest, RequestRecord), Refusal> {
        let mut record = RequestRecord::new(
            self.clone(),
            entry.received_ms(),
            request.request_id.clone(),
            request.work.describe(),
        );
        match self.admit(entry, &request, &mut record).await {
            Ok(admitted) => Ok((admitted, record)),
            Err(refusal) => {
                let refusal = self.correct_outcome(entry, &request, refusal).await;
                record.refused(&refusal);
                Err(refusal)
            }
        }
    }

    /// Corrects the outcome of an early refusal by the claim row of the request's key.
    ///
    /// Returns the refusal unchanged unless the request is a call with an
    /// idempotency key: an earlier call with the same key may have run.
    async fn correct_outcome(
        &self,
        entry: &EntryGuard,
        request: &CallerRequest,
        refusal: Refusal,
    ) -> Refusal {
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
        flow.correct_outcome(refusal).await
    }

    /// Admits a request: body size, access by the inventory, timeout and class.
    async fn admit(
        &self,
        entry: &EntryGuard,
        request: &CallerRequest,
        record: &mut RequestRecord,
    ) -> Result<AdmittedRequest, Refusal> {
        if request.body_bytes > entry.caller().body_bytes_max {
            return Err(body_too_large(entry.caller()));
        }
        let token = request.head.token_sha256.clone();
        let admission = self.handle.admit(token, request.work.target()).await?;
        let work = request.work.resolve(&admission.resolved)?;
        let received_ms = entry.received_ms();
        let terms = RequestTerms::check(self.clock, received_ms, request, &admission, &work)?;
        record.admitted(&admission.caller.name, terms.class, terms.timeout_ms);
        record.step(TraceEvent::Admitted {
            revision: admission.revision,
            digest: terms.digest.clone(),
        });
        Ok(AdmittedRequest {
            dispatcher: self.clone(),
            terms,
            admission,
            work,
        })
    }
}

/// Returns whether a refusal is independent of the request's content.
///
/// A resend of a call that was accepted before may receive such a refusal.
fn is_independent_of_content(code: RefusalCode) -> bool {
    matches!(
        code,
        RefusalCode::RateLimited
            | RefusalCode::ConcurrencyLimited
            | RefusalCode::Overloaded
            | RefusalCode::StaleRules
            | RefusalCode::Internal
    )
}
