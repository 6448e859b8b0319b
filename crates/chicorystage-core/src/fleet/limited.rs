//! Endpoints that have turned requests away for a time or whose limit is used up.

use chicorystage_api::name::{EndpointId, ZoneName};

use crate::fleet::candidate::{cost, missing_requirement};
use crate::fleet::{Endpoint, FleetView, Requirements, Standing};
use crate::request_limit::EndpointLimit;

impl FleetView {
    /// Returns the earliest time at which an endpoint that could take a request wants requests again,
    /// in milliseconds; `None` unless all of them have named a time or a limit.
    pub(super) fn held_until_ms(
        &self,
        now_ms: u64,
        requirements: &Requirements,
        standing: Standing,
    ) -> Option<u64> {
        let suitable = self.suitable(now_ms, requirements);
        let held = suitable.map(|(_, endpoint)| available_ms(now_ms, endpoint, standing));
        held.collect::<Option<Vec<u64>>>()?.into_iter().min()
    }

    /// Returns the endpoint of whose limit a request that waits should use a token: the one at which
    /// the next is expected first.
    #[must_use]
    pub fn limited_for_waiting(
        &self,
        now_ms: u64,
        requirements: &Requirements,
    ) -> Option<EndpointId> {
        let limited = self.limited(now_ms, requirements);
        let first = limited.min_by_key(|(_, _, limit)| limit.next_for_new_ms(now_ms));
        first.map(|(id, _, _)| id.clone())
    }

    /// Returns a limited endpoint without a token that would have been better for a request than
    /// `chosen`, if there is one.
    #[must_use]
    pub fn limited_before(
        &self,
        now_ms: u64,
        zone: &ZoneName,
        requirements: &Requirements,
        chosen: &EndpointId,
    ) -> Option<EndpointId> {
        let cost_of = |id: &EndpointId, endpoint: &Endpoint| {
            let has_failed = requirements.avoid.contains(id);
            cost(
                now_ms,
                zone,
                endpoint,
                f64::from(self.occupancy(id)),
                has_failed,
            )
        };
        let limited = self.limited(now_ms, requirements);
        let costs = limited.map(|(id, endpoint, _)| (id, cost_of(id, endpoint)));
        let (id, least_cost) = costs.min_by(|a, b| a.1.total_cmp(&b.1))?;
        let chosen_cost = cost_of(chosen, self.get(chosen)?);
        (least_cost <= chosen_cost).then(|| id.clone())
    }

    /// Returns the endpoints that could take a request but for their limit.
    fn limited(
        &self,
        now_ms: u64,
        requirements: &Requirements,
    ) -> impl Iterator<Item = (&EndpointId, &Endpoint, &EndpointLimit)> {
        let reached = self
            .endpoints()
            .filter(move |(_, endpoint)| endpoint.limit.is_reached(now_ms));
        let suitable = reached
            .filter(move |(_, endpoint)| is_suitable(now_ms, endpoint, requirements))
            .filter(move |(id, endpoint)| {
                endpoint.has_capacity(now_ms, f64::from(self.occupancy(id)))
            });
        suitable.filter_map(|(id, endpoint)| Some((id, endpoint, endpoint.limit.get()?)))
    }

    fn suitable(
        &self,
        now_ms: u64,
        requirements: &Requirements,
    ) -> impl Iterator<Item = (&EndpointId, &Endpoint)> {
        self.endpoints()
            .filter(move |(_, endpoint)| is_suitable(now_ms, endpoint, requirements))
    }
}

/// Returns whether an endpoint could take a request at some time.
fn is_suitable(now_ms: u64, endpoint: &Endpoint, requirements: &Requirements) -> bool {
    endpoint.entry.service == requirements.service
        && endpoint.is_usable(now_ms)
        && requirements.accepts_software(endpoint.entry.software.as_ref())
        && (!requirements.is_resumable || endpoint.is_software_recorded())
        && missing_requirement(now_ms, endpoint, requirements).is_none()
}

/// Returns the time from which an endpoint wants requests by what it has said; `None` if it wants
/// some now, or if the time is not known.
fn available_ms(now_ms: u64, endpoint: &Endpoint, standing: Standing) -> Option<u64> {
    let held_until_ms = endpoint.held_until_ms(now_ms);
    if !endpoint.limit.is_reached(now_ms) {
        return held_until_ms;
    }
    let limit = endpoint.limit.get()?;
    let token_ms = match standing {
        Standing::New => limit.next_for_new_ms(now_ms)?,
        Standing::Waiting => limit.next_for_waiting_ms(now_ms)?,
    };
    Some(held_until_ms.map_or(token_ms, |held_ms| held_ms.max(token_ms)))
}
