use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::{Method, StatusCode};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until};

use crate::soak::SoakPlan;
use crate::soak::gateway_process::GatewayProcess;
use crate::soak::scenario::Scenario;
use crate::soak::services::{APPLICATION, MODEL};
use crate::users_platform::call;

/// Number of the random number stream of the load.
const RNG_STREAM: u64 = 7_001;
const MS_PER_S: f64 = 1_000.0;
/// Interval at which requests are sent, in milliseconds.
const TICK_MS: usize = 5;
/// The same in seconds.
const TICK_S: f64 = 0.005;
/// Pause of a caller before it tries again after a refusal without a time, in milliseconds.
const CALLER_PAUSE_MS: u64 = 50;
/// Largest part of the remaining time for which a caller waits before it tries again.
const PAUSE_DIVISOR: u64 = 3;

/// A kind of request and how often it comes.
#[derive(Debug)]
struct RequestKind {
    path: &'static str,
    service: &'static str,
    model: &'static str,
    per_s: f64,
    deadline_ms: u64,
    is_idempotent: bool,
}

/// The kinds of request and rates of the users' smaller site.
const KINDS: [RequestKind; 4] = [
    RequestKind {
        path: "/summary/x",
        service: MODEL,
        model: "m0",
        per_s: 86.1,
        deadline_ms: 10_000,
        is_idempotent: false,
    },
    RequestKind {
        path: "/dossier/x",
        service: MODEL,
        model: "m0",
        per_s: 12.7,
        deadline_ms: 25_000,
        is_idempotent: true,
    },
    RequestKind {
        path: "/payout/x",
        service: APPLICATION,
        model: "",
        per_s: 23.0,
        deadline_ms: 1_500,
        is_idempotent: false,
    },
    RequestKind {
        path: "/balance/x",
        service: APPLICATION,
        model: "",
        per_s: 9.22,
        deadline_ms: 1_500,
        is_idempotent: true,
    },
];

/// What callers sent, and how it ended.
#[derive(Debug, Default)]
pub struct Sent {
    times_ms: BTreeMap<&'static str, Vec<u64>>,
    ends: BTreeMap<String, u64>,
    next_attempt: u64,
}

/// Callers that send requests at random times to random gateways.
#[derive(Debug)]
pub struct Load {
    sent: Rc<RefCell<Sent>>,
    senders: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts a sender for each kind of request, which sends until the plan's length after `start`.
    pub fn start(
        gateways: &[GatewayProcess],
        scenario: &Scenario,
        start: Instant,
        plan: &SoakPlan,
    ) -> Self {
        let sent = Rc::new(RefCell::new(Sent::default()));
        let gateways: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.callers).collect();
        let senders = KINDS.iter().zip(RNG_STREAM..).map(|(kind, stream)| {
            let sender = Sender {
                kind,
                gateways: gateways.clone(),
                sent: Rc::clone(&sent),
                rng: StdRng::seed_from_u64(plan.seed ^ (stream << 32)),
            };
            tokio::task::spawn_local(sender.run(scenario.clone(), start, plan.length_ms))
        });
        Self {
            senders: senders.collect(),
            sent,
        }
    }

    /// Ends the senders and returns what was sent.
    #[must_use]
    pub fn finish(self) -> Sent {
        for sender in &self.senders {
            sender.abort();
        }
        self.sent.take()
    }
}

/// Sends requests of one kind at random times to random gateways.
struct Sender {
    kind: &'static RequestKind,
    gateways: Vec<SocketAddr>,
    sent: Rc<RefCell<Sent>>,
    rng: StdRng,
}

impl Sender {
    async fn run(mut self, scenario: Scenario, start: Instant, length_ms: u64) {
        let mut until_next = self.exponential();
        for at_ms in (0..length_ms).step_by(TICK_MS) {
            sleep_until(start + Duration::from_millis(at_ms)).await;
            until_next -= self.kind.per_s * scenario.load_factor(at_ms) * TICK_S;
            while until_next < 0.0 {
                self.send_one(start);
                until_next += self.exponential();
            }
        }
    }

