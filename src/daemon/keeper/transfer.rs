//! Moves shards away from a kept target.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock;
use crate::daemon::keeper::{Worker, batch};
use crate::model;
use crate::placement;
use crate::state;
use crate::target::{admission, transfer};

/// Shards moved by one record.
const BATCH: usize = 256;

/// Longest time for which shards with running requests are left for later, in milliseconds.
const POSTPONE: u64 = 10_000;

/// Longest wait for the log's decision on one proposal.
const DECISION: Duration = Duration::from_secs(2);

impl Worker {
    /// Moves the target's shards away on a thread of its own, if that is
    /// needed and not under way. Renewals go on meanwhile.
    pub fn evacuate_later(&self) {
        if !self.shared.settings.policy.rebalance || !self.keeper.begin_evacuation() {
            return;
        }
        let worker = self.clone();
        std::thread::spawn(move || {
            worker.evacuate();
            worker.keeper.end_evacuation();
        });
    }

    /// Returns whether the target is lost and silent, and not taken out.
    fn is_frozen(&self) -> bool {
        let silent = self.keeper.is_lost() && self.keeper.was_silent();
        silent && self.shared.journal.state().takes_work(&self.keeper.target)
    }

    fn evacuate(&self) {
        let state = self.shared.journal.state();
        let config = state.config.targets.get(&self.keeper.target);
        // Nothing moves under a lease that is not recorded yet.
        if self
            .shared
            .leases
            .lock()
            .recorded(&self.keeper.target)
            .is_none()
        {
            return;
        }
        // The move would wait until the target answers or is taken out.
        if self.is_frozen() && config.is_some_and(|config| !config.checks) {
            return;
        }
        let plan = |state: &state::State| placement::evacuate(state, &self.keeper.target);
        let transfers = self.shared.plan_served(plan);
        if !transfers.is_empty() {
            log::info!(
                "moving {} batches of shards away from {}",
                transfers.len(),
                self.keeper.target
            );
        }
        let start = clock::now();
        let batches = placement::batches(&transfers, BATCH);
        let mut left: VecDeque<_> = match self.keeper.is_lost() {
            true => batch::idle_first(batches, |transfer| self.has_running(transfer)).into(),
            false => batches.into(),
        };
        while let Some(transfer) = left.pop_front() {
            if self.keeper.token.is_cancelled() || !self.must_leave() {
                return;
            }
            let patient = clock::now().since(start) < POSTPONE;
            if let Some(busy) = self.transfer(transfer, patient) {
                left.push_back(busy);
                self.keeper
                    .token
                    .wait_timeout(clock::duration(transfer::QUICK_DRAIN));
            }
        }
    }

    /// Returns whether the target's shards must leave it.
    fn must_leave(&self) -> bool {
        let state = self.shared.journal.state();
        batch::is_needed(&state, &self.keeper.target, self.keeper.is_lost())
    }

    fn has_running(&self, transfer: &placement::Transfer) -> bool {
        let state = self.shared.journal.state();
        let stop = transfer::stopped_with(&state, &transfer.group, &transfer.shards);
        let block = self.keeper.admission.block(&transfer.group, &stop);
        let running = self.keeper.admission.step(|core, _| {
            let running = core.running_in(block);
            core.unblock(block);
            running
        });
        running > 0
    }

