//! Compares the endpoints that could take a request.

use chicorystage_api::name::ZoneName;

use crate::fleet::{Choice, Endpoint, Requirements};

/// Cost of an endpoint at full capacity; all costs are relative to this value.
const FULL_BATCH_COST: f64 = 100.0;
/// Cost of each millisecond by which pacing would defer the prompt.
const DEFER_COST_PER_MS: f64 = 0.3;
/// Cost of an endpoint in another availability zone.
const OTHER_ZONE_COST: f64 = 4.0;
/// Cost of an endpoint whose recent requests all failed.
const FAILURE_COST: f64 = 200.0;
/// Cost of an endpoint that has unanswered requests and has not answered for a while.
const SILENCE_COST: f64 = 150.0;
/// Cost of an endpoint on which an earlier attempt of the same request failed.
const FAILED_BEFORE_COST: f64 = 1_000.0;

/// Returns what of the requirements an endpoint lacks, if anything.
pub(super) fn missing_requirement(
    now_ms: u64,
    endpoint: &Endpoint,
    requirements: &Requirements,
) -> Option<Choice> {
    let model = requirements.model.as_ref()?;
    if !endpoint.holds(now_ms, model) {
        return Some(Choice::NoModel);
    }
    let adapter = requirements.adapter.as_ref()?;
    let holds = endpoint.holds_adapter(now_ms, model, adapter);
    (!holds).then_some(Choice::NoAdapter)
}

/// Returns the cost of sending a request to an endpoint; the least is best.
pub(super) fn cost(
    now_ms: u64,
    zone: &ZoneName,
    endpoint: &Endpoint,
    occupancy: f64,
    failed_before: bool,
) -> f64 {
    let mut cost = request_cost(endpoint) * occupancy;
    cost += DEFER_COST_PER_MS * endpoint.pace.defer_ms(now_ms);
    cost += FAILURE_COST * endpoint.failure_rate(now_ms);
    if endpoint.entry.zone != *zone {
        cost += OTHER_ZONE_COST;
    }
    if endpoint.is_silent(now_ms) {
        cost += SILENCE_COST;
    }
    if failed_before {
        cost += FAILED_BEFORE_COST;
    }
    cost
}

/// Returns the cost that one request in progress adds to an endpoint.
pub(super) fn request_cost(endpoint: &Endpoint) -> f64 {
    FULL_BATCH_COST / f64::from(endpoint.entry.slots.max(1))
}

/// Returns the reason that is closer to success.
pub(super) fn better_reason(known: Choice, new: Choice) -> Choice {
    let rank = |choice: &Choice| match choice {
        Choice::NoEndpoint => 0,
        Choice::NoModel => 1,
        Choice::NoAdapter => 2,
        Choice::Full => 3,
        Choice::Limited => 4,
        Choice::Reading => 5,
        Choice::Endpoint(_) => 6,
    };
    if rank(&new) > rank(&known) {
        new
    } else {
        known
    }
}
