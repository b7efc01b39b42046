//! Holder side of a lease: heartbeats, validity and the waits for earlier holders.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::lease;
use crate::lease::span;
use crate::lease::table::{
    Denied, Effect, HeldLease, Phase, Proposal, Right, SentHeartbeat, Table,
};
use crate::model;

impl Table {
    /// Returns the heartbeats that are due, at most one for each backup, and
    /// records `now` as the time at which they are sent. The caller must send
    /// them at once and must not queue them.
    pub fn heartbeats(&mut self, now: Millis) -> Vec<(model::Incarnation, lease::Heartbeat)> {
        let mut by_backup: BTreeMap<model::Incarnation, Vec<(model::Offset, u64)>> =
            BTreeMap::new();
        let mut urgent = Vec::new();
        for held in self.held.values_mut() {
            held.recent.advance(now);
            // Without heartbeats, the backup takes a released lease over if the
            // transfer to the new holder fails.
            if let (Some(backup), false) = (held.backup, held.phase == Phase::Released) {
                let span = held.recent.rounded_max();
                by_backup
                    .entry(backup)
                    .or_default()
                    .push((held.offset, span));
                if span > held.announced {
                    urgent.push(backup);
                }
            }
        }
        let mut due = Vec::new();
        for (to, mut leases) in by_backup {
            leases.sort_unstable();
            let early = urgent.contains(&to);
            if let Some(heartbeat) = self.heartbeat(now, to, early, leases) {
                due.push((to, heartbeat));
            }
        }
        due
    }

    /// Processes a backup's acknowledgement, and renews the leases that it
    /// lists. Their validity counts from when this daemon sent the heartbeat.
    pub fn on_ack(&mut self, now: Millis, from: model::Incarnation, ack: &lease::Ack) {
        if ack.to != self.me || ack.from != from {
            return;
        }
        let Some(sent) = self.sent.get(&from) else {
            return;
        };
        let Some(index) = sent.iter().position(|sent| sent.sequence == ack.sequence) else {
            return;
        };
        let (sent, later) = (&sent[index], sent.range(index..));
        for held in self.held.values_mut() {
            let listed = sent.leases.contains(&held.offset) && ack.leases.contains(&held.offset);
            // A duplicate that arrives late is no sign that the backup still answers.
            let newer = held.acked_sent < Some(sent.sent_at);
            if listed && newer && held.backup == Some(from) && held.phase == Phase::Active {
                held.acked_sent = Some(sent.sent_at);
                held.last_ack = now;
                held.acknowledged = true;
                // The backup may have received any of the later heartbeats.
                let spans = later.clone().filter_map(|sent| sent.span(held.offset));
                held.span = spans.min().unwrap_or(held.span);
            }
        }
    }

    /// Processes a log read that started at `started` and reached the log's
    /// end at the next offset `at`. It renews leases only after `follow` has
    /// been given the records that it returned.
    pub fn on_log_read(&mut self, started: Millis, at: model::Offset) {
        if at > self.seen {
            return;
        }
        for held in self.held.values_mut() {
            if held.offset < at {
                held.log_read = held.log_read.max(Some(started));
            }
        }
    }

    /// Records that a target that checks fences has accepted `fence`.
    pub fn target_confirmed(&mut self, target: &model::TargetName, fence: model::Fence) {
        if let Some(held) = self.held.get_mut(target) {
            held.fence_confirmed |= fence == model::Fence::at(held.offset);
        }
    }

