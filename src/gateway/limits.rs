//! Limits on the requests that targets take from all daemons together, as they name them in
//! their answers.
//!
//! Each daemon keeps within its share of a limit ([`share`]), or asks the first one for a
//! permit ([`permit`]). Daemons tell each other of limits ([`report`]), so that also those hold
//! back that the target has not answered. This module does no I/O and reads no clock.

pub(crate) mod permit;
pub(crate) mod report;
pub mod share;

use std::collections::{HashMap, HashSet};
use std::fmt;

use self::share::{Place, Share};
use crate::clock;
use crate::gateway::adapter;
use crate::gateway::choice::Instance;

/// Time after which a daemon's share is determined anew, in milliseconds.
const SHARE_TTL_MS: u64 = 250;

/// Time for which a change that this daemon learned from an answer is reported again, in
/// milliseconds: datagrams may be lost.
const REPEAT_MS: u64 = 3_500;

/// Difference from one request by which rounding may leave a saved-up request short.
const TOKEN_TOLERANCE: f64 = 1e-9;

/// Milliseconds per second.
const MS_PER_S: f64 = 1_000.0;

/// Who a target has told of its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// This daemon, in an answer.
    Answer,
    /// Another daemon, which reported it.
    Peer,
}

/// What an answer of a target says about its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Statement {
    /// The limit, or `None` if the answer names none.
    pub limit: Option<adapter::RequestRate>,
    /// Time at which the answer arrived.
    pub at: clock::Millis,
    /// Time at which the request of this answer began, if the answer certainly belongs to it.
    pub began: Option<clock::Millis>,
    /// Who got the answer.
    pub source: Source,
}

/// Change of a target's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The target has named a limit, and had none before.
    Named(adapter::RequestRate),
    /// The target has named another limit than before.
    Changed(adapter::RequestRate, adapter::RequestRate),
    /// The target no longer names a limit.
    Ended,
}

/// Reason why a target with a limit gets no request of this daemon now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Obstacle {
    /// The limit.
    pub limit: adapter::RequestRate,
    /// Time since the target named it last, in milliseconds.
    pub age_ms: u64,
    /// Who the target told.
    pub source: Source,
    /// Time until this daemon may send the next request, in milliseconds; `None` if it has no
    /// share of its own.
    pub wait_ms: Option<u64>,
}

impl fmt::Display for Obstacle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { limit, age_ms, .. } = self;
        let told = match self.source {
            Source::Answer => "said by itself",
            Source::Peer => "said to another daemon",
        };
        write!(
            f,
            "target takes {limit} from all daemons, {told} {age_ms} ms ago, "
        )?;
        match self.wait_ms {
            Some(ms) => write!(f, "this daemon may send it one in {ms} ms"),
            None => write!(f, "nothing is left for this daemon"),
        }
    }
}

/// Limit of one target.
#[derive(Clone, Debug)]
struct Entry {
    /// The limit, or `None` if it has ended.
    limit: Option<adapter::RequestRate>,
    /// Time of the newest statement that counts: when the answer arrived if it lowered or
    /// repeated the limit, and when its request began if it raised or ended the limit.
    at: clock::Millis,
    source: Source,
    /// Time at which an answer to this daemon changed the limit last.
    changed: Option<clock::Millis>,
    /// Place of this daemon when its share was determined.
    place: Option<Place>,
    share: Option<Share>,
    /// Time at which the share was determined.
    shared_at: Option<clock::Millis>,
    /// Requests that this daemon may send now.
    tokens: f64,
    /// Time up to which `tokens` were added.
    filled: clock::Millis,
    /// Time from which on the next refused caller may return.
    returning: clock::Millis,
}

impl Entry {
    /// Returns the entry of a target that has named no limit yet.
    fn new(now: clock::Millis) -> Self {
        Self {
            limit: None,
            at: clock::Millis(0),
            source: Source::Answer,
            changed: None,
            place: None,
            share: None,
            shared_at: None,
            tokens: 0.0,
            filled: now,
            returning: now,
        }
    }

    /// Determines the share anew if it is outdated, and adds the requests that were saved up.
    fn refresh(&mut self, now: clock::Millis, place: impl FnOnce() -> Option<Place>) {
        let is_current = self
            .shared_at
            .is_some_and(|at| now.since(at) < SHARE_TTL_MS);
        if !is_current {
            self.place = place();
            let limit = self.limit.zip(self.place);
            self.share = limit.and_then(|(limit, place)| Share::new(limit, place));
            self.shared_at = Some(now);
        }
        let seconds = now.since(self.filled) as f64 / MS_PER_S;
        self.tokens = self.share.map_or(0.0, |share| {
            (self.tokens + share.rate * seconds).min(share.burst)
        });
        self.filled = now;
    }

    /// Returns whether this daemon comes first in the division of the limit.
    fn is_first(&self) -> bool {
        self.limit.is_some() && self.place.is_some_and(|place| place.position.rank == 0)
    }

    /// Returns the reason for which a request is not sent.
    fn obstacle(&self, now: clock::Millis) -> Option<Obstacle> {
        let wait = |share: Share| ((1.0 - self.tokens) / share.rate * MS_PER_S).ceil() as u64;
        Some(Obstacle {
            limit: self.limit?,
            age_ms: now.since(self.at),
            source: self.source,
            wait_ms: self.share.map(wait),
        })
    }

