//! An agent's main loop and HTTP handlers, not yet bound to sockets.

use std::fmt;
use std::sync::Arc;

use chicorystage_borders::http::Handler;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::agent::borders::AgentBorders;
use crate::agent::handle::AgentHandle;
use crate::agent::health_api::HealthApi;
use crate::agent::main_loop::AgentLoop;
use crate::agent::work_api::WorkApi;
use crate::settings::{AgentSettings, DaemonSettings};
use crate::timer::Clock;

/// Capacity of the main loop's event channel; senders wait while it is full.
const EVENTS_BUFFERED: usize = 4_096;

/// A running agent and the handlers of its two addresses.
pub struct AgentParts {
    /// Sends events to the main loop.
    pub handle: AgentHandle,
    /// Handles attempts and JSON-RPC calls on the internal address.
    pub internal_api: Arc<dyn Handler>,
    /// Handles health checks and metrics reads on the health address.
    pub health_api: Arc<dyn Handler>,
    /// Task of the main loop; it finishes when the agent has drained.
    pub main_loop: JoinHandle<()>,
}

impl AgentParts {
    /// Spawns an agent's main loop and its watcher tasks on the current runtime.
    #[must_use]
    pub fn start(
        daemon: DaemonSettings,
        settings: AgentSettings,
        borders: AgentBorders,
        clock: Clock,
    ) -> Self {
        let (sender, events) = mpsc::channel(EVENTS_BUFFERED);
        let handle = AgentHandle::new(sender);
        let main_loop = AgentLoop::new(daemon, settings, borders, handle.clone(), clock);
        let running = tokio::spawn(main_loop.run(events));
        Self {
            internal_api: Arc::new(WorkApi::new(handle.clone())),
            health_api: Arc::new(HealthApi::new(handle.clone())),
            handle,
            main_loop: running,
        }
    }
}

impl fmt::Debug for AgentParts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AgentParts").finish_non_exhaustive()
    }
}
