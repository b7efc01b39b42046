//! Other daemons: their directory, their liveness, and the datagrams between daemons.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::clock;
use crate::finding;
use crate::gateway::adapter;
use crate::gateway::choice::{self, RequestCounts, gossip, subset};
use crate::gateway::limits::permit;
use crate::gateway::limits::report;
use crate::gateway::limits::share;
use crate::gateway::quarantine;
use crate::gateway::relay;
use crate::gateway::shared::Shared;
use crate::gateway::view;
use crate::model;

/// Time since its last heartbeat, or since its record was read if there was none, for
/// which a daemon counts as live when common limits are divided.
const LIVE_MS: u64 = 60_000;

/// Time since its last heartbeat after which a daemon no longer counts in the order of
/// take-over and gets no requests in progress and no records.
const HEARTBEAT_TIMEOUT_MS: u64 = 2_500;

/// Interval between heartbeats of the coordinator.
pub(crate) const COORDINATOR_HEARTBEAT_MS: u64 = 250;

/// Interval between heartbeats of other daemons.
const HEARTBEAT_MS: u64 = 1_000;

/// Largest datagram that is read.
const MAX_DATAGRAM_BYTES: usize = 9_000;

/// Rounds after which unchanged counts are sent again.
const REPEAT_ROUNDS: u64 = 40;

/// Part of the counted work by which it decays each second.
pub(crate) const DECAY_PER_S: f32 = 0.35;

/// Largest number of key buckets that one heartbeat reports, the busiest ones.
const MAX_BUCKETS: usize = 192;

/// Largest number of leaving targets that one message reports; bounds the datagram. The
/// list of targets shows the others a little later.
pub(crate) const MAX_LEAVING: usize = 64;

/// Record of a host in the log, appended by its daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Name of the host.
    pub host: model::HostName,
    /// Random number that identifies the daemon's process.
    pub incarnation: model::Incarnation,
    /// Failure domain of the host.
    pub domain: model::DomainName,
    /// Address for datagrams of other daemons.
    pub address: SocketAddr,
}

impl HostRecord {
    /// Returns the record of this daemon's host.
    pub(crate) fn of(shared: &Shared) -> Self {
        Self {
            host: shared.settings.host.clone(),
            incarnation: shared.incarnation,
            domain: shared.settings.domain.clone(),
            address: shared.settings.listen.peer,
        }
    }

    /// Encodes the record for the log.
    pub fn encode(&self) -> Vec<u8> {
        // Serializing plain fields to memory does not fail.
        rmp_serde::to_vec_named(self).unwrap_or_default()
    }

    /// Decodes the record of the host named `key`.
    ///
    /// # Errors
    /// Returns findings if the bytes can't be decoded, if they name another host, whose own
    /// record would be replaced, or if nothing can be sent to the address.
    pub fn decode(key: &str, bytes: &[u8]) -> Result<Self, finding::Findings> {
        let mut findings = finding::Findings::default();
        let place = format!("record of host {key:?}");
        let record: Self = match rmp_serde::from_slice(bytes) {
            Ok(record) => record,
            Err(error) => {
                findings.add(place, "an encoded host record", error.to_string());
                return Err(findings);
            }
        };
        if record.host.as_str() != key {
            findings.add(&place, "this host", format!("{:?}", record.host.as_str()));
        }
        if !adapter::is_destination(record.address) {
            let address = record.address.to_string();
            findings.add(&place, "the address and port of one host", address);
        }
        findings.into_result(record)
    }
}

/// A daemon's claim to be the coordinator, sent with its heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Claim {
    /// Offset of the key table's record that made it the coordinator.
    pub(crate) offset: model::Offset,
    /// Time since it last confirmed that no newer record exists, in milliseconds.
    pub(crate) confirmed: Option<u64>,
    /// Outage of the log that other daemons are asked to acknowledge, identified by the
    /// coordinator's clock at its last confirmation, in milliseconds.
    #[serde(default)]
    pub(crate) outage: Option<u64>,
}

/// Contents of a daemon's heartbeat that depend on the coordinator's state.
pub(crate) struct HeartbeatContent {
    /// Claim to be the coordinator, if the daemon is.
    pub(crate) claim: Option<Claim>,
    /// Offset of the newest record of the key table that the daemon knows.
    pub(crate) newest_record: Option<model::Offset>,
    /// Time for which the daemon has acknowledged no outage of the log, in milliseconds.
    pub(crate) acknowledged_age: u64,
}

