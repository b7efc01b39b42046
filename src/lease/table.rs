//! Table of the leases of one daemon, updated from the state of the log.

use std::collections::{BTreeMap, VecDeque};

use crate::clock::Millis;
use crate::lease;
use crate::lease::span;
use crate::model;
use crate::state;

/// Permission to act for a target while the lease is valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Right {
    /// Fence to put on every order.
    pub fence: model::Fence,
    /// Time at which the lease's validity ends, unless it is renewed.
    pub until: Millis,
    /// Longest remaining time with which a request may be sent, in milliseconds.
    pub span: u64,
}

/// Why a daemon may not act for a target now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Denied {
    /// The daemon does not hold the lease.
    #[error("this daemon does not hold the lease")]
    NotHolder,
    /// The daemon has released the lease to a new holder.
    #[error("this daemon is handing the lease over")]
    Released,
    /// The lease may still be valid for the previous holder.
    #[error("the previous holder may act until {}", until.0)]
    Waiting {
        /// Time at which the wait ends.
        until: Millis,
    },
    /// A record of this daemon for the lease may still take effect.
    #[error("a record for the lease may still take effect")]
    Undecided,
    /// The log names no backup that is up.
    #[error("the lease has no backup")]
    NoBackup,
    /// The lease was not renewed in time.
    #[error("the lease expired at {}", at.0)]
    Expired {
        /// Time at which the validity ended.
        at: Millis,
    },
}

/// Whether a failed append may still take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// None: no byte of the record reached the log, or the log rejected it.
    None,
    /// The record may be in the log now or later.
    Unknown,
}

/// A lease record to append. The caller must write `prior` unchanged: the
/// decision was made for that lease, and the state may contain a newer one by
/// then.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// Target of the lease.
    pub target: model::TargetName,
    /// Offset of the lease that the record replaces.
    pub prior: model::Offset,
    /// Time after the record at which all requests of earlier holders have
    /// ended, in milliseconds.
    pub span: u64,
}

/// Phase of a held lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The holder acts.
    Active,
    /// The holder appends a record that names a new backup; only log reads
    /// renew the lease.
    Replacing,
    /// The holder has stopped acting, and appends a record that names a new holder.
    Released,
}

/// A lease that this daemon holds.
#[derive(Clone, Debug)]
pub(super) struct HeldLease {
    pub offset: model::Offset,
    /// Offset of the first lease of those that this daemon has held without
    /// interruption up to this one.
    pub first_offset: model::Offset,
    pub backup: Option<model::Incarnation>,
    pub phase: Phase,
    /// Fence of a lease that this daemon received without a record and has not
    /// recorded yet. It stays valid without renewal.
    pub received: Option<model::Fence>,
    /// Whether the backup has resigned. The lease stays valid without renewal
    /// until this daemon appends another lease record.
    pub backup_resigned: bool,
    /// Number of appends of this daemon that may still take effect.
    pub pending_appends: u32,
    /// Whether the target checks fences.
    pub checks_fences: bool,
    /// Whether the target has accepted the fence of this lease, or of an
    /// earlier one that this daemon held without interruption.
    pub fence_confirmed: bool,
    /// End of the wait for the previous holder.
    pub wait_end: Millis,
    /// End of the wait for the grants of the previous holder.
    pub grants_end: Millis,
    /// Time at which all requests of earlier holders have ended.
    pub predecessors_end: Millis,
    /// Time at which all requests sent before the span was last lowered have ended.
    pub earlier_end: Millis,
    /// Longest remaining time with which a request may be sent, in milliseconds.
    pub span: u64,
    /// Last announced span, in milliseconds.
    pub announced: u64,
    /// Longest remaining times of recent requests.
    pub recent: span::WindowedMax,
    /// Time of the last acknowledgement, or else of the start of the lease.
    pub last_ack: Millis,
    /// Whether the backup has acknowledged this lease.
    pub acknowledged: bool,
    /// Time at which the last acknowledged heartbeat was sent.
    pub acked_sent: Option<Millis>,
    /// Start of the last log read that showed this lease as current.
    pub log_read: Option<Millis>,
}

/// A lease of which this daemon is the backup.
#[derive(Clone, Debug)]
pub(super) struct BackedLease {
    pub offset: model::Offset,
    pub holder: model::Incarnation,
    /// Whether the state marks the holder as gone.
    pub holder_gone: bool,
    /// Time of the last heartbeat, or else of the start of the lease.
    pub last_heartbeat: Millis,
    /// Sequence number of the last heartbeat; 0 before the first.
    pub sequence: u64,
    /// Longest remaining time with which the holder sends requests, in milliseconds.
    pub span: u64,
    /// Time at which all requests sent before the span was last lowered have ended.
    pub earlier_end: Millis,
    pub takeover: Option<Takeover>,
}

