//! Daemons known from the log, their liveness, and their order when something is divided among
//! them. This module does no I/O and reads no clock.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;

use crate::clock;
use crate::gateway::choice::subset;
use crate::gateway::limits::share;
use crate::gateway::peers::HostRecord;
use crate::model;

/// Time since its last heartbeat, or since its record was read if there was none, for
/// which a daemon counts as live when common limits are divided.
const LIVE_MS: u64 = 60_000;

/// Time since its last heartbeat after which a daemon no longer counts in the order of
/// take-over and gets no requests in progress and no records.
const HEARTBEAT_TIMEOUT_MS: u64 = 2_500;

/// A known daemon.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) record: HostRecord,
    /// Time at which the record was read.
    listed: clock::Millis,
    /// Time of the last heartbeat since then.
    last_heartbeat: Option<clock::Millis>,
}

/// The first of several daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum First {
    /// This daemon.
    Own,
    /// The one with this address.
    Peer(SocketAddr),
}

/// Daemons known from the log, except this one.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    own: Option<model::HostName>,
    peers: HashMap<model::HostName, Peer>,
    /// Time since which the hosts in the log are known; `None` before the first read.
    known_since: Option<clock::Millis>,
}

impl Directory {
    /// Returns an empty directory for the daemon on host `own`.
    pub fn new(own: model::HostName) -> Self {
        Self {
            own: Some(own),
            peers: HashMap::new(),
            known_since: None,
        }
    }

    /// Records that all hosts in the log have been listed.
    pub fn on_all_listed(&mut self, now: clock::Millis) {
        self.known_since.get_or_insert(now);
    }

    /// Returns this daemon's rank among the daemons that share a limit, which are those of
    /// failure domains for which `shares` holds, or `None` while it takes no share. The rank
    /// is the number of sharing daemons with lower names.
    ///
    /// A daemon that has just started knows none of the others, and they don't count it: such
    /// daemons would exceed the limit together. It takes no share until its heartbeats and
    /// those of the others have had the time to arrive, and counts those that may be live and
    /// have sent none yet.
    pub fn share_rank(
        &self,
        own: &model::HostName,
        now: clock::Millis,
        shares: impl Fn(&model::DomainName) -> bool,
    ) -> Option<u32> {
        if !self.knows_others(now) {
            return None;
        }
        let sharing = self.present_peers(now).filter(|peer| {
            let record = &peer.record;
            shares(&record.domain) && record.host < *own
        });
        Some(sharing.count() as u32)
    }

    /// Returns this daemon's place, as host `own` of failure domain `domain`, in an order of
    /// the daemons that is given by `order`. Returns `None` while it does not know the others,
    /// as [`Directory::share_rank`] does.
    pub fn position<K: Ord>(
        &self,
        own: &model::HostName,
        domain: &model::DomainName,
        now: clock::Millis,
        order: impl Fn(&model::HostName, &model::DomainName) -> K,
    ) -> Option<share::Position> {
        let present = self.present_peers(now);
        self.knows_others(now)
            .then(|| self.position_among(present, own, domain, now, order))
    }

    /// Returns what [`Directory::position`] does, where only daemons with a recent heartbeat
    /// are present.
    pub fn heard_position<K: Ord>(
        &self,
        own: &model::HostName,
        domain: &model::DomainName,
        now: clock::Millis,
        order: impl Fn(&model::HostName, &model::DomainName) -> K,
    ) -> Option<share::Position> {
        let present = self.recent_peers(now);
        self.knows_others(now)
            .then(|| self.position_among(present, own, domain, now, order))
    }

