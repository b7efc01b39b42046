//! The holder's side: heartbeats, the right and the waits.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::lease;
use crate::lease::span;
use crate::lease::table::{Denied, Effect, Held, Phase, Proposal, Right, Sent, Table};
use crate::model;

impl Table {
    /// Returns the heartbeats that are due, one for each backup, and notes
    /// `now` as the time at which they are sent. The caller must send them
    /// after this call, never keep them for later.
    pub fn heartbeats(&mut self, now: Millis) -> Vec<(model::Incarnation, lease::Heartbeat)> {
        let mut shared: BTreeMap<model::Incarnation, Vec<(model::Offset, u64)>> = BTreeMap::new();
        let mut urgent = Vec::new();
        for held in self.held.values_mut() {
            held.wanted.turn(now);
            // A released lease is left to the backup should the hand-over fail.
            if let (Some(backup), false) = (held.backup, held.phase == Phase::Released) {
                let span = held.wanted.announce();
                shared.entry(backup).or_default().push((held.offset, span));
                if span > held.announced {
                    urgent.push(backup);
                }
            }
        }
        let mut due = Vec::new();
        for (to, mut leases) in shared {
            leases.sort_unstable();
            let early = urgent.contains(&to);
            if let Some(heartbeat) = self.heartbeat(now, to, early, leases) {
                due.push((to, heartbeat));
            }
        }
        due
    }

    /// Takes a backup's answer, and renews the right on the leases that it
    /// acknowledges, counted from when this daemon sent the heartbeat.
    pub fn on_ack(&mut self, now: Millis, from: model::Incarnation, ack: &lease::Ack) {
        if ack.to != self.me || ack.from != from {
            return;
        }
        let Some(sent) = self.sent.get(&from) else {
            return;
        };
        let Some(first) = sent.iter().position(|sent| sent.sequence == ack.sequence) else {
            return;
        };
        let (sent, later) = (&sent[first], sent.range(first..));
        for held in self.held.values_mut() {
            let both = sent.leases.contains(&held.offset) && ack.leases.contains(&held.offset);
            // A late copy does not show that the backup still answers.
            let newer = held.acked < Some(sent.at);
            if both && newer && held.backup == Some(from) && held.phase == Phase::Acting {
                held.acked = Some(sent.at);
                held.heard = now;
                held.answered = true;
                // The backup may have heard any of the later heartbeats.
                let spans = later.clone().filter_map(|sent| sent.span(held.offset));
                held.span = spans.min().unwrap_or(held.span);
            }
        }
    }

    /// Takes a log read that was started at `started` and reached the log's
    /// end at the next offset `at`. It counts only after `follow` has seen
    /// the records that it returned.
    pub fn on_log_read(&mut self, started: Millis, at: model::Offset) {
        if at > self.seen {
            return;
        }
        for held in self.held.values_mut() {
            if held.offset < at {
                held.proven = held.proven.max(Some(started));
            }
        }
    }

    /// Notes that a target that checks has accepted `fence`.
    pub fn target_confirmed(&mut self, target: &model::TargetName, fence: model::Fence) {
        if let Some(held) = self.held.get_mut(target) {
            held.confirmed |= fence == model::Fence::at(held.offset);
        }
    }

    /// Returns the right to act for `target`.
    ///
    /// # Errors
    /// Returns why the daemon may not act at `now`.
    pub fn may_act(&self, target: &model::TargetName, now: Millis) -> Result<Right, Denied> {
        let held = self.held.get(target).ok_or(Denied::NotHolder)?;
        if held.phase == Phase::Released {
            return Err(Denied::Released);
        }
        if held.is_waiting(now) {
            return Err(Denied::Waiting { until: held.usable });
        }
        let until = held.until(now);
        if now >= until {
            return Err(Denied::Expired { at: until });
        }
        Ok(Right {
            fence: held.fence(),
            until,
            span: held.span,
        })
    }

