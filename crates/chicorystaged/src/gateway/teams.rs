//! Decides whether a request's key and its team's quota let it in.
//!
//! Where the configuration lists teams, the key is taken out of the request first, so that nothing
//! later can pass it on. A key is accepted only while the configuration is confirmed often enough that
//! no key in it can have been withdrawn for long (see [`chicorystage_core::teams::ConfirmedView`]).

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use chicorystage_core::admission::retry_delay_ms;
use chicorystage_core::deployment::{Configuration, Route};
use chicorystage_core::fleet::load_period_ms;
use chicorystage_core::quota::QuotaDecision;
use chicorystage_core::teams::{Access, KeyDigest, Team};
use chicorystage_platform::caller_request::CallerRequest;
use chicorystage_platform::credentials::{self, Credentials};
use http::header::CONNECTION;
use http::{HeaderMap, HeaderValue, Response, StatusCode};

use crate::gateway::answer_body::AnswerBody;
use crate::gateway::own_responses::{refusal_with, refuse_at_gateway, text_response};
use crate::gateway::shared::Gateway;
use crate::gateway::view::GATEWAYS_UNKNOWN;
use crate::timer::boot_ms;

/// Divisor of the latency objective; the quotient limits how long a request waits for its team's quota.
const QUOTA_WAIT_DIVISOR: u64 = 2;

/// A request's team, with the units that the request was charged.
///
/// Dropping it gives the units back, unless an endpoint may have run the request.
#[derive(Debug)]
pub struct TeamRequest {
    gateway: Rc<Gateway>,
    /// The team.
    pub team: Arc<Team>,
    key: KeyDigest,
    units: f64,
    may_have_run: Cell<bool>,
}

impl TeamRequest {
    /// Records whether an endpoint may have run the request; it stays so once it is true.
    pub fn sent(&self, may_have_run: bool) {
        self.may_have_run
            .set(self.may_have_run.get() || may_have_run);
    }

    /// Returns whether the key was withdrawn after the request arrived.
    #[must_use]
    pub fn is_withdrawn(&self) -> bool {
        let configuration = self.gateway.configuration();
        configuration.is_some_and(|configuration| {
            let teams = &configuration.teams;
            !teams.is_empty() && teams.team(&self.key).is_none()
        })
    }
}

impl Drop for TeamRequest {
    fn drop(&mut self) {
        if self.may_have_run.get() {
            return;
        }
        self.gateway
            .with(|view| view.quotas.give_back(&self.team.name, self.units));
    }
}

/// Returns the team of a request, which is charged to its quota; `None` if it needs none.
///
/// Removes the caller's credentials from `headers` where the configuration lists teams.
///
/// # Errors
///
/// Returns the refusal of a request that may not run.
pub async fn admit(
    gateway: &Rc<Gateway>,
    configuration: &Configuration,
    route: &Route,
    head: &CallerRequest,
    headers: &mut HeaderMap,
) -> Result<Option<TeamRequest>, Box<Response<AnswerBody>>> {
    if configuration.teams.is_empty() {
        return Ok(None);
    }
    let key = match credentials::take(headers) {
        Credentials::Key(key) => Some(gateway.key_hasher.digest(key.as_bytes())),
        Credentials::Absent | Credentials::Unreadable => None,
    };
    if (key.is_some() || !route.is_public) && !gateway.admits_keys() {
        return Err(Box::new(refuse_unconfirmed(gateway, head)));
    }
    match configuration.access(route, key) {
        Access::Open => Ok(None),
        Access::Denied => {
            gateway.metrics.teams.count("", "denied");
            Err(Box::new(refuse_key(head, configuration.version)))
        }
        Access::Team(team, key) => charge(gateway, route, head, team, key).await.map(Some),
    }
}

