//! Other daemons: where they are, whether they live, and what they say.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::clock;
use crate::finding;
use crate::gateway::choice::{self, Counts};
use crate::gateway::relay;
use crate::gateway::shared::Shared;
use crate::model;

/// Time for which a daemon counts as live for shares of common limits, in milliseconds.
const LIVE: u64 = 60_000;

/// Time without a heartbeat after which a daemon has no rank, in milliseconds.
const RANKED: u64 = 2_500;

/// Time between heartbeats of the steward, in milliseconds.
pub(crate) const STEWARD_BEAT: u64 = 250;

/// Time between heartbeats of other daemons, in milliseconds.
const BEAT: u64 = 1_000;

/// Largest datagram that is read, in bytes.
const DATAGRAM: usize = 9_000;

/// Time between looks at the requests in progress, in milliseconds.
const COUNTS: u64 = 25;

/// Looks after which daemons of the failure domain, of the region, and of other
/// regions are told.
const TIERS: [u64; 3] = [1, 5, 24];

/// Looks after which requests in progress are told again though they are the same.
const REPEAT: u64 = 40;

/// Part of the counted work that is forgotten each second.
pub(crate) const FADING: f32 = 0.35;

/// Busiest buckets of keys that one message names.
const BUCKETS: usize = 192;

/// What a host says of itself in the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Notice {
    /// Name of the host.
    pub host: model::HostName,
    /// Random number of its process.
    pub incarnation: model::Incarnation,
    /// Failure domain.
    pub domain: model::DomainName,
    /// Address for messages.
    pub address: SocketAddr,
}

impl Notice {
    /// Returns this daemon's notice.
    pub(crate) fn of(shared: &Shared) -> Self {
        Self {
            host: shared.settings.host.clone(),
            incarnation: shared.incarnation,
            domain: shared.settings.domain.clone(),
            address: shared.settings.listen.peer,
        }
    }

    /// Encodes the notice for the log.
    pub fn encode(&self) -> Vec<u8> {
        // Writing plain fields to memory does not fail.
        rmp_serde::to_vec_named(self).unwrap_or_default()
    }

    /// Decodes a notice.
    ///
    /// # Errors
    /// Returns what is wrong with it.
    pub fn decode(bytes: &[u8]) -> Result<Self, finding::Findings> {
        rmp_serde::from_slice(bytes).map_err(|error| {
            let mut findings = finding::Findings::default();
            findings.add("record of a host", "a host's notice", error.to_string());
            findings
        })
    }
}

/// What a daemon says of the key table.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Claim {
    /// Offset of the record by which it is the steward.
    pub(crate) offset: model::Offset,
    /// Time since it knew that no newer record exists, in milliseconds.
    pub(crate) confirmed: Option<u64>,
    /// Outage of the log that daemons are asked to acknowledge.
    #[serde(default)]
    pub(crate) outage: Option<u64>,
}

/// What a daemon's heartbeat says besides its load.
pub(crate) struct Word {
    pub(crate) claim: Option<Claim>,
    /// Newest record of the key table that the daemon knows.
    pub(crate) known: Option<model::Offset>,
    /// Time for which the daemon has acknowledged no outage, in milliseconds.
    pub(crate) quiet: u64,
}

/// Work by bucket of keys of one service.
type Figures = Vec<(u16, f32)>;

/// What a daemon says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    pub(crate) host: model::HostName,
    pub(crate) incarnation: model::Incarnation,
    /// Time for which the log has answered this daemon, in milliseconds.
    #[serde(default)]
    pub(crate) answering: u64,
    #[serde(default)]
    pub(crate) claim: Option<Claim>,
    #[serde(default)]
    pub(crate) load: BTreeMap<model::ServiceName, Figures>,
    /// Newest record of the key table that it knows.
    #[serde(default)]
    pub(crate) known: Option<model::Offset>,
    /// Time for which it has acknowledged no outage of the log, in milliseconds.
    #[serde(default)]
    pub(crate) quiet: u64,
}

/// A datagram between daemons.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// A daemon lives, and may be the steward.
    #[serde(rename = "h")]
    Heartbeat(Heartbeat),
    /// Requests in progress of the daemon with this incarnation.
    #[serde(rename = "c")]
    Counts(u64, choice::Counts),
    /// Records of the log, read for the failure domain.
    #[serde(rename = "l")]
    Relayed(relay::Relayed),
    /// This host reads for its failure domain.
    #[serde(rename = "p")]
    Progress(model::HostName, relay::Progress),
    /// This host acknowledges the outage that a steward named.
    #[serde(rename = "a")]
    Acknowledged(model::HostName, u64),
}

