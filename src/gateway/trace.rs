//! What is known of one request while it runs, for operators.

use std::cell::{Cell, OnceCell};
use std::rc::Rc;

use prometheus_client::metrics::counter::Counter;

use crate::clock;
use crate::gateway::dialect;
use crate::gateway::shared::Shared;

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
    route: OnceCell<Rc<dialect::Route>>,
    /// Whether the request was found to be without fault.
    sound: Cell<bool>,
}

impl Trace {
    /// Returns the trace of a request that was read at `start`.
    pub(crate) fn new(start: clock::Millis) -> Self {
        Self {
            start,
            route: OnceCell::new(),
            sound: Cell::new(false),
        }
    }

    /// Takes note of the route.
    pub(crate) fn on_route(&self, route: &Rc<dialect::Route>) {
        // A request has one route, so that it is set once.
        let _ = self.route.set(Rc::clone(route));
    }

    /// Takes note that the request was read and has no fault.
    pub(crate) fn on_read(&self) {
        self.sound.set(true);
    }

    fn outcome(&self, status: http::StatusCode) -> Outcome {
        match Outcome::of(status) {
            Outcome::Answered if !self.sound.get() => Outcome::Faulty,
            outcome => outcome,
        }
    }
}

/// Takes note of an answer that ends early, after its head was sent.
pub(crate) struct Cut(Option<Counter>);

impl Cut {
    pub(crate) fn record(&self) {
        if let Some(counter) = &self.0 {
            counter.inc();
        }
    }
}

impl Shared {
    /// Takes note of a request whose answer's head is about to be sent.
    pub(crate) fn on_response(&self, trace: &Trace, status: http::StatusCode) {
        self.on_end(trace, trace.outcome(status));
    }

    /// Takes note of a request whose caller left.
    pub(crate) fn on_abandoned(&self, trace: &Trace) {
        self.on_end(trace, Outcome::Abandoned);
    }

    fn on_end(&self, trace: &Trace, outcome: Outcome) {
        let Some(route) = trace.route.get() else {
            return;
        };
        let time = clock::now().since(trace.start);
        self.counters.on_request(&route.name, outcome, time);
    }

    /// Returns what to tell if the answer of a request ends early.
    pub(crate) fn watch_cut(&self, trace: &Trace) -> Cut {
        let route = trace.route.get();
        Cut(route.and_then(|route| self.counters.cut_of(&route.name)))
    }
}
