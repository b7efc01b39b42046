//! Thread that proposes records that the state lacks: this daemon's own record,
//! first leases, new backups, owners for shards, and snapshots. It also hands
//! over leases, to balance them or because the daemon leaves.

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
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// Time by which a daemon's proposals are delayed for each daemon ranked before
/// it, in milliseconds.
const RANK_DELAY_MS: u64 = 1_000;

/// Longest wait for the log's decision on proposed records.
const DECISION_TIMEOUT: Duration = Duration::from_secs(2);

/// Size of one part of a snapshot, in bytes.
const PART_BYTES: usize = 256 << 10;

/// Number of daemons that propose first owners of shards. The log accepts the
/// first proposal, so that a second proposer costs only a rejected record.
const MAX_ASSIGNERS: usize = 2;

/// Most first leases proposed in one round.
const MAX_FIRST_LEASES: usize = 64;

/// Share by which a daemon's snapshot limits grow for each daemon ranked before it.
const SNAPSHOT_RANK_SHARE: f64 = 0.1;

/// State kept between rounds.
#[derive(Default)]
struct RoundState {
    /// Time since when records have been missing; daemons ranked before this one
    /// should propose them first.
    missing_since: Option<clock::Millis>,
}

impl tables::Shared {
    /// Proposes records that the state lacks until the token is cancelled.
    pub fn run_housekeeper(self: &Arc<Self>) {
        let mut rounds = RoundState::default();
        while !self.token.wait_timeout(ROUND_PAUSE) {
            if self.journal.is_usable() && !self.leaving.load(Ordering::Relaxed) {
                self.run_round(&mut rounds);
            }
        }
    }

    fn run_round(self: &Arc<Self>, rounds: &mut RoundState) {
        let state = self.journal.state();
        let known = state.hosts.get(&self.me);
        if known.is_none_or(|host| host.silent.is_some()) {
            self.announce(&state);
            return;
        }
        let now = clock::now();
        let bodies = self.missing_records(&state);
        if bodies.is_empty() {
            rounds.missing_since = None;
        } else {
            let since = *rounds.missing_since.get_or_insert(now);
            let rank = membership::rank(&state, &self.settings.domain, self.me).unwrap_or(0);
            if now.since(since) >= rank as u64 * RANK_DELAY_MS {
                self.journal
                    .propose_all(bodies, state.next, DECISION_TIMEOUT);
                rounds.missing_since = None;
            }
        }
        // An undecided record would end the lease validity of a holder whose
        // backup has resigned.
        if self.journal.answers() {
            self.replace_backups(&state);
        }
        self.balance_leases(&state);
        self.write_snapshot(&state);
    }

    /// Records this daemon as a host that is up.
    fn announce(&self, state: &state::State) {
        let body = state::Body::HostUp {
            host: self.settings.host.clone(),
            domain: self.settings.domain.clone(),
            peer: self.settings.listen.peer,
            caller: self.settings.listen.caller,
        };
        match self.journal.propose(body, state.next, DECISION_TIMEOUT) {
            Ok(decision) => log::info!("announced this daemon: {:?}", decision.verdict),
            Err(error) => log::debug!("this daemon is not announced yet: {error}"),
        }
    }

