//! Keepers of targets: renewals of grants and moves of shards.

use std::collections::VecDeque;
use std::sync::Arc;

use pistachiomoor::clock::Millis;
use pistachiomoor::model;
use pistachiomoor::placement;
use pistachiomoor::state;
use pistachiomoor::target::admission::{self, Core};
use pistachiomoor::target::{grants, transfer, wire};

use super::daemon::{Job, Purpose};
use super::{CONCURRENCY, Event, TARGETS, World, note, target_number};

type List = Arc<[wire::Holding]>;

struct Call {
    id: u64,
    sent: Millis,
    wanted: List,
    length: u64,
}

pub struct Move {
    machine: transfer::Transfer,
    block: admission::Block,
    shift: placement::Transfer,
    stop: model::ShardSet,
    look: Millis,
    evacuates: bool,
}

pub struct Keeper {
    pub name: model::TargetName,
    pub number: usize,
    /// First of the leases held without interruption.
    pub lease: model::Offset,
    pub stopped: bool,
    pub core: Core,
    pub grants: grants::Grants,
    checks: bool,
    first: bool,
    lost: bool,
    silent: bool,
    next: Millis,
    call: Option<Call>,
    settled: Option<(Millis, List)>,
    pub withdrawn: Vec<grants::Withdrawn>,
    moves: Vec<Move>,
    left: VecDeque<placement::Transfer>,
    evacuated: Millis,
}

impl Keeper {
    fn new(
        target: &state::Target,
        (lease, chain): (model::Offset, model::Offset),
        now: Millis,
    ) -> Self {
        let limits = admission::Limits {
            concurrency: CONCURRENCY,
            queue: 20,
        };
        let mut core = Core::new(limits);
        core.take_over(now, CONCURRENCY, false, now + 2_000);
        Self {
            name: target.name.clone(),
            number: target_number(&target.name),
            lease: chain,
            stopped: false,
            core,
            grants: grants::Grants::new(lease),
            checks: target.checks,
            first: true,
            lost: false,
            silent: false,
            next: now,
            call: None,
            settled: None,
            withdrawn: Vec::new(),
            moves: Vec::new(),
            left: VecDeque::new(),
            evacuated: Millis(0),
        }
    }

    pub fn is_withdrawn(&self, shard: model::Shard) -> bool {
        let mut sets = self.withdrawn.iter();
        sets.any(|(_, _, set)| set.contains(shard))
    }

    /// Has the target checked at once.
    pub fn rouse(&mut self, now: Millis) {
        self.next = self.next.min(now);
    }

    fn accept(&mut self, now: Millis, call: &Call, reply: &wire::Reply) {
        let notice = self.grants.on_reply(now, reply);
        let settled = self.grants.has_list(&call.wanted) && reply.running == 0;
        self.settled = settled.then(|| (call.sent, call.wanted.clone()));
        if notice.restarted {
            self.core.restart(now);
        }
        let cold = reply.state == wire::Condition::Cold;
        if std::mem::take(&mut self.first) {
            self.core.take_over(now, reply.active, !cold, now + 2_000);
        } else {
            self.core.report(now, reply.active, cold);
        }
        if std::mem::take(&mut self.lost) {
            self.core.open();
        }
        let again = notice.again && call.length > 0;
        self.next = if again {
            now
        } else {
            call.sent + grants::RENEWAL_INTERVAL_MS
        };
    }

    fn fail(&mut self, now: Millis, failure: grants::Failure) {
        match self.grants.on_failure(now, failure) {
            grants::Next::RetryAt(at) => self.next = at,
            grants::Next::Lost => {
                self.silent = failure == grants::Failure::TimedOut;
                if !std::mem::replace(&mut self.lost, true) {
                    note("lost targets");
                    self.core.close();
                }
                match self.silent {
                    true => self.core.cool(),
                    false => self.core.restart(now),
                }
                self.next = now + grants::RENEWAL_INTERVAL_MS;
            }
        }
    }

    /// Begins moves that are due.
    fn begin(&mut self, now: Millis, state: &state::State, balance: Option<placement::Transfer>) {
        let needed = self.lost || !state.takes_work(&self.name);
        let idle = !self.moves.iter().any(|other| other.evacuates);
        if !needed {
            self.left.clear();
        } else if idle && self.left.is_empty() && now.since(self.evacuated) >= 100 {
            self.evacuated = now;
            let transfers = placement::evacuate(state, &self.name);
            self.left = placement::batches(&transfers, 3).into();
        }
        let next = if idle { self.left.pop_front() } else { None };
        let due = [(next, true), (balance, false)];
        for (shift, evacuates) in due {
            let Some(shift) = shift else { continue };
            let stop = transfer::stopped_with(state, &shift.group, &shift.shards);
            let block = self.core.block(&shift.group, &stop);
            self.moves.push(Move {
                machine: transfer::Transfer::new(
                    now,
                    self.grants.fence().offset,
                    self.checks,
                    true,
                ),
                block,
                shift,
                stop,
                look: now,
                evacuates,
            });
        }
    }
}

