//! The edge between the gateway and the platform it runs on.
//!
//! An implementation of [`Dialect`] translates and does nothing else: it builds
//! requests to the platform and to targets, and reads their answers. Connections,
//! time limits, retries, decisions and state belong to the gateway.

use std::net::SocketAddr;
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
    /// Configuration and domains taken out, written by operators; read only.
    Operator,
    /// The key table, written by the steward.
    Table,
    /// The gateway's hosts, each written by the host itself.
    Hosts,
}

/// One record of a topic.
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

/// Answer to a read of the newest record of each key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Newest records, by key.
    pub records: Vec<Record>,
    /// Key after which the next page begins, if there are more.
    pub after: Option<Arc<str>>,
    /// Offset that followed the last record of the topic when the page was made.
    pub end: model::Offset,
}

/// Why the log gave no records.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// Records from the requested offset on are gone.
    #[error("records before offset {0} are no longer kept")]
    Trimmed(model::Offset),
    /// The log refused the call, and did nothing.
    #[error("the log refused the call with status {0}")]
    Refused(u16),
    /// The answer can't be read.
    #[error("{0}")]
    Malformed(finding::Finding),
}

/// What became of an append that was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Appended {
    /// The record stands at this offset.
    Written(model::Offset),
    /// Nothing was written, since the topic ends at another offset.
    Moved(model::Offset),
    /// Nothing was written.
    Refused(u16),
    /// The answer can't be read: the record may have been written.
    Unclear,
}

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryState {
    /// It takes new work.
    Ready,
    /// It is about to leave and must get no new work.
    Draining,
}

/// A target as listed by the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Name, unique among targets.
    pub name: model::TargetName,
    /// Unix time of the target's start in milliseconds; a new one is a new life.
    pub birth: u64,
    /// Number of the entry within this life.
    pub sequence: u64,
    /// Service that the target provides.
    pub service: model::ServiceName,
    /// Address for requests and orders.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: model::DomainName,
    /// Requests that it serves at a time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: EntryState,
    /// Time for which it is still cold, in milliseconds.
    pub warmup: u64,
}

/// What an operator's record is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// The configuration.
    Configuration,
    /// A failure domain that is taken out while the record exists.
    TakenOut(model::DomainName),
    /// Nothing that the gateway knows.
    Other,
}

/// What may be repeated, and how the body is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Runs at most once and has a large body.
    Upload,
}

impl Kind {
    /// Returns whether a request of this kind may run more than once.
    pub fn may_repeat(self) -> bool {
        self == Self::Idempotent
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
    /// What may be repeated.
    pub kind: Kind,
    /// Services that may serve the requests.
    pub backends: Vec<Backend>,
    /// Longest time to an answer, in milliseconds.
    pub timeout: Option<u64>,
    /// Latency objective in milliseconds.
    pub objective: u64,
    /// Targets that one request may be sent to.
    pub attempts: u32,
    /// Rank, 0 for the most important.
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
    /// Connections that one target accepts from all callers together.
    pub connections: u32,
    /// Time for which a target that started is cold, in milliseconds.
    pub warmup: u64,
    /// Requests a second that a cold target bears.
    pub cold_rate: f64,
    /// Whether requests carry keys that one target owns.
    pub keyed: bool,
    /// Time for which keys are slow that arrive without a handover, in milliseconds.
    pub transfer: u64,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest head of a request, in bytes.
    pub header_bytes: usize,
    /// Longest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time for the head of a request, in milliseconds.
    pub header_time: u64,
    /// Longest time for which a connection may stay idle, in milliseconds.
    pub idle_time: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16_384,
            body_bytes: 67_108_864,
            header_time: 3_000,
            idle_time: 15_000,
        }
    }
}

/// The operators' configuration at one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Revision {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Limits on callers.
    pub limits: Limits,
}

/// A range of keys, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Range {
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
}

impl Range {
    /// All keys.
    pub const ALL: Self = Self {
        first: 0,
        last: u16::MAX,
    };

    /// Returns whether `key` lies in the range.
    pub fn contains(self, key: u16) -> bool {
        (self.first..=self.last).contains(&key)
    }

