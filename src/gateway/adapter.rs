//! Interface between the gateway and the protocols of the platform it runs on.
//!
//! An implementation of [`Adapter`] only translates: it builds requests to the platform
//! and to targets, and parses their answers. Connections, timeouts, retries, decisions
//! and state belong to the gateway.

use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use bytes::Bytes;
use http::header::HeaderName;
use serde::{Deserialize, Serialize};

use crate::finding;
use crate::model;

/// Topics of the platform's log that the gateway reads or writes.
///
/// Each topic keeps the newest record of every key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Topic {
    /// Targets, written by the targets themselves; read only.
    Targets,
    /// Configuration and drained failure domains, written by operators; read only.
    Operator,
    /// The key table, written by the coordinator.
    Table,
    /// The gateway's hosts, each written by the host itself.
    Hosts,
}

impl Topic {
    /// All topics, in the order of their indexes.
    pub const ALL: [Self; 4] = [Self::Targets, Self::Operator, Self::Table, Self::Hosts];

    /// Returns the index of the topic in [`Topic::ALL`] and in messages.
    pub fn index(self) -> usize {
        match self {
            Self::Targets => 0,
            Self::Operator => 1,
            Self::Table => 2,
            Self::Hosts => 3,
        }
    }

    /// Returns the name of the topic in metrics and log lines.
    pub fn label(self) -> &'static str {
        match self {
            Self::Targets => "targets",
            Self::Operator => "operator",
            Self::Table => "table",
            Self::Hosts => "hosts",
        }
    }
}

/// Record of a topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Position in the topic.
    pub offset: model::Offset,
    /// Key of the record.
    pub key: Arc<str>,
    /// Value, or `None` if the key was removed.
    pub value: Option<Bytes>,
}

/// Answer to a read from an offset.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// Records in order.
    pub records: Vec<Record>,
    /// Offset that follows the last record read.
    pub next: model::Offset,
    /// Offset that follows the last record of the topic.
    pub end: model::Offset,
}

/// Record of a page that can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unreadable {
    /// Key of the record, unless that can't be read either.
    pub key: Option<Arc<str>>,
    /// What can't be read.
    pub finding: finding::Finding,
}

/// Answer to a read of the newest record of each key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Newest records, by key.
    pub records: Vec<Record>,
    /// Records that can't be read; the others of the page hold.
    pub unreadable: Vec<Unreadable>,
    /// Key after which the next page begins, if there are more.
    pub after: Option<Arc<str>>,
    /// Offset that followed the last record of the topic when the page was made.
    pub end: model::Offset,
}

/// Reason why the log returned no records.
///
/// All offsets in answers of the log carry the era that the log states in the same answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// The log no longer keeps the records before this offset, some of which were requested.
    #[error("records before offset {0} are no longer kept")]
    Trimmed(model::Offset),
    /// The log was restored from an older copy since the offset of the read was given out;
    /// this is its present era.
    #[error("the log was restored from a copy; its era is {0}")]
    Restored(u64),
    /// The log refused the call with this status, and had no other effect.
    #[error("the log refused the call with status {0}")]
    Refused(u16),
    /// The answer can't be parsed.
    #[error("{0}")]
    Malformed(finding::Finding),
}

impl ReadError {
    /// Returns whether the log can't be read on from the position of the read, so that the
    /// newest records have to be read.
    pub fn is_position_lost(&self) -> bool {
        matches!(self, Self::Trimmed(_) | Self::Restored(_))
    }
}

/// Outcome of an append that was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record was appended at this offset.
    Written(model::Offset),
    /// Nothing was written, since the topic ends at this offset instead of the expected
    /// one.
    Conflict(model::Offset),
    /// Nothing was written: the log refused the call with this status.
    Refused(u16),
    /// The answer can't be parsed: the record may or may not have been written.
    Unknown,
}

/// Returns whether an address names one host and a port, so that something can be sent
/// there. A connection to an unspecified address would reach this host.
pub fn is_destination(address: SocketAddr) -> bool {
    let ip = address.ip().to_canonical();
    let is_broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast
}

/// State of a target in its entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryState {
    /// The target accepts new work.
    Ready,
    /// The target is about to shut down and must get no new work.
    Draining,
}

/// A target as listed by the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Name, unique among targets.
    pub name: model::TargetName,
    /// Unix time of the start of the target's process, in milliseconds; it identifies the
    /// incarnation.
    pub birth: u64,
    /// Number of the entry within this incarnation.
    pub sequence: u64,
    /// Service that the target provides.
    pub service: model::ServiceName,
    /// Address for requests and for orders that grant or release keys.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: model::DomainName,
    /// Requests that it serves concurrently.
    pub slots: u32,
    /// Whether it accepts new work.
    pub state: EntryState,
    /// Time for which it is still cold, in milliseconds; 0 if it is warm.
    pub warmup_ms: u64,
}

