//! Voters: the daemons of which a majority has to acknowledge an outage of the log.
//!
//! Each record of the key table names them. Two sides of a cut that lasts count different
//! daemons as live, but the next coordinator takes over from a record, and so knows the voters
//! that its predecessors had to ask.

use crate::clock;
use crate::gateway::keys;
use crate::model;

/// Largest number of voters. A majority of them outlives the loss of a failure domain, and a
/// record stays small with hundreds of daemons.
pub const MAX_VOTERS: usize = 15;

/// Largest number of lists of voters in a record.
const MAX_QUORUMS: usize = 8;

/// Shortest time between two changes of the voters, so that one append takes up several daemons
/// that start together.
const CHANGE_INTERVAL_MS: u64 = 2_000;

/// Voters of an earlier record, whose extended leases may last.
#[derive(Clone, Debug)]
pub(super) struct EarlierQuorum {
    pub(super) voters: keys::Voters,
    /// Latest time at which a majority of them may have acknowledged an outage, once known.
    pub(super) latest: Option<clock::Millis>,
}

/// Returns the lists of voters of a record; one that names none stands for unknown voters.
fn lists(table: &keys::Table) -> Vec<keys::Voters> {
    match table.quorums.is_empty() {
        true => vec![keys::Voters::new()],
        false => table.quorums.clone(),
    }
}

impl super::Coordinator {
    /// Sets the daemons that may be voters, this one included, in the order in which they are
    /// preferred. Voters stay as long as they are among them.
    pub fn on_candidates(&mut self, hosts: Vec<model::HostName>) {
        self.voter_candidates = hosts;
    }

    /// Returns the voters of the newest record.
    pub(super) fn voters(&self) -> keys::Voters {
        let table = self.log.table.as_ref();
        let voters = table.and_then(|table| table.quorums.first());
        voters.cloned().unwrap_or_default()
    }

    /// Returns the lists of voters of the record with `table` and of records that a restore of
    /// the log may have lost. `offset` is that of the record, if there is one; it can't be
    /// decoded if it has no table.
    fn earlier_lists(
        &self,
        offset: Option<model::Offset>,
        table: Option<&keys::Table>,
    ) -> Vec<keys::Voters> {
        let mut earlier = match table {
            Some(table) => lists(table),
            None if offset.is_some() => vec![keys::Voters::new()],
            // A log that was restored without a record names no voters; a majority of the live
            // daemons is asked all the same.
            None => Vec::new(),
        };
        for lost in &self.lost_quorums {
            if !earlier.contains(lost) {
                earlier.push(lost.clone());
            }
        }
        earlier
    }

    /// Records the voters of earlier coordinators, when a term begins after the record at
    /// `offset` with `table`.
    pub(super) fn begin_quorums(
        &mut self,
        now: clock::Millis,
        offset: Option<model::Offset>,
        table: Option<&keys::Table>,
    ) {
        let unknown = |voters| EarlierQuorum {
            voters,
            latest: None,
        };
        let earlier = self.earlier_lists(offset, table).into_iter();
        self.earlier_quorums = earlier.map(unknown).collect();
        self.lost_quorums.clear();
        self.quorum_since = now;
    }

    /// Keeps the voters of records that a restore of the log may have lost, until the leases
    /// that they allowed have ended.
    pub(super) fn keep_lost_quorums(&mut self, now: clock::Millis) {
        let is_alone = self.is_alone(now);
        self.lost_quorums = match (self.log.offset, &self.log.table) {
            (None, None) => return,
            (offset, table) => self.earlier_lists(offset, table.as_ref()),
        };
        if is_alone {
            self.lost_quorums.truncate(1);
        }
        self.lost_until = now + self.longest_ms();
    }

    /// Forgets voters of lost records whose leases have ended.
    pub(super) fn expire_lost_quorums(&mut self, now: clock::Millis) {
        if now >= self.lost_until {
            self.lost_quorums.clear();
        }
    }

    /// Returns the time for which leases of a coordinator may last after another daemon's
    /// record, in milliseconds.
    fn longest_ms(&self) -> u64 {
        super::AUTHORITY_MS + super::max_earlier_hold_ms(self.max_lease)
    }

    /// Returns the voters that the next record should name.
    fn next_voters(&self) -> keys::Voters {
        let candidates = &self.voter_candidates;
        let mut voters = self.voters();
        voters.retain(|host| candidates.contains(host));
        let missing = MAX_VOTERS.saturating_sub(voters.len());
        let further = candidates.iter().filter(|host| !voters.contains(*host));
        let further: Vec<_> = further.take(missing).cloned().collect();
        voters.extend(further);
        voters
    }

    /// Returns whether the newest record should name other voters, or no longer those of
    /// earlier records, for which a next coordinator would have to wait.
    pub(super) fn is_change_due(&self, now: clock::Millis) -> bool {
        let quorums = self
            .log
            .table
            .as_ref()
            .map_or(0, |table| table.quorums.len());
        let is_changed = !self.voter_candidates.is_empty()
            && quorums < MAX_QUORUMS
            && now >= self.quorum_since + CHANGE_INTERVAL_MS
            && self.next_voters() != self.voters();
        is_changed || (quorums > 1 && self.is_alone(now))
    }

    /// Returns whether this daemon has been the coordinator, with the present voters, for so
    /// long that no leases of other records last.
    fn is_alone(&self, now: clock::Millis) -> bool {
        self.is_coordinator() && now >= self.quorum_since + self.longest_ms()
    }

    /// Writes the voters into a table that this daemon appends. Those of earlier records stay
    /// until all extended leases that they may have allowed have ended.
    pub(super) fn set_quorums(&self, now: clock::Millis, table: &mut keys::Table) {
        let mut earlier = self.earlier_lists(self.log.offset, self.log.table.as_ref());
        if self.is_alone(now) {
            earlier.truncate(1);
        }
        let first = earlier.first().cloned().unwrap_or_default();
        // A daemon that takes over keeps the voters, since only the coordinator knows the
        // candidates of this moment.
        let is_kept = !self.is_coordinator() || earlier.len() >= MAX_QUORUMS;
        let voters = match is_kept && !first.is_empty() {
            true => first,
            false => self.next_voters(),
        };
        earlier.retain(|list| *list != voters);
        earlier.insert(0, voters);
        table.quorums = earlier;
    }
}
