//! What the table's topic shows, and taking over.

use std::collections::BTreeMap;

use crate::clock;
use crate::gateway::keys;
use crate::model;

impl super::Steward {
    pub(super) fn answered(&mut self, started: clock::Millis) {
        let log = &mut self.log;
        log.reading = false;
        let lapsed = |last: clock::Millis| started.since(last) > super::GAP;
        if log.last.is_none_or(lapsed) {
            log.readable = None;
        }
        log.last = log.last.max(Some(started));
        log.readable.get_or_insert(started);
        if log.unclear.is_some_and(|since| since <= started) {
            log.unclear = None;
        }
    }

    /// Takes the record at `offset` as the newest known, unless a newer one is.
    pub(super) fn adopt(
        &mut self,
        now: clock::Millis,
        started: clock::Millis,
        offset: model::Offset,
        end: model::Offset,
        table: Option<keys::Table>,
    ) {
        if self.log.offset > Some(offset) {
            return;
        }
        self.log.end = self.log.end.max(Some(end));
        let heard = self.peer.offset > Some(offset);
        // A failed append proved a newer record that this read did not show.
        let moved = self.log.outdated && self.log.unclear.is_some();
        self.log.outdated = heard || (moved && self.log.offset == Some(offset));
        self.log.confirmed = self.log.confirmed.max(Some(started));
        if self.log.offset == Some(offset) {
            return;
        }
        let mine = table
            .as_ref()
            .is_some_and(|table| table.host == self.host && table.incarnation == self.incarnation);
        let known = (self.log.offset.replace(offset), self.log.table.is_some());
        if !mine {
            self.foreign = None;
            self.peer.heard = now;
            self.peer.confirmed = now;
            self.quiet.clear();
        } else if self.foreign.is_none() {
            self.begin(now, known.0.is_none(), known.1);
            self.first = offset;
        }
        self.log.table = table;
        self.follow(now, offset);
    }

    /// Begins the term of this daemon.
    pub(super) fn begin(&mut self, now: clock::Millis, first: bool, readable: bool) {
        let wait = super::RIGHT + super::longest(self.longest);
        self.foreign = Some(if first { now } else { now + wait });
        if !first && !readable {
            self.blank = now + wait;
        }
        self.term = now;
        self.batch = now + super::BATCH;
    }

    /// Brings the state of orders in line with the table at `offset`.
    pub(super) fn follow(&mut self, now: clock::Millis, offset: model::Offset) {
        let mut orders = BTreeMap::new();
        let table = self.log.table.iter();
        for (service, runs) in table.flat_map(|table| &table.services) {
            for run in runs {
                let id = (service.clone(), run.range, run.fence);
                let order = self.orders.remove(&id).unwrap_or(super::Order {
                    next: now,
                    ..super::Order::default()
                });
                orders.insert(id, order);
                // A new fence alone, as for runs that merge, is no move.
                if run.fence == offset.0 + 1 && run.prior.is_some() {
                    self.moved.push((service.clone(), run.range, now));
                }
            }
        }
        self.orders = orders;
        self.due = now;
        self.dirty = true;
        self.tidy = self.tidy_at();
    }

    /// Returns when the topic has to be read.
    pub(super) fn read_at(&self, now: clock::Millis) -> clock::Millis {
        let log = &self.log;
        let confirmed = log.confirmed.unwrap_or_default();
        let due = if self.resigned {
            now + super::IDLE
        } else if log.end.is_none() || log.unclear.is_some() {
            now
        } else if self.is_steward() {
            confirmed + super::CONFIRMATION
        } else if self.is_idle() {
            now + super::IDLE
        } else {
            self.suspect_at()
        };
        due.max(log.retry)
    }

    /// Returns whether nothing has been written and there is nothing to write.
    fn is_idle(&self) -> bool {
        let mut services = self.services.keys();
        self.is_blank() && services.all(|service| self.seats(service).is_empty())
    }

    fn is_blank(&self) -> bool {
        self.log.offset.is_none() && self.peer.offset.is_none()
    }

    /// Returns when to read because the steward seems lost or unable to
    /// confirm. Reads begin before a takeover is due, to see whether they
    /// succeed; by rank, since each read has a price.
    fn suspect_at(&self) -> clock::Millis {
        let unconfirmed = self.peer.confirmed + (super::UNCONFIRMED - super::READABLE);
        let reason = (self.peer.heard + super::LOST).min(unconfirmed) + self.delay();
        let last = self.log.last.unwrap_or_default();
        let next = reason.max(last + super::RETRY);
        let due = self.takeover_at();
        if last < due { next.min(due) } else { next }
    }

    fn delay(&self) -> u64 {
        super::RANK_DELAY * u64::from(self.rank)
    }

    /// Returns when this daemon takes over if nothing is heard before.
    pub(super) fn takeover_at(&self) -> clock::Millis {
        let lost = self.peer.heard + super::LOST + self.delay();
        let unconfirmed = self.peer.confirmed + super::UNCONFIRMED + self.delay();
        let readable = self.log.readable.map(|since| since + super::READABLE);
        readable.map_or(lost, |at| lost.min(at.max(unconfirmed)))
    }

    /// Returns when completed moves have to be cleared from the table.
    fn tidy_at(&self) -> Option<clock::Millis> {
        let table = self.log.table.iter();
        let runs = table.flat_map(|table| &table.services);
        let runs = runs.flat_map(|(service, runs)| runs.iter().map(move |run| (service, run)));
        let open = runs.filter(|(_, run)| run.prior.is_some());
        let settled = open.filter_map(|(service, run)| {
            let id = (service.clone(), run.range, run.fence);
            self.orders.get(&id).and_then(|order| order.settled)
        });
        settled.min().map(|at| at + super::TIDY)
    }

    pub(super) fn may_append(&self, now: clock::Millis) -> bool {
        let log = &self.log;
        let free = log.append.is_none() && log.unclear.is_none();
        free && log.end.is_some() && now >= log.retry && !self.resigned
    }

    /// Returns the first table, or the known one under this daemon's name.
    pub(super) fn first_or_takeover(&mut self, now: clock::Millis) -> Option<keys::Table> {
        if !self.may_append(now) {
            return None;
        }
        let first = self.is_blank();
        let due = self.takeover_at();
        let seen = self.log.last.is_some_and(|last| last >= due) && !self.log.outdated;
        let at_once = first && self.rank == 0;
        if !at_once && (now < due || !seen) {
            return None;
        }
        let known = self.log.table.clone();
        let mut table = known.unwrap_or_else(|| self.empty_table());
        table.host = self.host.clone();
        table.incarnation = self.incarnation;
        if self.log.table.is_none() {
            self.revise(now, &mut table, false);
            let mut runs = table.services.values().flatten();
            runs.any(|run| run.owner.is_some()).then_some(table)
        } else {
            Some(table)
        }
    }

    pub(super) fn empty_table(&self) -> keys::Table {
        keys::Table {
            host: self.host.clone(),
            incarnation: self.incarnation,
            services: BTreeMap::new(),
        }
    }
}
