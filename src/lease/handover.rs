//! Hand-over of a lease from its holder to its backup without a log record.
//!
//! It allows a graceful shutdown while the log is unavailable. The holder gives
//! the lease up permanently before the backup learns of it. From then on only
//! the backup can append a record for the lease, unless operators declare it
//! lost, so that its lease stays valid without renewal until it has read its
//! own record back. That record names no backup: a backup could take over while
//! this daemon still acts without having read the record.

use crate::clock::Millis;
use crate::lease;
use crate::lease::span;
use crate::lease::table::{BackedLease, Denied, HeldLease, Phase, Proposal, Table};
use crate::model;

/// Difference between the step of the receiver's fence and that of the last
/// fence that the old holder reported. The old holder's thread that renews
/// grants may raise its step once or twice more while it stops.
pub const STEP_GAP: u32 = 1 << 16;

/// Result of giving up a lease permanently.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Surrendered {
    /// Daemon that may receive the lease: the recorded backup.
    pub to: model::Incarnation,
    /// Offset of the lease record.
    pub lease: model::Offset,
    /// Next offset of this daemon's state; the receiver must have read the log up to it.
    pub seen: model::Offset,
}

/// Message by which a holder hands its lease over to this daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handed {
    /// Target of the lease.
    pub target: model::TargetName,
    /// Daemon that held the lease.
    pub from: model::Incarnation,
    /// Offset of the lease record.
    pub lease: model::Offset,
    /// Next offset of the sender's state after it had given the lease up.
    pub seen: model::Offset,
    /// Last fence that the sender used at the target.
    pub fence: model::Fence,
}

/// Why a daemon rejects a hand-over or a resignation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    /// This daemon is shutting down too.
    #[error("this daemon is leaving too")]
    Leaving,
    /// The sender has read records that this daemon has not, one of which may
    /// have moved shards away from the target.
    #[error("this daemon has not read all records that the sender has")]
    Behind,
    /// The lease record is not the current one, or does not name the two
    /// daemons as holder and backup.
    #[error("the lease record is not current, or names other daemons")]
    NotCurrent,
    /// This daemon has begun to take the lease over by a record.
    #[error("this daemon is taking the lease over by a record")]
    TakingOver,
    /// A record of this daemon for the lease may still take effect.
    #[error("a record for the lease may still take effect")]
    Undecided,
    /// The fence is not one of this lease, or its step can't be raised by [`STEP_GAP`].
    #[error("the fence does not belong to the lease")]
    BadFence,
}

impl Table {
    /// Gives the lease on `target` up permanently in favour of its backup.
    ///
    /// # Errors
    /// Returns an error, and keeps the lease, if this daemon does not hold it
    /// or still waits for the previous holder, if a record of its own may still
    /// take effect, or if the log names no backup that is up.
    pub fn surrender(
        &mut self,
        target: &model::TargetName,
        now: Millis,
    ) -> Result<Surrendered, Denied> {
        let held = self.held.get(target).ok_or(Denied::NotHolder)?;
        if held.pending_appends > 0 || held.received.is_some() {
            return Err(Denied::Undecided);
        }
        if held.is_waiting(now) {
            return Err(Denied::Waiting {
                until: held.wait_end,
            });
        }
        if held.backup_resigned {
            return Err(Denied::NoBackup);
        }
        let surrendered = Surrendered {
            to: held.backup.ok_or(Denied::NoBackup)?,
            lease: held.offset,
            seen: self.seen,
        };
        // The record stays known, so that reading it again does not restore the lease.
        self.held.remove(target);
        Ok(surrendered)
    }

    /// Accepts a lease that its holder has given up. A repetition has no effect.
    ///
    /// # Errors
    /// Returns why this daemon rejects the hand-over.
    pub fn receive(&mut self, now: Millis, handed: &Handed) -> Result<(), Refused> {
        if self.leaving {
            return Err(Refused::Leaving);
        }
        if handed.seen > self.seen {
            return Err(Refused::Behind);
        }
        if let Some(held) = self.held.get(&handed.target)
            && (held.received.is_some() || held.offset > handed.lease)
        {
            return Ok(());
        }
        let known = self.known.get(&handed.target);
        let current = known.is_some_and(|lease| {
            lease.offset == handed.lease
                && lease.holder == handed.from
                && lease.backup == Some(self.me)
        });
        let backed = self.backed.get(&handed.target).filter(|_| current);
        let backed = backed.ok_or(Refused::NotCurrent)?;
        if backed.takeover.is_some() {
            return Err(Refused::TakingOver);
        }
        let step = handed.fence.step.checked_add(STEP_GAP);
        let step = step.filter(|_| handed.fence.offset == handed.lease);
        let fence = model::Fence {
            offset: handed.lease,
            step: step.ok_or(Refused::BadFence)?,
        };
        let received = received_lease(now, fence, backed);
        self.backed.remove(&handed.target);
        self.held.insert(handed.target.clone(), received);
        Ok(())
    }

    /// Returns whether this daemon holds a lease that it received without a
    /// record and has not recorded yet.
    pub fn has_unrecorded(&self) -> bool {
        self.held.values().any(|held| held.received.is_some())
    }

    /// Returns a proposal for each lease that was received without a record and
    /// is not recorded yet. The caller must append them now; the records must
    /// name this daemon as holder and no backup.
    pub fn unrecorded(&mut self, now: Millis) -> Vec<Proposal> {
        let received = self.held.iter_mut();
        let received = received.filter(|(_, held)| held.received.is_some());
        let proposals = received.map(|(target, held)| {
            held.pending_appends += 1;
            Proposal {
                target: target.clone(),
                prior: held.offset,
                span: span::drain_time(now, held.span, held.earlier_end),
            }
        });
        proposals.collect()
    }

    /// Returns the offset of the lease record under which this daemon may
    /// append other records for `target`, or `None` if it does not hold the
    /// lease, or received it without a record and has not recorded it yet.
    pub fn recorded(&self, target: &model::TargetName) -> Option<model::Offset> {
        let held = self.held.get(target)?;
        held.received.is_none().then_some(held.offset)
    }
}

/// Returns the lease that this daemon holds after a hand-over received at `now`.
fn received_lease(now: Millis, fence: model::Fence, backed: &BackedLease) -> HeldLease {
    // The old holder waited for its requests, but only up to its drain timeout.
    let requests_end = backed
        .earlier_end
        .max(now + lease::STALE_START_MS + backed.span);
    HeldLease {
        offset: fence.offset,
        first_offset: fence.offset,
        backup: None,
        phase: Phase::Active,
        received: Some(fence),
        backup_resigned: false,
        pending_appends: 0,
        checks_fences: false,
        fence_confirmed: false,
        wait_end: now,
        // The old holder's grants outlast the validity of its lease.
        grants_end: now + lease::STALE_START_MS,
        predecessors_end: requests_end,
        earlier_end: requests_end,
        span: backed.span,
        announced: backed.span,
        recent: span::WindowedMax::new(now, backed.span.min(lease::INITIAL_SPAN_MS)),
        last_ack: now,
        acknowledged: false,
        acked_sent: None,
        log_read: None,
    }
}