    /// Returns this daemon's place in an order of the daemons, of which `peers` are present.
    fn position_among<'a, K: Ord>(
        &self,
        peers: impl Iterator<Item = &'a Peer>,
        own: &model::HostName,
        domain: &model::DomainName,
        now: clock::Millis,
        order: impl Fn(&model::HostName, &model::DomainName) -> K,
    ) -> share::Position {
        let mine = order(own, domain);
        let (mut rank, mut present) = (0, 1);
        for peer in peers {
            present += 1;
            rank += u32::from(order(&peer.record.host, &peer.record.domain) < mine);
        }
        share::Position {
            rank,
            present,
            live: self.count_live(now),
        }
    }

    /// Returns which daemon comes first in an order, of this one and those with a recent
    /// heartbeat. Returns `None` while this daemon does not know the others.
    pub(crate) fn first<K: Ord>(
        &self,
        own: &model::HostName,
        domain: &model::DomainName,
        now: clock::Millis,
        order: impl Fn(&model::HostName, &model::DomainName) -> K,
    ) -> Option<First> {
        if !self.knows_others(now) {
            return None;
        }
        let mine = order(own, domain);
        let keys = self.recent_peers(now).map(|peer| {
            let record = &peer.record;
            (order(&record.host, &record.domain), record.address)
        });
        let first = keys.min_by(|a, b| a.0.cmp(&b.0));
        Some(match first.filter(|(key, _)| *key < mine) {
            Some((_, address)) => First::Peer(address),
            None => First::Own,
        })
    }

    /// Returns the hosts of a failure domain that are in the group of the target at `position`
    /// among `targets` of that domain. This daemon is of failure domain `own`.
    pub(crate) fn group_hosts(
        &self,
        own: &model::DomainName,
        domain: &model::DomainName,
        now: clock::Millis,
        position: usize,
        targets: usize,
    ) -> HashSet<model::HostName> {
        let mut hosts = self.domain_hosts(domain, now);
        if own != domain {
            hosts.retain(|host| self.own.as_ref() != Some(*host));
        }
        let count = hosts.len();
        let members = hosts.into_iter().enumerate().filter(|(rank, _)| {
            let group = subset::Group::new(*rank, count, targets);
            group.contains(position, targets)
        });
        members.map(|(_, host)| host.clone()).collect()
    }

    /// Returns whether the heartbeats of this daemon and those of the others have had the time
    /// to arrive since the hosts in the log are known.
    fn knows_others(&self, now: clock::Millis) -> bool {
        self.known_since
            .is_some_and(|since| now.since(since) >= HEARTBEAT_TIMEOUT_MS)
    }

    /// Iterates over the daemons with a recent heartbeat, and those that may be live and have
    /// sent none yet.
    fn present_peers(&self, now: clock::Millis) -> impl Iterator<Item = &Peer> {
        self.live_peers(now).filter(move |peer| {
            peer.last_heartbeat
                .is_none_or(|at| now.since(at) < HEARTBEAT_TIMEOUT_MS)
        })
    }

    /// Adds or replaces a host by its record. A record that is known changes nothing.
    pub fn list(&mut self, record: HostRecord, now: clock::Millis) {
        if self.own.as_ref() == Some(&record.host) {
            return;
        }
        let host = record.host.clone();
        let known = self.peers.get(&host);
        if known.is_some_and(|peer| peer.record == record) {
            return;
        }
        let peer = Peer {
            record,
            listed: now,
            last_heartbeat: None,
        };
        self.peers.insert(host, peer);
    }

    /// Records the time of a heartbeat, unless the host is unknown.
    pub fn on_heartbeat(&mut self, host: &model::HostName, now: clock::Millis) {
        if let Some(peer) = self.peers.get_mut(host) {
            peer.last_heartbeat = Some(now);
        }
    }

    /// Returns the number of daemons that may be live, this one included, or `None` until
    /// the hosts in the log are known.
    pub fn known_live(&self, now: clock::Millis) -> Option<u32> {
        self.known_since.map(|_| self.count_live(now))
    }

    /// Returns the number of daemons that may be live, this one included.
    pub fn count_live(&self, now: clock::Millis) -> u32 {
        1 + self.live_peers(now).count() as u32
    }

    /// Returns the number of daemons of a failure domain that may be live, one
    /// at least.
    pub fn count_live_in(&self, domain: &model::DomainName, now: clock::Millis) -> u32 {
        let peers = self.live_peers(now);
        1 + peers.filter(|peer| peer.record.domain == *domain).count() as u32
    }

    /// Iterates over the daemons that may be live.
    fn live_peers(&self, now: clock::Millis) -> impl Iterator<Item = &Peer> {
        self.peers
            .values()
            .filter(move |peer| now.since(peer.last_heartbeat.unwrap_or(peer.listed)) < LIVE_MS)
    }

    /// Iterates over the daemons with a recent heartbeat.
    pub(super) fn recent_peers(&self, now: clock::Millis) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |peer| {
            peer.last_heartbeat
                .is_some_and(|at| now.since(at) < HEARTBEAT_TIMEOUT_MS)
        })
    }

    /// Returns the hosts of daemons with a recent heartbeat, this one not included.
    pub(crate) fn recent_hosts(&self, now: clock::Millis) -> Vec<model::HostName> {
        let peers = self.recent_peers(now);
        peers.map(|peer| peer.record.host.clone()).collect()
    }

    /// Returns the number of daemons of `domain` with a recent heartbeat, this one not
    /// counted.
    pub(crate) fn count_recent(&self, domain: &model::DomainName, now: clock::Millis) -> u64 {
        let peers = self.recent_peers(now);
        peers.filter(|peer| peer.record.domain == *domain).count() as u64
    }

    /// Returns how many daemons with a recent heartbeat precede the host `own` of failure
    /// domain `domain` in the order of take-over. Daemons of domains for which `near`
    /// holds come first, and then those with lower names.
    pub fn rank(
        &self,
        own: &model::HostName,
        domain: &model::DomainName,
        now: clock::Millis,
        near: impl Fn(&model::DomainName) -> bool,
    ) -> u32 {
        let mine = (!near(domain), own);
        let before = self.peers.values().filter(|peer| {
            let recent = peer
                .last_heartbeat
                .is_some_and(|at| now.since(at) < HEARTBEAT_TIMEOUT_MS);
            recent && (!near(&peer.record.domain), &peer.record.host) < mine
        });
        before.count() as u32
    }

    /// Returns the hosts of `domain`, that of this daemon, whose daemons may be live, this one
    /// included, by name.
    pub(super) fn domain_hosts(
        &self,
        domain: &model::DomainName,
        now: clock::Millis,
    ) -> Vec<&model::HostName> {
        let records = self.live_peers(now).map(|peer| &peer.record);
        let hosts = records.filter(|record| record.domain == *domain);
        let hosts = hosts.map(|record| &record.host);
        let mut hosts: Vec<_> = hosts.chain(&self.own).collect();
        hosts.sort_unstable();
        hosts
    }

    /// Returns the hosts of the daemons that may be live, this one of failure domain `domain`
    /// included: one of each failure domain by name, then the next one of each.
    pub fn voter_candidates(
        &self,
        domain: &model::DomainName,
        now: clock::Millis,
    ) -> Vec<model::HostName> {
        let mut domains: BTreeMap<_, BTreeSet<_>> = BTreeMap::new();
        let records = self.live_peers(now).map(|peer| &peer.record);
        let peers = records.map(|record| (&record.domain, &record.host));
        for (domain, host) in peers.chain(self.own.iter().map(|own| (domain, own))) {
            domains.entry(domain).or_default().insert(host);
        }
        let mut ranked: Vec<_> = domains
            .values()
            .flat_map(|hosts| hosts.iter().enumerate())
            .collect();
        // The sort is stable, so that hosts of the same rank stay in the order of domains.
        ranked.sort_by_key(|(rank, _)| *rank);
        ranked
            .into_iter()
            .map(|(_, host)| (*host).clone())
            .collect()
    }

    /// Returns the addresses of all daemons that may be live.
    pub fn addresses(&self, now: clock::Millis) -> Vec<SocketAddr> {
        self.live_peers(now)
            .map(|peer| peer.record.address)
            .collect()
    }

    /// Returns the address of a host, if it is known.
    pub fn address(&self, host: &model::HostName) -> Option<SocketAddr> {
        self.peers.get(host).map(|peer| peer.record.address)
    }
}
