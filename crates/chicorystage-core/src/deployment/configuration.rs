use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use chicorystage_api::name::ServiceName;

use crate::deployment::{EngineSpec, RequestLimits, Route, ServiceSpec};

/// One version of the deployment's configuration.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Version number; a higher number is newer.
    pub version: u64,
    /// Limits on the HTTP requests of callers.
    pub limits: RequestLimits,
    services: HashMap<ServiceName, ServiceSpec>,
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
            services,
            routes: by_host,
        }
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
