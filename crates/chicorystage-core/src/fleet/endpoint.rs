use std::collections::HashMap;

use chicorystage_api::name::ModelName;

use crate::fleet::endpoint_models::ModelReport;
use crate::fleet::misdirection::Misdirection;
use crate::fleet::room_share::OwnShare;
use crate::fleet::{EndpointEntry, EndpointState, PromptPace};
use crate::request_limit::LimitRecord;

/// Time for which no request goes to an endpoint after a failed connection attempt, in
/// milliseconds.
const UNREACHABLE_MS: u64 = 800;
/// Number of connections in a row that break during a request after which an endpoint gets none while
/// others could take it.
///
/// A single connection also breaks where an endpoint has closed it while it was idle.
const BREAKS_MAX: u32 = 2;
/// Time for which an endpoint counts as breaking its connections after the last one, in milliseconds.
const BREAKING_MS: u64 = 800;
/// Time for which an endpoint counts as full after it refused a request, in milliseconds.
const FULL_MS: u64 = 80;
/// Weight of the newest outcome in the exponentially weighted average of failures.
const OUTCOME_WEIGHT: f64 = 0.3;
/// Time in which the failure rate decays to 1/e without new requests, in milliseconds.
const FAILURE_DECAY_MS: f64 = 3_000.0;
/// Time without any answer after which an endpoint with unanswered requests counts as silent, in
/// milliseconds.
const SILENCE_MS: u64 = 700;

/// State of one endpoint as this process observes it.
///
/// Combines the registered entry, the models reported by the lease holder, the requests
/// of this process in progress, and health derived from answers and failures.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Entry that the endpoint registered.
    pub entry: EndpointEntry,
    pub(super) report: Option<ModelReport>,
    /// Requests of this process in progress, by model; the key is `None` for a plain application.
    in_progress: HashMap<Option<ModelName>, u32>,
    pub(super) misdirection: Misdirection,
    failure_rate: f64,
    failure_rate_ms: u64,
    unanswered: u32,
    silent_since_ms: u64,
    unreachable_until_ms: u64,
    full_until_ms: u64,
    /// Whether the endpoint has said in an answer that it leaves.
    has_said_it_leaves: bool,
    /// End of the time for which the endpoint wants no request, in milliseconds.
    held_until_ms: u64,
    /// Limit that the endpoint names for the requests of all gateways.
    pub limit: LimitRecord,
    /// Connections in a row that broke during a request, without an answer between them.
    breaks: u32,
    last_break_ms: u64,
    /// Pacing of the prompts that this process sends to the endpoint.
    pub pace: PromptPace,
    /// Whether the software version of the endpoint is recorded, or need not be.
    is_software_recorded: bool,
    /// Own part of the room where more requests wait for the endpoint than it has room for.
    own_share: Option<OwnShare>,
}

impl Endpoint {
    /// Creates the state of a newly registered endpoint, without any requests or failures.
    #[must_use]
    pub fn new(entry: EndpointEntry) -> Self {
        Self {
            entry,
            report: None,
            in_progress: HashMap::new(),
            misdirection: Misdirection::default(),
            failure_rate: 0.0,
            failure_rate_ms: 0,
            unanswered: 0,
            silent_since_ms: 0,
            unreachable_until_ms: 0,
            full_until_ms: 0,
            has_said_it_leaves: false,
            held_until_ms: 0,
            limit: LimitRecord::default(),
            breaks: 0,
            last_break_ms: 0,
            pace: PromptPace::default(),
            is_software_recorded: true,
            own_share: None,
        }
    }

