//! Applies rows of the system's own table: the lease and the addresses of other gateways.

use std::rc::Rc;

use chicorystage_api::name::VmId;
use chicorystage_platform::store::{Changes, Row};
use serde::{Deserialize, Serialize};

use crate::gateway::shared::Gateway;
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

/// Applies rows of the system's own table: the lease and other gateways' addresses.
pub(super) fn apply_own(gateway: &Rc<Gateway>, changes: &Changes, is_whole: bool) {
    let mut has_lease = false;
    for row in &changes.rows {
        if row.key == LEASE_KEY {
            has_lease = true;
            gateway.observe_lease(row);
        } else if let Some(vm) = row.key.strip_prefix(GATEWAY_KEY) {
            apply_gateway(gateway, vm, row);
        }
    }
    if is_whole && !has_lease {
        gateway.observe_missing_lease();
    }
}

/// Adds, updates or removes another gateway; of this gateway's own row only the version is kept.
fn apply_gateway(gateway: &Gateway, vm: &str, row: &Row) {
    if vm == gateway.settings.vm.as_str() {
        gateway.own_row_version.set(row.version);
        return;
    }
    let vm = VmId::from(vm);
    let decoded: Option<GatewayRow> = row
        .value
        .as_ref()
        .and_then(|value| serde_json::from_slice(value).ok());
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
