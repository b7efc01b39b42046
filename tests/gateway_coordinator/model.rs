//! Model of the platform: a log with conditional appends, targets that check fences and
//! leases, and daemons that may be paused between polling and sending.

#[path = "fault.rs"]
mod fault;
#[path = "follower.rs"]
mod follower;
#[path = "log.rs"]
mod log;
#[path = "target.rs"]
mod target;

use std::collections::BTreeMap;
use std::rc::Rc;

use pistachiomoor::clock::Millis;
use pistachiomoor::gateway::adapter;
use pistachiomoor::gateway::coordinator;
use pistachiomoor::gateway::keys;
use pistachiomoor::model;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use self::fault::Kind;
pub use self::fault::{Fault, fault, heartbeat_loss, quick_restart, refused_link, restore};
use self::follower::{Follower, FollowerRead};
use self::log::{Answer, Log};

const BUCKETS: usize = 65_536 / keys::BUCKET_KEYS as usize;
const TARGETS: usize = 4;
/// Time after the end of all faults within which every key must have an owner, if the log
/// is in its first era.
const RECOVERY_MS: u64 = 15_000;
/// Longest time for which a target may hold keys: an extended lease by a clock that runs 2%
/// slow, and the margin for orders in flight.
const MAX_HOLD_MS: u64 = 10_205 + 300;
/// Longest time until a daemon takes over from a log that answers: a read that was lost and
/// its retry delay at the highest rank (1 s and 1.5 s), the age of the last confirmation
/// from which a takeover is due (2 s), and the delay of the takeover at that rank (0.3 s).
const TAKEOVER_MS: u64 = 1_000 + 1_500 + 2_000 + 300;
/// Time until all keys are granted once they may be: a conflicting append, the read after it
/// and the next append (0.5 s), and a target's first lost order with its retry (0.75 s).
const GRANTS_MS: u64 = 500 + 750;
/// Time after which an append of unknown outcome has taken effect, if ever.
const LATE_APPEND_MS: u64 = 6_000;
/// Timeout of an order to a target.
const ORDER_TIMEOUT_MS: u64 = 500;
/// Timeout of a call to the log.
const LOG_TIMEOUT_MS: u64 = 1_000;
/// Time from the list entry that shows a target's shutdown until the target closes its
/// listener.
const CLOSING_DELAY_MS: u64 = 300;
/// Time after which the list entry of a killed target expires.
const ENTRY_EXPIRY_MS: u64 = 4_000;

#[derive(Clone, Debug)]
enum Event {
    Wake(usize, u64),
    SendHeartbeat(usize, u64),
    List(usize, u64),
    /// A list of targets was read.
    Listed(usize, u64, Vec<coordinator::Member>),
    Send(usize, u64, coordinator::Action),
    Arrive(usize, u64, coordinator::Action),
    /// An order takes effect at a target; the numbers at the end are the target's birth
    /// and the time at which the order arrived.
    Apply(usize, u64, coordinator::Action, u64, u64),
    Reply(usize, u64, u64, coordinator::OrderOutcome),
    /// An append reaches the log; the last number is the time by which it is answered.
    Append(usize, u64, Rc<[u8]>, model::Offset, Option<u64>),
    Appended(usize, u64, Option<adapter::AppendOutcome>),
    /// A read from an offset on reaches the log; the last number is the start of the read.
    Read(usize, u64, u64, Option<model::Offset>),
    ReadDone(usize, u64, u64, Answer),
    Unread(usize, u64),
    /// The follower of the topic is due to read; the last number is that of the read.
    Follow(usize, u64, u64),
    FollowerReads(usize, u64, FollowerRead),
    Followed(usize, u64, FollowerRead, Option<Answer>),
    /// Records up to this offset were passed on to a daemon.
    Relayed(usize, model::Offset),
    /// The log returns as a copy of this age after it went away at the time given first.
    LogRestored(u64, Option<u64>),
    Heartbeat(usize, usize, u64, Heartbeat),
    /// A daemon's acknowledgement of an outage.
    Acknowledged(usize, usize, u64),
    DaemonStarts(usize),
    TargetStarts(usize),
    TargetStops(usize),
}

/// Content of a heartbeat.
#[derive(Clone, Debug)]
struct Heartbeat {
    /// Offset of the coordinator's record and age of its last confirmation.
    claim: Option<(model::Offset, Option<u64>)>,
    outage: Option<u64>,
    acknowledged_age: u64,
    known: Option<model::Offset>,
}

