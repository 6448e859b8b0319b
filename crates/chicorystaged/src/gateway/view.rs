//! What a gateway knows and has in progress.

use std::collections::HashMap;
use std::sync::Arc;

use chicorystage_api::name::{AdapterName, EndpointId, ModelName, VmId};
use chicorystage_core::deployment::Configuration;
use chicorystage_core::fleet::FleetView;
use chicorystage_core::orders::DemandBook;
use chicorystage_core::retry::SharedBudget;
use chicorystage_core::suspects::SuspectList;

use crate::gateway::waiter::Waiter;

/// Time after which a silent gateway no longer counts as alive, in milliseconds.
const PEER_ALIVE_MS: u64 = 3_000;

/// Gateways up to which periods keep their shortest length.
const FEW_GATEWAYS: usize = 8;

/// What a gateway knows and has in progress.
#[derive(Debug)]
pub struct View {
    /// Configuration in force; none before the first was read.
    pub configuration: Option<Arc<Configuration>>,
    /// Whether the endpoints were read at least once.
    pub has_endpoints: bool,
    /// Endpoints.
    pub fleet: FleetView,
    /// What callers ask for, here and at the other gateways.
    pub demand: DemandBook,
    /// Retries that this gateway may still make.
    pub budget: SharedBudget,
    /// Requests under which connections broke.
    pub suspects: SuspectList,
    /// Requests that wait for an endpoint.
    pub waiters: Vec<Waiter>,
    /// Requests since the last message to the other gateways, by model.
    pub asked: HashMap<ModelName, (u32, u64)>,
    /// Adapters asked for since the last message to the other gateways.
    pub asked_adapters: Vec<(ModelName, AdapterName)>,
    /// Requests in progress by endpoint, as the other gateways were told last.
    pub load_sent: HashMap<EndpointId, u32>,
    /// Other gateways that are registered, with the time of their last message.
    pub peers: HashMap<VmId, Peer>,
    /// Gateway that holds the lease on orders, as far as is known.
    pub order_holder: Option<VmId>,
    /// Time until which endpoints that the registry lost are kept, in milliseconds.
    pub registry_doubt_until_ms: u64,
    /// Requests in progress.
    pub in_progress: u32,
    /// Number of the next request.
    pub next_number: u64,
}

/// Another gateway.
#[derive(Clone, Copy, Debug)]
pub struct Peer {
    /// Address of its datagrams.
    pub address: std::net::SocketAddr,
    /// Time of its last message, in milliseconds; none before the first.
    pub heard_ms: Option<u64>,
}

/// Returns a period that grows with the number of gateways beyond a few.
#[must_use]
pub fn shared_period_ms(shortest_ms: u64, gateways: usize) -> u64 {
    let factor = gateways.div_ceil(FEW_GATEWAYS);
    shortest_ms * u64::try_from(factor).unwrap_or(u64::MAX)
}

impl View {
    /// Creates the view of a gateway that knows nothing.
    #[must_use]
    pub fn new(budget: SharedBudget) -> Self {
        Self {
            configuration: None,
            has_endpoints: false,
            fleet: FleetView::default(),
            demand: DemandBook::default(),
            budget,
            suspects: SuspectList::default(),
            waiters: Vec::new(),
            asked: HashMap::new(),
            asked_adapters: Vec::new(),
            load_sent: HashMap::new(),
            peers: HashMap::new(),
            order_holder: None,
            registry_doubt_until_ms: 0,
            in_progress: 0,
            next_number: 0,
        }
    }

    /// Returns the number of gateways that may be at work, this one included.
    #[must_use]
    pub fn gateways(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns the addresses of gateways that were heard of lately.
    pub fn live_peers(&self, now_ms: u64) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |peer| {
            peer.heard_ms
                .is_some_and(|heard_ms| now_ms < heard_ms + PEER_ALIVE_MS)
        })
    }
}