    /// Returns the number of keys.
    pub fn len(self) -> u32 {
        u32::from(self.last) + 1 - u32::from(self.first)
    }

    /// Returns false: a range holds at least one key.
    pub fn is_empty(self) -> bool {
        false
    }
}

/// An order that gives a target keys, or renews them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Keys.
    pub range: Range,
    /// Fencing token: the target refuses it if it has seen a higher one.
    pub fence: u64,
    /// Time from the arrival of the order for which the target holds the keys,
    /// in milliseconds.
    pub lease: u64,
    /// Token with which the former owner released the keys.
    pub handover: Option<Arc<str>>,
}

/// An order that takes keys away from a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Release {
    /// Keys.
    pub range: Range,
    /// Fencing token.
    pub fence: u64,
}

/// How a target answered an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ordered {
    /// Done; a release may come with a handover token.
    Done(Option<Arc<str>>),
    /// Refused: a higher fencing token was seen.
    Fenced,
    /// Refused for another reason, with this status.
    Rejected(u16),
}

/// What a target says of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Time that work takes at this moment, in percent of the usual.
    pub slowness: u32,
}

/// Names of headers that the gateway reads or sets.
#[derive(Clone, Debug)]
pub struct Names {
    /// Identifier of a request.
    pub request: HeaderName,
    /// Time that the caller waits, in milliseconds.
    pub deadline: HeaderName,
    /// Signature of a target's answer.
    pub signature: HeaderName,
    /// Target that alone may run the request.
    pub target: HeaderName,
    /// Load of the target.
    pub load: HeaderName,
    /// Time for which the target stays cold, in milliseconds.
    pub warmup: HeaderName,
    /// Key of the request.
    pub key: HeaderName,
}

/// Translates between the gateway and one platform.
pub trait Dialect: 'static {
    /// Builds a call that appends one record to `topic`, only if the topic ends at `end`.
    fn append(
        &self,
        topic: Topic,
        key: &str,
        value: &[u8],
        end: Option<model::Offset>,
    ) -> http::Request<Bytes>;

    /// Reads the answer to an append.
    fn appended(&self, answer: &http::Response<Bytes>) -> Appended;

    /// Builds a call that reads `topic` from an offset and waits up to `wait`
    /// milliseconds for a record.
    fn read(&self, topic: Topic, from: model::Offset, wait: u64) -> http::Request<Bytes>;

    /// Reads the answer to a read from `from`.
    ///
    /// # Errors
    /// Says why there are no records.
    fn batch(
        &self,
        from: model::Offset,
        answer: &http::Response<Bytes>,
    ) -> Result<Batch, ReadError>;

    /// Builds a call that reads the newest record of each key after `after`.
    fn newest(&self, topic: Topic, after: Option<&str>) -> http::Request<Bytes>;

    /// Reads a page of newest records.
    ///
    /// # Errors
    /// Says why there are no records.
    fn page(&self, answer: &http::Response<Bytes>) -> Result<Page, ReadError>;

    /// Reads a target's entry.
    ///
    /// # Errors
    /// Returns what is wrong with it; such an entry names no target to use.
    fn entry(&self, key: &str, value: &[u8]) -> Result<Entry, finding::Findings>;

    /// Returns what an operator's record is about.
    fn subject(&self, key: &str) -> Subject;

    /// Reads the operators' configuration.
    ///
    /// # Errors
    /// Returns all that is wrong with it.
    fn revision(&self, value: &[u8]) -> Result<Revision, finding::Findings>;

    /// Builds an order that grants keys to the target named `target`.
    fn grant(&self, target: &model::TargetName, grant: &Grant) -> http::Request<Bytes>;

    /// Builds an order that releases keys at the target named `target`.
    fn release(&self, target: &model::TargetName, release: Release) -> http::Request<Bytes>;

    /// Reads the answer to an order.
    fn ordered(&self, answer: &http::Response<Bytes>) -> Ordered;

    /// Returns whether an answer proves that the target did not run the request.
    fn is_refusal(&self, status: http::StatusCode, headers: &http::HeaderMap) -> bool;

    /// Reads a load report.
    fn load(&self, value: &str) -> Option<Load>;

    /// Returns the names of headers.
    fn names(&self) -> &Names;
}
