//! Acknowledgement of a log outage by a majority of the daemons.
//!
//! A coordinator may grant extended leases only after a majority of the live daemons has
//! acknowledged that the log does not answer the coordinator. Any two majorities share a
//! daemon, so that a new coordinator learns from a majority until when such leases may
//! last, and does not wait for them if there are none.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock;
use crate::gateway::keys;
use crate::model;

/// Time after its last report for which a daemon counts as live, in milliseconds.
const REPORT_EXPIRY_MS: u64 = 60_000;

/// Last report of another daemon.
#[derive(Clone, Copy, Debug)]
struct Report {
    arrival: clock::Millis,
    /// Newest record of the key table that it knew.
    known: Option<model::Offset>,
    /// Latest time at which it may have acknowledged an outage.
    acknowledged: clock::Millis,
}

/// What this daemon knows about acknowledged outages.
#[derive(Clone, Debug)]
pub(super) struct Acknowledgements {
    /// Live daemons, this one included; 0 until the number is known.
    live: u32,
    /// Time at which this daemon last acknowledged an outage. Initially its start, since
    /// earlier acknowledgements are not known.
    own: clock::Millis,
    /// Start of this daemon.
    start: clock::Millis,
    reports: BTreeMap<model::HostName, Report>,
    /// Outage of this daemon as coordinator that `acknowledged` is about, identified by the
    /// time of the last confirmation before it.
    outage: Option<u64>,
    acknowledged: BTreeSet<model::HostName>,
    /// Bound on acknowledgements of earlier coordinators' outages in the present term.
    bound: Option<Bound>,
}

/// Latest time at which a majority may have acknowledged an earlier coordinator's outage.
#[derive(Clone, Copy, Debug)]
struct Bound {
    latest: clock::Millis,
    /// Number of other daemons in the majority.
    votes: usize,
}

impl Acknowledgements {
    pub(super) fn new(now: clock::Millis) -> Self {
        Self {
            live: 0,
            own: now,
            start: now,
            reports: BTreeMap::new(),
            outage: None,
            acknowledged: BTreeSet::new(),
            bound: None,
        }
    }

    /// Forgets what bounds acknowledgements, when a term begins.
    pub(super) fn begin_term(&mut self) {
        self.bound = None;
    }

    /// Keeps the earliest bound that a majority has given in the term that began with the
    /// record at `since`. A daemon that knows that record acknowledges no earlier outage any
    /// more, nor does it soon after a restart, so that its first answer holds. An answer of a
    /// smaller majority than the present one does not.
    pub(super) fn keep_bound(&mut self, since: model::Offset) {
        let votes = self.other_votes();
        let kept = self.bound.filter(|bound| bound.votes >= votes);
        let now = self.latest_acknowledged(since);
        let now = now.map(|latest| Bound { latest, votes });
        self.bound = match (kept, now) {
            (Some(kept), Some(now)) if now.latest < kept.latest => Some(now),
            (kept, now) => kept.or(now),
        };
    }

    /// Returns the bound that was kept.
    pub(super) fn bound(&self) -> Option<clock::Millis> {
        self.bound.map(|bound| bound.latest)
    }

    /// Returns the number of other daemons that form a majority together with this one.
    ///
    /// Daemons that report count even if their hosts' records are not known here yet: the
    /// next coordinator knows them, and both have to count the same daemons.
    fn other_votes(&self) -> usize {
        let reporting = match self.reports.len() {
            0 => 0,
            others => others + 1,
        };
        reporting.max(self.live as usize) / 2
    }

    pub(super) fn set_live(&mut self, live: u32) {
        self.live = live;
    }

    /// Returns whether this daemon may acknowledge outages. A restarted daemon waits
    /// until the authority of coordinators to which its earlier reports apply has ended.
    pub(super) fn may_acknowledge(&self, now: clock::Millis) -> bool {
        now.since(self.start) >= super::AUTHORITY_MS
    }

    /// Records that this daemon acknowledges an outage, its own or another daemon's.
    pub(super) fn acknowledge(&mut self, now: clock::Millis) {
        self.own = self.own.max(now);
    }

    /// Returns the time since this daemon last acknowledged an outage, in milliseconds.
    pub(super) fn acknowledged_age(&self, now: clock::Millis) -> u64 {
        now.since(self.own)
    }

    /// Stores a report of another daemon.
    pub(super) fn report(
        &mut self,
        now: clock::Millis,
        host: model::HostName,
        known: Option<model::Offset>,
        acknowledged: clock::Millis,
    ) {
        self.reports
            .retain(|_, report| now.since(report.arrival) < REPORT_EXPIRY_MS);
        let report = Report {
            arrival: now,
            known,
            acknowledged,
        };
        self.reports.insert(host, report);
    }

    /// Records another daemon's acknowledgement of the outage `outage` of this daemon.
    pub(super) fn on_acknowledged(&mut self, host: model::HostName, outage: u64) {
        if self.outage != Some(outage) {
            self.outage = Some(outage);
            self.acknowledged.clear();
        }
        self.acknowledged.insert(host);
    }

    /// Returns whether a majority of the live daemons, and one of `voters`, has acknowledged
    /// the outage `outage`, each with the daemon `own`. A daemon that knows of no other daemons
    /// is a majority on its own.
    pub(super) fn has_majority(
        &self,
        outage: u64,
        own: &model::HostName,
        voters: &keys::Voters,
    ) -> bool {
        let is_named = self.outage == Some(outage);
        let acknowledged = || self.acknowledged.iter().filter(|_| is_named);
        let votes = acknowledged().chain([own]);
        let votes = votes.filter(|host| voters.contains(*host)).count();
        acknowledged().count() >= self.other_votes() && votes > voters.len() / 2
    }

