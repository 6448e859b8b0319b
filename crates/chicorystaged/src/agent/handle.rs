//! Typed access to the agent's main loop.

use tokio::sync::{mpsc, oneshot};

use crate::agent::event::AgentEvent;

/// Sends events to the agent's main loop.
#[derive(Clone, Debug)]
pub struct AgentHandle {
    sender: mpsc::Sender<AgentEvent>,
}

impl AgentHandle {
    /// Creates a handle on a loop's channel.
    #[must_use]
    pub fn new(sender: mpsc::Sender<AgentEvent>) -> Self {
        Self { sender }
    }

    /// Returns whether the loop has ended.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Tells the loop something; returns false where it has ended.
    pub async fn tell(&self, event: AgentEvent) -> bool {
        self.sender.send(event).await.is_ok()
    }

    /// Asks the loop something; none where it has ended.
    pub async fn ask<T>(&self, event: impl FnOnce(oneshot::Sender<T>) -> AgentEvent) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.sender.send(event(reply)).await.ok()?;
        answer.await.ok()
    }
}
