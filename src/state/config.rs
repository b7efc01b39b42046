//! Configuration objects, which operators change through confirmed plans.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::model;

/// How a service's requests are distributed over its targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Any target may serve any request.
    Shared,
    /// Each key is owned by one target.
    Keyed,
}

/// Whether an object accepts new work, as set by operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// Accepts new work.
    #[default]
    In,
    /// Drained: accepts no new work. Its shards or leases move to others; the
    /// requests of a tenant are refused.
    Out,
}

/// A service that callers reach through the router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub name: model::ServiceName,
    /// How requests find their target.
    pub kind: Kind,
    /// Number of shards of each placement group; ignored for shared services.
    #[serde(default = "default_shards")]
    pub shards: u32,
    /// Timeout of a request that sets none, in milliseconds.
    #[serde(default = "default_timeout")]
    pub timeout_ms: u64,
    /// Longest timeout that a request may set, in milliseconds.
    #[serde(default = "default_max_timeout")]
    pub max_timeout: u64,
    /// Longest request body, in bytes.
    #[serde(default = "default_max_body")]
    pub max_body: u64,
    /// Latency up to which a request counts as good in the service-level
    /// report, in milliseconds.
    #[serde(default = "default_slo_ms")]
    pub slo_ms: u64,
    /// Share of requests that must be good, in millionths; above 0 and below 1,000,000.
    #[serde(default = "default_slo_ppm")]
    pub slo_ppm: u32,
}

fn default_shards() -> u32 {
    4_096
}

fn default_timeout() -> u64 {
    2_000
}

/// Default of [`Service::max_timeout`].
pub(super) const DEFAULT_MAX_TIMEOUT_MS: u64 = 30_000;

fn default_max_timeout() -> u64 {
    DEFAULT_MAX_TIMEOUT_MS
}

fn default_max_body() -> u64 {
    64 << 20
}

fn default_slo_ms() -> u64 {
    100
}

fn default_slo_ppm() -> u32 {
    990_000
}

/// A path prefix whose requests go to a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Path prefix, starting with `/`; the longest matching one wins.
    pub prefix: String,
    /// Service that receives the requests.
    pub service: model::ServiceName,
    /// Regions to which the route is bound; empty means every region.
    #[serde(default)]
    pub regions: Vec<model::RegionName>,
}

/// A tenant and the regions whose targets may serve its requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Hash of the tenant's name. Tenants with a binding are recorded only by
    /// hash, because the log is kept in one region.
    pub name: model::KeyHash,
    /// Regions to which the tenant is bound; empty means every region.
    #[serde(default)]
    pub regions: Vec<model::RegionName>,
    /// Whether its requests are served; its binding changes only while it is `out`.
    #[serde(default)]
    pub standing: Standing,
}

/// A failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Domain {
    /// Name of the failure domain.
    pub name: model::DomainName,
    /// Region of the failure domain.
    pub region: model::RegionName,
    /// Whether it accepts new work.
    #[serde(default)]
    pub standing: Standing,
}

/// A target, one server of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name of the target.
    pub name: model::TargetName,
    /// Service that the target provides.
    pub service: model::ServiceName,
    /// Failure domain in which the target runs.
    pub domain: model::DomainName,
    /// IP address and port.
    pub address: std::net::SocketAddr,
    /// Number of requests that the target serves concurrently.
    pub concurrency: u32,
    /// Whether the target checks fencing tokens and grants.
    #[serde(default = "default_checks")]
    pub checks: bool,
    /// Whether it accepts new work; `out` means that it is being drained.
    #[serde(default)]
    pub standing: Standing,
}

fn default_checks() -> bool {
    true
}

/// One change to the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Adds or replaces a service.
    PutService(Service),
    /// Removes a service, which must have no routes or targets.
    RemoveService(model::ServiceName),
    /// Adds a route, or replaces the one with the same prefix.
    PutRoute(Route),
    /// Removes the route with this prefix.
    RemoveRoute(String),
    /// Adds or replaces a tenant's binding.
    PutTenant(Tenant),
    /// Removes a tenant's binding.
    RemoveTenant(model::KeyHash),
    /// Adds or replaces a failure domain.
    PutDomain(Domain),
    /// Drains a failure domain (`out`) or ends the drain (`in`).
    SetDomain(model::DomainName, Standing),
    /// Adds or replaces a target.
    PutTarget(Target),
    /// Drains a target (`out`) or ends the drain (`in`).
    SetTarget(model::TargetName, Standing),
    /// Removes a target that owns no shard.
    RemoveTarget(model::TargetName),
    /// Declares a daemon lost for good; this incarnation can't come up again.
    HostLost(model::Incarnation),
    /// Drains an entry host, whose leases go to others (`out`), or ends the drain (`in`).
    SetHost(model::HostName, Standing),
}

/// The current configuration objects.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Services by name.
    pub services: BTreeMap<model::ServiceName, Service>,
    /// Routes by prefix.
    pub routes: BTreeMap<String, Route>,
    /// Tenants with a binding, by the hash of their name.
    pub tenants: BTreeMap<model::KeyHash, Tenant>,
    /// Failure domains by name.
    pub domains: BTreeMap<model::DomainName, Domain>,
    /// Targets by name.
    pub targets: BTreeMap<model::TargetName, Target>,
    /// Entry hosts that operators have drained.
    pub hosts_out: std::collections::BTreeSet<model::HostName>,
    /// Offset of the last change of each object, by its label such as `target/t1`.
    pub changed: BTreeMap<String, model::Offset>,
}
