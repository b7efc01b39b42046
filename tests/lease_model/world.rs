//! Model of log, network and targets, which runs in steps of 0.7 ms.

mod check;
mod daemon;
mod handover;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

use pistachiomoor::clock::Millis;
use pistachiomoor::lease;
use pistachiomoor::model;
use pistachiomoor::state;

use check::Grant;
use daemon::Daemon;

/// Index of the log among the nodes; those below it are the daemons.
pub const LOG: usize = 3;
/// Index of the node that stands for all targets.
pub const TARGETS: usize = 4;
/// Names of the targets. The first checks fences, the second does not.
const NAMES: [&str; 2] = ["checks", "trusts"];

/// Number of accepted lease records that replaced a holder, over all cases.
pub static TAKEOVERS: AtomicU64 = AtomicU64::new(0);
/// Number of times that a holder that replaced another could move shards, over
/// all cases.
pub static MOVES: AtomicU64 = AtomicU64::new(0);

/// Number of accepted hand-overs and resignations without a record, over all cases.
pub static HANDOVERS: AtomicU64 = AtomicU64::new(0);

/// Real time, in units of 0.1 ms.
type Time = u64;

/// Units of [`Time`] in a millisecond.
const UNITS_PER_MS: Time = 10;
/// Length of a step of the model. It does not divide a millisecond, so that
/// steps fall on all fractions of one.
const STEP_UNITS: Time = 7;
/// Shortest time between two ticks of a daemon.
const TICK_MIN_UNITS: Time = 150;
/// Range of the random time added to [`TICK_MIN_UNITS`].
const TICK_JITTER_UNITS: Time = 100;
/// Probability that a datagram is delivered twice.
const DUPLICATE_PERCENT: u64 = 5;
/// Upper bound of the additional delay of a duplicate.
const DUPLICATE_DELAY_UNITS: Time = 3_000;
/// Lowest reading of a daemon's clock at time 0.
const CLOCK_MIN_MS: u64 = 10_000;
/// Range of the random time added to [`CLOCK_MIN_MS`].
const CLOCK_SPREAD_MS: u64 = 9_000;
/// Reading of the targets' clocks at time 0.
const TARGET_CLOCK_START_MS: u64 = 500;

#[derive(Clone)]
enum Record {
    HostUp,
    HostDown(state::Reason, model::Incarnation),
    Lease(
        lease::Proposal,
        Option<model::Offset>,
        model::Incarnation,
        Option<model::Incarnation>,
    ),
}

enum Event {
    Heartbeat(lease::Heartbeat),
    Ack(lease::Ack),
    Append(model::Incarnation, Record),
    Verdict(model::Incarnation, lease::Proposal, bool),
    Read(model::Incarnation, Millis),
    Records(model::Incarnation, Millis, usize),
    Order(usize, Order),
    LeaveMessage(model::Incarnation, handover::LeaveMessage),
    Reply(model::Incarnation, usize, Result<model::Fence, ()>, u64),
}

/// A request or, if `until` is given, a renewal of grants up to that reading of
/// the target's clock.
#[derive(Clone)]
struct Order {
    from: model::Incarnation,
    fence: model::Fence,
    until: Option<u64>,
}

#[derive(Default)]
struct Target {
    /// End of the last freeze.
    frozen_until: Time,
    /// Total time for which the clock was stopped.
    stopped_time: Time,
    /// Whether the clock stops during a freeze.
    clock_stops: bool,
    highest_fence: model::Fence,
    /// Reading of the clock at which the granted time ends, in milliseconds.
    granted_until: u64,
    grants: Vec<Grant>,
}

pub struct World {
    time: Time,
    random: u64,
    event_count: u64,
    events: BTreeMap<(Time, u64), (usize, usize, Event)>,
    daemons: Vec<Daemon>,
    restarted: Vec<model::Incarnation>,
    targets: [Target; 2],
    /// The state before each offset; the last is the current one.
    log: Vec<state::State>,
    disconnected: [[bool; 5]; 5],
    pub log_up: bool,
    pub lose_replies: u32,
    /// Probability that a datagram is lost, in percent.
    pub loss: u64,
    /// Longest delay of a message, in milliseconds.
    pub delay: u64,
}

