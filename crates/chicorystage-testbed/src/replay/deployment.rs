use chicorystage_api::name::{CallerName, ModelName, VmId, ZoneName};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Bytes of a gibibyte.
pub(crate) const GIB: u64 = 1 << 30;
/// Seed from which the memory sizes of the models are drawn.
const SIZES_SEED: u64 = 11;

/// A user's deployment, at its present size, that traces are replayed against.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name that scenario files refer to it by.
    pub name: &'static str,
    /// Availability zones; workers are assigned to them round-robin.
    pub zones: [ZoneName; 3],
    /// VMs that run an engine.
    pub workers: Vec<VmId>,
    /// Accelerator memory of a worker, in bytes.
    pub memory_bytes: u64,
    /// Host memory of a worker for cached weights, in bytes.
    pub cache_bytes: u64,
    /// Requests that an engine runs concurrently.
    pub engine_slots: u32,
    /// One-way latency between availability zones, in milliseconds.
    pub zone_latency_ms: u64,
    /// One-way latency between callers and routers, in milliseconds.
    pub caller_latency_ms: u64,
    /// Models that requests may ask for.
    pub models: Vec<ModelSpec>,
    /// Number of adapters, spread evenly over the models.
    pub adapters: usize,
    /// Callers that share the capacity.
    pub tenants: Vec<TenantSpec>,
    /// Weight of cold starts against idle time in the keep-alive decision, 0 to 100.
    pub cold_start_weight_percent: u32,
}

/// A model of a deployment.
#[derive(Clone, Debug)]
pub struct ModelSpec {
    /// Name in requests and in the inventory.
    pub name: ModelName,
    /// Accelerator memory of a replica, in bytes.
    pub memory_bytes: u64,
}

/// A caller of a deployment.
#[derive(Clone, Debug)]
pub struct TenantSpec {
    /// Name in requests and in the inventory.
    pub name: CallerName,
    /// Weight of its fair share of the capacity.
    pub weight: u32,
}

impl Deployment {
    /// Returns the deployment of that name; `None` where the name is unknown.
    #[must_use]
    pub fn named(name: &str) -> Option<Self> {
        match name {
            "co-op" => Some(Self::co_op()),
            "guild" => Some(Self::guild()),
            _ => None,
        }
    }

    /// Returns the co-op's deployment: 18 workers, 65 models and 100 adapters.
    #[must_use]
    pub fn co_op() -> Self {
        Self {
            name: "co-op",
            zones: ["huehue-a", "xela-b", "toto-c"].map(ZoneName::from),
            workers: workers("colmena-llm", 18),
            memory_bytes: 48 * GIB,
            cache_bytes: 64 * GIB,
            engine_slots: 8,
            zone_latency_ms: 2,
            caller_latency_ms: 3,
            models: models("honey", 65, 4, 24),
            adapters: 100,
            tenants: tenants(&["field", "export", "ledger", "quality", "office"]),
            cold_start_weight_percent: 25,
        }
    }

    /// Returns the Guild's deployment: 12 workers, 25 models and 75 adapters.
    #[must_use]
    pub fn guild() -> Self {
        Self {
            name: "guild",
            zones: ["cleveland-a", "buffalo-b", "erie-c"].map(ZoneName::from),
            workers: workers("cuewriter", 12),
            memory_bytes: 80 * GIB,
            cache_bytes: 96 * GIB,
            engine_slots: 8,
            zone_latency_ms: 1,
            caller_latency_ms: 1,
            models: models("cue", 25, 8, 40),
            adapters: 75,
            tenants: tenants(&["screening", "licensing", "rights", "agency", "members"]),
            cold_start_weight_percent: 75,
        }
    }

    /// Returns the availability zone of a worker, given by its index.
    #[must_use]
    pub fn zone_of(&self, worker: usize) -> &ZoneName {
        &self.zones[worker % self.zones.len()]
    }

    /// Returns the number of requests that all engines together run concurrently.
    #[must_use]
    pub fn capacity(&self) -> u64 {
        self.workers.len() as u64 * u64::from(self.engine_slots)
    }
}

fn workers(prefix: &str, count: usize) -> Vec<VmId> {
    (1..=count)
        .map(|i| VmId::from(format!("{prefix}-{i:02}")))
        .collect()
}

fn models(prefix: &str, count: usize, least_gib: u64, most_gib: u64) -> Vec<ModelSpec> {
    let mut rng = StdRng::seed_from_u64(SIZES_SEED);
    let mut spec = |i| ModelSpec {
        name: ModelName::from(format!("{prefix}-{i:02}")),
        memory_bytes: rng.random_range(least_gib..=most_gib) * GIB,
    };
    (1..=count).map(&mut spec).collect()
}

fn tenants(names: &[&str]) -> Vec<TenantSpec> {
    let spec = |name: &&str| TenantSpec {
        name: CallerName::from(*name),
        weight: 1,
    };
    names.iter().map(spec).collect()
}