impl World {
    /// Starts and stops keepers as the lease table says.
    pub(super) fn sync_keepers(&mut self, who: usize, now: Millis) {
        let daemon = &mut self.daemons[who];
        let held: Vec<_> = daemon
            .table
            .held()
            .map(|(name, at)| (name.clone(), (at, daemon.table.chain(name).unwrap_or(at))))
            .collect();
        let inflight = &daemon.inflight;
        for keeper in &mut daemon.keepers {
            let mut held = held.iter();
            let found = held.find(|(name, at)| *name == keeper.name && at.1 == keeper.lease);
            if let Some((_, (lease, _))) = found {
                keeper.grants.follow(*lease);
            } else if !keeper.stopped {
                keeper.stopped = true;
                keeper.core.close();
            }
        }
        daemon.keepers.retain(|keeper| {
            let used = |flight: &super::holder::InFlight| flight.lease == keeper.lease;
            !keeper.stopped || inflight.values().any(used)
        });
        for (name, lease) in held {
            let mut keepers = daemon.keepers.iter();
            if !keepers.any(|keeper| keeper.name == name && !keeper.stopped) {
                let target = &daemon.state.config.targets[&name];
                daemon.keepers.push(Keeper::new(target, lease, now));
            }
        }
        self.core_events(who, now);
    }

    pub(super) fn keep(&mut self, who: usize, now: Millis) {
        for n in 0..self.daemons[who].keepers.len() {
            let keeper = &mut self.daemons[who].keepers[n];
            keeper.core.serve(now);
            if keeper.stopped {
                continue;
            }
            if let Some(call) = keeper.call.take_if(|call| now.since(call.sent) >= 150) {
                drop(call);
                keeper.fail(now, grants::Failure::TimedOut);
            }
            if keeper.call.is_none() && now >= keeper.next {
                self.renew(who, n, now);
            }
            self.move_on(who, n, now);
        }
        self.time_out(who, now);
        self.core_events(who, now);
    }

    fn renew(&mut self, who: usize, n: usize, now: Millis) {
        let daemon = &mut self.daemons[who];
        let keeper = &mut daemon.keepers[n];
        keeper.next = now + grants::RENEWAL_INTERVAL_MS;
        let length = match (daemon.table.grant_until(&keeper.name, now), keeper.lost) {
            (Ok(until), false) => until.since(now),
            _ => 0,
        };
        let wanted = grants::wanted(&daemon.state, &keeper.name, &keeper.withdrawn);
        let Ok(message) = keeper.grants.prepare(now, length, &wanted) else {
            return;
        };
        daemon.calls += 1;
        let id = daemon.calls;
        keeper.call = Some(Call {
            id,
            sent: now,
            wanted,
            length,
        });
        let (me, target) = (daemon.me, keeper.number);
        let event = Event::Grants(me, id, message, None);
        if self.below(100) < self.late {
            // The copy came over the same connection, so to the same process.
            let Event::Grants(me, id, message, _) = event.clone() else {
                return;
            };
            let process = Some(self.targets[target].process);
            let copy = Event::Grants(me, id, message, process);
            let at = self.time + self.below(20_000);
            self.push(at, who, TARGETS + target, copy);
        }
        if self.below(100) < self.late {
            let at = self.time + 1_500 + self.below(20_000);
            return self.push(at, who, TARGETS + target, event);
        }
        self.send(who, TARGETS + target, event);
    }

    pub(super) fn on_granted(
        &mut self,
        who: usize,
        now: Millis,
        (target, call): (usize, u64),
        reply: Result<wire::Reply, wire::Conflict>,
    ) {
        let daemon = &mut self.daemons[who];
        let mut keepers = daemon.keepers.iter_mut();
        let matches = |keeper: &&mut Keeper| {
            let call = keeper.call.as_ref().is_some_and(|other| other.id == call);
            keeper.number == target && !keeper.stopped && call
        };
        let Some(keeper) = keepers.find(matches) else {
            return;
        };
        let call = keeper.call.take().expect("it was found by its call");
        match reply {
            Ok(reply) => {
                keeper.accept(now, &call, &reply);
                let fence = model::Fence::at(keeper.grants.fence().offset);
                daemon.table.target_confirmed(&keeper.name, fence);
            }
            Err(conflict) => {
                let _ = keeper.grants.on_conflict(&conflict);
                keeper.next = now + grants::RENEWAL_INTERVAL_MS;
            }
        }
        self.core_events(who, now);
    }

