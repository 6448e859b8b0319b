use chicorystage_api::work::EndpointLoad;

/// Age at which the other routers' load in a report has decayed to zero, in milliseconds.
const REPORT_DECAY_MS: u64 = 5_000;

/// Cost of an endpoint immediately after its agent did not answer, in milliseconds.
const UNANSWERED_COST_MS: u64 = 2_000;
/// Time in which that cost decays linearly to zero, in milliseconds.
const UNANSWERED_DECAY_MS: u64 = 5_000;

/// Load record of one endpoint: its latest report and this router's own attempts.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EndpointRecord {
    report: EndpointLoad,
    reported_ms: Option<u64>,
    others_at_report: u32,
    in_flight: u32,
    used_ms: u64,
    unanswered_ms: Option<u64>,
}

impl EndpointRecord {
    pub(super) fn started(&mut self, now_ms: u64) {
        self.in_flight += 1;
        self.used_ms = now_ms;
    }

    /// Records that an attempt ended, with the endpoint's load report if there is one.
    ///
    /// The report may still count the attempt itself, so the load of others is overestimated by
    /// at most one.
    pub(super) fn ended(&mut self, now_ms: u64, load: Option<EndpointLoad>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.used_ms = now_ms;
        let Some(load) = load else { return };
        self.unanswered_ms = None;
        let at_endpoint = load.running.saturating_add(load.queued);
        self.others_at_report = at_endpoint.saturating_sub(self.in_flight);
        self.report = load;
        self.reported_ms = Some(now_ms);
    }

    /// Records that the endpoint's agent did not answer.
    pub(super) fn unanswered(&mut self, now_ms: u64) {
        self.unanswered_ms = Some(now_ms);
        self.used_ms = now_ms;
    }

    /// Returns the decaying cost of an endpoint whose agent did not answer recently, in
    /// milliseconds.
    pub(super) fn unanswered_cost_ms(&self, now_ms: u64) -> u64 {
        let Some(unanswered_ms) = self.unanswered_ms else {
            return 0;
        };
        let age_ms = now_ms.saturating_sub(unanswered_ms);
        let left_ms = UNANSWERED_DECAY_MS.saturating_sub(age_ms);
        UNANSWERED_COST_MS * left_ms / UNANSWERED_DECAY_MS
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    pub(super) fn used_ms(&self) -> u64 {
        self.used_ms
    }

    /// Returns the estimated number of attempts at the endpoint, of this router and all others.
    pub(super) fn occupancy(&self, now_ms: u64) -> u64 {
        u64::from(self.in_flight) + self.others(now_ms)
    }

    pub(super) fn estimated_wait_ms(&self, now_ms: u64) -> u64 {
        let slots = u64::from(self.report.slots.max(1));
        let occupancy = self.occupancy(now_ms);
        if self.reported_ms.is_none() || occupancy < slots {
            return 0;
        }
        let ahead = occupancy - slots + 1;
        ahead
            .saturating_mul(self.report.service_time_ms)
            .div_ceil(slots)
    }

    fn others(&self, now_ms: u64) -> u64 {
        let Some(reported_ms) = self.reported_ms else {
            return 0;
        };
        let age_ms = now_ms.saturating_sub(reported_ms).min(REPORT_DECAY_MS);
        u64::from(self.others_at_report) * (REPORT_DECAY_MS - age_ms) / REPORT_DECAY_MS
    }
}
