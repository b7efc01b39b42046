//! Validation of single configuration objects.
//!
//! Places of findings are JSON pointers within the change that contains the object.

use crate::finding::Findings;
use crate::model;
use crate::state::config::{self, Config};

/// Largest number of hash shards of a group.
pub(super) const MAX_SHARDS: u32 = 65_536;

/// Longest name, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// The whole of a share in millionths.
const WHOLE_PPM: u32 = 1_000_000;

/// Returns whether `name` is valid in headers and group labels.
pub(super) fn is_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(allowed)
}

/// Checks the form of a name; see [`is_name`].
pub(super) fn name(findings: &mut Findings, place: &str, name: &str) {
    if !is_name(name) {
        let expected = format!("1 to {MAX_NAME_BYTES} ASCII letters, digits, '-', '_' or '.'");
        findings.add(place, expected, format!("{name:?}"));
    }
}

/// Checks the limits of a service's settings.
pub(super) fn service(findings: &mut Findings, service: &config::Service) {
    name(findings, "/name", service.name.as_str());
    let keyed = service.kind == config::Kind::Keyed;
    if keyed && !(1..=MAX_SHARDS).contains(&service.shards) {
        let expected = format!("1 to {MAX_SHARDS}");
        findings.add("/shards", expected, service.shards.to_string());
    }
    if !(1..=service.max_timeout).contains(&service.timeout_ms) {
        let expected = format!("1 to max_timeout, {} ms", service.max_timeout);
        findings.add("/timeout_ms", expected, service.timeout_ms.to_string());
    }
    if !(1..WHOLE_PPM).contains(&service.slo_ppm) {
        findings.add("/slo_ppm", "1 to 999999", service.slo_ppm.to_string());
    }
    if service.slo_ms == 0 {
        findings.add("/slo_ms", "a number above 0", "0");
    }
}

/// Checks the form of a route's prefix.
pub(super) fn route(findings: &mut Findings, route: &config::Route) {
    let visible = route.prefix.bytes().all(|b| b.is_ascii_graphic());
    if !route.prefix.starts_with('/') || !visible || route.prefix.contains(['?', '#']) {
        let expected = "a path that starts with '/'";
        findings.add("/prefix", expected, format!("{:?}", route.prefix));
    }
}

/// Checks that a route to a keyed service keeps its binding.
///
/// Another binding is another placement group with its own owners, so a daemon
/// with an older configuration would send the same key to another owner.
pub(super) fn route_binding(findings: &mut Findings, config: &Config, route: &config::Route) {
    let Some(old) = config.routes.get(&route.prefix) else {
        return;
    };
    let same = old.service == route.service && old.regions == route.regions;
    let keyed = [&old.service, &route.service].into_iter().any(|name| {
        let service = config.services.get(name);
        service.is_some_and(|service| service.kind == config::Kind::Keyed)
    });
    if keyed && !same {
        let expected = "the present service and regions; remove the route first, \
                        and put it back once every daemon has read that";
        findings.add("/regions", expected, format_regions(&route.regions));
    }
}

/// Checks that adding or removing a route changes no path of a keyed service
/// to another route.
///
/// The longer prefix can have other owners, and find the key at another place
/// of the path, than the shorter prefix that served these paths before.
pub(super) fn nested_routes(
    findings: &mut Findings,
    config: &Config,
    prefix: &str,
    service: Option<&model::ServiceName>,
) {
    let keyed = |name: &model::ServiceName| {
        let service = config.services.get(name);
        service.is_some_and(|service| service.kind == config::Kind::Keyed)
    };
    let nested = config.routes.values().find(|other| {
        let overlaps = is_below(&other.prefix, prefix) || is_below(prefix, &other.prefix);
        let own = service.is_some_and(keyed);
        other.prefix != prefix && overlaps && (keyed(&other.service) || own)
    });
    if let Some(other) = nested {
        let expected = "a prefix that is not above or below one of a keyed service";
        findings.add(
            "/prefix",
            expected,
            format!("{prefix:?} beside {:?}", other.prefix),
        );
    }
}

