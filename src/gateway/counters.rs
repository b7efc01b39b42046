//! Metrics that a daemon shows to operators, in the OpenMetrics text format.
//!
//! Metrics by route exist for the routes of the configuration in effect only,
//! so that their number is bounded. Their handles are kept, so that counting a
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

use crate::gateway::catalog;
use crate::gateway::dialect;
use crate::gateway::steward;
use crate::gateway::trace::Outcome;

/// Upper bounds of the buckets of request times, in seconds.
const TIMES: [f64; 12] = [
    0.005, 0.01, 0.02, 0.04, 0.08, 0.15, 0.3, 0.6, 1.0, 2.0, 5.0, 15.0,
];

/// Labels of requests by route and outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RouteOutcome {
    route: String,
    outcome: &'static str,
}

/// Label of a route.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RouteName {
    route: String,
}

/// Labels of calls to the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Call {
    topic: &'static str,
    outcome: &'static str,
}

/// Labels of orders to targets.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Order {
    kind: &'static str,
    outcome: &'static str,
}

/// Kind of an order to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OrderKind {
    /// Gives keys, or renews their lease.
    Grant,
    /// Takes keys away.
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

/// What became of a call to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It did what was asked.
    Done,
    /// It wrote nothing, since the topic ends elsewhere.
    Moved,
    /// Its records are no longer kept.
    Trimmed,
    /// The log refused it.
    Refused,
    /// Its answer can't be read.
    Malformed,
    /// It had no answer, or none in time.
    Silent,
}

impl CallOutcome {
    fn label(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Moved => "moved",
            Self::Trimmed => "trimmed",
            Self::Refused => "refused",
            Self::Malformed => "malformed",
            Self::Silent => "silent",
        }
    }
}

impl<T> From<&Result<T, dialect::ReadError>> for CallOutcome {
    fn from(read: &Result<T, dialect::ReadError>) -> Self {
        match read {
            Ok(_) => Self::Done,
            Err(dialect::ReadError::Trimmed(_)) => Self::Trimmed,
            Err(dialect::ReadError::Refused(_)) => Self::Refused,
            Err(dialect::ReadError::Malformed(_)) => Self::Malformed,
        }
    }
}

impl From<dialect::Appended> for CallOutcome {
    fn from(appended: dialect::Appended) -> Self {
        match appended {
            dialect::Appended::Written(_) => Self::Done,
            dialect::Appended::Moved(_) => Self::Moved,
            dialect::Appended::Refused(_) => Self::Refused,
            dialect::Appended::Unclear => Self::Malformed,
        }
    }
}

fn topic_label(topic: dialect::Topic) -> &'static str {
    match topic {
        dialect::Topic::Targets => "targets",
        dialect::Topic::Operator => "operator",
        dialect::Topic::Table => "table",
        dialect::Topic::Hosts => "hosts",
    }
}

fn reply_label(reply: &steward::Reply) -> &'static str {
    match reply {
        steward::Reply::Done(_) => "done",
        steward::Reply::Fenced => "fenced",
        steward::Reply::Rejected => "rejected",
        steward::Reply::Refused => "refused",
        steward::Reply::Silent => "silent",
    }
}

/// Metrics of one route.
#[derive(Debug)]
struct RouteMetrics {
    outcomes: [Counter; Outcome::ALL.len()],
    time: Histogram,
}

/// What a daemon is at the time of a reading.
#[derive(Clone, Copy, Debug, Default)]
pub struct Standing {
    /// Version of the configuration in effect, or 0 if there is none.
    pub version: u64,
    /// Whether it owns the key table.
    pub steward: bool,
    /// Whether it makes its own calls to the log.
    pub reader: bool,
    /// Requests in progress.
    pub running: usize,
}

/// Gauges, set when they are read.
#[derive(Debug, Default)]
struct Gauges {
    version: Gauge<u64, AtomicU64>,
    steward: Gauge,
    reader: Gauge,
    running: Gauge,
}

/// Metrics of one daemon since its start.
#[derive(Debug)]
pub struct Counters {
    /// Requests of callers that were read.
    pub requests: Counter,
    /// Answers of targets that were passed on.
    pub answered: Counter,
    /// Requests refused as not run.
    pub refused: Counter,
    /// Requests whose outcome is not known.
    pub unknown: Counter,
    /// Requests whose caller left.
    pub abandoned: Counter,
    /// Answers that ended before their body was complete.
    pub cut: Counter,
    /// Requests sent to a further target.
    pub retries: Counter,
    /// Calls to the log.
    pub log_calls: Counter,
    /// Calls to the log that had no answer.
    pub log_failures: Counter,
    /// Orders to targets.
    pub orders: Counter,
    /// Connections opened to targets.
    pub connections: Counter,
    outcomes: Family<RouteOutcome, Counter>,
    times: Family<RouteName, Histogram, fn() -> Histogram>,
    calls: Family<Call, Counter>,
    replies: Family<Order, Counter>,
    gauges: Gauges,
    routes: RefCell<HashMap<Arc<str>, RouteMetrics>>,
    registry: Registry,
}

