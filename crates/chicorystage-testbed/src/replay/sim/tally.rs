use std::collections::BTreeMap;

use chicorystage_api::inventory::Class;
use chicorystage_api::refusal::RefusalCode;

/// Counters and samples that a replay collects for the report.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) requests: u64,
    pub(crate) answered: u64,
    pub(crate) late: u64,
    pub(crate) refusals: BTreeMap<RefusalCode, u64>,
    /// Wait of each answered cold request, from its arrival at the worker to its start.
    pub(crate) cold_starts_ms: Vec<u64>,
    /// Cold-start wait of every finished request: 0 if warm, its timeout if refused while cold.
    pub(crate) cold_waits_ms: Vec<u64>,
    pub(crate) first_tokens_ms: Vec<u64>,
    pub(crate) idle_bytes_ms: u128,
    pub(crate) loads: u64,
    pub(crate) prewarms: u64,
    pub(crate) loads_per_slot_max: u64,
    pub(crate) goodput_ms: u64,
    pub(crate) goodput_by_tenant_ms: BTreeMap<usize, u64>,
    pub(crate) demand_by_tenant_ms: BTreeMap<usize, u64>,
    pub(crate) answered_by_class: BTreeMap<Class, u64>,
}

impl Tally {
    pub(crate) fn refuse(&mut self, code: RefusalCode) {
        *self.refusals.entry(code).or_default() += 1;
    }
}
