//! Counters and histograms of one agent, in the Prometheus text format.

use std::fmt;

use chicorystage_api::inventory::Class;
use chicorystage_api::refusal::Refusal;
use chicorystage_api::work::EndSummary;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

const MS_PER_S: f64 = 1_000.0;
/// Upper bound of the histograms' lowest bucket, in seconds.
const BUCKET_LOWEST_S: f64 = 0.005;
/// Ratio of successive bucket bounds.
const BUCKET_FACTOR: f64 = 2.0;
/// Number of buckets in each histogram, without the unbounded one.
const BUCKETS: u16 = 15;

/// Registry and metric families of one agent.
pub(crate) struct Metrics {
    registry: Registry,
    refusals: Family<RefusalLabels, Counter>,
    orders: Family<OrderLabels, Counter>,
    queue_wait_seconds: Family<ClassLabels, Histogram>,
    cold_start_seconds: Family<ClassLabels, Histogram>,
    idle_milliseconds: Family<ModelLabels, Gauge>,
    running: Gauge,
    queued: Gauge,
    memory_reserved_bytes: Gauge,
}

/// Gauge values that are taken from the main loop at each scrape.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Readings {
    pub(crate) running: u32,
    pub(crate) queued: u32,
    pub(crate) memory_reserved_bytes: u64,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RefusalLabels {
    code: String,
    outcome: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct OrderLabels {
    kind: &'static str,
    end: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ClassLabels {
    class: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ModelLabels {
    model: String,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("chicorystage_agent"),
            refusals: Family::default(),
            orders: Family::default(),
            queue_wait_seconds: Family::new_with_constructor(histogram),
            cold_start_seconds: Family::new_with_constructor(histogram),
            idle_milliseconds: Family::default(),
            running: Gauge::default(),
            queued: Gauge::default(),
            memory_reserved_bytes: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("refusals", "Attempts refused", self.refusals.clone());
        registry.register("orders", "Orders to the engine", self.orders.clone());
        registry.register(
            "queue_wait_seconds",
            "Time of served attempts in the queue",
            self.queue_wait_seconds.clone(),
        );
        registry.register(
            "cold_start_seconds",
            "Time that cold attempts waited for a load",
            self.cold_start_seconds.clone(),
        );
        registry.register(
            "idle_accelerator_milliseconds",
            "Time that replicas were loaded without work since the start",
            self.idle_milliseconds.clone(),
        );
        registry.register("running", "Attempts that run", self.running.clone());
        registry.register("queued", "Attempts that wait", self.queued.clone());
        registry.register(
            "memory_reserved_bytes",
            "Accelerator memory reserved",
            self.memory_reserved_bytes.clone(),
        );
    }

    pub(crate) fn count_refusal(&self, refusal: &Refusal) {
        let labels = RefusalLabels {
            code: refusal.code.to_string(),
            outcome: refusal.outcome.to_string(),
        };
        self.refusals.get_or_create(&labels).inc();
    }

    pub(crate) fn record_served(&self, class: Class, summary: &EndSummary) {
        let labels = ClassLabels {
            class: class.to_string(),
        };
        self.queue_wait_seconds
            .get_or_create(&labels)
            .observe(seconds(summary.queued_ms));
        if summary.cold_start_ms > 0 {
            self.cold_start_seconds
                .get_or_create(&labels)
                .observe(seconds(summary.cold_start_ms));
        }
    }

    pub(crate) fn count_order(&self, kind: &'static str, end: &'static str) {
        self.orders.get_or_create(&OrderLabels { kind, end }).inc();
    }

    pub(crate) fn set_idle(&self, model: &str, idle_ms: u64) {
        let labels = ModelLabels {
            model: model.to_owned(),
        };
        let idle_ms = i64::try_from(idle_ms).unwrap_or(i64::MAX);
        self.idle_milliseconds.get_or_create(&labels).set(idle_ms);
    }

    /// Updates the gauges from `readings` and encodes all metrics as text.
    pub(crate) fn text(&self, readings: &Readings) -> String {
        self.running.set(i64::from(readings.running));
        self.queued.set(i64::from(readings.queued));
        let reserved = i64::try_from(readings.memory_reserved_bytes).unwrap_or(i64::MAX);
        self.memory_reserved_bytes.set(reserved);
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string does not fail");
        text
    }
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(BUCKET_LOWEST_S, BUCKET_FACTOR, BUCKETS))
}

#[expect(
    clippy::cast_precision_loss,
    reason = "times are far below the exact range"
)]
fn seconds(ms: u64) -> f64 {
    ms as f64 / MS_PER_S
}
