use std::net::SocketAddr;

use serde_json::{Value, json};

/// Returns the registry entry of an emulated endpoint that started at `started_ms`.
///
/// `models` is what its engine has loaded; `None` for an endpoint without an engine.
pub(super) fn registry_entry(
    address: SocketAddr,
    service: &str,
    state: &str,
    started_ms: u64,
    models: Option<Value>,
) -> Value {
    json!({
        "backend": service, "addr": address.to_string(), "zone": "z1", "version": "v1",
        "slots": 8, "state": state, "cold_left_ms": 0, "stage": "colocated",
        "models": models.unwrap_or_else(|| json!([])), "seq": 1, "born": started_ms,
    })
}