struct Daemon {
    incarnation: u64,
    alive: bool,
    coordinator: coordinator::Coordinator,
    follower: Follower,
    last_heartbeat: Vec<u64>,
    /// Number of the last scheduled wake-up; earlier ones are ignored.
    wake_number: u64,
}

struct Target {
    birth: u64,
    alive: bool,
    warm_from: u64,
    /// Time at which the target was killed.
    killed_at: u64,
    /// Milliseconds of real time per millisecond of the target's clock.
    clock_factor: f64,
    fences: Vec<u64>,
    lease_ends: Vec<u64>,
}

/// The platform, its daemons and its targets.
pub struct World {
    now: u64,
    rng: StdRng,
    faults: Vec<Fault>,
    faults_end: u64,
    events: BTreeMap<(u64, u64), Event>,
    event_count: u64,
    log: Log,
    /// The daemons follow the topic and pass on its records.
    following: bool,
    daemons: Vec<Daemon>,
    targets: Vec<Target>,
    /// Last holder of each bucket: target, birth and fence.
    holders: Vec<Option<(usize, u64, u64)>>,
    violation: Option<String>,
}

fn host(daemon: usize) -> model::HostName {
    format!("h{daemon}").as_str().into()
}

fn target_of(owner: &keys::Owner) -> usize {
    owner.target.as_str()[1..].parse().unwrap()
}

fn buckets(range: adapter::KeyRange) -> std::ops::RangeInclusive<usize> {
    let bucket = |key| usize::from(key / keys::BUCKET_KEYS);
    bucket(range.first)..=bucket(range.last)
}

