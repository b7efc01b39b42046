//! Decisions on one move of shards away from a target, with the time as an argument.
//!
//! A move first blocks the shards at admission, then removes them from the
//! target's grants. Once the target can no longer answer for them, because it has
//! confirmed so or because all of its grants have expired, the move is proposed
//! to the log. The shards stay blocked until the log has decided: an append
//! whose result is unknown may still take effect.

use crate::clock;
use crate::lease;
use crate::model;
use crate::state;

/// Time after which requests on moving shards are cancelled, in milliseconds, if
/// the move can't be postponed; equals the default maximum deadline.
pub const DRAIN_TIMEOUT_MS: u64 = 30_000;

/// Time after which a move that can be postponed ends as [`Outcome::Busy`] if
/// requests still run on its shards, in milliseconds.
pub const DEFER_TIMEOUT_MS: u64 = 100;

/// Returns the shards to block for a move of `shards`: these and the hash shards
/// of pinned keys, on which requests from before the pinning may still run.
pub fn stopped_with(
    state: &state::State,
    group: &model::GroupId,
    shards: &model::ShardSet,
) -> model::ShardSet {
    let count = state
        .groups
        .get(group)
        .map_or(0, |table| table.shards.len());
    let hash_shard = |key: &model::KeyHash| model::Shard::Range(key.shard(count as u32));
    let hash_shards = shards.pinned.iter().map(hash_shard);
    shards.iter().chain(hash_shards).collect()
}

/// Interval between two evaluations of the facts, in milliseconds.
const POLL_INTERVAL_MS: u64 = 10;

/// Delay before an undecided move is proposed again, in milliseconds.
const PROPOSE_RETRY_MS: u64 = 100;

/// Snapshot of the conditions on which a move depends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Facts {
    /// Record of the lease that this daemon holds on the target, unless it must stop.
    pub lease: Option<model::Offset>,
    /// Whether the target is lost.
    pub lost: bool,
    /// Whether the target is lost and unresponsive, so that its process may be
    /// frozen, while operators have neither drained it nor evacuated its failure domain.
    pub frozen: bool,
    /// Number of this daemon's admitted requests on the shards that have not ended.
    pub running: usize,
    /// Send time of the last message whose reply confirmed the list without the
    /// withdrawn shards and reported no running requests on dropped shards.
    pub confirmed: Option<clock::Millis>,
    /// Time at which all grants of this daemon have expired.
    pub lapsed: clock::Millis,
    /// Time at which all grants of earlier holders have expired.
    pub movable: clock::Millis,
    /// Time at which all requests of earlier holders have ended; 0 if the target
    /// refuses connections, since then none runs.
    pub orphans: clock::Millis,
}

/// The log's decision on a proposed move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The move took effect.
    Accepted,
    /// The move has no effect, now or later.
    Rejected,
    /// The record was not read back in time and may still take effect.
    Undecided,
}

/// Input of [`Transfer::step`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The current facts.
    Facts(Facts),
    /// The log's decision after [`Command::Propose`].
    Decided(Decision),
}

/// Action for the driver of a move. Actions are carried out in the order returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Exclude the shards from the target's grants until the move ends.
    Withdraw,
    /// Cancel the requests that run on the shards.
    Cancel,
    /// Renew the target's grants immediately.
    Renew,
    /// Append a `Move` record under this lease and report the decision as [`Event::Decided`].
    Propose(model::Offset),
    /// Unblock the shards and grant those that the target still owns.
    End(Outcome),
}

/// Result of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Requests still ran on the shards, so that the shards were not withdrawn.
    Busy,
    /// The log has recorded the move.
    Moved,
    /// The log has rejected the move.
    Rejected,
    /// This daemon no longer holds the lease under which the move began.
    Abandoned,
}

/// State of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No request is admitted; the shards are still granted to the target.
    Blocked,
    /// The shards are withdrawn from the grants; admitted requests may still run.
    Draining,
    /// The drain is over: no request runs, the rest were cancelled, or the target is lost.
    Stopping,
    /// The target can't answer for the shards; the move is proposed at this time.
    Stopped(clock::Millis),
    /// The move is proposed; the log has not decided.
    Proposed,
    /// The move has ended.
    Decided(Outcome),
}

/// One move of shards away from a target.
#[derive(Clone, Debug)]
pub struct Transfer {
    lease: model::Offset,
    checks: bool,
    deferrable: bool,
    started_at: clock::Millis,
    withdrawn_at: clock::Millis,
    phase: Phase,
}

impl Transfer {
    /// Returns a move that starts at `now`, under the lease of record `lease`. Its
    /// shards are already blocked at admission.
    ///
    /// `checks` says whether the target checks fencing tokens. A `deferrable` move
    /// ends as [`Outcome::Busy`] if requests on the shards still run after
    /// [`DEFER_TIMEOUT_MS`].
    pub fn new(now: clock::Millis, lease: model::Offset, checks: bool, deferrable: bool) -> Self {
        Self {
            lease,
            checks,
            deferrable,
            started_at: now,
            withdrawn_at: now,
            phase: Phase::Blocked,
        }
    }

