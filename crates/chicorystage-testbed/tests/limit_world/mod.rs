//! Gateways as processes before endpoints that name limits, with a steady load and an audit of
//! arrivals.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use chicorystage_testbed::users_platform::{
    CallerReply, EndpointEmulator, PlatformFixture, Reply, call,
};
use googletest::prelude::*;
use http::Method;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::Instant;

use crate::process_set::ProcessSet;

/// Time from the first answer that names a limit to the time at which it must be kept, in
/// milliseconds.
pub const CONTACT_MS: u64 = 3_000;
/// Length of the windows in which arrivals are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;
/// Arrivals in a window that the platform allows, as a multiple of the limit.
const EXCESS_FACTOR: f64 = 1.5;
/// Arrivals in a window that it allows beyond that.
const EXCESS_REQUESTS: f64 = 5.0;
/// Time after which a test caller gives up, in milliseconds.
const DEADLINE_MS: &str = "3000";
const MS_PER_S: f64 = 1_000.0;

/// A caller's result and how long it took.
#[derive(Debug)]
pub struct Outcome {
    /// Answer; `None` if the connection broke.
    pub reply: Option<CallerReply>,
    /// Time from the request to the whole answer, in milliseconds.
    pub time_ms: u128,
    /// Start of the request.
    pub began: Instant,
}

/// Gateways as processes before endpoints of one service.
pub struct World {
    pub gateways: ProcessSet,
    pub endpoints: Vec<EndpointEmulator>,
    count: usize,
    /// Emulator of the store, which serves for as long as it is kept.
    _platform: PlatformFixture,
    outcomes: Rc<RefCell<Vec<Outcome>>>,
    sent: Rc<Cell<u64>>,
}

impl World {
    /// Starts `count` gateways before `endpoints` endpoints; `name` names the folder of their files.
    pub async fn start(name: &str, count: usize, endpoints: usize) -> Result<Self> {
        let platform = PlatformFixture::start().await.or_fail()?;
        platform.declare(1);
        let mut emulators = Vec::new();
        for number in 0..endpoints {
            let reply = Reply::Complete {
                status: 200,
                body: "ok".to_owned(),
            };
            let endpoint = EndpointEmulator::start(&format!("e{number}"), reply, None)
                .await
                .or_fail()?;
            platform.register(&endpoint, "app");
            emulators.push(endpoint);
        }
        let gateways = ProcessSet::start(name, count, platform.store.address).await?;
        Ok(Self {
            gateways,
            endpoints: emulators,
            count,
            _platform: platform,
            outcomes: Rc::default(),
            sent: Rc::default(),
        })
    }

    /// Sends requests to the first `gateways` gateways in turn, one each `interval_ms`, until it is
    /// aborted.
    pub fn start_load(&self, gateways: usize, interval_ms: u64) -> JoinHandle<()> {
        let callers = (0..gateways).map(|number| self.gateways.callers(number));
        let callers: Vec<_> = callers.collect();
        let (outcomes, sent) = (Rc::clone(&self.outcomes), Rc::clone(&self.sent));
        spawn_local(async move {
            for &address in callers.iter().cycle() {
                let number = sent.get();
                sent.set(number + 1);
                let outcomes = Rc::clone(&outcomes);
                spawn_local(async move {
                    let began = Instant::now();
                    let attempt = format!("a{number}");
                    let headers = [
                        ("host", "h.example"),
                        ("attempt-id", attempt.as_str()),
                        ("deadline-ms", DEADLINE_MS),
                    ];
                    let reply = call(address, Method::POST, "/pay/x", &headers, "{}").await;
                    outcomes.borrow_mut().push(Outcome {
                        reply: reply.ok(),
                        time_ms: began.elapsed().as_millis(),
                        began,
                    });
                });
                tokio::time::sleep(Duration::from_millis(interval_ms)).await;
            }
        })
    }

    /// Returns the outcomes of requests that began at `since` or later.
    pub fn take_outcomes(&self, since: Instant) -> Vec<Outcome> {
        let outcomes = self.outcomes.take();
        let later = outcomes
            .into_iter()
            .filter(|outcome| outcome.began >= since);
        later.collect()
    }

    /// Number of requests that the first endpoint got from `since` on.
    pub fn arrivals_since(&self, since: Instant) -> usize {
        let received = self.endpoints[0].received_requests();
        let later = received.iter().filter(|request| request.arrived >= since);
        later.count()
    }

    /// Returns by how many requests the fullest window from `since` on exceeds what the platform
    /// allows for a limit; negative if all windows are within it.
    pub fn excess(&self, since: Instant, limit_per_s: f64) -> f64 {
        let received = self.endpoints[0].received_requests();
        let times = received.iter().map(|request| request.arrived);
        let times: Vec<Instant> = times.filter(|arrived| *arrived >= since).collect();
        let window = Duration::from_millis(WINDOW_MS);
        let fullest = times.iter().map(|start| {
            let within = times
                .iter()
                .filter(|time| *time >= start && **time < *start + window);
            within.count()
        });
        let fullest = u32::try_from(fullest.max().unwrap_or(0)).unwrap_or(u32::MAX);
        let window_s = f64::from(u32::try_from(WINDOW_MS).unwrap_or(u32::MAX)) / MS_PER_S;
        f64::from(fullest) - (EXCESS_FACTOR * limit_per_s * window_s + EXCESS_REQUESTS)
    }

    /// Number of gateways.
    pub fn count(&self) -> usize {
        self.count
    }
}
