use std::collections::{BTreeSet, HashMap};
use std::ops::RangeInclusive;
use std::sync::Arc;

use chicorystage_api::name::ServiceName;

use crate::deployment::{EngineSpec, RequestLimits, Route, ServiceSpec};
use crate::teams::{Access, KeyDigest, Rank, Team, TeamDirectory};

/// One version of the deployment's configuration.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Version number; a higher number is newer.
    pub version: u64,
    /// Limits on the HTTP requests of callers.
    pub limits: RequestLimits,
    /// Teams that share the deployment; empty if requests need no keys.
    pub teams: TeamDirectory,
    services: HashMap<ServiceName, ServiceSpec>,
    /// Highest and lowest priority of the routes to each service.
    priorities: HashMap<ServiceName, RangeInclusive<u8>>,
    /// Routes by host, longest prefix first.
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
}

impl Configuration {
    /// Creates a configuration and sorts its routes by host and length of prefix.
    #[must_use]
    pub fn new(
        version: u64,
        limits: RequestLimits,
        services: Vec<ServiceSpec>,
        routes: Vec<Route>,
    ) -> Self {
        let services = services
            .into_iter()
            .map(|service| (service.name.clone(), service))
            .collect();
        let priorities = priorities_by_service(&routes);
        let mut by_host: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            let host_routes = by_host.entry(Arc::clone(&route.host)).or_default();
            host_routes.push(Arc::new(route));
        }
        for host_routes in by_host.values_mut() {
            host_routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version,
            limits,
            teams: TeamDirectory::default(),
            services,
            priorities,
            routes: by_host,
        }
    }

    /// Sets the teams that share the deployment.
    #[must_use]
    pub fn with_teams(mut self, teams: TeamDirectory) -> Self {
        self.teams = teams;
        self
    }

    /// Returns which team a request on a route belongs to, if it may run at all.
    ///
    /// A key that no team holds is denied on a public route too.
    #[must_use]
    pub fn access(&self, route: &Route, key: Option<KeyDigest>) -> Access {
        if self.teams.is_empty() {
            return Access::Open;
        }
        match key {
            None if route.is_public => Access::Open,
            None => Access::Denied,
            Some(key) => self
                .teams
                .team(&key)
                .map_or(Access::Denied, |team| Access::Team(Arc::clone(team), key)),
        }
    }

    /// Returns the rank of a team's request on a route.
    #[must_use]
    pub fn rank(&self, route: &Route, team: Option<&Team>) -> Rank {
        Rank {
            team: self.teams.level(team),
            route: route.priority,
        }
    }

    /// Returns whether requests of a rank go before all others at a service, some of which come later.
    ///
    /// Where all requests have one rank, none goes first.
    #[must_use]
    pub fn goes_first(&self, service: &ServiceName, rank: Rank) -> bool {
        let Some(priorities) = self.priorities.get(service) else {
            return false;
        };
        let first = Rank {
            team: 0,
            route: *priorities.start(),
        };
        let has_later = priorities.start() < priorities.end() || self.teams.priorities() > 1;
        rank <= first && has_later
    }

    /// Returns the number of priorities that routes may have: one more than the largest.
    #[must_use]
    pub fn route_priorities(&self) -> u8 {
        let routes = self.routes.values().flatten();
        let largest = routes.map(|route| route.priority).max();
        largest.map_or(1, |largest| largest.saturating_add(1))
    }

    /// Returns the route with the longest matching prefix; a port in `host` is ignored.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split_once(':').map_or(host, |(name, _port)| name);
        let host_routes = self.routes.get(host)?;
        host_routes
            .iter()
            .find(|route| path.starts_with(route.prefix.as_ref()))
    }

    /// Returns the service of that name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// Returns the services that run on model engines, in no particular order.
    pub fn engines(&self) -> impl Iterator<Item = (&ServiceName, &Arc<EngineSpec>)> {
        self.services
            .values()
            .filter_map(|service| Some((&service.name, service.engine.as_ref()?)))
    }

    /// Returns the services with a route whose streams may be resumed.
    #[must_use]
    pub fn resumable_services(&self) -> BTreeSet<ServiceName> {
        let routes = self.routes.values().flatten();
        let resumable = routes.filter(|route| route.kind.is_resumable());
        resumable
            .flat_map(|route| &route.services)
            .map(|weighted| weighted.service.clone())
            .collect()
    }

    /// Returns the number of routes of all hosts.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}

/// Returns the highest and the lowest priority of the routes to each service.
fn priorities_by_service(routes: &[Route]) -> HashMap<ServiceName, RangeInclusive<u8>> {
    let mut priorities: HashMap<ServiceName, RangeInclusive<u8>> = HashMap::new();
    for route in routes {
        for weighted in &route.services {
            let known = priorities
                .entry(weighted.service.clone())
                .or_insert(route.priority..=route.priority);
            *known = route.priority.min(*known.start())..=route.priority.max(*known.end());
        }
    }
    priorities
}
