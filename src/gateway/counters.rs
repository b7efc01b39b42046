//! Counters that a daemon shows to operators.

use std::cell::Cell;

/// Counters of one daemon since its start.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests of callers that were read.
    pub requests: Cell<u64>,
    /// Answers of targets that were passed on.
    pub answered: Cell<u64>,
    /// Requests refused as not run.
    pub refused: Cell<u64>,
    /// Requests whose outcome is not known.
    pub unknown: Cell<u64>,
    /// Requests whose caller left.
    pub abandoned: Cell<u64>,
    /// Answers that ended before their body was complete.
    pub cut: Cell<u64>,
    /// Requests sent to a further target.
    pub retries: Cell<u64>,
    /// Calls to the log.
    pub log_calls: Cell<u64>,
    /// Calls to the log that failed or were refused.
    pub log_failures: Cell<u64>,
    /// Orders to targets.
    pub orders: Cell<u64>,
}

/// Adds one to a counter.
pub fn count(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

impl Counters {
    /// Returns the counters with their metric names.
    pub fn list(&self) -> [(&'static str, u64); 10] {
        [
            ("requests", self.requests.get()),
            ("answered", self.answered.get()),
            ("refused", self.refused.get()),
            ("unknown", self.unknown.get()),
            ("abandoned", self.abandoned.get()),
            ("cut", self.cut.get()),
            ("retries", self.retries.get()),
            ("log_calls", self.log_calls.get()),
            ("log_failures", self.log_failures.get()),
            ("orders", self.orders.get()),
        ]
    }
}
