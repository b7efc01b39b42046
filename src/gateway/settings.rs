//! Settings of a gateway daemon, read from a JSON file and checked.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;

use serde::{Deserialize, Deserializer, Serialize, de};

use crate::finding;
use crate::logging;
use crate::model;

/// All settings of a gateway daemon. Unknown fields are rejected.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the host.
    pub host: model::HostName,
    /// Failure domain of the host.
    pub domain: model::DomainName,
    /// All failure domains, with the region of each.
    pub domains: BTreeMap<model::DomainName, model::RegionName>,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Address of the platform's log service.
    pub log: SocketAddr,
    /// Path on the admin address at which the balancer checks readiness, in addition to
    /// `/ready`.
    #[serde(default = "ready_path")]
    pub ready_path: String,
    /// Limits that the deployment sets.
    #[serde(default)]
    pub bounds: Bounds,
    /// Resources of the process.
    #[serde(default)]
    pub capacity: Capacity,
    /// Costs that the choice of targets uses.
    #[serde(default)]
    pub policy: Policy,
    /// Service-level objective of all routes.
    #[serde(default)]
    pub service_level: ServiceLevel,
    /// Logging.
    #[serde(default)]
    pub logs: Logs,
}

fn ready_path() -> String {
    "/ready".to_owned()
}

/// Addresses to listen on, each as IP address and port.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Address for callers, TCP.
    pub caller: SocketAddr,
    /// Address for operators and the balancer, TCP.
    pub admin: SocketAddr,
    /// Address for other daemons, TCP and UDP.
    pub peer: SocketAddr,
}

/// Limits that the deployment sets. Times are strings such as `1500ms` or `2.5s`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Time after which a draining target gets no new requests.
    pub drain: Time,
    /// Time after which a configuration must be in effect.
    pub configure: Time,
    /// Longest time from a stop signal to the end of the process.
    pub grace: Time,
    /// Retries allowed across all daemons, as a share of a service's requests.
    pub retry_share: f64,
    /// Retries allowed in a window in addition to that share.
    pub retry_extra: f64,
    /// Length of the window over which requests and retries are counted.
    pub retry_window: Time,
    /// Limit on the rate of requests to a cold target, as a multiple of its cold rate.
    pub cold_factor: f64,
    /// Requests a second to a cold target allowed in addition to that limit.
    pub cold_extra: f64,
    /// Longest lease validity of a grant.
    pub lease: Time,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            drain: Time(2_000),
            configure: Time(2_000),
            grace: Time(6_000),
            retry_share: 0.2,
            retry_extra: 20.0,
            retry_window: Time(10_000),
            cold_factor: 1.0,
            cold_extra: 0.0,
            lease: Time(10_000),
        }
    }
}

/// Resources that the process may use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Capacity {
    /// Memory in MiB.
    pub memory_mb: u64,
    /// Number of open file descriptors.
    pub descriptors: u64,
}

impl Default for Capacity {
    fn default() -> Self {
        Self {
            memory_mb: 256,
            descriptors: 1_024,
        }
    }
}

/// Bodies of requests, and those of responses, may each take one part in this many of the
/// daemon's memory.
const BODY_MEMORY_DIVISOR: usize = 4;

/// Bytes of a megabyte in the settings.
const MEGABYTE_BYTES: usize = 1 << 20;

impl Capacity {
    /// Returns the memory for bodies of requests, and as much again for those of responses, in
    /// bytes.
    pub fn body_bytes(&self) -> usize {
        (self.memory_mb as usize).saturating_mul(MEGABYTE_BYTES) / BODY_MEMORY_DIVISOR
    }
}

/// Costs that the choice of targets adds to a target's estimated response time, for its
/// distance and for a new connection, and rules for requests that crash targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Cost of a target in another failure domain of the region.
    pub domain_cost: Time,
    /// Cost of a target in another region.
    pub region_cost: Time,
    /// Cost of a target to which no idle connection exists. It has to stay below
    /// `domain_cost`: otherwise a target in the same domain that becomes available
    /// again would get no requests.
    pub connect_cost: Time,
    /// Targets that a request crashes before all daemons refuse it, 1 to 3.
    pub quarantine_crashes: u32,
    /// Time for which such a request is refused before one attempt is made as a trial.
    pub quarantine_time: Time,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            domain_cost: Time(20),
            region_cost: Time(150),
            connect_cost: Time(15),
            quarantine_crashes: 3,
            quarantine_time: Time(600_000),
        }
    }
}

/// Service-level objective, which applies the latency objective of each route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceLevel {
    /// Share of requests that must be answered within their route's latency
    /// objective, in millionths.
    pub slo_ppm: u32,
}

impl Default for ServiceLevel {
    fn default() -> Self {
        Self { slo_ppm: 990_000 }
    }
}

/// Logging.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Logs {
    /// Least severe level that is logged.
    pub level: String,
}

impl Default for Logs {
    fn default() -> Self {
        Self {
            level: "info".to_owned(),
        }
    }
}

/// A duration in milliseconds, written as a number with the unit `ms` or `s`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub u64);

