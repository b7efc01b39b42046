//! Backup side of a lease: acknowledgements and takeovers.

use crate::clock::Millis;
use crate::lease;
use crate::lease::span;
use crate::lease::table::{BackedLease, Effect, Proposal, Table, Takeover};
use crate::model;
use crate::state;

impl Table {
    /// Processes a holder's heartbeat and returns the reply, which acknowledges
    /// the leases that this daemon backs up and has not begun to take over.
    pub fn on_heartbeat(
        &mut self,
        now: Millis,
        from: model::Incarnation,
        heartbeat: &lease::Heartbeat,
    ) -> lease::Ack {
        let mut leases = Vec::new();
        if heartbeat.to == self.me && heartbeat.from == from {
            for backed in self.backed.values_mut() {
                if backed.on_heartbeat(now, heartbeat) {
                    leases.push(backed.offset);
                }
            }
        }
        leases.sort_unstable();
        lease::Ack {
            from: self.me,
            to: from,
            sequence: heartbeat.sequence,
            seen: self.seen,
            leases,
        }
    }

    /// Begins the takeover of leases whose holder has sent no heartbeat for
    /// [`lease::HOLDER_TIMEOUT_MS`] or is gone. Returns each of them once, and
    /// again after a failed append.
    ///
    /// It must be called at least every [`lease::HOLDER_TIMEOUT_MS`]. A longer
    /// gap means that this daemon was paused and may have missed heartbeats
    /// itself, so the timeout of all holders starts again.
    ///
    /// Once a takeover has begun, this daemon no longer acknowledges the lease.
    /// If the log is unavailable, the lease then has no valid holder until it
    /// is back, so the caller should call this only while the log answers.
    pub fn takeovers(&mut self, now: Millis) -> Vec<Proposal> {
        self.touch(now);
        let resumed_at = self.resumed_at;
        let mut due = Vec::new();
        for (target, backed) in &mut self.backed {
            if backed.begin_takeover(now, resumed_at) {
                due.push(Proposal {
                    target: target.clone(),
                    prior: backed.offset,
                    span: span::drain_time(now, backed.span, backed.earlier_end),
                });
            }
        }
        due
    }

    /// Returns whether `takeovers` would return a lease now, without beginning a takeover.
    pub fn has_suspects(&self, now: Millis) -> bool {
        let gap = self.last_touch.map_or(0, |last| now.since(last));
        let resumed_at = if gap > lease::HOLDER_TIMEOUT_MS {
            now
        } else {
            self.resumed_at
        };
        let mut backed = self.backed.values();
        backed.any(|backed| backed.is_takeover_due(now, resumed_at))
    }

    /// Records that this daemon is running at `now`. A gap of more than
    /// [`lease::HOLDER_TIMEOUT_MS`] between two calls counts as a pause.
    pub fn touch(&mut self, now: Millis) {
        let gap = self.last_touch.map_or(0, |last| now.since(last));
        if gap > lease::HOLDER_TIMEOUT_MS {
            self.resumed_at = now;
        }
        self.last_touch = Some(now);
    }

    /// Handles a failed append of a takeover. If no append of it can take
    /// effect, the takeover is cancelled, and begins again if the holder's
    /// timeout expires.
    pub(super) fn takeover_failed(&mut self, proposal: &Proposal, effect: Effect) {
        let backed = self.backed.get_mut(&proposal.target);
        let Some(backed) = backed.filter(|backed| backed.offset == proposal.prior) else {
            return;
        };
        let Some(takeover) = &mut backed.takeover else {
            return;
        };
        takeover.in_doubt |= effect == Effect::Unknown;
        takeover.append_due = true;
        if !takeover.in_doubt {
            backed.takeover = None;
        }
    }
}

impl BackedLease {
    /// Records a heartbeat, and returns whether to acknowledge this lease.
    fn on_heartbeat(&mut self, now: Millis, heartbeat: &lease::Heartbeat) -> bool {
        let mut leases = heartbeat.leases.iter();
        let index = leases.position(|lease| *lease == self.offset);
        let matching = index.filter(|_| self.holder == heartbeat.from);
        let Some(index) = matching.filter(|_| self.takeover.is_none() && !self.holder_gone) else {
            return false;
        };
        if heartbeat.sequence > self.sequence {
            self.sequence = heartbeat.sequence;
            self.last_heartbeat = now;
            self.on_span(now, heartbeat.spans.get(index).copied());
        }
        true
    }

    /// Records the span that a heartbeat announces. Requests that the holder
    /// sent before it lowered the span may last for the earlier one, counted
    /// from `now` at the latest.
    fn on_span(&mut self, now: Millis, span: Option<u64>) {
        let span = span.unwrap_or(state::UNKNOWN_SPAN_MS);
        if span < self.span {
            self.earlier_end = self
                .earlier_end
                .max(now + lease::STALE_START_MS + self.span);
        }
        self.span = span;
    }

    /// Returns whether a takeover must begin, or its record be appended again.
    fn is_takeover_due(&self, now: Millis, resumed_at: Millis) -> bool {
        if let Some(takeover) = &self.takeover {
            return takeover.append_due;
        }
        self.holder_gone
            || now.since(self.last_heartbeat.max(resumed_at)) >= lease::HOLDER_TIMEOUT_MS
    }

    /// Returns whether to append a takeover record now, and if so marks it as appended.
    fn begin_takeover(&mut self, now: Millis, resumed_at: Millis) -> bool {
        if let Some(takeover) = &mut self.takeover {
            return std::mem::take(&mut takeover.append_due);
        }
        if !self.is_takeover_due(now, resumed_at) {
            return false;
        }
        self.takeover = Some(Takeover {
            append_due: false,
            in_doubt: false,
        });
        true
    }
}
