use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard};

use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::audit::EndpointAudit;
use crate::calls::{CallerAnswer, CallerRequest, SendError, send};
use crate::chaos::payout_tracker::PayoutTracker;
use crate::chaos::tally::Tally;
use crate::deployment::Deployment;

/// State that the callers, the operator and the fault loop share.
#[derive(Debug)]
pub(super) struct SharedState {
    pub(super) routers: Vec<RouterAddress>,
    pub(super) root_token: String,
    pub(super) application: String,
    seed: u64,
    tally: Mutex<Tally>,
    payouts: Mutex<PayoutTracker>,
    stopped: watch::Sender<bool>,
}

/// Addresses of a router, with counts of the faults injected into its process.
#[derive(Debug)]
pub(super) struct RouterAddress {
    pub(super) caller_api: SocketAddr,
    pub(super) admin_api: SocketAddr,
    kills: AtomicU32,
    stops: AtomicU32,
}

impl RouterAddress {
    /// Counts that the router's process is about to be killed.
    pub(super) fn record_kill(&self) {
        self.kills.fetch_add(1, Ordering::SeqCst);
    }

    /// Counts that the router's process is about to be paused by a stop signal.
    pub(super) fn record_stop(&self) {
        self.stops.fetch_add(1, Ordering::SeqCst);
    }

    pub(super) fn kills(&self) -> u32 {
        self.kills.load(Ordering::SeqCst)
    }

    pub(super) fn stops(&self) -> u32 {
        self.stops.load(Ordering::SeqCst)
    }
}

impl SharedState {
    pub(super) fn new(deployment: &Deployment, seed: u64) -> Self {
        let routers = deployment.routers.iter().filter_map(|router| {
            Some(RouterAddress {
                caller_api: router.caller_api()?,
                admin_api: router.admin_api()?,
                kills: AtomicU32::new(0),
                stops: AtomicU32::new(0),
            })
        });
        Self {
            routers: routers.collect(),
            root_token: deployment.config.root_token.clone(),
            application: deployment.config.service_group.clone(),
            seed,
            tally: Mutex::default(),
            payouts: Mutex::default(),
            stopped: watch::Sender::new(false),
        }
    }

    /// Returns a random number generator for one part of the run, derived from the seed.
    pub(super) fn rng(&self, part: u64) -> StdRng {
        StdRng::seed_from_u64(self.seed.wrapping_mul(1_000).wrapping_add(part))
    }

    pub(super) fn tally(&self) -> MutexGuard<'_, Tally> {
        self.tally.lock().expect("no holder of the lock panics")
    }

    pub(super) fn payouts(&self) -> MutexGuard<'_, PayoutTracker> {
        self.payouts.lock().expect("no holder of the lock panics")
    }

    pub(super) fn stop(&self) {
        self.stopped.send_replace(true);
    }

    pub(super) fn is_stopped(&self) -> bool {
        *self.stopped.borrow()
    }

    pub(super) async fn send_admin(
        &self,
        router: usize,
        request: &CallerRequest,
    ) -> Result<CallerAnswer, SendError> {
        send_to(self.routers[router].admin_api, request).await
    }

    pub(super) fn print(&self, seed: u64, minutes: u64, audit: &EndpointAudit) {
        println!("seed {seed}, {minutes} minutes");
        self.tally().print();
        self.payouts().print();
        println!(
            "engines: {} completions, {} loads, {} runs; overcommits {}, double loads {}",
            audit.completions,
            audit.loads,
            audit.engine_runs,
            audit.overcommits,
            audit.double_loads
        );
        let highest = audit.replicas_highest.values().max().copied();
        println!(
            "replicas of a model at once, highest: {}",
            highest.unwrap_or(0)
        );
    }
}

pub(super) async fn send_to(
    address: SocketAddr,
    request: &CallerRequest,
) -> Result<CallerAnswer, SendError> {
    let connection = TcpStream::connect(address)
        .await
        .map_err(|error| SendError::NotConnected(error.to_string()))?;
    send(connection, request).await
}