#[derive(Clone, Debug)]
struct Peer {
    notice: Notice,
    listed: clock::Millis,
    heard: Option<clock::Millis>,
}

/// Daemons known from the log, this one left out.
#[derive(Debug, Default)]
pub struct Directory {
    own: Option<model::HostName>,
    peers: HashMap<model::HostName, Peer>,
}

impl Directory {
    /// Returns a directory of the daemon on host `own`.
    pub fn new(own: model::HostName) -> Self {
        Self {
            own: Some(own),
            peers: HashMap::new(),
        }
    }

    /// Takes a host's notice.
    pub fn list(&mut self, notice: Notice, now: clock::Millis) {
        if self.own.as_ref() == Some(&notice.host) {
            return;
        }
        let host = notice.host.clone();
        let known = self.peers.get(&host);
        if known.is_some_and(|peer| peer.notice == notice) {
            return;
        }
        let peer = Peer {
            notice,
            listed: now,
            heard: None,
        };
        self.peers.insert(host, peer);
    }

    /// Takes note of a heartbeat.
    pub fn on_heartbeat(&mut self, host: &model::HostName, now: clock::Millis) {
        if let Some(peer) = self.peers.get_mut(host) {
            peer.heard = Some(now);
        }
    }

    /// Returns the number of daemons that may be live, this one included.
    pub fn live(&self, now: clock::Millis) -> u32 {
        1 + self.living(now).count() as u32
    }

    /// Returns the number of daemons of a failure domain that may be live, one
    /// at least.
    pub fn live_in(&self, domain: &model::DomainName, now: clock::Millis) -> u32 {
        let peers = self.living(now);
        1 + peers.filter(|peer| peer.notice.domain == *domain).count() as u32
    }

    fn living(&self, now: clock::Millis) -> impl Iterator<Item = &Peer> {
        self.peers
            .values()
            .filter(move |peer| now.since(peer.heard.unwrap_or(peer.listed)) < LIVE)
    }

    /// Returns the daemons that were heard of late.
    fn ranked(&self, now: clock::Millis) -> impl Iterator<Item = &Peer> {
        self.peers
            .values()
            .filter(move |peer| peer.heard.is_some_and(|heard| now.since(heard) < RANKED))
    }

    /// Returns the number of daemons of `domain` that were heard of late.
    pub(crate) fn near(&self, domain: &model::DomainName, now: clock::Millis) -> u64 {
        let peers = self.ranked(now);
        peers.filter(|peer| peer.notice.domain == *domain).count() as u64
    }

    /// Returns how many live daemons come before `own` in the order of take-over.
    /// Daemons for which `near` holds come first.
    pub fn rank(
        &self,
        own: &model::HostName,
        domain: &model::DomainName,
        now: clock::Millis,
        near: impl Fn(&model::DomainName) -> bool,
    ) -> u32 {
        let mine = (!near(domain), own);
        let before = self.peers.values().filter(|peer| {
            let recent = peer.heard.is_some_and(|heard| now.since(heard) < RANKED);
            recent && (!near(&peer.notice.domain), &peer.notice.host) < mine
        });
        before.count() as u32
    }

    /// Returns the addresses of all daemons that may be live.
    pub fn addresses(&self, now: clock::Millis) -> Vec<SocketAddr> {
        self.living(now).map(|peer| peer.notice.address).collect()
    }

    /// Returns the address of a host.
    pub fn address(&self, host: &model::HostName) -> Option<SocketAddr> {
        self.peers.get(host).map(|peer| peer.notice.address)
    }
}

/// Receives datagrams and hands them to `take`.
pub(crate) async fn receive(socket: Rc<UdpSocket>, mut take: impl FnMut(Message)) {
    let mut buffer = vec![0; DATAGRAM];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, _)) => match rmp_serde::from_slice(&buffer[..length]) {
                Ok(message) => take(message),
                Err(error) => log::debug!("skipped a datagram: {error}"),
            },
            // An earlier datagram was refused at its destination.
            Err(_) => tokio::time::sleep(Duration::from_millis(1)).await,
        }
    }
}

