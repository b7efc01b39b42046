//! Records of the key table's topic, and takeover by another daemon.

use std::collections::BTreeMap;

use crate::clock;
use crate::gateway::keys;
use crate::model;

/// Record before the one with which a term begins; it decides which leases may last.
enum Predecessor {
    /// There was none, so that no target holds keys.
    None,
    /// Its table, or the era of the run's fences, tells which keys may be held by whom.
    Known,
    /// It can't be decoded, so that any target may hold any key.
    Unreadable,
}

impl super::Coordinator {
    /// Records that the log answered a read that started at `started`.
    pub(super) fn on_read_answered(&mut self, started: clock::Millis) {
        let log = &mut self.log;
        log.reading = false;
        let is_gap = |last: clock::Millis| started.since(last) > super::MAX_READ_GAP_MS;
        if log.last_read.is_none_or(is_gap) {
            log.readable_since = None;
        }
        log.last_read = log.last_read.max(Some(started));
        log.readable_since.get_or_insert(started);
        if log.reread_from.is_some_and(|since| since <= started) {
            log.reread_from = None;
        }
    }

    /// Returns the era of the log, as far as this daemon knows it.
    pub(super) fn era(&self) -> u64 {
        self.log.end.map_or(0, model::Offset::era)
    }

    /// Handles the end of the topic in an answer of the log. Returns false if the answer is
    /// older than the last restore of the log.
    pub(super) fn on_end(&mut self, now: clock::Millis, end: model::Offset) -> bool {
        if self.log.end.is_some_and(|known| known.era() < end.era()) {
            self.on_restored(now, end);
        }
        end.era() >= self.era()
    }

    /// Forgets what the log held before it was restored from an older copy. No record makes a
    /// daemon the coordinator any longer, since the restored log may lack newer ones.
    fn on_restored(&mut self, now: clock::Millis, end: model::Offset) {
        self.log.reclaiming = self.is_coordinator() || self.log.reclaiming;
        self.keep_lost_quorums(now);
        self.log.offset = None;
        self.log.table = None;
        self.log.end = Some(end);
        self.log.confirmed = None;
        self.log.outdated = false;
        self.log.reread_from = Some(now);
        self.earlier_leases = None;
        self.orders.clear();
        self.failures.clear();
        self.moved.clear();
    }

    /// Returns the offset of the newest record that other daemons claim, unless the log was
    /// restored since.
    pub(super) fn announced(&self) -> Option<model::Offset> {
        self.peer.offset.filter(|offset| offset.era() >= self.era())
    }

    /// Returns the offset from which to read the topic on, or `None` to read the newest
    /// record.
    pub fn read_offset(&self) -> Option<model::Offset> {
        let offset = self.log.offset?.next();
        Some(offset.in_era(self.era()))
    }

    /// Returns whether the run's owner may differ from the one in a record that a restore of
    /// the log has lost. Its keys are not granted until all leases by such records have ended.
    pub(super) fn is_unverified(&self, run: &keys::Run) -> bool {
        run.era() < self.era()
    }

    /// Records that a read which began at `started` showed no newer record than the known
    /// one, and that the topic ends at `end`.
    pub(super) fn confirm(&mut self, started: clock::Millis, end: model::Offset) {
        if self.log.end.is_some_and(|known| known <= end) {
            self.log.end = Some(end);
            self.log.confirmed = self.log.confirmed.max(Some(started));
            if self.log.reread_from.is_none() {
                self.log.outdated = self.announced() > self.log.offset;
            }
        }
    }