    /// Returns first leases for targets of this failure domain, and owners for
    /// shards that have none.
    fn missing_records(&self, state: &state::State) -> Vec<state::Body> {
        let is_ours = |target: &model::TargetName| {
            let target = state.config.targets.get(target);
            target.is_some_and(|target| {
                membership::eligible(state, &target.domain).contains(&self.me)
            })
        };
        let leases = membership::first_leases(state).into_iter();
        let mut bodies: Vec<_> = leases
            .filter(|proposal| is_ours(&proposal.target))
            .take(MAX_FIRST_LEASES)
            .map(state::Body::from)
            .collect();
        if membership::serving_rank(state, self.me).is_some_and(|rank| rank < MAX_ASSIGNERS) {
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

    /// Records new backups for leases of this daemon whose backup does not answer
    /// or has resigned.
    fn replace_backups(&self, state: &state::State) {
        let due = self.leases.lock().needs_backup(clock::now());
        let backup_of =
            |target: &model::TargetName| state.leases.get(target).and_then(|lease| lease.backup);
        let mut proposals = Vec::new();
        for target in due {
            let current = backup_of(&target);
            let backup = membership::backup_for(state, self.me, current.as_slice());
            let mut leases = self.leases.lock();
            // Without another backup, a span that is too short is extended by
            // a record instead.
            let extend_span = backup.is_none() && leases.is_short(&target);
            if backup.is_none() && !extend_span {
                continue;
            }
            let Ok(mut proposal) = leases.replace_backup(&target, clock::now()) else {
                continue;
            };
            if extend_span {
                proposal.span = proposal.span.max(membership::longest_span(state));
            }
            let backup = backup.or(current);
            proposals.push((proposal, backup));
        }
        if proposals.is_empty() {
            return;
        }
        log::info!("naming a new backup for {} leases", proposals.len());
        self.propose_leases(proposals, state.next, DECISION_TIMEOUT);
    }

    /// Hands a lease over if another daemon should hold it.
    fn balance_leases(&self, state: &state::State) {
        if let Some(proposal) = membership::hand_over(state, self.me) {
            self.hand_over_lease(proposal);
        }
    }

    /// Hands one lease to another daemon: stops admitting requests and records
    /// the new holder. Admits requests again if the lease can't be released yet or
    /// the log rejects the record.
    pub fn hand_over_lease(&self, proposal: membership::Proposal) {
        let target = proposal.target.clone();
        // Running requests are not waited for: their target stays the owner, and
        // the new holder counts them against the target's limit.
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
        let decision = self
            .journal
            .propose(proposal.into(), base, DECISION_TIMEOUT);
        self.report_proposal(&released, &decision);
        if decision.is_ok_and(|decision| decision.verdict != state::Verdict::Accepted) {
            self.reopen(&target);
        }
    }

    /// Admits requests for the target again.
    fn reopen(&self, target: &model::TargetName) {
        if let Some(keeper) = self.keeper(target) {
            keeper.admission.step(|core, _| core.open());
        }
    }

    /// Writes a snapshot if the last one is too many records or milliseconds old.
    /// Daemons of a later rank wait longer, so that usually only one writes.
    fn write_snapshot(&self, state: &state::State) {
        let Some(rank) = membership::serving_rank(state, self.me) else {
            return;
        };
        let (last, age) = self.journal.snapshot_at();
        let platform = &self.settings.platform;
        let factor = 1.0 + SNAPSHOT_RANK_SHARE * rank as f64;
        let records = (platform.snapshot_records as f64 * factor) as u64;
        let millis = (platform.snapshot_ms as f64 * factor) as u64;
        if state.next.0 < last.0 + records && age < millis {
            return;
        }
        let parts = state::snapshot::encode(state, PART_BYTES);
        log::info!(
            "writing a snapshot of the state at {} in {} parts",
            state.next,
            parts.len()
        );
        let decisions = self
            .journal
            .propose_all(parts, state.next, DECISION_TIMEOUT);
        if decisions.iter().any(Result::is_err) {
            log::warn!(
                "the snapshot of the state at {} was not written completely",
                state.next
            );
        }
    }

    /// Hands over all leases, waits until none is valid any more, and records
    /// that this daemon is down.
    pub fn leave(self: &Arc<Self>) {
        let answers = self.read_log_for_leases();
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
        if let Err(error) = self
            .journal
            .propose(state::Body::HostDown, base, DECISION_TIMEOUT)
        {
            log::warn!("the log was not told that this daemon left: {error}");
        }
    }

    /// Records other holders for all leases that another daemon can take, and
    /// returns whether the log answered throughout.
    fn hand_over_recorded(&self) -> bool {
        loop {
            let state = self.journal.state();
            let own = state
                .leases
                .iter()
                .find(|(_, lease)| lease.holder == self.me);
            let Some((target, lease)) = own else {
                return true;
            };
            let successor = lease.backup.filter(|id| state.is_up(*id));
            let Some(holder) = successor.or_else(|| membership::backup_for(&state, self.me, &[]))
            else {
                return true;
            };
            let before = state.next;
            self.hand_over_lease(membership::Proposal {
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
