//! Targets that fail orders, and the evidence that their processes have ended.

use crate::clock;
use crate::gateway::keys;

/// Recent failed orders to a target: unanswered, refused or rejected ones.
#[derive(Clone, Debug)]
pub struct Failures {
    /// Time at which the first of them was sent.
    pub first_sent: clock::Millis,
    /// Time at which the first of them failed.
    pub first_failed: clock::Millis,
    /// Time at which the last of them failed.
    pub last_failed: clock::Millis,
    /// An order that was sent after the first one had failed has failed too.
    pub repeated: bool,
    /// Evidence from refused connections among them.
    pub refusal: Refusal,
}

/// Evidence from refused connections that a target's process has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No connection was refused.
    None,
    /// A connection was refused at this time.
    Refused(clock::Millis),
    /// A list read after the refusal and received at this time shows the target as
    /// ready or cold.
    Listed(clock::Millis),
    /// A connection after that list was refused as well: the process has ended.
    Ended,
}

impl Failures {
    /// Returns whether orders have failed for long enough to eject the target.
    pub fn is_failing(&self) -> bool {
        self.repeated && self.last_failed.since(self.first_sent) >= super::FAILURE_THRESHOLD_MS
    }

    /// Handles a refused connection for an order sent at `sent`.
    pub fn on_refused(&mut self, now: clock::Millis, sent: clock::Millis) {
        self.refusal = match self.refusal {
            Refusal::None => Refusal::Refused(now),
            Refusal::Listed(known) if sent >= known => Refusal::Ended,
            known => known,
        };
    }

    /// Handles a list whose read started at `listed`; `ready` says whether it shows the
    /// target as ready or cold. A target that shuts down gracefully is listed as
    /// draining, or not at all, before it closes its listener.
    pub fn on_list(&mut self, now: clock::Millis, listed: clock::Millis, ready: bool) {
        self.refusal = match self.refusal {
            Refusal::Refused(at) if listed > at && ready => Refusal::Listed(now),
            Refusal::Listed(_) if !ready => Refusal::Refused(now),
            known => known,
        };
    }

    /// Returns whether the target is ejected: it gets no keys, and its keys move away.
    pub fn is_ejected(&self) -> bool {
        self.refusal != Refusal::None || self.is_failing()
    }
}

impl super::Coordinator {
    /// Iterates over the owners that are ejected because orders to them fail.
    pub fn ejected_owners(&self) -> impl Iterator<Item = &keys::Owner> {
        let ejected = self
            .failures
            .iter()
            .filter(|(_, failures)| failures.is_ejected());
        ejected.map(|(owner, _)| owner)
    }
}

impl super::Coordinator {
    /// Updates the evidence from refused connections by a list whose read started at
    /// `listed`.
    pub(super) fn on_list(&mut self, now: clock::Millis, listed: clock::Millis) {
        for (owner, failures) in &mut self.failures {
            let ready = |member: &super::Member| {
                let available = matches!(
                    member.state,
                    super::MemberState::Ready | super::MemberState::Cold
                );
                available && member.owner == *owner
            };
            failures.on_list(now, listed, self.members.values().any(ready));
        }
    }
}
