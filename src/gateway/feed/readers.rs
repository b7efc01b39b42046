//! What each topic's records change in the daemon's state.

use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;

use crate::clock;
use crate::gateway::catalog;
use crate::gateway::dialect;
use crate::gateway::feed::{Reader, Source, report};
use crate::gateway::peers;
use crate::gateway::relay;
use crate::gateway::shared::Shared;
use crate::model;

/// Time for which the log must have answered before its list shows which targets
/// are about to leave, in milliseconds: one that left while the log was out is
/// listed as ready for a while after its return.
const SETTLED: u64 = 4_000;

/// Longest time from the start of a read by another daemon to the arrival of what
/// it passes on, in milliseconds, while the log is not slow.
const RELAY_AGE: u64 = 100;

pub(super) struct Operator {
    pub(super) shared: Rc<Shared>,
}

impl Operator {
    fn take(&self, record: &dialect::Record) {
        let dialect = &self.shared.dialect;
        match (dialect.subject(&record.key), &record.value) {
            (dialect::Subject::Configuration, Some(value)) => self.configure(record.offset, value),
            (dialect::Subject::TakenOut(domain), Some(_)) => {
                let mut taken_out = self.shared.taken_out.borrow_mut();
                // A record that is read again must not prolong the time to leave.
                taken_out.entry(domain).or_insert_with_key(|domain| {
                    log::info!("failure domain {domain} is taken out");
                    clock::now()
                });
            }
            (dialect::Subject::TakenOut(domain), None) => {
                let known = self.shared.taken_out.borrow_mut().remove(&domain);
                known.inspect(|_| log::info!("failure domain {domain} is back"));
            }
            _ => {}
        }
    }

    fn configure(&self, offset: model::Offset, value: &[u8]) {
        let revision = match self.shared.dialect.revision(value) {
            Ok(revision) => revision,
            Err(findings) => return report(&findings),
        };
        let known = self
            .shared
            .catalog
            .borrow()
            .as_ref()
            .map(|known| known.version());
        if known.is_some_and(|known| known >= revision.version) {
            return;
        }
        log::info!(
            "configuration {} of offset {offset} is in effect",
            revision.version
        );
        let catalog = Rc::new(catalog::Catalog::new(revision));
        self.shared.splits.borrow_mut().retain(&catalog);
        *self.shared.catalog.borrow_mut() = Some(catalog);
        self.shared.wake_steward.notify_one();
    }
}

impl Reader for Operator {
    fn replace(&mut self, records: Vec<dialect::Record>, _end: model::Offset, _source: Source) {
        let kept: Vec<_> = records
            .iter()
            .filter(|record| record.value.is_some())
            .map(|record| self.shared.dialect.subject(&record.key))
            .collect();
        self.shared
            .taken_out
            .borrow_mut()
            .retain(|domain, _| kept.contains(&dialect::Subject::TakenOut(domain.clone())));
        for record in &records {
            self.take(record);
        }
        self.shared.wake_steward.notify_one();
    }

    fn apply(&mut self, batch: dialect::Batch, _source: Source) -> Vec<dialect::Record> {
        for record in &batch.records {
            self.take(record);
        }
        if !batch.records.is_empty() {
            self.shared.wake_steward.notify_one();
        }
        batch.records
    }
}

pub(super) struct Targets {
    pub(super) shared: Rc<Shared>,
    /// Time since which the log has not answered.
    pub(super) out: Option<clock::Millis>,
}

impl Targets {
    fn entry(&self, record: &dialect::Record) -> Option<dialect::Entry> {
        let value = record.value.as_ref()?;
        match self.shared.dialect.entry(&record.key, value) {
            Ok(entry) => Some(entry),
            Err(findings) => {
                report(&findings);
                None
            }
        }
    }

    /// Takes note of an answer.
    fn on_answer(&mut self, source: Source) {
        let now = clock::now();
        if let Some(since) = self.out.take() {
            log::info!("the log answers again after {} ms", now.since(since));
            self.shared.registry.borrow_mut().set_outage(now, false);
            self.shared.returned.notify_waiters();
        }
        if let Source::Own(started) = source {
            let settled = self.shared.answering.get();
            if settled.is_some_and(|since| started.since(since) >= SETTLED) {
                self.shared.listed_at.set(Some(started));
            }
            self.shared
                .answering
                .set(self.shared.answering.get().or(Some(now)));
        }
    }

    fn on_change(&self, before: u64, source: Source) {
        let now = clock::now();
        let mut registry = self.shared.registry.borrow_mut();
        registry.sweep(now);
        registry.set_current(match source {
            Source::Own(started) => started,
            Source::Relayed => now - RELAY_AGE,
        });
        if registry.generation() != before {
            self.shared.wake_steward.notify_one();
        }
        drop(registry);
        self.shared.listed.set(true);
    }
}

impl Reader for Targets {
    fn replace(&mut self, records: Vec<dialect::Record>, _end: model::Offset, source: Source) {
        self.on_answer(source);
        let before = self.shared.registry.borrow().generation();
        let entries = records
            .iter()
            .filter_map(|record| self.entry(record))
            .collect();
        let mut registry = self.shared.registry.borrow_mut();
        registry.replace(clock::now(), entries);
        drop(registry);
        self.on_change(before, source);
    }

    fn apply(&mut self, batch: dialect::Batch, source: Source) -> Vec<dialect::Record> {
        self.on_answer(source);
        let before = self.shared.registry.borrow().generation();
        let now = clock::now();
        // Only the last record of a key counts; the earlier ones are not parsed.
        let mut seen = HashSet::new();
        let mut last: Vec<dialect::Record> = batch.records.into_iter().rev().collect();
        last.retain(|record| seen.insert(Arc::clone(&record.key)));
        last.reverse();
        // Records that only say that a target lives need not be passed on.
        last.retain(|record| {
            let known = self.shared.registry.borrow().generation();
            match (&record.value, self.entry(record)) {
                (None, _) => self.shared.registry.borrow_mut().remove(now, &record.key),
                (_, Some(entry)) => self.shared.registry.borrow_mut().apply(now, entry),
                (_, None) => {}
            }
            record.value.is_none() || self.shared.registry.borrow().generation() != known
        });
        self.on_change(before, source);
        relay::progress(&self.shared, source);
        last
    }

    fn failed(&mut self) {
        let now = clock::now();
        self.out.get_or_insert(now);
        self.shared.answering.set(None);
        self.shared.out_since.set(self.out);
        self.shared.registry.borrow_mut().set_outage(now, true);
    }
}

pub(super) struct Hosts {
    pub(super) shared: Rc<Shared>,
}

impl Hosts {
    fn take(&self, record: &dialect::Record) {
        let Some(value) = &record.value else {
            return;
        };
        match peers::Notice::decode(value) {
            Ok(notice) => self.shared.peers.borrow_mut().list(notice, clock::now()),
            Err(findings) => report(&findings),
        }
    }
}

impl Reader for Hosts {
    fn replace(&mut self, records: Vec<dialect::Record>, _end: model::Offset, _source: Source) {
        for record in &records {
            self.take(record);
        }
    }

    fn apply(&mut self, batch: dialect::Batch, _source: Source) -> Vec<dialect::Record> {
        for record in &batch.records {
            self.take(record);
        }
        batch.records
    }
}
