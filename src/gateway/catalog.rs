//! Index of one version of the operators' configuration, and the weighted distribution of
//! requests among backends.

use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;

use crate::finding;
use crate::gateway::adapter;
use crate::model;

/// Routes of one host name, by path prefix.
#[derive(Debug, Default)]
struct HostRoutes {
    prefixes: HashMap<Arc<str>, Rc<adapter::Route>>,
    /// Length of the longest prefix in bytes, which bounds the lookups for a path.
    max_prefix: usize,
}

impl HostRoutes {
    /// Adds a route, unless one with the same prefix exists.
    fn add(&mut self, route: Rc<adapter::Route>) {
        self.max_prefix = self.max_prefix.max(route.prefix.len());
        let prefix = Arc::clone(&route.prefix);
        self.prefixes.entry(prefix).or_insert(route);
    }

    /// Returns the route with the longest prefix of `path`.
    fn resolve(&self, path: &str) -> Option<&Rc<adapter::Route>> {
        let mut end = path.len().min(self.max_prefix);
        while let Some(slash) = path.as_bytes()[..end].iter().rposition(|&b| b == b'/') {
            if let Some(route) = self.prefixes.get(&path[..=slash]) {
                return Some(route);
            }
            end = slash;
        }
        None
    }
}

/// Immutable index of the routes, services and limits of one version.
#[derive(Debug)]
pub struct Catalog {
    version: u64,
    limits: adapter::Limits,
    services: BTreeMap<model::ServiceName, adapter::Service>,
    routes: Vec<Rc<adapter::Route>>,
    hosts: HashMap<String, HostRoutes>,
    /// Allowed regions of keyed services that some route restricts.
    regions: HashMap<model::ServiceName, BTreeSet<model::RegionName>>,
    skipped: finding::Findings,
}

impl Catalog {
    /// Builds the index of a revision.
    ///
    /// Of several routes with the same host and prefix, the first one is used.
    pub fn new(revision: adapter::Revision) -> Self {
        let by_name = |service: adapter::Service| (service.name.clone(), service);
        let services: BTreeMap<_, _> = revision.services.into_iter().map(by_name).collect();
        let routes: Vec<_> = revision.routes.into_iter().map(Rc::new).collect();
        let mut hosts: HashMap<String, HostRoutes> = HashMap::new();
        for route in &routes {
            let host = normalize(&route.host).into_owned();
            hosts.entry(host).or_default().add(Rc::clone(route));
        }
        Self {
            version: revision.version,
            limits: revision.limits,
            regions: regions(&services, &routes),
            services,
            routes,
            hosts,
            skipped: revision.skipped,
        }
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on callers' requests and connections.
    pub fn limits(&self) -> adapter::Limits {
        self.limits
    }

    /// Returns what of this version could not be read and is not in effect.
    pub fn skipped(&self) -> &finding::Findings {
        &self.skipped
    }

    /// Returns the service named `name`.
    pub fn service(&self, name: &model::ServiceName) -> Option<&adapter::Service> {
        self.services.get(name)
    }

    /// Iterates over all services, by name.
    pub fn services(&self) -> impl Iterator<Item = &adapter::Service> {
        self.services.values()
    }

    /// Iterates over all routes, in the order of the configuration.
    pub fn routes(&self) -> impl Iterator<Item = &Rc<adapter::Route>> {
        self.routes.iter()
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    ///
    /// The host is compared without its port, and its case is ignored.
    pub fn resolve(&self, host: &str, path: &str) -> Option<&Rc<adapter::Route>> {
        self.hosts.get(normalize(host).as_ref())?.resolve(path)
    }

    /// Returns the regions in which a keyed service may be served, or `None` if
    /// no route restricts them.
    ///
    /// The set is the intersection of the regions of all restricting routes to the service
    /// and may be empty. A backend of weight 0 counts as well, since its weight can be
    /// raised faster than keys can be moved.
    pub fn allowed_regions(
        &self,
        service: &model::ServiceName,
    ) -> Option<BTreeSet<model::RegionName>> {
        self.regions.get(service).cloned()
    }
}

/// Returns a host name in lower case and without its port.
fn normalize(host: &str) -> Cow<'_, str> {
    let end = if host.starts_with('[') {
        host.find(']').map_or(host.len(), |bracket| bracket + 1)
    } else {
        host.find(':').unwrap_or(host.len())
    };
    let name = &host[..end];
    if name.bytes().any(|b| b.is_ascii_uppercase()) {
        Cow::Owned(name.to_ascii_lowercase())
    } else {
        Cow::Borrowed(name)
    }
}

/// Returns the allowed regions of each keyed service that some route restricts.
fn regions(
    services: &BTreeMap<model::ServiceName, adapter::Service>,
    routes: &[Rc<adapter::Route>],
) -> HashMap<model::ServiceName, BTreeSet<model::RegionName>> {
    let mut regions: HashMap<_, BTreeSet<model::RegionName>> = HashMap::new();
    for route in routes.iter().filter(|route| !route.regions.is_empty()) {
        let allowed: BTreeSet<_> = route.regions.iter().cloned().collect();
        let names = route.backends.iter().map(|backend| &backend.service);
        for name in names.filter(|name| services.get(name).is_some_and(|s| s.keyed)) {
            let common = regions
                .entry(name.clone())
                .or_insert_with(|| allowed.clone());
            common.retain(|region| allowed.contains(region));
        }
    }
    regions
}

/// Weighted round-robin distribution of one route's requests among its backends.
///
/// After any number of requests, the count of each backend differs from its share by at
/// most one request. Always picking the backend that is furthest behind its share
/// violates this bound with many backends. Therefore the backend whose next request is
/// due first is picked among those that are behind their share.
#[derive(Clone, Debug)]
pub struct Distribution {
    /// Share of requests, from 0 to 1, and number of requests so far, for each backend.
    parts: Vec<(f64, u64)>,
    /// Number of requests so far.
    requests: u64,
}

impl Distribution {
    /// Returns a distribution without requests so far.
    ///
    /// Weights that are negative or not finite count as 0.
    pub fn new(backends: &[adapter::Backend]) -> Self {
        let weight = |backend: &adapter::Backend| match backend.weight {
            weight if weight.is_finite() && weight > 0.0 => weight,
            _ => 0.0,
        };
        // Weights are scaled by the largest one, so that their sum stays finite.
        let max_weight = backends.iter().map(weight).fold(0.0, f64::max);
        let total: f64 = backends.iter().map(|b| weight(b) / max_weight).sum();
        let part = |backend| match weight(backend) {
            0.0 => (0.0, 0),
            weight => (weight / max_weight / total, 0),
        };
        Self {
            parts: backends.iter().map(part).collect(),
            requests: 0,
        }
    }

