//! Handle through which tasks and HTTP handlers reach the agent's main loop.

use tokio::sync::{mpsc, oneshot};

use crate::agent::event::AgentEvent;

/// Sends events to the agent's main loop; clones share its bounded channel.
#[derive(Clone, Debug)]
pub struct AgentHandle {
    sender: mpsc::Sender<AgentEvent>,
}

impl AgentHandle {
    /// Creates a handle from the sending half of a loop's channel.
    #[must_use]
    pub fn new(sender: mpsc::Sender<AgentEvent>) -> Self {
        Self { sender }
    }

    /// Returns whether the main loop has ended.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends an event, waiting while the channel is full; returns false if the loop has ended.
    pub async fn send(&self, event: AgentEvent) -> bool {
        self.sender.send(event).await.is_ok()
    }

    /// Sends an event that carries a reply channel and waits for the reply.
    ///
    /// Returns `None` if the loop has ended.
    pub async fn ask<T>(&self, event: impl FnOnce(oneshot::Sender<T>) -> AgentEvent) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.sender.send(event(reply)).await.ok()?;
        answer.await.ok()
    }
}
