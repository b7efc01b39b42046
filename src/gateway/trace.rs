//! What is known of one request while it runs, for operators.

use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;
use std::time::SystemTime;

use prometheus_client::metrics::counter::Counter;

use crate::clock;
use crate::gateway::burn;
use crate::gateway::catalog;
use crate::gateway::choice;
use crate::gateway::dialect;
use crate::gateway::exchange;
use crate::gateway::history;
use crate::gateway::recent;
use crate::gateway::shared::Shared;
use crate::model;

/// How a request ended, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A target's answer was passed on.
    Answered,
    /// Refused; nothing ran.
    Refused,
    /// It may have run.
    Unknown,
    /// The caller left before the answer.
    Abandoned,
    /// The answer ended early; it was counted as answered before.
    Cut,
    /// Refused because the request itself is faulty.
    Faulty,
}

impl Outcome {
    /// All outcomes, in the order of their numbers.
    pub const ALL: [Self; 6] = [
        Self::Answered,
        Self::Refused,
        Self::Unknown,
        Self::Abandoned,
        Self::Cut,
        Self::Faulty,
    ];

    /// Returns the name that operators see.
    pub fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
            Self::Abandoned => "abandoned",
            Self::Cut => "cut",
            Self::Faulty => "faulty",
        }
    }

    /// Returns what an answer's status says. 503 is sent only if nothing ran,
    /// and a target's failure is passed on with a status from 500 on.
    fn of(status: http::StatusCode) -> Self {
        match status {
            http::StatusCode::SERVICE_UNAVAILABLE => Self::Refused,
            status if status.is_server_error() => Self::Unknown,
            _ => Self::Answered,
        }
    }
}

/// One request in progress.
#[derive(Debug)]
pub(crate) struct Trace {
    start: clock::Millis,
    head: OnceCell<Head>,
    /// Whether the request was found to be without fault.
    sound: Cell<bool>,
    attempts: RefCell<Vec<Attempt>>,
    /// Attempts that are not kept.
    more: Cell<u64>,
}

/// What is known once the route is.
#[derive(Debug)]
struct Head {
    route: Rc<dialect::Route>,
    request: Option<http::HeaderValue>,
}

/// One attempt that has ended.
#[derive(Debug)]
struct Attempt {
    life: choice::Life,
    begin: clock::Millis,
    time: u64,
    end: choice::End,
}

fn end_label(end: choice::End) -> &'static str {
    match end {
        choice::End::Answered(_) => "answered",
        choice::End::Refused => "refused",
        choice::End::Failed => "failed",
        choice::End::Unreachable => "unreachable",
        choice::End::Abandoned => "given_up",
    }
}

impl Trace {
    /// Returns the trace of a request that was read at `start`.
    pub(crate) fn new(start: clock::Millis) -> Self {
        Self {
            start,
            head: OnceCell::new(),
            sound: Cell::new(false),
            attempts: RefCell::default(),
            more: Cell::new(0),
        }
    }

    /// Takes note of the route, and of the identifier that the caller set.
    pub(crate) fn on_route(&self, route: &Rc<dialect::Route>, request: Option<&http::HeaderValue>) {
        // A request has one route, so that it is set once.
        let _ = self.head.set(Head {
            route: Rc::clone(route),
            request: request.cloned(),
        });
    }

    /// Takes note that the request was read and has no fault.
    pub(crate) fn on_read(&self) {
        self.sound.set(true);
    }

    /// Takes note of an attempt that began at `begin` and ends now.
    pub(crate) fn on_attempt(&self, life: &choice::Life, begin: clock::Millis, end: choice::End) {
        let mut attempts = self.attempts.borrow_mut();
        if attempts.len() == recent::ATTEMPTS {
            return self.more.set(self.more.get() + 1);
        }
        attempts.push(Attempt {
            life: life.clone(),
            begin,
            time: clock::now().since(begin),
            end,
        });
    }

    fn outcome(&self, status: http::StatusCode) -> Outcome {
        match Outcome::of(status) {
            Outcome::Answered if !self.sound.get() => Outcome::Faulty,
            outcome => outcome,
        }
    }