impl Serialize for Time {
    fn serialize<S: serde::Serializer>(&self, writer: S) -> Result<S::Ok, S::Error> {
        writer.collect_str(&format_args!("{}ms", self.0))
    }
}

impl<'de> Deserialize<'de> for Time {
    fn deserialize<D: Deserializer<'de>>(reader: D) -> Result<Self, D::Error> {
        let text = String::deserialize(reader)?;
        parse_time(&text).ok_or_else(|| {
            let expected = "a time such as 1500ms or 2.5s";
            de::Error::invalid_value(de::Unexpected::Str(&text), &expected)
        })
    }
}

/// Longest time that a setting may have, in milliseconds: one day.
const MAX_TIME_MS: f64 = 86_400_000.0;

/// Milliseconds per second.
const MS_PER_S: f64 = 1_000.0;

/// Crashes after which a request may be refused. With more than the highest one, it would
/// be sent to more targets after its third crash than the users' rule allows.
const QUARANTINE_CRASHES: RangeInclusive<u32> = 1..=3;

/// Shortest time until a trial, in milliseconds: the daemons have to learn of one before
/// the next.
const MIN_QUARANTINE_MS: u64 = 10_000;

/// The whole, in millionths.
const WHOLE_PPM: u32 = 1_000_000;

/// Parses a time and rounds it to milliseconds; returns `None` if its form is
/// faulty or it is out of range.
fn parse_time(text: &str) -> Option<Time> {
    let (number, scale) = match text.strip_suffix("ms") {
        Some(number) => (number, 1.0),
        None => (text.strip_suffix('s')?, MS_PER_S),
    };
    let value: f64 = number.parse().ok()?;
    let ms = (value * scale).round();
    (0.0..=MAX_TIME_MS).contains(&ms).then_some(Time(ms as u64))
}

impl Settings {
    /// Returns the region of a failure domain, or `None` if the domain is not listed.
    pub fn region(&self, domain: &model::DomainName) -> Option<&model::RegionName> {
        self.domains.get(domain)
    }
}

/// Reads the settings file at `path` and checks it.
///
/// # Errors
/// Returns all findings if the file can't be read or the settings are faulty.
pub fn load(path: &Path) -> Result<Settings, finding::Findings> {
    let place = path.display().to_string();
    let text = finding::read_file(path)?;
    parse(&place, &text)
}

/// Parses and checks the text of a settings file; `place` names the file in
/// findings.
///
/// # Errors
/// Returns all findings if the settings are faulty.
pub fn parse(place: &str, text: &str) -> Result<Settings, finding::Findings> {
    let mut findings = finding::Findings::default();
    let mut reader = serde_json::Deserializer::from_str(text);
    let settings: Settings = match serde_path_to_error::deserialize(&mut reader) {
        Ok(settings) => settings,
        Err(error) => {
            let path = error.path().to_string();
            findings.add(
                format!("{place} at {path}"),
                "valid settings",
                error.inner().to_string(),
            );
            return Err(findings);
        }
    };
    if let Err(error) = reader.end() {
        findings.add(format!("{place} at ?"), "valid settings", error.to_string());
    }
    check(place, &settings, &mut findings);
    findings.into_result(settings)
}

/// Adds a finding for each value that is out of its range.
fn check(place: &str, settings: &Settings, findings: &mut finding::Findings) {
    if settings.region(&settings.domain).is_none() {
        findings.add(
            format!("{place} at domain"),
            "a failure domain listed under domains",
            format!("{:?}", settings.domain.as_str()),
        );
    }
    if !settings.ready_path.starts_with('/') {
        findings.add(
            format!("{place} at ready_path"),
            "a path that begins with a slash",
            format!("{:?}", settings.ready_path),
        );
    }
    if !logging::LEVELS.contains(&settings.logs.level.as_str()) {
        findings.add(
            format!("{place} at logs.level"),
            format!("one of {:?}", logging::LEVELS),
            format!("{:?}", settings.logs.level),
        );
    }
    if settings.service_level.slo_ppm > WHOLE_PPM {
        findings.add(
            format!("{place} at service_level.slo_ppm"),
            "a number from 0 to 1000000",
            settings.service_level.slo_ppm.to_string(),
        );
    }
    let policy = &settings.policy;
    if !QUARANTINE_CRASHES.contains(&policy.quarantine_crashes) {
        findings.add(
            format!("{place} at policy.quarantine_crashes"),
            "a number from 1 to 3",
            policy.quarantine_crashes.to_string(),
        );
    }
    if policy.quarantine_time.0 < MIN_QUARANTINE_MS {
        findings.add(
            format!("{place} at policy.quarantine_time"),
            "a time of at least 10s",
            format!("{}ms", policy.quarantine_time.0),
        );
    }
    let factors = [
        ("retry_share", settings.bounds.retry_share),
        ("retry_extra", settings.bounds.retry_extra),
        ("cold_factor", settings.bounds.cold_factor),
        ("cold_extra", settings.bounds.cold_extra),
    ];
    for (name, value) in factors {
        if !value.is_finite() || value < 0.0 {
            findings.add(
                format!("{place} at bounds.{name}"),
                "a number of at least 0",
                value.to_string(),
            );
        }
    }
}