/// Sends heartbeats for the life of the process; `word` says what they carry.
/// Load goes to the steward named by `steward`.
pub(crate) async fn send(
    shared: Rc<Shared>,
    socket: Rc<UdpSocket>,
    word: impl Fn() -> Word,
    steward: impl Fn() -> Option<model::HostName>,
) {
    let mut beat = 0_u64;
    loop {
        let word = word();
        let every = BEAT / STEWARD_BEAT;
        let full = beat.is_multiple_of(every);
        beat += 1;
        if (word.claim.is_some() || full) && !shared.stopping.get() {
            let load = match full {
                true => take_load(&shared),
                false => BTreeMap::new(),
            };
            send_once(&shared, &socket, word, load, steward()).await;
        }
        tokio::time::sleep(Duration::from_millis(STEWARD_BEAT)).await;
    }
}

pub(crate) fn encode(message: &Message) -> Vec<u8> {
    // Writing plain fields to memory does not fail.
    rmp_serde::to_vec(message).unwrap_or_default()
}

/// Sends a message to the live daemons of this host's failure domain.
pub(crate) fn tell_domain(shared: &Shared, message: &[u8]) {
    for address in tier_of(shared, 0) {
        // Whoever misses a message notices by a later one.
        let _ = shared.socket.try_send_to(message, address);
    }
}

/// Tells other daemons of this daemon's requests in progress whenever they
/// change: those of its failure domain at once, others less often, since bytes
/// between domains and regions have a price.
pub(crate) async fn send_counts(shared: Rc<Shared>, socket: Rc<UdpSocket>) {
    let mut round = 0_u64;
    let mut sent = [Counts::new(), Counts::new(), Counts::new()];
    let mut last = [0_u64; 3];
    loop {
        tokio::time::sleep(Duration::from_millis(COUNTS)).await;
        round += 1;
        let counts = shared.choice.borrow().counts();
        for (tier, every) in TIERS.into_iter().enumerate() {
            let stale = round - last[tier] >= REPEAT && !counts.is_empty();
            if !round.is_multiple_of(every) || (counts == sent[tier] && !stale) {
                continue;
            }
            let message = encode(&Message::Counts(shared.incarnation.0, counts.clone()));
            let addresses = tier_of(&shared, tier);
            for address in addresses {
                // A lost message is followed by the next one.
                let _ = socket.send_to(&message, address).await;
            }
            sent[tier].clone_from(&counts);
            last[tier] = round;
        }
    }
}

/// Returns the addresses of daemons in the same failure domain, in others of
/// the region, or in other regions.
fn tier_of(shared: &Shared, tier: usize) -> Vec<SocketAddr> {
    let settings = &shared.settings;
    let peers = shared.peers.borrow();
    let list = peers.ranked(clock::now()).filter(|peer| {
        let domain = &peer.notice.domain;
        let found = match settings.region(domain) {
            _ if *domain == settings.domain => 0,
            region if region == shared.region.as_ref() => 1,
            _ => 2,
        };
        found == tier
    });
    list.map(|peer| peer.notice.address).collect()
}

async fn send_once(
    shared: &Shared,
    socket: &UdpSocket,
    word: Word,
    load: BTreeMap<model::ServiceName, Figures>,
    steward: Option<model::HostName>,
) {
    let heartbeat = Heartbeat {
        host: shared.settings.host.clone(),
        incarnation: shared.incarnation,
        answering: shared.answering_for(clock::now()),
        claim: word.claim,
        load: BTreeMap::new(),
        known: word.known,
        quiet: word.quiet,
    };
    let whole = Heartbeat {
        load,
        ..heartbeat.clone()
    };
    let plain = encode(&Message::Heartbeat(heartbeat));
    let whole = encode(&Message::Heartbeat(whole));
    let (addresses, to) = {
        let peers = shared.peers.borrow();
        let to = steward.and_then(|host| peers.address(&host));
        (peers.addresses(clock::now()), to)
    };
    for address in addresses {
        let message = if Some(address) == to { &whole } else { &plain };
        // A lost heartbeat is followed by the next one.
        let _ = socket.send_to(message, address).await;
    }
}

/// Takes the work counted since the last call, per second, busiest buckets first.
pub(crate) fn take_load(shared: &Shared) -> BTreeMap<model::ServiceName, Figures> {
    let mut demand = shared.demand.borrow_mut();
    let mut load = BTreeMap::new();
    for (service, buckets) in demand.iter_mut() {
        let mut figures: Figures = buckets
            .iter()
            .map(|(&b, &work)| (b, work * FADING))
            .collect();
        figures.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        figures.truncate(BUCKETS);
        load.insert(service.clone(), figures);
        // What was counted fades, so that the sum is the rate divided by the part
        // that fades each second.
        buckets.retain(|_, work| {
            *work *= 1.0 - FADING;
            *work > 1.0
        });
    }
    load
}