/// Buckets of keys of one service, each with its work per second.
type BucketLoads = Vec<(u16, f32)>;

/// Heartbeat of a daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    /// Host of the daemon.
    pub(crate) host: model::HostName,
    /// Random number that identifies the daemon's process.
    pub(crate) incarnation: model::Incarnation,
    /// Time for which the log has answered this daemon, in milliseconds.
    #[serde(default)]
    pub(crate) answering: u64,
    /// Claim to be the coordinator, if the daemon is.
    #[serde(default)]
    pub(crate) claim: Option<Claim>,
    /// Load by service; empty unless the receiver is the coordinator.
    #[serde(default)]
    pub(crate) load: BTreeMap<model::ServiceName, BucketLoads>,
    /// Offset of the newest record of the key table that the daemon knows.
    #[serde(rename = "known", default)]
    pub(crate) newest_record: Option<model::Offset>,
    /// Time for which the daemon has acknowledged no outage of the log, in milliseconds.
    #[serde(rename = "quiet", default)]
    pub(crate) acknowledged_age: u64,
}

/// A datagram between daemons.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Heartbeat of a daemon, which may be the coordinator.
    #[serde(rename = "h")]
    Heartbeat(Heartbeat),
    /// Requests in progress at the daemon with this incarnation.
    #[serde(rename = "c")]
    Counts(u64, choice::RequestCounts),
    /// Records of the log that the sender read for its failure domain.
    #[serde(rename = "l")]
    Relayed(relay::Relayed),
    /// Read progress of the host that reads the log for its failure domain.
    #[serde(rename = "p")]
    Progress(model::HostName, relay::Progress),
    /// Acknowledgment by this host of the outage that a coordinator's claim names.
    #[serde(rename = "a")]
    Acknowledged(model::HostName, u64),
    /// How current the views of the host are that reads the log for its failure domain.
    /// A message of its own, since older daemons skip only whole messages.
    #[serde(rename = "v")]
    Views(model::HostName, view::Announcement),
    /// Compressed records of the log that the sender read for its failure domain.
    #[serde(rename = "z")]
    Compressed(serde_bytes::ByteBuf),
    /// Name and birth of targets of keyed services that said to this host that they leave,
    /// for the coordinator. A message of its own, since older daemons reject a heartbeat
    /// with a further field.
    #[serde(rename = "n")]
    Leaving(model::HostName, Vec<(model::TargetName, u64)>),
    /// Limits that targets named to this host, or that it reports for others. Older daemons
    /// skip the message.
    #[serde(rename = "q")]
    Limits(model::HostName, Vec<report::Report>),
    /// Question for a permit to send a request to a target with a limit.
    #[serde(rename = "k")]
    Question(permit::Question),
    /// Answer to such a question.
    #[serde(rename = "r")]
    Answer(permit::Answer),
    /// What a daemon says about requests that crash targets.
    #[serde(rename = "x")]
    Quarantine(quarantine::wire::Datagram),
}

/// A known daemon.
#[derive(Clone, Debug)]
struct Peer {
    record: HostRecord,
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
    fn recent_peers(&self, now: clock::Millis) -> impl Iterator<Item = &Peer> {
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
    fn domain_hosts(
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

/// Receives datagrams and passes each decoded message to `handle`; never returns.
pub(crate) async fn receive_messages(socket: Rc<UdpSocket>, mut handle: impl FnMut(Message)) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, _)) => match rmp_serde::from_slice(&buffer[..length]) {
                Ok(message) => handle(message),
                Err(error) => log::debug!("skipped a datagram: {error}"),
            },
            // The system reports here that an earlier datagram was refused at its
            // destination.
            Err(_) => tokio::time::sleep(Duration::from_millis(1)).await,
        }
    }
}

/// Sends heartbeats until the process ends, with the contents that `contents` returns.
/// Load is sent only to the host that `coordinator` returns.
pub(crate) async fn send_messages(
    shared: Rc<Shared>,
    socket: Rc<UdpSocket>,
    contents: impl Fn() -> HeartbeatContent,
    coordinator: impl Fn() -> Option<model::HostName>,
) {
    let mut round = 0_u64;
    loop {
        let contents = contents();
        let rounds = HEARTBEAT_MS / COORDINATOR_HEARTBEAT_MS;
        let full = round.is_multiple_of(rounds);
        round += 1;
        if (contents.claim.is_some() || full) && !shared.stopping.get() {
            let load = match full {
                true => take_load(&shared),
                false => BTreeMap::new(),
            };
            send_heartbeat(&shared, &socket, contents, load, coordinator()).await;
            if full {
                report_all_leaving(&shared);
                shared.repeat_limits(round / rounds);
            }
        }
        tokio::time::sleep(Duration::from_millis(COORDINATOR_HEARTBEAT_MS)).await;
    }
}

