//! The operators' configuration at one version, arranged for lookups.

use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;

use crate::gateway::dialect;
use crate::model;

/// Routes of one host name.
#[derive(Debug, Default)]
struct Site {
    prefixes: HashMap<Arc<str>, Rc<dialect::Route>>,
    /// Length of the longest prefix in bytes, which bounds the lookups for a path.
    longest: usize,
}

impl Site {
    fn add(&mut self, route: Rc<dialect::Route>) {
        self.longest = self.longest.max(route.prefix.len());
        let prefix = Arc::clone(&route.prefix);
        self.prefixes.entry(prefix).or_insert(route);
    }

    fn resolve(&self, path: &str) -> Option<&Rc<dialect::Route>> {
        let mut end = path.len().min(self.longest);
        while let Some(slash) = path.as_bytes()[..end].iter().rposition(|&b| b == b'/') {
            if let Some(route) = self.prefixes.get(&path[..=slash]) {
                return Some(route);
            }
            end = slash;
        }
        None
    }
}

/// Routes, services and limits of one version, which never change.
#[derive(Debug)]
pub struct Catalog {
    version: u64,
    limits: dialect::Limits,
    services: BTreeMap<model::ServiceName, dialect::Service>,
    routes: Vec<Rc<dialect::Route>>,
    sites: HashMap<String, Site>,
    regions: HashMap<model::ServiceName, BTreeSet<model::RegionName>>,
}

impl Catalog {
    /// Arranges a revision for lookups.
    ///
    /// Of several routes with the same host and prefix, the first one is used.
    pub fn new(revision: dialect::Revision) -> Self {
        let named = |service: dialect::Service| (service.name.clone(), service);
        let services: BTreeMap<_, _> = revision.services.into_iter().map(named).collect();
        let routes: Vec<_> = revision.routes.into_iter().map(Rc::new).collect();
        let mut sites: HashMap<String, Site> = HashMap::new();
        for route in &routes {
            let host = normalize(&route.host).into_owned();
            sites.entry(host).or_default().add(Rc::clone(route));
        }
        Self {
            version: revision.version,
            limits: revision.limits,
            regions: regions(&services, &routes),
            services,
            routes,
            sites,
        }
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on callers.
    pub fn limits(&self) -> dialect::Limits {
        self.limits
    }

    /// Returns the service named `name`.
    pub fn service(&self, name: &model::ServiceName) -> Option<&dialect::Service> {
        self.services.get(name)
    }

    /// Iterates over all services, by name.
    pub fn services(&self) -> impl Iterator<Item = &dialect::Service> {
        self.services.values()
    }

    /// Iterates over all routes, in the order of the configuration.
    pub fn routes(&self) -> impl Iterator<Item = &Rc<dialect::Route>> {
        self.routes.iter()
    }

    /// Returns the route of `host` with the longest prefix that begins `path`.
    ///
    /// The host is compared without its port and without regard to case.
    pub fn resolve(&self, host: &str, path: &str) -> Option<&Rc<dialect::Route>> {
        self.sites.get(normalize(host).as_ref())?.resolve(path)
    }

    /// Returns the regions in which a keyed service may be served, or `None` if
    /// no route restricts them.
    ///
    /// These are the regions that all restricting routes to the service have in
    /// common, and may be none at all. A backend of weight 0 counts as well, since
    /// its weight can be raised sooner than keys can be moved.
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

fn regions(
    services: &BTreeMap<model::ServiceName, dialect::Service>,
    routes: &[Rc<dialect::Route>],
) -> HashMap<model::ServiceName, BTreeSet<model::RegionName>> {
    let mut regions: HashMap<_, BTreeSet<model::RegionName>> = HashMap::new();
    for route in routes.iter().filter(|route| !route.regions.is_empty()) {
        let own: BTreeSet<_> = route.regions.iter().cloned().collect();
        let names = route.backends.iter().map(|backend| &backend.service);
        for name in names.filter(|name| services.get(name).is_some_and(|s| s.keyed)) {
            let common = regions.entry(name.clone()).or_insert_with(|| own.clone());
            common.retain(|region| own.contains(region));
        }
    }
    regions
}

/// Division of one route's requests among its backends.
///
/// After any number of requests, each backend has had its share of them within
/// one request. Always picking the backend that is furthest behind misses this
/// bound with many backends, so the one whose next request is due first is
/// picked among those that are behind their share.
#[derive(Clone, Debug)]
pub struct Split {
    /// Share of requests and number of requests so far, for each backend.
    parts: Vec<(f64, u64)>,
    requests: u64,
}

impl Split {
    /// Returns a division that has seen no request.
    ///
    /// Weights that are negative or not finite count as 0.
    pub fn new(backends: &[dialect::Backend]) -> Self {
        let weight = |backend: &dialect::Backend| match backend.weight {
            weight if weight.is_finite() && weight > 0.0 => weight,
            _ => 0.0,
        };
        // Scaled by the largest weight, so that the sum stays finite.
        let most = backends.iter().map(weight).fold(0.0, f64::max);
        let total: f64 = backends.iter().map(|b| weight(b) / most).sum();
        let part = |backend| match weight(backend) {
            0.0 => (0.0, 0),
            weight => (weight / most / total, 0),
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
        // Rounding may leave no backend behind its share.
        let most = || parts().max_by(|(_, a), (_, b)| lag(a).total_cmp(&lag(b)));
        let index = first.or_else(most)?.0;
        self.parts[index].1 += 1;
        self.requests += 1;
        Some(index)
    }
}

/// Divisions of all routes' requests, kept across versions of the configuration.
#[derive(Debug, Default)]
pub struct Splits {
    routes: HashMap<Arc<str>, (Rc<dialect::Route>, Split)>,
}

impl Splits {
    /// Returns an empty set of divisions.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the backend for the next request of `route`, or `None` if all
    /// weights are 0.
    ///
    /// The division begins anew if the backends of the route have changed.
    pub fn pick<'r>(&mut self, route: &'r Rc<dialect::Route>) -> Option<&'r dialect::Backend> {
        let begin = || (Rc::clone(route), Split::new(&route.backends));
        let name = Arc::clone(&route.name);
        let (known, split) = self.routes.entry(name).or_insert_with(begin);
        if !Rc::ptr_eq(known, route) {
            if known.backends != route.backends {
                *split = Split::new(&route.backends);
            }
            *known = Rc::clone(route);
        }
        split.pick().map(|index| &route.backends[index])
    }

    /// Drops the divisions of routes that `catalog` does not have.
    pub fn retain(&mut self, catalog: &Catalog) {
        let names: BTreeSet<_> = catalog.routes().map(|route| &route.name).collect();
        self.routes.retain(|name, _| names.contains(name));
    }
}
