//! Keeps the gateway's view up to date with the tables of the store.
//!
//! One task for each table reads it whole once and then long-polls for changes. The poll rate of
//! the endpoints' table and of the system's own table drops where other sources are as quick. The
//! lease holder reports the state of engines by datagram, and renewals of a live holder's lease
//! carry no information.

mod configuration;
mod endpoints;
mod own_table;

use std::rc::Rc;
use std::time::Duration;

use chicorystage_platform::store::{Changes, StoreClient, TableName};

use self::configuration::apply_configuration;
use self::endpoints::{apply_endpoints, defer_removals};
use self::own_table::apply_own;
pub(crate) use self::own_table::{GATEWAY_KEY, GatewayRow, LEASE_KEY};
use crate::gateway::shared::Gateway;
use crate::gateway::view::shared_period_ms;

/// Longest time for which the store delays the reply to one poll for changes, in milliseconds.
const POLL_WAIT_MS: u64 = 2_400;
/// Time allowed for a poll's reply beyond the requested wait, in milliseconds.
const POLL_SLACK_MS: u64 = 500;
/// Pause after a failed call to the store, in milliseconds.
const FAILURE_PAUSE_MS: u64 = 150;
/// Pause between two polls of the endpoints' table, in milliseconds.
///
/// Endpoints change in groups, so a pause lets one poll return a whole group.
const ENDPOINTS_PAUSE_MS: u64 = 350;
/// Longest pause between two polls of the endpoints' table, in milliseconds.
///
/// Bounded because no request may reach an endpoint two seconds after it began to leave.
const ENDPOINTS_PAUSE_MAX_MS: u64 = 1_400;
/// Longest pause between two polls of the system's own table, in milliseconds.
///
/// Each renewal of the lease is a change, and carries no information while datagrams of its holder
/// arrive.
const OWN_PAUSE_MAX_MS: u64 = 2_000;
/// Interval between checks, during that pause, whether the lease holder is silent, in milliseconds.
const OWN_CHECK_INTERVAL_MS: u64 = 200;
/// Silence of the lease holder after which its lease is read from the store, in milliseconds.
const HOLDER_SILENCE_MS: u64 = 700;
/// Starts one task for each table of the store.
pub fn start(gateway: &Rc<Gateway>) {
    for table in [TableName::Operator, TableName::Endpoints, TableName::Own] {
        let gateway = Rc::clone(gateway);
        tokio::task::spawn_local(async move { follow(gateway, table).await });
    }
}

/// Reads a table whole, then polls for its changes for as long as the gateway runs.
///
/// The configuration is read again without waiting when another gateway has a newer one.
async fn follow(gateway: Rc<Gateway>, table: TableName) {
    let timeout_ms = POLL_WAIT_MS + POLL_SLACK_MS;
    let poll_client = StoreClient::new(gateway.settings.store, timeout_ms);
    let read_client = StoreClient::new(gateway.settings.store, gateway.settings.store_timeout_ms);
    let mut after: Option<u64> = None;
    let mut lost_ms: Option<u64> = None;
    loop {
        let changes = match after {
            None => read_client
                .read(table)
                .await
                .map(|changes| Some((changes, true))),
            Some(version) => tokio::select! {
                changes = poll_client.changes(table, version, POLL_WAIT_MS) => {
                    changes.map(|changes| changes.map(|changes| (changes, false)))
                }
                () = gateway.newer_configuration.notified(), if table == TableName::Operator => {
                    read_client.read(table).await.map(|changes| Some((changes, true)))
                }
            },
        };
        match changes {
            Ok(Some((changes, is_whole))) => {
                gateway.metrics.count_store_call("follow", "ok");
                if let Some(lost_ms) = lost_ms.take() {
                    let away_ms = gateway.now_ms() - lost_ms;
                    log::info!(event = "store_regained", table:? = table, away_ms; "store answers again");
                    defer_removals(&gateway, table, "store_regained");
                }
                after = Some(changes.version);
                apply(&gateway, table, &changes, is_whole);
                pause(&gateway, table).await;
            }
            Ok(None) => {
                log::info!(event = "history_lost", table:? = table; "store has discarded the changes since the last poll; reading the whole table");
                after = None;
            }
            Err(error) => {
                gateway.metrics.count_store_call("follow", "failed");
                if lost_ms.is_none() {
                    lost_ms = Some(gateway.now_ms());
                    log::warn!(event = "store_lost", table:? = table, error:%; "store does not answer");
                }
                defer_removals(&gateway, table, "store_lost");
                tokio::time::sleep(Duration::from_millis(FAILURE_PAUSE_MS)).await;
            }
        }
    }
}

/// Waits between two polls, so that one poll returns several changes.
///
/// The wait on the system's own table ends early when the lease holder falls silent.
async fn pause(gateway: &Gateway, table: TableName) {
    match table {
        TableName::Operator => {}
        TableName::Endpoints => {
            let pause_ms = endpoints_pause_ms(
                gateway.with(|view| view.gateways()),
                gateway.order_epoch().is_none() && gateway.has_recent_holder(HOLDER_SILENCE_MS),
            );
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
        TableName::Own => {
            for _ in 0..OWN_PAUSE_MAX_MS / OWN_CHECK_INTERVAL_MS {
                tokio::time::sleep(Duration::from_millis(OWN_CHECK_INTERVAL_MS)).await;
                if !gateway.has_recent_holder(HOLDER_SILENCE_MS) {
                    return;
                }
            }
        }
    }
}

/// Returns the pause between two polls of the endpoints' table, in milliseconds.
///
/// `has_holder_updates` is whether the lease holder reports to this gateway which engines are gone.
/// Then the pause grows with the number of gateways, up to a limit, so that the total poll rate at
/// the store grows little.
#[must_use]
pub fn endpoints_pause_ms(gateways: usize, has_holder_updates: bool) -> u64 {
    if has_holder_updates {
        shared_period_ms(ENDPOINTS_PAUSE_MS, gateways).min(ENDPOINTS_PAUSE_MAX_MS)
    } else {
        ENDPOINTS_PAUSE_MS
    }
}

/// Applies changed rows to the view; `is_whole` marks a read of the whole table.
fn apply(gateway: &Rc<Gateway>, table: TableName, changes: &Changes, is_whole: bool) {
    match table {
        TableName::Operator => {
            for row in &changes.rows {
                if row.key == TableName::CONFIGURATION_KEY {
                    apply_configuration(gateway, row);
                }
            }
        }
        TableName::Endpoints => apply_endpoints(gateway, changes, is_whole),
        TableName::Own => apply_own(gateway, changes, is_whole),
    }
    gateway.capacity_changed.notify_one();
}
