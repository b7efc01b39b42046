//! Moves shards away from a target whose lease this daemon holds.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock;
use crate::daemon::keeper::{Worker, batch};
use crate::model;
use crate::placement;
use crate::state;
use crate::target::{admission, transfer};

/// Most shards moved by one record.
const BATCH_SHARDS: usize = 256;

/// Time after the start of an evacuation in which shards with running requests
/// are deferred, in milliseconds.
const DEFER_BUSY_MS: u64 = 10_000;

/// Longest wait for the log's decision on one proposal.
const DECISION_TIMEOUT: Duration = Duration::from_secs(2);

impl Worker {
    /// Starts a thread that moves the target's shards away, unless one is running
    /// already or rebalancing is disabled. Renewals continue meanwhile.
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

    /// Returns whether the target is lost and silent, and not drained.
    fn is_frozen(&self) -> bool {
        let silent = self.keeper.is_lost() && self.keeper.was_silent();
        silent && self.shared.journal.state().takes_work(&self.keeper.target)
    }

    /// Moves all shards away from the target, as long as that is needed.
    fn evacuate(&self) {
        let state = self.shared.journal.state();
        let config = state.config.targets.get(&self.keeper.target);
        // No shard moves under a lease that is not recorded yet.
        if self
            .shared
            .leases
            .lock()
            .recorded(&self.keeper.target)
            .is_none()
        {
            return;
        }
        // The move would wait until the target answers or is drained.
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
        let batches = placement::batches(&transfers, BATCH_SHARDS);
        let mut pending: VecDeque<_> = match self.keeper.is_lost() {
            true => batch::idle_first(batches, |transfer| self.has_running(transfer)).into(),
            false => batches.into(),
        };
        while let Some(transfer) = pending.pop_front() {
            if self.keeper.token.is_cancelled() || !self.must_leave() {
                return;
            }
            let defer_busy = clock::now().since(start) < DEFER_BUSY_MS;
            if let Some(busy) = self.transfer(transfer, defer_busy) {
                pending.push_back(busy);
                self.keeper
                    .token
                    .wait_timeout(clock::duration(transfer::DEFER_TIMEOUT_MS));
            }
        }
    }

    /// Returns whether the target's shards must move away from it.
    fn must_leave(&self) -> bool {
        let state = self.shared.journal.state();
        batch::must_evacuate(&state, &self.keeper.target, self.keeper.is_lost())
    }

    /// Returns whether requests run on the shards of a transfer.
    fn has_running(&self, transfer: &placement::Transfer) -> bool {
        let state = self.shared.journal.state();
        let blocked = transfer::stopped_with(&state, &transfer.group, &transfer.shards);
        let block = self.keeper.admission.block(&transfer.group, &blocked);
        let running = self.keeper.admission.step(|core, _| {
            let running = core.running_in(block);
            core.unblock(block);
            running
        });
        running > 0
    }

    /// Moves shards of this target to another one: blocks them, waits until the
    /// target can't answer for them any more, and records the move.
    ///
    /// With `defer_busy`, returns the transfer if requests on the shards don't end
    /// soon, so that other requests on them need not wait; the caller may retry.
    /// Otherwise returns `None`, also if the move failed.
    pub fn transfer(
        &self,
        planned: placement::Transfer,
        defer_busy: bool,
    ) -> Option<placement::Transfer> {
        let state = self.shared.journal.state();
        let config = state.config.targets.get(&self.keeper.target);
        let checks = config.is_some_and(|config| config.checks);
        let lease = self.keeper.fence().offset;
        let pins = batch::affected_pins(&state, &planned.group, &planned.shards);
        let blocked = transfer::stopped_with(&state, &planned.group, &planned.shards);
        let block = self.keeper.admission.block(&planned.group, &blocked);
        let mut machine = transfer::Transfer::new(clock::now(), lease, checks, defer_busy);
        let outcome = loop {
            let facts = self.facts(block);
            let mut commands: VecDeque<_> = machine
                .step(clock::now(), transfer::Event::Facts(facts))
                .into();
            let mut ended = None;
            while let Some(command) = commands.pop_front() {
                match command {
                    transfer::Command::Withdraw => {
                        self.keeper.withdraw(block, &planned.group, &blocked)
                    }
                    transfer::Command::Cancel => self.cancel_all(block),
                    transfer::Command::Renew => self.keeper.wake(),
                    transfer::Command::Propose(lease) => {
                        // A pin recorded since the shards were blocked changes
                        // what must drain. The log rejects the move if one is
                        // recorded after `base`.
                        let state = self.shared.journal.state();
                        let base = state.next;
                        let unchanged =
                            batch::affected_pins(&state, &planned.group, &planned.shards) == pins;
                        let decision = match unchanged {
                            true => self.propose(&planned, lease, base),
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
        (outcome == transfer::Outcome::Busy).then_some(planned)
    }

    /// Returns the input of the transfer's state machine.
    fn facts(&self, block: admission::Block) -> transfer::Facts {
        let (recorded, movable, orphans) = {
            let leases = self.shared.leases.lock();
            let recorded = leases.recorded(&self.keeper.target);
            let orphans = leases.orphans_end_at(&self.keeper.target);
            (recorded, leases.may_move_at(&self.keeper.target), orphans)
        };
        let recorded = recorded.filter(|_| !self.keeper.token.is_cancelled());
        let orphans = orphans.filter(|_| self.keeper.was_silent());
        let holdings = self.keeper.wanted(&self.shared.journal.state());
        let confirmed = self.keeper.settled_at(&holdings);
        transfer::Facts {
            lease: recorded,
            lost: self.keeper.is_lost(),
            frozen: self.is_frozen(),
            running: self.keeper.admission.step(|core, _| core.running_in(block)),
            confirmed,
            lapsed: self.keeper.grants.lock().lapsed_at(),
            movable: movable.unwrap_or_default(),
            orphans: orphans.unwrap_or_default(),
        }
    }

    /// Asks the target to cancel all requests on the blocked shards.
    fn cancel_all(&self, block: admission::Block) {
        for id in self.keeper.admission.step(|core, _| core.tags(Some(block))) {
            self.shared.cancel(&self.keeper, &id, None);
        }
    }

    /// Proposes the move and waits for the log's decision.
    fn propose(
        &self,
        planned: &placement::Transfer,
        lease: model::Offset,
        base: model::Offset,
    ) -> transfer::Decision {
        // An undecided record would prevent a handover of the lease while the
        // log is unavailable.
        if !self.shared.journal.answers() && !self.shared.read_log_for_leases() {
            return self.keep_blocked(lease);
        }
        let body = state::Body::Move {
            group: planned.group.clone(),
            shards: planned.shards.clone(),
            from: self.keeper.target.clone(),
            lease,
            to: planned.to.clone(),
        };
        match self.shared.journal.propose(body, base, DECISION_TIMEOUT) {
            Ok(decision) if decision.verdict == state::Verdict::Accepted => {
                let moved = planned.shards.len() as u64;
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

    /// Returns the decision on a move that is not proposed because the log does not
    /// answer. It is undecided, so that the shards stay blocked, if they must
    /// still move away or an earlier record may take effect; else rejected.
    fn keep_blocked(&self, lease: model::Offset) -> transfer::Decision {
        match self.must_leave() || self.shared.journal.has_open(lease) {
            true => transfer::Decision::Undecided,
            false => transfer::Decision::Rejected,
        }
    }
}
