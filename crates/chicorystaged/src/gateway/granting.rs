//! Task that grants reservations to requests in the wait queue.
//!
//! It runs when capacity may have changed, and periodically because limits also change with time.

use std::rc::Rc;
use std::time::Duration;

use crate::gateway::shared::Gateway;
use crate::timer::boot_ms;

/// Interval between two passes over the wait queue without a notification, in milliseconds.
const GRANT_PERIOD_MS: u64 = 50;
/// Interval between passes while requests wait for endpoints to process earlier prompts, in
/// milliseconds.
const DEFER_PERIOD_MS: u64 = 10;

/// Starts the task.
pub fn start(gateway: &Rc<Gateway>) {
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move { run(&gateway).await });
}

async fn run(gateway: &Rc<Gateway>) {
    let mut period = Duration::from_millis(GRANT_PERIOD_MS);
    loop {
        // Both the end of the period and a notification start the next pass.
        let _elapsed = tokio::time::timeout(period, gateway.capacity_changed.notified()).await;
        let now_ms = gateway.now_ms();
        gateway.with(|view| view.fleet.forget_silent_peers(now_ms));
        let has_deferred = gateway.grant_waiters();
        period = Duration::from_millis(if has_deferred {
            DEFER_PERIOD_MS
        } else {
            GRANT_PERIOD_MS
        });
        gateway.pool.sweep(now_ms);
        let (waiting, in_progress) = gateway.with(|view| (view.waiters.len(), view.in_progress));
        gateway.metrics.set_gauges(waiting, in_progress);
        let divided = gateway.with(|view| view.fleet.divided_endpoints());
        gateway.metrics.set_divided_endpoints(divided);
        let body_bytes = gateway.body_budget.used_bytes();
        gateway.metrics.set_body_bytes(body_bytes);
        let era_age_ms = gateway.era().age_ms(boot_ms());
        gateway.metrics.set_store_era_age_ms(era_age_ms);
        let age_ms = gateway.configuration_age_ms();
        gateway.metrics.teams.set_configuration_age_ms(age_ms);
    }
}