    /// Returns the time on this daemon's clock at which grants given at `now`
    /// end at the latest: the end of the right plus [`lease::GRANT_MARGIN`].
    ///
    /// # Errors
    /// Returns why the daemon may not act at `now`.
    pub fn grant_until(&self, target: &model::TargetName, now: Millis) -> Result<Millis, Denied> {
        let right = self.may_act(target, now)?;
        Ok(right.until + lease::GRANT_MARGIN)
    }

    /// Returns the time from which shards of `target` may be moved away
    /// without its confirmation: all grants of earlier holders have ended.
    pub fn may_move_at(&self, target: &model::TargetName) -> Option<Millis> {
        Some(self.held.get(target)?.movable)
    }

    /// Returns the time at which all requests of earlier holders have ended,
    /// even if `target` can't be asked about them.
    pub fn orphans_end_at(&self, target: &model::TargetName) -> Option<Millis> {
        Some(self.held.get(target)?.orphans)
    }

    /// Notes a request for `target` with `left` milliseconds of remaining time,
    /// and returns whether the span covers it. If not, a heartbeat is due at
    /// once, and the backup's answer raises the span.
    pub fn cover(&mut self, target: &model::TargetName, now: Millis, left: u64) -> bool {
        let Some(held) = self.held.get_mut(target) else {
            return false;
        };
        held.wanted.note(now, left);
        // Nobody takes such a lease over but by a record of this daemon or of
        // operators, which carries the span or the longest one.
        if held.received.is_some() || held.sole {
            held.span = held.span.max(left);
        }
        left <= held.span
    }

    /// Returns whether requests need a longer span than the one in force.
    pub fn is_short(&self, target: &model::TargetName) -> bool {
        self.held.get(target).is_some_and(Held::is_short)
    }

    /// Returns the held leases that need a new backup, because there is none,
    /// it is gone, or it has not acknowledged for [`lease::BACKUP_SILENCE`].
    pub fn needs_backup(&self, now: Millis) -> Vec<model::TargetName> {
        let held = self.held.iter().filter(|(_, held)| {
            let silent = now.since(held.heard) >= lease::BACKUP_SILENCE;
            let recorded = held.phase != Phase::Released && held.received.is_none();
            recorded && (held.backup.is_none() || silent)
        });
        held.map(|(target, _)| target.clone()).collect()
    }

    /// Returns whether a held lease can be renewed by a log read alone: its
    /// backup is silent, or a new backup is being recorded.
    pub fn needs_log(&self, now: Millis) -> bool {
        let mut held = self.held.values();
        held.any(|held| match held.phase {
            Phase::Acting => held.is_silent(now),
            Phase::Replacing => true,
            Phase::Released => false,
        })
    }

    /// Prepares a record that names a new backup; to be called before each
    /// append. From now on only log reads renew the right, until the log decides.
    ///
    /// # Errors
    /// Returns why the daemon may not write such a record.
    pub fn replace_backup(
        &mut self,
        target: &model::TargetName,
        now: Millis,
    ) -> Result<Proposal, Denied> {
        let held = self.held.get_mut(target).ok_or(Denied::NotHolder)?;
        if held.phase == Phase::Released {
            return Err(Denied::Released);
        }
        if held.received.is_some() {
            return Err(Denied::Undecided);
        }
        Ok(propose(target, held, now, Phase::Replacing))
    }

    /// Stops acting for `target` and prepares a record that names a new
    /// holder; to be called before each append, after running requests ended.
    ///
    /// # Errors
    /// Returns why the daemon can't give the lease away yet: it does not hold
    /// it, or it still waits for the previous holder.
    pub fn release(&mut self, target: &model::TargetName, now: Millis) -> Result<Proposal, Denied> {
        let held = self.held.get_mut(target).ok_or(Denied::NotHolder)?;
        if held.is_waiting(now) {
            return Err(Denied::Waiting { until: held.usable });
        }
        if held.received.is_some() {
            return Err(Denied::Undecided);
        }
        Ok(propose(target, held, now, Phase::Released))
    }

