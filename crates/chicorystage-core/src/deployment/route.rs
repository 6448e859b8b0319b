use std::sync::Arc;

use chicorystage_api::name::ServiceName;

use crate::deployment::{RouteKind, WeightedService};

/// Maps requests of one host and path prefix to services, with deadlines and retry rules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host that a request must name, without a port.
    pub host: Arc<str>,
    /// Prefix that the path must have; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Rules for retries and the kind of answer.
    pub kind: RouteKind,
    /// Longest time that a caller waits for an answer, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective until the answer or its first event, in milliseconds.
    pub objective_ms: u64,
    /// Objective for the pause between two events of a stream, in milliseconds; 0 if none is declared.
    pub pause_objective_ms: u64,
    /// Priority among routes; 0 is the highest.
    pub priority: u8,
    /// Largest number of endpoints to which one attempt of a caller may be sent.
    pub endpoints_per_attempt_max: u32,
    /// Whether requests need no key where the configuration lists teams.
    pub is_public: bool,
    /// Services among which the requests are split by weight.
    pub services: Vec<WeightedService>,
}

impl Route {
    /// Chooses the service of one request by weight; `random` is any random number.
    ///
    /// Returns the first service if all weights are 0, and `None` if the route has no service.
    #[must_use]
    pub fn service(&self, random: u64) -> Option<&ServiceName> {
        let weight = |entry: &WeightedService| u64::from(entry.weight);
        let total: u64 = self.services.iter().map(weight).sum();
        if total == 0 {
            return self.services.first().map(|entry| &entry.service);
        }
        let mut remaining = random % total;
        for entry in &self.services {
            if remaining < weight(entry) {
                return Some(&entry.service);
            }
            remaining -= weight(entry);
        }
        None
    }
}
