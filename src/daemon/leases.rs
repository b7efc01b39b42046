//! Threads that send heartbeats, follow the leases in the state, and take over
//! leases of silent holders.

use std::collections::{BTreeMap, BTreeSet, hash_map};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::clock;
use crate::daemon::keeper;
use crate::daemon::membership;
use crate::lease;
use crate::model;
use crate::peer;
use crate::state;
use crate::tables;

/// Pause between two checks for silent holders and backups.
const CHECK_PAUSE: Duration = Duration::from_millis(20);

/// Pause between two log reads that prove lease validity, in milliseconds.
/// Several fit into the time for which one read proves it.
const LOG_READ_PAUSE_MS: u64 = 80;

/// Longest wait for the log's decision on leases.
const DECISION_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Most records read by one log read that proves lease validity.
const PAGE_RECORDS: usize = 512;

/// Longest wait of the follower thread for a newer state.
const FOLLOW_TIMEOUT: Duration = Duration::from_millis(500);

impl tables::Shared {
    /// Opens the heartbeat socket and starts to send and answer heartbeats.
    ///
    /// # Errors
    /// Fails if the socket can't be bound to the peer address.
    pub fn start_heartbeats(self: &Arc<Self>) -> Result<peer::Datagrams, peer::Error> {
        let (receiver, sender) = (self.clone(), self.clone());
        peer::Datagrams::start(
            self.settings.listen.peer,
            self.token.child(),
            move |_, datagram| receiver.on_datagram(datagram),
            move || sender.due_heartbeats(),
        )
    }

    /// Handles a datagram and returns the answer to send, if any.
    fn on_datagram(&self, datagram: peer::Datagram) -> Option<peer::Datagram> {
        let now = clock::now();
        match datagram {
            peer::Datagram::Heartbeat(heartbeat) => {
                self.journal.note_end(heartbeat.seen);
                let ack = self
                    .leases
                    .lock()
                    .on_heartbeat(now, heartbeat.from, &heartbeat);
                Some(peer::Datagram::Ack(ack))
            }
            peer::Datagram::Ack(ack) => {
                self.journal.note_end(ack.seen);
                self.leases.lock().on_ack(now, ack.from, &ack);
                None
            }
        }
    }

    /// Returns the heartbeats that are due, each with its receiver's address.
    fn due_heartbeats(&self) -> Vec<(SocketAddr, peer::Datagram)> {
        let state = self.journal.state();
        let now = clock::now();
        let due = {
            let mut leases = self.leases.lock();
            leases.touch(now);
            leases.heartbeats(now)
        };
        let addressed = due.into_iter().filter_map(|(to, heartbeat)| {
            let host = state.hosts.get(&to)?;
            Some((host.peer, peer::Datagram::Heartbeat(heartbeat)))
        });
        addressed.collect()
    }

    /// Applies each newer state to the lease table, the keepers and the metrics,
    /// until the token is cancelled.
    pub fn run_follower(self: &Arc<Self>) {
        let mut previous: Arc<state::State> = Arc::default();
        while !self.token.is_cancelled() {
            let state = self.journal.wait_beyond(previous.next, FOLLOW_TIMEOUT);
            self.leases.lock().follow(clock::now(), &state);
            self.grace.lock().follow(clock::now(), &state, self.me);
            self.joins.lock().follow(clock::now(), &previous, &state);
            self.sync_keepers(&state, &state.owners_changed(&previous));
            self.metrics.offset.set(state.next.0);
            self.count_heartbeats();
            previous = state;
        }
    }

    /// Starts keepers for leases that this daemon holds, stops those of other
    /// leases, and has all follow the state. `changed` names the targets whose
    /// shards have changed.
    pub(super) fn sync_keepers(
        self: &Arc<Self>,
        state: &state::State,
        changed: &BTreeSet<model::TargetName>,
    ) {
        // A lease may be received or given up without a newer state. The
        // lease table stays locked until the keepers are locked, so that
        // they never follow an outdated table.
        let leases = self.leases.lock();
        let held = leases.held().map(|(target, offset)| {
            let chain = leases.chain(target).unwrap_or(offset);
            let fence = leases.fence(target);
            let fence = fence.unwrap_or_else(|| model::Fence::at(offset));
            (target.clone(), (fence, chain))
        });
        let held: BTreeMap<_, _> = held.collect();
        self.metrics.leases.set(held.len() as i64);
        let mut started = Vec::new();
        let mut keepers = self.keepers.write();
        drop(leases);
        keepers.retain(|target, keeper| {
            let config = state.config.targets.get(target);
            let held = held.get(target).filter(|(_, chain)| *chain == keeper.chain);
            let keep = config.is_some_and(|config| config.address == keeper.address);
            match held {
                Some((fence, _)) if keep => keeper.renew_lease(fence.offset),
                _ => keeper.stop(),
            }
            keep && held.is_some()
        });
        for (target, (fence, chain)) in held {
            let Some(config) = state.config.targets.get(&target) else {
                continue;
            };
            if let hash_map::Entry::Vacant(entry) = keepers.entry(target) {
                let keeper = tables::keeper::Keeper::new(
                    config,
                    self.settings.policy.target_queue,
                    self.token.child(),
                    fence,
                    chain,
                );
                entry.insert(keeper.clone());
                started.push(keeper);
            }
        }
        let all: Vec<_> = keepers.values().cloned().collect();
        drop(keepers);
        let worker = |keeper| keeper::Worker::new(self.clone(), keeper);
        for worker in started.into_iter().map(worker) {
            std::thread::spawn(move || worker.run());
        }
        for keeper in all {
            let changed = changed.contains(&keeper.target);
            worker(keeper).follow(state, changed);
        }
    }

