//! Applies rows of the system's own table: the lease, the addresses of other gateways, quarantines and
//! the software versions of services.

use std::rc::Rc;

use chicorystage_api::name::VmId;
use chicorystage_core::retry::Predecessor;
use chicorystage_platform::store::{Changes, Row};
use serde::{Deserialize, Serialize};

use crate::gateway::era_row::{self, ERA_KEY};
use crate::gateway::peers;
use crate::gateway::quarantine_rows::{self, QUARANTINE_KEY};
use crate::gateway::shared::Gateway;
use crate::gateway::software_rows::{self, SOFTWARE_KEY};
use crate::gateway::view::Peer;

/// Prefix of gateways' keys in the system's own table; the VM's name follows.
pub(crate) const GATEWAY_KEY: &str = "gateway/";
/// Key in the system's own table of the lease whose holder sends orders to engines.
pub(crate) const LEASE_KEY: &str = "lease/orders";

/// Row that a gateway writes so that other gateways can send it datagrams.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct GatewayRow {
    /// Address at which the gateway receives datagrams.
    pub address: std::net::SocketAddr,
    /// Start of the gateway's process on its VM's boot clock, in milliseconds.
    pub incarnation: u64,
}

/// Applies rows of the system's own table.
pub(super) fn apply_own(gateway: &Rc<Gateway>, changes: &Changes, is_whole: bool) {
    let mut has_lease = false;
    if is_whole {
        quarantine_rows::forget_stored(gateway);
    }
    for row in &changes.rows {
        if row.key == LEASE_KEY {
            has_lease = true;
            gateway.observe_lease(row);
        } else if row.key == ERA_KEY && !is_whole {
            era_row::apply(gateway, row, changes.clock_ms);
        } else if let Some(vm) = row.key.strip_prefix(GATEWAY_KEY) {
            apply_gateway(gateway, vm, row);
        } else if let Some(service) = row.key.strip_prefix(SOFTWARE_KEY) {
            if !is_whole {
                software_rows::apply(gateway, service, row);
            }
        } else if let Some(digest) = row.key.strip_prefix(QUARANTINE_KEY) {
            quarantine_rows::apply(gateway, digest, row);
        }
    }
    if is_whole {
        era_row::apply_whole(gateway, changes);
        software_rows::apply_all(gateway, &changes.rows);
    }
    if is_whole && !has_lease {
        gateway.observe_missing_lease();
    }
    gateway.with(|view| view.has_peers = true);
}

/// Applies the rows of a table that has returned from an older copy.
///
/// What this gateway wrote after the copy was taken is lost, so it registers again.
pub(super) fn apply_restored(gateway: &Rc<Gateway>, rows: &Changes) {
    apply_own(gateway, rows, true);
    quarantine_rows::store_missing(gateway);
    peers::register_again(gateway);
}

impl Gateway {
    /// Records this gateway's own row as stored: its version, and whether an earlier process
    /// wrote it; `None` if there is no row.
    pub(crate) fn observe_own_row(&self, row: Option<&Row>) {
        self.own_row_version.set(row.map_or(0, |row| row.version));
        let Some(stored) = row.and_then(decode_gateway) else {
            return;
        };
        if stored.incarnation != self.incarnation {
            self.previous_incarnation.set(Some(stored.incarnation));
        }
    }

    /// Records that this gateway's own row is written.
    pub(crate) fn observe_registration(&self) {
        self.is_registered.set(true);
        log::info!(event = "registered", predecessor:? = self.predecessor(); "gateway registered");
    }

    /// Returns what is known of the earlier process on this VM.
    ///
    /// The age of the store's era, which decides how much its row tells, may become known later.
    #[must_use]
    pub fn predecessor(&self) -> Predecessor {
        let previous_ms = self.previous_incarnation.get();
        let window_ms = self.settings.retry_window_ms;
        Predecessor::of(previous_ms, self.incarnation, window_ms, &self.era())
    }
}

/// Returns a gateway's row; `None` if it is removed or cannot be decoded.
fn decode_gateway(row: &Row) -> Option<GatewayRow> {
    serde_json::from_slice(row.value.as_ref()?).ok()
}

/// Adds, updates or removes another gateway, or records this gateway's own row.
fn apply_gateway(gateway: &Gateway, vm: &str, row: &Row) {
    if vm == gateway.settings.vm.as_str() {
        gateway.observe_own_row(Some(row));
        return;
    }
    let vm = VmId::from(vm);
    let decoded = decode_gateway(row);
    gateway.with(|view| {
        let Some(decoded) = decoded else {
            view.peers.remove(&vm);
            return;
        };
        let last_message_ms = view.peers.get(&vm).and_then(|peer| peer.last_message_ms);
        let peer = Peer {
            address: decoded.address,
            last_message_ms,
        };
        view.peers.insert(vm, peer);
    });
}
