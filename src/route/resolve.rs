//! Resolves a request to its service, placement group, key, tenant and timeout.

use std::borrow::Cow;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, LazyLock};

use crate::model;
use crate::route::path;
use crate::state;

/// Header with the key of a keyed service's request.
const KEY_HEADER: &str = "key";
/// Header with the tenant.
const TENANT_HEADER: &str = "tenant";
/// Header with the time until the deadline, in milliseconds.
const TIMEOUT_HEADER: &str = "request-timeout-ms";

/// A resolved request.
#[derive(Clone, Debug)]
pub struct Resolved {
    /// The request's service.
    pub service: Arc<state::Service>,
    /// Placement group: the service and the request's home regions.
    pub group: Arc<model::GroupId>,
    /// Hash of the key; `None` for shared services.
    pub key: Option<model::KeyHash>,
    /// Hash of the tenant; 0 if the request names none.
    pub tenant: u64,
    /// Time until the request's deadline, in milliseconds.
    pub timeout: u64,
}

/// Reason why a request can't be resolved by this daemon. The request has not run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    /// No route has a prefix of the path.
    #[error("no route matches the path")]
    NoRoute,
    /// The path is ambiguous, such as by a malformed escape, dot segments or empty
    /// segments, or by an encoded slash that would change its route.
    #[error("the path is malformed or ambiguous")]
    BadPath,
    /// The service is keyed, but the request has no key or an empty one.
    #[error("the service needs a key, in header `key` or as path segment after the prefix")]
    MissingKey,
    /// The header occurs more than once, or its value is invalid.
    #[error("header `{0}` is malformed")]
    BadHeader(&'static str),
    /// The tenant is drained.
    #[error("the tenant is drained while its binding changes")]
    TenantOut,
    /// The bindings of route and tenant have no region in common.
    #[error("the bindings of route and tenant have no region in common")]
    NoHome,
    /// The local region is not among the request's home regions.
    #[error("the request must be sent to one of its home regions")]
    WrongRegion {
        /// Addresses at which daemons in the home regions accept callers.
        addresses: Arc<[SocketAddr]>,
    },
}

/// Regions that a binding allows, in ascending order; empty means every region.
type Regions = Vec<model::RegionName>;

/// Where requests of a route run for one binding of tenants.
#[derive(Debug)]
enum Home {
    /// In this region, with this placement group.
    Local(Arc<model::GroupId>),
    /// In other regions, whose daemons have these addresses.
    Remote(Arc<[SocketAddr]>),
    /// In no region: the bindings of route and tenant are disjoint.
    Disjoint,
}

/// A route with its service.
#[derive(Debug)]
struct Entry {
    service: Arc<state::Service>,
    /// Home for tenants without a binding, followed by one for each distinct
    /// binding of tenants.
    homes: Vec<Home>,
}

/// Lookup table of the routes and bindings of one state, for one region.
#[derive(Debug, Default)]
pub struct Table {
    entries: HashMap<Box<[u8]>, Entry>,
    /// Greatest number of segments in a prefix.
    max_depth: usize,
    /// Index in [`Entry::homes`] of each tenant's binding; `None` while the
    /// tenant is drained.
    tenants: HashMap<u64, Option<usize>>,
}

/// Service name under which tenant names are hashed.
static TENANT_NAMESPACE: LazyLock<model::ServiceName> = LazyLock::new(|| "@tenant".into());

/// Returns the hash under which a tenant's binding is recorded.
pub fn tenant_hash(name: &[u8]) -> model::KeyHash {
    model::KeyHash::of(&TENANT_NAMESPACE, name)
}

/// Returns whether a request with this method may run more than once.
///
/// These are the idempotent methods of HTTP without `TRACE`.
pub fn is_idempotent(method: &http::Method) -> bool {
    use http::Method;
    [
        Method::GET,
        Method::HEAD,
        Method::OPTIONS,
        Method::PUT,
        Method::DELETE,
    ]
    .contains(method)
}

