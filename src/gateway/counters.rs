//! Metrics of a daemon in the OpenMetrics text format.
//!
//! Metrics by route exist only for the routes of the configuration in effect,
//! which bounds their number. Their handles are cached, so that counting a
//! request neither allocates nor builds a label.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::gateway::adapter;
use crate::gateway::catalog;
use crate::gateway::coordinator;
use crate::gateway::trace::Outcome;

/// Upper bounds of the buckets of request times, in seconds.
const REQUEST_TIME_BUCKETS_S: [f64; 12] = [
    0.005, 0.01, 0.02, 0.04, 0.08, 0.15, 0.3, 0.6, 1.0, 2.0, 5.0, 15.0,
];

/// Upper bounds of the buckets of view ages and read times, in seconds.
const VIEW_AGE_BUCKETS_S: [f64; 10] = [0.05, 0.1, 0.2, 0.5, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0];

/// Milliseconds per second.
const MS_PER_S: f64 = 1e3;

/// Labels of requests by route and outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RouteOutcomeLabels {
    route: String,
    outcome: &'static str,
}

/// Label of a route.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RouteLabel {
    route: String,
}

/// Labels of requests by kind and outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindOutcomeLabels {
    kind: &'static str,
    outcome: &'static str,
}

/// Escapes a value of a label as the OpenMetrics text format requires; the library writes
/// values as they are, and a quote or a line break makes the whole page unreadable.
fn escape(value: &str) -> String {
    let value = value.replace('\\', "\\\\").replace('"', "\\\"");
    value.replace('\n', "\\n")
}

/// Labels of calls to the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabels {
    topic: &'static str,
    outcome: &'static str,
}

/// Label of a topic of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TopicLabel {
    topic: &'static str,
}

/// Labels of orders to targets.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OrderLabels {
    kind: &'static str,
    outcome: &'static str,
}

/// Label of ended waits for former owners of keys.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EvidenceLabel {
    evidence: &'static str,
}

/// Kind of an order, by which the coordinator changes a target's grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OrderKind {
    /// Grants ownership of keys, or renews the lease on them.
    Grant,
    /// Revokes ownership of keys.
    Release,
}

impl OrderKind {
    fn label(self) -> &'static str {
        match self {
            Self::Grant => "grant",
            Self::Release => "release",
        }
    }
}

/// Outcome of a call to the platform's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It succeeded.
    Done,
    /// An append wrote nothing, since the topic ends at another offset than expected.
    Conflict,
    /// The requested records are no longer retained.
    Trimmed,
    /// The log was restored from an older copy.
    Restored,
    /// The log returned an error status.
    Refused,
    /// The response can't be decoded.
    Malformed,
    /// It got no response, or none before the timeout.
    NoResponse,
}

impl CallOutcome {
    fn label(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Conflict => "moved",
            Self::Trimmed => "trimmed",
            Self::Restored => "restored",
            Self::Refused => "refused",
            Self::Malformed => "malformed",
            Self::NoResponse => "silent",
        }
    }
}

impl<T> From<&Result<T, adapter::ReadError>> for CallOutcome {
    fn from(read: &Result<T, adapter::ReadError>) -> Self {
        match read {
            Ok(_) => Self::Done,
            Err(adapter::ReadError::Trimmed(_)) => Self::Trimmed,
            Err(adapter::ReadError::Restored(_)) => Self::Restored,
            Err(adapter::ReadError::Refused(_)) => Self::Refused,
            Err(adapter::ReadError::Malformed(_)) => Self::Malformed,
        }
    }
}

impl From<adapter::AppendOutcome> for CallOutcome {
    fn from(appended: adapter::AppendOutcome) -> Self {
        match appended {
            adapter::AppendOutcome::Written(_) => Self::Done,
            adapter::AppendOutcome::Conflict(_) => Self::Conflict,
            adapter::AppendOutcome::Refused(_) => Self::Refused,
            adapter::AppendOutcome::Unknown => Self::Malformed,
        }
    }
}

fn reply_label(reply: &coordinator::OrderOutcome) -> &'static str {
    match reply {
        coordinator::OrderOutcome::Done(_) => "done",
        coordinator::OrderOutcome::Fenced => "fenced",
        coordinator::OrderOutcome::Rejected => "rejected",
        coordinator::OrderOutcome::ConnectionRefused => "refused",
        coordinator::OrderOutcome::Unclear => "unclear",
        coordinator::OrderOutcome::Unanswered => "silent",
    }
}

/// Metrics of one route.
#[derive(Debug)]
struct RouteMetrics {
    outcomes: [Counter; Outcome::ALL.len()],
    seconds: Histogram,
}

