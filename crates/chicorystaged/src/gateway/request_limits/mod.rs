//! Keeps the limits that endpoints name for all gateways together.
//!
//! A gateway that hears of a new limit in an answer tells the lease holder, which tells the others. When
//! requests want a limited endpoint, the gateway asks the lease holder for tokens; the holder grants
//! them at the rate of the limit. See [`chicorystage_core::request_limit`] for the decisions.

mod messages;
mod wanting;

use std::rc::Rc;
use std::time::Duration;

use chicorystage_api::name::{EndpointId, VmId};
use chicorystage_core::request_limit::{EndpointLimit, LimitAllocator};

pub use self::messages::{answer_wishes, apply_grants, known, merge, tell};
use crate::gateway::peer_message::{LimitGrant, LimitWish, PeerContent};
use crate::gateway::peers;
use crate::gateway::request_limits::messages::known_limit;
use crate::gateway::shared::Gateway;
use crate::gateway::view::GATEWAYS_UNKNOWN;

/// Longest interval between two passes while there are limits, in milliseconds.
const PERIOD_MS: u64 = 50;

/// Starts the task that asks for tokens, and grants them at the lease holder.
pub fn start(gateway: &Rc<Gateway>) {
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move { run(&gateway).await });
}

async fn run(gateway: &Rc<Gateway>) {
    loop {
        let changed = gateway.limits_changed.notified();
        match next_pass_ms(gateway) {
            // Both the end of the period and a notification start the next pass.
            Some(wait_ms) => {
                let _elapsed = tokio::time::timeout(Duration::from_millis(wait_ms), changed).await;
            }
            None => changed.await,
        }
        pass(gateway).await;
    }
}

/// Returns the time until the next pass, in milliseconds; `None` where no endpoint has a limit.
fn next_pass_ms(gateway: &Gateway) -> Option<u64> {
    let has_limits = gateway.with(|view| {
        let mut endpoints = view.fleet.endpoints();
        endpoints.any(|(_, endpoint)| endpoint.limit.get().is_some())
    });
    if !has_limits {
        return None;
    }
    let due_ms = gateway
        .limit_allocator
        .borrow_mut()
        .due_in_ms(gateway.now_ms());
    Some(due_ms.unwrap_or(PERIOD_MS).clamp(1, PERIOD_MS))
}

/// Asks for the tokens that requests want, or grants them as the lease holder.
async fn pass(gateway: &Rc<Gateway>) {
    if gateway.order_epoch().is_some() {
        let wishes = take_wishes(gateway);
        let own = &gateway.settings.vm;
        record_wishes(gateway, own, &wishes);
        grant(gateway, own, &wishes).await;
        return;
    }
    gateway.limit_allocator.borrow_mut().clear();
    let holder = other_holder(gateway);
    let has_holder = holder.is_some();
    if let Some(holder) = holder {
        ask(gateway, holder).await;
    }
    grant_own(gateway, has_holder);
}

/// Tells the lease holder how many tokens requests want.
async fn ask(gateway: &Rc<Gateway>, holder: VmId) {
    let wishes = take_wishes(gateway);
    if wishes.is_empty() {
        return;
    }
    peers::send_to(gateway, &[holder], PeerContent::LimitWanted(wishes)).await;
}

/// Returns another gateway that holds the lease and was heard lately; `None` if there is none.
fn other_holder(gateway: &Gateway) -> Option<VmId> {
    let holder = gateway.with(|view| view.lease_holder.clone())?;
    let is_other = holder != gateway.settings.vm;
    (is_other && gateway.has_recent_holder()).then_some(holder)
}

/// Returns the tokens to ask for now, by endpoint.
fn take_wishes(gateway: &Gateway) -> Vec<LimitWish> {
    let now_ms = gateway.now_ms();
    let ids = limited_endpoints(gateway);
    let wishes = ids.iter().filter_map(|id| {
        let wish = with_limit(gateway, id, |limit| limit.take_wish(now_ms))??;
        let limit = known_limit(gateway, now_ms, id)?;
        Some(LimitWish { limit, wish })
    });
    wishes.collect()
}