    /// Returns a random number with the exponential distribution of mean 1.
    fn exponential(&mut self) -> f64 {
        let uniform: f64 = self.rng.random();
        -(1.0 - uniform).ln()
    }

    fn send_one(&mut self, start: Instant) {
        let gateways = &self.gateways;
        let chosen = [0, 1].map(|_| gateways[self.rng.random_range(0..gateways.len())]);
        let sending = send_with_retry(self.kind, chosen, Rc::clone(&self.sent), start);
        let _caller = tokio::task::spawn_local(sending);
    }
}

impl Sent {
    /// Returns the times of the requests to a service in milliseconds since the start, sorted.
    #[must_use]
    pub fn times_ms(&self, service: &str) -> Vec<u64> {
        let mut times_ms = self.times_ms.get(service).cloned().unwrap_or_default();
        times_ms.sort_unstable();
        times_ms
    }

    /// Records a request that is about to be sent and returns its identity.
    fn begin(&mut self, kind: &RequestKind, start: Instant) -> String {
        let times_ms = self.times_ms.entry(kind.service).or_default();
        times_ms.push(u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX));
        self.next_attempt += 1;
        format!("{:016x}", self.next_attempt)
    }

    fn end(&mut self, kind: &RequestKind, end: &str) {
        *self.ends.entry(format!("{} {end}", kind.path)).or_default() += 1;
    }
}

impl fmt::Display for Sent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ends = self.ends.iter();
        let ends: Vec<String> = ends.map(|(end, count)| format!("{end}: {count}")).collect();
        write!(f, "{}", ends.join(", "))
    }
}

/// Sends a request, and once more at another gateway where it has not run or may run again.
async fn send_with_retry(
    kind: &'static RequestKind,
    gateways: [SocketAddr; 2],
    sent: Rc<RefCell<Sent>>,
    start: Instant,
) {
    let until = Instant::now() + Duration::from_millis(kind.deadline_ms);
    for gateway in gateways {
        let left = until.saturating_duration_since(Instant::now());
        let left_ms = u64::try_from(left.as_millis()).unwrap_or(0);
        let id = sent.borrow_mut().begin(kind, start);
        let deadline = left_ms.to_string();
        let headers = [
            ("host", "h.example"),
            ("attempt-id", id.as_str()),
            ("deadline-ms", deadline.as_str()),
            ("model", kind.model),
        ];
        let headers = if kind.model.is_empty() {
            &headers[..3]
        } else {
            &headers
        };
        let reply = call(gateway, Method::POST, kind.path, headers, "{}");
        let reply = tokio::time::timeout(left, reply).await;
        let (end, pause_ms) = match &reply {
            Ok(Ok(reply)) if reply.status == StatusCode::SERVICE_UNAVAILABLE => {
                let seconds: f64 = reply.header("retry-after").parse().unwrap_or(0.0);
                ("503".to_owned(), Some(whole_ms(seconds * MS_PER_S)))
            }
            Ok(Ok(reply)) => {
                let is_bad = !reply.status.is_success() || !reply.is_complete;
                let pause_ms = (kind.is_idempotent && is_bad).then_some(CALLER_PAUSE_MS);
                let part = if reply.is_complete { "" } else { " partial" };
                (format!("{}{part}", reply.status.as_u16()), pause_ms)
            }
            Ok(Err(_)) => (
                "closed".to_owned(),
                kind.is_idempotent.then_some(CALLER_PAUSE_MS),
            ),
            Err(_elapsed) => ("timeout".to_owned(), None),
        };
        sent.borrow_mut().end(kind, &end);
        let Some(pause_ms) = pause_ms else {
            return;
        };
        sleep(Duration::from_millis(pause_ms.min(left_ms / PAUSE_DIVISOR))).await;
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a time within a run, never negative"
)]
fn whole_ms(time_ms: f64) -> u64 {
    time_ms as u64
}