/// Values of a daemon's gauges at one time.
#[derive(Clone, Copy, Debug, Default)]
pub struct GaugeValues {
    /// Version of the configuration in effect, or 0 if there is none.
    pub version: u64,
    /// Era of the log, which rises each time it is restored from an older copy.
    pub log_era: u64,
    /// Whether the daemon is the coordinator, which writes the key table.
    pub coordinator: bool,
    /// Whether the daemon reads the log itself, rather than through another daemon.
    pub reader: bool,
    /// Requests in progress.
    pub running: usize,
    /// Bytes of responses in memory that their callers have not taken yet.
    pub response_bytes: usize,
    /// Findings about the configuration in effect.
    pub skipped: usize,
    /// Age of the view of each topic in milliseconds, in the order of [`Topic::ALL`];
    /// `None` before the first complete read.
    ///
    /// [`Topic::ALL`]: adapter::Topic::ALL
    pub view_ages: [Option<u64>; adapter::Topic::ALL.len()],
}

/// Gauges, which are set when the metrics are rendered.
#[derive(Debug, Default)]
struct Gauges {
    version: Gauge<u64, AtomicU64>,
    log_era: Gauge<u64, AtomicU64>,
    coordinator: Gauge,
    reader: Gauge,
    running: Gauge,
    response_bytes: Gauge,
    skipped: Gauge,
    view_ages: Family<TopicLabel, Gauge<f64, AtomicU64>>,
}

/// Metrics of one daemon since its start.
#[derive(Debug)]
pub struct Counters {
    /// Requests of callers that were read.
    pub requests: Counter,
    /// Responses of targets that were forwarded to callers.
    pub answered: Counter,
    /// Requests refused without being run.
    pub refused: Counter,
    /// Requests whose outcome is unknown: they may have run.
    pub unknown: Counter,
    /// Requests whose caller disconnected before the response.
    pub abandoned: Counter,
    /// Responses that ended before their body was complete.
    pub truncated: Counter,
    /// Further attempts of requests: retries and hedges.
    pub retries: Counter,
    /// Calls to the log.
    pub log_calls: Counter,
    /// Calls to the log that got no response, or none before the timeout.
    pub log_failures: Counter,
    /// Requests of other daemons for records that they missed.
    pub record_requests: Counter,
    /// Orders sent to targets.
    pub orders: Counter,
    /// Connections opened to targets.
    pub connections: Counter,
    /// Targets that said in an answer that they leave.
    pub leaving: Counter,
    /// Verdicts on requests that crash targets, trials and ends included.
    pub quarantine_changes: Counter,
    /// Requests refused since targets crashed in attempts of them.
    pub quarantined: Counter,
    /// Pauses that targets asked for.
    pub pauses: Counter,
    /// Changes of limits that targets named, or that other daemons reported.
    pub limits: Counter,
    /// Requests that were refused or withdrawn because of the limit that a target named.
    pub limited: Counter,
    /// Connections that were cut because their caller took the response too slowly.
    pub slow_callers: Counter,
    kind_requests: Family<KindOutcomeLabels, Counter>,
    route_requests: Family<RouteOutcomeLabels, Counter>,
    route_seconds: Family<RouteLabel, Histogram, fn() -> Histogram>,
    log_results: Family<CallLabels, Counter>,
    order_results: Family<OrderLabels, Counter>,
    owner_waits: Family<EvidenceLabel, Counter>,
    view_ages: Family<TopicLabel, Histogram, fn() -> Histogram>,
    read_seconds: Family<TopicLabel, Histogram, fn() -> Histogram>,
    gauges: Gauges,
    routes: RefCell<HashMap<Arc<str>, RouteMetrics>>,
    registry: Registry,
}

impl Default for Counters {
    fn default() -> Self {
        let new_histogram: fn() -> Histogram = || Histogram::new(REQUEST_TIME_BUCKETS_S);
        let new_age_histogram: fn() -> Histogram = || Histogram::new(VIEW_AGE_BUCKETS_S);
        let mut counters = Self {
            requests: Counter::default(),
            answered: Counter::default(),
            refused: Counter::default(),
            unknown: Counter::default(),
            abandoned: Counter::default(),
            truncated: Counter::default(),
            retries: Counter::default(),
            log_calls: Counter::default(),
            log_failures: Counter::default(),
            record_requests: Counter::default(),
            orders: Counter::default(),
            connections: Counter::default(),
            leaving: Counter::default(),
            quarantine_changes: Counter::default(),
            quarantined: Counter::default(),
            pauses: Counter::default(),
            limits: Counter::default(),
            limited: Counter::default(),
            slow_callers: Counter::default(),
            kind_requests: Family::default(),
            route_requests: Family::default(),
            route_seconds: Family::new_with_constructor(new_histogram),
            log_results: Family::default(),
            order_results: Family::default(),
            owner_waits: Family::default(),
            view_ages: Family::new_with_constructor(new_age_histogram),
            read_seconds: Family::new_with_constructor(new_age_histogram),
            gauges: Gauges::default(),
            routes: RefCell::default(),
            registry: Registry::with_prefix("gateway"),
        };
        counters.register();
        counters
    }
}

