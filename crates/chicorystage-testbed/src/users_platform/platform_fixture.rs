use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use chicorystage_core::quota::QuotaTerms;
use chicorystaged::gateway::shared::Gateway;
use chicorystaged::settings::GatewaySettings;
use http::Method;
use serde_json::{Value, json};
use tokio::task::LocalSet;

use crate::users_platform::{CallerReply, EndpointEmulator, RawEndpoint, StoreEmulator, call};

/// Interval at which an awaited condition is polled, in milliseconds.
const POLL_INTERVAL_MS: u64 = 10;
/// Number of polls after which an awaited condition counts as failed: 15 s in all.
const POLLS_MAX: u32 = 1_500;

/// A store emulator, and a factory of gateways that read from it.
#[derive(Debug)]
pub struct PlatformFixture {
    /// Emulator of the platform's store, which holds the configuration and the registry.
    pub store: StoreEmulator,
}

impl PlatformFixture {
    /// Starts a store without rows.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if no loopback port can be bound.
    pub async fn start() -> std::io::Result<Self> {
        let store = StoreEmulator::start().await?;
        Ok(Self { store })
    }

    /// Starts a gateway, which becomes ready once the store has a configuration.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    pub async fn start_gateway(&self, vm: &str) -> anyhow::Result<Rc<Gateway>> {
        chicorystaged::gateway::start(self.settings(vm)).await
    }

    /// Returns the settings of a gateway of this fixture, with free ports and usual bounds.
    #[must_use]
    pub fn settings(&self, vm: &str) -> GatewaySettings {
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        GatewaySettings {
            vm: vm.into(),
            zone: "z1".into(),
            callers: free,
            readiness: free,
            metrics: None,
            peers: free,
            store: self.store.address,
            cpu_share: 1.0,
            store_timeout_ms: 700,
            heartbeat_ms: 1_200,
            stop_max_ms: 8_000,
            body_memory_bytes: 64 << 20,
            lease_ms: 3_000,
            endpoints_check_epoch: true,
            ceiling_window_ms: 5_000,
            ceiling_factor: 1.1,
            revoke_max_ms: Some(5_000),
            quota_terms: QuotaTerms {
                window_ms: 2_000,
                tolerance: 0.1,
                allowance: 0.0,
            },
            retry_ratio: 0.2,
            retry_allowance: 54.0,
            retry_window_ms: 10_000,
        }
    }

    /// Starts a gateway and waits until it is ready.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    pub async fn start_ready_gateway(&self, vm: &str) -> anyhow::Result<Rc<Gateway>> {
        let gateway = self.start_gateway(vm).await?;
        wait_until("the gateway is ready", || gateway.is_ready()).await;
        Ok(gateway)
    }

    /// Writes a configuration with the default routes.
    ///
    /// `/app/` is idempotent and `/pay/` is not, both at the service `app`. `/chat/` is a
    /// stream and `/long/` a resumable stream, both at the service `llm`.
    pub fn declare(&self, version: u64) {
        self.declare_with(version, &default_routes());
    }

    /// Writes a configuration with the given routes and models that load in 0.1 s.
    pub fn declare_with(&self, version: u64, routes: &Value) {
        self.declare_loads(version, routes, 0.1);
    }

    /// Writes a configuration with the given routes and models that load in `load_s` from any tier.
    pub fn declare_loads(&self, version: u64, routes: &Value, load_s: f64) {
        self.write_configuration(&configuration(version, routes, load_s));
    }

    /// Writes a configuration with the given routes and teams.
    pub fn declare_teams(&self, version: u64, routes: &Value, teams: &Value) {
        let mut configuration = configuration(version, routes, 0.1);
        configuration["tenants"] = teams.clone();
        self.write_configuration(&configuration);
    }

    fn write_configuration(&self, configuration: &Value) {
        self.store
            .put("op", "config", configuration.to_string().as_bytes());
    }

    /// Registers a ready endpoint of a service.
    pub fn register(&self, endpoint: &EndpointEmulator, service: &str) {
        self.register_as(endpoint, service, "ready", 1);
    }

    /// Registers a ready endpoint that answers with raw bytes.
    pub fn register_raw(&self, endpoint: &RawEndpoint, service: &str) {
        let entry = endpoint.registry_entry(service).to_string();
        self.store.put("servers", endpoint.id(), entry.as_bytes());
    }

    /// Registers an endpoint with a state and the time of its start.
    pub fn register_as(
        &self,
        endpoint: &EndpointEmulator,
        service: &str,
        state: &str,
        started_ms: u64,
    ) {
        let entry = endpoint
            .registry_entry(service, state, started_ms)
            .to_string();
        self.store.put("servers", endpoint.id(), entry.as_bytes());
    }
}