    /// Makes the record at `offset` the newest known one, unless a newer one is known.
    pub(super) fn adopt(
        &mut self,
        now: clock::Millis,
        started: clock::Millis,
        offset: model::Offset,
        end: model::Offset,
        table: Option<keys::Table>,
    ) {
        if self.log.offset > Some(offset) {
            // A record whose append came too late stands after the newest one.
            return self.confirm(started, end);
        }
        self.log.end = self.log.end.max(Some(end));
        let newer_announced = self.announced() > Some(offset);
        // A failed append proved that a newer record exists, which this read did not show.
        let moved = self.log.outdated && self.log.reread_from.is_some();
        self.log.outdated = newer_announced || (moved && self.log.offset == Some(offset));
        self.log.confirmed = self.log.confirmed.max(Some(started));
        if self.log.offset == Some(offset) {
            return;
        }
        let own = table
            .as_ref()
            .is_some_and(|table| table.host == self.host && table.incarnation == self.incarnation);
        let before = self.log.table.take();
        let known = (self.log.offset.replace(offset), &before);
        let predecessor = match known {
            // Leases by lost records may last even if a restored log has no record.
            (None, _) if offset.era() == 0 => Predecessor::None,
            (Some(_), None) => Predecessor::Unreadable,
            (None, _) | (Some(_), Some(_)) => Predecessor::Known,
        };
        if offset.era() == self.era() {
            self.log.reclaiming = false;
        }
        if offset.era() < self.era() {
            self.earlier_leases = None;
        } else if !own {
            self.earlier_leases = None;
            // A record that heartbeats have announced does not show that its writer still runs.
            if self.peer.offset < Some(offset) {
                self.peer.last_heartbeat = now;
                self.peer.confirmed = now;
            }
            self.failures.clear();
        } else if self.earlier_leases.is_none() {
            self.begin_term(now, predecessor);
            self.term_offset = offset;
            self.begin_quorums(now, known.0, before.as_ref());
            self.keep_bound();
        }
        let voters = |table: &Option<keys::Table>| {
            let quorums = table.as_ref().map(|table| &table.quorums);
            quorums.and_then(|quorums| quorums.first()).cloned()
        };
        if voters(&before) != voters(&table) {
            self.quorum_since = now;
        }
        self.log.table = table;
        self.sync_orders(now, offset);
    }

    /// Begins the term of this daemon as the coordinator.
    fn begin_term(&mut self, now: clock::Millis, predecessor: Predecessor) {
        let end = now + (super::AUTHORITY_MS + super::max_earlier_hold_ms(self.max_lease));
        self.earlier_leases = Some(match predecessor {
            Predecessor::None => now,
            Predecessor::Known | Predecessor::Unreadable => end,
        });
        if let Predecessor::Unreadable = predecessor {
            self.grants_from = end;
        }
        self.term_start = now;
        self.acknowledgements.begin_term();
        self.next_batch = now + super::BATCH_INTERVAL_MS;
    }

    /// Updates the state of orders to the table at `offset`.
    pub(super) fn sync_orders(&mut self, now: clock::Millis, offset: model::Offset) {
        let mut orders = BTreeMap::new();
        let table = self.log.table.iter();
        for (service, runs) in table.flat_map(|table| &table.services) {
            for run in runs {
                let id = (service.clone(), run.range, run.fence);
                let order = self.orders.remove(&id).unwrap_or(super::Order {
                    next_send: now,
                    ..super::Order::default()
                });
                orders.insert(id, order);
                // A new fence without a previous owner, as for merged runs, is not a move.
                if run.fence == offset.0 + 1 && run.previous_owner.is_some() {
                    self.moved.push((service.clone(), run.range, now));
                }
            }
        }
        self.orders = orders;
        self.log.unverified = self.has_unverified();
        self.next_order = now;
        self.dirty = true;
        self.cleanup = self.cleanup_at();
    }

    /// Returns whether the known table has runs that are not verified, or lacks a service,
    /// whose run is added unverified.
    fn has_unverified(&self) -> bool {
        let Some(table) = self.log.table.as_ref().filter(|_| self.era() > 0) else {
            return false;
        };
        let mut runs = table.services.values().flatten();
        let mut services = self.services.keys();
        runs.any(|run| self.is_unverified(run))
            || services.any(|service| !table.services.contains_key(service))
    }

    /// Returns the time of the next read of the topic.
    pub(super) fn read_at(&self, now: clock::Millis) -> clock::Millis {
        let log = &self.log;
        let confirmed = log.confirmed.unwrap_or_default();
        let due = if self.resigned {
            now + super::MAX_POLL_INTERVAL_MS
        } else if log.end.is_none() || log.reread_from.is_some() {
            now
        } else if self.is_coordinator() {
            confirmed + super::CONFIRMATION_INTERVAL_MS
        } else if self.is_idle() {
            now + super::MAX_POLL_INTERVAL_MS
        } else {
            self.early_read_at()
        };
        due.max(log.retry_at)
    }