fn name(target: usize) -> model::TargetName {
    model::TargetName::from(NAMES[target])
}

impl World {
    pub fn new(seed: u64) -> Self {
        let mut first = state::State::default();
        for (n, target) in NAMES.iter().enumerate() {
            let target = state::Target {
                name: model::TargetName::from(*target),
                service: model::ServiceName::from("s"),
                domain: model::DomainName::from("d"),
                address: "127.0.0.1:3".parse().unwrap(),
                concurrency: 1,
                checks: n == 0,
                standing: state::Standing::In,
            };
            first
                .config_mut()
                .targets
                .insert(target.name.clone(), target);
        }
        let mut world = Self {
            time: 0,
            random: seed | 1,
            event_count: 0,
            events: BTreeMap::new(),
            daemons: Vec::new(),
            restarted: Vec::new(),
            targets: Default::default(),
            log: vec![first],
            disconnected: Default::default(),
            log_up: true,
            lose_replies: 0,
            loss: 0,
            delay: 3,
        };
        for index in 0..3 {
            let daemon = world.start(index);
            world.daemons.push(daemon);
        }
        world
    }

    fn start(&mut self, index: usize) -> Daemon {
        let me =
            model::Incarnation(self.daemons.len() as u64 + 10 * (1 + self.restarted.len() as u64));
        let (clock_base, clock_phase) = (
            CLOCK_MIN_MS + self.below(CLOCK_SPREAD_MS),
            self.below(UNITS_PER_MS),
        );
        self.send(index, LOG, Event::Append(me, Record::HostUp));
        Daemon {
            me,
            table: lease::Table::new(me),
            state: self.log[0].clone(),
            clock_base,
            clock_phase,
            paused_until: 0,
            next_tick: self.time,
            read_started: None,
            pending: Vec::new(),
            clock_readings: [None; 2],
            last_renewals: [Millis(0); 2],
            leave_at: None,
        }
    }