impl Table {
    /// Builds the table of `state` for a daemon in region `local`.
    ///
    /// The table depends only on the state's configuration and hosts.
    pub fn new(state: &state::State, local: &model::RegionName) -> Self {
        let mut bindings = BTreeMap::from([(Regions::new(), 0)]);
        let mut tenants = HashMap::new();
        for (hash, tenant) in &state.config.tenants {
            let count = bindings.len();
            let index = *bindings.entry(sorted(&tenant.regions)).or_insert(count);
            let is_active = tenant.standing == state::Standing::In;
            tenants.insert(hash.0, is_active.then_some(index));
        }
        let mut ordered = vec![&[] as &[model::RegionName]; bindings.len()];
        for (regions, index) in &bindings {
            ordered[*index] = regions;
        }
        let mut table = Self {
            tenants,
            ..Self::default()
        };
        for route in state.config.routes.values() {
            table.add(state, local, route, &ordered);
        }
        table
    }

    /// Adds a route with its home for each of `bindings`, unless its service is missing.
    fn add(
        &mut self,
        state: &state::State,
        local: &model::RegionName,
        route: &state::Route,
        bindings: &[&[model::RegionName]],
    ) {
        let Some(service) = state.config.services.get(&route.service) else {
            return;
        };
        let route_regions = sorted(&route.regions);
        let bindings = bindings.iter();
        let homes = bindings.map(|bound| home(state, local, &route.service, &route_regions, bound));
        let entry = Entry {
            service: Arc::new(service.clone()),
            homes: homes.collect(),
        };
        let prefix = route.prefix.trim_end_matches('/').as_bytes();
        let depth = prefix.iter().filter(|&&byte| byte == b'/').count();
        self.max_depth = self.max_depth.max(depth);
        self.entries.insert(prefix.into(), entry);
    }

    /// Resolves a request; `path` has no query.
    ///
    /// # Errors
    /// Returns the reason why this daemon must not forward the request.
    pub fn resolve(&self, path: &str, headers: &http::HeaderMap) -> Result<Resolved, Refused> {
        let path = path::normalize(path).map_err(|_| Refused::BadPath)?;
        let (entry, rest) = self.find(&path)?;
        let tenant = match single_value(headers, TENANT_HEADER)? {
            Some(b"") => return Err(Refused::BadHeader(TENANT_HEADER)),
            Some(name) => tenant_hash(name).0,
            None => 0,
        };
        let binding = match self.tenants.get(&tenant) {
            Some(Some(binding)) => *binding,
            Some(None) => return Err(Refused::TenantOut),
            None => 0,
        };
        let group = match &entry.homes[binding] {
            Home::Local(group) => group.clone(),
            Home::Remote(addresses) => {
                let addresses = addresses.clone();
                return Err(Refused::WrongRegion { addresses });
            }
            Home::Disjoint => return Err(Refused::NoHome),
        };
        Ok(Resolved {
            key: key(&entry.service, headers, rest)?,
            timeout: timeout(&entry.service, headers)?,
            service: entry.service.clone(),
            group,
            tenant,
        })
    }

    /// Returns the route of `path`, and what follows its prefix.
    fn find<'p>(&self, path: &'p [u8]) -> Result<(&Entry, &'p [u8]), Refused> {
        let (entry, end) = self.longest_prefix(path).ok_or(Refused::NoRoute)?;
        // A target that decodes slashes must not see the path of another route.
        if path.contains(&b'%') {
            let decoded = path::decode_fully(path);
            let other = self.longest_prefix(&decoded);
            if !other.is_some_and(|(other, _)| std::ptr::eq(other, entry)) {
                return Err(Refused::BadPath);
            }
        }
        Ok((entry, &path[end..]))
    }

    /// Returns the entry with the longest prefix that ends at a segment boundary
    /// of `path`, and the length of the prefix.
    fn longest_prefix(&self, path: &[u8]) -> Option<(&Entry, usize)> {
        let slashes = (0..path.len()).filter(|&end| path[end] == b'/');
        let boundaries = slashes.chain([path.len()]).take(self.max_depth + 1);
        let found = boundaries.filter_map(|end| Some((self.entries.get(&path[..end])?, end)));
        found.last()
    }
}