    /// Returns whether the endpoint is registered as accepting new requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.entry.state == EndpointState::Ready
    }

    /// Records a failed connection attempt, which excludes the endpoint for 0.8 seconds.
    pub fn unreachable(&mut self, now_ms: u64) {
        self.unreachable_until_ms = now_ms + UNREACHABLE_MS;
    }

    /// Records that a connection broke during a request, before any answer.
    pub fn connection_broke(&mut self, now_ms: u64) {
        self.breaks = self.breaks.saturating_add(1);
        self.last_break_ms = now_ms;
    }

    /// Records that an answer has begun to arrive.
    pub fn responded(&mut self) {
        self.breaks = 0;
    }

    /// Returns whether the last requests to the endpoint all broke their connections, and none should
    /// be sent now.
    ///
    /// Such an endpoint fails at once and so looks idle. Where the others are full it would attract all
    /// requests, which had better wait. After a while one request at a time finds out whether it serves
    /// again.
    #[must_use]
    pub fn breaks_connections(&self, now_ms: u64) -> bool {
        let is_recent = now_ms < self.last_break_ms + BREAKING_MS;
        self.breaks >= BREAKS_MAX && (is_recent || !self.in_progress.is_empty())
    }

    /// Records that another endpoint answered at this one's address, which excludes this one for 3
    /// seconds or until its entry is written again.
    pub fn identity_refused(&mut self, now_ms: u64) {
        self.misdirection.identity_refused(now_ms);
    }

    /// Records that the endpoint has written its registry entry.
    pub(super) fn entry_written(&mut self) {
        self.misdirection.entry_written();
    }

    /// Records that the endpoint has said in an answer that it leaves, which holds until it restarts.
    pub fn said_it_leaves(&mut self) {
        self.has_said_it_leaves = true;
    }

    /// Returns whether the endpoint accepts new requests by its entry and by its own answers.
    #[must_use]
    pub fn accepts_requests(&self) -> bool {
        self.is_ready() && !self.has_said_it_leaves
    }

    /// Records that the endpoint wants no request from this process for a time in milliseconds.
    pub fn hold_back(&mut self, now_ms: u64, hold_ms: u64) {
        self.held_until_ms = self.held_until_ms.max(now_ms + hold_ms);
    }

    /// Returns the end of the time for which the endpoint wants no request, in milliseconds; `None` if
    /// it wants some now.
    #[must_use]
    pub fn held_until_ms(&self, now_ms: u64) -> Option<u64> {
        (now_ms < self.held_until_ms).then_some(self.held_until_ms)
    }

    /// Sets whether the software version of the endpoint is recorded, or need not be.
    pub(super) fn set_software_recorded(&mut self, is_recorded: bool) {
        self.is_software_recorded = is_recorded;
    }

    /// Returns whether streams that may be resumed may begin at the endpoint.
    #[must_use]
    pub fn is_software_recorded(&self) -> bool {
        self.is_software_recorded
    }

    /// Returns whether new requests may go to the endpoint.
    #[must_use]
    pub fn is_usable(&self, now_ms: u64) -> bool {
        self.accepts_requests()
            && self.is_reachable(now_ms)
            && !self.misdirection.is_identity_refused(now_ms)
    }

    /// Records that the endpoint refused a request for lack of capacity.
    ///
    /// The endpoint counts as full for 80 ms.
    pub fn refused(&mut self, now_ms: u64) {
        self.full_until_ms = now_ms + FULL_MS;
    }

    /// Returns whether the endpoint has capacity for one more request beside `occupancy` others.
    ///
    /// The answer is an estimate: requests of other routers are known only with a delay.
    #[must_use]
    pub fn has_capacity(&self, now_ms: u64, occupancy: f64) -> bool {
        let is_held = self.held_until_ms(now_ms).is_some();
        let has_slot = occupancy + 1.0 <= f64::from(self.entry.slots);
        now_ms >= self.full_until_ms && !is_held && has_slot
    }

    /// Sets the own part of the room until the next report; `None` where the room is not divided.
    pub(super) fn set_own_share(&mut self, own_share: Option<OwnShare>) {
        self.own_share = own_share;
    }

    /// Returns whether the room was divided at the last report.
    pub(super) fn has_own_share(&self) -> bool {
        self.own_share.is_some()
    }

    /// Returns whether the own part of the room is used up.
    #[must_use]
    pub(super) fn has_used_share(&self, now_ms: u64) -> bool {
        let share = self.own_share.filter(|share| now_ms < share.valid_until_ms);
        share.is_some_and(|share| self.own_requests() >= share.requests_max)
    }

    /// Returns whether no connection attempt to the endpoint failed recently.
    #[must_use]
    pub fn is_reachable(&self, now_ms: u64) -> bool {
        now_ms >= self.unreachable_until_ms
    }

    /// Resets everything that a restart of the endpoint invalidates.
    ///
    /// The registered entry and the count of requests in progress are kept.
    pub fn restarted(&mut self) {
        self.report = None;
        self.misdirection.restarted();
        self.failure_rate = 0.0;
        self.unanswered = 0;
        self.unreachable_until_ms = 0;
        self.has_said_it_leaves = false;
        self.held_until_ms = 0;
        self.limit = LimitRecord::default();
        self.breaks = 0;
        self.pace = PromptPace::default();
        self.own_share = None;
    }

    /// Records that a request was sent to the endpoint.
    pub fn started(&mut self, now_ms: u64, model: Option<&ModelName>) {
        *self.in_progress.entry(model.cloned()).or_default() += 1;
        if self.unanswered == 0 {
            self.silent_since_ms = now_ms;
        }
        self.unanswered += 1;
        self.limit.use_token(now_ms);
    }

    /// Records that the answer to a request began, or that the request failed before that.
    pub fn answered(&mut self, now_ms: u64) {
        self.unanswered = self.unanswered.saturating_sub(1);
        self.silent_since_ms = now_ms;
    }

    /// Records that a request is no longer in progress.
    pub fn ended(&mut self, model: Option<&ModelName>) {
        let key = model.cloned();
        let Some(count) = self.in_progress.get_mut(&key) else {
            return;
        };
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.in_progress.remove(&key);
        }
    }

    /// Adds the outcome of a request to the failure rate.
    pub fn outcome(&mut self, now_ms: u64, is_good: bool) {
        if is_good {
            self.misdirection.served();
        }
        let newest = if is_good { 0.0 } else { 1.0 };
        let before = self.failure_rate(now_ms);
        self.failure_rate = before * (1.0 - OUTCOME_WEIGHT) + newest * OUTCOME_WEIGHT;
        self.failure_rate_ms = now_ms;
    }

    /// Returns the share of recent requests that failed, from 0 to 1, decayed by the time since
    /// the last outcome.
    #[must_use]
    pub fn failure_rate(&self, now_ms: u64) -> f64 {
        #[expect(
            clippy::cast_precision_loss,
            reason = "ages of interest are far below the mantissa"
        )]
        let age_ms = now_ms.saturating_sub(self.failure_rate_ms) as f64;
        self.failure_rate * (-age_ms / FAILURE_DECAY_MS).exp()
    }

    /// Returns whether requests are unanswered and the endpoint has not answered any for 0.7
    /// seconds.
    #[must_use]
    pub fn is_silent(&self, now_ms: u64) -> bool {
        self.unanswered > 0 && now_ms.saturating_sub(self.silent_since_ms) > SILENCE_MS
    }

    /// Returns the requests of this process in progress, by model.
    pub fn in_progress(&self) -> impl Iterator<Item = (&Option<ModelName>, u32)> {
        self.in_progress
            .iter()
            .map(|(model, count)| (model, *count))
    }

    /// Returns the number of requests of this process in progress.
    #[must_use]
    pub fn own_requests(&self) -> u32 {
        self.in_progress.values().sum()
    }
}
