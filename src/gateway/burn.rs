//! Service-level burn of each route at this daemon. Each route is reported as a
//! service of its own, with its own latency objective.

use std::cell::RefCell;
use std::collections::HashMap;
use std::ops::AddAssign;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::burn::{self, report};
use crate::clock;
use crate::gateway::adapter;
use crate::gateway::catalog;
use crate::gateway::trace::Outcome;
use crate::model;

/// Windows of the counts by class, in milliseconds, the shortest first.
const WINDOWS_MS: [u64; 2] = [60_000, 300_000];

/// Number of buckets of the counts by class: the longest window, and the bucket
/// that is not complete yet.
const BUCKETS: u64 = WINDOWS_MS[1] / burn::FINE_WIDTH_MS + 1;

/// Number of requests of one route by class of outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeCounts {
    /// Answered within the route's latency objective.
    pub met: u64,
    /// Answered after the objective, or abandoned by the caller after it.
    pub late: u64,
    /// Refused without being run.
    pub refused: u64,
    /// Without a known outcome, so that they may have run, or with a response
    /// that ended before its body was complete.
    pub failed: u64,
}

impl AddAssign for OutcomeCounts {
    fn add_assign(&mut self, other: Self) {
        self.met += other.met;
        self.late += other.late;
        self.refused += other.refused;
        self.failed += other.failed;
    }
}

impl OutcomeCounts {
    /// Returns a count of one in the class of a request that ended after `ms`
    /// milliseconds, for an objective of `objective_ms` milliseconds.
    ///
    /// Returns `None` for a faulty request, or one that its caller abandoned
    /// within the objective: neither says anything about the service.
    fn classify(outcome: Outcome, ms: u64, objective_ms: u64) -> Option<Self> {
        let mut classes = Self::default();
        let class = match outcome {
            Outcome::Answered if ms <= objective_ms => &mut classes.met,
            Outcome::Answered => &mut classes.late,
            Outcome::Abandoned if ms > objective_ms => &mut classes.late,
            Outcome::Refused => &mut classes.refused,
            Outcome::Unknown | Outcome::Truncated => &mut classes.failed,
            Outcome::Abandoned | Outcome::Faulty => return None,
        };
        *class = 1;
        Some(classes)
    }
}

/// Request counts of one route over one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Window {
    /// Length of the window in milliseconds.
    pub window_ms: u64,
    /// Requests by class of outcome.
    pub requests: OutcomeCounts,
}

/// Request counts of one route over the last minutes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub route: String,
    /// Latency objective in milliseconds.
    pub objective_ms: u64,
    /// Request counts, the shortest window first.
    pub windows: Vec<Window>,
}

/// Service-level burn of all routes of one daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Page {
    /// Burn rates, with each route as a service.
    #[serde(flatten)]
    pub report: report::Report,
    /// Counts of the last minutes, sorted by name of route. Daemons that are not
    /// gateways serve reports without them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub routes: Vec<Route>,
}

impl Page {
    /// Returns the page without the series, which only plots need. The daemon has
    /// one thread, which serves no requests while it encodes them.
    pub fn without_series(mut self) -> Self {
        for service in &mut self.report.services {
            service.fine.buckets.clear();
            service.coarse.buckets.clear();
        }
        self
    }
}

/// Counts of one route, and the name under which it is reported as a service.
#[derive(Debug)]
struct RouteCounts {
    service: model::ServiceName,
    objective_ms: u64,
    classes: burn::Buckets<OutcomeCounts>,
}

/// Request counts of the routes of the configuration in effect.
#[derive(Debug)]
pub struct Table {
    routes: RefCell<HashMap<Arc<str>, RouteCounts>>,
    services: burn::Table,
}

impl Table {
    /// Returns an empty table for a daemon that started at `now`.
    pub fn new(now: clock::Millis) -> Self {
        Self {
            routes: RefCell::default(),
            services: burn::Table::new(now),
        }
    }

    /// Replaces the routes by those of a new configuration. Counts of routes that
    /// exist in both are kept, the others are dropped.
    pub fn set_routes(&self, catalog: &catalog::Catalog) {
        let mut routes = self.routes.borrow_mut();
        routes.retain(|name, _| catalog.routes().any(|route| route.name == *name));
        for route in catalog.routes() {
            let counts = routes
                .entry(Arc::clone(&route.name))
                .or_insert_with(|| RouteCounts {
                    service: model::ServiceName::from(&*route.name),
                    objective_ms: route.objective_ms,
                    classes: burn::Buckets::new(burn::FINE_WIDTH_MS, BUCKETS),
                });
            counts.objective_ms = route.objective_ms;
        }
        self.services
            .retain(|service| routes.contains_key(service.as_str()));
    }

    /// Counts a request that ended at `now`, after `ms` milliseconds. Requests of
    /// routes that no longer exist are ignored.
    pub fn record(&self, route: &adapter::Route, outcome: Outcome, ms: u64, now: clock::Millis) {
        let mut routes = self.routes.borrow_mut();
        let classes = OutcomeCounts::classify(outcome, ms, route.objective_ms);
        let (Some(counts), Some(classes)) = (routes.get_mut(&route.name), classes) else {
            return;
        };
        counts.classes.add(now, classes);
        let good = classes.met > 0;
        self.services.record(&counts.service, good, now);
    }

    /// Returns the burn at `now` of the daemon on `host`, for an objective by which
    /// `slo_ppm` millionths of the requests must be good.
    ///
    /// The series have up to 1,226 buckets a route; see [`Page::without_series`].
    pub fn page(&self, host: &model::HostName, slo_ppm: u32, now: clock::Millis) -> Page {
        let routes = self.routes.borrow();
        let reply = self.services.reply(host, now);
        let services = reply.services.into_iter().filter_map(|service| {
            let objective = report::Objective {
                slo_ms: routes.get(service.service.as_str())?.objective_ms,
                slo_ppm,
            };
            let burn::Counted {
                service,
                fine,
                coarse,
            } = service;
            Some(report::Service::new(service, objective, fine, coarse))
        });
        let mut page_routes: Vec<_> = routes.values().map(|route| summary(route, now)).collect();
        page_routes.sort_by(|a, b| a.route.cmp(&b.route));
        Page {
            report: report::Report {
                services: services.collect(),
                covered: vec![(reply.host, reply.covered_ms)],
                silent: Vec::new(),
            },
            routes: page_routes,
        }
    }
}

/// Returns the counts of one route over each window.
fn summary(route: &RouteCounts, now: clock::Millis) -> Route {
    let buckets = route.classes.by_age(now);
    let window = |window_ms: u64| {
        let mut requests = OutcomeCounts::default();
        let count = (window_ms / burn::FINE_WIDTH_MS) as usize + 1;
        for bucket in buckets.iter().take(count) {
            requests += *bucket;
        }
        Window {
            window_ms,
            requests,
        }
    };
    Route {
        route: route.service.to_string(),
        objective_ms: route.objective_ms,
        windows: WINDOWS_MS.map(window).into(),
    }
}