    /// Returns the request for operators, after `ms` milliseconds.
    fn entry(&self, head: &Head, outcome: &str, ms: u64) -> recent::Entry {
        let request = head.request.as_ref().map(http::HeaderValue::as_bytes);
        let request = String::from_utf8_lossy(request.unwrap_or_default());
        let time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let attempts = self.attempts.borrow();
        let attempts = attempts.iter().map(|attempt| recent::Attempt {
            target: attempt.life.target.clone(),
            birth: attempt.life.birth,
            start_ms: attempt.begin.since(self.start),
            ms: attempt.time,
            outcome: end_label(attempt.end).to_owned(),
        });
        recent::Entry {
            request: request.into_owned(),
            time: time.map_or(0, |time| time.as_millis() as u64),
            version: None,
            route: head.route.name.to_string(),
            outcome: outcome.to_owned(),
            status: None,
            reason: String::new(),
            ms,
            attempts: attempts.collect(),
            more: self.more.get(),
        }
    }
}

/// Returns the daemon's own words in a refusal. Answers of targets are not kept.
fn reason(outcome: Outcome, body: &exchange::Body) -> String {
    match (outcome, body) {
        (Outcome::Refused | Outcome::Faulty, exchange::Body::Whole(Some(text))) => {
            String::from_utf8_lossy(text).trim_end().to_owned()
        }
        _ => String::new(),
    }
}

/// Takes note of an answer that ends early, after its head was sent.
pub(crate) struct Cut {
    counter: Option<Counter>,
    recent: Rc<recent::Ring>,
    burn: Rc<burn::Table>,
    trace: Rc<Trace>,
}

impl Cut {
    pub(crate) fn record(&self) {
        let Some(head) = self.trace.head.get() else {
            return;
        };
        let now = clock::now();
        let ms = now.since(self.trace.start);
        let outcome = Outcome::Cut;
        self.recent.add(self.trace.entry(head, outcome.label(), ms));
        self.burn.record(&head.route, outcome, ms, now);
        if let Some(counter) = &self.counter {
            counter.inc();
        }
    }
}

impl Shared {
    /// Takes note of a configuration that is about to be in effect.
    pub(crate) fn on_configuration(&self, offset: model::Offset, catalog: &catalog::Catalog) {
        let version = catalog.version();
        let event = history::Event::Configuration { version };
        self.history.add(clock::now(), Some(offset), event);
        self.counters.set_routes(catalog);
        self.burn.set_routes(catalog);
    }

    /// Takes note of a request whose answer's head is about to be sent.
    pub(crate) fn on_response(&self, trace: &Trace, response: &http::Response<exchange::Body>) {
        let outcome = trace.outcome(response.status());
        self.on_end(trace, outcome, Some(response));
    }

    /// Takes note of a request whose caller left.
    pub(crate) fn on_abandoned(&self, trace: &Trace) {
        self.on_end(trace, Outcome::Abandoned, None);
    }

    fn on_end(
        &self,
        trace: &Trace,
        outcome: Outcome,
        response: Option<&http::Response<exchange::Body>>,
    ) {
        let Some(head) = trace.head.get() else {
            return;
        };
        let now = clock::now();
        let ms = now.since(trace.start);
        self.counters.on_request(&head.route.name, outcome, ms);
        self.burn.record(&head.route, outcome, ms, now);
        let late = outcome == Outcome::Answered && ms > head.route.objective;
        if outcome == Outcome::Answered && !late {
            return;
        }
        let label = if late { "late" } else { outcome.label() };
        let catalog = self.catalog.borrow();
        self.recent.add(recent::Entry {
            version: catalog.as_ref().map(|catalog| catalog.version()),
            status: response.map(|response| response.status().as_u16()),
            reason: response.map_or_else(String::new, |r| reason(outcome, r.body())),
            ..trace.entry(head, label, ms)
        });
    }

    /// Returns what to tell if the answer of a request ends early.
    pub(crate) fn watch_cut(&self, trace: &Rc<Trace>) -> Cut {
        let head = trace.head.get();
        Cut {
            counter: head.and_then(|head| self.counters.cut_of(&head.route.name)),
            recent: Rc::clone(&self.recent),
            burn: Rc::clone(&self.burn),
            trace: Rc::clone(trace),
        }
    }
}
