//! Targets that don't answer orders, and what proves that they have ended.

use crate::clock;
use crate::gateway::keys;

/// Orders that a target did not answer.
#[derive(Clone, Debug)]
pub struct Quiet {
    /// Time at which the first of them was sent.
    pub since: clock::Millis,
    /// Time at which the first of them was given up.
    pub given: clock::Millis,
    /// Time at which the last of them was given up.
    pub last: clock::Millis,
    /// An order sent after the first was given up was not answered either.
    pub again: bool,
    /// Refused connections among them.
    pub refusal: Refusal,
}

/// What refused connections say of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// None was refused.
    None,
    /// One was refused at this time.
    Refused(clock::Millis),
    /// A later list, known from this time on, shows the target as ready.
    Listed(clock::Millis),
    /// A connection after that list was refused too: the process has ended.
    Ended,
}

impl Quiet {
    /// Returns whether orders stayed unanswered for long enough.
    pub fn is_silent(&self) -> bool {
        self.again && self.last.since(self.since) >= super::SILENCE
    }

    /// Takes a refused connection for an order sent at `sent`.
    pub fn refuse(&mut self, now: clock::Millis, sent: clock::Millis) {
        self.refusal = match self.refusal {
            Refusal::None => Refusal::Refused(now),
            Refusal::Listed(known) if sent >= known => Refusal::Ended,
            known => known,
        };
    }

    /// Takes a list whose read started at `listed`. A target that leaves in
    /// order is listed as leaving, or not at all, before it closes its listener.
    pub fn list(&mut self, now: clock::Millis, listed: clock::Millis, ready: bool) {
        self.refusal = match self.refusal {
            Refusal::Refused(at) if listed > at && ready => Refusal::Listed(now),
            Refusal::Listed(_) if !ready => Refusal::Refused(now),
            known => known,
        };
    }

    /// Returns whether the target gets no keys.
    pub fn is_avoided(&self) -> bool {
        self.refusal != Refusal::None || self.is_silent()
    }
}

impl super::Steward {
    /// Iterates over the owners that get no keys, since they do not answer orders.
    pub fn silent_owners(&self) -> impl Iterator<Item = &keys::Owner> {
        let silent = self.quiet.iter().filter(|(_, quiet)| quiet.is_avoided());
        silent.map(|(owner, _)| owner)
    }
}

impl super::Steward {
    /// Takes a list, for targets whose connections were refused.
    pub(super) fn list_refused(&mut self, now: clock::Millis, listed: clock::Millis) {
        for (owner, quiet) in &mut self.quiet {
            let ready = |member: &super::Member| {
                let listed = matches!(
                    member.state,
                    super::MemberState::Ready | super::MemberState::Cold
                );
                listed && member.owner == *owner
            };
            quiet.list(now, listed, self.members.values().any(ready));
        }
    }
}
