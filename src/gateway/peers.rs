//! Other daemons: their records in the log, their [`directory`], and the datagrams between
//! daemons.

mod directory;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

pub use self::directory::Directory;
pub(crate) use self::directory::First;
use crate::clock;
use crate::finding;
use crate::gateway::adapter;
use crate::gateway::choice::{self, RequestCounts, gossip, subset};
use crate::gateway::limits::permit;
use crate::gateway::limits::report;
use crate::gateway::quarantine;
use crate::gateway::relay;
use crate::gateway::shared::Shared;
use crate::gateway::view;
use crate::model;

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
