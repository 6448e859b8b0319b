//! A gateway's view of configuration, endpoints, other gateways and its own requests.

use std::collections::HashMap;
use std::sync::Arc;

use chicorystage_api::name::{AdapterName, EndpointId, ModelName, VmId};
use chicorystage_core::deployment::Configuration;
use chicorystage_core::fleet::FleetView;
use chicorystage_core::orders::DemandTracker;
use chicorystage_core::quota::{QuotaLedger, QuotaTerms};
use chicorystage_core::registry::{AbsenceTracker, Departures};
use chicorystage_core::retry::ServiceRetryBudgets;
use chicorystage_core::stream_origins::{BegunStreams, SoftwareHistory};
use chicorystage_core::suspects::SuspectList;
use chicorystage_core::suspects::prompt_parts::PartEvidence;

use crate::gateway::waiter::Waiter;

/// Time since the last message after which a gateway no longer counts as live, in milliseconds.
const PEER_ALIVE_MS: u64 = 3_000;

/// Number of gateways that is assumed before their table has been read.
pub const GATEWAYS_UNKNOWN: usize = 64;

/// Number of gateways up to which shared periods keep their shortest length.
const GATEWAYS_PER_PERIOD: usize = 8;

/// A gateway's state of the fleet, demand, other gateways and its own requests.
///
/// Times are on the gateway's clock.
#[derive(Debug)]
pub struct View {
    /// Configuration in force; `None` before the first was read.
    pub configuration: Option<Arc<Configuration>>,
    /// Whether the endpoints' table has been read at least once.
    pub has_endpoints: bool,
    /// Registered endpoints with their load and placement.
    pub fleet: FleetView,
    /// Demand for models and adapters at all gateways.
    pub demand: DemandTracker,
    /// This gateway's part of the retry budgets that all gateways share.
    pub retries: ServiceRetryBudgets,
    /// What teams have used of their quotas.
    pub quotas: QuotaLedger,
    /// Requests suspected or known to crash endpoints.
    pub suspects: SuspectList,
    /// Crashes of endpoints with the prompt parts that may have caused them.
    pub part_evidence: PartEvidence,
    /// Software versions of streams that began lately.
    pub begun_streams: BegunStreams,
    /// Software versions that served lately.
    pub software: SoftwareHistory,
    /// Wait queue of requests without an endpoint, in no particular order.
    pub waiters: Vec<Waiter>,
    /// Requests since the last load update by model, with the shortest latency objective in
    /// milliseconds.
    pub requested: HashMap<ModelName, (u32, u64)>,
    /// Adapters requested since the last load update, one entry for each request.
    pub requested_adapters: Vec<(ModelName, AdapterName)>,
    /// Requests in progress by endpoint in this gateway's last load update.
    pub load_sent: HashMap<EndpointId, u32>,
    /// Requests that wait for a model in this gateway's last load update, by model.
    pub waiting_sent: HashMap<ModelName, u32>,
    /// Requests that wait for a model at the other gateways, as last reported, by model.
    pub others_waiting: HashMap<ModelName, u32>,
    /// Whether the table of gateways has been read at least once.
    pub has_peers: bool,
    /// Other registered gateways.
    pub peers: HashMap<VmId, Peer>,
    /// Gateway that holds the lease on orders; `None` where none is known.
    pub lease_holder: Option<VmId>,
    /// Endpoints without a registry entry that may register again.
    pub absences: AbsenceTracker,
    /// Endpoints that have left lately.
    pub departures: Departures,
    /// Number of requests in progress at this gateway, waiting ones included.
    pub in_progress: u32,
    /// Arrival number that the next waiting request gets.
    pub next_number: u64,
}

/// Another registered gateway.
#[derive(Clone, Copy, Debug)]
pub struct Peer {
    /// Address at which it receives datagrams.
    pub address: std::net::SocketAddr,
    /// Time of its last message, in milliseconds; `None` before the first.
    pub last_message_ms: Option<u64>,
}

/// Returns a period of `shortest_ms` for each `GATEWAYS_PER_PERIOD` gateways, rounded up, in
/// milliseconds.
///
/// The growing period bounds the total rate of messages or calls of all gateways.
#[must_use]
pub fn shared_period_ms(shortest_ms: u64, gateways: usize) -> u64 {
    let factor = gateways.div_ceil(GATEWAYS_PER_PERIOD);
    shortest_ms * u64::try_from(factor).unwrap_or(u64::MAX)
}

impl View {
    /// Creates an empty view, as before the first read of the store.
    ///
    /// Endpoints renew their registry entries every `heartbeat_ms`, and quotas of teams hold on the
    /// given terms.
    #[must_use]
    pub fn new(retries: ServiceRetryBudgets, heartbeat_ms: u64, quota_terms: QuotaTerms) -> Self {
        Self {
            configuration: None,
            has_endpoints: false,
            fleet: FleetView::default(),
            demand: DemandTracker::default(),
            retries,
            quotas: QuotaLedger::new(quota_terms),
            suspects: SuspectList::default(),
            part_evidence: PartEvidence::default(),
            begun_streams: BegunStreams::default(),
            software: SoftwareHistory::default(),
            waiters: Vec::new(),
            requested: HashMap::new(),
            requested_adapters: Vec::new(),
            load_sent: HashMap::new(),
            waiting_sent: HashMap::new(),
            others_waiting: HashMap::new(),
            has_peers: false,
            peers: HashMap::new(),
            lease_holder: None,
            absences: AbsenceTracker::new(heartbeat_ms),
            departures: Departures::default(),
            in_progress: 0,
            next_number: 0,
        }
    }

    /// Returns the number of registered gateways, this one included.
    #[must_use]
    pub fn gateways(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns the number of registered gateways, or `unknown` before their table has been read.
    #[must_use]
    pub fn gateways_or(&self, unknown: usize) -> usize {
        if self.has_peers {
            self.gateways()
        } else {
            unknown
        }
    }

    /// Returns the other gateways that have sent a message within the last three seconds.
    pub fn live_peers(&self, now_ms: u64) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |peer| {
            peer.last_message_ms
                .is_some_and(|last_ms| now_ms < last_ms + PEER_ALIVE_MS)
        })
    }
}
