//! Actions of a daemon of the model, driven by its lease table.

use pistachiomoor::clock::Millis;
use pistachiomoor::lease;
use pistachiomoor::model;
use pistachiomoor::state;

use crate::world::check::Grant;
use crate::world::{Event, LOG, Order, Record, TARGETS, Time, UNITS_PER_MS, World, name};

/// Time after which a daemon starts another log read without waiting for the last.
const READ_TIMEOUT_MS: u64 = 200;
/// Time after which a daemon assumes that the verdict on an append is lost.
const APPEND_TIMEOUT_MS: u64 = 300;
/// Time that a leaving daemon stays for transfers of its leases, after its waits.
const LEAVE_DELAY_MS: u64 = 300;
/// Time for which the checks keep grants that have ended; more than any grant lasts.
const GRANT_RETENTION_UNITS: Time = 20_000;

/// A daemon of the model.
pub struct Daemon {
    pub me: model::Incarnation,
    pub table: lease::Table,
    pub state: state::State,
    /// Reading of the daemon's clock at time 0, in milliseconds.
    pub clock_base: u64,
    /// Offset of the daemon's clock within a millisecond.
    pub clock_phase: Time,
    /// End of the last pause.
    pub paused_until: Time,
    /// Time of the next tick.
    pub next_tick: Time,
    /// Start of the log read in progress.
    pub read_started: Option<Millis>,
    /// Appends without a verdict, with their start.
    pub pending: Vec<(lease::Proposal, Millis)>,
    /// For each target, the last reading of its clock, the arrival of that
    /// reading, and the time for which the clock had been stopped by then.
    pub clock_readings: [Option<(u64, Millis, Time)>; 2],
    /// Last renewal of the grants of each target.
    pub last_renewals: [Millis; 2],
    /// Time from which a daemon that is leaving may append `HostDown`.
    pub leave_at: Option<Millis>,
}

impl Daemon {
    pub fn now(&self, time: Time) -> Millis {
        Millis(self.clock_base + (time + self.clock_phase) / UNITS_PER_MS)
    }
}

impl World {
    pub(super) fn tick(&mut self, index: usize) {
        let time = self.time;
        let daemon = &mut self.daemons[index];
        let now = daemon.now(time);
        for (to, heartbeat) in daemon.table.heartbeats(now) {
            let to = self.daemons.iter().position(|daemon| daemon.me == to);
            if let Some(to) = to {
                self.send(index, to, Event::Heartbeat(heartbeat));
            }
        }
        self.start_read(index, now);
        self.expire_appends(index, now);
        self.propose(index, now);
        for target in 0..2 {
            self.act(index, target, now);
        }
        self.finish_leaving(index, now);
    }

    fn start_read(&mut self, index: usize, now: Millis) {
        let daemon = &mut self.daemons[index];
        let running = daemon
            .read_started
            .is_some_and(|started| now.since(started) < READ_TIMEOUT_MS);
        if !running {
            daemon.read_started = Some(now);
            let read = Event::Read(daemon.me, now);
            self.send(index, LOG, read);
        }
    }

    /// Abandons appends without a verdict after [`APPEND_TIMEOUT_MS`].
    fn expire_appends(&mut self, index: usize, now: Millis) {
        let daemon = &mut self.daemons[index];
        let table = &mut daemon.table;
        daemon.pending.retain(|(proposal, since)| {
            let late = now.since(*since) >= APPEND_TIMEOUT_MS;
            if late {
                table.append_failed(proposal, lease::Effect::Unknown);
            }
            !late
        });
    }

    fn propose(&mut self, index: usize, now: Millis) {
        let daemon = &mut self.daemons[index];
        let me = daemon.me;
        let mut records = Vec::new();
        for proposal in daemon.table.takeovers(now) {
            records.push((proposal, me));
        }
        let busy = |daemon: &Daemon, target: &model::TargetName| {
            let mut pending = daemon.pending.iter();
            pending.any(|(proposal, _)| proposal.target == *target)
        };
        for target in daemon.table.needs_backup(now) {
            if !busy(daemon, &target) {
                let proposal = daemon.table.replace_backup(&target, now);
                records.extend(proposal.map(|proposal| (proposal, me)));
            }
        }
        let held: Vec<_> = daemon.table.held().map(|held| held.0.clone()).collect();
        for target in held {
            let next = daemon.state.leases[&target].backup;
            if let (Some(_), Some(next), false) = (daemon.leave_at, next, busy(daemon, &target)) {
                let proposal = daemon.table.release(&target, now);
                records.extend(proposal.map(|proposal| (proposal, next)));
            }
        }
        for (proposal, holder) in records {
            let prior = Some(proposal.prior);
            self.propose_lease(index, proposal, prior, holder, now);
        }
        self.record_received(index, now);
        self.claim(index, now);
    }