/// A takeover on which the log has not decided yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Takeover {
    /// Whether the record must be appended again.
    pub append_due: bool,
    /// Whether a failed append may still take effect.
    pub in_doubt: bool,
}

/// A heartbeat that may still be acknowledged.
#[derive(Clone, Debug)]
pub(super) struct SentHeartbeat {
    pub sequence: u64,
    pub sent_at: Millis,
    pub leases: Vec<model::Offset>,
    pub spans: Vec<u64>,
}

/// Leases that one daemon holds or backs up, with the decisions about them.
#[derive(Clone, Debug)]
pub struct Table {
    pub(super) me: model::Incarnation,
    /// Next offset of the newest state given to `follow`.
    pub(super) seen: model::Offset,
    /// All leases of that state.
    pub(super) known: BTreeMap<model::TargetName, state::Lease>,
    pub(super) held: BTreeMap<model::TargetName, HeldLease>,
    pub(super) backed: BTreeMap<model::TargetName, BackedLease>,
    /// Heartbeats sent to each backup, for as long as an acknowledgement can
    /// renew a lease.
    pub(super) sent: BTreeMap<model::Incarnation, VecDeque<SentHeartbeat>>,
    /// Sequence number of the last heartbeat sent.
    pub(super) sequence: u64,
    /// Whether the daemon is shutting down.
    pub(super) leaving: bool,
    /// Time of the last call of `touch` or `takeovers`.
    pub(super) last_touch: Option<Millis>,
    /// End of the last pause of this daemon: a gap between calls of `touch`.
    pub(super) resumed_at: Millis,
}

impl Table {
    /// Returns the table of a daemon that has just started, which holds nothing.
    pub fn new(me: model::Incarnation) -> Self {
        Self {
            me,
            seen: model::Offset::default(),
            known: BTreeMap::new(),
            held: BTreeMap::new(),
            backed: BTreeMap::new(),
            sent: BTreeMap::new(),
            sequence: 0,
            leaving: false,
            last_touch: None,
            resumed_at: Millis::default(),
        }
    }

    /// Updates the table to a state that was read from the log at or before
    /// `now`. A state older than the last one has no effect.
    pub fn follow(&mut self, now: Millis, state: &state::State) {
        if state.next < self.seen {
            return;
        }
        self.seen = state.next;
        if self.is_gone(state, self.me) {
            self.held.clear();
            self.backed.clear();
            self.known = state.leases.clone();
            return;
        }
        self.held
            .retain(|target, _| state.leases.contains_key(target));
        self.backed
            .retain(|target, _| state.leases.contains_key(target));
        for (target, lease) in &state.leases {
            self.follow_lease(now, state, target, lease);
        }
        self.known = state.leases.clone();
        let held = &self.held;
        self.sent
            .retain(|to, _| held.values().any(|held| held.backup == Some(*to)));
    }

    /// Returns the targets whose lease this daemon holds, with the offsets of
    /// the lease records.
    pub fn held(&self) -> impl Iterator<Item = (&model::TargetName, model::Offset)> {
        self.held.iter().map(|(target, held)| (target, held.offset))
    }

    /// Returns the offset of the first of the leases on `target` that this
    /// daemon has held without interruption, or `None` if it holds none. A
    /// record by which it names a new backup creates a new lease, but is no
    /// interruption.
    pub fn chain(&self, target: &model::TargetName) -> Option<model::Offset> {
        Some(self.held.get(target)?.first_offset)
    }

    /// Returns the targets whose lease this daemon backs up, with the offsets
    /// of the lease records.
    pub fn backed(&self) -> impl Iterator<Item = (&model::TargetName, model::Offset)> {
        let backed = self.backed.iter();
        backed.map(|(target, backed)| (target, backed.offset))
    }

    /// Returns the fence of the lease on `target`, or `None` if this daemon does
    /// not hold it. It is also given while the daemon may not act, so that it
    /// can register the fence at a target that checks fences.
    pub fn fence(&self, target: &model::TargetName) -> Option<model::Fence> {
        Some(self.held.get(target)?.fence())
    }

    fn is_gone(&self, state: &state::State, daemon: model::Incarnation) -> bool {
        let host = state.hosts.get(&daemon);
        host.is_some_and(|host| host.gone.is_some())
    }

