//! Handle through which other tasks send events and queries to the main loop.

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
    /// Creates a handle that sends to the main loop's channel.
    #[must_use]
    pub fn new(sender: mpsc::Sender<RouterEvent>) -> Self {
        Self { sender }
    }

    /// Requests the admission of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns the refusal, or an internal one if the main loop has ended.
    pub async fn admit(&self, token_sha256: Digest, target: Target) -> Result<Admission, Refusal> {
        self.ask(|reply| RouterEvent::Admit {
            token_sha256,
            target,
            reply,
        })
        .await
        .unwrap_or_else(|| Err(stopped()))
    }

    /// Requests an endpoint for an attempt of an admitted request.
    ///
    /// # Errors
    ///
    /// Returns the refusal, or an internal one if the main loop has ended.
    pub async fn choose(&self, request: ChooseRequest) -> Result<Choice, Refusal> {
        self.ask(|reply| RouterEvent::Choose { request, reply })
            .await
            .unwrap_or_else(|| Err(stopped()))
    }

    /// Counts a request against its caller's limits until the returned guard is dropped.
    ///
    /// `body_bytes` is the declared size of the body; `None` if none is declared.
    ///
    /// # Errors
    ///
    /// Returns the refusal, or an internal one if the main loop has ended.
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

    /// Enters a request into the wait queue until the returned guard is dropped.
    ///
    /// # Errors
    ///
    /// Returns the refusal, or an internal one if the main loop has ended.
    pub async fn enter_queue(
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

    /// Returns a VM's entry; `None` if the platform's list has no such VM.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the main loop has ended or has not read the list yet.
    pub async fn find_vm(&self, vm: VmId) -> Result<Option<VmEntry>, Refusal> {
        self.ask_serving(|reply| ServingEvent::FindVm { vm, reply })
            .await
            .unwrap_or_else(|| Err(stopped()))
    }

    /// Returns the trace of a request.
    ///
    /// `None` if the trace was evicted or never existed, or the main loop has ended.
    pub async fn explain(&self, request_id: RequestId) -> Option<RequestTrace> {
        self.ask_serving(|reply| ServingEvent::Explain { request_id, reply })
            .await?
    }

    /// Returns the entries of all quarantined digests; none if the main loop has ended.
    pub async fn list_quarantine(&self) -> Vec<QuarantineEntry> {
        self.ask_serving(|reply| ServingEvent::QuarantineList { reply })
            .await
            .unwrap_or_default()
    }

    /// Lifts the quarantine of a digest here, at the other processes and in the table.
    ///
    /// Returns the entry that records the lift; `None` if the main loop has ended.
    pub async fn lift_quarantine(&self, digest: Digest) -> Option<QuarantineEntry> {
        self.ask_serving(|reply| ServingEvent::QuarantineLift { digest, reply })
            .await
    }

    /// Merges quarantine entries from another process into the suspect list.
    pub async fn merge_quarantine(&self, entries: Vec<QuarantineEntry>) {
        self.send(RouterEvent::Serving(ServingEvent::QuarantineReceived(
            entries,
        )))
        .await;
    }

    /// Waits until an operator requests a drain or the main loop has ended.
    pub async fn drain_requested(&self) {
        self.ask_serving(|reply| ServingEvent::AwaitDrain { reply })
            .await;
    }

    /// Makes the readiness check fail from now on; the router keeps serving.
    pub async fn fail_readiness(&self) {
        self.send(RouterEvent::Serving(ServingEvent::Leave)).await;
    }

    /// Stops the main loop.
    pub async fn stop(&self) {
        self.send(RouterEvent::Serving(ServingEvent::Stop)).await;
    }

    /// Sends a serving query and waits for the answer; `None` if the main loop has ended.
    pub(crate) async fn ask_serving<T>(
        &self,
        event: impl FnOnce(oneshot::Sender<T>) -> ServingEvent,
    ) -> Option<T> {
        self.ask(|reply| RouterEvent::Serving(event(reply))).await
    }

    /// Returns the router's state; `None` if the main loop has ended.
    pub async fn status(&self) -> Option<RouterStatus> {
        self.ask(|reply| RouterEvent::Status { reply }).await
    }

    /// Sends an event to the main loop; returns false if the loop has ended.
    ///
    /// Waits while the channel is full.
    pub async fn send(&self, event: RouterEvent) -> bool {
        self.sender.send(event).await.is_ok()
    }

    /// Sends an event from code that cannot wait, such as `Drop`.
    ///
    /// If the channel is full, a task waits and sends the event.
    pub(crate) fn send_detached(&self, event: RouterEvent) {
        let Err(mpsc::error::TrySendError::Full(event)) = self.sender.try_send(event) else {
            return;
        };
        let sender = self.sender.clone();
        self.spawn(async move {
            // Fails only if the main loop has ended, and then the event is not needed.
            let _sent = sender.send(event).await;
        });
    }

    /// Spawns a task; drops it if no tokio runtime is running.
    #[expect(
        clippy::unused_self,
        reason = "only holders of a handle start tasks of the router"
    )]
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(task);
        }
    }

    /// Sends an inventory query and waits for the answer; `None` if the main loop has ended.
    pub async fn ask_inventory<T>(
        &self,
        event: impl FnOnce(oneshot::Sender<T>) -> InventoryEvent,
    ) -> Option<T> {
        self.ask(|reply| RouterEvent::Inventory(event(reply))).await
    }

    /// Sends a query and waits for the answer; `None` if the main loop has ended or dropped the query.
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
