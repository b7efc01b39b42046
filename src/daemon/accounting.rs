//! What is counted and kept of a caller's request that has ended.

use std::cell::RefCell;
use std::sync::Arc;
use std::time::Instant;

use crate::clock;
use crate::server;
use crate::state;
use crate::tables::{self, requests};

/// Result of a caller's request or of one attempt.
pub(super) type Answered = Result<server::Response, server::Refusal>;

impl tables::Shared {
    /// Counts the request for the service-level report and the list of recent ones.
    pub(super) fn record(
        &self,
        request: &server::Request,
        id: &str,
        service: Option<&Arc<state::Service>>,
        result: &Answered,
        (start, trace): (Instant, RefCell<requests::Trace>),
    ) {
        let elapsed = start.elapsed();
        let slow = service.is_some_and(|service| elapsed > clock::duration(service.slo_ms));
        let (outcome, reason) = outcome(result);
        if let Some(service) = service
            && counts(result)
        {
            let good = result.is_ok() && !slow;
            self.burn.record(&service.name, good, clock::now());
        }
        let special = slow || result.is_err() || trace.borrow().count() > 1;
        if !self.recent.wants(special) {
            return;
        }
        let detail = result.as_ref().err().map(|refusal| refusal.detail.clone());
        let entry = requests::Entry {
            id: id.to_owned(),
            service: service.map_or_else(String::new, |service| service.name.to_string()),
            method: request.method.to_string(),
            outcome: outcome.to_owned(),
            reason: reason.to_owned(),
            detail: detail.unwrap_or_default(),
            micros: elapsed.as_micros() as u64,
            slow,
            tries: 0,
            attempts: Vec::new(),
            next: self.journal.state().next,
        };
        self.recent.add(entry, trace.into_inner());
    }
}

/// Returns whether the objective covers a request: those that the caller made
/// faulty or cancelled say nothing about the service.
fn counts(result: &Answered) -> bool {
    use server::Reason::{Cancelled, Malformed, TooLarge, TooSlow};
    let reason = result.as_ref().err().map(|refusal| refusal.reason);
    !matches!(reason, Some(Cancelled | Malformed | TooLarge | TooSlow))
}

/// Returns outcome and reason as metrics, logs and lists name them.
pub(super) fn outcome(result: &Answered) -> (&'static str, &'static str) {
    match result {
        Ok(_) => ("ok", ""),
        Err(refusal) => (refusal.outcome.as_str(), refusal.reason.as_str()),
    }
}
