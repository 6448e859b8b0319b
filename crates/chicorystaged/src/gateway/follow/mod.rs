//! Keeps the gateway's view up to date with the tables of the store.
//!
//! One task for each table reads it whole once and then long-polls for changes. The poll rate of
//! the endpoints' table and of the system's own table drops where other sources are as quick. The
//! lease holder reports the state of engines by datagram, and renewals of a live holder's lease
//! carry no information.

mod configuration;
mod endpoints;
mod feed_answer;
mod own_table;
mod poll_wait;
mod table_feed;
mod transfers;

use std::rc::Rc;
use std::time::Duration;

use chicorystage_borders::BorderErrorKind;
use chicorystage_core::registry::reregistration_left_ms;
use chicorystage_platform::store::{Changes, TableName};

use self::configuration::apply_configuration;
use self::endpoints::apply_endpoints;
use self::feed_answer::FeedAnswer;
use self::own_table::apply_own;
pub(crate) use self::own_table::{GATEWAY_KEY, GatewayRow, LEASE_KEY};
use self::table_feed::TableFeed;
use crate::gateway::era_row;
use crate::gateway::shared::Gateway;
use crate::gateway::view::shared_period_ms;
use crate::timer::boot_ms;

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

/// Starts one task for each table of the store.
pub fn start(gateway: &Rc<Gateway>) {
    for table in [TableName::Operator, TableName::Endpoints, TableName::Own] {
        let gateway = Rc::clone(gateway);
        tokio::task::spawn_local(async move { follow(&gateway, table).await });
    }
    endpoints::start_removals(gateway);
}

/// Applies a table's rows and their changes to the view for as long as the gateway runs.
async fn follow(gateway: &Rc<Gateway>, table: TableName) {
    let mut feed = TableFeed::new(gateway, table);
    loop {
        let started_ms = gateway.now_ms();
        let was_lost = feed.is_lost();
        let answer = feed.next().await;
        if table == TableName::Endpoints {
            match &answer {
                Ok(_) => endpoints::record_answer(gateway),
                Err(_) => endpoints::record_failure(gateway, started_ms),
            }
        }
        match answer {
            Ok(FeedAnswer::Changed(changes)) => {
                apply(gateway, table, &changes, false);
                confirm(gateway, &feed, changes.clock_ms);
                pause(gateway, table).await;
            }
            Ok(FeedAnswer::Whole(rows)) => {
                apply(gateway, table, &rows, true);
                confirm(gateway, &feed, rows.clock_ms);
                pause(gateway, table).await;
            }
            Ok(FeedAnswer::Restored(rows)) => {
                let clock_ms = rows.clock_ms;
                apply_restored(gateway, table, rows);
                confirm(gateway, &feed, clock_ms);
                pause(gateway, table).await;
            }
            Ok(FeedAnswer::HistoryLost) => {
                log::info!(event = "history_lost", table:? = table; "store has discarded the changes since the last poll; reading the whole table");
            }
            // The connection may have broken alone, so the first failure is followed by a call.
            Err(error) if !was_lost && error.kind() == BorderErrorKind::Unknown => {}
            Err(_failure) => tokio::time::sleep(Duration::from_millis(FAILURE_PAUSE_MS)).await,
        }
    }
}

/// Records how recent what was applied is, as that of the last answer of `feed`.
fn confirm(gateway: &Rc<Gateway>, feed: &TableFeed, clock_ms: Option<u64>) {
    let began_boot_ms = feed.answered_began_boot_ms();
    match feed.table() {
        TableName::Operator => gateway.confirm_configuration(began_boot_ms),
        TableName::Endpoints => gateway.registry_read_boot_ms.set(began_boot_ms),
        TableName::Own => era_row::update(gateway, clock_ms, began_boot_ms),
        TableName::Streams => {}
    }
}

/// Applies the rows of a table that has returned from an older copy.
fn apply_restored(gateway: &Rc<Gateway>, table: TableName, rows: Changes) {
    match table {
        TableName::Operator => apply(gateway, table, &rows, true),
        TableName::Endpoints => endpoints::apply_restored(gateway, rows),
        TableName::Own => own_table::apply_restored(gateway, &rows),
        // Read when it is needed, not followed.
        TableName::Streams => {}
    }
    gateway.capacity_changed.notify_one();
}

/// Waits between two polls, so that one poll returns several changes.
///
/// The wait on the system's own table ends early when the lease holder falls silent.
async fn pause(gateway: &Gateway, table: TableName) {
    match table {
        TableName::Operator | TableName::Streams => {}
        TableName::Endpoints => {
            let has_holder_updates = gateway.order_epoch().is_none() && gateway.has_recent_holder();
            let (gateways, has_absent) =
                gateway.with(|view| (view.gateways(), view.absences.has_absent()));
            let pause_ms = endpoints_pause_ms(gateways, has_holder_updates && !has_absent);
            let pause_ms = if gateway.knows_live_endpoints() {
                pause_ms
            } else {
                pause_ms.min(reregistration_left_ms(&gateway.era(), boot_ms()))
            };
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
        TableName::Own => {
            for _ in 0..OWN_PAUSE_MAX_MS / OWN_CHECK_INTERVAL_MS {
                tokio::time::sleep(Duration::from_millis(OWN_CHECK_INTERVAL_MS)).await;
                // After a return of the store, others write again what it lacks.
                if !gateway.has_recent_holder() || !gateway.knows_live_endpoints() {
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
        TableName::Streams => {}
    }
    gateway.capacity_changed.notify_one();
}
