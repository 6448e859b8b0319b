//! State that the tasks of a gateway share.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;

use chicorystage_api::name::{Digest, EndpointId, ServiceName};
use chicorystage_core::deployment::Configuration;
use chicorystage_core::fleet::{Endpoint, holder_silence_ms};
use chicorystage_core::lease::{OrderLease, acquisition_delay_ms};
use chicorystage_core::orders::{OrderTracker, OrderTrackerSettings};
use chicorystage_core::request_limit::LimitAllocator;
use chicorystage_core::retry::{BudgetShare, RetryBudgetSettings, ServiceRetryBudgets};
use chicorystage_core::store_era::StoreEra;
use chicorystage_core::teams::{ConfirmedView, KeyHasher};
use chicorystage_platform::store::StoreClient;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, watch};

use crate::gateway::body_budget::BodyBudget;
use crate::gateway::caller_connections::CallerConnections;
use crate::gateway::crash_checks::CrashChecks;
use crate::gateway::era_row::EraRow;
use crate::gateway::part_trials::PartTrials;
use crate::gateway::pool::Pool;
use crate::gateway::retry_decision::RetryDecision;
use crate::gateway::software_rows::SoftwareRows;
use crate::gateway::stream_rows::StreamRows;
use crate::gateway::view::View;
use crate::metrics::GatewayMetrics;
use crate::settings::GatewaySettings;
use crate::timer::{Clock, boot_ms};

/// Shared state of a gateway: settings, view of the fleet, connections and notifications.
pub struct Gateway {
    /// Settings at the start of the process, with the ports that were bound.
    pub settings: GatewaySettings,
    /// Start of the process on the VM's boot clock, in milliseconds; differs between
    /// the processes of one VM.
    pub incarnation: u64,
    /// Counters and histograms.
    pub metrics: Arc<GatewayMetrics>,
    /// Idle connections to endpoints.
    pub pool: Pool,
    /// Notified when an endpoint may have gained capacity for a waiting request.
    pub capacity_changed: Notify,
    /// Notified when the lease holder should receive new demand without delay.
    pub demand_changed: Notify,
    /// Notified when orders should be planned again.
    pub plan_changed: Notify,
    /// Notified when another gateway has a newer configuration in force.
    pub newer_configuration: Notify,
    /// Notified when the endpoints' table is read again after failed calls.
    pub store_regained: Notify,
    /// Notified when endpoints without a registry entry may have to be removed at another time.
    pub absences_changed: Notify,
    /// Whether the gateway has begun to stop.
    pub is_stopping: Cell<bool>,
    /// Time at which the process ends at the latest, in milliseconds; `None` before the stop begins.
    pub stop_end_ms: Cell<Option<u64>>,
    /// Memory for the bodies of requests.
    pub body_budget: Rc<BodyBudget>,
    /// Open connections of callers.
    pub caller_connections: Rc<CallerConnections>,
    /// Whether this gateway has released the lease on orders for good.
    pub has_released_lease: Cell<bool>,
    /// Becomes true when callers' connections shut down and new requests are refused.
    pub closing: watch::Sender<bool>,
    /// Becomes true when requests without an answer are ended by a final error.
    pub aborting: watch::Sender<bool>,
    /// Notified when a request or a prompt part has been quarantined.
    pub quarantined: watch::Sender<()>,
    /// Digests of the quarantines that the store has, as last read.
    pub(super) stored_quarantines: RefCell<HashSet<Digest>>,
    /// Pace of the requests that test quarantines of prompt parts.
    pub part_trials: PartTrials,
    /// Notified when requests want limited endpoints or a limit has changed.
    pub limits_changed: Notify,
    /// Divides the limits of endpoints among gateways while this gateway holds the lease.
    pub limit_allocator: RefCell<LimitAllocator>,
    /// Checks of endpoints that may have crashed.
    pub crash_checks: CrashChecks,
    /// Notified when another gateway has told the software version of a stream.
    pub stream_told: Notify,
    /// Versions of the rows of software histories in the store.
    pub software_rows: SoftwareRows,
    /// Streams that callers may take up again, and the row that keeps them.
    pub stream_rows: StreamRows,
    /// Computes the digests under which API keys are kept.
    pub key_hasher: KeyHasher,
    /// When the configuration in force was confirmed as the newest, on the VM's boot clock.
    pub(super) confirmed: Cell<ConfirmedView>,
    /// Last known version of this gateway's own row in the store; 0 where there is none.
    pub own_row_version: Cell<u64>,
    /// Newest era of the store that was seen, on the VM's boot clock; `None` before the first answer.
    pub store_era: Cell<Option<StoreEra>>,
    /// Row that states since when the store has been in its era.
    pub(super) era_row: EraRow,
    /// Start of the last answered read of the endpoints' table, on the VM's boot clock, in milliseconds.
    pub(super) registry_read_boot_ms: Cell<u64>,
    /// Start of an earlier gateway process on this VM, on the VM's boot clock, in milliseconds;
    /// `None` if no row of one was seen.
    pub previous_incarnation: Cell<Option<u64>>,
    /// Whether this gateway's own row is written, so that the others count it.
    pub is_registered: Cell<bool>,
    /// Client of the store for calls that do not wait for changes.
    pub store: StoreClient,
    /// State of engines and of the orders sent to them, used while this gateway holds the lease.
    pub engine_tracker: RefCell<OrderTracker>,
    lease: RefCell<OrderLease>,
    peer_socket: RefCell<Option<Rc<UdpSocket>>>,
    clock: Clock,
    view: RefCell<View>,
}

