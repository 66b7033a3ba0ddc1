//! Routes: which service a request belongs to and how it may be treated.

use std::sync::Arc;
use std::time::Duration;

use chervilshunt_model::ServiceName;
use indexmap::IndexMap;

use super::facts::PlacementLimits;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// It is idempotent.
    Idempotent,
    /// It runs at most once.
    Never,
    /// It is a stream that another target can resume after the last event that was passed on.
    Resumable,
}

impl Repeat {
    /// Says whether a second run does no harm.
    pub const fn is_allowed(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }
}

/// How the requests of one path are treated.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name in the configuration.
    pub name: Arc<str>,
    /// The path that its requests begin with; it begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether the answer is a stream of events.
    pub streams: bool,
    /// Whether its requests may run more than once.
    pub repeat: Repeat,
    /// The services that its requests go to, each with its share.
    pub services: Vec<(ServiceName, u32)>,
    /// The longest time that a request is kept waiting for the end of its answer.
    pub timeout: Duration,
    /// The time to the first byte that callers want kept.
    pub objective: Duration,
    /// The longest pause between two events of a stream that callers want kept.
    pub longest_pause: Option<Duration>,
    /// Its rank; the most urgent is 0.
    pub priority: u8,
    /// The most targets that one request may run at.
    pub max_targets: u32,
}

impl Route {
    /// Picks the service for a request; `draw` is a random number from 0 to 1.
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
}

/// A service as the configuration describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Its name.
    pub name: ServiceName,
    /// Connections that one of its targets takes from all callers together.
    pub max_connections: u32,
    /// What its targets may be ordered to hold; none for a plain service.
    pub placement: Option<PlacementLimits>,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerBounds {
    /// The longest head of a request, in bytes.
    pub header_bytes: usize,
    /// The longest body of a request, in bytes.
    pub body_bytes: usize,
    /// How long the head of a request may take to arrive.
    pub header_time: Duration,
    /// How long a connection may be idle between requests.
    pub idle_time: Duration,
}

/// One version of the configuration, whole.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTable {
    /// Its version; versions only rise.
    pub version: u64,
    /// The routes of each host, those with the longest prefix first.
    hosts: IndexMap<Arc<str>, Vec<Arc<Route>>>,
    /// The services by name.
    pub services: IndexMap<ServiceName, ServiceSpec>,
    /// Bounds on what callers may send.
    pub bounds: CallerBounds,
}

impl RouteTable {
    /// Makes a table from the routes, each with its host.
    pub fn new(
        version: u64,
        routes: impl IntoIterator<Item = (Arc<str>, Route)>,
        services: impl IntoIterator<Item = ServiceSpec>,
        bounds: CallerBounds,
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
        }
    }

    /// Returns the route of a request: of those of its host the one with the longest prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns how many routes there are.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}
