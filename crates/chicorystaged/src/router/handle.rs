//! Typed access to the router's main loop.

use chicorystage_api::inventory::Class;
use chicorystage_api::name::{CallerName, Digest, RequestId, VmId};
use chicorystage_api::peer::{QuarantineEntry, RequestTrace, RouterStatus};
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_borders::vm_list::VmEntry;
use tokio::sync::{mpsc, oneshot};

use crate::router::event::{Admission, Choice, RouterEvent, Target};
use crate::router::inventory::InventoryEvent;
use crate::router::serving::{ChooseRequest, EntryGuard, ServingEvent, WaitGuard};

/// Sends events to the router's main loop.
#[derive(Clone, Debug)]
pub struct RouterHandle {
    sender: mpsc::Sender<RouterEvent>,
}

impl RouterHandle {
    /// Creates a handle on a loop's channel.
    #[must_use]
    pub fn new(sender: mpsc::Sender<RouterEvent>) -> Self {
        Self { sender }
    }

    /// Asks for a request to be admitted.
    ///
    /// # Errors
    ///
    /// Returns the refusal, or an internal one where the loop has ended.
    pub async fn admit(&self, token_sha256: Digest, target: Target) -> Result<Admission, Refusal> {
        self.ask(|reply| RouterEvent::Admit {
            token_sha256,
            target,
            reply,
        })
        .await
        .unwrap_or_else(|| Err(stopped()))
    }

    /// Asks where an admitted request is to run.
    ///
    /// # Errors
    ///
    /// Returns the refusal, or an internal one where the loop has ended.
    pub async fn choose(&self, request: ChooseRequest) -> Result<Choice, Refusal> {
        self.ask(|reply| RouterEvent::Choose { request, reply })
            .await
            .unwrap_or_else(|| Err(stopped()))
    }

    /// Counts a request in under the limits of its caller.
    ///
    /// # Errors
    ///
    /// Returns the refusal, or an internal one where the loop has ended.
    pub async fn enter(
        &self,
        token_sha256: Digest,
        body_bytes: Option<u64>,
    ) -> Result<EntryGuard, Refusal> {
        self.ask_serving(|reply| ServingEvent::Enter {
            token_sha256,
            body_bytes,
            reply,
        })
        .await
        .unwrap_or_else(|| Err(stopped()))
    }

    /// Asks for a place in the waiting room.
    ///
    /// # Errors
    ///
    /// Returns the refusal, or an internal one where the loop has ended.
    pub async fn wait(
        &self,
        caller: CallerName,
        weight: u32,
        class: Class,
        digest: Digest,
    ) -> Result<WaitGuard, Refusal> {
        self.ask_serving(|reply| ServingEvent::Wait {
            caller,
            weight,
            class,
            digest,
            reply,
        })
        .await
        .unwrap_or_else(|| Err(stopped()))
    }

    /// Returns a VM's entry, or none where the platform's list has no such VM.
    ///
    /// # Errors
    ///
    /// Returns a refusal where the loop has ended or has read no list yet.
    pub async fn find_vm(&self, vm: VmId) -> Result<Option<VmEntry>, Refusal> {
        self.ask_serving(|reply| ServingEvent::FindVm { vm, reply })
            .await
            .unwrap_or_else(|| Err(stopped()))
    }

    /// Returns what happened to a request, where that is still known.
    pub async fn explain(&self, request_id: RequestId) -> Option<RequestTrace> {
        self.ask_serving(|reply| ServingEvent::Explain { request_id, reply })
            .await?
    }

    /// Returns the quarantined digests.
    pub async fn quarantine_list(&self) -> Vec<QuarantineEntry> {
        self.ask_serving(|reply| ServingEvent::QuarantineList { reply })
            .await
            .unwrap_or_default()
    }

    /// Lifts the quarantine of a digest here, at the other processes and in the table.
    pub async fn quarantine_lift(&self, digest: Digest) -> Option<QuarantineEntry> {
        self.ask_serving(|reply| ServingEvent::QuarantineLift { digest, reply })
            .await
    }

    /// Takes over what another process decided on digests.
    pub async fn learn_quarantine(&self, entries: Vec<QuarantineEntry>) {
        self.tell(RouterEvent::Serving(ServingEvent::QuarantineReceived(
            entries,
        )))
        .await;
    }

    /// Waits until an operator orders a graceful stop, or the loop has ended.
    pub async fn drain_ordered(&self) {
        self.ask_serving(|reply| ServingEvent::AwaitDrain { reply })
            .await;
    }

    /// Makes the router fail its readiness; it serves on.
    pub async fn leave(&self) {
        self.tell(RouterEvent::Serving(ServingEvent::Leave)).await;
    }

    /// Ends the loop.
    pub async fn stop(&self) {
        self.tell(RouterEvent::Serving(ServingEvent::Stop)).await;
    }

    /// Asks the serving part of the loop something; none where it has ended.
    pub(crate) async fn ask_serving<T>(
        &self,
        event: impl FnOnce(oneshot::Sender<T>) -> ServingEvent,
    ) -> Option<T> {
        self.ask(|reply| RouterEvent::Serving(event(reply))).await
    }

    /// Reads the router's state; none where the loop has ended.
    pub async fn status(&self) -> Option<RouterStatus> {
        self.ask(|reply| RouterEvent::Status { reply }).await
    }

    /// Tells the loop something; returns false where it has ended.
    pub async fn tell(&self, event: RouterEvent) -> bool {
        self.sender.send(event).await.is_ok()
    }

    /// Tells the loop something from where nothing can wait, as on a drop.
    pub(crate) fn tell_later(&self, event: RouterEvent) {
        let Err(mpsc::error::TrySendError::Full(event)) = self.sender.try_send(event) else {
            return;
        };
        let sender = self.sender.clone();
        self.spawn_later(async move {
            // The loop may have ended; then nobody needs the event.
            let _sent = sender.send(event).await;
        });
    }

    /// Runs a task unless the runtime is ending.
    #[expect(
        clippy::unused_self,
        reason = "only holders of a handle start tasks of the router"
    )]
    pub(crate) fn spawn_later(&self, task: impl Future<Output = ()> + Send + 'static) {
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(task);
        }
    }

    /// Asks the inventory's part of the loop; none where the loop has ended.
    pub async fn ask_inventory<T>(
        &self,
        event: impl FnOnce(oneshot::Sender<T>) -> InventoryEvent,
    ) -> Option<T> {
        self.ask(|reply| RouterEvent::Inventory(event(reply))).await
    }

    /// Asks the loop; none where it has ended or dropped the question.
    pub(crate) async fn ask<T>(
        &self,
        event: impl FnOnce(oneshot::Sender<T>) -> RouterEvent,
    ) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.sender.send(event(reply)).await.ok()?;
        answer.await.ok()
    }
}

fn stopped() -> Refusal {
    Refusal::not_run(RefusalCode::Internal, "the router is stopping")
}