/// Charges a request to its team's quota.
///
/// Where only this gateway's part of the quota is used up, the request waits for the next report once, if
/// it can still be answered in time then.
async fn charge(
    gateway: &Rc<Gateway>,
    route: &Route,
    head: &CallerRequest,
    team: Arc<Team>,
    key: KeyDigest,
) -> Result<TeamRequest, Box<Response<AnswerBody>>> {
    let cost = team.quota.map_or(0.0, |quota| quota.cost(head.tokens()));
    let now_ms = gateway.now_ms();
    let report_ms = gateway.with(|view| {
        view.quotas.asked(now_ms, &team.name, cost);
        load_period_ms(view.gateways())
    });
    let mut decision = decide(gateway, &team, cost);
    if let QuotaDecision::Refused {
        is_momentary: true,
        level,
        ..
    } = decision
        && report_ms <= route.objective_ms / QUOTA_WAIT_DIVISOR
    {
        gateway.metrics.teams.count(team.name.as_str(), "waited");
        log::info!(
            event = "quota_waited", request = head.attempt_id.as_str(), team = team.name.as_str(),
            cost, level, wait_ms = report_ms;
            "this gateway's part of the quota is used up until the next report"
        );
        tokio::time::sleep(Duration::from_millis(report_ms)).await;
        decision = decide(gateway, &team, cost);
    }
    match decision {
        QuotaDecision::Admitted(units) => {
            gateway.metrics.teams.count(team.name.as_str(), "admitted");
            Ok(TeamRequest {
                gateway: Rc::clone(gateway),
                team,
                key,
                units,
                may_have_run: Cell::new(false),
            })
        }
        QuotaDecision::Refused {
            retry_in_ms,
            level,
            asked_per_s,
            ..
        } => {
            gateway.metrics.teams.count(team.name.as_str(), "quota");
            let back_ms = retry_delay_ms(retry_in_ms, head.deadline_ms.unwrap_or(0));
            log::info!(
                event = "request_refused", request = head.attempt_id.as_str(), lacking = "quota",
                team = team.name.as_str(), cost, level, asked_per_s, back_ms;
                "request refused"
            );
            let status = StatusCode::TOO_MANY_REQUESTS;
            Err(Box::new(refusal_with(
                status,
                "quota of the team is used up",
                back_ms,
            )))
        }
    }
}

/// Decides on a request by its team's quota, and charges it if it is admitted.
fn decide(gateway: &Gateway, team: &Team, cost: f64) -> QuotaDecision {
    let now_ms = gateway.now_ms();
    let random = rand::random();
    gateway.with(|view| {
        let gateways = view.gateways_or(GATEWAYS_UNKNOWN);
        view.quotas
            .admit(now_ms, &team.name, cost, gateways, random)
    })
}

/// Returns the error of a request without a key that a team holds.
#[must_use]
pub fn refuse_key(head: &CallerRequest, version: u64) -> Response<AnswerBody> {
    log::info!(
        event = "request_refused", request = head.attempt_id.as_str(), lacking = "key", version;
        "request refused"
    );
    text_response(StatusCode::UNAUTHORIZED, "no valid key")
}

/// Returns the refusal of a request whose key may have been withdrawn without this gateway's knowledge.
///
/// Its connection closes, so that the caller comes back at a gateway that reads the store.
fn refuse_unconfirmed(gateway: &Gateway, head: &CallerRequest) -> Response<AnswerBody> {
    let age_ms = gateway.configuration_age_ms();
    gateway.metrics.teams.count("", "unconfirmed");
    log::info!(
        event = "configuration_unconfirmed", request = head.attempt_id.as_str(), age_ms:?;
        "keys may have been withdrawn since the configuration was last confirmed"
    );
    let mut response = refuse_at_gateway(head, "confirmed configuration");
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

impl Gateway {
    /// Returns for how long no read can confirm the configuration yet, in milliseconds; `None` if it was
    /// confirmed in this era of the store.
    pub(super) fn unconfirmed_left_ms(&self) -> Option<u64> {
        let confirmed = self.confirmed.get();
        confirmed.unconfirmed_left_ms(boot_ms(), &self.era())
    }

    /// Records that a read of the operator's table, begun at `began_boot_ms` on the boot clock, was
    /// answered and applied.
    pub(super) fn confirm_configuration(&self, began_boot_ms: u64) {
        let mut confirmed = self.confirmed.get();
        confirmed.confirm(began_boot_ms, &self.era());
        self.confirmed.set(confirmed);
    }

    /// Returns for how long the configuration may have been out of date, in milliseconds; `None` before
    /// the first was read.
    #[must_use]
    pub fn configuration_age_ms(&self) -> Option<u64> {
        self.confirmed.get().age_ms(boot_ms())
    }

    /// Returns whether requests with keys may be admitted now.
    #[must_use]
    pub fn admits_keys(&self) -> bool {
        let confirmed = self.confirmed.get();
        let revoke_max_ms = self.settings.revoke_max_ms;
        revoke_max_ms.is_none_or(|revoke_max_ms| confirmed.admits(boot_ms(), revoke_max_ms))
    }

    /// Returns whether keys are accepted only while the configuration is confirmed.
    #[must_use]
    pub(super) fn needs_confirmation(&self) -> bool {
        let configuration = self.configuration();
        let has_teams = configuration.is_some_and(|known| !known.teams.is_empty());
        has_teams && self.settings.revoke_max_ms.is_some()
    }

    /// Returns whether requests with keys are refused here, or soon will be, because the configuration
    /// is not confirmed.
    #[must_use]
    pub(super) fn lacks_confirmation(&self) -> bool {
        let confirmed = self.confirmed.get();
        let revoke_max_ms = self.settings.revoke_max_ms;
        let is_aging =
            revoke_max_ms.is_some_and(|revoke_max_ms| confirmed.is_aging(boot_ms(), revoke_max_ms));
        is_aging && self.needs_confirmation()
    }
}