    /// Stops acting for all targets, and returns the time from which the
    /// daemon may append `HostDown`: successors don't wait after it.
    pub fn leave(&mut self, now: Millis) -> Millis {
        let mut at = now;
        self.leaving = true;
        for held in self.held.values_mut() {
            if held.is_waiting(now) {
                at = at.max(held.usable);
            }
            held.phase = Phase::Released;
        }
        at
    }

    /// Takes the failure of the append of `proposal`, or its rejection by the
    /// log. Without effect, the lease is as before; otherwise the daemon keeps
    /// to what it announced, and may append the record again.
    pub fn append_failed(&mut self, proposal: &Proposal, effect: Effect) {
        let held = self.held.get_mut(&proposal.target);
        let held = held.filter(|held| held.offset == proposal.prior);
        if let (Some(held), Effect::None, false) = (held, effect, self.leaving) {
            held.withdraw();
        }
        self.takeover_failed(proposal, effect);
    }

    fn heartbeat(
        &mut self,
        now: Millis,
        to: model::Incarnation,
        early: bool,
        leases: Vec<(model::Offset, u64)>,
    ) -> Option<lease::Heartbeat> {
        let sent = self.sent.entry(to).or_default();
        let last = sent.back();
        if !early && last.is_some_and(|last| now.since(last.at) < lease::HEARTBEAT) {
            return None;
        }
        self.sequence += 1;
        let (leases, spans): (Vec<_>, Vec<_>) = leases.into_iter().unzip();
        sent.retain(|sent| now.since(sent.at) < lease::LEASE);
        sent.push_back(Sent {
            sequence: self.sequence,
            at: now,
            leases: leases.clone(),
            spans: spans.clone(),
        });
        for held in self.held.values_mut() {
            let mut announced = leases.iter().zip(&spans);
            if let Some((_, span)) = announced.find(|(offset, _)| **offset == held.offset) {
                held.announce(now, *span);
            }
        }
        Some(lease::Heartbeat {
            from: self.me,
            to,
            sequence: self.sequence,
            seen: self.seen,
            leases,
            spans,
        })
    }
}

impl Held {
    fn withdraw(&mut self) {
        self.pending = self.pending.saturating_sub(1);
        if self.pending == 0 {
            self.phase = Phase::Acting;
        }
    }

    /// Returns the fence of this daemon's orders.
    pub(super) fn fence(&self) -> model::Fence {
        self.received
            .unwrap_or_else(|| model::Fence::at(self.offset))
    }

    /// Keeps to an announced span at once if it is shorter: the backup may hear it.
    fn announce(&mut self, now: Millis, span: u64) {
        self.announced = span;
        if span < self.span {
            self.runs = self.runs.max(now + lease::AFTER + self.span);
            self.span = span;
        }
    }

    pub(super) fn is_short(&self) -> bool {
        self.wanted.announce() > self.span
    }

    pub(super) fn is_waiting(&self, now: Millis) -> bool {
        let fenced = self.checks && self.confirmed;
        !fenced && now < self.usable
    }

    fn is_silent(&self, now: Millis) -> bool {
        !self.answered || now.since(self.heard) >= lease::LOG_FALLBACK
    }

    fn until(&self, now: Millis) -> Millis {
        if self.received.is_some() || self.sole {
            return now + lease::LEASE;
        }
        let proven = self.proven.filter(|_| self.is_silent(now));
        let start = self.acked.max(proven);
        start.map_or(Millis::default(), |start| start + lease::LEASE)
    }
}

impl Sent {
    fn span(&self, lease: model::Offset) -> Option<u64> {
        let at = self.leases.iter().position(|other| *other == lease)?;
        self.spans.get(at).copied()
    }
}

/// Goes over to `phase` until the log has decided on the returned proposal.
fn propose(target: &model::TargetName, held: &mut Held, now: Millis, phase: Phase) -> Proposal {
    held.sole = false;
    held.phase = phase;
    held.pending += 1;
    Proposal {
        target: target.clone(),
        prior: held.offset,
        span: span::remaining(now, held.span, held.runs),
    }
}
