use std::sync::atomic::AtomicU64;

use chicorystage_api::inventory::Class;
use chicorystage_api::name::{CallerName, ModelName};
use chicorystage_api::refusal::Refusal;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

use crate::metrics::{ClassLabels, ModelLabels, RefusalLabels, RequestMetrics};

/// Prefix of every metric's name.
const PREFIX: &str = "chicorystage";
/// Upper bound of the first bucket, in seconds.
const BUCKET_FIRST_S: f64 = 0.001;
/// Ratio of two neighbouring buckets.
const BUCKET_FACTOR: f64 = 2.0;
/// Number of buckets of a histogram; the last one ends at about nine minutes.
const BUCKETS: u16 = 20;
const MS_PER_S: f64 = 1_000.0;

type HistogramFamily = Family<ClassLabels, Histogram, fn() -> Histogram>;

/// Counters, gauges and histograms of a router.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: Family<ClassLabels, Counter>,
    wait: HistogramFamily,
    cold_start: HistogramFamily,
    first_token: HistogramFamily,
    between_tokens: HistogramFamily,
    answer: HistogramFamily,
    refusals: Family<RefusalLabels, Counter>,
    attempts: Counter,
    retries: Counter,
    resumes: Counter,
    endpoint_crashes: Counter,
    quarantines: Counter,
    waiting: Gauge,
    in_progress: Gauge,
    body_bytes_buffered: Gauge,
    idle_accelerator: Family<ModelLabels, Counter<f64, AtomicU64>>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates and registers every metric.
    #[must_use]
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix(PREFIX),
            requests: Family::default(),
            wait: histogram_family(),
            cold_start: histogram_family(),
            first_token: histogram_family(),
            between_tokens: histogram_family(),
            answer: histogram_family(),
            refusals: Family::default(),
            attempts: Counter::default(),
            retries: Counter::default(),
            resumes: Counter::default(),
            endpoint_crashes: Counter::default(),
            quarantines: Counter::default(),
            waiting: Gauge::default(),
            in_progress: Gauge::default(),
            body_bytes_buffered: Gauge::default(),
            idle_accelerator: Family::default(),
        };
        metrics.register_histograms();
        metrics.register_counters();
        metrics
    }

    /// Returns handles to the metrics of a class and tenant.
    #[must_use]
    pub fn requests(&self, class: Class, tenant: &CallerName) -> RequestMetrics {
        let labels = ClassLabels::new(class, tenant);
        RequestMetrics {
            requests: self.requests.get_or_create(&labels).clone(),
            wait: self.wait.get_or_create(&labels).clone(),
            cold_start: self.cold_start.get_or_create(&labels).clone(),
            first_token: self.first_token.get_or_create(&labels).clone(),
            between_tokens: self.between_tokens.get_or_create(&labels).clone(),
            answer: self.answer.get_or_create(&labels).clone(),
        }
    }

    /// Counts a refusal that was sent to a caller.
    pub fn count_refusal(&self, refusal: &Refusal) {
        self.refusals
            .get_or_create(&RefusalLabels::new(refusal))
            .inc();
    }

    /// Returns the number of refusals counted with the same code and outcome.
    #[must_use]
    pub fn refusals(&self, refusal: &Refusal) -> u64 {
        self.refusals
            .get_or_create(&RefusalLabels::new(refusal))
            .get()
    }

    /// Counts an attempt that was sent to an agent.
    pub fn count_attempt(&self) {
        self.attempts.inc();
    }

    /// Counts an attempt that follows a failed one.
    pub fn count_retry(&self) {
        self.retries.inc();
    }

    /// Counts a silent or broken connection to an agent that was replaced.
    pub fn count_resume(&self) {
        self.resumes.inc();
    }

    /// Counts an endpoint that crashed while it ran a request.
    pub fn count_endpoint_crash(&self) {
        self.endpoint_crashes.inc();
    }

    /// Counts a digest that this process quarantined.
    pub fn count_quarantine(&self) {
        self.quarantines.inc();
    }

    /// Sets the gauges of waiting requests, requests in progress and buffered body bytes.
    pub fn set_gauges(&self, waiting: u32, in_progress: u32, body_bytes: u64) {
        self.waiting.set(i64::from(waiting));
        self.in_progress.set(i64::from(in_progress));
        self.body_bytes_buffered
            .set(i64::try_from(body_bytes).unwrap_or(i64::MAX));
    }

    /// Adds time, in milliseconds, for which a loaded model had no work.
    #[expect(
        clippy::cast_precision_loss,
        reason = "idle time between two readings is far below the mantissa"
    )]
    pub fn add_idle_accelerator_ms(&self, model: &ModelName, idle_ms: u64) {
        self.idle_accelerator
            .get_or_create(&ModelLabels::new(model))
            .inc_by(idle_ms as f64 / MS_PER_S);
    }

    /// Returns every metric in the text format of `OpenMetrics`.
    ///
    /// # Panics
    ///
    /// Panics if a metric can't be encoded, which is a bug.
    #[must_use]
    pub fn encode(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("metrics encode to text");
        text
    }

    fn register_histograms(&mut self) {
        let families = [
            ("wait", "Time before a request ran", &self.wait),
            (
                "cold_start",
                "Load that a request waited for",
                &self.cold_start,
            ),
            ("first_token", "Time to the first token", &self.first_token),
            (
                "between_tokens",
                "Time between two tokens",
                &self.between_tokens,
            ),
            ("answer", "Time to the whole answer", &self.answer),
        ];
        for (name, help, family) in families {
            self.registry
                .register_with_unit(name, help, Unit::Seconds, family.clone());
        }
    }

    fn register_counters(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests taken on", self.requests.clone());
        registry.register("refusals", "Refusals given", self.refusals.clone());
        registry.register("attempts", "Attempts sent", self.attempts.clone());
        registry.register("retries", "Attempts after a failure", self.retries.clone());
        registry.register("resumes", "Connections replaced", self.resumes.clone());
        registry.register(
            "endpoint_crashes",
            "Endpoints that died under a request",
            self.endpoint_crashes.clone(),
        );
        registry.register(
            "quarantines",
            "Digests quarantined here",
            self.quarantines.clone(),
        );
        registry.register("waiting", "Requests waiting", self.waiting.clone());
        registry.register(
            "in_progress",
            "Requests in progress",
            self.in_progress.clone(),
        );
        registry.register_with_unit(
            "body_held",
            "Request bodies held",
            Unit::Bytes,
            self.body_bytes_buffered.clone(),
        );
        registry.register_with_unit(
            "idle_accelerator",
            "Accelerator time of loaded models without work",
            Unit::Seconds,
            self.idle_accelerator.clone(),
        );
    }
}

fn histogram_family() -> HistogramFamily {
    Family::new_with_constructor(histogram)
}

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(BUCKET_FIRST_S, BUCKET_FACTOR, BUCKETS))
}