    /// Proposes leases on targets that have none, or whose holder and backup are gone.
    fn claim(&mut self, index: usize, now: Millis) {
        let daemon = &self.daemons[index];
        let up = |me| {
            let host = daemon.state.hosts.get(&me);
            host.is_some_and(|host| host.gone.is_none())
        };
        if !up(daemon.me) || daemon.leave_at.is_some() {
            return;
        }
        let free = (0..2).map(name).filter(|target| {
            let lease = daemon.state.leases.get(target);
            let gone = lease.is_none_or(|lease| !up(lease.holder) && !lease.backup.is_some_and(up));
            gone && !daemon
                .pending
                .iter()
                .any(|(proposal, _)| proposal.target == *target)
        });
        let (me, leases) = (daemon.me, daemon.state.leases.clone());
        for target in free.collect::<Vec<_>>() {
            let prior = leases.get(&target).map(|lease| lease.offset);
            let proposal = lease::Proposal {
                target,
                prior: prior.unwrap_or_default(),
                span: state::UNKNOWN_SPAN_MS,
            };
            self.propose_lease(index, proposal, prior, me, now);
        }
    }

    fn propose_lease(
        &mut self,
        index: usize,
        proposal: lease::Proposal,
        prior: Option<model::Offset>,
        holder: model::Incarnation,
        now: Millis,
    ) {
        let state = &self.daemons[index].state;
        let current = state.leases.get(&proposal.target);
        let current = current.and_then(|lease| lease.backup);
        let up = state.hosts.iter();
        let others: Vec<_> = up
            .filter(|(me, host)| **me != holder && Some(**me) != current && host.gone.is_none())
            .map(|(me, _)| *me)
            .collect();
        let pick = self.below(others.len() as u64) as usize;
        let backup = others.get(pick).copied();
        self.append_lease(index, proposal, (prior, holder, backup), now);
    }

    pub(super) fn append_lease(
        &mut self,
        index: usize,
        proposal: lease::Proposal,
        (prior, holder, backup): (
            Option<model::Offset>,
            model::Incarnation,
            Option<model::Incarnation>,
        ),
        now: Millis,
    ) {
        let me = self.daemons[index].me;
        if !self.log_up {
            let table = &mut self.daemons[index].table;
            return table.append_failed(&proposal, lease::Effect::None);
        }
        self.daemons[index].pending.push((proposal.clone(), now));
        let record = Record::Lease(proposal, prior, holder, backup);
        self.send(index, LOG, Event::Append(me, record));
    }

    fn act(&mut self, index: usize, target: usize, now: Millis) {
        let time = self.time;
        let daemon = &mut self.daemons[index];
        let Some(fence) = daemon.table.fence(&name(target)) else {
            return;
        };
        let may_act = daemon.table.may_act(&name(target), now).is_ok();
        let from = daemon.me;
        if now.since(daemon.last_renewals[target]) >= lease::GRANT_RENEWAL_PERIOD_MS || !may_act {
            daemon.last_renewals[target] = now;
            let ends = daemon.table.grant_until(&name(target), now).ok();
            let mut until = 0;
            if let (Some(ends), Some((clock, read, stopped_time))) =
                (ends, daemon.clock_readings[target])
            {
                until = clock + now.since(read) + ends.since(now);
                let grants = &mut self.targets[target].grants;
                grants.retain(|grant| grant.ends + GRANT_RETENTION_UNITS > time);
                let ends = time + UNITS_PER_MS * ends.since(now);
                grants.push(Grant {
                    from,
                    ends,
                    until,
                    stopped_time,
                });
            }
            let until = Some(until);
            let renewal = Order { from, fence, until };
            self.send(index, TARGETS, Event::Order(target, renewal));
        }
        if may_act {
            let request = Order {
                from,
                fence,
                until: None,
            };
            self.send(index, TARGETS, Event::Order(target, request));
            let from = self.daemons[index].table.may_move_at(&name(target));
            if from.is_some_and(|from| now >= from) {
                self.check_move(index, target);
            }
        }
    }

    /// Records that a leaving daemon is down, once its waits have ended, and
    /// restarts it.
    fn finish_leaving(&mut self, index: usize, now: Millis) {
        let daemon = &self.daemons[index];
        let me = daemon.me;
        if daemon.leave_at.is_some_and(|at| now >= at + LEAVE_DELAY_MS) {
            let down = Record::HostDown(state::Reason::Left, me);
            self.send(index, LOG, Event::Append(me, down));
            self.restart(index);
        }
    }
}
