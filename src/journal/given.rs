//! Records of this process that may still take effect under a lease, and the
//! leases for which it no longer appends records.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::journal::Journal;
use crate::model;
use crate::state;

/// Maximum wait for a proposal in progress.
const PROPOSAL_WAIT: Duration = Duration::from_millis(2_500);

/// Error for a lease that can't be released without a log record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a record of this daemon under the lease at {0} may still take effect")]
pub struct UndecidedError(pub model::Offset);

/// Records appended under leases, and the leases that were released.
#[derive(Debug, Default)]
pub struct Given {
    /// Lease offset of each record that may be undecided, by sequence number.
    appended: BTreeMap<u64, model::Offset>,
    /// Offsets of the lease records that were released.
    released: BTreeSet<model::Offset>,
}

impl Given {
    /// Registers a record that is about to be appended. `decided` is the highest
    /// sequence number of this process that the log has decided on.
    pub fn note(&mut self, seq: u64, body: &state::Body, decided: u64) {
        self.appended.retain(|seq, _| *seq > decided);
        if let Some(lease) = body.under() {
            self.appended.insert(seq, lease);
        }
    }

    /// Returns whether a record requires a lease that was released.
    pub fn forbids(&self, body: &state::Body) -> bool {
        body.under()
            .is_some_and(|lease| self.released.contains(&lease))
    }

    /// Returns whether a record that requires `lease` may still take effect.
    pub fn has_open(&self, lease: model::Offset, decided: u64) -> bool {
        let mut open = self.appended.iter().filter(|(seq, _)| **seq > decided);
        open.any(|(_, under)| *under == lease)
    }

    /// Releases `lease`: records that require it are refused from now on.
    ///
    /// # Errors
    /// Returns [`UndecidedError`] if an earlier one may still take effect.
    pub fn give_up(&mut self, lease: model::Offset, decided: u64) -> Result<(), UndecidedError> {
        if self.has_open(lease, decided) {
            return Err(UndecidedError(lease));
        }
        self.released.insert(lease);
        Ok(())
    }
}

impl Journal {
    /// Releases the lease at offset `lease`: no more records that require it are appended.
    ///
    /// # Errors
    /// Returns [`UndecidedError`] if a record of this process may still take
    /// effect under the lease, or a proposal in progress does not end in time.
    pub fn give_up(&self, lease: model::Offset) -> Result<(), UndecidedError> {
        let Some(_seq) = self.seq.try_lock_for(PROPOSAL_WAIT) else {
            return Err(UndecidedError(lease));
        };
        let decided = self.decided();
        self.lease_writes.lock().give_up(lease, decided)
    }

    /// Returns whether a record of this process under `lease` may still take effect.
    pub fn has_open(&self, lease: model::Offset) -> bool {
        let decided = self.decided();
        self.lease_writes.lock().has_open(lease, decided)
    }

    /// Returns the highest sequence number of this process that the log has
    /// decided on. A record with a lower one can no longer take effect.
    pub(super) fn decided(&self) -> u64 {
        let state = self.state();
        state.writers.get(&self.me()).map_or(0, |last| last.0)
    }
}
