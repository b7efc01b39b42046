//! Thread that proposes what the state lacks: this daemon's own record, first
//! leases, new backups, owners for shards, and snapshots.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::clock;
use crate::daemon::membership;
use crate::model;
use crate::placement;
use crate::state;
use crate::tables;

/// Pause between two rounds.
const ROUND: Duration = Duration::from_millis(100);

/// Time by which each later-ranked daemon waits for those before it, in milliseconds.
const RANK_DELAY: u64 = 1_000;

/// Longest wait for the log's decision.
const DECISION: Duration = Duration::from_secs(2);

/// Bytes of one part of a snapshot.
const PART_BYTES: usize = 256 << 10;

/// Daemons that propose first owners of shards; the log takes the first
/// proposal, so that two cost no more than a rejected record.
const ASSIGNERS: usize = 2;

/// Leases proposed in one round.
const LEASES: usize = 64;

/// What the housekeeper remembers between rounds.
#[derive(Default)]
struct Memory {
    /// Since when something has been missing that another daemon should propose first.
    missing: Option<clock::Millis>,
}

impl tables::Shared {
    /// Proposes what the state lacks until the token is cancelled.
    pub fn run_housekeeper(self: &Arc<Self>) {
        let mut memory = Memory::default();
        while !self.token.wait_timeout(ROUND) {
            if self.journal.is_usable() && !self.leaving.load(Ordering::Relaxed) {
                self.run_round(&mut memory);
            }
        }
    }

    fn run_round(self: &Arc<Self>, memory: &mut Memory) {
        let state = self.journal.state();
        let known = state.hosts.get(&self.me);
        if known.is_none_or(|host| host.silent.is_some()) {
            self.announce(&state);
            return;
        }
        let now = clock::now();
        let bodies = self.missing(&state);
        if bodies.is_empty() {
            memory.missing = None;
        } else {
            let since = *memory.missing.get_or_insert(now);
            let rank = membership::rank(&state, &self.settings.domain, self.me).unwrap_or(0);
            if now.since(since) >= rank as u64 * RANK_DELAY {
                self.journal.propose_all(bodies, state.next, DECISION);
                memory.missing = None;
            }
        }
        // A record that may take effect later ends the right of a holder whose
        // backup has resigned.
        if self.journal.answers() {
            self.replace_backups(&state);
        }
        self.balance_leases(&state);
        self.write_snapshot(&state);
    }

    fn announce(&self, state: &state::State) {
        let body = state::Body::HostUp {
            host: self.settings.host.clone(),
            domain: self.settings.domain.clone(),
            peer: self.settings.listen.peer,
            caller: self.settings.listen.caller,
        };
        match self.journal.propose(body, state.next, DECISION) {
            Ok(decision) => log::info!("announced this daemon: {:?}", decision.verdict),
            Err(error) => log::debug!("this daemon is not announced yet: {error}"),
        }
    }

    /// Returns first leases for targets of this failure domain, and owners for
    /// shards that have none.
    fn missing(&self, state: &state::State) -> Vec<state::Body> {
        let mine = |target: &model::TargetName| {
            let target = state.config.targets.get(target);
            target.is_some_and(|target| {
                membership::eligible(state, &target.domain).contains(&self.me)
            })
        };
        let leases = membership::first_leases(state).into_iter();
        let mut bodies: Vec<_> = leases
            .filter(|proposal| mine(&proposal.target))
            .take(LEASES)
            .map(state::Body::from)
            .collect();
        if membership::serving_rank(state, self.me).is_some_and(|rank| rank < ASSIGNERS) {
            for group in membership::incomplete_groups(state) {
                let owners = placement::initial(state, &group).into_iter();
                bodies.extend(owners.map(|(shards, target)| state::Body::Assign {
                    group: group.clone(),
                    shards,
                    target,
                }));
            }
        }
        bodies
    }

    fn replace_backups(&self, state: &state::State) {
        let due = self.leases.lock().needs_backup(clock::now());
        let current =
            |target: &model::TargetName| state.leases.get(target).and_then(|lease| lease.backup);
        let mut proposals = Vec::new();
        for target in due {
            let silent = current(&target);
            let backup = membership::backup_for(state, self.me, silent.as_slice());
            let mut leases = self.leases.lock();
            // Without a backup that answers, the log must note a longer span.
            let short = backup.is_none() && leases.is_short(&target);
            if backup.is_none() && !short {
                continue;
            }
            let Ok(mut proposal) = leases.replace_backup(&target, clock::now()) else {
                continue;
            };
            if short {
                proposal.span = proposal.span.max(membership::longest_span(state));
            }
            let backup = backup.or(silent);
            proposals.push((proposal, backup));
        }
        if proposals.is_empty() {
            return;
        }
        log::info!("naming a new backup for {} leases", proposals.len());
        self.propose_leases(proposals, state.next, DECISION);
    }

