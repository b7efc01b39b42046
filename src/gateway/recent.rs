//! The last requests that did not end well, in memory.

use std::cell::RefCell;
use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::model;

/// Requests that are kept. It bounds memory and the length of the page.
const KEPT: usize = 400;

/// Attempts that are kept of one request.
pub(crate) const ATTEMPTS: usize = 16;

/// One attempt to have a request answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// Target.
    pub target: model::TargetName,
    /// Unix time of the target's start in milliseconds.
    pub birth: u64,
    /// Time from the request's start to the attempt's, in milliseconds.
    pub start_ms: u64,
    /// Time that the attempt took, in milliseconds.
    pub ms: u64,
    /// `answered`, `refused`, `failed`, `unreachable`, or `given_up` if the time
    /// ended, the caller left, or another attempt was faster.
    pub outcome: String,
}

/// A request that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Identifier that the caller set, or empty.
    pub request: String,
    /// Unix time of its end in milliseconds.
    pub time: u64,
    /// Version of the configuration when it had ended.
    pub version: Option<u64>,
    /// Name of its route.
    pub route: String,
    /// Outcome, as in the metrics; `late` if it was answered after the route's
    /// latency objective.
    pub outcome: String,
    /// Status of the answer, unless the caller left.
    pub status: Option<u16>,
    /// Why it was refused, or empty.
    pub reason: String,
    /// Time from its head to the answer's head, in milliseconds.
    pub ms: u64,
    /// The first attempts, in the order of their ends.
    pub attempts: Vec<Attempt>,
    /// Attempts that are left out above.
    pub more: u64,
}

/// The newest entries, up to a fixed number.
#[derive(Debug, Default)]
pub struct Ring {
    entries: RefCell<VecDeque<Entry>>,
}

impl Ring {
    /// Adds an entry.
    pub fn add(&self, entry: Entry) {
        let mut entries = self.entries.borrow_mut();
        if entries.len() == KEPT {
            entries.pop_front();
        }
        entries.push_back(entry);
    }

    /// Returns all entries, the newest first.
    pub fn all(&self) -> Vec<Entry> {
        self.entries.borrow().iter().rev().cloned().collect()
    }

    /// Returns the entries of a request, the newest first: callers may use an
    /// identifier again.
    pub fn find(&self, request: &str) -> Vec<Entry> {
        let entries = self.entries.borrow();
        let found = entries.iter().rev().filter(|e| e.request == request);
        found.cloned().collect()
    }
}