    /// Takes over leases whose holder is silent. While the backup of an own lease
    /// is silent, reads the log to prove the lease's validity instead.
    pub fn run_takeovers(self: &Arc<Self>) {
        let mut last = clock::Millis::default();
        while !self.token.wait_timeout(CHECK_PAUSE) {
            let now = clock::now();
            let (suspects, fallback) = {
                let leases = self.leases.lock();
                (leases.has_suspects(now), leases.needs_log(now))
            };
            if !suspects && (!fallback || now.since(last) < LOG_READ_PAUSE_MS) {
                continue;
            }
            last = now;
            // A takeover starts only while the log answers, because it suspends
            // the holder's lease until the log has decided.
            if !self.read_log_for_leases() {
                continue;
            }
            if suspects {
                self.take_over();
            }
            self.record_received();
        }
    }

    /// Reads the log to its end, which proves the validity of the leases held,
    /// and returns whether that succeeded.
    pub(super) fn read_log_for_leases(&self) -> bool {
        let started = clock::now();
        let next = self.journal.state().next;
        let Ok(page) = self
            .journal
            .client()
            .read(next, PAGE_RECORDS, Duration::ZERO)
        else {
            return false;
        };
        if page.next < next || self.journal.fold(&page.records).is_err() {
            return false;
        }
        let state = self.journal.state();
        if state.next < page.next {
            return false;
        }
        let mut leases = self.leases.lock();
        leases.follow(clock::now(), &state);
        leases.on_log_read(started, page.next);
        true
    }

    /// Proposes to take over the leases whose holders are silent.
    fn take_over(self: &Arc<Self>) {
        let due = self.leases.lock().takeovers(clock::now());
        if due.is_empty() {
            return;
        }
        let state = self.journal.state();
        self.metrics.takeovers.inc_by(due.len() as u64);
        log::warn!("taking over {} leases from a silent holder", due.len());
        let proposals = due.into_iter().map(|proposal| {
            let holder = state.leases.get(&proposal.target).map(|lease| lease.holder);
            let backup = membership::backup_for(&state, self.me, holder.as_slice());
            (proposal, backup)
        });
        self.propose_leases(proposals, state.next, DECISION_TIMEOUT);
    }

    /// Proposes lease records with this daemon as holder, each with its backup.
    /// Waits for the log's decisions and reports them to the lease table.
    pub(super) fn propose_leases(
        &self,
        proposals: impl IntoIterator<Item = (lease::Proposal, Option<model::Incarnation>)>,
        base: model::Offset,
        wait: Duration,
    ) {
        let proposals: Vec<_> = proposals.into_iter().collect();
        let bodies = proposals
            .iter()
            .map(|(proposal, backup)| state::Body::Lease {
                target: proposal.target.clone(),
                prior: Some(proposal.prior),
                holder: self.me,
                backup: *backup,
                span: proposal.span,
            });
        let decisions = self.journal.propose_all(bodies.collect(), base, wait);
        for ((proposal, _), decision) in proposals.iter().zip(decisions) {
            self.report_proposal(proposal, &decision);
        }
    }

    /// Reports a failed or undecided proposal of a lease record to the lease table.
    pub fn report_proposal(
        &self,
        proposal: &lease::Proposal,
        decision: &Result<crate::journal::Decision, crate::journal::ProposeError>,
    ) {
        let effect = match decision {
            Ok(decision) if decision.verdict == state::Verdict::Accepted => return,
            Ok(decision) => {
                log::info!(
                    "lease on {} was not recorded: {:?}",
                    proposal.target,
                    decision.verdict
                );
                lease::Effect::None
            }
            Err(error) => {
                log::warn!("lease on {} is undecided: {error}", proposal.target);
                lease::Effect::Unknown
            }
        };
        let state = self.journal.state();
        let mut leases = self.leases.lock();
        leases.follow(clock::now(), &state);
        leases.append_failed(proposal, effect);
    }
}