    /// Returns the fence and the end of validity of the lease on `target`.
    ///
    /// # Errors
    /// Returns why the daemon may not act at `now`.
    pub fn may_act(&self, target: &model::TargetName, now: Millis) -> Result<Right, Denied> {
        let held = self.held.get(target).ok_or(Denied::NotHolder)?;
        if held.phase == Phase::Released {
            return Err(Denied::Released);
        }
        if held.is_waiting(now) {
            return Err(Denied::Waiting {
                until: held.wait_end,
            });
        }
        let until = held.valid_until(now);
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
    /// end at the latest: the end of the lease's validity plus
    /// [`lease::GRANT_MARGIN_MS`].
    ///
    /// # Errors
    /// Returns why the daemon may not act at `now`.
    pub fn grant_until(&self, target: &model::TargetName, now: Millis) -> Result<Millis, Denied> {
        let right = self.may_act(target, now)?;
        Ok(right.until + lease::GRANT_MARGIN_MS)
    }

    /// Returns the time from which shards of `target` may be moved away
    /// without its confirmation, because all grants of earlier holders have
    /// ended; `None` if this daemon does not hold the lease.
    pub fn may_move_at(&self, target: &model::TargetName) -> Option<Millis> {
        Some(self.held.get(target)?.grants_end)
    }

    /// Returns the time at which all requests of earlier holders have ended,
    /// even if `target` is unreachable; `None` if this daemon does not hold
    /// the lease.
    pub fn orphans_end_at(&self, target: &model::TargetName) -> Option<Millis> {
        Some(self.held.get(target)?.predecessors_end)
    }

    /// Records a request for `target` with `left` milliseconds until its
    /// deadline, and returns whether the span covers it. If not, a heartbeat is
    /// due at once, and the backup's acknowledgement raises the span. Returns
    /// `false` if this daemon does not hold the lease.
    pub fn cover(&mut self, target: &model::TargetName, now: Millis, left: u64) -> bool {
        let Some(held) = self.held.get_mut(target) else {
            return false;
        };
        held.recent.record(now, left);
        // Such a lease changes hands only by a record of this daemon or of
        // operators, which carries this span or the longest possible one.
        if held.received.is_some() || held.backup_resigned {
            held.span = held.span.max(left);
        }
        left <= held.span
    }

    /// Returns whether recent requests for `target` need a longer span than the
    /// current one.
    pub fn is_short(&self, target: &model::TargetName) -> bool {
        self.held.get(target).is_some_and(HeldLease::is_short)
    }

    /// Returns the targets of held leases that need a new backup, because there
    /// is none, it is gone, or it has acknowledged nothing for
    /// [`lease::BACKUP_TIMEOUT_MS`].
    pub fn needs_backup(&self, now: Millis) -> Vec<model::TargetName> {
        let held = self.held.iter().filter(|(_, held)| {
            let unresponsive = now.since(held.last_ack) >= lease::BACKUP_TIMEOUT_MS;
            let recorded = held.phase != Phase::Released && held.received.is_none();
            recorded && (held.backup.is_none() || unresponsive)
        });
        held.map(|(target, _)| target.clone()).collect()
    }

    /// Returns whether a held lease can be renewed only by a log read, because
    /// its backup does not acknowledge or a new backup is being recorded.
    pub fn needs_log(&self, now: Millis) -> bool {
        let mut held = self.held.values();
        held.any(|held| match held.phase {
            Phase::Active => held.is_ack_late(now),
            Phase::Replacing => true,
            Phase::Released => false,
        })
    }

    /// Prepares a record that names a new backup; to be called before each
    /// append. From then on only log reads renew the lease, until the log has
    /// decided on the record.
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
    /// Returns an error if this daemon does not hold the lease, still waits for
    /// the previous holder, or received the lease without a record and has not
    /// recorded it yet.
    pub fn release(&mut self, target: &model::TargetName, now: Millis) -> Result<Proposal, Denied> {
        let held = self.held.get_mut(target).ok_or(Denied::NotHolder)?;
        if held.is_waiting(now) {
            return Err(Denied::Waiting {
                until: held.wait_end,
            });
        }
        if held.received.is_some() {
            return Err(Denied::Undecided);
        }
        Ok(propose(target, held, now, Phase::Released))
    }

    /// Stops acting for all targets, and returns the time from which the
    /// daemon may append `HostDown`. Successors don't wait after that record, so
    /// this daemon's own waits must have ended.
    pub fn leave(&mut self, now: Millis) -> Millis {
        let mut at = now;
        self.leaving = true;
        for held in self.held.values_mut() {
            if held.is_waiting(now) {
                at = at.max(held.wait_end);
            }
            held.phase = Phase::Released;
        }
        at
    }

    /// Handles a failed append of `proposal`, or its rejection by the log. With
    /// [`Effect::None`], the append is cancelled. With [`Effect::Unknown`], the
    /// restrictions stay, and the caller may append the record again.
    pub fn append_failed(&mut self, proposal: &Proposal, effect: Effect) {
        let held = self.held.get_mut(&proposal.target);
        let held = held.filter(|held| held.offset == proposal.prior);
        if let (Some(held), Effect::None, false) = (held, effect, self.leaving) {
            held.cancel_append();
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
        if !early && last.is_some_and(|last| now.since(last.sent_at) < lease::HEARTBEAT_PERIOD_MS) {
            return None;
        }
        self.sequence += 1;
        let (leases, spans): (Vec<_>, Vec<_>) = leases.into_iter().unzip();
        sent.retain(|sent| now.since(sent.sent_at) < lease::VALIDITY_MS);
        sent.push_back(SentHeartbeat {
            sequence: self.sequence,
            sent_at: now,
            leases: leases.clone(),
            spans: spans.clone(),
        });
        for held in self.held.values_mut() {
            let mut announced = leases.iter().zip(&spans);
            if let Some((_, span)) = announced.find(|(offset, _)| **offset == held.offset) {
                held.on_announced(now, *span);
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

impl HeldLease {
    fn cancel_append(&mut self) {
        self.pending_appends = self.pending_appends.saturating_sub(1);
        if self.pending_appends == 0 {
            self.phase = Phase::Active;
        }
    }

    /// Returns the fence to put on this daemon's orders.
    pub(super) fn fence(&self) -> model::Fence {
        self.received
            .unwrap_or_else(|| model::Fence::at(self.offset))
    }

    /// Records an announced span. A shorter one applies at once, because the
    /// backup may receive the heartbeat without an acknowledgement arriving.
    fn on_announced(&mut self, now: Millis, span: u64) {
        self.announced = span;
        if span < self.span {
            self.earlier_end = self
                .earlier_end
                .max(now + lease::STALE_START_MS + self.span);
            self.span = span;
        }
    }

    pub(super) fn is_short(&self) -> bool {
        self.recent.rounded_max() > self.span
    }

    pub(super) fn is_waiting(&self, now: Millis) -> bool {
        let fenced = self.checks_fences && self.fence_confirmed;
        !fenced && now < self.wait_end
    }

    fn is_ack_late(&self, now: Millis) -> bool {
        !self.acknowledged || now.since(self.last_ack) >= lease::LOG_FALLBACK_MS
    }

    fn valid_until(&self, now: Millis) -> Millis {
        if self.received.is_some() || self.backup_resigned {
            return now + lease::VALIDITY_MS;
        }
        let log_read = self.log_read.filter(|_| self.is_ack_late(now));
        let start = self.acked_sent.max(log_read);
        start.map_or(Millis::default(), |start| start + lease::VALIDITY_MS)
    }
}

impl SentHeartbeat {
    fn span(&self, lease: model::Offset) -> Option<u64> {
        let at = self.leases.iter().position(|other| *other == lease)?;
        self.spans.get(at).copied()
    }
}

/// Enters `phase` until the log has decided on the returned proposal.
fn propose(
    target: &model::TargetName,
    held: &mut HeldLease,
    now: Millis,
    phase: Phase,
) -> Proposal {
    held.backup_resigned = false;
    held.phase = phase;
    held.pending_appends += 1;
    Proposal {
        target: target.clone(),
        prior: held.offset,
        span: span::drain_time(now, held.span, held.earlier_end),
    }
}