/// Reports to the coordinator all targets of keyed services that said that they leave and
/// that the list of targets does not show as draining yet; called once a second.
fn report_all_leaving(shared: &Shared) {
    let instances: Vec<_> = shared.notices.borrow().leaving().cloned().collect();
    report_leaving(shared, &instances);
}

/// Reports those of `instances` to the coordinator that may own keys and are listed as
/// ready.
pub(crate) fn report_leaving(shared: &Shared, instances: &[choice::Instance]) {
    let Some(catalog) = shared.catalog.borrow().clone() else {
        return;
    };
    let targets: Vec<_> = {
        let registry = shared.registry.borrow();
        let is_listed_ready = |instance: &&choice::Instance| {
            let target = registry.get(&instance.target);
            target.is_some_and(|target| {
                let service = catalog.service(&target.service);
                target.birth == instance.birth
                    && target.state == adapter::EntryState::Ready
                    && service.is_some_and(|service| service.keyed)
            })
        };
        let listed = instances.iter().filter(is_listed_ready);
        listed
            .take(MAX_LEAVING)
            .map(|instance| (instance.target.clone(), instance.birth))
            .collect()
    };
    let coordinator = {
        let table = shared.table.borrow();
        let peers = shared.peers.borrow();
        // The directory lacks this host, so that the coordinator reports nothing to itself.
        table
            .as_ref()
            .and_then(|(_, table)| peers.address(&table.host))
    };
    if let (Some(address), false) = (coordinator, targets.is_empty()) {
        let message = Message::Leaving(shared.settings.host.clone(), targets);
        // A lost message is followed by the next report.
        let _ = shared.socket.try_send_to(&encode(&message), address);
    }
}

/// Reports limits that targets named to daemons.
pub(crate) fn report_limits(shared: &Shared, reports: &[report::Report], addresses: &[SocketAddr]) {
    for reports in reports.chunks(report::MAX_REPORTS) {
        let message = Message::Limits(shared.settings.host.clone(), reports.to_vec());
        let message = encode(&message);
        for address in addresses {
            // A lost message is followed by the next report.
            let _ = shared.socket.try_send_to(&message, *address);
        }
    }
}

/// Encodes a message for a datagram.
pub(crate) fn encode(message: &Message) -> Vec<u8> {
    // Serializing plain fields to memory does not fail.
    rmp_serde::to_vec(message).unwrap_or_default()
}

/// Sends a message to the daemons of this host's failure domain with a recent heartbeat.
pub(crate) fn send_to_domain(shared: &Shared, message: &[u8]) {
    for address in domain_addresses(shared) {
        // A daemon that misses a message detects this by a later one.
        let _ = shared.socket.try_send_to(message, address);
    }
}

/// Sends this daemon's requests in progress to other daemons when they have changed, at the
/// intervals of [`gossip`].
pub(crate) async fn send_counts(shared: Rc<Shared>, socket: Rc<UdpSocket>) {
    let mut round = 0_u64;
    let mut every: [u64; gossip::TIERS] = std::array::from_fn(|tier| gossip::rounds(tier, 0));
    let mut sent: [RequestCounts; gossip::TIERS] = Default::default();
    let mut sent_at = [0_u64; gossip::TIERS];
    loop {
        tokio::time::sleep(Duration::from_millis(gossip::ROUND_MS)).await;
        round += 1;
        if every.iter().all(|every| !round.is_multiple_of(*every)) {
            continue;
        }
        let counts = shared.choice.borrow().counts();
        for tier in 0..gossip::TIERS {
            let stale = round - sent_at[tier] >= REPEAT_ROUNDS && !counts.is_empty();
            if !round.is_multiple_of(every[tier]) || (counts == sent[tier] && !stale) {
                continue;
            }
            let message = encode(&Message::Counts(shared.incarnation.0, counts.clone()));
            let addresses = tier_addresses(&shared, tier);
            every[tier] = gossip::rounds(tier, addresses.len());
            for address in addresses {
                // A lost message is followed by the next one.
                let _ = socket.send_to(&message, address).await;
            }
            sent[tier].clone_from(&counts);
            sent_at[tier] = round;
        }
    }
}

