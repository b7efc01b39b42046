//! Verdicts on requests that crash targets, and how versions of a verdict are merged.

use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock;
use crate::gateway::quarantine::Digest;
use crate::gateway::quarantine::crashes;

/// Verdicts that are kept; bounds memory.
pub(super) const CAPACITY: usize = 1_024;

/// Factor by which each trial prolongs a verdict.
const TRIAL_FACTOR: u64 = 12;

/// Longest time until the next trial, in milliseconds: one day.
pub(super) const MAX_HOLD_MS: u64 = 86_400_000;

/// Time for which nobody has taken a trial after which a verdict is dropped, in
/// milliseconds: one day.
const UNUSED_MS: u64 = 86_400_000;

/// Time after which a crash is certainly later than the end of a verdict, in milliseconds,
/// however late the datagram that reports it.
const REVIVAL_MARGIN_MS: u64 = 1_000;

/// Why a verdict ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// A target answered the request.
    Answered,
    /// An operator ended it.
    Operator,
}

/// Whether a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// It is refused, but for a trial from this time on.
    Held(clock::Millis),
    /// It is served again.
    Ended(Cause),
}

/// One version of the verdict on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Verdict {
    pub(super) route: Arc<str>,
    /// Crashes known when it was passed.
    pub(super) crashes: u32,
    /// Number of the version.
    pub(super) number: u32,
    /// Trials that were allowed.
    pub(super) trials: u32,
    pub(super) state: State,
    /// Time at which it was passed.
    pub(super) since: clock::Millis,
    /// End of the last crash known then.
    pub(super) crashed: clock::Millis,
}

impl Verdict {
    /// Returns whether this version replaces `known`. Of two versions with one number, the
    /// one that refuses holds.
    fn supersedes(&self, known: &Self) -> bool {
        let rank = |verdict: &Self| (verdict.number, matches!(verdict.state, State::Held(_)));
        rank(self) > rank(known)
    }
}

/// A verdict, and what this daemon did with it.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) verdict: Verdict,
    /// Time at which this daemon learnt of the version.
    pub(super) changed: clock::Millis,
    /// Time of the last refusal by this daemon, or of the first version.
    pub(super) used: clock::Millis,
    /// Requests that this daemon refused.
    pub(super) refused: u64,
}

impl Entry {
    /// Returns whether the request is refused, but for trials.
    pub(super) fn is_held(&self) -> bool {
        matches!(self.verdict.state, State::Held(_))
    }
}

/// What a version of a verdict changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Change {
    /// Nothing.
    None,
    /// It replaced what was known.
    Replaced,
    /// It was passed without knowledge of an earlier one that had ended, and has a new
    /// number here, which other daemons need.
    Renumbered,
}

/// Verdicts by request.
#[derive(Debug, Default)]
pub(super) struct Verdicts {
    entries: HashMap<Digest, Entry>,
    /// Verdicts that refuse.
    held: usize,
}

impl Verdicts {
    /// Returns the number of verdicts, those that ended included.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the number of verdicts that refuse.
    pub(super) fn held(&self) -> usize {
        self.held
    }

    /// Returns a verdict.
    pub(super) fn get(&self, digest: Digest) -> Option<&Entry> {
        self.entries.get(&digest)
    }

    /// Returns whether a request is refused, but for trials.
    pub(super) fn is_held(&self, digest: Digest) -> bool {
        self.get(digest).is_some_and(Entry::is_held)
    }

    /// Returns all verdicts, the one that changed last first.
    pub(super) fn newest(&self) -> Vec<(Digest, &Entry)> {
        let entries = self.entries.iter();
        let mut entries: Vec<_> = entries.map(|(digest, entry)| (*digest, entry)).collect();
        entries.sort_unstable_by_key(|(digest, entry)| (std::cmp::Reverse(entry.changed), *digest));
        entries
    }

    /// Returns the number of the next version of a verdict.
    pub(super) fn next_number(&self, digest: Digest) -> u32 {
        let entry = self.entries.get(&digest);
        entry.map_or(1, |entry| entry.verdict.number.saturating_add(1))
    }

    /// Merges a version of a verdict.
    pub(super) fn merge(&mut self, digest: Digest, mut new: Verdict, now: clock::Millis) -> Change {
        let Some(entry) = self.entries.get_mut(&digest) else {
            if self.entries.len() >= CAPACITY {
                self.evict();
            }
            let entry = Entry {
                verdict: new,
                changed: now,
                used: now,
                refused: 0,
            };
            self.entries.insert(digest, entry);
            self.count_held();
            return Change::Replaced;
        };
        let is_revived = !entry.is_held()
            && matches!(new.state, State::Held(_))
            && new.crashed > entry.changed + REVIVAL_MARGIN_MS;
        let change = match new.supersedes(&entry.verdict) {
            true => Change::Replaced,
            false if is_revived => {
                new.number = entry.verdict.number.saturating_add(1);
                Change::Renumbered
            }
            false => return Change::None,
        };
        entry.verdict = new;
        entry.changed = now;
        self.count_held();
        change
    }

    /// Counts a refusal.
    pub(super) fn on_refused(&mut self, digest: Digest, now: clock::Millis) {
        if let Some(entry) = self.entries.get_mut(&digest) {
            entry.refused += 1;
            entry.used = now;
        }
    }

    /// Drops a verdict that ended, or else the one that was used longest ago.
    fn evict(&mut self) {
        let rank = |entry: &Entry| (entry.is_held(), entry.used);
        let entries = self.entries.iter();
        let lowest = entries.min_by_key(|(digest, entry)| (rank(entry), **digest));
        if let Some(digest) = lowest.map(|(digest, _)| *digest) {
            self.entries.remove(&digest);
        }
    }

    /// Drops verdicts whose trial nobody takes, and those that ended long ago.
    pub(super) fn expire(&mut self, now: clock::Millis) {
        self.entries.retain(|_, entry| match entry.verdict.state {
            State::Held(trial) => now.since(trial) <= UNUSED_MS,
            State::Ended(_) => now.since(entry.changed) <= crashes::KEPT_MS,
        });
        self.count_held();
    }

    fn count_held(&mut self) {
        let entries = self.entries.values();
        self.held = entries.filter(|entry| entry.is_held()).count();
    }
}

/// Returns the time until the next trial after `trials` trials, in milliseconds.
pub(super) fn hold_ms(first: u64, trials: u32) -> u64 {
    let factor = TRIAL_FACTOR.saturating_pow(trials);
    first.saturating_mul(factor).min(MAX_HOLD_MS.max(first))
}
