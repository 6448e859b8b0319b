//! What gateways tell each other of limits.

use std::rc::Rc;

use chicorystage_api::name::{EndpointId, VmId};
use chicorystage_core::request_limit::KnownLimit;

use crate::gateway::peer_message::{LimitGrant, LimitWish, PeerContent};
use crate::gateway::peers;
use crate::gateway::request_limits::{grant, other_holder, record_wishes, with_limit};
use crate::gateway::shared::Gateway;

/// Tells the others a limit that this gateway has learned of: the lease holder, which passes it on,
/// or all while there is none.
pub fn tell(gateway: &Rc<Gateway>, endpoint: &EndpointId) {
    let limit = known_limit(gateway, gateway.now_ms(), endpoint);
    let limits: Vec<KnownLimit> = limit.into_iter().collect();
    gateway.limits_changed.notify_one();
    gateway.capacity_changed.notify_one();
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        let content = PeerContent::Limits(limits);
        match other_holder(&gateway) {
            Some(holder) if gateway.order_epoch().is_none() => {
                peers::send_to(&gateway, &[holder], content).await;
            }
            _ => peers::broadcast(&gateway, content).await,
        }
    });
}

/// Records limits that another gateway knows; the lease holder passes on those that have changed.
pub fn merge(gateway: &Rc<Gateway>, limits: Vec<KnownLimit>) {
    let now_ms = gateway.now_ms();
    for limit in limits {
        let mut is_changed = false;
        gateway.with_endpoint(&limit.endpoint, |endpoint| {
            if endpoint.entry.born_unix_ms == limit.born_unix_ms {
                is_changed = endpoint.limit.told(now_ms, &limit);
            }
        });
        if !is_changed {
            continue;
        }
        log::info!(
            event = "endpoint_limit_told", endpoint = limit.endpoint.as_str(),
            limit_per_s:? = limit.per_s, age_ms = limit.age_ms;
            "another gateway has heard how many requests an endpoint takes"
        );
        if gateway.order_epoch().is_some() {
            tell(gateway, &limit.endpoint);
        }
        gateway.limits_changed.notify_one();
        gateway.capacity_changed.notify_one();
    }
}

/// Answers a gateway that wants tokens; does nothing unless this gateway holds the lease.
pub fn answer_wishes(gateway: &Rc<Gateway>, from: VmId, wishes: Vec<LimitWish>) {
    let known = wishes.iter().map(|wish| wish.limit.clone());
    merge(gateway, known.collect());
    if gateway.order_epoch().is_none() {
        return;
    }
    record_wishes(gateway, &from, &wishes);
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        grant(&gateway, &from, &wishes).await;
        // Tokens that are due later are granted by the task.
        gateway.limits_changed.notify_one();
    });
}

/// Records what the lease holder has granted, unless its epoch is outdated.
pub fn apply_grants(gateway: &Rc<Gateway>, epoch: u64, grants: Vec<LimitGrant>) {
    if !gateway.observe_epoch(epoch) {
        return;
    }
    let now_ms = gateway.now_ms();
    for LimitGrant { limit, grant } in grants {
        let id = limit.endpoint.clone();
        merge(gateway, vec![limit]);
        with_limit(gateway, &id, |limit| limit.granted(now_ms, grant));
        log::debug!(
            event = "limit_granted", endpoint = id.as_str(), tokens = grant.tokens,
            next_in_ms = grant.next_in_ms, epoch;
            "lease holder has granted requests to a limited endpoint"
        );
    }
    gateway.capacity_changed.notify_one();
}

/// Returns all limits, and those that ended lately.
#[must_use]
pub fn known(gateway: &Gateway) -> Vec<KnownLimit> {
    let now_ms = gateway.now_ms();
    let ids: Vec<EndpointId> = gateway.with(|view| {
        let ids = view.fleet.endpoints().map(|(id, _)| id.clone());
        ids.collect()
    });
    ids.iter()
        .filter_map(|id| known_limit(gateway, now_ms, id))
        .collect()
}

/// Returns the limit of an endpoint, or that it has ended lately.
pub(super) fn known_limit(gateway: &Gateway, now_ms: u64, id: &EndpointId) -> Option<KnownLimit> {
    gateway.with(|view| {
        let endpoint = view.fleet.get(id)?;
        let (per_s, age_ms) = endpoint.limit.to_tell(now_ms)?;
        Some(KnownLimit {
            endpoint: id.clone(),
            born_unix_ms: endpoint.entry.born_unix_ms,
            per_s,
            age_ms,
        })
    })
}