/// Returns the addresses of the daemons of this host's failure domain with a recent heartbeat.
fn domain_addresses(shared: &Shared) -> Vec<SocketAddr> {
    let peers = shared.peers.borrow();
    let own = peers.recent_peers(clock::now());
    let own = own.filter(|peer| peer.record.domain == shared.settings.domain);
    own.map(|peer| peer.record.address).collect()
}

/// Returns the addresses of the daemons of a tier of [`gossip`] with a recent heartbeat.
fn tier_addresses(shared: &Shared, tier: usize) -> Vec<SocketAddr> {
    let settings = &shared.settings;
    let peers = shared.peers.borrow();
    let now = clock::now();
    let hosts = peers.domain_hosts(&settings.domain, now);
    let group = group(&hosts, &settings.host, usize::MAX);
    let is_grouped = |host: &model::HostName| {
        let position = hosts.binary_search(&host).unwrap_or(hosts.len());
        group.contains(position, hosts.len())
    };
    let members = peers.recent_peers(now).filter(|peer| {
        let record = &peer.record;
        let peer_tier = match settings.region(&record.domain) {
            _ if record.domain == settings.domain && is_grouped(&record.host) => 0,
            _ if record.domain == settings.domain => 1,
            region if region == shared.region.as_ref() => 2,
            _ => 3,
        };
        peer_tier == tier
    });
    members.map(|peer| peer.record.address).collect()
}

/// Returns the group of the host `own` among the sorted hosts of its failure domain, which has
/// `targets` targets of a service.
fn group(hosts: &[&model::HostName], own: &model::HostName, targets: usize) -> subset::Group {
    let rank = hosts.binary_search(&own).unwrap_or_default();
    subset::Group::new(rank, hosts.len(), targets)
}

/// Returns the group of this daemon in its failure domain, which has `targets` targets of a
/// service.
pub(crate) fn own_group(shared: &Shared, targets: usize, now: clock::Millis) -> subset::Group {
    let peers = shared.peers.borrow();
    let hosts = peers.domain_hosts(&shared.settings.domain, now);
    group(&hosts, &shared.settings.host, targets)
}

/// Returns the time in milliseconds after which reports of requests in progress expire.
pub(crate) fn report_ttl_ms(shared: &Shared) -> u64 {
    let receivers = std::array::from_fn(|tier| tier_addresses(shared, tier).len());
    gossip::report_ttl_ms(receivers)
}

/// Sends one heartbeat to all daemons that may be live, with load to the coordinator only.
async fn send_heartbeat(
    shared: &Shared,
    socket: &UdpSocket,
    contents: HeartbeatContent,
    load: BTreeMap<model::ServiceName, BucketLoads>,
    coordinator: Option<model::HostName>,
) {
    let heartbeat = Heartbeat {
        host: shared.settings.host.clone(),
        incarnation: shared.incarnation,
        answering: shared.answering_for(clock::now()),
        claim: contents.claim,
        load: BTreeMap::new(),
        newest_record: contents.newest_record,
        acknowledged_age: contents.acknowledged_age,
    };
    let with_load = Heartbeat {
        load,
        ..heartbeat.clone()
    };
    let without_load = encode(&Message::Heartbeat(heartbeat));
    let with_load = encode(&Message::Heartbeat(with_load));
    let (addresses, coordinator) = {
        let peers = shared.peers.borrow();
        let coordinator = coordinator.and_then(|host| peers.address(&host));
        (peers.addresses(clock::now()), coordinator)
    };
    for address in addresses {
        let message = if Some(address) == coordinator {
            &with_load
        } else {
            &without_load
        };
        // A lost heartbeat is followed by the next one.
        let _ = socket.send_to(message, address).await;
    }
}

/// Returns the decaying average of the work of each service's busiest buckets, per
/// second and busiest first, and decays the counts; called once a second.
pub(crate) fn take_load(shared: &Shared) -> BTreeMap<model::ServiceName, BucketLoads> {
    let mut demand = shared.key_demand.borrow_mut();
    let mut load = BTreeMap::new();
    for (service, buckets) in demand.iter_mut() {
        let mut loads: BucketLoads = buckets
            .iter()
            .map(|(&b, &work)| (b, work * DECAY_PER_S))
            .collect();
        loads.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        loads.truncate(MAX_BUCKETS);
        load.insert(service.clone(), loads);
        // Counts decay, so that their sum is the rate divided by the part that decays
        // each second.
        buckets.retain(|_, work| {
            *work *= 1.0 - DECAY_PER_S;
            *work > 1.0
        });
    }
    load
}
