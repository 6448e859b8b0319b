//! Typed access to the router's main loop.

use chicorystage_api::name::{Digest, GroupName, ModelName, VmId};
use chicorystage_api::peer::RouterStatus;
use chicorystage_api::refusal::{Refusal, RefusalCode};
use tokio::sync::{mpsc, oneshot};

use crate::router::event::{Admission, Choice, RouterEvent, Target};
use crate::router::inventory::InventoryEvent;

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
    pub async fn choose(
        &self,
        group: GroupName,
        model: Option<ModelName>,
        avoid: Vec<VmId>,
    ) -> Result<Choice, Refusal> {
        self.ask(|reply| RouterEvent::Choose {
            group,
            model,
            avoid,
            reply,
        })
        .await
        .unwrap_or_else(|| Err(stopped()))
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