impl Default for Counters {
    fn default() -> Self {
        let times: fn() -> Histogram = || Histogram::new(TIMES);
        let mut counters = Self {
            requests: Counter::default(),
            answered: Counter::default(),
            refused: Counter::default(),
            unknown: Counter::default(),
            abandoned: Counter::default(),
            cut: Counter::default(),
            retries: Counter::default(),
            log_calls: Counter::default(),
            log_failures: Counter::default(),
            orders: Counter::default(),
            connections: Counter::default(),
            outcomes: Family::default(),
            times: Family::new_with_constructor(times),
            calls: Family::default(),
            replies: Family::default(),
            gauges: Gauges::default(),
            routes: RefCell::default(),
            registry: Registry::with_prefix("gateway"),
        };
        counters.register();
        counters
    }
}

/// Adds one to a counter.
pub fn count(counter: &Counter) {
    counter.inc();
}

impl Counters {
    fn register(&mut self) {
        let registry = &mut self.registry;
        let counters = [
            ("requests", "Requests read", &self.requests),
            ("answered", "Answers of targets passed on", &self.answered),
            ("refused", "Requests refused, not run", &self.refused),
            ("unknown", "Requests that may have run", &self.unknown),
            ("abandoned", "Requests whose caller left", &self.abandoned),
            ("cut", "Answers that ended early", &self.cut),
            ("retries", "Further attempts, with hedges", &self.retries),
            ("log_calls", "Calls to the log", &self.log_calls),
            (
                "log_failures",
                "Calls to the log without an answer",
                &self.log_failures,
            ),
            ("orders", "Grants and releases sent", &self.orders),
            (
                "target_connections",
                "Connections opened to targets",
                &self.connections,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        let outcomes = self.outcomes.clone();
        registry.register("route_requests", "Requests by route and outcome", outcomes);
        let help = "Time to the answer's head by route";
        registry.register("route_seconds", help, self.times.clone());
        let help = "Calls to the log by topic and outcome";
        registry.register("log_results", help, self.calls.clone());
        let help = "Orders to targets by kind and outcome";
        registry.register("order_results", help, self.replies.clone());
        let gauges = &self.gauges;
        let help = "Version of the configuration in effect";
        registry.register("configuration_version", help, gauges.version.clone());
        let help = "Whether the daemon owns the key table";
        registry.register("steward", help, gauges.steward.clone());
        let help = "Whether the daemon makes its own calls to the log";
        registry.register("reader", help, gauges.reader.clone());
        registry.register("running", "Requests in progress", gauges.running.clone());
    }

    /// Takes the routes of a new configuration: metrics of routes that it lacks
    /// are dropped, those of the others go on.
    pub fn set_routes(&self, catalog: &catalog::Catalog) {
        let mut routes = self.routes.borrow_mut();
        routes.retain(|name, _| {
            let kept = catalog.routes().any(|route| route.name == *name);
            if !kept {
                self.drop_route(name);
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
            let label = RouteOutcome {
                route: name.to_string(),
                outcome: outcome.label(),
            };
            self.outcomes.get_or_create(&label).clone()
        };
        let label = RouteName {
            route: name.to_string(),
        };
        RouteMetrics {
            outcomes: Outcome::ALL.map(counter),
            time: self.times.get_or_create(&label).clone(),
        }
    }

    fn drop_route(&self, name: &Arc<str>) {
        for outcome in Outcome::ALL {
            self.outcomes.remove(&RouteOutcome {
                route: name.to_string(),
                outcome: outcome.label(),
            });
        }
        self.times.remove(&RouteName {
            route: name.to_string(),
        });
    }

    /// Counts a request that ended after `millis`. One whose route no longer
    /// exists is left out.
    pub fn on_request(&self, route: &str, outcome: Outcome, millis: u64) {
        let routes = self.routes.borrow();
        let Some(metrics) = routes.get(route) else {
            return;
        };
        metrics.outcomes[outcome as usize].inc();
        // An answer that is cut was observed when its head was sent.
        if !matches!(outcome, Outcome::Abandoned | Outcome::Cut) {
            metrics.time.observe(millis as f64 / 1e3);
        }
    }

    /// Returns the counter of a route's answers that ended early.
    pub(crate) fn cut_of(&self, route: &str) -> Option<Counter> {
        let routes = self.routes.borrow();
        let metrics = routes.get(route)?;
        Some(metrics.outcomes[Outcome::Cut as usize].clone())
    }

    /// Counts what became of a call to the log.
    pub fn on_call(&self, topic: dialect::Topic, outcome: impl Into<CallOutcome>) {
        let label = Call {
            topic: topic_label(topic),
            outcome: outcome.into().label(),
        };
        self.calls.get_or_create(&label).inc();
    }

    /// Counts what became of an order.
    pub fn on_order(&self, kind: OrderKind, reply: &steward::Reply) {
        let label = Order {
            kind: kind.label(),
            outcome: reply_label(reply),
        };
        self.replies.get_or_create(&label).inc();
    }

    /// Writes all metrics as OpenMetrics text.
    pub fn render(&self, standing: Standing) -> String {
        self.gauges.version.set(standing.version);
        self.gauges.steward.set(i64::from(standing.steward));
        self.gauges.reader.set(i64::from(standing.reader));
        self.gauges.running.set(standing.running as i64);
        let mut metrics = String::new();
        // Encoding into a string fails only if a metric's own encoder does.
        if let Err(error) = text::encode(&mut metrics, &self.registry) {
            log::error!("metrics could not be rendered: {error}");
        }
        metrics
    }
}
