//! What is counted, logged and kept of a caller's request that has ended.

use std::sync::Arc;
use std::time::Duration;

use crate::clock;
use crate::daemon::delivery;
use crate::metrics;
use crate::server;
use crate::state;
use crate::tables::{self, requests};

/// Result of a caller's request or of one attempt.
pub(super) type Answered = Result<server::Response, server::Refusal>;

/// How a request ended.
#[derive(Clone, Copy)]
pub(super) enum End<'a> {
    /// With an answer.
    Answered,
    /// With an answer that was cut off after a number of bytes.
    Cut(delivery::Cut, u64),
    /// With a refusal.
    Refused(&'a server::Refusal),
}

impl<'a> From<&'a Answered> for End<'a> {
    fn from(result: &'a Answered) -> Self {
        match result {
            Ok(_) => Self::Answered,
            Err(refusal) => Self::Refused(refusal),
        }
    }
}

impl End<'_> {
    /// Returns outcome and reason as metrics, logs and lists name them.
    pub(super) fn names(self) -> (&'static str, &'static str) {
        match self {
            Self::Answered => ("ok", ""),
            Self::Cut(cut, _) => ("cut", cut.as_str()),
            Self::Refused(refusal) => (refusal.outcome.as_str(), refusal.reason.as_str()),
        }
    }

    /// Returns whether the objective covers a request: those that the caller
    /// made faulty, cancelled or left say nothing about the service.
    fn counts(self) -> bool {
        use server::Reason::{Cancelled, Malformed, TooLarge, TooSlow};
        match self {
            Self::Answered => true,
            Self::Cut(cut, _) => cut != delivery::Cut::CallerLeft,
            Self::Refused(refusal) => {
                !matches!(refusal.reason, Cancelled | Malformed | TooLarge | TooSlow)
            }
        }
    }

    fn detail(self) -> String {
        match self {
            Self::Answered => String::new(),
            Self::Cut(cut, bytes) => format!("{cut}, after {bytes} bytes"),
            Self::Refused(refusal) => refusal.detail.clone(),
        }
    }
}

/// A caller's request from its response's head to the end of the body.
pub(super) struct Account {
    pub(super) shared: Arc<tables::Shared>,
    pub(super) request: Arc<server::Request>,
    pub(super) id: Arc<str>,
    pub(super) service: Option<Arc<state::Service>>,
    /// Time from the request's head to the response's.
    pub(super) elapsed: Duration,
    pub(super) trace: requests::Trace,
}

impl Account {
    /// Returns the response, and closes the account when its body has ended.
    pub(super) fn close_with(self, result: Answered) -> server::Response {
        match result {
            Ok(response) => {
                let token = self.request.token.clone();
                delivery::follow(response, &token, move |result, bytes| match result {
                    Ok(()) => self.close(End::Answered),
                    Err(cut) => self.close(End::Cut(cut, bytes)),
                })
            }
            Err(refusal) => {
                self.close(End::Refused(&refusal));
                refusal.into()
            }
        }
    }

    fn close(self, end: End<'_>) {
        self.count(end);
        self.log(end);
        self.record(end);
    }

    fn name(&self) -> &str {
        self.service
            .as_ref()
            .map_or("", |service| service.name.as_str())
    }

    fn is_slow(&self) -> bool {
        let slow = |service: &state::Service| self.elapsed > clock::duration(service.slo_ms);
        self.service.as_deref().is_some_and(slow)
    }

    fn count(&self, end: End<'_>) {
        let (outcome, reason) = end.names();
        let service = self.name().to_owned();
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
            && end.counts()
        {
            let good = matches!(end, End::Answered) && !self.is_slow();
            self.shared.burn.record(&service.name, good, clock::now());
        }
    }

    fn log(&self, end: End<'_>) {
        let (id, name) = (&*self.id, self.name());
        let (outcome, reason) = end.names();
        if let End::Cut(cut, bytes) = end {
            let level = match cut {
                delivery::Cut::CallerLeft => log::Level::Info,
                _ => log::Level::Warn,
            };
            log::log!(
                level, request_id = id, service = name, reason = reason, bytes = bytes;
                "an answer was cut off: {cut}"
            );
        }
        let refused = matches!(end, End::Refused(_));
        if self.shared.settings.logs.requests || (refused && log::log_enabled!(log::Level::Debug)) {
            log::info!(
                request_id = id, service = name, outcome = outcome, reason = reason,
                micros = self.elapsed.as_micros() as u64, method = self.request.method.as_str();
                "request ended"
            );
        }
    }

    fn record(self, end: End<'_>) {
        let slow = self.is_slow();
        let special = slow || !matches!(end, End::Answered) || self.trace.count() > 1;
        if !self.shared.recent.wants(special) {
            return;
        }
        let (outcome, reason) = end.names();
        let entry = requests::Entry {
            id: self.id.to_string(),
            service: self.name().to_owned(),
            method: self.request.method.to_string(),
            outcome: outcome.to_owned(),
            reason: reason.to_owned(),
            detail: end.detail(),
            micros: self.elapsed.as_micros() as u64,
            slow,
            tries: 0,
            attempts: Vec::new(),
            next: self.shared.journal.state().next,
        };
        let mut trace = self.trace;
        if matches!(end, End::Cut(..)) {
            trace.amend(outcome, reason);
        }
        self.shared.recent.add(entry, trace);
    }
}