    /// Returns the index of the backend for the next request, or `None` if all
    /// weights are 0.
    pub fn pick(&mut self) -> Option<usize> {
        let requests = (self.requests + 1) as f64;
        let lag = |&(share, count): &(f64, u64)| requests * share - count as f64;
        let due = |&(share, count): &(f64, u64)| (count + 1) as f64 / share;
        let parts = || self.parts.iter().enumerate().filter(|(_, p)| p.0 > 0.0);
        let behind = parts().filter(|(_, part)| lag(part) > 0.0);
        let first = behind.min_by(|(_, a), (_, b)| due(a).total_cmp(&due(b)));
        // Because of rounding, no backend may be behind its share.
        let furthest = || parts().max_by(|(_, a), (_, b)| lag(a).total_cmp(&lag(b)));
        let index = first.or_else(furthest)?.0;
        self.parts[index].1 += 1;
        self.requests += 1;
        Some(index)
    }
}

/// Distributions of all routes' requests, kept across versions of the configuration.
#[derive(Debug, Default)]
pub struct Distributions {
    /// Last known route of each name, with its distribution.
    routes: HashMap<Arc<str>, (Rc<adapter::Route>, Distribution)>,
}

impl Distributions {
    /// Returns an empty set of distributions.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the backend for the next request of `route`, or `None` if all
    /// weights are 0.
    ///
    /// The distribution is reset if the backends of the route have changed.
    pub fn pick<'r>(&mut self, route: &'r Rc<adapter::Route>) -> Option<&'r adapter::Backend> {
        let create = || (Rc::clone(route), Distribution::new(&route.backends));
        let name = Arc::clone(&route.name);
        let (known, distribution) = self.routes.entry(name).or_insert_with(create);
        if !Rc::ptr_eq(known, route) {
            if known.backends != route.backends {
                *distribution = Distribution::new(&route.backends);
            }
            *known = Rc::clone(route);
        }
        distribution.pick().map(|index| &route.backends[index])
    }

    /// Drops the distributions of routes that `catalog` does not contain.
    pub fn retain(&mut self, catalog: &Catalog) {
        let names: BTreeSet<_> = catalog.routes().map(|route| &route.name).collect();
        self.routes.retain(|name, _| names.contains(name));
    }
}