/// Adds one to a counter.
pub fn increment(counter: &Counter) {
    counter.inc();
}

impl Counters {
    /// Registers all metrics under their names, with their help texts.
    fn register(&mut self) {
        let registry = &mut self.registry;
        let counters = [
            ("requests", "Requests read", &self.requests),
            ("answered", "Answers of targets passed on", &self.answered),
            ("refused", "Requests refused, not run", &self.refused),
            ("unknown", "Requests that may have run", &self.unknown),
            ("abandoned", "Requests whose caller left", &self.abandoned),
            ("cut", "Answers that ended early", &self.truncated),
            ("retries", "Further attempts, with hedges", &self.retries),
            ("log_calls", "Calls to the log", &self.log_calls),
            (
                "log_failures",
                "Calls to the log without an answer",
                &self.log_failures,
            ),
            (
                "record_requests",
                "Requests of other daemons for records that they missed",
                &self.record_requests,
            ),
            ("orders", "Grants and releases sent", &self.orders),
            (
                "target_connections",
                "Connections opened to targets",
                &self.connections,
            ),
            (
                "target_leaving",
                "Targets that said in an answer that they leave",
                &self.leaving,
            ),
            (
                "quarantine_changes",
                "Verdicts on requests that crash targets, with trials and ends",
                &self.quarantine_changes,
            ),
            (
                "quarantined",
                "Requests refused since targets crashed in attempts of them",
                &self.quarantined,
            ),
            (
                "target_pauses",
                "Pauses that targets asked for",
                &self.pauses,
            ),
            (
                "target_limits",
                "Limits that targets named or other daemons reported, with changes and ends",
                &self.limits,
            ),
            (
                "limited",
                "Requests refused or withdrawn because of the limit that a target named",
                &self.limited,
            ),
            (
                "slow_callers",
                "Connections cut because their caller took the answer too slowly",
                &self.slow_callers,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        let route_requests = self.route_requests.clone();
        registry.register(
            "route_requests",
            "Requests by route and outcome",
            route_requests,
        );
        let help = "Requests by the kind of their route and outcome";
        registry.register("kind_requests", help, self.kind_requests.clone());
        let help = "Time to the answer's head by route";
        registry.register("route_seconds", help, self.route_seconds.clone());
        let help = "Calls to the log by topic and outcome";
        registry.register("log_results", help, self.log_results.clone());
        let help = "Orders to targets by kind and outcome";
        registry.register("order_results", help, self.order_results.clone());
        let help = "Waits for former owners of keys that ended, by evidence";
        registry.register("owner_waits", help, self.owner_waits.clone());
        let help = "Age of the view of a topic just before it is renewed";
        registry.register("view_age_at_renewal_seconds", help, self.view_ages.clone());
        let help = "Time of own reads of a topic that wait for no record";
        registry.register("log_read_seconds", help, self.read_seconds.clone());
        let gauges = &self.gauges;
        let help = "Age of what the daemon knows of a topic";
        registry.register("view_age_seconds", help, gauges.view_ages.clone());
        let help = "Version of the configuration in effect";
        registry.register("configuration_version", help, gauges.version.clone());
        let help = "Era of the log, which rises each time it is restored from an older copy";
        registry.register("log_era", help, gauges.log_era.clone());
        let help = "Whether the daemon owns the key table";
        registry.register("steward", help, gauges.coordinator.clone());
        let help = "Whether the daemon makes its own calls to the log";
        registry.register("reader", help, gauges.reader.clone());
        registry.register("running", "Requests in progress", gauges.running.clone());
        let help = "Bytes of answers in memory that callers have not taken yet";
        registry.register("response_bytes", help, gauges.response_bytes.clone());
        let help = "Parts of the configuration that could not be read";
        registry.register("configuration_skipped", help, gauges.skipped.clone());
    }

    /// Replaces the routes by those of a new configuration. Metrics of routes that
    /// exist in both are kept, the others are dropped.
    pub fn set_routes(&self, catalog: &catalog::Catalog) {
        let mut routes = self.routes.borrow_mut();
        routes.retain(|name, _| {
            let kept = catalog.routes().any(|route| route.name == *name);
            if !kept {
                self.remove_route(name);
            }
            kept
        });
        for route in catalog.routes() {
            routes
                .entry(Arc::clone(&route.name))
                .or_insert_with(|| self.add_route(&route.name));
        }
    }

    fn add_route(&self, name: &Arc<str>) -> RouteMetrics {
        let counter = |outcome: Outcome| {
            let label = RouteOutcomeLabels {
                route: escape(name),
                outcome: outcome.label(),
            };
            self.route_requests.get_or_create(&label).clone()
        };
        let label = RouteLabel {
            route: escape(name),
        };
        RouteMetrics {
            outcomes: Outcome::ALL.map(counter),
            seconds: self.route_seconds.get_or_create(&label).clone(),
        }
    }

    fn remove_route(&self, name: &Arc<str>) {
        for outcome in Outcome::ALL {
            self.route_requests.remove(&RouteOutcomeLabels {
                route: escape(name),
                outcome: outcome.label(),
            });
        }
        self.route_seconds.remove(&RouteLabel {
            route: escape(name),
        });
    }

    /// Counts a request that ended after `ms` milliseconds. Requests of routes that
    /// no longer exist are ignored.
    pub fn on_request(&self, route: &str, outcome: Outcome, ms: u64) {
        let routes = self.routes.borrow();
        let Some(metrics) = routes.get(route) else {
            return;
        };
        metrics.outcomes[outcome as usize].inc();
        // The time of a response that ends early was observed when its head was sent.
        if !matches!(outcome, Outcome::Abandoned | Outcome::Truncated) {
            metrics.seconds.observe(ms as f64 / MS_PER_S);
        }
    }

    /// Counts a request to a route of `kind`.
    pub(crate) fn on_kind(&self, kind: adapter::RequestKind, outcome: Outcome) {
        self.kind_counter(kind, outcome).inc();
    }

    /// Returns the counter of requests to routes of `kind`.
    pub(crate) fn kind_counter(&self, kind: adapter::RequestKind, outcome: Outcome) -> Counter {
        let labels = KindOutcomeLabels {
            kind: kind.label(),
            outcome: outcome.label(),
        };
        self.kind_requests.get_or_create(&labels).clone()
    }

    /// Returns the counter of a route's responses that ended early, or `None` if the
    /// route does not exist.
    pub(crate) fn truncated_counter(&self, route: &str) -> Option<Counter> {
        let routes = self.routes.borrow();
        let metrics = routes.get(route)?;
        Some(metrics.outcomes[Outcome::Truncated as usize].clone())
    }

    /// Counts a call to the log on `topic` by its outcome.
    pub fn on_call(&self, topic: adapter::Topic, outcome: impl Into<CallOutcome>) {
        let label = CallLabels {
            topic: topic.label(),
            outcome: outcome.into().label(),
        };
        self.log_results.get_or_create(&label).inc();
    }

    /// Counts the age in milliseconds that the view of a topic had before it was renewed.
    pub fn on_view_age(&self, topic: adapter::Topic, age: u64) {
        let label = TopicLabel {
            topic: topic.label(),
        };
        let histogram = self.view_ages.get_or_create(&label);
        histogram.observe(age as f64 / MS_PER_S);
    }

    /// Counts the time in milliseconds of a read of a topic that waited for no record.
    pub fn on_read_time(&self, topic: adapter::Topic, time: u64) {
        let label = TopicLabel {
            topic: topic.label(),
        };
        let histogram = self.read_seconds.get_or_create(&label);
        histogram.observe(time as f64 / MS_PER_S);
    }

    /// Counts an order to a target by the target's reply.
    pub fn on_order(&self, kind: OrderKind, reply: &coordinator::OrderOutcome) {
        let label = OrderLabels {
            kind: kind.label(),
            outcome: reply_label(reply),
        };
        self.order_results.get_or_create(&label).inc();
    }

    /// Counts the end of a wait for a former owner of keys.
    pub fn on_freed(&self, evidence: coordinator::Evidence) {
        let label = EvidenceLabel {
            evidence: evidence.label(),
        };
        self.owner_waits.get_or_create(&label).inc();
    }

    /// Sets the gauges to `values` and returns all metrics as OpenMetrics text.
    pub fn render(&self, values: GaugeValues) -> String {
        self.gauges.version.set(values.version);
        self.gauges.log_era.set(values.log_era);
        self.gauges.coordinator.set(i64::from(values.coordinator));
        self.gauges.reader.set(i64::from(values.reader));
        self.gauges.running.set(values.running as i64);
        self.gauges.response_bytes.set(values.response_bytes as i64);
        self.gauges.skipped.set(values.skipped as i64);
        for (topic, age) in adapter::Topic::ALL.into_iter().zip(values.view_ages) {
            let label = TopicLabel {
                topic: topic.label(),
            };
            if let Some(age) = age {
                let gauge = self.gauges.view_ages.get_or_create(&label);
                gauge.set(age as f64 / MS_PER_S);
            }
        }
        let mut metrics = String::new();
        // Writing to a string can't fail, so that only a metric's encoder can.
        if let Err(error) = text::encode(&mut metrics, &self.registry) {
            log::error!("metrics could not be rendered: {error}");
        }
        metrics
    }
}
