//! Text of a gateway's metrics.

use chicorystage_api::name::ServiceName;
use chicorystaged::metrics::{GatewayMetrics, RequestOutcome};
use googletest::prelude::*;

/// Bytes that a collector with a small limit keeps.
const KEPT_BYTES: usize = 4_096;
const COUNTERS: [&str; 6] = [
    "first_attempts",
    "sent",
    "retries",
    "attempts",
    "orders",
    "store_calls",
];

#[gtest]
fn counters_come_before_histograms_that_fill_a_small_collector() -> Result<()> {
    let metrics = GatewayMetrics::new();
    for route in (0..1_000).map(|number| format!("route-{number}")) {
        metrics.count_request(&route, RequestOutcome::Answered);
        metrics.wait_ms(&route, 1);
        metrics.answer_ms(&route, 1);
    }
    for service in ["engines", "application"].map(ServiceName::from) {
        metrics.count_first_attempt(&service);
        metrics.count_sent(&service);
        metrics.count_retry(&service, true);
        metrics.count_retry(&service, false);
    }
    metrics.count_attempt("lost");
    metrics.count_order("load", "accepted");
    metrics.count_store_call("follow", "failed");
    let text = metrics.encode();
    let kept = &text[..KEPT_BYTES];
    let mut missing = COUNTERS.to_vec();
    missing.retain(|name| !kept.contains(&format!("chicorystage_gateway_{name}_total{{")));
    verify_that!(missing, is_empty())
}
