//! Trace of one request, from which metrics and operators' pages are filled.

use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;
use std::time::SystemTime;

use prometheus_client::metrics::counter::Counter;

use crate::clock;
use crate::gateway::adapter;
use crate::gateway::burn;
use crate::gateway::catalog;
use crate::gateway::choice;
use crate::gateway::exchange;
use crate::gateway::history;
use crate::gateway::notices;
use crate::gateway::recent;
use crate::gateway::shared::Shared;
use crate::model;

/// Outcome of a request, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A target's response was forwarded.
    Answered,
    /// The request was refused without being run.
    Refused,
    /// The outcome is unknown: the request may have run.
    Unknown,
    /// The caller disconnected before the response.
    Abandoned,
    /// The response body ended early. The request was counted by the status of its
    /// head before.
    Truncated,
    /// The request was refused because it is faulty itself.
    Faulty,
}

impl Outcome {
    /// All outcomes, in the order of their discriminants.
    pub const ALL: [Self; 6] = [
        Self::Answered,
        Self::Refused,
        Self::Unknown,
        Self::Abandoned,
        Self::Truncated,
        Self::Faulty,
    ];

    /// Returns the label in metrics and operators' pages.
    pub fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
            Self::Abandoned => "abandoned",
            Self::Truncated => "cut",
            Self::Faulty => "faulty",
        }
    }

    /// Returns the outcome that a response's status stands for. Status 503 is sent
    /// only if nothing ran, and a target's failure is forwarded with a status of at
    /// least 500.
    fn from_status(status: http::StatusCode) -> Self {
        match status {
            http::StatusCode::SERVICE_UNAVAILABLE => Self::Refused,
            status if status.is_server_error() => Self::Unknown,
            _ => Self::Answered,
        }
    }
}

/// Trace of one request in progress.
#[derive(Debug)]
pub(crate) struct Trace {
    start: clock::Millis,
    head: OnceCell<Head>,
    /// Whether the request was read and found valid.
    valid: Cell<bool>,
    attempts: RefCell<Vec<Attempt>>,
    /// The last reason, said by a target of itself, why it did not get the request.
    notice: Cell<Option<notices::Reason>>,
    /// Number of attempts beyond those that are kept.
    dropped: Cell<u64>,
}

/// Properties of a request that its head determines.
#[derive(Debug)]
struct Head {
    route: Rc<adapter::Route>,
    /// Identifier that the caller sent.
    request: Option<http::HeaderValue>,
}

/// One attempt that has ended.
#[derive(Debug)]
struct Attempt {
    instance: choice::Instance,
    start: clock::Millis,
    duration_ms: u64,
    end: choice::AttemptOutcome,
}

/// Returns the label of an attempt's outcome on operators' pages.
fn end_label(end: choice::AttemptOutcome) -> &'static str {
    match end {
        choice::AttemptOutcome::Answered(_) => "answered",
        choice::AttemptOutcome::Refused => "refused",
        choice::AttemptOutcome::Failed => "failed",
        choice::AttemptOutcome::Unreachable => "unreachable",
        choice::AttemptOutcome::Abandoned => "given_up",
    }
}

impl Trace {
    /// Returns the trace of a request that arrived at `start`.
    pub(crate) fn new(start: clock::Millis) -> Self {
        Self {
            start,
            head: OnceCell::new(),
            valid: Cell::new(false),
            attempts: RefCell::default(),
            notice: Cell::new(None),
            dropped: Cell::new(0),
        }
    }

    /// Records the request's route, and the identifier that the caller sent.
    pub(crate) fn on_route(&self, route: &Rc<adapter::Route>, request: Option<&http::HeaderValue>) {
        // Never fails: the route of a request is determined only once.
        let _ = self.head.set(Head {
            route: Rc::clone(route),
            request: request.cloned(),
        });
    }

    /// Records that the request was read and is valid.
    pub(crate) fn on_read(&self) {
        self.valid.set(true);
    }

    /// Records an attempt that began at `start` and ends now. Of attempts beyond the
    /// limit, only the number is kept.
    pub(crate) fn on_attempt(
        &self,
        instance: &choice::Instance,
        start: clock::Millis,
        end: choice::AttemptOutcome,
    ) {
        let mut attempts = self.attempts.borrow_mut();
        if attempts.len() == recent::MAX_ATTEMPTS {
            return self.dropped.set(self.dropped.get() + 1);
        }
        attempts.push(Attempt {
            instance: instance.clone(),
            start,
            duration_ms: clock::now().since(start),
            end,
        });
    }

    /// Records why a target did not get the request, if it said so of itself.
    pub(crate) fn on_notice(&self, notice: Option<notices::Reason>) {
        self.notice.set(notice.or(self.notice.get()));
    }

