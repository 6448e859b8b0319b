use std::collections::HashSet;

use serde_json::{Value, json};
use tokio::time::Instant;

use crate::soak::budget_audit::{BudgetAudit, BudgetBound};
use crate::soak::load::Sent;
use crate::users_platform::{EndpointEmulator, EndpointEngine, PlatformFixture, Reply};

/// Service of the applications.
pub const APPLICATION: &str = "app";
/// Service of the model engines.
pub const MODEL: &str = "llm";
/// Number of endpoints of each service.
const ENDPOINTS: usize = 3;
/// Version of the configuration.
const VERSION: u64 = 1;
/// Duration of a model load, in milliseconds.
const LOAD_MS: u64 = 300;
/// Bound on repeated arrivals, as the users' sites state it.
pub const BOUND: BudgetBound = BudgetBound {
    ratio: 0.2,
    allowance: 54.0,
    window_ms: 10_000,
};

/// Emulated endpoints of both services.
#[derive(Debug)]
pub struct Services {
    applications: Vec<EndpointEmulator>,
    models: Vec<EndpointEmulator>,
}

impl Services {
    /// Starts the endpoints, registers them and declares the routes to them.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if no loopback port can be bound.
    pub async fn start(fixture: &PlatformFixture) -> std::io::Result<Self> {
        let (mut applications, mut models) = (Vec::new(), Vec::new());
        for i in 0..ENDPOINTS {
            let application = EndpointEmulator::start(&format!("a{i}"), answered(), None).await?;
            applications.push(application);
            let engine = EndpointEngine::new(&["m0"], LOAD_MS);
            let model = EndpointEmulator::start(&format!("e{i}"), streamed(), Some(engine)).await?;
            models.push(model);
        }
        let services = Self {
            applications,
            models,
        };
        services.write_again(fixture);
        Ok(services)
    }

    /// Writes the rows of the operator and of the endpoints.
    pub fn write_again(&self, fixture: &PlatformFixture) {
        fixture.declare_with(VERSION, &routes());
        for endpoint in &self.applications {
            fixture.register(endpoint, APPLICATION);
        }
        for endpoint in &self.models {
            fixture.register(endpoint, MODEL);
        }
    }

    /// Sets the reply of all endpoints of the applications.
    pub fn set_application_reply(&self, reply: &Reply) {
        for endpoint in &self.applications {
            endpoint.set_default_reply(reply.clone());
        }
    }

    /// Pauses the processes of all endpoints of the applications, or lets them go on.
    pub fn set_application_running(&self, is_running: bool) {
        for endpoint in &self.applications {
            endpoint.set_running(is_running);
        }
    }

    /// Sets the reply of all endpoints of the model service.
    pub fn set_model_reply(&self, reply: &Reply) {
        for endpoint in &self.models {
            endpoint.set_default_reply(reply.clone());
        }
    }

    /// Returns what each service received, judged by the bound.
    #[must_use]
    pub fn audits(&self, start: Instant, sent: &Sent) -> Vec<BudgetAudit> {
        [(APPLICATION, &self.applications), (MODEL, &self.models)]
            .map(|(service, endpoints)| audit(service, endpoints, start, sent))
            .into()
    }
}

fn audit(
    service: &str,
    endpoints: &[EndpointEmulator],
    start: Instant,
    sent: &Sent,
) -> BudgetAudit {
    let mut arrivals: Vec<(u64, String)> = Vec::new();
    for endpoint in endpoints {
        for received in endpoint.received_requests() {
            let at_ms = received
                .arrived
                .saturating_duration_since(start)
                .as_millis();
            let at_ms = u64::try_from(at_ms).unwrap_or(u64::MAX);
            arrivals.push((at_ms, received.header("attempt-id").to_owned()));
        }
    }
    arrivals.sort();
    let mut known = HashSet::new();
    let repeats = arrivals.iter().filter(|(_, id)| !known.insert(id));
    let repeats_ms: Vec<u64> = repeats.map(|(at_ms, _)| *at_ms).collect();
    let requests_ms = sent.times_ms(service);
    BudgetAudit {
        service: service.to_owned(),
        requests: requests_ms.len(),
        arrivals: arrivals.len(),
        repeats: repeats_ms.len(),
        worst: BOUND.worst_window(&requests_ms, &repeats_ms),
    }
}

/// Returns the usual reply of an application.
#[must_use]
pub fn answered() -> Reply {
    Reply::Complete {
        status: 200,
        body: "done".to_owned(),
    }
}

/// Returns the usual reply of a model engine.
#[must_use]
pub fn streamed() -> Reply {
    Reply::Events {
        first: 1,
        last: 6,
        pause_ms: 5,
    }
}

/// Returns the routes to both services, with the limits of the users' sites.
fn routes() -> Value {
    json!([
        {"name": "balance", "host": "h.example", "prefix": "/balance/", "kind": "safe",
            "backend": APPLICATION, "timeout_ms": 800, "latency_target_ms": 150, "priority": 2,
            "max_attempts": 2},
        {"name": "payout", "host": "h.example", "prefix": "/payout/", "kind": "unsafe",
            "backend": APPLICATION, "timeout_ms": 800, "latency_target_ms": 150, "priority": 2,
            "max_attempts": 1},
        {"name": "summary", "host": "h.example", "prefix": "/summary/", "kind": "stream",
            "backend": MODEL, "timeout_ms": 10_000, "latency_target_ms": 300, "priority": 0,
            "max_attempts": 1, "resumable": false, "gap_aim_ms": 150},
        {"name": "dossier", "host": "h.example", "prefix": "/dossier/", "kind": "stream",
            "backend": MODEL, "timeout_ms": 25_000, "latency_target_ms": 3_000, "priority": 1,
            "max_attempts": 2, "resumable": true, "gap_aim_ms": 150},
    ])
}
