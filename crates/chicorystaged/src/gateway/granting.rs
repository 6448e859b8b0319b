//! Endpoints for the requests that wait.

use std::rc::Rc;
use std::time::Duration;

use crate::gateway::shared::Gateway;

/// Time between two looks at waiting requests where nothing happens, in milliseconds.
const GRANT_PERIOD_MS: u64 = 50;
/// The same while requests are held back to space prompts, in milliseconds.
const HOLD_PERIOD_MS: u64 = 10;

/// Starts to grant.
pub fn start(gateway: &Rc<Gateway>) {
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move { run(&gateway).await });
}

async fn run(gateway: &Rc<Gateway>) {
    let mut period = Duration::from_millis(GRANT_PERIOD_MS);
    loop {
        // Either the period is over or there may be room.
        let _elapsed = tokio::time::timeout(period, gateway.room_changed.notified()).await;
        let now_ms = gateway.now_ms();
        gateway.with(|view| view.fleet.forget_silent_peers(now_ms));
        let holds_back = gateway.grant_waiters();
        period = Duration::from_millis(if holds_back {
            HOLD_PERIOD_MS
        } else {
            GRANT_PERIOD_MS
        });
        gateway.pool.sweep(now_ms);
        let (waiting, in_progress) = gateway.with(|view| (view.waiters.len(), view.in_progress));
        gateway.metrics.set_held(waiting, in_progress);
    }
}
