//! Settings of one gateway daemon, read from a JSON file.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use serde::{Deserialize, Deserializer, Serialize, de};

use crate::finding;
use crate::logging;
use crate::model;

/// All settings of a gateway daemon. Unknown fields are refused.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the host.
    pub host: model::HostName,
    /// Failure domain of the host.
    pub domain: model::DomainName,
    /// All failure domains, and the region of each.
    pub domains: BTreeMap<model::DomainName, model::RegionName>,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Address of the platform's log.
    pub log: SocketAddr,
    /// Path on the admin address that the balancer asks, beside `/ready`.
    #[serde(default = "ready_path")]
    pub ready_path: String,
    /// Bounds that the deployment sets.
    #[serde(default)]
    pub bounds: Bounds,
    /// What the host offers.
    #[serde(default)]
    pub capacity: Capacity,
    /// Choice of targets.
    #[serde(default)]
    pub policy: Policy,
    /// What routes promise.
    #[serde(default)]
    pub service_level: ServiceLevel,
    /// Logging.
    #[serde(default)]
    pub logs: Logs,
}

fn ready_path() -> String {
    "/ready".to_owned()
}

/// Addresses to listen on, as IP number and port.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers, TCP.
    pub caller: SocketAddr,
    /// For operators and the balancer, TCP.
    pub admin: SocketAddr,
    /// For other daemons, TCP and UDP.
    pub peer: SocketAddr,
}

/// Bounds that the deployment sets. Times are texts such as `1500ms` or `2.5s`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Time after which a leaving target gets no new work.
    pub drain: Time,
    /// Time from a stop signal to the end of the process.
    pub grace: Time,
    /// Retries allowed over all daemons, as a share of a service's requests.
    pub retry_share: f64,
    /// Retries allowed beside that share.
    pub retry_extra: f64,
    /// Window in which retries are counted.
    pub retry_window: Time,
    /// Factor by which a cold target's rate may be exceeded.
    pub cold_factor: f64,
    /// Requests a second by which a cold target's rate may be exceeded besides.
    pub cold_extra: f64,
    /// Longest lease of a grant.
    pub lease: Time,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            drain: Time(2_000),
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

/// What the host offers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Capacity {
    /// Memory of the process, in MiB.
    pub memory_mb: u64,
    /// Descriptors of the process.
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

/// Choice of targets: what distance and a new connection cost, as if the target
/// took longer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Cost of a target in another failure domain of the region.
    pub domain_cost: Time,
    /// Cost of a target in another region.
    pub region_cost: Time,
    /// Cost of a target to which no idle connection exists. Above `domain_cost`, a
    /// near target that returns would get no requests.
    pub connect_cost: Time,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            domain_cost: Time(20),
            region_cost: Time(150),
            connect_cost: Time(15),
        }
    }
}

/// What routes promise beside their latency objectives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceLevel {
    /// Share of requests that must be answered within their route's objective,
    /// in millionths.
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
    /// Least important level that is written.
    pub level: String,
}

impl Default for Logs {
    fn default() -> Self {
        Self {
            level: "info".to_owned(),
        }
    }
}

/// A time in milliseconds, written as a number and a unit.
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

/// Longest time that a setting may have, in milliseconds: a day.
const LONGEST: f64 = 86_400_000.0;

fn parse_time(text: &str) -> Option<Time> {
    let (number, scale) = match text.strip_suffix("ms") {
        Some(number) => (number, 1.0),
        None => (text.strip_suffix('s')?, 1_000.0),
    };
    let value: f64 = number.parse().ok()?;
    let millis = (value * scale).round();
    (0.0..=LONGEST)
        .contains(&millis)
        .then_some(Time(millis as u64))
}

impl Settings {
    /// Returns the region of a failure domain, if it is known.
    pub fn region(&self, domain: &model::DomainName) -> Option<&model::RegionName> {
        self.domains.get(domain)
    }
}

/// Reads the settings file at `path` and checks it.
///
/// # Errors
/// Returns every finding with its file and place.
pub fn load(path: &Path) -> Result<Settings, finding::Findings> {
    let place = path.display().to_string();
    let text = finding::read_file(path)?;
    parse(&place, &text)
}

/// Parses and checks the text of a settings file named `place`.
///
/// # Errors
/// Returns every finding with its place.
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
    if settings.service_level.slo_ppm > 1_000_000 {
        findings.add(
            format!("{place} at service_level.slo_ppm"),
            "a number from 0 to 1000000",
            settings.service_level.slo_ppm.to_string(),
        );
    }
    let shares = [
        ("retry_share", settings.bounds.retry_share),
        ("retry_extra", settings.bounds.retry_extra),
        ("cold_factor", settings.bounds.cold_factor),
        ("cold_extra", settings.bounds.cold_extra),
    ];
    for (name, value) in shares {
        if !value.is_finite() || value < 0.0 {
            findings.add(
                format!("{place} at bounds.{name}"),
                "a number of at least 0",
                value.to_string(),
            );
        }
    }
}