    /// Returns the state of the move.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the time at which the move needs the facts next.
    pub fn look_at(&self, now: clock::Millis) -> clock::Millis {
        match self.phase {
            Phase::Stopped(at) => at.max(now),
            _ => now + POLL_INTERVAL_MS,
        }
    }

    /// Processes an event and returns the actions to carry out.
    pub fn step(&mut self, now: clock::Millis, event: Event) -> Vec<Command> {
        match event {
            Event::Facts(facts) => self.evaluate(now, &facts),
            Event::Decided(decision) => self.on_decision(now, decision),
        }
    }

    fn evaluate(&mut self, now: clock::Millis, facts: &Facts) -> Vec<Command> {
        if let Phase::Decided(_) = self.phase {
            return Vec::new();
        }
        // A record under the old lease has no effect after the new lease's record,
        // and the shards were not withdrawn under the new lease.
        if facts.lease != Some(self.lease) {
            return self.end(Outcome::Abandoned);
        }
        let mut commands = Vec::new();
        if self.phase == Phase::Blocked && !self.try_withdraw(now, facts, &mut commands) {
            return commands;
        }
        if self.phase == Phase::Draining {
            self.drain(now, facts, &mut commands);
        }
        if matches!(self.phase, Phase::Draining | Phase::Stopping) {
            commands.push(Command::Renew);
        }
        if self.phase == Phase::Stopping && self.target_stopped(now, facts) {
            self.phase = Phase::Stopped(now);
        }
        if matches!(self.phase, Phase::Stopped(at) if at <= now) {
            self.phase = Phase::Proposed;
            commands.push(Command::Propose(self.lease));
        }
        commands
    }

    /// Withdraws the shards and returns true, unless the move still waits for
    /// running requests or ends because of them.
    fn try_withdraw(
        &mut self,
        now: clock::Millis,
        facts: &Facts,
        commands: &mut Vec<Command>,
    ) -> bool {
        if self.deferrable && !facts.lost && facts.running > 0 {
            if now.since(self.started_at) >= DEFER_TIMEOUT_MS {
                commands.extend(self.end(Outcome::Busy));
            }
            return false;
        }
        self.phase = Phase::Draining;
        self.withdrawn_at = now;
        commands.push(Command::Withdraw);
        true
    }

    fn drain(&mut self, now: clock::Millis, facts: &Facts, commands: &mut Vec<Command>) {
        let timed_out = now.since(self.started_at) >= DRAIN_TIMEOUT_MS;
        if !facts.lost && facts.running > 0 && !timed_out {
            return;
        }
        self.phase = Phase::Stopping;
        if !facts.lost && facts.running > 0 {
            commands.push(Command::Cancel);
        }
    }

    /// Returns whether the target can no longer answer for the shards.
    fn target_stopped(&self, now: clock::Millis, facts: &Facts) -> bool {
        // When a frozen target without checks resumes, it runs requests received
        // before, however late. Safety takes precedence over availability, so it
        // keeps its shards until an operator drains it.
        if !self.checks && facts.frozen {
            return false;
        }
        // A request that started under a grant continues after the grant expires,
        // at most until its deadline, and a target without checks also runs
        // requests that arrive late.
        let timed_out = now.since(self.started_at) >= DRAIN_TIMEOUT_MS;
        if (facts.lost || !self.checks) && facts.running > 0 && !timed_out {
            return false;
        }
        if facts.lost {
            let expired = facts.lapsed.max(facts.movable);
            return now >= expired.max(facts.orphans) + lease::CLOCK_TOLERANCE_MS;
        }
        // A reply to a message sent before the withdrawal confirms nothing about it.
        // Grants of an earlier holder that are still in transit could reach the
        // target after a restart, in which it lost the fence.
        let grants_expired = now >= facts.movable;
        grants_expired && facts.confirmed.is_some_and(|sent| sent > self.withdrawn_at)
    }

    fn on_decision(&mut self, now: clock::Millis, decision: Decision) -> Vec<Command> {
        if self.phase != Phase::Proposed {
            return Vec::new();
        }
        match decision {
            Decision::Accepted => self.end(Outcome::Moved),
            Decision::Rejected => self.end(Outcome::Rejected),
            Decision::Undecided => {
                self.phase = Phase::Stopped(now + PROPOSE_RETRY_MS);
                Vec::new()
            }
        }
    }

    fn end(&mut self, outcome: Outcome) -> Vec<Command> {
        self.phase = Phase::Decided(outcome);
        vec![Command::End(outcome)]
    }
}
