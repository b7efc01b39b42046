//! Settings of one daemon, read from a JSON file.

mod load;

pub use load::{load, parse};

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::model;

/// All settings of a daemon. Every field but the identity has a default.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the host.
    pub host: model::HostName,
    /// Failure domain of the host.
    pub domain: model::DomainName,
    /// Region of the failure domain.
    pub region: model::RegionName,
    /// Addresses to listen on.
    pub listen: Listen,
    /// The platform's services.
    pub platform: Platform,
    /// Limits on callers.
    #[serde(default)]
    pub limits: Limits,
    /// Choice of target and retries.
    #[serde(default)]
    pub policy: Policy,
    /// Logging.
    #[serde(default)]
    pub logs: Logs,
}

/// Addresses to listen on, as IP number and port.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers, TCP.
    pub caller: SocketAddr,
    /// For other daemons, TCP and UDP.
    pub peer: SocketAddr,
    /// For operators and the balancer: `/live`, `/ready`, `/metrics`, `/admin/...`.
    pub admin: SocketAddr,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Log service.
    pub log: SocketAddr,
    /// List of live and leaving hosts.
    pub hosts: Option<SocketAddr>,
    /// Addresses of other daemons to ask for state while the log is down.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Records after which a new snapshot of the state is written to the log;
    /// the log must keep several times as many.
    #[serde(default = "default_snapshot_records")]
    pub snapshot_records: u64,
    /// Age of the last snapshot at which a new one is written, in
    /// milliseconds; the log must keep records several times as long.
    #[serde(default = "default_snapshot_ms")]
    pub snapshot_ms: u64,
}

fn default_snapshot_records() -> u64 {
    2_000
}

fn default_snapshot_ms() -> u64 {
    600_000
}

/// Limits on callers and peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Open connections of callers.
    pub connections: usize,
    /// Time for a request's head to arrive, in milliseconds.
    pub head_ms: u64,
    /// Longest pause between two pieces of a body, in milliseconds.
    pub body_ms: u64,
    /// Time after which an idle connection is closed, in milliseconds.
    pub idle_ms: u64,
    /// Size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Worker threads for callers' requests.
    pub workers: usize,
    /// Worker threads for requests that other daemons forward.
    pub peer_workers: usize,
    /// Requests that may wait for a worker.
    pub queue: usize,
    /// Time that a shutdown waits for running requests, in milliseconds.
    pub drain_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4_000,
            head_ms: 5_000,
            body_ms: 10_000,
            idle_ms: 60_000,
            head_bytes: 32 << 10,
            workers: 128,
            peer_workers: 128,
            queue: 512,
            drain_ms: 30_000,
        }
    }
}

/// How a target is chosen where any may serve.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Choice {
    /// Better of two random targets by outstanding requests and answer time.
    #[default]
    TwoChoices,
    /// Fewest outstanding requests.
    LeastOutstanding,
    /// One target after the other.
    RoundRobin,
}

/// Choice of target, retries and hedges.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// How a target is chosen where any may serve.
    pub choice: Choice,
    /// Extra requests from retries and hedges, in percent of recent requests.
    pub extra_percent: f64,
    /// Whether slow idempotent requests are sent a second time.
    pub hedge: bool,
    /// Requests that may wait for one target.
    pub target_queue: usize,
    /// Whether holders move shards to even out load and follow the configuration.
    pub rebalance: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            choice: Choice::TwoChoices,
            extra_percent: 5.0,
            hedge: true,
            target_queue: 64,
            rebalance: true,
        }
    }
}

/// Logging.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Logs {
    /// Least level that is written: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// Whether a line is written for each request.
    pub requests: bool,
}

impl Default for Logs {
    fn default() -> Self {
        Self {
            level: "info".to_owned(),
            requests: false,
        }
    }
}