    /// Returns whether the topic is empty and no target may get keys.
    fn is_idle(&self) -> bool {
        let mut services = self.services.keys();
        self.is_topic_empty() && services.all(|service| self.candidates(service).is_empty())
    }

    /// Returns whether no record of the topic is known.
    fn is_topic_empty(&self) -> bool {
        self.log.offset.is_none() && self.announced().is_none()
    }

    /// Returns the time of the next read of a daemon that is not the coordinator. Reads
    /// begin when the coordinator's heartbeats or confirmations are missing, before a
    /// takeover is due, to see whether they succeed. They are delayed by rank, since
    /// each read has a cost.
    fn early_read_at(&self) -> clock::Millis {
        let unconfirmed =
            self.peer.confirmed + (super::CONFIRMATION_TIMEOUT_MS - super::MIN_READABLE_MS);
        let suspected = (self.peer.last_heartbeat + super::HEARTBEAT_TIMEOUT_MS).min(unconfirmed)
            + self.rank_delay();
        let last = self.log.last_read.unwrap_or_default();
        let next = suspected.max(last + super::RETRY_MS);
        let due = self.takeover_at();
        if last < due { next.min(due) } else { next }
    }

    /// Returns the delay of a takeover by this daemon's rank, in milliseconds.
    fn rank_delay(&self) -> u64 {
        super::RANK_DELAY_MS * u64::from(self.rank)
    }

    /// Returns when this daemon takes over if no heartbeat arrives before: the heartbeat
    /// timeout has passed, or the coordinator has not confirmed its record for too long while
    /// this daemon could read the log.
    pub(super) fn takeover_at(&self) -> clock::Millis {
        let no_heartbeat =
            self.peer.last_heartbeat + super::HEARTBEAT_TIMEOUT_MS + self.rank_delay();
        let unconfirmed = self.peer.confirmed + super::CONFIRMATION_TIMEOUT_MS + self.rank_delay();
        let readable = self
            .log
            .readable_since
            .map(|since| since + super::MIN_READABLE_MS);
        readable.map_or(no_heartbeat, |at| no_heartbeat.min(at.max(unconfirmed)))
    }

    /// Returns when completed moves have to be cleared from the table, if there are any.
    fn cleanup_at(&self) -> Option<clock::Millis> {
        let table = self.log.table.iter();
        let runs = table.flat_map(|table| &table.services);
        let runs = runs.flat_map(|(service, runs)| runs.iter().map(move |run| (service, run)));
        let moving = runs.filter(|(_, run)| run.previous_owner.is_some());
        let freed = moving.filter_map(|(service, run)| {
            let id = (service.clone(), run.range, run.fence);
            self.orders.get(&id).and_then(|order| order.prior_free)
        });
        freed.min().map(|at| at + super::CLEANUP_DELAY_MS)
    }

    /// Returns whether an append may start: no other one is pending or of unknown
    /// outcome, and no retry delay is running.
    pub(super) fn may_append(&self, now: clock::Millis) -> bool {
        let log = &self.log;
        let idle = log.append.is_none() && log.reread_from.is_none();
        idle && log.end.is_some() && now >= log.retry_at && !self.resigned
    }

    /// Returns the table with which this daemon becomes the coordinator, if that is due: the
    /// first table, or the known one under this daemon's name.
    pub(super) fn initial_or_takeover(&mut self, now: clock::Millis) -> Option<keys::Table> {
        if !self.may_append(now) {
            return None;
        }
        let empty = self.is_topic_empty();
        let due = self.takeover_at();
        let verified = self.log.last_read.is_some_and(|last| last >= due) && !self.log.outdated;
        let immediate = (empty && self.rank == 0) || self.log.reclaiming;
        if !immediate && (now < due || !verified) {
            return None;
        }
        let known = self.log.table.clone();
        let mut table = known.unwrap_or_else(|| self.empty_table());
        table.host = self.host.clone();
        table.incarnation = self.incarnation;
        self.set_quorums(now, &mut table);
        if self.log.table.is_none() && self.era() == 0 {
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
            quorums: Vec::new(),
        }
    }
}
