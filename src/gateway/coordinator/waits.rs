//! What the coordinator waits for before it grants keys, for operators.

use std::fmt;

use crate::clock;
use crate::gateway::adapter;
use crate::gateway::keys;
use crate::model;

/// Until when leases of earlier coordinators may last, as this daemon knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EarlierLeases {
    /// Time left for usual leases, in milliseconds.
    pub usual_ms: u64,
    /// Time left for longest leases, in milliseconds.
    pub longest_ms: u64,
    /// Daemons, this one included, that have said when they last acknowledged an outage.
    pub reported: usize,
    /// Daemons that have to say so; with fewer, the longest possible time counts.
    pub required: usize,
}

impl fmt::Display for EarlierLeases {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "usual ones end in {} ms, longest ones in {} ms by {} reports of {} required",
            self.usual_ms, self.longest_ms, self.reported, self.required
        )
    }
}

/// Term of this daemon as the coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Term {
    /// Offset of the record with which it began.
    pub offset: model::Offset,
    /// Leases of earlier coordinators.
    pub leases: EarlierLeases,
    /// Number of runs that are not granted before those leases have ended.
    pub unverified: usize,
}

/// Reason why the owner of a run may have no lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wait {
    /// This daemon could not confirm its record for too long, so that it sends no orders.
    Confirmation,
    /// Targets may hold the keys by records that a restore of the log has lost.
    LostRecords {
        /// Leases of earlier coordinators.
        leases: EarlierLeases,
        /// Time left for grants of this daemon to other targets, in milliseconds.
        others_ms: u64,
    },
    /// The table before this daemon's could not be decoded, so that any target may hold the
    /// keys.
    UnreadableTable {
        /// Time left in milliseconds.
        ms: u64,
    },
    /// The previous owner may hold the keys.
    PreviousOwner {
        /// Name of the previous owner.
        owner: model::TargetName,
        /// It has answered the release.
        released: bool,
        /// Longest time left in milliseconds.
        ms: u64,
    },
    /// No grant of this run was answered yet.
    Grant,
}

impl fmt::Display for Wait {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Confirmation => write!(f, "the coordinator can't confirm its record"),
            Self::LostRecords { leases, others_ms } => write!(
                f,
                "waits for leases by records that the log has lost: {leases}; grants to other \
                 targets end in {others_ms} ms"
            ),
            Self::UnreadableTable { ms } => {
                write!(f, "waits for leases by an unreadable table, {ms} ms left")
            }
            Self::PreviousOwner {
                owner,
                released: false,
                ms,
            } => write!(
                f,
                "waits for {owner} to release the keys, {ms} ms left at most"
            ),
            Self::PreviousOwner {
                owner,
                released: true,
                ms,
            } => write!(
                f,
                "waits for grants that {owner} may apply after its release, {ms} ms left"
            ),
            Self::Grant => write!(f, "the owner has not answered the grant yet"),
        }
    }
}

impl super::Coordinator {
    fn earlier_leases(&self, now: clock::Millis) -> EarlierLeases {
        let (reported, required) = self.acknowledgements.reports(self.term_offset);
        EarlierLeases {
            usual_ms: self.normal_until().since(now),
            longest_ms: self.extended_until().since(now),
            reported,
            required,
        }
    }

    /// Returns this daemon's term, if it is the coordinator.
    pub fn term(&self, now: clock::Millis) -> Option<Term> {
        if !self.is_coordinator() {
            return None;
        }
        let runs = self.log.table.iter();
        let runs = runs.flat_map(|table| table.services.values().flatten());
        Some(Term {
            offset: self.term_offset,
            leases: self.earlier_leases(now),
            unverified: runs.filter(|run| self.is_unverified(run)).count(),
        })
    }

    /// Returns why the owner of a key may have no lease for it; `None` if it was granted one,
    /// or if this daemon is not the coordinator.
    pub fn wait_of(
        &self,
        now: clock::Millis,
        service: &model::ServiceName,
        key: u16,
    ) -> Option<Wait> {
        if !self.is_coordinator() {
            return None;
        }
        let run = self.log.table.as_ref()?.run_of(service, key)?;
        if !self.may_act(now) {
            return Some(Wait::Confirmation);
        }
        if self.is_unverified(run) {
            return Some(Wait::LostRecords {
                leases: self.earlier_leases(now),
                others_ms: self.others_until(service, run).since(now),
            });
        }
        run.owner.as_ref()?;
        let id = (service.clone(), run.range, run.fence);
        let order = self.orders.get(&id);
        if let Some(prior) = &run.previous_owner
            && order.is_none_or(|order| order.prior_free.is_none())
        {
            return Some(self.prior_wait(now, service, run.range, prior, order));
        }
        if now < self.grants_from {
            let ms = self.grants_from.since(now);
            return Some(Wait::UnreadableTable { ms });
        }
        order
            .is_none_or(|order| !order.granted)
            .then_some(Wait::Grant)
    }

    fn prior_wait(
        &self,
        now: clock::Millis,
        service: &model::ServiceName,
        range: adapter::KeyRange,
        prior: &keys::Owner,
        order: Option<&super::Order>,
    ) -> Wait {
        let released = order.and_then(|order| order.released);
        let leases_end = self.free_at(service, prior, range);
        let until = match released {
            Some(at) => leases_end.min(self.free_after_release(service, prior, range, at)),
            None => leases_end,
        };
        Wait::PreviousOwner {
            owner: prior.target.clone(),
            released: released.is_some(),
            ms: until.since(now),
        }
    }
}