impl Gateway {
    /// Creates the state of a gateway that has not read the store yet.
    #[must_use]
    pub fn new(settings: GatewaySettings) -> Self {
        let clock = Clock::start();
        let budget = RetryBudgetSettings {
            ratio: settings.retry_ratio,
            allowance: settings.retry_allowance,
            window_ms: settings.retry_window_ms,
        };
        let retries = ServiceRetryBudgets::new(budget, clock.now_ms());
        let view = View::new(retries, settings.heartbeat_ms, settings.quota_terms);
        let incarnation = boot_ms();
        let lease = OrderLease::new(
            settings.vm.clone(),
            incarnation,
            settings.lease_ms,
            settings.endpoints_check_epoch,
        )
        .with_acquisition_delay_ms(acquisition_delay_ms(settings.cpu_share));
        let engine_tracker = OrderTracker::new(OrderTrackerSettings {
            ceiling_window_ms: settings.ceiling_window_ms,
            ceiling_factor: settings.ceiling_factor,
            endpoints_check_epoch: settings.endpoints_check_epoch,
        });
        Self {
            incarnation,
            plan_changed: Notify::new(),
            newer_configuration: Notify::new(),
            store_regained: Notify::new(),
            absences_changed: Notify::new(),
            aborting: watch::Sender::new(false),
            has_released_lease: Cell::new(false),
            closing: watch::Sender::new(false),
            quarantined: watch::Sender::new(()),
            stream_told: Notify::new(),
            software_rows: SoftwareRows::default(),
            stream_rows: StreamRows::default(),
            stored_quarantines: RefCell::default(),
            part_trials: PartTrials::default(),
            limits_changed: Notify::new(),
            limit_allocator: RefCell::default(),
            crash_checks: CrashChecks::default(),
            key_hasher: KeyHasher::new(rand::random()),
            confirmed: Cell::default(),
            own_row_version: Cell::new(0),
            store_era: Cell::new(None),
            era_row: EraRow::default(),
            registry_read_boot_ms: Cell::new(0),
            previous_incarnation: Cell::new(None),
            is_registered: Cell::new(false),
            store: StoreClient::new(settings.store, settings.store_timeout_ms),
            engine_tracker: RefCell::new(engine_tracker),
            lease: RefCell::new(lease),
            peer_socket: RefCell::new(None),
            metrics: Arc::new(GatewayMetrics::new()),
            pool: Pool::default(),
            capacity_changed: Notify::new(),
            demand_changed: Notify::new(),
            is_stopping: Cell::new(false),
            stop_end_ms: Cell::new(None),
            body_budget: Rc::new(BodyBudget::new(settings.body_memory_bytes)),
            caller_connections: Rc::default(),
            clock,
            view: RefCell::new(view),
            settings,
        }
    }

    /// Returns the time since the process started, in milliseconds.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Returns the clock that [`Self::now_ms`] reads.
    #[must_use]
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Calls `decide` with exclusive access to the view; it must not call back into the gateway.
    pub fn with<T>(&self, decide: impl FnOnce(&mut View) -> T) -> T {
        decide(&mut self.view.borrow_mut())
    }

    /// Calls `change` with an endpoint's state, if the endpoint is still known.
    pub fn with_endpoint(&self, id: &EndpointId, change: impl FnOnce(&mut Endpoint)) {
        let mut view = self.view.borrow_mut();
        if let Some(endpoint) = view.fleet.get_mut(id) {
            change(endpoint);
        }
    }