/// Returns a configuration with the given routes and models that load in `load_s` from any tier.
fn configuration(version: u64, routes: &Value, load_s: f64) -> Value {
    let models: Vec<Value> = (0..4)
        .map(|i| {
            json!({
                "name": format!("m{i}"), "model_size": 70_000.0, "load_s": load_s, "disk_s": load_s,
                "warm_s": load_s, "adapters": 4, "adapter_mb": 60.0,
            })
        })
        .collect();
    json!({
        "version": version,
        "routes": routes,
        "services": [
            {"name": "llm", "health_path": "/healthz", "max_conns": 100, "engine": {
                "slots": 8, "kv_capacity": 90_000, "models": models, "model_size": 150_000.0,
                "adapter_slots": 4, "loads_per_s": 4.0,
            }},
            {"name": "app", "health_path": "/healthz", "max_conns": 100},
            {"name": "other", "health_path": "/healthz", "max_conns": 100},
        ],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 100_000,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000},
    })
}

/// Returns the routes that most tests use, as configuration JSON.
#[must_use]
pub fn default_routes() -> Value {
    json!([
        {"name": "app", "host": "h.example", "prefix": "/app/", "kind": "safe", "backend": "app",
            "timeout_ms": 3_000, "latency_target_ms": 150, "priority": 2, "max_attempts": 2},
        {"name": "pay", "host": "h.example", "prefix": "/pay/", "kind": "unsafe", "backend": "app",
            "timeout_ms": 3_000, "latency_target_ms": 150, "priority": 2, "max_attempts": 1},
        {"name": "chat", "host": "h.example", "prefix": "/chat/", "kind": "stream",
            "backend": "llm", "timeout_ms": 5_000, "latency_target_ms": 300, "priority": 0,
            "max_attempts": 1, "resumable": false, "gap_aim_ms": 150},
        {"name": "long", "host": "h.example", "prefix": "/long/", "kind": "stream",
            "backend": "llm", "timeout_ms": 15_000, "latency_target_ms": 3_000, "priority": 1,
            "max_attempts": 2, "resumable": true, "gap_aim_ms": 150},
    ])
}

/// Sends a request to a gateway with default headers; `extra` overrides or extends them.
///
/// # Errors
///
/// Fails if the connection closes before a response head arrives.
pub async fn send_request(
    gateway: &Gateway,
    method: Method,
    path: &str,
    extra: &[(&str, &str)],
    body: &str,
) -> anyhow::Result<CallerReply> {
    let mut headers = vec![
        ("host", "h.example"),
        ("attempt-id", "a1"),
        ("deadline-ms", "4000"),
    ];
    headers.retain(|(name, _)| extra.iter().all(|(other, _)| other != name));
    headers.extend_from_slice(extra);
    call(gateway.settings.callers, method, path, &headers, body).await
}

/// Polls `condition` until it returns true.
///
/// # Panics
///
/// Panics if the condition is still false after 15 s.
pub async fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    for _ in 0..POLLS_MAX {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
    panic!("timed out waiting until {description}");
}

/// Runs a gateway test on a single-threaded runtime, as gateway tasks aren't `Send`.
///
/// # Panics
///
/// Panics if the runtime cannot be started.
pub fn run_local<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime starts");
    LocalSet::new().block_on(&runtime, test)
}
