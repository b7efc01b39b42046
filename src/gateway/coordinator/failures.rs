//! Targets that fail orders.

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
    /// The last connection was refused. This does not show that the target's process has
    /// ended: its host may refuse while the process finishes its work, and the network may
    /// refuse while the target serves others.
    pub refused: bool,
}

impl Failures {
    /// Returns whether orders have failed for long enough to eject the target.
    pub fn is_failing(&self) -> bool {
        self.repeated && self.last_failed.since(self.first_sent) >= super::FAILURE_THRESHOLD_MS
    }

    /// Returns whether the target is ejected: it gets no keys, and its keys move away once
    /// its leases have ended.
    pub fn is_ejected(&self) -> bool {
        self.refused || self.is_failing()
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
