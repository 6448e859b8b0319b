//! Divides the room at crowded endpoints among the gateways whose requests wait for it.

use std::collections::HashMap;

use chicorystage_api::name::{EndpointId, ModelName};
use chicorystage_core::fleet::{RoomReport, WaitingRequests, load_period_ms, load_valid_ms};

use crate::gateway::shared::Gateway;
use crate::gateway::view::View;

/// Divides the room by what the other gateways have reported to this one.
pub(super) fn share_by_reports(gateway: &Gateway) {
    let now_ms = gateway.now_ms();
    let vm = &gateway.settings.vm;
    gateway.with(|view| {
        view.others_waiting = view.demand.waiting_models(now_ms, Some(vm));
        share(now_ms, view, |_| true);
    });
}

/// Divides the room by the lease holder's total of the requests that wait.
///
/// The total includes this gateway's own requests as it last sent them, which are subtracted.
pub(super) fn share_by_total(now_ms: u64, view: &mut View, total: Vec<(ModelName, u32)>) {
    let others = total.into_iter().map(|(model, count)| {
        let own = view.waiting_sent.get(&model).copied().unwrap_or(0);
        (model, count.saturating_sub(own))
    });
    view.others_waiting = others.filter(|(_, count)| *count > 0).collect();
    share(now_ms, view, |_| true);
}

/// Divides the room at endpoints that have just got another model, which requests may wait for everywhere.
pub(super) fn share_of(gateway: &Gateway, now_ms: u64, endpoints: &[EndpointId]) {
    if endpoints.is_empty() {
        return;
    }
    gateway.with(|view| share(now_ms, view, |id| endpoints.contains(id)));
}

fn share(now_ms: u64, view: &mut View, is_divided: impl Fn(&EndpointId) -> bool) {
    let gateways = view.gateways();
    let mut own: HashMap<ModelName, u32> = HashMap::new();
    let waiting = view.waiters.iter();
    for model in waiting.filter_map(|waiter| waiter.requirements.model.as_ref()) {
        *own.entry(model.clone()).or_default() += 1;
    }
    let report = RoomReport {
        routers: gateways,
        interval_ms: load_period_ms(gateways),
        valid_until_ms: now_ms + load_valid_ms(gateways),
    };
    let waiting = WaitingRequests {
        own,
        others: view.others_waiting.clone(),
    };
    view.fleet
        .share_room(now_ms, &waiting, report, rand::random::<f64>, is_divided);
}
