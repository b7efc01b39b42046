//! Where requests for a target go while the log still names a holder that has
//! given its lease to the backup without a record.
//!
//! An entry daemon learns it from refusals alone, all of which say that the
//! request has not run: a recorded holder that can't be connected to or says
//! that it does not hold the lease turns the next attempt to the recorded
//! backup, and a backup that does not hold the lease turns it back.

use std::collections::HashMap;

use parking_lot::RwLock;

use crate::forward;
use crate::model;
use crate::server;
use crate::state;

/// Leases whose recorded backup gets the requests.
#[derive(Debug, Default)]
pub struct Detours(RwLock<HashMap<model::TargetName, model::Offset>>);

/// Daemon that gets a request for a target.
pub struct Recipient<'a> {
    /// Its incarnation.
    pub id: model::Incarnation,
    /// Its host.
    pub host: &'a state::Host,
    /// Offset of the lease record.
    lease: model::Offset,
    /// Whether it is the recorded backup.
    backup: bool,
}

impl Detours {
    /// Returns the daemon that gets requests for `target`, unless it is gone.
    pub fn recipient<'a>(
        &self,
        state: &'a state::State,
        target: &model::TargetName,
    ) -> Option<Recipient<'a>> {
        let lease = state.leases.get(target)?;
        let recipient = |id: model::Incarnation, backup| {
            let host = state.hosts.get(&id)?;
            host.gone.is_none().then_some(Recipient {
                id,
                host,
                lease: lease.offset,
                backup,
            })
        };
        let switched = self.0.read().get(target) == Some(&lease.offset);
        let backup = || recipient(lease.backup?, true);
        let holder = || recipient(lease.holder, false);
        match switched {
            true => backup().or_else(holder),
            false => holder().or_else(backup),
        }
    }

    /// Sends requests for `target` to the backup of the lease recorded at `lease`.
    pub fn note(&self, target: &model::TargetName, lease: model::Offset) {
        self.0.write().insert(target.clone(), lease);
    }

    /// Turns to the other daemon after `recipient` was found not to hold the lease.
    pub fn switch(&self, target: &model::TargetName, recipient: &Recipient<'_>) {
        match recipient.backup {
            false => self.note(target, recipient.lease),
            true => {
                self.0.write().remove(target);
            }
        }
    }

    /// Learns from a failure to reach the daemon at `recipient`.
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

    /// Learns from a refusal by the daemon at `recipient`. The address that it names
    /// is for daemons only and is left out for callers.
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
