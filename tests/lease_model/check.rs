//! Invariants of the model. They look only at who may act and at grants, and
//! share no code with the decisions.

use std::sync::atomic::Ordering;

use pistachiomoor::model;

use crate::world::{MOVES, NAMES, Time, World, name};

/// A grant that a daemon gave, as the checks record it.
pub struct Grant {
    pub from: model::Incarnation,
    /// Real time at which the grant ends by the holder's clock.
    pub ends: Time,
    /// Reading of the target's clock at which the grant ends, in milliseconds.
    pub until: u64,
    /// Time for which the target's clock had been stopped when it was last read.
    pub stopped_time: Time,
}

impl World {
    /// Returns the recorded holder and backup of a target, as indices of daemons.
    pub fn holder_and_backup(&self, target: usize) -> (usize, usize) {
        let lease = self.log.last().unwrap().leases[&name(target)];
        let find = |me| self.daemons.iter().position(|daemon| Some(daemon.me) == me);
        let (holder, backup) = (find(Some(lease.holder)), find(lease.backup));
        (holder.unwrap(), backup.unwrap())
    }

    /// Checks that no two daemons may act for the target that checks no fences.
    pub(super) fn check_exclusive(&self) {
        let acting = self.daemons.iter().filter(|daemon| {
            let right = daemon.table.may_act(&name(1), daemon.now(self.time));
            right.is_ok()
        });
        let acting: Vec<_> = acting.map(|daemon| daemon.me).collect();
        assert!(
            acting.len() <= 1,
            "EXCLUSIVE: {acting:?} may act at {}",
            self.time
        );
    }

    /// Checks that the grants of other holders have ended when daemon `index` may
    /// move shards away from a target.
    pub(super) fn check_move(&self, index: usize, target: usize) {
        let daemon = &self.daemons[index];
        let me = daemon.me;
        let lease = self.log.last().unwrap().leases[&name(target)].offset;
        // The log's fold rejects a move by a holder whose lease was replaced.
        if daemon.table.fence(&name(target)) != Some(model::Fence::at(lease)) {
            return;
        }
        let (time, server) = (self.time, &self.targets[target]);
        let clock = self.target_clock(target);
        for grant in server.grants.iter().filter(|grant| grant.from != me) {
            let (ends, from) = (grant.ends, grant.from);
            assert!(
                ends <= time,
                "GRANT: of {from} ends at {ends}, {me} moves at {time}"
            );
            let clock_stopped = grant.stopped_time != server.stopped_time;
            assert!(
                clock_stopped || grant.until <= clock,
                "CLOCK: grant of {from} is valid at {time}"
            );
        }
        if server.grants.iter().any(|grant| grant.from != me) {
            MOVES.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Checks that some daemon may act for each target.
    pub fn check_service(&self) {
        for (target, label) in NAMES.iter().enumerate() {
            let acting = self.daemons.iter().any(|daemon| {
                let right = daemon.table.may_act(&name(target), daemon.now(self.time));
                right.is_ok()
            });
            assert!(acting, "SERVICE: nobody acts for {label}");
        }
    }
}