/// Records the wishes of a gateway at the lease holder.
fn record_wishes(gateway: &Gateway, from: &VmId, wishes: &[LimitWish]) {
    let now_ms = gateway.now_ms();
    let mut allocator = gateway.limit_allocator.borrow_mut();
    sync_limits(gateway, &mut allocator);
    for wish in wishes {
        allocator.wish(now_ms, &wish.limit.endpoint, from, wish.wish);
    }
}

/// Grants what has accrued; the gateway that asks gets an answer to each wish, also without tokens.
async fn grant(gateway: &Rc<Gateway>, asking: &VmId, wishes: &[LimitWish]) {
    let Some(epoch) = gateway.order_epoch() else {
        return;
    };
    for (vm, grant) in due_grants(gateway, asking, wishes) {
        gateway
            .metrics
            .count_limit_tokens("granted", grant.grant.tokens);
        let grants = vec![grant];
        if vm == gateway.settings.vm {
            apply_grants(gateway, epoch, grants);
            continue;
        }
        let content = PeerContent::LimitGrants { epoch, grants };
        peers::send_to(gateway, &[vm], content).await;
    }
}

/// Takes the tokens that have accrued; returns the grants by gateway, with one for each wish of the
/// gateway that asks.
fn due_grants(gateway: &Gateway, asking: &VmId, wishes: &[LimitWish]) -> Vec<(VmId, LimitGrant)> {
    let now_ms = gateway.now_ms();
    let mut allocator = gateway.limit_allocator.borrow_mut();
    let mut taken = allocator.take_grants(now_ms);
    for wish in wishes {
        let endpoint = &wish.limit.endpoint;
        let has_some = taken
            .iter()
            .any(|(id, vm, _)| id == endpoint && vm == asking);
        if !has_some {
            taken.push((endpoint.clone(), asking.clone(), 0));
        }
    }
    let grants = taken.into_iter().filter_map(|(endpoint, vm, tokens)| {
        let grant = allocator.grant(now_ms, &endpoint, &vm, tokens)?;
        let limit = known_limit(gateway, now_ms, &endpoint)?;
        Some((vm, LimitGrant { limit, grant }))
    });
    grants.collect()
}

/// Grants this gateway its equal part of each limit that no lease holder divides for it: none is heard,
/// or the one that is does not answer.
fn grant_own(gateway: &Gateway, has_holder: bool) {
    let now_ms = gateway.now_ms();
    let mut has_granted = false;
    let gateways = gateway.with(|view| view.gateways_or(GATEWAYS_UNKNOWN));
    for id in limited_endpoints(gateway) {
        let random = rand::random();
        let token = with_limit(gateway, &id, |limit| {
            let is_own = !has_holder || limit.is_unanswered(now_ms);
            is_own && limit.grant_own(now_ms, gateways, random)
        });
        if token == Some(true) {
            gateway.metrics.count_limit_tokens("own", 1);
            has_granted = true;
        }
    }
    if has_granted || !has_holder {
        gateway.capacity_changed.notify_one();
    }
}

/// Takes over the limits that endpoints name now.
fn sync_limits(gateway: &Gateway, allocator: &mut LimitAllocator) {
    let now_ms = gateway.now_ms();
    gateway.with(|view| {
        for (id, endpoint) in view.fleet.endpoints() {
            if let Some(limit) = endpoint.limit.get() {
                allocator.set_limit(now_ms, id, limit.per_s());
            }
        }
        allocator.retain(|id| {
            let endpoint = view.fleet.get(id);
            endpoint.is_some_and(|endpoint| endpoint.limit.get().is_some())
        });
    });
}

fn limited_endpoints(gateway: &Gateway) -> Vec<EndpointId> {
    gateway.with(|view| {
        let endpoints = view.fleet.endpoints();
        let limited = endpoints.filter(|(_, endpoint)| endpoint.limit.get().is_some());
        limited.map(|(id, _)| id.clone()).collect()
    })
}

/// Calls `change` with the limit of an endpoint; returns `None` if it names none.
fn with_limit<T>(
    gateway: &Gateway,
    id: &EndpointId,
    change: impl FnOnce(&mut EndpointLimit) -> T,
) -> Option<T> {
    gateway.with(|view| {
        let endpoint = view.fleet.get_mut(id)?;
        endpoint.limit.get_mut().map(change)
    })
}
