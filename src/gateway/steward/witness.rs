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

impl super::Steward {
    /// Sets the number of live daemons, this one included. Without it, this
    /// daemon may give the longest leases alone and waits for those of others.
    pub fn on_daemons(&mut self, live: u32) {
        self.witnesses.set_live(live);
    }

    /// Returns for how long this daemon has acknowledged no outage, in
    /// milliseconds, and the newest record that it knows, for the heartbeat.
    pub fn report(&self, now: clock::Millis) -> (u64, Option<model::Offset>) {
        let known = self.log.offset.max(self.peer.offset);
        (self.witnesses.quiet(now), known)
    }

    /// Takes what another daemon said of itself: the newest record that it knows,
    /// and for how long it has acknowledged no outage, in milliseconds.
    pub fn on_report(
        &mut self,
        now: clock::Millis,
        from: model::HostName,
        known: Option<model::Offset>,
        quiet: u64,
    ) {
        self.witnesses.report(from, known, now - quiet);
    }

    /// Returns the outage that other daemons are asked to acknowledge, if this
    /// daemon is the steward and the log does not answer it.
    pub fn ask(&mut self, now: clock::Millis) -> Option<u64> {
        let confirmed = self.log.confirmed?;
        if !self.may_act(now) || now.since(confirmed) < super::OUTAGE {
            return None;
        }
        self.witnesses.acknowledge(now);
        Some(confirmed.0)
    }

    /// Acknowledges the outage of the steward of the record at `offset` and
    /// returns true, unless a newer record is known or this daemon has just started.
    pub fn acknowledge(&mut self, now: clock::Millis, offset: model::Offset) -> bool {
        let newest = self.log.offset.max(self.peer.offset) <= Some(offset);
        let allowed = newest && self.witnesses.may_acknowledge(now);
        if allowed {
            self.witnesses.acknowledge(now);
        }
        allowed
    }

    /// Takes another daemon's acknowledgement of this daemon's outage.
    pub fn on_acknowledged(&mut self, now: clock::Millis, from: model::HostName, outage: u64) {
        self.witnesses.on_acknowledged(from, outage);
        self.due = now;
    }
}