    /// Moves shards of this target to another one: stops them here, waits
    /// until the target can't answer for them any more, and records the move.
    ///
    /// A `patient` caller gets the transfer back if requests on the shards
    /// don't end soon, so that others on these shards need not wait for them.
    pub fn transfer(
        &self,
        shift: placement::Transfer,
        patient: bool,
    ) -> Option<placement::Transfer> {
        let state = self.shared.journal.state();
        let config = state.config.targets.get(&self.keeper.target);
        let checks = config.is_some_and(|config| config.checks);
        let lease = self.keeper.fence().offset;
        let pins = batch::pins(&state, &shift.group, &shift.shards);
        let stop = transfer::stopped_with(&state, &shift.group, &shift.shards);
        let block = self.keeper.admission.block(&shift.group, &stop);
        let mut machine = transfer::Transfer::new(clock::now(), lease, checks, patient);
        let outcome = loop {
            let facts = self.facts(block);
            let mut commands: VecDeque<_> = machine
                .step(clock::now(), transfer::Event::Facts(facts))
                .into();
            let mut ended = None;
            while let Some(command) = commands.pop_front() {
                match command {
                    transfer::Command::Withdraw => self.keeper.withdraw(block, &shift.group, &stop),
                    transfer::Command::Cancel => self.cancel_all(block),
                    transfer::Command::Renew => self.keeper.wake(),
                    transfer::Command::Propose(lease) => {
                        // A pin that was under way when the shards were
                        // blocked changes what must drain. The log rejects
                        // the move if one is recorded after `base`.
                        let state = self.shared.journal.state();
                        let base = state.next;
                        let same = batch::pins(&state, &shift.group, &shift.shards) == pins;
                        let decision = match same {
                            true => self.propose(&shift, lease, base),
                            false => transfer::Decision::Rejected,
                        };
                        let event = transfer::Event::Decided(decision);
                        commands.extend(machine.step(clock::now(), event));
                    }
                    transfer::Command::End(outcome) => ended = Some(outcome),
                }
            }
            if let Some(outcome) = ended {
                break outcome;
            }
            let now = clock::now();
            let pause = machine.look_at(now).since(now);
            self.keeper.token.wait_timeout(clock::duration(pause));
        };
        self.keeper.restore(block);
        self.keeper.admission.step(|core, _| core.unblock(block));
        self.keeper.wake();
        (outcome == transfer::Outcome::Busy).then_some(shift)
    }

    fn facts(&self, block: admission::Block) -> transfer::Facts {
        let (held, movable, orphans) = {
            let leases = self.shared.leases.lock();
            let held = leases.recorded(&self.keeper.target);
            let orphans = leases.orphans_end_at(&self.keeper.target);
            (held, leases.may_move_at(&self.keeper.target), orphans)
        };
        let held = held.filter(|_| !self.keeper.token.is_cancelled());
        let orphans = orphans.filter(|_| self.keeper.was_silent());
        let wanted = self.keeper.wanted(&self.shared.journal.state());
        let confirmed = self.keeper.settled_at(&wanted);
        transfer::Facts {
            lease: held,
            lost: self.keeper.is_lost(),
            frozen: self.is_frozen(),
            running: self.keeper.admission.step(|core, _| core.running_in(block)),
            confirmed,
            lapsed: self.keeper.grants.lock().lapsed_at(),
            movable: movable.unwrap_or_default(),
            orphans: orphans.unwrap_or_default(),
        }
    }

    fn cancel_all(&self, block: admission::Block) {
        for id in self.keeper.admission.step(|core, _| core.tags(Some(block))) {
            self.shared.cancel(&self.keeper, &id, None);
        }
    }

    /// Appends the move and waits for the log's decision.
    fn propose(
        &self,
        shift: &placement::Transfer,
        lease: model::Offset,
        base: model::Offset,
    ) -> transfer::Decision {
        // A record that may take effect later would keep the lease from being
        // handed over while the log is out.
        if !self.shared.journal.answers() && !self.shared.read_for_right() {
            return self.keep_blocked(lease);
        }
        let body = state::Body::Move {
            group: shift.group.clone(),
            shards: shift.shards.clone(),
            from: self.keeper.target.clone(),
            lease,
            to: shift.to.clone(),
        };
        match self.shared.journal.propose(body, base, DECISION) {
            Ok(decision) if decision.verdict == state::Verdict::Accepted => {
                let moved = shift.shards.len() as u64;
                self.shared.metrics.moved.inc_by(moved);
                transfer::Decision::Accepted
            }
            Ok(decision) => {
                let (target, verdict) = (&self.keeper.target, decision.verdict);
                log::info!("move from {target} was not accepted: {verdict:?}");
                transfer::Decision::Rejected
            }
            Err(error) => {
                log::warn!(
                    "move from {} waits for the log: {error}",
                    self.keeper.target
                );
                transfer::Decision::Undecided
            }
        }
    }

    /// Decides on a move that is not appended because the log does not answer:
    /// the shards stay blocked if they are still to leave the target, or if an
    /// earlier record may take effect.
    fn keep_blocked(&self, lease: model::Offset) -> transfer::Decision {
        match self.must_leave() || self.shared.journal.has_open(lease) {
            true => transfer::Decision::Undecided,
            false => transfer::Decision::Rejected,
        }
    }
}