/// Subject of an operator's record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// The configuration.
    Configuration,
    /// A failure domain that is drained as long as the record exists.
    Drained(model::DomainName),
    /// A subject unknown to the gateway.
    Other,
}

/// Kind of a route's requests: whether they may be retried, and how large their bodies are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// Requests that may run more than once.
    Idempotent,
    /// Requests that may run at most once.
    NonIdempotent,
    /// Requests that may run at most once and have a large body.
    Upload,
    /// Requests that may run more than once and whose responses are large.
    Download,
}

impl RequestKind {
    /// Returns whether a request of this kind may run more than once.
    pub fn is_retryable(self) -> bool {
        match self {
            Self::Idempotent | Self::Download => true,
            Self::NonIdempotent | Self::Upload => false,
        }
    }

    /// Returns the name in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "non_idempotent",
            Self::Upload => "upload",
            Self::Download => "download",
        }
    }
}

/// One of the services among which a route's requests are divided.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// Name of the service.
    pub service: model::ServiceName,
    /// Share of requests, relative to the other backends of the route.
    pub weight: f64,
}

/// A route: requests to a host below a path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host name that callers use.
    pub host: Arc<str>,
    /// Path prefix, which begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Kind of its requests.
    pub kind: RequestKind,
    /// Services that may serve the requests.
    pub backends: Vec<Backend>,
    /// Longest time until an answer, in milliseconds, if it is limited.
    pub timeout_ms: Option<u64>,
    /// Latency objective in milliseconds.
    pub objective_ms: u64,
    /// Largest number of targets that one request may be sent to.
    pub attempts: u32,
    /// Priority, 0 for the highest.
    pub priority: u32,
    /// Regions in which requests may be served; all if empty.
    pub regions: Vec<model::RegionName>,
}

/// A service as configured.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: model::ServiceName,
    /// Path of the health check.
    pub health: Arc<str>,
    /// Connections that one target accepts from all of its clients together.
    pub connections: u32,
    /// Time for which a target is cold after its start, in milliseconds.
    pub warmup_ms: u64,
    /// Requests per second that a cold target can serve.
    pub cold_rate: f64,
    /// Whether requests carry keys that one target owns.
    pub keyed: bool,
    /// Time for which keys that arrive without a handover are slow, in milliseconds.
    pub key_warmup_ms: u64,
}

/// Limits on the size and duration of callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest head of a request, in bytes.
    pub header_bytes: usize,
    /// Longest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time until the head of a request is complete, in milliseconds.
    pub header_ms: u64,
    /// Longest time for which a connection may stay idle, in milliseconds.
    pub idle_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16_384,
            body_bytes: 67_108_864,
            header_ms: 3_000,
            idle_ms: 15_000,
        }
    }
}

/// The operators' configuration at one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Revision {
    /// Version; a higher one supersedes a lower one.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Limits on callers.
    pub limits: Limits,
    /// What of the configuration could not be read and is not in effect.
    pub skipped: finding::Findings,
}

/// A range of keys, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyRange {
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
}

impl KeyRange {
    /// All keys.
    pub const ALL: Self = Self {
        first: 0,
        last: u16::MAX,
    };

    /// Returns whether `key` lies in the range.
    pub fn contains(self, key: u16) -> bool {
        (self.first..=self.last).contains(&key)
    }

    /// Returns the number of keys in the range.
    pub fn len(self) -> u32 {
        u32::from(self.last) + 1 - u32::from(self.first)
    }

    /// Returns false: a range holds at least one key.
    pub fn is_empty(self) -> bool {
        false
    }
}

/// An order that grants a target the ownership of keys, or renews it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Keys that are granted.
    pub range: KeyRange,
    /// Fencing token: the target refuses the order if it has seen a higher one.
    pub fence: u64,
    /// Validity of the lease, counted from the arrival of the order, in milliseconds.
    pub lease_ms: u64,
    /// Handover token that the previous owner returned when it released the keys.
    pub handover: Option<Arc<str>>,
}

/// An order that revokes a target's ownership of keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Release {
    /// Keys that are released.
    pub range: KeyRange,
    /// Fencing token.
    pub fence: u64,
}

/// A target's answer to an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderResponse {
    /// The order was executed; the answer to a release may contain a handover token.
    Accepted(Option<Arc<str>>),
    /// The order was refused, since the target has seen a higher fencing token.
    Fenced,
    /// The order was refused for another reason, with this status.
    Rejected(u16),
}

