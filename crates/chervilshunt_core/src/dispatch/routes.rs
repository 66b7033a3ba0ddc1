//! Routes, which map a request to a service and define how it is handled.

use std::sync::Arc;
use std::time::Duration;

use chervilshunt_model::ServiceName;
use indexmap::IndexMap;

use super::facts::PlacementLimits;
use super::teams::Teams;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// The request is idempotent.
    Idempotent,
    /// The request must run at most once.
    Never,
    /// The request is a stream that another target can resume after the last event that was passed
    /// on.
    Resumable,
}

impl Repeat {
    /// Returns whether running the request a second time is safe.
    pub const fn is_allowed(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }
}

/// How the requests of one path are handled.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name of the route in the configuration.
    pub name: Arc<str>,
    /// The path prefix of the route's requests; it begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether the response is a stream of events.
    pub streams: bool,
    /// Whether the route's requests may run more than once.
    pub repeat: Repeat,
    /// The services that receive the requests, each with its weight.
    pub services: Vec<(ServiceName, u32)>,
    /// The longest time that a request may take until the end of its response.
    pub timeout: Duration,
    /// The target for the time to the first byte.
    pub objective: Duration,
    /// The longest acceptable pause between two events of a stream.
    pub longest_pause: Option<Duration>,
    /// The priority of the route's requests; 0 is the most urgent.
    pub priority: u8,
    /// The maximum number of targets that one request may be run on.
    pub max_targets: u32,
    /// Whether requests need no key even if the configuration has teams.
    pub is_key_exempt: bool,
}

impl Route {
    /// Picks the service for a request by weight; `draw` is a random number from 0 to 1.
    pub fn pick_service(&self, draw: f64) -> Option<&ServiceName> {
        let total: u32 = self.services.iter().map(|(_, weight)| weight).sum();
        let mut left = draw * f64::from(total);
        let by_weight = self.services.iter().find(|(_, weight)| {
            left -= f64::from(*weight);
            left < 0.0
        });
        let picked = by_weight.or_else(|| self.services.iter().rfind(|(_, weight)| *weight > 0));
        picked.map(|(service, _)| service)
    }

    /// Returns whether the route's requests may go to a service.
    pub fn leads_to(&self, service: &ServiceName) -> bool {
        let mut services = self.services.iter();
        services.any(|(it, weight)| it == service && *weight > 0)
    }
}

/// A service as described in the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// The name of the service.
    pub name: ServiceName,
    /// The number of connections that one target of the service accepts from all clients together.
    pub max_connections: u32,
    /// The path at which a target answers health checks, if it has one.
    pub health_path: Option<Arc<str>>,
    /// Limits on what the targets may be ordered to hold, or `None` for a plain service.
    pub placement: Option<PlacementLimits>,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerBounds {
    /// The maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// The maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// How long the head of a request may take to arrive.
    pub header_time: Duration,
    /// How long a connection may be idle between requests.
    pub idle_time: Duration,
}

/// One complete version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTable {
    /// The version of the configuration, which only increases.
    pub version: u64,
    /// The routes of each host, the longest prefix first.
    hosts: IndexMap<Arc<str>, Vec<Arc<Route>>>,
    /// The services by name.
    pub services: IndexMap<ServiceName, ServiceSpec>,
    /// Limits on what callers may send.
    pub bounds: CallerBounds,
    /// The teams; `None` if requests need no keys.
    pub teams: Option<Teams>,
}

impl RouteTable {
    /// Creates a table from routes, each given with its host.
    pub fn new(
        version: u64,
        routes: impl IntoIterator<Item = (Arc<str>, Route)>,
        services: impl IntoIterator<Item = ServiceSpec>,
        bounds: CallerBounds,
        teams: Option<Teams>,
    ) -> Self {
        let mut hosts: IndexMap<Arc<str>, Vec<Arc<Route>>> = IndexMap::new();
        for (host, route) in routes {
            hosts.entry(host).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services
            .into_iter()
            .map(|service| (service.name.clone(), service))
            .collect();
        Self {
            version,
            hosts,
            services,
            bounds,
            teams,
        }
    }

    /// Returns the route of a request, which is the one with the longest matching prefix for the
    /// host.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the total number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}
