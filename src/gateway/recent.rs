//! The last requests that failed, were refused, or were answered late, in memory.

use std::cell::RefCell;
use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::model;

/// Number of requests that are kept; bounds memory and the size of the page.
const CAPACITY: usize = 400;

/// Greatest number of attempts that are kept for one request.
pub(crate) const MAX_ATTEMPTS: usize = 16;

/// One attempt of a request at a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// Name of the target.
    pub target: model::TargetName,
    /// Unix time of the target's start in milliseconds.
    pub birth: u64,
    /// Time from the request's start to the attempt's, in milliseconds.
    pub start_ms: u64,
    /// Duration of the attempt in milliseconds.
    pub ms: u64,
    /// `answered`, `refused`, `failed`, `unreachable`, or `given_up` if the time ran
    /// out, the caller disconnected, or another attempt was faster.
    pub outcome: String,
}

/// A request that has ended, as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Identifier that the caller sent, or empty.
    pub request: String,
    /// Unix time of the request's end in milliseconds.
    pub time: u64,
    /// Version of the configuration in effect when the request ended; absent if its
    /// response ended early.
    pub version: Option<u64>,
    /// Name of the route.
    pub route: String,
    /// Outcome with its label in the metrics, or `late` if the request was answered
    /// after the route's latency objective.
    pub outcome: String,
    /// HTTP status of the response; absent if the caller disconnected or the response
    /// ended early.
    pub status: Option<u16>,
    /// Reason of a refusal, or empty.
    pub reason: String,
    /// Time from the request's head to the response's head, or to the end of a
    /// request without a complete response, in milliseconds.
    pub ms: u64,
    /// The first attempts, in the order in which they ended.
    pub attempts: Vec<Attempt>,
    /// Number of further attempts that are not listed.
    #[serde(rename = "more")]
    pub dropped_attempts: u64,
}

/// A ring buffer of the newest entries.
#[derive(Debug, Default)]
pub struct Ring {
    entries: RefCell<VecDeque<Entry>>,
}

impl Ring {
    /// Adds an entry, and drops the oldest one if the ring is full.
    pub fn add(&self, entry: Entry) {
        let mut entries = self.entries.borrow_mut();
        if entries.len() == CAPACITY {
            entries.pop_front();
        }
        entries.push_back(entry);
    }

    /// Returns all entries, the newest first.
    pub fn all(&self) -> Vec<Entry> {
        self.entries.borrow().iter().rev().cloned().collect()
    }

    /// Returns the entries with a request's identifier, the newest first. There may
    /// be several, since callers may reuse an identifier.
    pub fn find(&self, request: &str) -> Vec<Entry> {
        let entries = self.entries.borrow();
        let found = entries
            .iter()
            .rev()
            .filter(|entry| entry.request == request);
        found.cloned().collect()
    }
}
