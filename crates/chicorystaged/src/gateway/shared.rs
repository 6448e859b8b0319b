//! The state that the tasks of a gateway share.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;

use chicorystage_api::name::EndpointId;
use chicorystage_core::deployment::Configuration;
use chicorystage_core::fleet::Endpoint;
use chicorystage_core::lease::OrderLease;
use chicorystage_core::orders::{BookSettings, OrderBook};
use chicorystage_core::retry::SharedBudget;
use chicorystage_platform::store::StoreClient;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, watch};

use crate::gateway::pool::Pool;
use crate::gateway::view::View;
use crate::metrics::GatewayMetrics;
use crate::settings::GatewaySettings;
use crate::timer::{Clock, boot_ms};

/// Share of a core with which a VM gives orders to many engines with ease.
const ORDERING_CPU_SHARE: f64 = 0.4;
/// Time that the weakest VM leaves a free lease to others, in milliseconds.
const DEFERENCE_MS: f64 = 1_200.0;

/// A gateway's parts.
pub struct Gateway {
    /// Settings that the process started with.
    pub settings: GatewaySettings,
    /// Start of the process on the VM's boot clock; no two processes of a VM share it.
    pub incarnation: u64,
    /// Counters and histograms.
    pub metrics: Arc<GatewayMetrics>,
    /// Connections to endpoints.
    pub pool: Pool,
    /// Notified when a waiting request may find an endpoint.
    pub room_changed: Notify,
    /// Notified when the gateway that gives orders should hear of a request.
    pub want_changed: Notify,
    /// Notified when the plan of orders should be looked at.
    pub plan_changed: Notify,
    /// Notified when another gateway follows a newer configuration.
    pub newer_configuration: Notify,
    /// Whether the gateway has begun to stop.
    pub is_stopping: Cell<bool>,
    /// Whether the lease on orders has been given up for good.
    pub has_released: Cell<bool>,
    /// Becomes true when callers' connections are to be closed.
    pub closing: watch::Sender<bool>,
    /// Becomes true when requests without an answer get their final one.
    pub ending: watch::Sender<bool>,
    /// Version of this gateway's own row in the store.
    pub own_row_version: Cell<u64>,
    /// Store, for short calls.
    pub store: StoreClient,
    /// Engines, as far as this gateway gives orders.
    pub book: RefCell<OrderBook>,
    lease: RefCell<OrderLease>,
    peer_socket: RefCell<Option<Rc<UdpSocket>>>,
    clock: Clock,
    view: RefCell<View>,
}

impl Gateway {
    /// Creates the parts of a gateway.
    #[must_use]
    pub fn new(settings: GatewaySettings) -> Self {
        let budget = SharedBudget::new(
            settings.retry_ratio,
            settings.retry_allowance,
            settings.retry_window_ms,
        );
        let incarnation = boot_ms();
        let lease = OrderLease::new(
            settings.vm.clone(),
            incarnation,
            settings.lease_ms,
            settings.endpoints_check_epoch,
        )
        .with_deference_ms(deference_ms(settings.cpu_share));
        let book = OrderBook::new(BookSettings {
            ceiling_window_ms: settings.ceiling_window_ms,
            ceiling_factor: settings.ceiling_factor,
        });
        Self {
            incarnation,
            plan_changed: Notify::new(),
            newer_configuration: Notify::new(),
            ending: watch::Sender::new(false),
            has_released: Cell::new(false),
            closing: watch::Sender::new(false),
            own_row_version: Cell::new(0),
            store: StoreClient::new(settings.store, settings.store_timeout_ms),
            book: RefCell::new(book),
            lease: RefCell::new(lease),
            peer_socket: RefCell::new(None),
            metrics: Arc::new(GatewayMetrics::new()),
            pool: Pool::default(),
            room_changed: Notify::new(),
            want_changed: Notify::new(),
            is_stopping: Cell::new(false),
            clock: Clock::start(),
            view: RefCell::new(View::new(budget)),
            settings,
        }
    }

    /// Returns the time since the process started, in milliseconds.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Returns the timer service.
    #[must_use]
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Makes one decision on the view.
    pub fn with<T>(&self, decide: impl FnOnce(&mut View) -> T) -> T {
        decide(&mut self.view.borrow_mut())
    }

    /// Changes what is known of an endpoint, if it is still there.
    pub fn with_endpoint(&self, id: &EndpointId, change: impl FnOnce(&mut Endpoint)) {
        let mut view = self.view.borrow_mut();
        if let Some(endpoint) = view.fleet.get_mut(id) {
            change(endpoint);
        }
    }

    /// Takes one retry from the budget that the gateways share; returns whether there was one.
    #[must_use]
    pub fn take_retry(&self, now_ms: u64) -> bool {
        self.with(|view| {
            let gateways = view.gateways();
            view.budget.take(now_ms, gateways)
        })
    }

    /// Makes one decision on the lease.
    pub fn lease<T>(&self, decide: impl FnOnce(&mut OrderLease) -> T) -> T {
        decide(&mut self.lease.borrow_mut())
    }

    /// Returns once callers' connections are to be closed.
    pub async fn closing(&self) {
        // The sender lives as long as the gateway.
        let mut closing = self.closing.subscribe();
        let _changed = closing.wait_for(|is_true| *is_true).await;
    }

    /// Returns once requests without an answer get their final one.
    pub async fn ending(&self) {
        // The sender lives as long as the gateway.
        let mut ending = self.ending.subscribe();
        let _changed = ending.wait_for(|is_true| *is_true).await;
    }

    /// Sets the socket of the messages between gateways.
    pub fn set_peer_socket(&self, socket: Rc<UdpSocket>) {
        *self.peer_socket.borrow_mut() = Some(socket);
    }

    /// Returns the socket of the messages between gateways.
    #[must_use]
    pub fn peer_socket(&self) -> Option<Rc<UdpSocket>> {
        self.peer_socket.borrow().clone()
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.view.borrow().configuration.clone()
    }

    /// Returns whether the balancer should send connections here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let view = self.view.borrow();
        !self.is_stopping.get() && view.configuration.is_some() && view.has_endpoints
    }

    /// Returns whether the gateway that gives orders was heard of within `silence_ms`.
    #[must_use]
    pub fn hears_holder(&self, silence_ms: u64) -> bool {
        let now_ms = self.now_ms();
        let view = self.view.borrow();
        let Some(holder) = &view.order_holder else {
            return false;
        };
        let heard_ms = view.peers.get(holder).and_then(|peer| peer.heard_ms);
        *holder == self.settings.vm || heard_ms.is_some_and(|at_ms| now_ms < at_ms + silence_ms)
    }

    /// Returns the address of an endpoint.
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

/// Returns how long a VM leaves a free lease to stronger ones, in milliseconds.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a part of a constant that is far below the mantissa"
)]
fn deference_ms(cpu_share: f64) -> u64 {
    let lacking = (ORDERING_CPU_SHARE - cpu_share).max(0.0) / ORDERING_CPU_SHARE;
    (DEFERENCE_MS * lacking) as u64
}
