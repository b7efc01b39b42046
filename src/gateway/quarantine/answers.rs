//! Requests that were answered lately at this daemon.

use std::collections::HashMap;

use crate::clock;
use crate::gateway::quarantine::Digest;

/// Answered requests in the newer half of the table; bounds memory. When it is full, the
/// older half is dropped.
pub(super) const HALF: usize = 8_192;

/// Time after an answer in which crashes do not count, in milliseconds. When the last
/// targets of a service are lost one after the other, none is left to answer the popular
/// requests that ran on all of them.
const SHIELD_MS: u64 = 10_000;

/// Returns whether an answer at `at` shows that the request did not cause a crash at
/// `crashed`, before or after it.
pub(super) fn clears(at: clock::Millis, crashed: clock::Millis) -> bool {
    crashed <= at + SHIELD_MS
}

/// The last 8,192 to 16,384 answered requests, each with the time of its last answer.
#[derive(Debug, Default)]
pub(super) struct Answers {
    newer: HashMap<Digest, clock::Millis>,
    older: HashMap<Digest, clock::Millis>,
}

impl Answers {
    /// Returns the number of entries.
    pub(super) fn len(&self) -> usize {
        self.newer.len() + self.older.len()
    }

    /// Records an answer.
    pub(super) fn add(&mut self, digest: Digest, at: clock::Millis) {
        if self.newer.len() == HALF && !self.newer.contains_key(&digest) {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(digest, at);
    }

    /// Returns the time of the last answer to a request, if it is known.
    pub(super) fn last(&self, digest: Digest) -> Option<clock::Millis> {
        let newer = self.newer.get(&digest);
        newer.or_else(|| self.older.get(&digest)).copied()
    }
}
