//! Threads that keep and take over leases.

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

/// Pause between two looks at silent holders and backups.
const LOOK: Duration = Duration::from_millis(20);

/// Pause between two log reads for the right, in milliseconds; several fit
/// into the time for which one gives the right.
const READ_PAUSE: u64 = 80;

/// Longest wait for the log's decision on leases.
const DECISION: Duration = Duration::from_millis(1_000);

/// Records read by one read for the right.
const PAGE: usize = 512;

/// Longest pause of the thread that follows the state.
const FOLLOW: Duration = Duration::from_millis(500);

impl tables::Shared {
    /// Opens the socket for heartbeats.
    ///
    /// # Errors
    /// Fails if the address can't be opened.
    pub fn start_heartbeats(self: &Arc<Self>) -> Result<peer::Datagrams, peer::Error> {
        let (receiver, sender) = (self.clone(), self.clone());
        peer::Datagrams::start(
            self.settings.listen.peer,
            self.token.child(),
            move |_, datagram| receiver.on_datagram(datagram),
            move || sender.due_heartbeats(),
        )
    }

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

    /// Follows the published state: leases gained and lost, keepers to start and stop.
    pub fn run_follower(self: &Arc<Self>) {
        let mut older: Arc<state::State> = Arc::default();
        while !self.token.is_cancelled() {
            let state = self.journal.wait_beyond(older.next, FOLLOW);
            self.leases.lock().follow(clock::now(), &state);
            self.grace.lock().follow(clock::now(), &state, self.me);
            self.joins.lock().follow(clock::now(), &older, &state);
            self.sync_keepers(&state, &state.owners_changed(&older));
            self.metrics.offset.set(state.next.0);
            self.count_heartbeats();
            older = state;
        }
    }

    /// Starts and stops keepers as the leases held say.
    pub(super) fn sync_keepers(
        self: &Arc<Self>,
        state: &state::State,
        changed: &BTreeSet<model::TargetName>,
    ) {
        // A lease may be received or given up without a newer state, so that
        // the keepers must not change under an older table.
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

    /// Takes over leases whose holder is silent, and reads the log for the
    /// right where the backup is.
    pub fn run_takeovers(self: &Arc<Self>) {
        let mut last = clock::Millis::default();
        while !self.token.wait_timeout(LOOK) {
            let now = clock::now();
            let (suspects, fallback) = {
                let leases = self.leases.lock();
                (leases.has_suspects(now), leases.needs_log(now))
            };
            if !suspects && (!fallback || now.since(last) < READ_PAUSE) {
                continue;
            }
            last = now;
            // A takeover is begun only while the log answers, because it ends
            // the holder's right until the log has decided.
            if !self.read_for_right() {
                continue;
            }
            if suspects {
                self.take_over();
            }
            self.record_received();
        }
    }

    /// Reads the log to its end, counts that as proof of the leases held, and
    /// returns whether it succeeded.
    pub(super) fn read_for_right(&self) -> bool {
        let started = clock::now();
        let next = self.journal.state().next;
        let Ok(page) = self.journal.client().read(next, PAGE, Duration::ZERO) else {
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
        self.propose_leases(proposals, state.next, DECISION);
    }

    /// Records leases held by this daemon, each with its backup, waits for the
    /// log's decisions and tells the lease table of them.
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
            self.settle(proposal, &decision);
        }
    }

    /// Tells the lease table how the proposal of a lease record ended.
    pub fn settle(
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
