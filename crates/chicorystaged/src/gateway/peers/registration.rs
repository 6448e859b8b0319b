//! Registers this gateway in the store.

use std::rc::Rc;
use std::time::Duration;

use chicorystage_platform::store::{StoreClient, WriteOutcome};

use crate::gateway::follow::{GATEWAY_KEY, GatewayRow};
use crate::gateway::shared::Gateway;

/// Pause before the next try to register after the store failed, in milliseconds.
const REGISTER_PAUSE_MS: u64 = 500;

/// Writes this gateway's row to the store, so that the others know its address.
///
/// Tries until the row is written; a conflict yields the version to write against.
pub(super) async fn register(gateway: &Rc<Gateway>) {
    let store = StoreClient::new(gateway.settings.store, gateway.settings.store_timeout_ms);
    let key = format!("{GATEWAY_KEY}{}", gateway.settings.vm);
    let row = GatewayRow {
        address: gateway.settings.peers,
        incarnation: gateway.incarnation,
    };
    let Ok(value) = serde_json::to_vec(&row) else {
        return;
    };
    loop {
        let expected = gateway.position(gateway.own_row_version.get());
        match store.write(&key, &value, expected).await {
            WriteOutcome::Written(_version) => {
                gateway.metrics.count_store_call("register", "ok");
                gateway.observe_registration();
                return;
            }
            WriteOutcome::Conflict(row) => gateway.observe_own_row(row.as_ref()),
            WriteOutcome::OtherEra(era) => {
                gateway.observe_era(era);
                gateway.own_row_version.set(0);
            }
            WriteOutcome::Refused | WriteOutcome::Unknown => {
                gateway.metrics.count_store_call("register", "failed");
                tokio::time::sleep(Duration::from_millis(REGISTER_PAUSE_MS)).await;
            }
        }
    }
}
