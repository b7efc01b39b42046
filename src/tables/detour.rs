//! Routing to the backup while the log still names a holder that has handed its
//! lease to the backup directly, without a record.
//!
//! An entry daemon learns of this only from failures and refusals by which the
//! request has not run: if the recorded holder is unreachable or refuses because
//! it doesn't hold the lease, the next attempt goes to the recorded backup, and
//! if the backup doesn't hold the lease either, it goes to the holder again.

use std::collections::HashMap;

use parking_lot::RwLock;

use crate::forward;
use crate::model;
use crate::server;
use crate::state;

/// Targets whose requests go to the recorded backup, with the offset of the
/// lease record for which this is valid.
#[derive(Debug, Default)]
pub struct Detours(RwLock<HashMap<model::TargetName, model::Offset>>);

/// Daemon to which a request for a target is sent.
pub struct Recipient<'a> {
    /// Incarnation of the daemon.
    pub id: model::Incarnation,
    /// Host of the daemon.
    pub host: &'a state::Host,
    /// Offset of the lease record.
    lease_offset: model::Offset,
    /// Whether the daemon is the recorded backup.
    is_backup: bool,
}

impl Detours {
    /// Returns the daemon to which requests for `target` are sent: holder or backup,
    /// or the other of them if that one is gone.
    ///
    /// Returns `None` if the target has no lease or both are gone.
    pub fn recipient<'a>(
        &self,
        state: &'a state::State,
        target: &model::TargetName,
    ) -> Option<Recipient<'a>> {
        let lease = state.leases.get(target)?;
        let recipient = |id: model::Incarnation, is_backup| {
            let host = state.hosts.get(&id)?;
            host.gone.is_none().then_some(Recipient {
                id,
                host,
                lease_offset: lease.offset,
                is_backup,
            })
        };
        let uses_backup = self.0.read().get(target) == Some(&lease.offset);
        let backup = || recipient(lease.backup?, true);
        let holder = || recipient(lease.holder, false);
        match uses_backup {
            true => backup().or_else(holder),
            false => holder().or_else(backup),
        }
    }

    /// Routes requests for `target` to the backup of the lease recorded at `lease`.
    pub fn note(&self, target: &model::TargetName, lease: model::Offset) {
        self.0.write().insert(target.clone(), lease);
    }

    /// Routes to the other daemon, after `recipient` proved not to hold the lease.
    pub fn switch(&self, target: &model::TargetName, recipient: &Recipient<'_>) {
        match recipient.is_backup {
            false => self.note(target, recipient.lease_offset),
            true => {
                self.0.write().remove(target);
            }
        }
    }

    /// Routes to the other daemon if a request to `recipient` failed before it ran,
    /// unless it was cancelled.
    pub fn on_failure(
        &self,
        target: &model::TargetName,
        recipient: &Recipient<'_>,
        failure: &forward::Failure,
    ) {
        let cancelled = failure.cause == forward::Cause::Cancelled;
        if failure.outcome == forward::Outcome::NotRun && !cancelled {
            self.switch(target, recipient);
        }
    }

    /// Routes to the other daemon if `recipient` refused before the request ran,
    /// because another daemon that it names holds the lease or because it is
    /// shutting down.
    ///
    /// Returns the refusal. The address in one for a moved lease is removed, because it
    /// is for daemons only.
    pub fn on_refusal(
        &self,
        target: &model::TargetName,
        recipient: &Recipient<'_>,
        mut refusal: server::Refusal,
    ) -> server::Refusal {
        let elsewhere = match refusal.reason {
            server::Reason::Moved => refusal.location.take().is_some(),
            server::Reason::ShuttingDown => true,
            _ => false,
        };
        if refusal.outcome == forward::Outcome::NotRun && elsewhere {
            self.switch(target, recipient);
        }
        refusal
    }
}
