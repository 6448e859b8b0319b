use chicorystage_api::work::EndpointLoad;

/// Age at which a report says nothing any more, in milliseconds.
const REPORT_FADES_MS: u64 = 5_000;

/// Cost of an endpoint that has just not answered, in milliseconds.
const UNANSWERED_COST_MS: u64 = 2_000;
/// Time in which that cost fades to nothing, in milliseconds.
const UNANSWERED_FADES_MS: u64 = 5_000;

/// What a router knows of one endpoint.
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

    /// Notes that an attempt ended.
    ///
    /// The report may still count the attempt itself, so that others are
    /// overestimated by one at most.
    pub(super) fn ended(&mut self, now_ms: u64, load: Option<EndpointLoad>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.used_ms = now_ms;
        let Some(load) = load else { return };
        self.unanswered_ms = None;
        let there = load.running.saturating_add(load.queued);
        self.others_at_report = there.saturating_sub(self.in_flight);
        self.report = load;
        self.reported_ms = Some(now_ms);
    }

    /// Notes that the endpoint's agent did not answer.
    pub(super) fn unanswered(&mut self, now_ms: u64) {
        self.unanswered_ms = Some(now_ms);
        self.used_ms = now_ms;
    }

    /// Returns what it costs to try an endpoint that did not answer lately.
    pub(super) fn unanswered_cost_ms(&self, now_ms: u64) -> u64 {
        let Some(unanswered_ms) = self.unanswered_ms else {
            return 0;
        };
        let age_ms = now_ms.saturating_sub(unanswered_ms);
        let left_ms = UNANSWERED_FADES_MS.saturating_sub(age_ms);
        UNANSWERED_COST_MS * left_ms / UNANSWERED_FADES_MS
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    pub(super) fn used_ms(&self) -> u64 {
        self.used_ms
    }

    /// Returns the attempts there now, by what is known.
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
        let age_ms = now_ms.saturating_sub(reported_ms).min(REPORT_FADES_MS);
        u64::from(self.others_at_report) * (REPORT_FADES_MS - age_ms) / REPORT_FADES_MS
    }
}
