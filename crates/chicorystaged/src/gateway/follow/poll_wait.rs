//! For how long the store should delay its reply to a poll that finds no change.

use chicorystage_core::registry::{outage_min_ms, reregistration_left_ms};
use chicorystage_platform::store::TableName;

use crate::gateway::shared::Gateway;
use crate::timer::boot_ms;

/// Longest time for which the store delays the reply to one poll for changes, in milliseconds.
const POLL_WAIT_MAX_MS: u64 = 2_400;
/// Shortest time for which the store delays the reply to one poll for changes, in milliseconds.
const POLL_WAIT_MIN_MS: u64 = 500;
/// Time by which a poll's wait stays below the shortest outage in which entries expire, in
/// milliseconds.
///
/// The wait of a poll that fails alone must not look like such an outage.
const POLL_WAIT_MARGIN_MS: u64 = 100;
/// Number of replies that confirm the configuration within the time that a withdrawal of a key may take.
const CONFIRMATIONS: u64 = 5;

/// Returns the longest delay of a reply where endpoints renew their entries every `heartbeat_ms`, in
/// milliseconds.
pub(super) fn longest_ms(heartbeat_ms: u64) -> u64 {
    let longest_ms = outage_min_ms(heartbeat_ms).saturating_sub(POLL_WAIT_MARGIN_MS);
    longest_ms.clamp(POLL_WAIT_MIN_MS, POLL_WAIT_MAX_MS)
}

/// Returns the delay of the reply to the next poll of a table, in milliseconds, at most `longest_ms`.
///
/// Keys of teams are accepted only while the configuration is confirmed, which each reply does. After the
/// store's return from an older copy, the registry is read as soon as each live endpoint is back in it, and
/// the configuration as soon as the operator has written it again.
pub(super) fn next_ms(gateway: &Gateway, table: TableName, longest_ms: u64) -> u64 {
    match table {
        TableName::Endpoints if !gateway.knows_live_endpoints() => {
            let left_ms = reregistration_left_ms(&gateway.era(), boot_ms());
            left_ms.min(longest_ms)
        }
        TableName::Operator if gateway.needs_confirmation() => confirmation_ms(gateway, longest_ms),
        TableName::Operator | TableName::Endpoints | TableName::Own | TableName::Streams => {
            longest_ms
        }
    }
}

/// Returns the delay where the reply confirms the configuration, in milliseconds.
fn confirmation_ms(gateway: &Gateway, longest_ms: u64) -> u64 {
    let Some(revoke_max_ms) = gateway.settings.revoke_max_ms else {
        return longest_ms;
    };
    let interval_ms = longest_ms.min(revoke_max_ms / CONFIRMATIONS);
    let left_ms = gateway.unconfirmed_left_ms();
    left_ms.map_or(interval_ms, |left_ms| interval_ms.min(left_ms))
}
