use std::collections::HashMap;

use chicorystage_api::name::EndpointId;

/// Time for which a departure is remembered, in milliseconds; longer than a store's copy is old.
const REMEMBERED_MS: u64 = 60_000;

/// Endpoints that have left lately, so that an older copy of the registry does not bring them back.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    by_endpoint: HashMap<EndpointId, Departure>,
}

#[derive(Clone, Copy, Debug)]
struct Departure {
    born_unix_ms: Option<u64>,
    time_ms: u64,
}

impl Departures {
    /// Records that the endpoint that started at `born_unix_ms` is leaving or gone.
    pub fn record(&mut self, now_ms: u64, id: EndpointId, born_unix_ms: Option<u64>) {
        let is_recent = |departure: &Departure| now_ms < departure.time_ms + REMEMBERED_MS;
        self.by_endpoint.retain(|_, departure| is_recent(departure));
        let departure = Departure {
            born_unix_ms,
            time_ms: now_ms,
        };
        self.by_endpoint.insert(id, departure);
    }

    /// Records that an endpoint serves again.
    pub fn forget(&mut self, id: &EndpointId) {
        self.by_endpoint.remove(id);
    }

    /// Returns whether the endpoint that started at `born_unix_ms` has left.
    #[must_use]
    pub fn contains(&self, id: &EndpointId, born_unix_ms: Option<u64>) -> bool {
        self.by_endpoint
            .get(id)
            .is_some_and(|departure| departure.born_unix_ms == born_unix_ms)
    }
}
