//! Orders of former lease holders that engines may still carry out.
//!
//! An engine that has restarted under its identity may carry out an order to the process before.
//! One that ignores epochs does so whoever holds the lease by then.

use std::collections::HashMap;

use chicorystage_api::name::{EndpointId, ServiceName, VmId, ZoneName};
use chicorystage_core::deployment::Configuration;
use chicorystage_core::fleet::{EndpointEntry, EndpointState, FleetView};
use chicorystage_core::orders::{
    DemandTracker, EngineReport, FormerOrders, OrderTracker, OrderTrackerSettings,
};
use googletest::prelude::*;

use crate::order_world::{LOADS_PER_S, STORE_LOAD_MS, configuration, model, waiting_for_models};

/// Time for which an order without an answer may be carried out, in milliseconds.
const LATE_MS: u64 = 15_000;
/// Start of the epoch on the router's clock, in milliseconds.
const EPOCH_MS: u64 = 100_000;
/// Start of the epoch as time of day, in milliseconds.
const EPOCH_UNIX_MS: u64 = 1_000_000;
const STEP_MS: u64 = 100;

/// Returns the time of the first order to an empty engine while requests wait for a model, in
/// milliseconds from the start of the epoch.
fn first_order_ms(
    endpoints_check_epoch: bool,
    born_unix_ms: Option<u64>,
    former_orders: Option<FormerOrders>,
) -> u64 {
    let fleet = fleet_with_one_engine(born_unix_ms);
    first_order_in_fleet_ms(endpoints_check_epoch, &fleet, former_orders)
}

/// Does what [`first_order_ms`] does, with an engine `e` among others.
fn first_order_in_fleet_ms(
    endpoints_check_epoch: bool,
    fleet: &FleetView,
    former_orders: Option<FormerOrders>,
) -> u64 {
    let mut tracker = OrderTracker::new(OrderTrackerSettings {
        ceiling_window_ms: 5_000,
        ceiling_factor: 1.1,
        endpoints_check_epoch,
    });
    let configuration = configuration(STORE_LOAD_MS, LOADS_PER_S);
    tracker.begin_epoch(EPOCH_MS, former_orders);
    let mut now_ms = EPOCH_MS;
    loop {
        if has_order(&mut tracker, now_ms, fleet, &configuration) {
            return now_ms - EPOCH_MS;
        }
        now_ms += STEP_MS;
        assert_that!(now_ms, lt(EPOCH_MS + 3 * LATE_MS), "no order is sent");
    }
}

fn fleet_with_one_engine(born_unix_ms: Option<u64>) -> FleetView {
    let mut fleet = FleetView::default();
    fleet.registered(entry("e", born_unix_ms));
    fleet
}

fn entry(id: &str, born_unix_ms: Option<u64>) -> EndpointEntry {
    EndpointEntry {
        id: EndpointId::from(id),
        service: ServiceName::from("llm"),
        address: ([127, 0, 0, 1], 9_000).into(),
        zone: ZoneName::from("z"),
        slots: 32,
        state: EndpointState::Ready,
        born_unix_ms,
        software: None,
        models: Vec::new(),
    }
}

/// Reports an empty engine and returns whether an order is planned.
fn has_order(
    tracker: &mut OrderTracker,
    now_ms: u64,
    fleet: &FleetView,
    configuration: &Configuration,
) -> bool {
    let mut demand = DemandTracker::default();
    let requested = model(0);
    demand.record_requests(now_ms, &requested, 1, 300);
    let waiting = HashMap::from([(requested, 1)]);
    let report = waiting_for_models(now_ms, waiting);
    demand.update_waiting(now_ms, VmId::from("gateway"), report);
    tracker.sync_engines(now_ms, fleet, configuration);
    tracker.apply_report(now_ms, &EndpointId::from("e"), &EngineReport::default());
    let orders = tracker.plan(now_ms, fleet, &demand, configuration);
    !orders.is_empty()
}

fn former_orders() -> FormerOrders {
    FormerOrders::before(EPOCH_MS, EPOCH_UNIX_MS)
}

#[test]
fn young_engine_that_ignores_epochs_gets_no_order_while_former_ones_may_be_carried_out() {
    let born_unix_ms = Some(EPOCH_UNIX_MS - 100);
    assert_that!(
        first_order_ms(false, born_unix_ms, Some(former_orders())),
        eq(LATE_MS)
    );
}

#[test]
fn engine_that_restarts_within_the_epoch_gets_no_order_either() {
    let born_unix_ms = Some(EPOCH_UNIX_MS + 5_000);
    assert_that!(
        first_order_ms(false, born_unix_ms, Some(former_orders())),
        eq(LATE_MS)
    );
}

#[test]
fn engine_whose_entry_states_no_start_gets_no_order_either_where_others_state_theirs() {
    let mut fleet = fleet_with_one_engine(None);
    fleet.registered(EndpointEntry {
        service: ServiceName::from("app"),
        ..entry("a", Some(EPOCH_UNIX_MS - 60_000))
    });
    assert_that!(
        first_order_in_fleet_ms(false, &fleet, Some(former_orders())),
        eq(LATE_MS)
    );
}

// Then a process that starts again has another identity, and no order to the former one reaches it.
#[test]
fn engines_get_orders_at_once_where_none_states_its_start() {
    assert_that!(first_order_ms(false, None, Some(former_orders())), eq(0));
}

// Half of the time is over, and the clocks may differ by five seconds.
#[test]
fn wait_ends_with_the_orders_to_the_process_before() {
    let born_unix_ms = Some(EPOCH_UNIX_MS - 12_000);
    assert_that!(
        first_order_ms(false, born_unix_ms, Some(former_orders())),
        eq(LATE_MS + 5_000 - 12_000)
    );
}

#[test]
fn engine_that_has_run_for_long_gets_orders_at_once() {
    let born_unix_ms = Some(EPOCH_UNIX_MS - 60_000);
    assert_that!(
        first_order_ms(false, born_unix_ms, Some(former_orders())),
        eq(0)
    );
}

#[test]
fn engine_that_checks_epochs_gets_orders_at_once() {
    let born_unix_ms = Some(EPOCH_UNIX_MS);
    assert_that!(
        first_order_ms(true, born_unix_ms, Some(former_orders())),
        eq(0)
    );
}

#[test]
fn first_holder_of_a_deployment_sends_orders_at_once() {
    let born_unix_ms = Some(EPOCH_UNIX_MS);
    assert_that!(first_order_ms(false, born_unix_ms, None), eq(0));
}