    /// Decides on a retry at a service and counts it as in flight if it is granted.
    ///
    /// The others count this gateway only once it is registered, and it must know them.
    #[must_use]
    pub(super) fn decide_retry(&self, now_ms: u64, service: &ServiceName) -> RetryDecision {
        let decision = self.with_retries(|retries, share| RetryDecision {
            usage: retries.usage(now_ms, service, share),
            is_granted: retries.try_take(now_ms, service, share),
            share,
        });
        self.metrics.count_retry(service, decision.is_granted);
        decision
    }

    /// Returns whether the budget of a service has a retry left now, without taking it.
    #[must_use]
    pub(super) fn has_retry(&self, now_ms: u64, service: &ServiceName) -> bool {
        self.with_retries(|retries, share| retries.usage(now_ms, service, share).allows_retry())
    }

    /// Calls `decide` with the retry budgets and this gateway's share of them.
    fn with_retries<T>(
        &self,
        decide: impl FnOnce(&mut ServiceRetryBudgets, Option<BudgetShare>) -> T,
    ) -> T {
        let predecessor = self.predecessor();
        let is_registered = self.is_registered.get();
        self.with(|view| {
            let share = (is_registered && view.has_peers).then(|| BudgetShare {
                routers: view.gateways(),
                predecessor,
            });
            decide(&mut view.retries, share)
        })
    }

    /// Calls `decide` with exclusive access to the lease.
    pub fn lease<T>(&self, decide: impl FnOnce(&mut OrderLease) -> T) -> T {
        decide(&mut self.lease.borrow_mut())
    }

    /// Returns whether the process may end before a request that is due at `ends_ms` is answered.
    ///
    /// Such a request had better go to another gateway than to an endpoint, once no request is taken
    /// here any more.
    #[must_use]
    pub fn may_stop_before(&self, ends_ms: u64) -> bool {
        let stop_end_ms = self.stop_end_ms.get();
        *self.closing.borrow() && stop_end_ms.is_some_and(|stop_end_ms| stop_end_ms < ends_ms)
    }

    /// Waits until callers' connections shut down.
    pub async fn closing(&self) {
        // The sender lives as long as the gateway.
        let mut closing = self.closing.subscribe();
        let _changed = closing.wait_for(|is_true| *is_true).await;
    }

    /// Waits until requests without an answer are ended by a final error.
    pub async fn aborting(&self) {
        // The sender lives as long as the gateway.
        let mut aborting = self.aborting.subscribe();
        let _changed = aborting.wait_for(|is_true| *is_true).await;
    }

    /// Sets the socket for messages between gateways.
    pub fn set_peer_socket(&self, socket: Rc<UdpSocket>) {
        *self.peer_socket.borrow_mut() = Some(socket);
    }

    /// Returns the socket for messages between gateways; `None` before it is set.
    #[must_use]
    pub fn peer_socket(&self) -> Option<Rc<UdpSocket>> {
        self.peer_socket.borrow().clone()
    }

    /// Returns the configuration in force; `None` before the first was read.
    #[must_use]
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.view.borrow().configuration.clone()
    }

    /// Returns whether the load balancer should send new connections to this gateway.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        if self.lacks_confirmation() {
            return false;
        }
        let view = self.view.borrow();
        let is_read = view.configuration.is_some() && view.has_endpoints && view.has_peers;
        is_read && !self.is_stopping.get()
    }

    /// Returns whether the lease holder is this gateway or has sent a message lately.
    #[must_use]
    pub fn has_recent_holder(&self) -> bool {
        let now_ms = self.now_ms();
        let view = self.view.borrow();
        let silence_ms = holder_silence_ms(view.gateways());
        let Some(holder) = &view.lease_holder else {
            return false;
        };
        let last_message_ms = view.peers.get(holder).and_then(|peer| peer.last_message_ms);
        *holder == self.settings.vm
            || last_message_ms.is_some_and(|at_ms| now_ms < at_ms + silence_ms)
    }

    /// Returns the address of an endpoint; `None` where it is not registered.
    #[must_use]
    pub fn address_of(&self, id: &EndpointId) -> Option<std::net::SocketAddr> {
        let view = self.view.borrow();
        view.fleet.get(id).map(|endpoint| endpoint.entry.address)
    }
}

impl fmt::Debug for Gateway {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gateway")
            .field("vm", &self.settings.vm)
            .field("incarnation", &self.incarnation)
            .finish_non_exhaustive()
    }
}