/// Load report of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests in execution.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// Requests that it serves concurrently.
    pub slots: u32,
    /// Current processing time of work, in percent of the usual one.
    pub slowness_percent: u32,
}

/// Requests per second, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestRate(pub u64);

impl RequestRate {
    /// Highest rate, which stands for no limit.
    pub const MAX: Self = Self(u64::MAX);

    /// Returns the number of requests per second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / 1_000.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} requests/s", self.per_second())
    }
}

/// What an answer says about the requests that its target takes from all daemons together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitNotice {
    /// The answer names no limit.
    #[default]
    Absent,
    /// The answer names a limit that can't be read.
    Unreadable,
    /// The answer names this limit.
    Named(RequestRate),
}

/// What a target says of itself in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// The target is about to shut down and must get no new work.
    pub leaving: bool,
    /// Time for which the target wants no requests from this daemon, in milliseconds.
    pub pause_ms: Option<u64>,
    /// Requests that the target takes from all daemons together.
    pub limit: LimitNotice,
}

/// Names of headers that the gateway reads or sets.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifier of a request.
    pub request: HeaderName,
    /// Time for which the caller waits for the answer, in milliseconds.
    pub deadline: HeaderName,
    /// Signature of a target's answer.
    pub signature: HeaderName,
    /// The only target that may run the request.
    pub target: HeaderName,
    /// Load of the target.
    pub load: HeaderName,
    /// Requests per second that the target takes from all daemons together.
    pub limit: HeaderName,
    /// Time for which the target stays cold, in milliseconds.
    pub warmup: HeaderName,
    /// Key of the request.
    pub key: HeaderName,
}

/// Translates between the gateway and one platform.
pub trait Adapter: 'static {
    /// Builds a call that appends one record to `topic`; with `end`, only if the topic
    /// ends at this offset.
    fn build_append(
        &self,
        topic: Topic,
        key: &str,
        value: &[u8],
        end: Option<model::Offset>,
    ) -> http::Request<Bytes>;

    /// Parses the answer to an append.
    fn parse_append(&self, answer: &http::Response<Bytes>) -> AppendOutcome;

    /// Builds a call that reads `topic` from an offset and waits up to `wait`
    /// milliseconds for a record.
    fn build_read(&self, topic: Topic, from: model::Offset, wait: u64) -> http::Request<Bytes>;

    /// Parses the answer to a read from `from`.
    ///
    /// # Errors
    /// Returns the reason why there are no records.
    fn parse_batch(
        &self,
        from: model::Offset,
        answer: &http::Response<Bytes>,
    ) -> Result<Batch, ReadError>;

    /// Builds a call that reads a page of the newest record of each key, from the first
    /// key after `after` on.
    fn build_newest(&self, topic: Topic, after: Option<&str>) -> http::Request<Bytes>;

    /// Parses a page of newest records.
    ///
    /// # Errors
    /// Returns the reason why there are no records.
    fn parse_page(&self, answer: &http::Response<Bytes>) -> Result<Page, ReadError>;

    /// Parses a target's entry.
    ///
    /// # Errors
    /// Returns the findings of an invalid entry, which must be ignored.
    fn parse_entry(&self, key: &str, value: &[u8]) -> Result<Entry, finding::Findings>;

    /// Returns the subject of the operator's record with this key.
    fn subject(&self, key: &str) -> Subject;

    /// Parses the operators' configuration.
    ///
    /// # Errors
    /// Returns all findings of an invalid configuration.
    fn parse_configuration(&self, value: &[u8]) -> Result<Revision, finding::Findings>;

    /// Builds an order that grants keys to the target named `target`.
    fn build_grant(&self, target: &model::TargetName, grant: &Grant) -> http::Request<Bytes>;

    /// Builds an order that releases keys at the target named `target`.
    fn build_release(&self, target: &model::TargetName, release: Release) -> http::Request<Bytes>;

    /// Parses the answer to an order.
    fn parse_order(&self, answer: &http::Response<Bytes>) -> OrderResponse;

    /// Returns whether an answer proves that the target did not run the request.
    fn is_not_executed(&self, status: http::StatusCode, headers: &http::HeaderMap) -> bool;

    /// Parses what a target says of itself in an answer. What is invalid counts as not
    /// said.
    fn parse_notice(&self, status: http::StatusCode, headers: &http::HeaderMap) -> Notice;

    /// Parses a load report; returns `None` if it is invalid.
    fn parse_load(&self, value: &str) -> Option<LoadReport>;

    /// Returns the names of the headers that the gateway reads or sets.
    fn names(&self) -> &HeaderNames;
}