    fn below(&mut self, limit: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) % limit.max(1)
    }

    pub fn pause(&mut self, index: usize, ms: u64) {
        self.daemons[index].paused_until = self.time + UNITS_PER_MS * ms;
    }

    pub fn set_disconnected(&mut self, a: usize, b: usize, disconnected: bool) {
        self.disconnected[a][b] = disconnected;
        self.disconnected[b][a] = disconnected;
    }

    pub fn make_log_exclusive(&mut self, index: usize) {
        for other in 0..3 {
            self.set_disconnected(other, LOG, other != index);
            self.set_disconnected(other, (other + 1) % 3, false);
        }
    }

    pub fn freeze(&mut self, target: usize, ms: u64, stop_clock: bool) {
        self.targets[target].frozen_until = self.time + UNITS_PER_MS * ms;
        self.targets[target].clock_stops = stop_clock;
    }

    pub fn restart(&mut self, index: usize) {
        self.restarted.push(self.daemons[index].me);
        let daemon = self.start(index);
        self.daemons[index] = daemon;
    }

    pub fn leave(&mut self, index: usize) {
        let time = self.time;
        let daemon = &mut self.daemons[index];
        let now = daemon.now(time);
        if daemon.leave_at.is_none() && daemon.paused_until <= time {
            daemon.leave_at = Some(daemon.table.leave(now));
        }
    }

    /// Records, as an operator would, that all daemons that were restarted are lost.
    pub fn confirm_lost(&mut self) {
        if !self.log_up {
            return;
        }
        for me in self.restarted.clone() {
            let host = self.log.last().unwrap().hosts.get(&me);
            if host.is_some_and(|host| host.gone.is_none()) {
                self.append(me, Record::HostDown(state::Reason::Lost, me));
            }
        }
    }

    pub fn heal(&mut self) {
        self.disconnected = Default::default();
        (self.log_up, self.lose_replies, self.loss, self.delay) = (true, 0, 0, 3);
        for index in 0..3 {
            self.daemons[index].paused_until = 0;
            let me = self.daemons[index].me;
            // A daemon whose `HostUp` record didn't reach the log restarts.
            if !self.log.last().unwrap().hosts.contains_key(&me) {
                self.restart(index);
            }
        }
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.time + UNITS_PER_MS * ms;
        while self.time < end {
            self.time += STEP_UNITS;
            for target in &mut self.targets {
                if target.frozen_until > self.time && target.clock_stops {
                    target.stopped_time += STEP_UNITS;
                }
            }
            while let Some(entry) = self.events.first_entry() {
                if entry.key().0 > self.time {
                    break;
                }
                let (from, to, event) = entry.remove();
                self.deliver(from, to, event);
            }
            for index in 0..3 {
                if self.daemons[index].next_tick <= self.time
                    && self.daemons[index].paused_until <= self.time
                {
                    self.daemons[index].next_tick =
                        self.time + TICK_MIN_UNITS + self.below(TICK_JITTER_UNITS);
                    self.tick(index);
                }
            }
            self.check_exclusive();
        }
    }

    fn target_clock(&self, target: usize) -> u64 {
        TARGET_CLOCK_START_MS + (self.time - self.targets[target].stopped_time) / UNITS_PER_MS
    }

    fn send(&mut self, from: usize, to: usize, event: Event) {
        let delay = 1 + self.below(UNITS_PER_MS * self.delay);
        let datagram = matches!(event, Event::Heartbeat(_) | Event::Ack(_));
        if datagram && self.below(100) < self.loss {
            return;
        }
        if datagram && self.below(100) < DUPLICATE_PERCENT {
            let duplicate_at = self.time + delay + self.below(DUPLICATE_DELAY_UNITS);
            let copy = match &event {
                Event::Heartbeat(heartbeat) => Event::Heartbeat(heartbeat.clone()),
                Event::Ack(ack) => Event::Ack(ack.clone()),
                _ => unreachable!(),
            };
            self.push(duplicate_at, from, to, copy);
        }
        self.push(self.time + delay, from, to, event);
    }

    fn push(&mut self, at: Time, from: usize, to: usize, event: Event) {
        self.event_count += 1;
        self.events
            .insert((at, self.event_count), (from, to, event));
    }

    fn deliver(&mut self, from: usize, to: usize, event: Event) {
        if self.disconnected[from][to] || (to == LOG && !self.log_up) {
            return;
        }
        let blocked_until = match (&event, to) {
            (Event::Order(target, _), _) => self.targets[*target].frozen_until,
            (_, 0..LOG) => self.daemons[to].paused_until,
            _ => 0,
        };
        if blocked_until > self.time {
            return self.push(blocked_until, from, to, event);
        }
        match event {
            Event::Append(writer, record) => self.on_append(from, writer, record),
            Event::Read(reader, started) => {
                let records = Event::Records(reader, started, self.log.len() - 1);
                self.send(LOG, from, records);
            }
            Event::Order(target, order) => self.on_order(from, target, order),
            event => self.on_daemon(from, to, event),
        }
    }

    fn on_daemon(&mut self, from: usize, to: usize, event: Event) {
        let time = self.time;
        let daemon = &mut self.daemons[to];
        let now = daemon.now(time);
        match event {
            Event::Heartbeat(heartbeat) => {
                let ack = daemon.table.on_heartbeat(now, heartbeat.from, &heartbeat);
                self.send(to, from, Event::Ack(ack));
            }
            Event::Ack(ack) => daemon.table.on_ack(now, ack.from, &ack),
            Event::Verdict(me, proposal, accepted) if me == daemon.me => {
                daemon.pending.retain(|(other, _)| *other != proposal);
                if !accepted {
                    daemon.table.append_failed(&proposal, lease::Effect::None);
                }
            }
            Event::Records(me, started, next) if me == daemon.me => {
                daemon.read_started = daemon.read_started.filter(|&reading| reading != started);
                if self.log[next].next > daemon.state.next {
                    daemon.state = self.log[next].clone();
                }
                daemon.table.follow(now, &self.log[next]);
                daemon.table.on_log_read(started, self.log[next].next);
            }
            Event::LeaveMessage(me, message) if me == daemon.me => {
                self.on_leave_message(to, now, message)
            }
            Event::Reply(me, target, accepted, clock) if me == daemon.me => {
                daemon.clock_readings[target] =
                    Some((clock, now, self.targets[target].stopped_time));
                if let Ok(fence) = accepted {
                    daemon.table.target_confirmed(&name(target), fence);
                }
            }
            _ => {}
        }
    }

    fn on_append(&mut self, from: usize, writer: model::Incarnation, record: Record) {
        let accepted = self.append(writer, record.clone());
        if let (Record::Lease(proposal, ..), 0) = (record, self.lose_replies) {
            let verdict = Event::Verdict(writer, proposal, accepted);
            self.send(LOG, from, verdict);
        }
        self.lose_replies = self.lose_replies.saturating_sub(1);
    }

    /// Appends a record and returns whether it took effect.
    fn append(&mut self, writer: model::Incarnation, record: Record) -> bool {
        let mut state = self.log.last().unwrap().clone();
        let offset = state.next;
        state.next = offset.next();
        let up = |id| state.hosts.get(&id).is_some_and(|host| host.gone.is_none());
        let accepted = match &record {
            Record::Lease(proposal, prior, holder, backup) => {
                let current = state.leases.get(&proposal.target);
                let allowed = current.is_none_or(|lease| {
                    let abandoned = !up(lease.holder) && !lease.backup.is_some_and(up);
                    abandoned || lease.holder == writer || lease.backup == Some(writer)
                });
                let current_prior = current.map(|lease| lease.offset) == *prior;
                allowed && current_prior && up(writer) && up(*holder) && backup.is_none_or(up)
            }
            Record::HostUp => true,
            Record::HostDown(_, id) => up(*id),
        };
        match record {
            _ if !accepted => {}
            Record::HostUp => drop(state.hosts.insert(writer, host(offset))),
            Record::HostDown(reason, id) => state.hosts.get_mut(&id).unwrap().gone = Some(reason),
            Record::Lease(proposal, prior, holder, backup) => {
                let lease = state::Lease {
                    offset,
                    holder,
                    backup,
                    span: proposal.span,
                };
                let old = state.leases.insert(proposal.target, lease);
                if prior.is_some() && old.is_some_and(|old| old.holder != holder) {
                    TAKEOVERS.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
        if accepted {
            state.writers.insert(writer, (0, offset));
        }
        self.log.push(state);
        accepted
    }

    /// Handles an order as `docs/design.md`, section 2.4, requires of targets.
    fn on_order(&mut self, from: usize, target: usize, order: Order) {
        let clock = self.target_clock(target);
        let server = &mut self.targets[target];
        let checks = target == 0;
        let stale = checks && order.fence < server.highest_fence;
        if !stale {
            server.highest_fence = order.fence;
        }
        if let Some(until) = order.until {
            server.granted_until = if stale { server.granted_until } else { until };
            let accepted = if stale { Err(()) } else { Ok(order.fence) };
            let reply = Event::Reply(order.from, target, accepted, clock);
            return self.send(TARGETS, from, reply);
        }
        let runs = !stale && clock < server.granted_until;
        assert!(
            !(runs && checks) || order.fence >= server.highest_fence,
            "FENCE: {} runs late",
            order.fence
        );
    }
}

fn host(since: model::Offset) -> state::Host {
    state::Host {
        name: model::HostName::from("h"),
        domain: model::DomainName::from("d"),
        peer: "127.0.0.1:1".parse().unwrap(),
        caller: "127.0.0.1:2".parse().unwrap(),
        since,
        gone: None,
        silent: None,
    }
}
