//! Ends of the waits until a former owner holds none of a run's keys, with their evidence.

use std::fmt;

use crate::gateway::keys;
use crate::model;

/// Evidence that a former owner holds none of a run's keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Evidence {
    /// All leases that it may hold have ended.
    LeaseEnded,
    /// It answered the release, and no earlier grant can still be applied.
    Released,
}

impl Evidence {
    /// Returns the name in log lines and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::LeaseEnded => "lease_ended",
            Self::Released => "released",
        }
    }
}

/// The end of the wait for a former owner of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Freed {
    /// Service of the keys.
    pub service: model::ServiceName,
    /// The former owner.
    pub owner: keys::Owner,
    /// Number of keys of the run.
    pub keys: u32,
    /// Fence with which the keys are granted to the next owner.
    pub fence: u64,
    /// Why the former owner holds none of them.
    pub evidence: Evidence,
}

impl fmt::Display for Freed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} keys of service {} with fence {} are no longer held by target {}, started at {}: {}",
            self.keys,
            self.service,
            self.fence,
            self.owner.target,
            self.owner.birth,
            self.evidence.label()
        )
    }
}

impl super::Coordinator {
    /// Returns the waits that ended since the last call.
    pub fn take_freed(&mut self) -> Vec<Freed> {
        std::mem::take(&mut self.freed)
    }
}
