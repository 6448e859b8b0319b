//! Puts configurations from the operator's table into force.

use std::sync::Arc;

use chicorystage_platform::configuration;
use chicorystage_platform::store::Row;

use crate::gateway::shared::Gateway;
use crate::gateway::software_rows;

/// Puts a configuration into force unless the known one is at least as new.
pub(super) fn apply_configuration(gateway: &Gateway, row: &Row) {
    let Some(value) = &row.value else {
        return;
    };
    match configuration::decode(value, &gateway.key_hasher) {
        Ok(configuration) => {
            let version = configuration.version;
            let routes = configuration.route_count();
            let now_ms = gateway.now_ms();
            let is_newer = gateway.with(|view| {
                let known = view.configuration.as_ref();
                let is_newer = known.is_none_or(|known| known.version < version);
                if is_newer {
                    view.quotas.set_quotas(now_ms, &configuration.teams);
                    view.configuration = Some(Arc::new(configuration));
                }
                is_newer
            });
            if is_newer {
                software_rows::registry_changed(gateway);
                log::info!(event = "configuration", version, routes, bytes = value.len(); "configuration in force");
            }
        }
        Err(error) => {
            log::warn!(event = "configuration_unreadable", row_version = row.version, error:%; "configuration row cannot be decoded; ignored");
        }
    }
}
