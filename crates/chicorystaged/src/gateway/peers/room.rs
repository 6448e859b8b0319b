//! Divides the room at crowded endpoints among the gateways whose requests wait for it.

use chicorystage_api::name::{EndpointId, ModelName};
use chicorystage_core::fleet::{RoomReport, WaitingRequests, load_period_ms, load_valid_ms};

use crate::gateway::shared::Gateway;
use crate::gateway::view::View;

/// Largest number of models whose waiting requests are told: the sums of loads are one datagram.
const WAITING_MODELS_MAX: usize = 64;

/// Divides the room by what the other gateways have reported to this one.
pub(super) fn share_by_reports(gateway: &Gateway) {
    let now_ms = gateway.now_ms();
    let vm = &gateway.settings.vm;
    gateway.with(|view| {
        view.others_waiting = view.demand.waiting_models(now_ms, Some(vm));
        share(now_ms, view);
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
    share(now_ms, view);
}

/// Divides the room at endpoints that have just got another model, which requests may wait for everywhere.
pub(super) fn share_of(gateway: &Gateway, now_ms: u64, endpoints: &[EndpointId]) {
    gateway.with(|view| {
        let report = report(now_ms, view);
        let waiting = waiting(view);
        let random = rand::random::<f64>;
        view.fleet
            .share_room_at(now_ms, endpoints, &waiting, report, random);
    });
}

/// Returns the models that most requests of all gateways wait for, with their number.
pub(super) fn waiting_total(now_ms: u64, view: &View) -> Vec<(ModelName, u32)> {
    let total = view.demand.waiting_models(now_ms, None);
    let mut total: Vec<(ModelName, u32)> = total.into_iter().collect();
    total.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
    total.truncate(WAITING_MODELS_MAX);
    total
}

fn share(now_ms: u64, view: &mut View) {
    let report = report(now_ms, view);
    let waiting = waiting(view);
    view.fleet
        .share_room(now_ms, &waiting, report, rand::random::<f64>);
}

/// Returns the requests that wait at this gateway, counted as it reports them, and at the others.
fn waiting(view: &View) -> WaitingRequests {
    WaitingRequests {
        own: view.waiting_sent.clone(),
        others: view.others_waiting.clone(),
    }
}

fn report(now_ms: u64, view: &View) -> RoomReport {
    let gateways = view.gateways();
    RoomReport {
        routers: gateways,
        interval_ms: load_period_ms(gateways),
        valid_until_ms: now_ms + load_valid_ms(gateways),
    }
}
