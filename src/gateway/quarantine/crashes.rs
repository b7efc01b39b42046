//! Crashes of instances in attempts of a request, and whether they prove that the request
//! causes them.

use std::collections::HashMap;
use std::sync::Arc;

use crate::clock;
use crate::gateway::quarantine::Digest;
use crate::gateway::quarantine::answers;
use crate::model;

/// Requests with crashes that are kept; bounds memory.
pub(super) const CAPACITY: usize = 4_096;

/// Crashes that are kept for a request. More are not needed for a verdict.
const MAX_CRASHES: usize = 8;

/// Time for which a crash and an answer are kept, in milliseconds.
pub(super) const KEPT_MS: u64 = 3_600_000;

/// Time by which an attempt begins after a crash that another daemon reports, so that it
/// certainly began after it, in milliseconds. Ages in messages are too low by the time that
/// the datagram takes.
const REPORT_MARGIN_MS: u64 = 50;

/// Crashes from which on their order matters.
const MIN_ORDERED: u32 = 2;

/// Crash of an instance during an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Crash {
    /// Digest of the instance.
    pub(super) instance: u32,
    /// Host whose daemon made the attempt.
    pub(super) reporter: model::HostName,
    /// Begin of the attempt.
    pub(super) began: clock::Millis,
    /// End of the attempt.
    pub(super) ended: clock::Millis,
    /// Whether the instance was cold, so that load may have ended it.
    pub(super) cold: bool,
}

impl Crash {
    /// Returns whether the attempt certainly began after `earlier` had ended.
    fn follows(&self, earlier: &Self) -> bool {
        let margin = match self.reporter == earlier.reporter {
            true => 0,
            false => REPORT_MARGIN_MS,
        };
        self.instance != earlier.instance && self.began >= earlier.ended + margin
    }
}

/// What is known of one request.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) route: Arc<str>,
    /// Crashes since the last answer, one for each instance.
    pub(super) crashes: Vec<Crash>,
    /// End of the last attempt that was answered.
    answered: Option<clock::Millis>,
    /// Whether all daemons were asked for answers since the last one.
    pub(super) asked: bool,
    /// Time at which they were asked because the crashes prove enough.
    pub(super) settling: Option<clock::Millis>,
    /// Collectors that were told this daemon's own crashes.
    pub(super) told: Vec<model::HostName>,
    /// Time of the last change.
    changed: clock::Millis,
}

impl Record {
    /// Adds a crash, unless the request was answered since, or the instance is known to
    /// have crashed in a later attempt. Returns whether it was added.
    fn add(&mut self, crash: Crash) -> bool {
        if self
            .answered
            .is_some_and(|at| answers::clears(at, crash.ended))
        {
            return false;
        }
        let mut known = self.crashes.iter_mut();
        if let Some(known) = known.find(|known| known.instance == crash.instance) {
            let is_later = crash.began > known.began;
            if is_later {
                *known = crash;
            }
            return is_later;
        }
        if self.crashes.len() == MAX_CRASHES {
            self.crashes.remove(0);
        }
        self.crashes.push(crash);
        true
    }

    /// Forgets the crashes that an answer at `at` clears.
    fn on_answered(&mut self, at: clock::Millis, limit: u32) {
        self.answered = self.answered.max(Some(at));
        self.crashes
            .retain(|crash| !answers::clears(at, crash.ended));
        self.asked &= self.is_suspect(limit);
        self.settling = self.settling.filter(|_| self.is_proven(limit));
    }

    /// Returns the end of the last crash.
    pub(super) fn crashed(&self) -> Option<clock::Millis> {
        self.crashes.iter().map(|crash| crash.ended).max()
    }

    /// Returns whether one crash less than `limit` is known, at least one.
    pub(super) fn is_suspect(&self, limit: u32) -> bool {
        self.crashes.len() as u32 >= limit.saturating_sub(1).max(1)
    }

    /// Returns whether `limit` instances crashed, one of them warm, and not all at once.
    pub(super) fn is_proven(&self, limit: u32) -> bool {
        let follows_any = |crash: &Crash| self.crashes.iter().any(|earlier| crash.follows(earlier));
        self.crashes.len() as u32 >= limit
            && self.crashes.iter().any(|crash| !crash.cold)
            && (limit < MIN_ORDERED || self.crashes.iter().any(follows_any))
    }
}

/// Crashes by request.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    records: HashMap<Digest, Record>,
}

impl Crashes {
    /// Returns the number of requests.
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns what is known of a request.
    pub(super) fn get_mut(&mut self, digest: Digest) -> Option<&mut Record> {
        self.records.get_mut(&digest)
    }

    /// Returns the requests of which `host` reported a crash.
    pub(super) fn reported_by(&self, host: &model::HostName) -> Vec<Digest> {
        let records = self.records.iter();
        let own = records.filter(|(_, record)| {
            let mut crashes = record.crashes.iter();
            crashes.any(|crash| crash.reporter == *host)
        });
        let mut digests: Vec<_> = own.map(|(digest, _)| *digest).collect();
        digests.sort_unstable();
        digests
    }

    /// Adds a crash. Returns whether it is new.
    pub(super) fn add(
        &mut self,
        digest: Digest,
        route: &Arc<str>,
        crash: Crash,
        now: clock::Millis,
    ) -> bool {
        if !self.records.contains_key(&digest) && self.records.len() >= CAPACITY {
            self.evict();
        }
        let record = self.records.entry(digest).or_insert_with(|| Record {
            route: Arc::clone(route),
            crashes: Vec::new(),
            answered: None,
            asked: false,
            settling: None,
            told: Vec::new(),
            changed: now,
        });
        let is_new = record.add(crash);
        if is_new {
            record.changed = now;
        }
        is_new
    }

    /// Drops the request with the fewest crashes, and of several the one whose last change
    /// is the oldest: requests whose bodies vary have one crash each, and must not displace
    /// one that is suspected.
    fn evict(&mut self) {
        let rank = |record: &Record| (record.crashes.len(), record.changed);
        let records = self.records.iter();
        let lowest = records.min_by_key(|(digest, record)| (rank(record), **digest));
        if let Some(digest) = lowest.map(|(digest, _)| *digest) {
            self.records.remove(&digest);
        }
    }

    /// Records that an attempt of a request was answered, which ended at `at`.
    pub(super) fn on_answered(&mut self, digest: Digest, at: clock::Millis, limit: u32) {
        if let Some(record) = self.records.get_mut(&digest) {
            record.on_answered(at, limit);
        }
    }

    /// Forgets a request.
    pub(super) fn remove(&mut self, digest: Digest) {
        self.records.remove(&digest);
    }

    /// Drops what is too old.
    pub(super) fn expire(&mut self, now: clock::Millis) {
        self.records.retain(|_, record| {
            let crashes = &mut record.crashes;
            crashes.retain(|crash| now.since(crash.ended) <= KEPT_MS);
            now.since(record.changed) <= KEPT_MS
        });
    }
}