impl World {
    /// Returns a world in which `faults` occur, with an empty log of the era `era`.
    pub fn new(seed: u64, daemons: usize, era: u64, faults: &[Fault]) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let ends = faults.iter().map(|fault| fault.at + fault.length);
        let daemon = |i| Daemon {
            incarnation: 1,
            alive: true,
            coordinator: coordinator::Coordinator::new(host(i), model::Incarnation(1), Millis(0)),
            follower: Follower::default(),
            last_heartbeat: vec![0; daemons],
            wake_number: 0,
        };
        let targets = (0..TARGETS).map(|_| Target {
            birth: 1,
            alive: true,
            warm_from: 0,
            killed_at: 0,
            clock_factor: 1.0 / rng.random_range(0.98..=1.0),
            fences: vec![0; BUCKETS],
            lease_ends: vec![0; BUCKETS],
        });
        let targets = targets.collect();
        let mut world = Self {
            now: 0,
            rng,
            faults: faults.to_vec(),
            faults_end: ends.max().unwrap_or(0),
            events: BTreeMap::new(),
            event_count: 0,
            log: Log::new(era),
            following: false,
            daemons: (0..daemons).map(daemon).collect(),
            targets,
            holders: vec![None; BUCKETS],
            violation: None,
        };
        for i in 0..daemons {
            world.start_daemon(i);
        }
        for fault in faults {
            let (at, end) = (fault.at, fault.at + fault.length);
            match fault.kind {
                Kind::DaemonKilled(i) if i < daemons => world.schedule(end, Event::DaemonStarts(i)),
                Kind::TargetKilled(i) => {
                    world.schedule(at, Event::TargetStops(i));
                    world.schedule(end, Event::TargetStarts(i));
                }
                Kind::TargetCloses(i, _) => world.schedule(end, Event::TargetStarts(i)),
                Kind::LogRestored(age) => world.schedule(end, Event::LogRestored(at, age)),
                _ => {}
            }
        }
        world
    }

    /// Runs until all keys have an owner after the last fault. After a restore of the log,
    /// all leases of before it must have ended as well.
    ///
    /// # Errors
    /// Describes two owners of one key, a fence that did not rise, or keys without an
    /// owner after the time to recover.
    pub fn run(mut self) -> Result<(), String> {
        let restored = |fault: &Fault| matches!(fault.kind, Kind::LogRestored(_));
        let settled = match self.faults.iter().any(restored) {
            true => self.faults_end + MAX_HOLD_MS,
            false => self.faults_end,
        };
        let mut next = settled;
        while let Some(((at, _), event)) = self.events.pop_first() {
            while next <= at {
                self.now = next;
                if self.is_held() {
                    return Ok(());
                }
                if next > self.faults_end + self.recovery() {
                    return Err(self.recovery_error());
                }
                next += 50;
            }
            self.now = at;
            self.handle(event);
            if let Some(violation) = self.violation.take() {
                return Err(format!("at {at} ms: {violation}"));
            }
        }
        Err("no daemon is running".to_owned())
    }

    /// Returns the time after the end of all faults within which every key must have an
    /// owner. In a later era than the first, the coordinator waits until all orders and
    /// leases by lost records have ended. An append of before the end of the faults may make
    /// another daemon the coordinator until it has taken effect, and begin the wait anew.
    fn recovery(&self) -> u64 {
        if self.log.era() == 0 {
            return RECOVERY_MS;
        }
        let late = |fault: &Fault| {
            matches!(
                fault.kind,
                Kind::LogDown | Kind::AppendsUnanswered | Kind::LogRestored(_)
            )
        };
        let late = match self.faults.iter().any(late) {
            true => LATE_APPEND_MS,
            false => 0,
        };
        late + TAKEOVER_MS + coordinator::AUTHORITY_MS + MAX_HOLD_MS + GRANTS_MS
    }

    fn recovery_error(&self) -> String {
        let free = (0..BUCKETS).filter(|&b| self.holder(b).is_none()).count();
        format!(
            "{free} buckets without an owner {} ms after the faults ended at {} ms: {:?}",
            self.recovery(),
            self.faults_end,
            self.log.newest_table()
        )
    }

    fn is_held(&self) -> bool {
        (0..BUCKETS).all(|bucket| self.holder(bucket).is_some())
    }

    fn holder(&self, bucket: usize) -> Option<usize> {
        let holds = |target: &Target| target.alive && target.lease_ends[bucket] > self.now;
        self.targets.iter().position(holds)
    }

    fn has_fault(&self, matches: impl Fn(Kind) -> bool) -> bool {
        let mut faults = self.faults.iter();
        faults.any(|fault| fault.is_on(self.now) && matches(fault.kind))
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.event_count += 1;
        self.events.insert((at, self.event_count), event);
    }

    fn start_daemon(&mut self, i: usize) {
        let incarnation = self.daemons[i].incarnation;
        let now = self.now;
        self.schedule(now, Event::List(i, incarnation));
        self.schedule(now, Event::SendHeartbeat(i, incarnation));
        self.schedule(now, Event::Wake(i, 0));
        self.start_follower(i);
    }

    /// Returns the daemon that an event is for, and the incarnation that it must have.
    fn daemon_of(event: &Event) -> Option<(usize, Option<u64>)> {
        match event {
            Event::Wake(i, _)
            | Event::Heartbeat(i, ..)
            | Event::Acknowledged(i, ..)
            | Event::Relayed(i, _) => Some((*i, None)),
            Event::SendHeartbeat(i, incarnation)
            | Event::List(i, incarnation)
            | Event::Listed(i, incarnation, ..)
            | Event::Send(i, incarnation, _)
            | Event::Reply(i, incarnation, ..)
            | Event::Appended(i, incarnation, _)
            | Event::ReadDone(i, incarnation, ..)
            | Event::Follow(i, incarnation, _)
            | Event::Followed(i, incarnation, ..)
            | Event::Unread(i, incarnation) => Some((*i, Some(*incarnation))),
            Event::Arrive(..)
            | Event::Apply(..)
            | Event::Append(..)
            | Event::Read(..)
            | Event::FollowerReads(..)
            | Event::LogRestored(..)
            | Event::DaemonStarts(_)
            | Event::TargetStarts(_)
            | Event::TargetStops(_) => None,
        }
    }

    /// Returns whether an event reaches its daemon now; events of a paused daemon are
    /// delayed until the pause ends.
    fn reaches(&mut self, event: &Event) -> bool {
        let Some((i, incarnation)) = Self::daemon_of(event) else {
            return true;
        };
        if self.has_fault(|kind| matches!(kind, Kind::DaemonKilled(k) if k == i)) {
            self.daemons[i].alive = false;
        }
        if !self.daemons[i].alive
            || incarnation.is_some_and(|incarnation| incarnation != self.daemons[i].incarnation)
        {
            return false;
        }
        let pauses = self.faults.iter().filter(|fault| {
            fault.is_on(self.now) && matches!(fault.kind, Kind::DaemonPaused(k) if k == i)
        });
        let end = pauses.map(|fault| fault.at + fault.length).max();
        if let Some(end) = end {
            self.schedule(end, event.clone());
        }
        end.is_none()
    }

    fn handle(&mut self, event: Event) {
        if !self.reaches(&event) {
            return;
        }
        let now = Millis(self.now);
        match event {
            Event::Wake(i, number) if number == self.daemons[i].wake_number => self.poll(i),
            Event::Wake(..) => {}
            Event::SendHeartbeat(i, incarnation) => self.send_heartbeat(i, incarnation),
            Event::List(i, incarnation) => self.list(i, incarnation),
            Event::Listed(i, _, members) => self.listed(i, members),
            Event::Send(i, incarnation, action) => self.send(i, incarnation, action),
            Event::Arrive(i, incarnation, action) => self.arrive(i, incarnation, action),
            Event::Apply(i, incarnation, action, birth, at) => {
                self.apply(i, incarnation, action, birth, at)
            }
            Event::Reply(i, _, call, reply) => {
                self.daemons[i].coordinator.on_ordered(now, call, reply);
                self.poll(i);
            }
            Event::Append(i, incarnation, table, end, limit) => {
                self.append(i, incarnation, table, end, limit);
            }
            Event::Appended(i, _, answer) => {
                self.daemons[i].coordinator.on_appended(now, answer);
                self.poll(i);
            }
            Event::Read(i, incarnation, started, from) => {
                self.execute_read(i, incarnation, started, from);
            }
            Event::ReadDone(i, _, started, answer) => self.read_done(i, started, answer),
            Event::Follow(i, incarnation, number) => self.follow(i, incarnation, number),
            Event::FollowerReads(i, incarnation, read) => {
                self.follower_reads(i, incarnation, read);
            }
            Event::Followed(i, _, read, answer) => self.followed(i, read, answer),
            Event::Relayed(i, next) => self.relayed(i, next),
            Event::LogRestored(away, age) => self.restore_log(away, age),
            Event::Unread(i, _) => {
                self.daemons[i].coordinator.on_read_failed(now);
                self.poll(i);
            }
            Event::Heartbeat(i, from, incarnation, heartbeat) => {
                self.on_heartbeat(i, from, incarnation, heartbeat)
            }
            Event::Acknowledged(i, from, outage) => {
                self.daemons[i]
                    .coordinator
                    .on_acknowledged(now, host(from), outage);
                self.poll(i);
            }
            Event::DaemonStarts(i) => self.restart(i),
            Event::TargetStops(i) => {
                self.targets[i].alive = false;
                self.targets[i].killed_at = self.now;
            }
            Event::TargetStarts(i) => {
                let warm_from = self.now + 1_500;
                let target = &mut self.targets[i];
                target.birth += 1;
                target.alive = true;
                target.warm_from = warm_from;
                target.fences.fill(0);
                target.lease_ends.fill(0);
            }
        }
    }

    fn restart(&mut self, i: usize) {
        if self.has_fault(|kind| matches!(kind, Kind::DaemonKilled(k) if k == i)) {
            return;
        }
        let daemon = &mut self.daemons[i];
        daemon.incarnation += 1;
        daemon.alive = true;
        let incarnation = model::Incarnation(daemon.incarnation);
        daemon.coordinator = coordinator::Coordinator::new(host(i), incarnation, Millis(self.now));
        self.start_daemon(i);
    }

    fn poll(&mut self, i: usize) {
        let rank = (0..i).filter(|&k| self.daemons[i].last_heartbeat[k] + 2_000 > self.now);
        let rank = rank.count() as u32;
        let incarnation = self.daemons[i].incarnation;
        let live = self.daemons.len() as u32;
        self.daemons[i].coordinator.on_daemons(live);
        let candidates = (0..self.daemons.len()).map(host).collect();
        self.daemons[i].coordinator.on_candidates(candidates);
        for action in self.daemons[i].coordinator.poll(Millis(self.now), rank) {
            match action {
                coordinator::Action::Read => self.begin_read(i, incarnation),
                coordinator::Action::Append { table, end } => {
                    self.begin_append(i, incarnation, table, end)
                }
                order => {
                    let at = self.now + self.send_delay();
                    self.schedule(at, Event::Send(i, incarnation, order));
                }
            }
        }
        let wake = self.daemons[i].coordinator.next_wake(Millis(self.now));
        self.daemons[i].wake_number += 1;
        let number = self.daemons[i].wake_number;
        self.schedule(wake.0.max(self.now + 1), Event::Wake(i, number));
    }

    /// Returns the time between polling and sending; a task may be starved while the rest
    /// of the daemon runs.
    fn send_delay(&mut self) -> u64 {
        if self.now < self.faults_end && self.rng.random_bool(0.03) {
            self.rng.random_range(100..5_000)
        } else {
            self.rng.random_range(0..3)
        }
    }

    fn is_partitioned(&self, i: usize) -> bool {
        self.has_fault(
            |kind| matches!(kind, Kind::Partition(k, _) | Kind::PartitionRefused(k, _) if k == i),
        )
    }

    /// Returns whether the network refuses connections of daemon `i` to target `t`.
    fn is_refused(&self, i: usize, t: usize) -> bool {
        self.has_fault(|kind| match kind {
            Kind::TargetRefused(k) => k == t,
            Kind::PartitionRefused(daemon, target) => (daemon == i) != (target == t),
            _ => false,
        })
    }

    /// Returns whether orders of daemon `i` reach target `t`.
    fn is_reachable(&self, i: usize, t: usize) -> bool {
        !self.has_fault(|kind| match kind {
            Kind::TargetUnreachable(k) => k == t,
            Kind::Partition(daemon, target) => (daemon == i) != (target == t),
            _ => false,
        })
    }

    fn send_heartbeat(&mut self, i: usize, incarnation: u64) {
        let now = Millis(self.now);
        let coordinator = &mut self.daemons[i].coordinator;
        let is_coordinator = coordinator.is_coordinator();
        let age = coordinator.confirmed_age(now);
        let (acknowledged_age, known) = coordinator.report(now);
        let heartbeat = Heartbeat {
            claim: is_coordinator.then(|| (coordinator.offset().unwrap(), age)),
            outage: coordinator.request_acknowledgement(now),
            acknowledged_age,
            known,
        };
        for k in (0..self.daemons.len()).filter(|&k| k != i) {
            if let Some(at) = self.datagram(i, k) {
                self.schedule(at, Event::Heartbeat(k, i, incarnation, heartbeat.clone()));
            }
        }
        let period = if is_coordinator { 250 } else { 1_000 };
        self.schedule(self.now + period, Event::SendHeartbeat(i, incarnation));
    }

    /// Returns when a datagram from daemon `i` reaches daemon `k`, if it does.
    fn datagram(&mut self, i: usize, k: usize) -> Option<u64> {
        let partitioned = self.is_partitioned(i) || self.is_partitioned(k);
        let lossy = self.has_fault(|kind| matches!(kind, Kind::HeartbeatsLost));
        let arrives = !(partitioned || lossy && self.rng.random_bool(0.8));
        arrives.then(|| self.now + self.rng.random_range(1..3))
    }

    fn on_heartbeat(&mut self, i: usize, from: usize, incarnation: u64, heartbeat: Heartbeat) {
        self.daemons[i].last_heartbeat[from] = self.now;
        let now = Millis(self.now);
        let coordinator = &mut self.daemons[i].coordinator;
        coordinator.on_report(now, host(from), heartbeat.known, heartbeat.acknowledged_age);
        let Some((offset, age)) = heartbeat.claim else {
            return;
        };
        let incarnation = model::Incarnation(incarnation);
        coordinator.on_heartbeat(now, host(from), incarnation, offset, age);
        if let Some(outage) = heartbeat.outage
            && coordinator.acknowledge(now, offset)
            && let Some(at) = self.datagram(i, from)
        {
            self.schedule(at, Event::Acknowledged(from, i, outage));
        }
        self.poll(i);
    }

    /// Reads the list of targets for a daemon, every 0.5 to 0.9 s. The daemon keeps its
    /// list while it can't read the log.
    fn list(&mut self, i: usize, incarnation: u64) {
        if !self.is_log_unavailable(i) {
            let entries = (0..TARGETS).filter_map(|k| self.entry(k)).collect();
            let at = self.now + self.log_delay();
            self.schedule(at, Event::Listed(i, incarnation, entries));
        }
        let hot = (0..8).map(|_| {
            (
                self.rng.random_range(0..BUCKETS as u16),
                self.rng.random_range(0.0..40.0),
            )
        });
        let (now, hot) = (Millis(self.now), hot.collect());
        self.daemons[i]
            .coordinator
            .on_load(now, host(i), "s".into(), hot);
        let at = self.now + self.rng.random_range(500..900);
        self.schedule(at, Event::List(i, incarnation));
        self.poll(i);
    }

    fn listed(&mut self, i: usize, members: Vec<coordinator::Member>) {
        let services = BTreeMap::from([("s".into(), None)]);
        let now = Millis(self.now);
        let coordinator = &mut self.daemons[i].coordinator;
        coordinator.on_targets(now, members, services);
        self.poll(i);
    }
}

fn call_and_owner(action: &coordinator::Action) -> (u64, keys::Owner) {
    match action {
        coordinator::Action::Grant { call, owner, .. }
        | coordinator::Action::Release { call, owner, .. } => (*call, owner.clone()),
        coordinator::Action::Append { .. } | coordinator::Action::Read => {
            unreachable!("not an order")
        }
    }
}
