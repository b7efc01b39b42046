//! Order of the live daemons for a request, by rendezvous hashing.

use std::collections::BTreeSet;
use std::hash::Hasher;

use crate::gateway::quarantine::Digest;
use crate::model;

/// Daemons that collect the crashes of one request.
const COLLECTORS: usize = 2;

/// Length of one daemon's turn for a trial, in milliseconds.
pub(super) const TURN_MS: u64 = 5_000;

/// Last part of a turn in which no trial begins, so that the next daemon knows of it before
/// its own turn, in milliseconds.
const TURN_END_MS: u64 = 1_000;

/// The live daemons.
#[derive(Debug)]
pub(super) struct Order {
    own: model::HostName,
    others: BTreeSet<model::HostName>,
}

impl Order {
    /// Returns the order of this daemon alone.
    pub(super) fn new(own: model::HostName) -> Self {
        Self {
            own,
            others: BTreeSet::new(),
        }
    }

    /// Returns the host of this daemon.
    pub(super) fn own(&self) -> &model::HostName {
        &self.own
    }

    /// Returns the other daemons, by name.
    pub(super) fn others(&self) -> &BTreeSet<model::HostName> {
        &self.others
    }

    /// Replaces the other daemons. Returns whether they changed.
    pub(super) fn set(&mut self, live: impl IntoIterator<Item = model::HostName>) -> bool {
        let mut others: BTreeSet<_> = live.into_iter().collect();
        others.remove(&self.own);
        let changed = others != self.others;
        self.others = others;
        changed
    }

    /// Returns the collectors of a request, this daemon included if it is one.
    pub(super) fn collectors(&self, digest: Digest) -> Vec<model::HostName> {
        let all = self.others.iter().chain([&self.own]);
        let mut all: Vec<_> = all.map(|host| (weight(digest, host), host)).collect();
        let count = COLLECTORS.min(all.len());
        all.select_nth_unstable_by(count - 1, |a, b| b.cmp(a));
        all.truncate(count);
        all.into_iter().map(|(_, host)| host.clone()).collect()
    }

    /// Returns whether this daemon may take the trial of a request that has been due for
    /// `age` milliseconds.
    pub(super) fn is_turn(&self, digest: Digest, age: u64) -> bool {
        let mine = (weight(digest, &self.own), &self.own);
        let before = self.others.iter();
        let before = before.filter(|host| (weight(digest, host), *host) > mine);
        let count = self.others.len() as u64 + 1;
        let is_mine = age / TURN_MS % count == before.count() as u64;
        is_mine && age % TURN_MS < TURN_MS - TURN_END_MS
    }
}

/// Returns the weight of a daemon for a request; the highest one comes first.
pub(super) fn weight(digest: Digest, host: &model::HostName) -> u64 {
    let mut hasher = siphasher::sip::SipHasher13::new();
    hasher.write(host.as_str().as_bytes());
    hasher.write_u64(digest.0);
    hasher.finish()
}