    fn balance_leases(&self, state: &state::State) {
        if let Some(proposal) = membership::hand_over(state, self.me) {
            self.release(proposal);
        }
    }

    /// Hands one lease to another daemon: stops admitting requests and records
    /// the new holder.
    pub fn release(&self, proposal: membership::Proposal) {
        let target = proposal.target.clone();
        // Requests that run are not waited for: their target stays the owner,
        // and the new holder counts them against the target's limit.
        if let Some(keeper) = self.keeper(&target) {
            keeper.admission.step(|core, _| core.close());
        }
        let released = self.leases.lock().release(&target, clock::now());
        let released = match released {
            Ok(released) => released,
            Err(denied) => {
                log::debug!("lease on {target} can't be handed over yet: {denied}");
                self.reopen(&target);
                return;
            }
        };
        let base = self.journal.state().next;
        let proposal = membership::Proposal {
            prior: Some(released.prior),
            span: released.span,
            ..proposal
        };
        let decision = self.journal.propose(proposal.into(), base, DECISION);
        self.settle(&released, &decision);
        if decision.is_ok_and(|decision| decision.verdict != state::Verdict::Accepted) {
            self.reopen(&target);
        }
    }

    fn reopen(&self, target: &model::TargetName) {
        if let Some(keeper) = self.keeper(target) {
            keeper.admission.step(|core, _| core.open());
        }
    }

    /// Writes a snapshot if the last one is old. Daemons that come later by
    /// their number wait longer, so that usually one of them writes.
    fn write_snapshot(&self, state: &state::State) {
        let Some(rank) = membership::serving_rank(state, self.me) else {
            return;
        };
        let (last, age) = self.journal.snapshot_at();
        let platform = &self.settings.platform;
        let patience = 1.0 + 0.1 * rank as f64;
        let records = (platform.snapshot_records as f64 * patience) as u64;
        let millis = (platform.snapshot_ms as f64 * patience) as u64;
        if state.next.0 < last.0 + records && age < millis {
            return;
        }
        let parts = state::snapshot::encode(state, PART_BYTES);
        log::info!(
            "writing a snapshot of the state at {} in {} parts",
            state.next,
            parts.len()
        );
        let decisions = self.journal.propose_all(parts, state.next, DECISION);
        if decisions.iter().any(Result::is_err) {
            log::warn!(
                "the snapshot of the state at {} was not written whole",
                state.next
            );
        }
    }

    /// Hands over all leases and tells the log that this daemon is gone.
    pub fn leave(self: &Arc<Self>) {
        let answers = self.read_for_right();
        if answers {
            self.record_received();
        }
        if !answers || !self.hand_over_recorded() {
            self.hand_over_directly();
        }
        let until = self.leases.lock().leave(clock::now());
        self.token
            .wait_timeout(clock::duration(until.since(clock::now())));
        let base = self.journal.state().next;
        if let Err(error) = self.journal.propose(state::Body::HostDown, base, DECISION) {
            log::warn!("the log was not told that this daemon left: {error}");
        }
    }

    /// Records other holders for all leases, and returns whether the log
    /// answered to the end.
    fn hand_over_recorded(&self) -> bool {
        loop {
            let state = self.journal.state();
            let mine = state
                .leases
                .iter()
                .find(|(_, lease)| lease.holder == self.me);
            let Some((target, lease)) = mine else {
                return true;
            };
            let successor = lease.backup.filter(|id| state.is_up(*id));
            let Some(holder) = successor.or_else(|| membership::backup_for(&state, self.me, &[]))
            else {
                return true;
            };
            let before = state.next;
            self.release(membership::Proposal {
                target: target.clone(),
                prior: Some(lease.offset),
                holder,
                backup: membership::backup_for(&state, holder, &[self.me]),
                span: membership::longest_span(&state),
            });
            if self.journal.state().next == before {
                log::warn!("the log stopped answering while leases were handed over");
                return false;
            }
        }
    }
}
