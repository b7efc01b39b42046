//! Resignation of a backup without a log record.
//!
//! It allows a graceful shutdown while the log is unavailable. A backup that
//! has resigned appends no record for the lease, so that only the holder can,
//! unless operators declare it lost. The lease then stays valid without renewal
//! until the holder appends a record that names another backup.

use crate::lease::handover::Refused;
use crate::lease::table::{Denied, Phase, Table};
use crate::model;

impl Table {
    /// Stops backing up the lease on `target` permanently, and returns its holder.
    ///
    /// # Errors
    /// Returns [`Denied::NotHolder`] if this daemon is not the backup, and
    /// [`Denied::Undecided`] if it has begun to take the lease over.
    pub fn resign(&mut self, target: &model::TargetName) -> Result<model::Incarnation, Denied> {
        let backed = self.backed.get(target).ok_or(Denied::NotHolder)?;
        if backed.takeover.is_some() {
            return Err(Denied::Undecided);
        }
        let holder = backed.holder;
        // The record stays known, so that reading it again does not restore the lease.
        self.backed.remove(target);
        Ok(holder)
    }

    /// Records that `from`, the backup of the lease on `target` recorded at
    /// `lease`, has resigned. A repetition has no effect.
    ///
    /// # Errors
    /// Returns an error, and the lease still needs renewal, if this daemon does
    /// not hold the lease, if `from` is not its backup, or if a record that
    /// names another backup or holder may still take effect.
    pub fn on_resigned(
        &mut self,
        from: model::Incarnation,
        target: &model::TargetName,
        lease: model::Offset,
    ) -> Result<(), Refused> {
        let known = self.known.get(target);
        let is_backup =
            known.is_some_and(|known| known.offset == lease && known.backup == Some(from));
        let held = self.held.get_mut(target).filter(|held| {
            let recorded = held.received.is_none();
            is_backup && recorded && held.offset == lease
        });
        let held = held.ok_or(Refused::NotCurrent)?;
        if held.pending_appends > 0 || held.phase != Phase::Active {
            return Err(Refused::Undecided);
        }
        held.backup_resigned = true;
        Ok(())
    }
}
