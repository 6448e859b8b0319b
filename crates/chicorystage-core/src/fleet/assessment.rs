//! Assesses which endpoints could take a request now, and why the others cannot.

use chicorystage_api::name::{EndpointId, ZoneName};

use crate::fleet::candidate::{better_reason, cost, missing_requirement, request_cost};
use crate::fleet::stale_load::Candidate;
use crate::fleet::turnover::Renewal;
use crate::fleet::{Choice, Endpoint, FleetView, Rejection, Requirements};

/// What a choice of endpoints is made for.
#[derive(Clone, Copy, Debug)]
pub(super) struct ChoiceContext<'a> {
    pub now_ms: u64,
    pub zone: &'a ZoneName,
    pub requirements: &'a Requirements,
    /// Age of what is known of the other routers' requests, in milliseconds.
    pub age_ms: u64,
}

/// An endpoint of the service, as a candidate for a request or with the reason why it is none.
#[derive(Clone, Debug)]
pub(super) struct Assessment<'a> {
    pub id: &'a EndpointId,
    pub endpoint: &'a Endpoint,
    /// Whether it meets the requirements and does not break its connections, with room or without.
    pub is_sound: bool,
    pub outcome: Result<Candidate<'a>, Rejection>,
}

/// What has become of the load that the other routers have reported.
#[derive(Clone, Copy, Debug)]
struct EstimatedLoad {
    renewal: Renewal,
    /// Requests at each endpoint that came in place of reported ones, evenly spread.
    replaced: f64,
}

impl FleetView {
    /// Returns the endpoints that could take a request now, at least one.
    ///
    /// # Errors
    ///
    /// Returns the reason that is closest to success if there is none.
    pub(super) fn candidates<'a>(
        &'a self,
        context: &ChoiceContext<'a>,
    ) -> Result<Vec<Candidate<'a>>, Choice> {
        let mut reason = Choice::NoEndpoint;
        let mut candidates = Vec::new();
        let mut breaking = Vec::new();
        let mut has_sound = false;
        for assessment in self.assessments(context) {
            has_sound |= assessment.is_sound;
            match assessment.outcome {
                Ok(candidate) if assessment.is_sound => candidates.push(candidate),
                Ok(candidate) => breaking.push(candidate),
                Err(rejection) => reason = better_reason(reason, rejection.choice()),
            }
        }
        if !has_sound {
            candidates = breaking;
        }
        if candidates.is_empty() {
            return Err(reason);
        }
        Ok(candidates)
    }

    /// Assesses all endpoints of the service, ordered by identity.
    pub(super) fn assessments<'a>(
        &'a self,
        context: &ChoiceContext<'a>,
    ) -> impl Iterator<Item = Assessment<'a>> {
        let load = self.estimated_load(context);
        let context = *context;
        let service = &context.requirements.service;
        let endpoints = self
            .endpoints()
            .filter(move |(_, endpoint)| endpoint.entry.service == *service);
        endpoints.map(move |(id, endpoint)| self.assess(&context, load, id, endpoint))
    }

    fn assess<'a>(
        &'a self,
        context: &ChoiceContext<'a>,
        load: EstimatedLoad,
        id: &'a EndpointId,
        endpoint: &'a Endpoint,
    ) -> Assessment<'a> {
        let unsuitable = unsuitable(context, endpoint);
        let is_sound = unsuitable.is_none() && !endpoint.breaks_connections(context.now_ms);
        let others = f64::from(self.others_at(id));
        let kept = f64::from(endpoint.own_requests()) + others * load.renewal.kept_part;
        let rejection = unsuitable.or_else(|| no_room(context, endpoint, kept + load.replaced));
        let candidate = || {
            let has_failed = context.requirements.avoid.contains(id);
            Candidate {
                id,
                cost: cost(context.now_ms, context.zone, endpoint, kept, has_failed),
                request_cost: request_cost(endpoint),
                arrived: others * load.renewal.new_part,
            }
        };
        let outcome = rejection.map_or_else(|| Ok(candidate()), Err);
        Assessment {
            id,
            endpoint,
            is_sound,
            outcome,
        }
    }

    fn estimated_load(&self, context: &ChoiceContext<'_>) -> EstimatedLoad {
        let service = &context.requirements.service;
        let renewal = self.turnover.renewal(service, context.age_ms);
        let replaced_part = 1.0 - renewal.kept_part;
        let replaced = if replaced_part > 0.0 {
            self.mean_others(context) * replaced_part
        } else {
            0.0
        };
        EstimatedLoad { renewal, replaced }
    }

    /// Returns the mean number of requests that the other routers have reported at the endpoints that
    /// could take a request.
    fn mean_others(&self, context: &ChoiceContext<'_>) -> f64 {
        let requirements = context.requirements;
        let fitting = self.endpoints().filter(|(_, endpoint)| {
            endpoint.entry.service == requirements.service
                && endpoint.is_usable(context.now_ms)
                && missing_requirement(context.now_ms, endpoint, requirements).is_none()
        });
        let others = fitting.map(|(id, _)| self.others_at(id));
        let (sum, count) = others.fold((0, 0), |(sum, count), others| (sum + others, count + 1));
        f64::from(sum) / f64::from(count.max(1))
    }
}

/// Returns why an endpoint does not suit a request, however much room it has; `None` if it does.
fn unsuitable(context: &ChoiceContext<'_>, endpoint: &Endpoint) -> Option<Rejection> {
    let requirements = context.requirements;
    if !endpoint.is_usable(context.now_ms) {
        return Some(Rejection::Unusable);
    }
    if !requirements.accepts_software(endpoint.entry.software.as_ref()) {
        return Some(Rejection::OtherSoftware);
    }
    match missing_requirement(context.now_ms, endpoint, requirements) {
        Some(Choice::NoAdapter) => return Some(Rejection::NoAdapter),
        Some(_) => return Some(Rejection::NoModel),
        None => {}
    }
    // Another process or this one records the version within a moment.
    let is_unrecorded = requirements.is_resumable && !endpoint.is_software_recorded();
    is_unrecorded.then_some(Rejection::SoftwareUnrecorded)
}

/// Returns why an endpoint has no room for a request beside `occupancy` others; `None` if it has.
fn no_room(context: &ChoiceContext<'_>, endpoint: &Endpoint, occupancy: f64) -> Option<Rejection> {
    let now_ms = context.now_ms;
    let requirements = context.requirements;
    if !endpoint.has_capacity(now_ms, occupancy) {
        return Some(Rejection::Full);
    }
    if !requirements.is_most_urgent && endpoint.has_used_share(now_ms) {
        return Some(Rejection::ShareUsed);
    }
    if endpoint.limit.is_reached(now_ms) {
        return Some(Rejection::Limited);
    }
    let is_reading =
        endpoint.pace.defer_ms(now_ms) > 0.0 && now_ms < requirements.prompt.defer_until_ms;
    is_reading.then_some(Rejection::Reading)
}
