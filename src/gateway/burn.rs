//! Service-level burn of each route at this daemon. A route counts as a service
//! of its own, with its latency objective.

use std::cell::RefCell;
use std::collections::HashMap;
use std::ops::AddAssign;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::burn::{self, report};
use crate::clock;
use crate::gateway::catalog;
use crate::gateway::dialect;
use crate::gateway::trace::Outcome;
use crate::model;

/// Windows of the counts by class, in milliseconds.
const WINDOWS: [u64; 2] = [60_000, 300_000];

/// Buckets of the counts by class: the longest window, and the bucket that is
/// not complete yet.
const KEPT: u64 = WINDOWS[1] / burn::FINE + 1;

/// Requests of one route by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Classes {
    /// Answered within the route's latency objective.
    pub met: u64,
    /// Answered later, or left by the caller after the objective.
    pub late: u64,
    /// Refused, not run.
    pub refused: u64,
    /// May have run, or an answer that ended early.
    pub failed: u64,
}

impl AddAssign for Classes {
    fn add_assign(&mut self, other: Self) {
        self.met += other.met;
        self.late += other.late;
        self.refused += other.refused;
        self.failed += other.failed;
    }
}

impl Classes {
    /// Returns how a request that ended after `ms` milliseconds counts, if it
    /// does: a faulty request says nothing of the service, nor does a caller
    /// that leaves early.
    fn of(outcome: Outcome, ms: u64, objective: u64) -> Option<Self> {
        let mut classes = Self::default();
        let class = match outcome {
            Outcome::Answered if ms <= objective => &mut classes.met,
            Outcome::Answered => &mut classes.late,
            Outcome::Abandoned if ms > objective => &mut classes.late,
            Outcome::Refused => &mut classes.refused,
            Outcome::Unknown | Outcome::Cut => &mut classes.failed,
            Outcome::Abandoned | Outcome::Faulty => return None,
        };
        *class = 1;
        Some(classes)
    }
}

/// Counts of one route over one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Window {
    /// Length in milliseconds.
    pub window_ms: u64,
    /// Requests by how they ended.
    pub requests: Classes,
}

/// Counts of one route over the last minutes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name.
    pub route: String,
    /// Latency objective in milliseconds.
    pub objective_ms: u64,
    /// Counts, the shortest window first.
    pub windows: Vec<Window>,
}

/// Burn of all routes of one daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Page {
    /// Burn rates, each route as a service.
    #[serde(flatten)]
    pub report: report::Report,
    /// The last minutes; empty in the report of the other mode.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub routes: Vec<Route>,
}

impl Page {
    /// Returns the page without the series that only plots need: while they are
    /// written, the daemon's one thread serves no request.
    pub fn without_series(mut self) -> Self {
        for service in &mut self.report.services {
            service.fine.buckets.clear();
            service.coarse.buckets.clear();
        }
        self
    }
}

#[derive(Debug)]
struct Counted {
    service: model::ServiceName,
    objective: u64,
    classes: burn::Buckets<Classes>,
}

/// Counts of the routes of the configuration in effect.
#[derive(Debug)]
pub struct Table {
    routes: RefCell<HashMap<Arc<str>, Counted>>,
    services: burn::Table,
}

impl Table {
    /// Returns a table without counts of a daemon that started at `now`.
    pub fn new(now: clock::Millis) -> Self {
        Self {
            routes: RefCell::default(),
            services: burn::Table::new(now),
        }
    }

    /// Takes the routes of a new configuration; counts of routes that it lacks
    /// are dropped, those of the others go on.
    pub fn set_routes(&self, catalog: &catalog::Catalog) {
        let mut routes = self.routes.borrow_mut();
        routes.retain(|name, _| catalog.routes().any(|route| route.name == *name));
        for route in catalog.routes() {
            let counted = routes
                .entry(Arc::clone(&route.name))
                .or_insert_with(|| Counted {
                    service: model::ServiceName::from(&*route.name),
                    objective: route.objective,
                    classes: burn::Buckets::new(burn::FINE, KEPT),
                });
            counted.objective = route.objective;
        }
        self.services
            .retain(|service| routes.contains_key(service.as_str()));
    }

    /// Counts a request that ended at `now`, after `ms` milliseconds. One whose
    /// route no longer exists is left out.
    pub fn record(&self, route: &dialect::Route, outcome: Outcome, ms: u64, now: clock::Millis) {
        let mut routes = self.routes.borrow_mut();
        let classes = Classes::of(outcome, ms, route.objective);
        let (Some(counted), Some(classes)) = (routes.get_mut(&route.name), classes) else {
            return;
        };
        counted.classes.add(now, classes);
        let good = classes.met > 0;
        self.services.record(&counted.service, good, now);
    }

    /// Returns the burn at `now` for a daemon on `host`, if `slo_ppm` millionths
    /// of the requests must be good.
    ///
    /// Its series have up to 1,226 buckets a route; see [`Page::without_series`].
    pub fn page(&self, host: &model::HostName, slo_ppm: u32, now: clock::Millis) -> Page {
        let routes = self.routes.borrow();
        let reply = self.services.reply(host, now);
        let services = reply.services.into_iter().filter_map(|service| {
            let objective = report::Objective {
                slo_ms: routes.get(service.service.as_str())?.objective,
                slo_ppm,
            };
            let burn::Counted {
                service,
                fine,
                coarse,
            } = service;
            Some(report::Service::new(service, objective, fine, coarse))
        });
        let mut lines: Vec<_> = routes.values().map(|route| line(route, now)).collect();
        lines.sort_by(|a, b| a.route.cmp(&b.route));
        Page {
            report: report::Report {
                services: services.collect(),
                covered: vec![(reply.host, reply.covered_ms)],
                silent: Vec::new(),
            },
            routes: lines,
        }
    }
}

fn line(route: &Counted, now: clock::Millis) -> Route {
    let buckets = route.classes.by_age(now);
    let window = |window_ms: u64| {
        let mut requests = Classes::default();
        let count = (window_ms / burn::FINE) as usize + 1;
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
        objective_ms: route.objective,
        windows: WINDOWS.map(window).into(),
    }
}
