//! Assembles a router without its sockets, so that tests can run it in process.

use std::fmt;
use std::sync::Arc;

use chicorystage_borders::http::Handler;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::metrics::Metrics;
use crate::router::admin_api::AdminApi;
use crate::router::borders::RouterBorders;
use crate::router::caller_api::CallerApi;
use crate::router::handle::RouterHandle;
use crate::router::health_api::HealthApi;
use crate::router::internal_api::InternalApi;
use crate::router::main_loop::RouterLoop;
use crate::router::refresh;
use crate::router::serving::Dispatcher;
use crate::settings::{DaemonSettings, RouterSettings};
use crate::timer::Clock;

/// Capacity of the main loop's event channel.
const EVENTS_BUFFERED: usize = 4_096;

/// A running router and the handlers of its four addresses.
pub struct RouterParts {
    /// Handle that sends events to the main loop.
    pub handle: RouterHandle,
    /// Dispatches requests without HTTP.
    pub dispatcher: Dispatcher,
    /// Metrics of the router.
    pub metrics: Arc<Metrics>,
    /// Handler of the caller API.
    pub caller_api: Arc<dyn Handler>,
    /// Handler of the admin API.
    pub admin_api: Arc<dyn Handler>,
    /// Handler of the internal API, for other routers and agents.
    pub internal_api: Arc<dyn Handler>,
    /// Handler of health checks and metrics.
    pub health_api: Arc<dyn Handler>,
    /// Task of the main loop.
    pub main_loop: JoinHandle<()>,
}

impl RouterParts {
    /// Starts the router's main loop and tasks on the current tokio runtime.
    #[must_use]
    pub fn start(
        daemon: &DaemonSettings,
        settings: &RouterSettings,
        borders: RouterBorders,
        clock: Clock,
    ) -> Self {
        let (sender, events) = mpsc::channel(EVENTS_BUFFERED);
        let handle = RouterHandle::new(sender);
        refresh::spawn(&borders, &handle, clock);
        let main_loop = RouterLoop::new(
            daemon.clone(),
            settings.clone(),
            borders.clone(),
            handle.clone(),
            clock,
        );
        let metrics = Arc::new(Metrics::new());
        let main_loop = main_loop.with_metrics(Arc::clone(&metrics));
        let running = tokio::spawn(main_loop.run(events));
        let dispatcher = Dispatcher::new(handle.clone(), borders.clone(), clock);
        let dispatcher = dispatcher.with_metrics(Arc::clone(&metrics));
        let caller_api = CallerApi::new(dispatcher.clone());
        let admin_api = AdminApi::new(daemon, settings, borders, handle.clone(), clock);
        Self {
            caller_api: Arc::new(caller_api),
            admin_api: Arc::new(admin_api),
            internal_api: Arc::new(InternalApi::new(handle.clone())),
            health_api: Arc::new(HealthApi::new(handle.clone(), Arc::clone(&metrics))),
            handle,
            dispatcher,
            metrics,
            main_loop: running,
        }
    }
}

impl fmt::Debug for RouterParts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RouterParts").finish_non_exhaustive()
    }
}
