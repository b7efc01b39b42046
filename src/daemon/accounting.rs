//! Metrics, log lines and recent-request entries of callers' requests that have
//! ended.

use std::sync::Arc;
use std::time::Duration;

use crate::clock;
use crate::daemon::delivery;
use crate::metrics;
use crate::server;
use crate::state;
use crate::tables::{self, requests};

/// Result of a caller's request or of one attempt.
pub(super) type CallResult = Result<server::Response, server::Refusal>;

/// Outcome of a request.
#[derive(Clone, Copy)]
pub(super) enum RequestOutcome<'a> {
    /// The whole answer was passed on.
    Answered,
    /// The answer was cut off after a number of bytes.
    Truncated(delivery::Cut, u64),
    /// The caller got a refusal.
    Refused(&'a server::Refusal),
}

impl<'a> From<&'a CallResult> for RequestOutcome<'a> {
    fn from(result: &'a CallResult) -> Self {
        match result {
            Ok(_) => Self::Answered,
            Err(refusal) => Self::Refused(refusal),
        }
    }
}

impl RequestOutcome<'_> {
    /// Returns outcome and reason as metrics, logs and the list of recent
    /// requests show them.
    pub(super) fn labels(self) -> (&'static str, &'static str) {
        match self {
            Self::Answered => ("ok", ""),
            Self::Truncated(cut, _) => ("cut", cut.as_str()),
            Self::Refused(refusal) => (refusal.outcome.as_str(), refusal.reason.as_str()),
        }
    }

    /// Returns whether the request counts for the service's objective. It does
    /// not if the caller's request was faulty, or the caller cancelled it or
    /// disconnected.
    fn is_objective_relevant(self) -> bool {
        use server::Reason::{Cancelled, Malformed, TooLarge, TooSlow};
        match self {
            Self::Answered => true,
            Self::Truncated(cut, _) => cut != delivery::Cut::CallerLeft,
            Self::Refused(refusal) => {
                !matches!(refusal.reason, Cancelled | Malformed | TooLarge | TooSlow)
            }
        }
    }

    fn detail(self) -> String {
        match self {
            Self::Answered => String::new(),
            Self::Truncated(cut, bytes) => format!("{cut}, after {bytes} bytes"),
            Self::Refused(refusal) => refusal.detail.clone(),
        }
    }
}

/// Data of a request whose response's head is ready, kept for its accounting at
/// the end of the body.
pub(super) struct Account {
    pub(super) shared: Arc<tables::Shared>,
    pub(super) request: Arc<server::Request>,
    pub(super) id: Arc<str>,
    pub(super) service: Option<Arc<state::Service>>,
    /// Time from the start of handling until the response's head was ready.
    pub(super) elapsed: Duration,
    pub(super) trace: requests::Trace,
}

impl Account {
    /// Returns the response. Accounts for the request when the response's body has
    /// ended.
    pub(super) fn finish_with(self, result: CallResult) -> server::Response {
        match result {
            Ok(response) => {
                let token = self.request.token.clone();
                delivery::follow(response, &token, move |result, bytes| match result {
                    Ok(()) => self.finish(RequestOutcome::Answered),
                    Err(cut) => self.finish(RequestOutcome::Truncated(cut, bytes)),
                })
            }
            Err(refusal) => {
                self.finish(RequestOutcome::Refused(&refusal));
                refusal.into()
            }
        }
    }

    fn finish(self, ending: RequestOutcome<'_>) {
        self.count(ending);
        self.log(ending);
        self.record(ending);
    }

    fn service_name(&self) -> &str {
        self.service
            .as_ref()
            .map_or("", |service| service.name.as_str())
    }

    fn is_slow(&self) -> bool {
        let slow = |service: &state::Service| self.elapsed > clock::duration(service.slo_ms);
        self.service.as_deref().is_some_and(slow)
    }

    fn count(&self, ending: RequestOutcome<'_>) {
        let (outcome, reason) = ending.labels();
        let service = self.service_name().to_owned();
        let labels = metrics::Outcome {
            service: service.clone(),
            outcome,
            reason,
        };
        let metrics = &self.shared.metrics;
        metrics.requests.get_or_create(&labels).inc();
        let latency = metrics.latency.get_or_create(&metrics::Service { service });
        latency.observe(self.elapsed.as_secs_f64());
        if let Some(service) = &self.service
            && ending.is_objective_relevant()
        {
            let good = matches!(ending, RequestOutcome::Answered) && !self.is_slow();
            self.shared.burn.record(&service.name, good, clock::now());
        }
    }

    fn log(&self, ending: RequestOutcome<'_>) {
        let (id, name) = (&*self.id, self.service_name());
        let (outcome, reason) = ending.labels();
        if let RequestOutcome::Truncated(cut, bytes) = ending {
            let level = match cut {
                delivery::Cut::CallerLeft => log::Level::Info,
                _ => log::Level::Warn,
            };
            log::log!(
                level, request_id = id, service = name, reason = reason, bytes = bytes;
                "an answer was cut off: {cut}"
            );
        }
        let refused = matches!(ending, RequestOutcome::Refused(_));
        if self.shared.settings.logs.requests || (refused && log::log_enabled!(log::Level::Debug)) {
            log::info!(
                request_id = id, service = name, outcome = outcome, reason = reason,
                micros = self.elapsed.as_micros() as u64, method = self.request.method.as_str();
                "request ended"
            );
        }
    }

    fn record(self, ending: RequestOutcome<'_>) {
        let slow = self.is_slow();
        let is_notable =
            slow || !matches!(ending, RequestOutcome::Answered) || self.trace.count() > 1;
        if !self.shared.recent.wants(is_notable) {
            return;
        }
        let (outcome, reason) = ending.labels();
        let entry = requests::Entry {
            id: self.id.to_string(),
            service: self.service_name().to_owned(),
            method: self.request.method.to_string(),
            outcome: outcome.to_owned(),
            reason: reason.to_owned(),
            detail: ending.detail(),
            micros: self.elapsed.as_micros() as u64,
            slow,
            tries: 0,
            attempts: Vec::new(),
            next: self.shared.journal.state().next,
        };
        let mut trace = self.trace;
        if matches!(ending, RequestOutcome::Truncated(..)) {
            trace.amend(outcome, reason);
        }
        self.shared.recent.add(entry, trace);
    }
}