    pub(super) fn on_grants_failed(
        &mut self,
        who: usize,
        now: Millis,
        (target, call): (usize, u64),
        failure: grants::Failure,
    ) {
        for keeper in &mut self.daemons[who].keepers {
            let matches = keeper.call.as_ref().is_some_and(|other| other.id == call);
            if keeper.number == target && matches {
                keeper.call = None;
                keeper.fail(now, failure);
            }
        }
    }

    /// Drives the moves of one keeper.
    fn move_on(&mut self, who: usize, n: usize, now: Millis) {
        let daemon = &mut self.daemons[who];
        let keeper = &mut daemon.keepers[n];
        let balancing = keeper.moves.iter().any(|other| !other.evacuates);
        let mine = |shift: &placement::Transfer| shift.from == keeper.name && !balancing;
        let balance = match daemon.balance.front().is_some_and(mine) {
            true => daemon.balance.pop_front(),
            false => None,
        };
        keeper.begin(now, &daemon.state, balance);
        for m in (0..keeper.moves.len()).rev() {
            if keeper.moves[m].look > now {
                continue;
            }
            let wanted = grants::wanted(&daemon.state, &keeper.name, &keeper.withdrawn);
            let settled = keeper.settled.as_ref().filter(|(_, list)| *list == wanted);
            let held = daemon.table.fence(&keeper.name);
            let moving = &mut keeper.moves[m];
            let facts = transfer::Facts {
                lease: held.map(|fence| fence.offset),
                lost: keeper.lost,
                frozen: keeper.lost && keeper.silent && daemon.state.takes_work(&keeper.name),
                running: keeper.core.running_in(moving.block),
                confirmed: settled.map(|(sent, _)| *sent),
                lapsed: keeper.grants.lapsed_at(),
                movable: daemon.table.may_move_at(&keeper.name).unwrap_or_default(),
                orphans: match keeper.silent {
                    true => daemon
                        .table
                        .orphans_end_at(&keeper.name)
                        .unwrap_or_default(),
                    false => Millis(0),
                },
            };
            let commands = moving.machine.step(now, transfer::Event::Facts(facts));
            moving.look = moving.machine.look_at(now);
            let (target, number) = (keeper.name.clone(), keeper.number);
            for command in commands {
                let moving = &keeper.moves[m];
                match command {
                    transfer::Command::Withdraw => {
                        let (group, stop) = (moving.shift.group.clone(), moving.stop.clone());
                        keeper.withdrawn.push((moving.block, group, stop));
                    }
                    transfer::Command::Cancel => {
                        let tags = keeper.core.tags(Some(moving.block));
                        for tag in tags {
                            let cancel = Event::Cancel(tag.parse().unwrap());
                            self.events.insert(
                                (self.time + 1, u64::MAX / 2 + daemon.calls),
                                (who, TARGETS + number, cancel),
                            );
                            daemon.calls += 1;
                        }
                    }
                    transfer::Command::Renew => keeper.next = keeper.next.min(now),
                    transfer::Command::Propose(lease) => daemon.writer.queue.push_back(Job {
                        body: state::Body::Move {
                            group: moving.shift.group.clone(),
                            shards: moving.shift.shards.clone(),
                            from: target.clone(),
                            lease,
                            to: moving.shift.to.clone(),
                        },
                        purpose: Purpose::Move(number, keeper.lease, moving.block),
                        timeout: 2_000,
                    }),
                    transfer::Command::End(outcome) => {
                        keeper.end(m, outcome);
                        break;
                    }
                }
            }
        }
    }

    pub(super) fn on_decision(
        &mut self,
        who: usize,
        now: Millis,
        (target, lease, block): (usize, model::Offset, admission::Block),
        decision: transfer::Decision,
    ) {
        for keeper in &mut self.daemons[who].keepers {
            if keeper.number != target || keeper.lease != lease {
                continue;
            }
            let found = keeper.moves.iter().position(|moving| moving.block == block);
            let Some(m) = found else { continue };
            let event = transfer::Event::Decided(decision);
            let commands = keeper.moves[m].machine.step(now, event);
            keeper.moves[m].look = keeper.moves[m].machine.look_at(now);
            if let Some(transfer::Command::End(outcome)) = commands.first() {
                keeper.end(m, *outcome);
                keeper.next = keeper.next.min(now);
            }
        }
    }
}

impl Keeper {
    fn end(&mut self, m: usize, outcome: transfer::Outcome) {
        let ended = self.moves.swap_remove(m);
        self.withdrawn.retain(|(block, _, _)| *block != ended.block);
        self.core.unblock(ended.block);
        if outcome == transfer::Outcome::Busy && ended.evacuates {
            self.left.push_back(ended.shift);
        }
    }
}
