//! The runs of a target and its counters, for tests.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::target::grant;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// Not ended yet.
    Running,
    /// Ran to its end and its answer was handed to the connection.
    Done,
    /// Ran to its end and its answer was dropped by a fault.
    Dropped,
    /// Stopped by a cancellation.
    Cancelled,
    /// Stopped at its deadline.
    Deadline,
    /// The caller's body or the answer was cut off.
    Aborted,
}

/// One run of a request. Times are readings of the target's clock in
/// milliseconds.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Run {
    /// The number of the run on this target, from 1.
    pub run: u64,
    /// The `request-id` header.
    pub request: Option<String>,
    /// The `call-id` header, which a test's caller sets.
    pub call: Option<String>,
    /// The `shard-group` header.
    pub group: Option<String>,
    /// The `shard` header.
    pub shard: Option<String>,
    /// The `lease-fence` header.
    pub lease: Option<grant::Fence>,
    /// The `shard-fence` header.
    pub fence: Option<grant::Fence>,
    /// When the run started.
    pub start: u64,
    /// When the run ended.
    pub end: Option<u64>,
    /// How the run ended.
    pub outcome: Outcome,
}

/// A copy of the counters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(default)]
pub struct Counts {
    /// Runs started.
    pub runs: u64,
    /// Connections that carried a request other than to `/fault` and
    /// `/control/history`.
    pub connections: u64,
    /// Requests to `/control/health` and `/control/load`.
    pub probes: u64,
    /// Requests to `/control/grants`.
    pub orders: u64,
    /// Requests refused because all slots were taken.
    pub sheds: u64,
    /// Requests above the cold limit.
    pub overloads: u64,
    /// Requests refused for a fence or a grant.
    pub refusals: u64,
    /// Most slots taken at a time.
    pub peak: u64,
}

/// The answer of `GET /control/history`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Report {
    /// The newest runs, oldest first.
    pub runs: Vec<Run>,
    /// The counters.
    pub counters: Counts,
}

/// The counters of a target.
#[derive(Default)]
pub struct Counters {
    /// See [`Counts::connections`].
    pub connections: AtomicU64,
    /// See [`Counts::probes`].
    pub probes: AtomicU64,
    /// See [`Counts::orders`].
    pub orders: AtomicU64,
    /// See [`Counts::sheds`].
    pub sheds: AtomicU64,
    /// See [`Counts::overloads`].
    pub overloads: AtomicU64,
    /// See [`Counts::refusals`].
    pub refusals: AtomicU64,
    /// See [`Counts::peak`].
    pub peak: AtomicU64,
}

/// Adds one to a counter.
pub fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// The newest runs up to a limit.
pub struct History {
    limit: usize,
    runs: Mutex<VecDeque<Run>>,
    started: AtomicU64,
}

impl History {
    /// Returns an empty history that keeps `limit` runs; 0 keeps none.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            runs: Mutex::default(),
            started: AtomicU64::new(0),
        }
    }

    /// Notes that a run started and returns its number. `describe` is called
    /// only if runs are kept.
    pub fn start(&self, describe: impl FnOnce() -> Run) -> u64 {
        if self.limit == 0 {
            return self.started.fetch_add(1, Ordering::Relaxed) + 1;
        }
        let run = describe();
        let mut runs = self.runs.lock();
        let number = self.started.fetch_add(1, Ordering::Relaxed) + 1;
        if runs.len() == self.limit {
            runs.pop_front();
        }
        runs.push_back(Run { run: number, ..run });
        number
    }

    /// Notes the end of a run at a reading of the target's clock.
    pub fn end(&self, number: u64, clock: u64, outcome: Outcome) {
        if self.limit == 0 {
            return;
        }
        let mut runs = self.runs.lock();
        let first = runs.front().map_or(u64::MAX, |run| run.run);
        let index = number.checked_sub(first).map(|index| index as usize);
        if let Some(run) = index.and_then(|index| runs.get_mut(index)) {
            run.end = Some(clock);
            run.outcome = outcome;
        }
    }

    /// Returns a copy of the runs kept, with the counters.
    pub fn report(&self, counters: &Counters) -> Report {
        let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let counters = Counts {
            runs: get(&self.started),
            connections: get(&counters.connections),
            probes: get(&counters.probes),
            orders: get(&counters.orders),
            sheds: get(&counters.sheds),
            overloads: get(&counters.overloads),
            refusals: get(&counters.refusals),
            peak: get(&counters.peak),
        };
        let runs = self.runs.lock().iter().cloned().collect();
        Report { runs, counters }
    }
}