    /// Returns the last reason, said by a target of itself, why it did not get the request.
    pub(crate) fn notice(&self) -> Option<notices::Reason> {
        self.notice.get()
    }

    /// Returns the outcome of the request for a response with `status`.
    fn outcome(&self, status: http::StatusCode) -> Outcome {
        match Outcome::from_status(status) {
            Outcome::Answered if !self.valid.get() => Outcome::Faulty,
            outcome => outcome,
        }
    }

    /// Returns the entry of a request that ends now, `ms` milliseconds after its start.
    fn entry(&self, head: &Head, outcome: &str, ms: u64) -> recent::Entry {
        let request = head.request.as_ref().map(http::HeaderValue::as_bytes);
        let request = String::from_utf8_lossy(request.unwrap_or_default());
        let time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let attempts = self.attempts.borrow();
        let attempts = attempts.iter().map(|attempt| recent::Attempt {
            target: attempt.instance.target.clone(),
            birth: attempt.instance.birth,
            start_ms: attempt.start.since(self.start),
            ms: attempt.duration_ms,
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
            dropped_attempts: self.dropped.get(),
        }
    }
}

/// Returns the reason that the daemon itself gave for a refusal, or an empty string.
/// Bodies of targets' responses are not kept.
/// What a target said of itself is added, if it did not get the request for that.
fn refusal_reason(trace: &Trace, outcome: Outcome, body: &exchange::Body) -> String {
    match (outcome, body) {
        (Outcome::Refused | Outcome::Faulty, exchange::Body::Whole(Some(text))) => {
            let reason = String::from_utf8_lossy(text).trim_end().to_owned();
            match trace.notice() {
                Some(notice) => format!("{reason}: {notice}"),
                None => reason,
            }
        }
        _ => String::new(),
    }
}

/// Records a response that ends early, after its head was sent.
pub(crate) struct TruncationRecorder {
    counter: Option<Counter>,
    kind_counter: Option<Counter>,
    recent: Rc<recent::Ring>,
    burn: Rc<burn::Table>,
    trace: Rc<Trace>,
}

impl TruncationRecorder {
    /// Records in the metrics and pages that the response ends now, before its body is
    /// complete.
    pub(crate) fn record(&self) {
        let Some(head) = self.trace.head.get() else {
            return;
        };
        let now = clock::now();
        let ms = now.since(self.trace.start);
        let outcome = Outcome::Truncated;
        self.recent.add(self.trace.entry(head, outcome.label(), ms));
        self.burn.record(&head.route, outcome, ms, now);
        for counter in self.counter.iter().chain(&self.kind_counter) {
            counter.inc();
        }
    }
}

impl Shared {
    /// Records a configuration that is about to take effect.
    pub(crate) fn on_configuration(&self, offset: model::Offset, catalog: &catalog::Catalog) {
        let version = catalog.version();
        let event = history::Event::Configuration { version };
        self.history.add(clock::now(), Some(offset), event);
        self.counters.set_routes(catalog);
        self.burn.set_routes(catalog);
    }

    /// Records a request whose response head is about to be sent.
    pub(crate) fn on_response(&self, trace: &Trace, response: &http::Response<exchange::Body>) {
        let outcome = trace.outcome(response.status());
        self.on_end(trace, outcome, Some(response));
    }

    /// Records a request whose caller disconnected before the response.
    pub(crate) fn on_abandoned(&self, trace: &Trace) {
        self.on_end(trace, Outcome::Abandoned, None);
    }

    /// Records the end of a request in the metrics, and in the recent requests unless it
    /// was answered in time. Requests without a route are not recorded.
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
        self.counters.on_kind(head.route.kind, outcome);
        self.burn.record(&head.route, outcome, ms, now);
        let late = outcome == Outcome::Answered && ms > head.route.objective_ms;
        if outcome == Outcome::Answered && !late {
            return;
        }
        let label = if late { "late" } else { outcome.label() };
        let catalog = self.catalog.borrow();
        self.recent.add(recent::Entry {
            version: catalog.as_ref().map(|catalog| catalog.version()),
            status: response.map(|response| response.status().as_u16()),
            reason: response.map_or_else(String::new, |r| refusal_reason(trace, outcome, r.body())),
            ..trace.entry(head, label, ms)
        });
    }

    /// Returns the recorder to call if the response to a request ends early.
    pub(crate) fn truncation_recorder(&self, trace: &Rc<Trace>) -> TruncationRecorder {
        let head = trace.head.get();
        TruncationRecorder {
            counter: head.and_then(|head| self.counters.truncated_counter(&head.route.name)),
            kind_counter: head.map(|head| {
                let kind = head.route.kind;
                self.counters.kind_counter(kind, Outcome::Truncated)
            }),
            recent: Rc::clone(&self.recent),
            burn: Rc::clone(&self.burn),
            trace: Rc::clone(trace),
        }
    }
}
