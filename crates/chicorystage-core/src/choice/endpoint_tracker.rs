use std::collections::HashMap;

use chicorystage_api::name::VmId;
use chicorystage_api::work::EndpointLoad;

use crate::choice::endpoint_record::EndpointRecord;
use crate::choice::{Candidate, ChosenEndpoint};

/// Cost of the round trip to another availability zone, in milliseconds.
const OTHER_ZONE_COST_MS: u64 = 3;
/// Processing time saved if the prompt's prefix is cached, in milliseconds.
const PREFIX_BENEFIT_MS: u64 = 40;
/// Cost of each further attempt in the same batch, in milliseconds.
const BATCH_COST_MS: u64 = 2;
/// Time after which the record of an unused endpoint may be dropped, in milliseconds.
const RECORD_AGE_MAX_MS: u64 = 600_000;
/// Number of records above which those of unused endpoints are dropped.
const RECORDS_SWEPT_ABOVE: usize = 1_024;

/// Load records of the endpoints that a router used recently, for the choice among them.
#[derive(Clone, Debug, Default)]
pub struct EndpointTracker {
    records: HashMap<VmId, EndpointRecord>,
}

impl EndpointTracker {
    /// Returns the candidate with the least estimated cost; `None` without candidates.
    ///
    /// Candidates are given in order of preference, which breaks ties. `prefix_at` is the
    /// endpoint that probably has the prompt's prefix in its cache.
    #[must_use]
    pub fn choose(
        &self,
        now_ms: u64,
        candidates: &[Candidate],
        prefix_at: Option<&VmId>,
    ) -> Option<ChosenEndpoint> {
        let cost = |candidate: &&Candidate| {
            let record = self.record(&candidate.vm);
            let mut cost_ms = record.estimated_wait_ms(now_ms) + PREFIX_BENEFIT_MS;
            cost_ms += record.occupancy(now_ms) * BATCH_COST_MS;
            cost_ms += record.unanswered_cost_ms(now_ms);
            if !candidate.same_zone {
                cost_ms += OTHER_ZONE_COST_MS;
            }
            if prefix_at == Some(&candidate.vm) {
                cost_ms -= PREFIX_BENEFIT_MS;
            }
            cost_ms
        };
        let chosen = candidates.iter().min_by_key(cost)?;
        Some(ChosenEndpoint {
            vm: chosen.vm.clone(),
            estimated_wait_ms: self.record(&chosen.vm).estimated_wait_ms(now_ms),
        })
    }

    /// Records that an attempt was sent to an endpoint.
    pub fn started(&mut self, now_ms: u64, vm: &VmId) {
        self.sweep(now_ms);
        self.records.entry(vm.clone()).or_default().started(now_ms);
    }

    /// Records that an attempt ended, with the endpoint's latest load report if there is one.
    pub fn ended(&mut self, now_ms: u64, vm: &VmId, load: Option<EndpointLoad>) {
        if let Some(record) = self.records.get_mut(vm) {
            record.ended(now_ms, load);
        }
    }

    /// Records that an endpoint's agent did not answer, so that others are preferred for 5
    /// seconds.
    pub fn unanswered(&mut self, now_ms: u64, vm: &VmId) {
        let record = self.records.entry(vm.clone()).or_default();
        record.unanswered(now_ms);
    }

    /// Returns the number of this router's attempts in flight at an endpoint.
    #[must_use]
    pub fn in_flight(&self, vm: &VmId) -> u32 {
        self.record(vm).in_flight()
    }

    /// Returns the number of this router's attempts in flight at all endpoints.
    #[must_use]
    pub fn in_flight_total(&self) -> u32 {
        self.records.values().map(EndpointRecord::in_flight).sum()
    }

    fn record(&self, vm: &VmId) -> EndpointRecord {
        self.records.get(vm).copied().unwrap_or_default()
    }

    fn sweep(&mut self, now_ms: u64) {
        if self.records.len() <= RECORDS_SWEPT_ABOVE {
            return;
        }
        self.records.retain(|_, record| {
            record.in_flight() > 0 || now_ms.saturating_sub(record.used_ms()) < RECORD_AGE_MAX_MS
        });
    }
}
