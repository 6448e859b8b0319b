use chicorystage_api::name::ServiceName;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

use crate::metrics::gateway_labels::{
    EventLabels, LateAnswerLabels, RequestLabels, RetryLabels, RouteLabels, ServiceLabels,
    StreamEndLabels,
};
use crate::metrics::{RequestOutcome, TeamMetrics};

/// Prefix of every metric's name.
const PREFIX: &str = "chicorystage_gateway";
/// Upper bound of the first bucket, in seconds.
const BUCKET_FIRST_S: f64 = 0.002;
/// Ratio of two neighbouring buckets.
const BUCKET_FACTOR: f64 = 1.6;
/// Number of buckets of a histogram; the last one ends at about half a minute.
const BUCKETS: u16 = 21;
const MS_PER_S: f64 = 1_000.0;

type HistogramFamily = Family<RouteLabels, Histogram, fn() -> Histogram>;

/// Counters and histograms of a gateway.
#[derive(Debug)]
pub struct GatewayMetrics {
    registry: Registry,
    /// Requests of teams, and the age of the configuration.
    pub teams: TeamMetrics,
    requests: Family<RequestLabels, Counter>,
    wait: HistogramFamily,
    first_byte: HistogramFamily,
    answer: HistogramFamily,
    late_answers: Family<LateAnswerLabels, Counter>,
    stream_ends: Family<StreamEndLabels, Counter>,
    attempts: Family<EventLabels, Counter>,
    first_attempts: Family<ServiceLabels, Counter>,
    sent: Family<ServiceLabels, Counter>,
    retries: Family<RetryLabels, Counter>,
    orders: Family<EventLabels, Counter>,
    store_calls: Family<EventLabels, Counter>,
    quarantines: Family<EventLabels, Counter>,
    limit_tokens: Family<EventLabels, Counter>,
    store_era: Gauge,
    store_era_age_ms: Gauge,
    store_restores: Counter,
    waiting: Gauge,
    in_progress: Gauge,
    body_bytes: Gauge,
    divided_endpoints: Gauge,
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl GatewayMetrics {
    /// Creates and registers every metric.
    #[must_use]
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix(PREFIX),
            teams: TeamMetrics::default(),
            requests: Family::default(),
            wait: Family::new_with_constructor(histogram),
            first_byte: Family::new_with_constructor(histogram),
            answer: Family::new_with_constructor(histogram),
            late_answers: Family::default(),
            stream_ends: Family::default(),
            attempts: Family::default(),
            first_attempts: Family::default(),
            sent: Family::default(),
            retries: Family::default(),
            orders: Family::default(),
            store_calls: Family::default(),
            quarantines: Family::default(),
            limit_tokens: Family::default(),
            store_era: Gauge::default(),
            store_era_age_ms: Gauge::default(),
            store_restores: Counter::default(),
            waiting: Gauge::default(),
            in_progress: Gauge::default(),
            body_bytes: Gauge::default(),
            divided_endpoints: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    /// Counts a request that ended with `outcome`.
    pub fn count_request(&self, route: &str, outcome: RequestOutcome) {
        let labels = RequestLabels {
            route: route.to_owned(),
            outcome,
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Records how long a request waited for an endpoint.
    pub fn wait_ms(&self, route: &str, wait_ms: u64) {
        observe(&self.wait, route, wait_ms);
    }

    /// Records the time from a request's start to the first byte of its answer.
    pub fn first_byte_ms(&self, route: &str, time_ms: u64) {
        observe(&self.first_byte, route, time_ms);
    }

    /// Records the time from a request's start to the end of its answer.
    pub fn answer_ms(&self, route: &str, time_ms: u64) {
        observe(&self.answer, route, time_ms);
    }

    /// Counts an answer that missed the route's latency objectives.
    pub fn count_late_answer(&self, route: &str, cause: &str) {
        let labels = LateAnswerLabels {
            route: route.to_owned(),
            cause: cause.to_owned(),
        };
        self.late_answers.get_or_create(&labels).inc();
    }

    /// Counts a relayed answer that ended, whole or not.
    pub fn count_stream_end(&self, framing: &str, end: &str) {
        let labels = StreamEndLabels {
            framing: framing.to_owned(),
            end: end.to_owned(),
        };
        self.stream_ends.get_or_create(&labels).inc();
    }

    /// Counts a failed attempt; the outcome is `not_run` or `lost`.
    pub fn count_attempt(&self, outcome: &str) {
        count(&self.attempts, "attempt", outcome);
    }

    /// Counts a request that adds to the retry budget of a service.
    pub fn count_first_attempt(&self, service: &ServiceName) {
        let labels = ServiceLabels::of(service);
        self.first_attempts.get_or_create(&labels).inc();
    }

    /// Counts a request that reached an endpoint or may have, first attempt or retry.
    pub fn count_sent(&self, service: &ServiceName) {
        self.sent.get_or_create(&ServiceLabels::of(service)).inc();
    }

    /// Counts a retry that the budget of a service granted or denied.
    pub fn count_retry(&self, service: &ServiceName, is_granted: bool) {
        let labels = RetryLabels {
            service: service.as_str().to_owned(),
            is_granted: is_granted.to_string(),
        };
        self.retries.get_or_create(&labels).inc();
    }

    /// Counts a load or unload order to an engine.
    pub fn count_order(&self, kind: &str, outcome: &str) {
        count(&self.orders, kind, outcome);
    }

    /// Counts a call to the platform's store.
    pub fn count_store_call(&self, kind: &str, outcome: &str) {
        count(&self.store_calls, kind, outcome);
    }

    /// Counts a quarantine that this gateway decided; `kind` is `request` or `prompt_part`.
    pub fn count_quarantine(&self, kind: &str) {
        count(&self.quarantines, kind, "decided");
    }

    /// Counts tokens for requests to limited endpoints; `kind` is `granted` at the lease holder, `own`
    /// where a gateway hears none.
    pub fn count_limit_tokens(&self, kind: &str, tokens: u32) {
        let labels = EventLabels {
            kind: kind.to_owned(),
            outcome: "issued".to_owned(),
        };
        self.limit_tokens
            .get_or_create(&labels)
            .inc_by(u64::from(tokens));
    }

    /// Sets the gauge of the store's era.
    pub fn set_store_era(&self, era: u64) {
        self.store_era.set(i64::try_from(era).unwrap_or(i64::MAX));
    }

    /// Sets the gauge of the least age of the store's era; `None` if the store has never returned.
    pub fn set_store_era_age_ms(&self, age_ms: Option<u64>) {
        let age_ms = age_ms.and_then(|age_ms| i64::try_from(age_ms).ok());
        self.store_era_age_ms.set(age_ms.unwrap_or(-1));
    }

    /// Counts a table that was read whole because the store has returned from an older copy.
    pub fn count_store_restore(&self) {
        self.store_restores.inc();
    }

    /// Sets the gauge of the memory that the bodies of requests take.
    pub fn set_body_bytes(&self, bytes: usize) {
        self.body_bytes
            .set(i64::try_from(bytes).unwrap_or(i64::MAX));
    }

    /// Sets the gauge of endpoints whose room is divided among gateways.
    pub fn set_divided_endpoints(&self, endpoints: usize) {
        self.divided_endpoints
            .set(i64::try_from(endpoints).unwrap_or(i64::MAX));
    }

    /// Sets the gauges of waiting requests and requests in progress.
    pub fn set_gauges(&self, waiting: usize, in_progress: u32) {
        self.waiting.set(i64::try_from(waiting).unwrap_or(i64::MAX));
        self.in_progress.set(i64::from(in_progress));
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

    /// Registers the metrics in the order in which they are served.
    ///
    /// Those with few labels come first and histograms last, so that a collector which keeps only
    /// the first few kilobytes keeps the counters.
    fn register(&mut self) {
        self.register_attempts();
        self.register_store();
        self.register_requests();
        self.register_times();
    }

    fn register_attempts(&mut self) {
        let registry = &mut self.registry;
        registry.register("waiting", "Requests waiting", self.waiting.clone());
        registry.register(
            "in_progress",
            "Requests in progress",
            self.in_progress.clone(),
        );
        registry.register(
            "body_bytes",
            "Memory that the bodies of requests take",
            self.body_bytes.clone(),
        );
        registry.register(
            "divided_endpoints",
            "Endpoints that more requests wait for than they have room for",
            self.divided_endpoints.clone(),
        );
        registry.register("attempts", "Attempts at endpoints", self.attempts.clone());
        registry.register(
            "first_attempts",
            "Requests that add to a service's retry budget",
            self.first_attempts.clone(),
        );
        registry.register(
            "sent",
            "Requests that may have reached an endpoint, retries included",
            self.sent.clone(),
        );
        registry.register(
            "retries",
            "Retries that a service's budget granted or denied",
            self.retries.clone(),
        );
        registry.register(
            "limit_tokens",
            "Tokens for requests to endpoints that name limits",
            self.limit_tokens.clone(),
        );
        registry.register("orders", "Orders to engines", self.orders.clone());
        self.teams.register(registry);
    }

    fn register_store(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "store_calls",
            "Calls to the store",
            self.store_calls.clone(),
        );
        registry.register(
            "quarantines",
            "Quarantines that this gateway decided",
            self.quarantines.clone(),
        );
        registry.register(
            "store_era",
            "Newest era of the store that was seen",
            self.store_era.clone(),
        );
        registry.register(
            "store_era_age_ms",
            "Least time for which the store has been in its era, in milliseconds; -1 if it has never \
             returned from an older copy",
            self.store_era_age_ms.clone(),
        );
        registry.register(
            "store_restores",
            "Tables read whole since the store has returned from an older copy",
            self.store_restores.clone(),
        );
    }

    fn register_requests(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests by end", self.requests.clone());
        registry.register(
            "stream_ends",
            "Relayed answers by framing and end",
            self.stream_ends.clone(),
        );
        registry.register(
            "late_answers",
            "Answers that missed the latency objectives, by route and cause",
            self.late_answers.clone(),
        );
    }

    fn register_times(&mut self) {
        let families = [
            ("wait", "Wait for an endpoint", &self.wait),
            ("first_byte", "Time to the first byte", &self.first_byte),
            ("answer", "Time to the end of the answer", &self.answer),
        ];
        for (name, help, family) in families {
            self.registry
                .register_with_unit(name, help, Unit::Seconds, family.clone());
        }
    }
}

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(BUCKET_FIRST_S, BUCKET_FACTOR, BUCKETS))
}

#[expect(
    clippy::cast_precision_loss,
    reason = "durations of requests are far below the mantissa"
)]
fn observe(family: &HistogramFamily, route: &str, time_ms: u64) {
    let labels = RouteLabels {
        route: route.to_owned(),
    };
    family
        .get_or_create(&labels)
        .observe(time_ms as f64 / MS_PER_S);
}

fn count(family: &Family<EventLabels, Counter>, kind: &str, outcome: &str) {
    let labels = EventLabels {
        kind: kind.to_owned(),
        outcome: outcome.to_owned(),
    };
    family.get_or_create(&labels).inc();
}
