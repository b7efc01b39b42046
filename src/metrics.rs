//! Counters and histograms for operators, in the OpenMetrics text format.

use std::sync::atomic::{AtomicI64, AtomicU64};

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 14] = [
    0.001, 0.002, 0.004, 0.008, 0.013, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 1.28, 5.0, 30.0,
];

/// Labels of a request's outcome. Key and tenant names are never labels.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Outcome {
    /// Name of the service, or empty if none was found.
    pub service: String,
    /// `ok`, `cut`, `not_run` or `unknown`.
    pub outcome: &'static str,
    /// Reason of a refusal or of the cut, or empty.
    pub reason: &'static str,
}

/// Label of a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Service {
    /// Name of the service, or empty if none was found.
    pub service: String,
}

/// Label of what bytes between daemons were spent on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Purpose {
    /// `heartbeat` (datagrams sent) or `forward` (bodies of forwarded requests
    /// and of their answers, without heads).
    pub purpose: &'static str,
    /// `same` or `other` region.
    pub region: &'static str,
}

/// All metrics of a daemon.
pub struct Metrics {
    registry: Registry,
    /// Requests from callers by outcome.
    pub requests: Family<Outcome, Counter>,
    /// Time from a request's head to the response's head, in seconds.
    pub latency: Family<Service, Histogram>,
    /// Attempts sent beyond the first, by retries and hedges.
    pub extra: Counter,
    /// Bytes of heartbeats sent; holders and backups share a region.
    pub heartbeats: Counter,
    /// Bytes forwarded within the region.
    pub near: Counter,
    /// Bytes forwarded to and from other regions.
    pub far: Counter,
    /// Leases held by this daemon.
    pub leases: Gauge<i64, AtomicI64>,
    /// Takeovers begun by this daemon.
    pub takeovers: Counter,
    /// Shards moved away from targets by this daemon.
    pub moved: Counter,
    /// Next offset of the state in force.
    pub offset: Gauge<u64, AtomicU64>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("pistachiomoor");
        let latency = || Histogram::new(LATENCY_BUCKETS);
        let bytes = Family::<Purpose, Counter>::default();
        let counter = |purpose, region| {
            let label = Purpose { purpose, region };
            bytes.get_or_create(&label).clone()
        };
        let metrics = Self {
            requests: Family::default(),
            latency: Family::new_with_constructor(latency as fn() -> Histogram),
            extra: Counter::default(),
            heartbeats: counter("heartbeat", "same"),
            near: counter("forward", "same"),
            far: counter("forward", "other"),
            leases: Gauge::default(),
            takeovers: Counter::default(),
            moved: Counter::default(),
            offset: Gauge::default(),
            registry: Registry::default(),
        };
        registry.register("requests", "Requests by outcome", metrics.requests.clone());
        registry.register(
            "latency_seconds",
            "Time to the response's head",
            metrics.latency.clone(),
        );
        registry.register(
            "extra_attempts",
            "Attempts beyond the first",
            metrics.extra.clone(),
        );
        registry.register("bytes", "Bytes between daemons", bytes);
        registry.register("leases", "Leases held", metrics.leases.clone());
        registry.register("takeovers", "Takeovers begun", metrics.takeovers.clone());
        registry.register(
            "shards_moved",
            "Shards moved away from targets",
            metrics.moved.clone(),
        );
        registry.register(
            "state_offset",
            "Next offset of the state in force",
            metrics.offset.clone(),
        );
        Self {
            registry,
            ..metrics
        }
    }
}

impl Metrics {
    /// Renders all metrics as OpenMetrics text.
    pub fn render(&self) -> String {
        let mut text = String::new();
        // Encoding into a string fails only if a metric's own encoder does.
        if let Err(error) = prometheus_client::encoding::text::encode(&mut text, &self.registry) {
            log::error!("metrics could not be rendered: {error}");
        }
        text
    }
}
