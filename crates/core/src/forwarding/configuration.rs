//! Routes, services, organisations and request limits of one configuration version.

use std::collections::HashMap;

use crate::Name;
use crate::forwarding::lanes::Lane;

/// Which requests of a route may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run any number of times.
    Idempotent,
    /// A request may run at most once.
    NonIdempotent,
    /// The answer is an event stream; if resumable, a broken request continues after the last delivered event.
    Stream,
}

/// A service behind a route and its share of the requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: Name,
    /// Share of the requests, relative to the other targets.
    pub weight: u32,
}

/// A rule that forwards requests for a host and path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Host of the request, without its port; case is ignored.
    pub host: String,
    /// Prefix of the request path.
    pub path_prefix: String,
    /// Which requests may be retried.
    pub kind: RouteKind,
    /// Deadline for the answer to a request, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective, in milliseconds; for streams up to the first event.
    pub objective_ms: u64,
    /// Rank of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of endpoints that one request may be sent to.
    pub attempts_max: u32,
    /// Whether callers need no API key.
    pub is_public: bool,
    /// Whether a broken stream may resume at another endpoint.
    pub is_resumable: bool,
    /// Maximum gap between events of an answer, in milliseconds; longer gaps miss the target.
    pub gap_target_ms: Option<u64>,
    /// Services that the route forwards to; never empty.
    pub targets: Vec<Target>,
}

impl Route {
    /// Returns whether a request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Stream => self.is_resumable,
        }
    }

    /// Returns the service for a request; `draw` is uniformly random.
    pub fn pick_service(&self, draw: u32) -> Option<&Name> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        if total == 0 {
            return self.targets.first().map(|target| &target.service);
        }
        let mut left = u64::from(draw) % total;
        for target in &self.targets {
            if left < u64::from(target.weight) {
                return Some(&target.service);
            }
            left -= u64::from(target.weight);
        }
        None
    }
}

/// A pool of endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name of the service.
    pub name: Name,
    /// Path that answers whether an endpoint is healthy.
    pub health_path: String,
    /// Maximum number of connections to an endpoint from all callers together.
    pub connections_max: u32,
    /// Memory capacity of one engine, in tokens; `None` for services without a model.
    pub memory_tokens: Option<u64>,
    /// Whether an engine can fetch cached parts of a prompt from another engine.
    pub can_fetch: bool,
}

/// An organisation and its API keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// Name, as it is sent to endpoints.
    pub name: Name,
    /// API keys of its callers.
    pub keys: Vec<String>,
    /// Rank that takes precedence over the route's rank.
    pub priority: Option<u8>,
}

/// Limits on the requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub head_max_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_max_bytes: usize,
    /// Timeout for receiving a request head, and for receiving a body, in milliseconds.
    pub head_timeout_ms: u64,
    /// Timeout of an idle caller connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_max_bytes: 16_384,
            body_max_bytes: 4_194_304,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// One version of the configuration, indexed for lookups.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    version: u64,
    limits: Limits,
    has_organisations: bool,
    routes: HashMap<String, Vec<Route>>,
    services: HashMap<Name, Service>,
    organisations: Vec<Organisation>,
    keys: HashMap<String, usize>,
    gap_targets_ms: HashMap<Name, Vec<u64>>,
}

impl Configuration {
    /// Indexes a configuration; `organisations` is `None` if callers need no API keys.
    pub fn new(
        version: u64,
        limits: Limits,
        routes: Vec<Route>,
        services: Vec<Service>,
        organisations: Option<Vec<Organisation>>,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<Route>> = HashMap::new();
        let gap_targets_ms = collect_gap_targets_ms(&routes);
        for route in routes {
            by_host
                .entry(normalise_host(&route.host))
                .or_default()
                .push(route);
        }
        for routes in by_host.values_mut() {
            // Longest prefix first, so that the first match is the most specific one.
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let has_organisations = organisations.is_some();
        let organisations = organisations.unwrap_or_default();
        let mut keys = HashMap::new();
        for (index, organisation) in organisations.iter().enumerate() {
            for key in &organisation.keys {
                keys.insert(key.clone(), index);
            }
        }
        Self {
            version,
            limits,
            has_organisations,
            routes: by_host,
            services: services.into_iter().map(|s| (s.name.clone(), s)).collect(),
            organisations,
            keys,
            gap_targets_ms,
        }
    }

    /// Returns the version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on the requests of callers.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns the longest deadline of the routes whose streams may resume, in milliseconds; 0 if there are none.
    pub fn stream_timeout_max_ms(&self) -> u64 {
        let routes = self.routes.values().flatten();
        let resumable = routes.filter(|route| route.is_resumable);
        resumable.map(|route| route.timeout_ms).max().unwrap_or(0)
    }

    /// Returns whether there is a route of this name.
    pub fn has_route(&self, name: &Name) -> bool {
        let mut routes = self.routes.values().flatten();
        routes.any(|route| route.name == *name)
    }

    /// Returns whether callers need API keys on routes that are not public.
    pub fn needs_keys(&self) -> bool {
        self.has_organisations
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.routes.get(&normalise_host(host))?;
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns the organisation that holds an API key.
    pub fn organisation_by_key(&self, key: &str) -> Option<&Organisation> {
        self.keys.get(key).map(|index| &self.organisations[*index])
    }

    /// Returns the rank of a route's gap target among those of the routes to a service.
    pub fn lane(&self, service: &Name, route: &Route) -> Lane {
        let targets = self
            .gap_targets_ms
            .get(service)
            .map_or(&[][..], Vec::as_slice);
        let target_ms = route.gap_target_ms.unwrap_or(u64::MAX);
        let index = targets.partition_point(|other| *other < target_ms);
        Lane {
            index: index.min(targets.len().saturating_sub(1)),
            count: targets.len(),
        }
    }

    /// Returns a service by its name.
    pub fn service(&self, name: &Name) -> Option<&Service> {
        self.services.get(name)
    }
}

/// Returns the distinct gap targets of the routes to each service, in ascending order.
fn collect_gap_targets_ms(routes: &[Route]) -> HashMap<Name, Vec<u64>> {
    let mut by_service: HashMap<Name, Vec<u64>> = HashMap::new();
    for route in routes {
        let Some(gap_ms) = route.gap_target_ms else {
            continue;
        };
        for target in &route.targets {
            let targets = by_service.entry(target.service.clone()).or_default();
            if let Err(place) = targets.binary_search(&gap_ms) {
                targets.insert(place, gap_ms);
            }
        }
    }
    by_service
}

/// Returns a host in lower case and without its port.
fn normalise_host(host: &str) -> String {
    let name = host.rsplit_once(':').map_or(host, |(name, port)| {
        if port.bytes().all(|byte| byte.is_ascii_digit()) {
            name
        } else {
            host
        }
    });
    name.to_ascii_lowercase()
}
