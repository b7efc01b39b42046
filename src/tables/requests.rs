//! Recent requests for diagnosis: slow, retried, refused or truncated ones, and a
//! sample of the others.

use std::borrow::Cow;
use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::model;

/// Maximum number of entries that are kept.
const CAPACITY: usize = 2_000;

/// One request out of this many is kept even if it is not notable.
const SAMPLE_INTERVAL: u64 = 100;

/// Maximum number of attempts that are kept of one request.
const MAX_ATTEMPTS: usize = 16;

/// One attempt at a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// Chosen target; the attempt is sent to its lease holder.
    pub target: model::TargetName,
    /// Shard, if the service is keyed.
    pub shard: Option<model::Shard>,
    /// `ok`, `cut`, `not_run` or `unknown`.
    pub outcome: Cow<'static, str>,
    /// Reason of a refusal or of a truncated response, or empty.
    pub reason: Cow<'static, str>,
    /// Time from the request's start to the attempt's, in microseconds.
    pub start_us: u64,
    /// Time from the request's start to the attempt's end, in microseconds.
    pub end_us: u64,
}

/// Attempts of a request in progress.
#[derive(Debug, Default)]
pub struct Trace {
    attempts: Vec<Attempt>,
    count: usize,
}

impl Trace {
    /// Adds an attempt; only the first `MAX_ATTEMPTS` are kept.
    pub fn add(&mut self, attempt: Attempt) {
        self.count += 1;
        if self.attempts.len() < MAX_ATTEMPTS {
            self.attempts.push(attempt);
        }
    }

    /// Changes the outcome of the last attempt, if it is kept.
    pub fn amend(&mut self, outcome: &'static str, reason: &'static str) {
        if self.count == self.attempts.len()
            && let Some(last) = self.attempts.last_mut()
        {
            (last.outcome, last.reason) = (outcome.into(), reason.into());
        }
    }

    /// Returns the number of attempts, kept or not.
    pub fn count(&self) -> usize {
        self.count
    }
}

/// A request that has ended. Names of keys and tenants are not kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Request identifier, as in the response's header `request-id`.
    pub id: String,
    /// Service, or empty if the request was not resolved.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// `ok`, `cut`, `not_run` or `unknown`.
    pub outcome: String,
    /// Reason of a refusal or of a truncated response, or empty.
    pub reason: String,
    /// Description of the failure, or empty.
    pub detail: String,
    /// Time until the response head, in microseconds.
    pub micros: u64,
    /// Whether it took longer than the service's objective.
    pub slow: bool,
    /// Number of attempts.
    pub tries: usize,
    /// The first attempts.
    pub attempts: Vec<Attempt>,
    /// Next offset of the state when the request had ended.
    pub next: model::Offset,
}

/// Ring buffer of the newest entries, at most `CAPACITY`.
#[derive(Debug, Default)]
pub struct Ring {
    number: AtomicU64,
    entries: Mutex<VecDeque<Entry>>,
}

impl Ring {
    /// Counts a request that has ended, and returns whether it should be kept.
    ///
    /// A `notable` request, one that was slow, retried, refused or truncated, is
    /// always kept, others by sampling.
    pub fn wants(&self, notable: bool) -> bool {
        let number = self.number.fetch_add(1, Ordering::Relaxed);
        notable || number.is_multiple_of(SAMPLE_INTERVAL)
    }

    /// Stores the entry of a request with the attempts of `trace`, and removes the
    /// oldest entry if the ring is full.
    pub fn add(&self, entry: Entry, trace: Trace) {
        let entry = Entry {
            tries: trace.count,
            attempts: trace.attempts,
            ..entry
        };
        let mut entries = self.entries.lock();
        if entries.len() == CAPACITY {
            entries.pop_front();
        }
        entries.push_back(entry);
    }

    /// Returns the request with this identifier, if it is kept.
    pub fn find(&self, id: &str) -> Option<Entry> {
        let entries = self.entries.lock();
        entries.iter().rev().find(|entry| entry.id == id).cloned()
    }

    /// Returns the newest entries, at most `max`, newest first.
    pub fn newest(&self, max: usize) -> Vec<Entry> {
        let entries = self.entries.lock();
        entries.iter().rev().take(max).cloned().collect()
    }
}
