//! Admission control: whether the agent accepts an attempt into its queue.
//!
//! An attempt is refused if the agent is draining, the request is quarantined or
//! the endpoint runs another kind of work. It is also refused if the endpoint is
//! an engine that is down, the caller has lost its rights, or the estimated wait
//! exceeds the time left.
//!
//! The inventory changes that these checks rely on are applied here, too.

use std::borrow::Borrow;

use chicorystage_api::inventory::{Item, ItemKey, ItemKind};
use chicorystage_api::peer::Changes;
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_api::work::{AttemptRequest, Completion, WorkSpec};
use chicorystage_core::inventory::Applied;

use crate::agent::borders::Endpoint;
use crate::agent::main_loop::AgentLoop;

/// Wildcard for every model or application in a caller's rights.
const ALL: &str = "*";
/// Retry delay that a refusal suggests while the endpoint is down, in milliseconds.
const DOWN_RETRY_AFTER_MS: u64 = 1_000;

impl AgentLoop {
    /// Checks whether an attempt may be queued.
    ///
    /// # Errors
    ///
    /// Returns the refusal to send; its outcome is always not run.
    pub(super) fn admit(&self, request: &AttemptRequest) -> Result<(), Refusal> {
        if self.drain.is_leaving() || self.fence.is_superseded() {
            return Err(leaving_refusal());
        }
        if self.quarantined.contains(&request.digest) {
            let detail = "this request crashed endpoints";
            return Err(Refusal::not_run(RefusalCode::Quarantined, detail));
        }
        self.check_kind(request)?;
        self.check_rights(request)?;
        self.check_endpoint()?;
        self.check_wait(request)
    }

    /// Applies inventory changes that are newer than the revision in force.
    pub(super) fn on_inventory_read(&mut self, changes: Changes) {
        let is_newer = match changes {
            Changes::Unchanged => false,
            Changes::Whole { snapshot } => self.inventory.replace(snapshot),
            Changes::Tail { records } => {
                let mut is_newer = false;
                for record in records {
                    is_newer |= self.inventory.apply(&record) == Applied::Advanced;
                }
                is_newer
            }
        };
        if is_newer {
            let revision = self.inventory.revision();
            self.revision.send_replace(revision);
            log::info!(event = "inventory_in_force", revision; "inventory revision in force");
        }
    }

    fn check_kind(&self, request: &AttemptRequest) -> Result<(), Refusal> {
        let is_engine = matches!(self.borders.endpoint, Endpoint::Engine(_));
        let is_completion = matches!(request.work, WorkSpec::Completion(_));
        if is_engine == is_completion {
            return Ok(());
        }
        let detail = "this endpoint runs no work of that kind";
        Err(Refusal::not_run(RefusalCode::NoEndpoint, detail))
    }

    /// Checks the caller's rights again if the agent's inventory is newer than the router's.
    fn check_rights(&self, request: &AttemptRequest) -> Result<(), Refusal> {
        if self.inventory.revision() <= request.revision {
            return Ok(());
        }
        let key = ItemKey::new(ItemKind::Caller, request.caller.as_str());
        let caller = self.inventory.row(&key).map(|row| &row.item);
        let Some(Item::Caller(caller)) = caller else {
            return Err(forbidden_refusal(
                "the caller is no longer in the inventory",
            ));
        };
        let (is_allowed, exists) = match &request.work {
            WorkSpec::Completion(work) => (
                allows(&caller.models, work.model.as_str()),
                self.has_model(work),
            ),
            WorkSpec::Service(call) => (
                allows(&caller.applications, call.application.as_str()),
                self.inventory.application(&call.application).is_some(),
            ),
        };
        if !is_allowed {
            return Err(forbidden_refusal("the caller may no longer use this"));
        }
        if !exists {
            return Err(forbidden_refusal("it is no longer in the inventory"));
        }
        Ok(())
    }

    fn has_model(&self, work: &Completion) -> bool {
        let model = self.inventory.model(&work.model);
        let has_version = model.is_some_and(|model| model.version(Some(&work.version)).is_some());
        let adapter = work.adapter.as_ref();
        has_version
            && adapter.is_none_or(|name| self.inventory.adapter(&work.model, name).is_some())
    }

    /// Refuses an attempt while the engine is down; accepts it before the first status.
    ///
    /// A plain service has no status, so its calls always pass.
    fn check_endpoint(&self) -> Result<(), Refusal> {
        let is_starting = self.engine_status.is_none() && self.engine_status_ms == 0;
        if self.endpoint_up || is_starting {
            return Ok(());
        }
        let detail = "the endpoint does not answer";
        Err(Refusal::not_run(RefusalCode::NoEndpoint, detail).retry_after_ms(DOWN_RETRY_AFTER_MS))
    }

    /// Refuses an attempt whose estimated wait in the queue exceeds its time left.
    ///
    /// Only attempts of the same or a higher class count as ahead of it.
    fn check_wait(&self, request: &AttemptRequest) -> Result<(), Refusal> {
        let ahead = self
            .queue
            .iter()
            .filter(|entry| entry.class <= request.class);
        let ahead = u64::try_from(ahead.count()).unwrap_or(u64::MAX);
        let rounds = ahead / u64::from(self.capacity().max(1));
        if rounds * self.service_time_ms <= request.time_left_ms {
            return Ok(());
        }
        let detail = "the estimated wait is longer than the time left";
        Err(Refusal::not_run(RefusalCode::DeadlineUnreachable, detail)
            .retry_after_ms(self.retry_after_ms()))
    }
}

pub(super) fn leaving_refusal() -> Refusal {
    Refusal::not_run(RefusalCode::Leaving, "the VM is leaving")
}

fn forbidden_refusal(detail: &str) -> Refusal {
    Refusal::not_run(RefusalCode::Forbidden, detail)
}

fn allows<T: Borrow<str>>(allowed: &[T], name: &str) -> bool {
    allowed
        .iter()
        .any(|entry| entry.borrow() == ALL || entry.borrow() == name)
}
