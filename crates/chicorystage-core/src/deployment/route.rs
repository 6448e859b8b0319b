use std::sync::Arc;

use chicorystage_api::name::ServiceName;

use crate::deployment::{RouteKind, WeightedService};

/// A route: which requests go to which service, and under which terms.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host that requests name.
    pub host: Arc<str>,
    /// Prefix of the path, with a slash at both ends.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective up to the answer or its first event, in milliseconds.
    pub objective_ms: u64,
    /// Longest pause between two events of an answer that is on time, in milliseconds.
    pub pause_objective_ms: u64,
    /// Rank among routes; 0 goes first.
    pub priority: u8,
    /// Endpoints at most that may run one attempt of a caller.
    pub runs_max: u32,
    /// Services that take the requests.
    pub services: Vec<WeightedService>,
}

impl Route {
    /// Chooses the service of one request by weight; `random` is any random number.
    #[must_use]
    pub fn service(&self, random: u64) -> Option<&ServiceName> {
        let weight = |entry: &WeightedService| u64::from(entry.weight);
        let total: u64 = self.services.iter().map(weight).sum();
        if total == 0 {
            return self.services.first().map(|entry| &entry.service);
        }
        let mut left = random % total;
        for entry in &self.services {
            if left < weight(entry) {
                return Some(&entry.service);
            }
            left -= weight(entry);
        }
        None
    }
}