    /// Returns whether this daemon may send a request now.
    fn has_token(&self) -> bool {
        self.tokens + TOKEN_TOLERANCE >= 1.0
    }

    /// Applies a statement, and returns the change of the limit, if there is one.
    ///
    /// Answers may overtake each other, so that a higher limit or none counts only if the
    /// request began after the lower one was named. A lower one counts at once.
    fn apply(&mut self, statement: Statement, now: clock::Millis) -> Option<Change> {
        let Statement { limit, at, .. } = statement;
        if limit.is_none() && self.limit.is_none() {
            return None;
        }
        let unlimited = adapter::RequestRate::MAX;
        let loosens = limit.unwrap_or(unlimited) > self.limit.unwrap_or(unlimited);
        let (at, is_old) = match loosens {
            true => (statement.began?, statement.began? <= self.at),
            false => (at, at < self.at),
        };
        if is_old {
            return None;
        }
        self.at = at;
        if limit == self.limit {
            self.source = statement.source;
            return None;
        }
        let before = std::mem::replace(&mut self.limit, limit);
        self.source = statement.source;
        self.changed = (statement.source == Source::Answer).then_some(now);
        self.shared_at = None;
        Some(match (before, limit) {
            (None, Some(limit)) => {
                // What was sent until now is not counted, so that nothing is saved up yet.
                self.tokens = 0.0;
                self.filled = now;
                Change::Named(limit)
            }
            (Some(before), Some(limit)) => Change::Changed(before, limit),
            (_, None) => Change::Ended,
        })
    }
}

/// Limits that targets have named, by instance.
#[derive(Debug, Default)]
pub struct Limits {
    entries: HashMap<Instance, Entry>,
    /// Targets that have named a limit which can't be read.
    unreadable: HashSet<Instance>,
}

impl Limits {
    /// Returns an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records what an answer of a target says about its limit, and returns the change that
    /// it makes.
    pub fn on_statement(
        &mut self,
        instance: &Instance,
        statement: Statement,
        now: clock::Millis,
    ) -> Option<Change> {
        if let Some(entry) = self.entries.get_mut(instance) {
            return entry.apply(statement, now);
        }
        statement.limit?;
        let entry = self.entries.entry(instance.clone());
        entry.or_insert(Entry::new(now)).apply(statement, now)
    }

    /// Records that a target has named a limit that can't be read. Returns whether it is the
    /// first one of this target.
    pub fn on_unreadable(&mut self, instance: &Instance) -> bool {
        self.unreadable.insert(instance.clone())
    }

    /// Returns the limit of a target, if it has one.
    pub fn limit(&self, instance: &Instance) -> Option<adapter::RequestRate> {
        self.entries.get(instance)?.limit
    }

    /// Returns why this daemon may send a target no request now, if it may not. `place` returns
    /// its place in the division, or `None` while that is not known.
    pub fn obstacle(
        &mut self,
        instance: &Instance,
        now: clock::Millis,
        place: impl FnOnce() -> Option<Place>,
    ) -> Option<Obstacle> {
        let entry = self.entries.get_mut(instance)?;
        entry.limit?;
        entry.refresh(now, place);
        match entry.has_token() {
            true => None,
            false => entry.obstacle(now),
        }
    }

    /// Returns the limit of a target, as the reason for which a request is not sent.
    pub fn describe(&self, instance: &Instance, now: clock::Millis) -> Option<Obstacle> {
        self.entries.get(instance)?.obstacle(now)
    }

    /// Counts a request that is about to be sent to a target. Returns false, and counts
    /// nothing, if its limit forbids the request.
    pub fn try_acquire(
        &mut self,
        instance: &Instance,
        now: clock::Millis,
        place: impl FnOnce() -> Option<Place>,
    ) -> bool {
        if self.obstacle(instance, now, place).is_some() {
            return false;
        }
        if let Some(entry) = self.entries.get_mut(instance) {
            entry.tokens -= 1.0;
        }
        true
    }

    /// Returns the time after which a caller may return that was refused because of the
    /// limits of `instances`, between `least` and `most` milliseconds. The callers that all
    /// daemons refuse return at the rate of the limits; `random` is a number from 0 to 1.
    pub fn return_delay(
        &mut self,
        instances: &[Instance],
        now: clock::Millis,
        (least, most): (u64, u64),
        random: f64,
    ) -> u64 {
        let spread = least + (most.saturating_sub(least) as f64 * random) as u64;
        let soonest = instances
            .iter()
            .filter(|instance| self.limit(instance).is_some())
            .min_by_key(|instance| self.entries.get(*instance).map(|entry| entry.returning));
        let Some(entry) = soonest.and_then(|instance| self.entries.get_mut(instance)) else {
            return spread;
        };
        let rate = entry.limit.map_or(0.0, adapter::RequestRate::per_second);
        let live = f64::from(entry.place.map_or(1, |place| place.position.live));
        let interval = (live / rate * MS_PER_S).min(most as f64);
        let first = now + least + (interval * random) as u64;
        let slot = entry.returning.max(first);
        if slot.since(now) > most {
            return spread;
        }
        entry.returning = slot + interval as u64;
        slot.since(now)
    }

    /// Drops what is known of targets that `keep` rejects.
    pub fn retain(&mut self, keep: impl Fn(&Instance) -> bool) {
        self.entries.retain(|instance, _| keep(instance));
        self.unreadable.retain(|instance| keep(instance));
    }
}
