//! An agent without its sockets.

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

/// Events that wait for the loop at once.
const EVENTS_BUFFERED: usize = 4_096;

/// A running agent and the handlers of its two addresses.
pub struct AgentParts {
    /// Access to the main loop.
    pub handle: AgentHandle,
    /// Answers the system's own processes.
    pub internal_api: Arc<dyn Handler>,
    /// Answers health checks.
    pub health_api: Arc<dyn Handler>,
    /// The main loop.
    pub running: JoinHandle<()>,
}

impl AgentParts {
    /// Starts an agent's loop and tasks within the current runtime.
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
            running,
        }
    }
}

impl fmt::Debug for AgentParts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AgentParts").finish_non_exhaustive()
    }
}