    fn follow_lease(
        &mut self,
        now: Millis,
        state: &state::State,
        target: &model::TargetName,
        lease: &state::Lease,
    ) {
        let known = self.known.get(target).copied();
        if known.is_none_or(|known| lease.offset > known.offset) {
            let held = self.next_held(now, state, target, lease);
            self.held.remove(target);
            self.backed.remove(target);
            if let Some(held) = held {
                self.held.insert(target.clone(), held);
            } else if lease.backup == Some(self.me) {
                self.backed.insert(target.clone(), new_backed(now, lease));
            }
        }
        let backup = lease.backup.filter(|&daemon| !self.is_gone(state, daemon));
        let holder_gone = self.is_gone(state, lease.holder);
        if let Some(held) = self.held.get_mut(target) {
            held.checks_fences = checks_fences(state, target);
            // An operator who has declared the backup lost may declare this
            // daemon lost next, which only a log read shows.
            held.backup = backup.filter(|_| held.received.is_none());
        }
        if let Some(backed) = self.backed.get_mut(target) {
            backed.holder_gone = holder_gone;
        }
    }

    fn next_held(
        &self,
        now: Millis,
        state: &state::State,
        target: &model::TargetName,
        lease: &state::Lease,
    ) -> Option<HeldLease> {
        if lease.holder != self.me {
            return None;
        }
        let own_record = state.writers.get(&self.me).map(|last| last.1) == Some(lease.offset);
        let prior = self.held.get(target);
        // Nobody else can have recorded a lease received without a record.
        let uninterrupted = prior.is_some_and(|prior| own_record || prior.received.is_some());
        let grants_end = match prior {
            Some(prior) if uninterrupted => prior.grants_end,
            _ => now + lease::STALE_START_MS,
        };
        let wait_end = match prior {
            Some(prior) => prior.wait_end,
            None if self.must_wait(state, target) => {
                now + lease::VALIDITY_MS + lease::CLOCK_TOLERANCE_MS
            }
            None => now,
        };
        let requests_end = now + lease.span;
        let continued = prior.filter(|_| uninterrupted);
        // While this daemon keeps the lease, a record raises the span only if
        // recent requests need a longer one: a record is then the only way to
        // raise it where no backup acknowledges heartbeats.
        let limit = lease.span.saturating_sub(lease::STALE_START_MS);
        let sufficient = continued.filter(|prior| !prior.is_short());
        let span = sufficient.map_or(limit, |prior| prior.span.min(limit));
        Some(HeldLease {
            offset: lease.offset,
            first_offset: prior
                .filter(|_| uninterrupted)
                .map_or(lease.offset, |prior| prior.first_offset),
            backup: lease.backup,
            phase: if self.leaving {
                Phase::Released
            } else {
                Phase::Active
            },
            received: None,
            backup_resigned: false,
            pending_appends: 0,
            checks_fences: checks_fences(state, target),
            // A target that has accepted this daemon's earlier fence also rejects
            // older ones.
            fence_confirmed: prior.is_some_and(|prior| prior.fence_confirmed),
            wait_end,
            grants_end,
            predecessors_end: continued.map_or(requests_end, |prior| prior.predecessors_end),
            earlier_end: continued.map_or(requests_end, |prior| prior.earlier_end),
            span,
            announced: span,
            recent: continued.map_or(
                span::WindowedMax::new(now, limit.min(lease::INITIAL_SPAN_MS)),
                |prior| prior.recent,
            ),
            last_ack: now,
            acknowledged: false,
            acked_sent: prior.and_then(|prior| prior.acked_sent),
            log_read: prior.and_then(|prior| prior.log_read),
        })
    }

    /// Returns whether the previous holder of a newly acquired lease may still
    /// act. It may not if it has left, or if it wrote the record itself, which
    /// is the case if this daemon has begun no takeover.
    fn must_wait(&self, state: &state::State, target: &model::TargetName) -> bool {
        let Some(known) = self.known.get(target) else {
            // The target may have been removed and added again just now.
            return true;
        };
        let host = state.hosts.get(&known.holder);
        match host.map(|host| host.gone) {
            Some(Some(state::Reason::Left)) => false,
            Some(Some(state::Reason::Lost)) | None => true,
            Some(None) => {
                let backed = self.backed.get(target);
                backed.is_some_and(|backed| backed.takeover.is_some())
            }
        }
    }
}

/// Returns a lease that this daemon starts to back up at `now`.
fn new_backed(now: Millis, lease: &state::Lease) -> BackedLease {
    BackedLease {
        offset: lease.offset,
        holder: lease.holder,
        holder_gone: false,
        last_heartbeat: now,
        sequence: 0,
        span: lease.span.saturating_sub(lease::STALE_START_MS),
        earlier_end: now + lease.span,
        takeover: None,
    }
}

/// Returns whether `target` checks fences; `false` if it is not configured.
fn checks_fences(state: &state::State, target: &model::TargetName) -> bool {
    let target = state.config.targets.get(target);
    target.is_some_and(|target| target.checks)
}
