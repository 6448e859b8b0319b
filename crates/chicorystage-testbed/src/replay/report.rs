use std::fmt::Write;

use chicorystage_api::inventory::Class;

use crate::replay::sim::Tally;
use crate::replay::{Deployment, Scenario};

/// Milliseconds in an hour.
const HOUR_MS: u128 = 3_600_000;

/// Results of replaying one trace under one policy.
#[derive(Clone, Debug)]
pub struct Report {
    /// Name of the trace.
    pub trace: String,
    /// Name of the policy.
    pub policy: String,
    /// Whether the policy is a fixed keep-alive.
    pub is_fixed_keep_alive: bool,
    /// Requests that reached a router.
    pub requests: u64,
    /// Requests answered before their deadline.
    pub answered: u64,
    /// Requests that finished after their deadline or never.
    pub late: u64,
    /// Number of refused requests by refusal code, as text.
    pub refusals: String,
    /// Answered requests that waited for a load.
    pub cold_starts: u64,
    /// Quantiles 50, 95 and 99 of the cold starts, in milliseconds.
    pub cold_ms: [u64; 3],
    /// Quantile 99 of the cold-start time over all requests, in milliseconds:
    /// a warm request counts as 0, one refused while cold as its whole timeout.
    pub cold_p99_ms: u64,
    /// Quantile 95 of the time to the first token of answered requests, in milliseconds.
    pub first_token_p95_ms: u64,
    /// Time that accelerator memory held idle replicas, in thousandths of an
    /// hour of a whole accelerator.
    pub idle_millihours: u64,
    /// Loads started.
    pub loads: u64,
    /// Loads started ahead of an expected request.
    pub prewarms: u64,
    /// Highest number of loads that one slot started within a minute.
    pub loads_per_slot_max: u64,
    /// Work done before its deadline and within the trace's length, in percent of capacity.
    pub goodput_percent: u64,
    /// Lowest goodput of a well-behaved tenant, in percent of its demand.
    ///
    /// A tenant is well-behaved where its demand is at most an equal part of the
    /// capacity; 100 where no tenant is.
    pub fair_share_percent: u64,
    /// Answered requests of the top class.
    pub top_class_answered: u64,
    /// Answered requests of the top class, in percent of those answered when
    /// the same trace holds only that class; `None` where this is not measured.
    pub top_class_percent: Option<u64>,
}

impl Report {
    /// Computes the report from the counts of a replay.
    ///
    /// `policy` is its name, and whether it is a fixed keep-alive.
    pub(crate) fn new(
        scenario: &Scenario,
        deployment: &Deployment,
        policy: (&str, bool),
        tally: &Tally,
    ) -> Self {
        let finished = tally.answered + tally.late + tally.refusals.values().sum::<u64>();
        let capacity_ms = deployment.capacity() * scenario.length_ms;
        let millihours =
            tally.idle_bytes_ms * 1_000 / (u128::from(deployment.memory_bytes) * HOUR_MS);
        let mut refusals = String::new();
        for (code, count) in &tally.refusals {
            let _written = write!(refusals, "{code} {count} ");
        }
        Self {
            trace: scenario.name.clone(),
            policy: policy.0.to_owned(),
            is_fixed_keep_alive: policy.1,
            requests: tally.requests,
            answered: tally.answered,
            late: tally.late + tally.requests.saturating_sub(finished),
            refusals: refusals.trim_end().to_owned(),
            cold_starts: tally.cold_starts_ms.len() as u64,
            cold_ms: [50, 95, 99].map(|percent| quantile(&tally.cold_starts_ms, percent)),
            cold_p99_ms: quantile(&tally.cold_waits_ms, 99),
            first_token_p95_ms: quantile(&tally.first_tokens_ms, 95),
            idle_millihours: u64::try_from(millihours).unwrap_or(u64::MAX),
            loads: tally.loads,
            prewarms: tally.prewarms,
            loads_per_slot_max: tally.loads_per_slot_max,
            goodput_percent: tally.goodput_ms * 100 / capacity_ms.max(1),
            fair_share_percent: least_fair_share_percent(tally, capacity_ms),
            top_class_answered: tally
                .answered_by_class
                .get(&Class::Interactive)
                .copied()
                .unwrap_or(0),
            top_class_percent: None,
        }
    }

    /// Returns the header of the Markdown table whose rows [`line`](Self::line) returns.
    #[must_use]
    pub fn head() -> &'static str {
        "| trace | policy | sent | answered | late | refused | cold | cold p50/p95/p99 s | p99 of all s | first token p95 s | idle h | loads (ahead) | loads a slot a min | goodput % | least share % | top class % |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|"
    }

    /// Returns the results as one row of the Markdown table.
    #[must_use]
    pub fn line(&self) -> String {
        let [p50, p95, p99] = self.cold_ms.map(thousandths);
        let top = self
            .top_class_percent
            .map_or_else(String::new, |percent| percent.to_string());
        format!(
            "| {} | {} | {} | {} | {} | {} | {} | {p50}/{p95}/{p99} | {} | {} | {} | {} ({}) | {} | {} | {} | {top} |",
            self.trace,
            self.policy,
            self.requests,
            self.answered,
            self.late,
            self.refusals,
            self.cold_starts,
            thousandths(self.cold_p99_ms),
            thousandths(self.first_token_p95_ms),
            thousandths(self.idle_millihours),
            self.loads,
            self.prewarms,
            self.loads_per_slot_max,
            self.goodput_percent,
            self.fair_share_percent,
        )
    }
}

/// Returns the smallest value that at least `percent` of the values do not
/// exceed; 0 without values.
fn quantile(values: &[u64], percent: usize) -> u64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let rank = (sorted.len() * percent).div_ceil(100);
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0)
}

fn thousandths(value: u64) -> String {
    format!("{}.{:02}", value / 1_000, value % 1_000 / 10)
}

/// Returns the lowest goodput, in percent of demand, among tenants whose
/// demand is at most an equal part of the capacity.
///
/// With equal weights, max-min fairness gives such a tenant its whole demand.
fn least_fair_share_percent(tally: &Tally, capacity_ms: u64) -> u64 {
    let tenants = tally.demand_by_tenant_ms.len().max(1) as u64;
    let equal_ms = capacity_ms / tenants;
    let well_behaved = tally
        .demand_by_tenant_ms
        .iter()
        .filter(|(_, demand_ms)| **demand_ms <= equal_ms);
    let percent = well_behaved.map(|(tenant, demand_ms)| {
        let goodput_ms = tally.goodput_by_tenant_ms.get(tenant).copied().unwrap_or(0);
        goodput_ms * 100 / (*demand_ms).max(1)
    });
    percent.min().unwrap_or(100)
}