    /// Returns the latest time at which a majority of `voters` may have acknowledged an earlier
    /// coordinator's outage, as [`Self::latest_acknowledged`] does for the live daemons.
    /// `own` is the host of this daemon.
    pub(super) fn latest_of(
        &self,
        own: &model::HostName,
        voters: &keys::Voters,
        since: model::Offset,
    ) -> Option<clock::Millis> {
        let reports = self.reports.iter();
        let reports = reports.filter(|(host, report)| {
            voters.contains(*host) && *host != own && report.known >= Some(since)
        });
        let mut times: Vec<_> = reports.map(|(_, report)| report.acknowledged).collect();
        times.extend(voters.contains(own).then_some(self.own));
        times.sort_unstable();
        // Fewer than a majority of the voters acknowledged anything later.
        times.get(voters.len() / 2).copied()
    }

    /// Iterates over the reports of daemons that know the record at `since`.
    fn reports_since(&self, since: model::Offset) -> impl Iterator<Item = &Report> {
        let reports = self.reports.values();
        reports.filter(move |report| report.known >= Some(since))
    }

    /// Returns how many daemons have reported that they know the record at `since`, and how
    /// many form a majority, each with this one.
    pub(super) fn reports(&self, since: model::Offset) -> (usize, usize) {
        let reported = 1 + self.reports_since(since).count();
        (reported, 1 + self.other_votes())
    }

    /// Returns the latest time at which a majority may have acknowledged an earlier
    /// coordinator's outage, or `None` if that is unknown. Only reports of daemons that know
    /// the record at `since` count: these daemons no longer acknowledge outages of
    /// earlier coordinators.
    pub(super) fn latest_acknowledged(&self, since: model::Offset) -> Option<clock::Millis> {
        if self.live == 0 {
            return None;
        }
        let reports = self.reports_since(since);
        let mut times: Vec<_> = reports.map(|report| report.acknowledged).collect();
        times.push(self.own);
        times.sort_unstable();
        times.get(self.other_votes()).copied()
    }
}

impl super::Coordinator {
    /// Sets the number of live daemons, this one included. Until it is set, this daemon
    /// may grant extended leases alone, and waits for the extended leases that earlier
    /// coordinators may have granted.
    pub fn on_daemons(&mut self, live: u32) {
        self.acknowledgements.set_live(live);
        self.keep_bound();
    }

    /// Keeps the bound on earlier acknowledgements while this daemon is the coordinator.
    pub(super) fn keep_bound(&mut self) {
        if self.earlier_leases.is_none() {
            return;
        }
        let since = self.term_offset;
        self.acknowledgements.keep_bound(since);
        let (acknowledgements, own) = (&self.acknowledgements, &self.host);
        for earlier in &mut self.earlier_quorums {
            let latest = acknowledgements.latest_of(own, &earlier.voters, since);
            // The first answer holds, as later ones count outages of this term as well.
            earlier.latest = [earlier.latest, latest].into_iter().flatten().min();
        }
    }

    /// Returns the time since this daemon last acknowledged an outage, in milliseconds,
    /// and the newest record that it knows, for the heartbeat.
    pub fn report(&self, now: clock::Millis) -> (u64, Option<model::Offset>) {
        let known = self.log.offset.max(self.peer.offset);
        (self.acknowledgements.acknowledged_age(now), known)
    }

    /// Handles another daemon's report: the newest record that it knows, and the time
    /// since it last acknowledged an outage, in milliseconds.
    pub fn on_report(
        &mut self,
        now: clock::Millis,
        from: model::HostName,
        known: Option<model::Offset>,
        acknowledged_age: u64,
    ) {
        self.acknowledgements
            .report(now, from, known, now - acknowledged_age);
        self.keep_bound();
    }

    /// Returns the outage that other daemons should acknowledge, if this daemon may act
    /// as the coordinator and the log does not answer it. The outage is identified by the
    /// time of the last confirmation in milliseconds. Records this daemon's own
    /// acknowledgement.
    pub fn request_acknowledgement(&mut self, now: clock::Millis) -> Option<u64> {
        let confirmed = self.log.confirmed?;
        let is_out = now.since(confirmed) >= super::OUTAGE_TIMEOUT_MS;
        if !self.may_act(now) || !is_out || !self.acknowledgements.may_acknowledge(now) {
            return None;
        }
        self.acknowledgements.acknowledge(now);
        Some(confirmed.0)
    }

    /// Acknowledges the outage of the coordinator of the record at `offset` and
    /// returns true, unless a newer record is known or this daemon has just started.
    pub fn acknowledge(&mut self, now: clock::Millis, offset: model::Offset) -> bool {
        let newest = self.log.offset.max(self.peer.offset) <= Some(offset);
        let newest = newest && offset.era() >= self.era();
        let allowed = newest && self.acknowledgements.may_acknowledge(now);
        if allowed {
            self.acknowledgements.acknowledge(now);
        }
        allowed
    }

    /// Handles another daemon's acknowledgement of the outage `outage` of this daemon.
    pub fn on_acknowledged(&mut self, now: clock::Millis, from: model::HostName, outage: u64) {
        self.acknowledgements.on_acknowledged(from, outage);
        self.next_order = now;
    }
}