/// Returns whether the path `lower` lies below the prefix `upper`.
fn is_below(lower: &str, upper: &str) -> bool {
    let upper = upper.trim_end_matches('/');
    let rest = lower.strip_prefix(upper);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// Checks that a tenant's binding changes only while the tenant is `out`, for
/// the reason given at [`route_binding`].
///
/// A new tenant must start as `out`, because requests in its name may have been
/// served without a binding. It may start as `in` only if no shard was assigned
/// yet (`unassigned`).
pub(super) fn tenant(
    findings: &mut Findings,
    config: &Config,
    tenant: &config::Tenant,
    unassigned: bool,
) {
    let old = config.tenants.get(&tenant.name);
    let is_out = |tenant: &config::Tenant| tenant.standing == config::Standing::Out;
    let may_be_in = old.is_some_and(|old| is_out(old) || old.regions == tenant.regions);
    if !unassigned && !may_be_in && !is_out(tenant) {
        let expected = "a tenant that is out, or its present regions; take it out first, \
                        and bring it in once every daemon has read that";
        findings.add("/regions", expected, format_regions(&tenant.regions));
    }
}

/// Checks that a tenant whose binding is removed is `out`, as [`tenant`] does.
pub(super) fn tenant_removal(findings: &mut Findings, config: &Config, name: model::KeyHash) {
    let tenant = config.tenants.get(&name);
    if tenant.is_some_and(|tenant| tenant.standing == config::Standing::In) {
        findings.add("", "a tenant that is out", "in");
    }
}

/// Checks the names of a failure domain and its region.
pub(super) fn domain(findings: &mut Findings, domain: &config::Domain) {
    name(findings, "/name", domain.name.as_str());
    name(findings, "/region", domain.region.as_str());
}

/// Checks a target's name, concurrency and port.
pub(super) fn target(findings: &mut Findings, target: &config::Target) {
    name(findings, "/name", target.name.as_str());
    if target.concurrency == 0 {
        findings.add("/concurrency", "a number above 0", "0");
    }
    if target.address.port() == 0 {
        findings.add("/address", "a port above 0", target.address.to_string());
    }
}

/// Checks that the objects to which a change refers exist, and that nothing
/// refers to an object that it removes.
///
/// `config` is the configuration after all changes of the plan.
pub(super) fn references(findings: &mut Findings, config: &Config, change: &config::Change) {
    match change {
        config::Change::PutRoute(route) => {
            known_service(findings, config, &route.service);
            regions(findings, config, &route.regions);
        }
        config::Change::PutTenant(tenant) => regions(findings, config, &tenant.regions),
        config::Change::PutTarget(target) => {
            known_service(findings, config, &target.service);
            if !config.domains.contains_key(&target.domain) {
                let found = target.domain.to_string();
                findings.add("/domain", "a known failure domain", found);
            }
        }
        config::Change::RemoveService(name) => {
            let mut routes = config.routes.values();
            let route = routes.find(|route| route.service == *name);
            let mut targets = config.targets.values();
            let target = targets.find(|target| target.service == *name);
            let label = route.map(|route| format!("route/{}", route.prefix));
            if let Some(label) = label.or(target.map(|target| format!("target/{}", target.name))) {
                findings.add("", "a service without routes and targets", label);
            }
        }
        config::Change::PutDomain(_) => bound_regions(findings, config),
        _ => {}
    }
}

/// Formats the regions of a binding for a finding.
fn format_regions(regions: &[model::RegionName]) -> String {
    let names: Vec<_> = regions.iter().map(model::RegionName::as_str).collect();
    match names.is_empty() {
        true => "every region".to_owned(),
        false => names.join(", "),
    }
}

fn known_service(findings: &mut Findings, config: &Config, name: &model::ServiceName) {
    if !config.services.contains_key(name) {
        findings.add("/service", "a known service", name.to_string());
    }
}

fn regions(findings: &mut Findings, config: &Config, regions: &[model::RegionName]) {
    for (i, region) in regions.iter().enumerate() {
        if !has_region(config, region) {
            let expected = "the region of a known failure domain";
            findings.add(format!("/regions/{i}"), expected, region.to_string());
        }
    }
}

/// Checks that every region with a binding still has a failure domain.
fn bound_regions(findings: &mut Findings, config: &Config) {
    let routes = config.routes.values().flat_map(|route| &route.regions);
    let tenants = config.tenants.values().flat_map(|tenant| &tenant.regions);
    if let Some(region) = routes.chain(tenants).find(|r| !has_region(config, r)) {
        let expected = format!("a failure domain left in region {region}, which has bindings");
        findings.add("/region", expected, "none");
    }
}

fn has_region(config: &Config, region: &model::RegionName) -> bool {
    let mut domains = config.domains.values();
    domains.any(|domain| domain.region == *region)
}