fn sorted(regions: &[model::RegionName]) -> Regions {
    let mut regions = regions.to_vec();
    regions.sort_unstable();
    regions.dedup();
    regions
}

/// Returns the home of requests to a route and of tenants with the given bindings.
fn home(
    state: &state::State,
    local: &model::RegionName,
    service: &model::ServiceName,
    route: &[model::RegionName],
    tenant: &[model::RegionName],
) -> Home {
    let regions = match (route, tenant) {
        ([], bound) | (bound, []) => bound.to_vec(),
        _ => {
            let common = route.iter().filter(|region| tenant.contains(region));
            let common: Regions = common.cloned().collect();
            if common.is_empty() {
                return Home::Disjoint;
            }
            common
        }
    };
    if !regions.is_empty() && !regions.contains(local) {
        return Home::Remote(addresses(state, &regions));
    }
    let service = service.clone();
    Home::Local(Arc::new(model::GroupId { service, regions }))
}

/// Returns the caller addresses of daemons in `regions` that have not left and
/// whose host and domain are not drained.
fn addresses(state: &state::State, regions: &[model::RegionName]) -> Arc<[SocketAddr]> {
    let hosts = state.hosts.values();
    let available = hosts.filter(|host| {
        let domain = state.config.domains.get(&host.domain);
        host.gone.is_none()
            && !state.config.hosts_out.contains(&host.name)
            && domain.is_some_and(|domain| {
                domain.standing == state::Standing::In && regions.contains(&domain.region)
            })
    });
    available.map(|host| host.caller).collect()
}

/// Returns the value of a header that may occur at most once.
fn single_value<'h>(
    headers: &'h http::HeaderMap,
    name: &'static str,
) -> Result<Option<&'h [u8]>, Refused> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (_, Some(_)) => Err(Refused::BadHeader(name)),
        (value, None) => Ok(value.map(http::HeaderValue::as_bytes)),
    }
}

/// Returns the hash of the key from the header or else the segment after the prefix.
fn key(
    service: &state::Service,
    headers: &http::HeaderMap,
    rest: &[u8],
) -> Result<Option<model::KeyHash>, Refused> {
    if service.kind == state::Kind::Shared {
        return Ok(None);
    }
    let key = match single_value(headers, KEY_HEADER)? {
        Some(key) => Cow::Borrowed(key),
        None => {
            let rest = rest.strip_prefix(b"/").unwrap_or_default();
            let mut segments = rest.split(|&byte| byte == b'/');
            path::decode_fully(segments.next().unwrap_or_default())
        }
    };
    if key.is_empty() {
        return Err(Refused::MissingKey);
    }
    Ok(Some(model::KeyHash::of(&service.name, &key)))
}

/// Returns the requested timeout in milliseconds, limited to the service's maximum.
fn timeout(service: &state::Service, headers: &http::HeaderMap) -> Result<u64, Refused> {
    let Some(value) = single_value(headers, TIMEOUT_HEADER)? else {
        return Ok(service.timeout_ms.min(service.max_timeout));
    };
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return Err(Refused::BadHeader(TIMEOUT_HEADER));
    }
    let digits = value.iter().map(|digit| u64::from(digit - b'0'));
    let millis = digits.fold(0_u64, |sum, digit| {
        sum.saturating_mul(10).saturating_add(digit)
    });
    match millis {
        0 => Err(Refused::BadHeader(TIMEOUT_HEADER)),
        millis => Ok(millis.min(service.max_timeout)),
    }
}
