//! Daemons that witness an outage of the log.
//!
//! A steward may give the longest lease only once a majority of the live daemons
//! has acknowledged that the log does not answer it. Two majorities share a
//! daemon, so that a steward that takes over learns from a majority until when
//! such leases may last, and need not wait for them where there are none.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock;
use crate::model;

/// What another daemon said last.
#[derive(Clone, Copy, Debug)]
struct Report {
    /// Newest record of the key table that it knew.
    known: Option<model::Offset>,
    /// Latest time at which it may have acknowledged an outage.
    acknowledged: clock::Millis,
}

/// What this daemon knows of acknowledged outages.
#[derive(Clone, Debug)]
pub(super) struct Witnesses {
    /// Live daemons, this one included; 0 until the number is known.
    live: u32,
    /// Time at which this daemon last acknowledged an outage, or its start: what
    /// it acknowledged before is not known.
    own: clock::Millis,
    /// Start of this daemon.
    start: clock::Millis,
    reports: BTreeMap<model::HostName, Report>,
    /// Outage that the acknowledgements below are for.
    outage: Option<u64>,
    acknowledged: BTreeSet<model::HostName>,
}

impl Witnesses {
    pub(super) fn new(now: clock::Millis) -> Self {
        Self {
            live: 0,
            own: now,
            start: now,
            reports: BTreeMap::new(),
            outage: None,
            acknowledged: BTreeSet::new(),
        }
    }

    /// Returns the number of daemons, this one left out, that make up a majority
    /// with it.
    fn others(&self) -> usize {
        self.live as usize / 2
    }

    pub(super) fn set_live(&mut self, live: u32) {
        self.live = live;
    }

    /// Returns whether this daemon may acknowledge outages. What it reported
    /// before a restart holds for stewards whose right has ended by then.
    pub(super) fn may_acknowledge(&self, now: clock::Millis) -> bool {
        now.since(self.start) >= super::RIGHT
    }

    /// Takes note that this daemon acknowledges an outage, its own included.
    pub(super) fn acknowledge(&mut self, now: clock::Millis) {
        self.own = self.own.max(now);
    }

    /// Returns for how long this daemon has acknowledged no outage, in milliseconds.
    pub(super) fn quiet(&self, now: clock::Millis) -> u64 {
        now.since(self.own)
    }

    /// Takes what another daemon said of itself.
    pub(super) fn report(
        &mut self,
        host: model::HostName,
        known: Option<model::Offset>,
        acknowledged: clock::Millis,
    ) {
        let report = Report {
            known,
            acknowledged,
        };
        self.reports.insert(host, report);
    }

    /// Takes an acknowledgement of this daemon's outage `outage`.
    pub(super) fn on_acknowledged(&mut self, host: model::HostName, outage: u64) {
        if self.outage != Some(outage) {
            self.outage = Some(outage);
            self.acknowledged.clear();
        }
        self.acknowledged.insert(host);
    }

    /// Returns whether a majority has acknowledged the outage `outage`. A daemon
    /// that knows of no others is its own majority.
    pub(super) fn suffice(&self, outage: u64) -> bool {
        let count = match self.outage {
            Some(known) if known == outage => self.acknowledged.len(),
            _ => 0,
        };
        count >= self.others()
    }

    /// Returns the latest time at which an earlier steward's outage may have been
    /// acknowledged by a majority, or `None` if that can't be told. Only daemons
    /// that know the record at `since` count: they acknowledge none of an earlier
    /// steward any more.
    pub(super) fn latest(&self, since: model::Offset) -> Option<clock::Millis> {
        if self.live == 0 {
            return None;
        }
        let told = self.reports.values();
        let told = told.filter(|report| report.known >= Some(since));
        let mut times: Vec<_> = told.map(|report| report.acknowledged).collect();
        times.push(self.own);
        times.sort_unstable();
        times.get(self.others()).copied()
    }
}
