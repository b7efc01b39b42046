//! Applies the records of each topic to the daemon's state.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use crate::clock;
use crate::gateway::adapter;
use crate::gateway::catalog;
use crate::gateway::feed::{Handler, Source, append_host, log_findings};
use crate::gateway::history;
use crate::gateway::peers;
use crate::gateway::shared::Shared;
use crate::model;

/// Time within which records that a restored log lacks are written again.
const REWRITE_MS: u64 = 10_000;

/// Era of the log in the last full read of a topic.
#[derive(Debug, Default)]
pub(super) struct LastEra(Option<u64>);

impl LastEra {
    /// Records a full read up to `end`, and returns whether the log was restored from an
    /// older copy since the one before.
    fn detects_restore(&mut self, end: model::Offset) -> bool {
        let before = self.0.replace(end.era());
        before.is_some_and(|era| era < end.era())
    }
}

/// Disagreement of a restored log with what this daemon knew of a failure domain, whose
/// record or removal may be written again.
#[derive(Clone, Copy, Debug)]
pub(super) struct Doubt {
    /// State that the log shows, and that takes effect at `until`.
    drained: bool,
    until: clock::Millis,
}

/// Applies operators' records: the configuration and drained failure domains.
pub(super) struct Operator {
    pub(super) shared: Rc<Shared>,
    pub(super) era: LastEra,
    /// Domains of which a restored log shows another state than this daemon knew.
    pub(super) doubted: Rc<RefCell<BTreeMap<model::DomainName, Doubt>>>,
}

/// Drains a failure domain, or ends its drain. One that is drained already keeps its time.
fn set_drained(shared: &Shared, domain: &model::DomainName, drained: bool) {
    let mut domains = shared.drained_domains.borrow_mut();
    match (drained, domains.contains_key(domain)) {
        (true, false) => {
            log::info!("failure domain {domain} is taken out");
            domains.insert(domain.clone(), clock::now());
        }
        (false, true) => {
            log::info!("failure domain {domain} is back");
            domains.remove(domain);
        }
        (true, true) | (false, false) => {}
    }
}

impl Operator {
    fn apply_record(&self, record: &adapter::Record) {
        let adapter = &self.shared.adapter;
        match (adapter.subject(&record.key), &record.value) {
            (adapter::Subject::Configuration, Some(value)) => self.configure(record.offset, value),
            (adapter::Subject::Drained(domain), value) => {
                self.doubted.borrow_mut().remove(&domain);
                set_drained(&self.shared, &domain, value.is_some());
            }
            _ => {}
        }
        self.shared.record_drains(record.offset);
    }

    /// Keeps what is known of each failure domain of which a restored log shows another state,
    /// until its record is written again or [`REWRITE_MS`] have passed.
    fn keep_doubted(&self, present: &BTreeSet<model::DomainName>) {
        let until = clock::now() + REWRITE_MS;
        let known: BTreeSet<_> = self
            .shared
            .drained_domains
            .borrow()
            .keys()
            .cloned()
            .collect();
        for domain in known.symmetric_difference(present) {
            let drained = present.contains(domain);
            log::warn!("failure domain {domain}: drained in the restored log: {drained}");
            let doubt = Doubt { drained, until };
            self.doubted.borrow_mut().insert(domain.clone(), doubt);
        }
        let (shared, doubted) = (Rc::clone(&self.shared), Rc::clone(&self.doubted));
        tokio::task::spawn_local(async move {
            tokio::time::sleep(Duration::from_millis(REWRITE_MS)).await;
            let now = clock::now();
            doubted.borrow_mut().retain(|domain, doubt| {
                let is_kept = now < doubt.until;
                if !is_kept {
                    set_drained(&shared, domain, doubt.drained);
                }
                is_kept
            });
            shared.wake_coordinator.notify_one();
        });
    }

    /// Ends the drains of domains that are not in `present`, except for those in doubt.
    fn end_missing(&self, present: &BTreeSet<model::DomainName>) {
        let known: Vec<_> = {
            let drained = self.shared.drained_domains.borrow();
            drained.keys().cloned().collect()
        };
        for domain in &known {
            if !present.contains(domain) && !self.doubted.borrow().contains_key(domain) {
                set_drained(&self.shared, domain, false);
            }
        }
    }

    /// Puts a configuration into effect unless its version is known or it is invalid.
    fn configure(&self, offset: model::Offset, value: &[u8]) {
        let revision = match self.shared.adapter.parse_configuration(value) {
            Ok(revision) => revision,
            Err(findings) => return log_findings(&findings),
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
        log_findings(&revision.skipped);
        let catalog = Rc::new(catalog::Catalog::new(revision));
        self.shared.distributions.borrow_mut().retain(&catalog);
        self.shared.on_configuration(offset, &catalog);
        *self.shared.catalog.borrow_mut() = Some(catalog);
        self.shared.wake_coordinator.notify_one();
    }
}

impl Handler for Operator {
    fn replace(&mut self, records: Vec<adapter::Record>, end: model::Offset, _source: Source) {
        let drained = |record: &adapter::Record| match self.shared.adapter.subject(&record.key) {
            adapter::Subject::Drained(domain) if record.value.is_some() => Some(domain),
            _ => None,
        };
        let present: BTreeSet<_> = records.iter().filter_map(drained).collect();
        if self.era.detects_restore(end) {
            self.keep_doubted(&present);
        }
        self.end_missing(&present);
        self.shared.record_drains(end);
        let is_doubted = |record: &adapter::Record| {
            let domain = match self.shared.adapter.subject(&record.key) {
                adapter::Subject::Drained(domain) => domain,
                _ => return false,
            };
            self.doubted.borrow().contains_key(&domain)
        };
        for record in records.iter().filter(|record| !is_doubted(record)) {
            self.apply_record(record);
        }
        self.shared.wake_coordinator.notify_one();
    }

    fn apply(&mut self, batch: adapter::Batch, _source: Source) -> Vec<adapter::Record> {
        for record in &batch.records {
            self.apply_record(record);
        }
        if !batch.records.is_empty() {
            self.shared.wake_coordinator.notify_one();
        }
        batch.records
    }
}

/// Applies targets' entries and detects outages of the log.
pub(super) struct Targets {
    pub(super) shared: Rc<Shared>,
    pub(super) era: LastEra,
    /// Time until which entries that a restored log lacks are written again; others may lack
    /// one that is known here.
    pub(super) rewriting_until: clock::Millis,
}

impl Targets {
    /// Decodes the entry of a record; logs the findings of one that is invalid.
    fn entry(&self, record: &adapter::Record) -> Option<adapter::Entry> {
        let value = record.value.as_ref()?;
        match self.shared.adapter.parse_entry(&record.key, value) {
            Ok(entry) => Some(entry),
            Err(findings) => {
                log_findings(&findings);
                None
            }
        }
    }

    /// Records an answer of the log, which ends an outage.
    fn on_answer(&mut self, source: Source) {
        let now = clock::now();
        self.shared.end_outage(now);
        if let Source::Own(_) = source {
            self.shared
                .answering_since
                .set(self.shared.answering_since.get().or(Some(now)));
        }
    }

    /// Updates the registry's time and wakes the coordinator if the registry has changed
    /// since generation `before`.
    fn on_change(&self, before: u64, source: Source) {
        let now = clock::now();
        let mut registry = self.shared.registry.borrow_mut();
        registry.sweep(now);
        // The reader announces afterwards how current relayed records are.
        if let Source::Own(started) = source {
            registry.set_current(started);
        }
        if registry.generation() != before {
            self.shared.wake_coordinator.notify_one();
        }
        drop(registry);
        self.shared.targets_read.set(true);
    }
}

impl Handler for Targets {
    fn replace(&mut self, records: Vec<adapter::Record>, end: model::Offset, source: Source) {
        self.on_answer(source);
        self.shared.log_era.set(end.era());
        if self.era.detects_restore(end) {
            let event = history::Event::LogRestored { era: end.era() };
            self.shared.history.add(clock::now(), Some(end), event);
            self.shared
                .registry
                .borrow_mut()
                .on_log_restored(clock::now());
            self.rewriting_until = clock::now() + REWRITE_MS;
            let answering = &self.shared.answering_since;
            answering.set(answering.get().and(Some(clock::now())));
        }
        let before = self.shared.registry.borrow().generation();
        let (mut entries, mut unreadable) = (Vec::new(), HashSet::new());
        for record in records.iter().filter(|record| record.value.is_some()) {
            match self.entry(record) {
                Some(entry) => entries.push(entry),
                None => {
                    unreadable.insert(model::TargetName::from(&*record.key));
                }
            }
        }
        let mut registry = self.shared.registry.borrow_mut();
        registry.replace_readable(clock::now(), entries, &unreadable);
        drop(registry);
        self.on_change(before, source);
    }

    fn apply(&mut self, batch: adapter::Batch, source: Source) -> Vec<adapter::Record> {
        self.on_answer(source);
        let before = self.shared.registry.borrow().generation();
        let now = clock::now();
        // Only the last record of a key that can be read counts; the earlier ones are not
        // parsed. One that can't be read must not hide that its target drains or was removed.
        let mut seen = HashSet::new();
        let mut newest = Vec::new();
        for record in batch.records.into_iter().rev() {
            if seen.contains(&record.key) {
                continue;
            }
            let entry = self.entry(&record);
            if entry.is_some() || record.value.is_none() {
                seen.insert(Arc::clone(&record.key));
                newest.push((record, entry));
            }
        }
        newest.reverse();
        let rewriting = now < self.rewriting_until;
        // Records that only renew a target's entry need not be passed on.
        let passed_on = newest.into_iter().filter_map(|(record, entry)| {
            let mut registry = self.shared.registry.borrow_mut();
            let generation = registry.generation();
            let doubted = registry.is_delayed(&record.key);
            match entry {
                Some(entry) => registry.apply(now, entry),
                None => registry.remove(now, &record.key),
            }
            let changed = registry.generation() != generation;
            (record.value.is_none() || changed || doubted || rewriting).then_some(record)
        });
        let passed_on = passed_on.collect();
        self.on_change(before, source);
        passed_on
    }

    fn failed(&mut self) {
        self.shared.begin_outage(clock::now());
    }
}

/// Applies hosts' records to the directory of daemons.
pub(super) struct Hosts {
    pub(super) shared: Rc<Shared>,
}

impl Hosts {
    fn apply_record(&self, record: &adapter::Record) {
        let Some(value) = &record.value else {
            return;
        };
        match peers::HostRecord::decode(&record.key, value) {
            Ok(host) => self.shared.peers.borrow_mut().list(host, clock::now()),
            Err(findings) => log_findings(&findings),
        }
    }
}

impl Handler for Hosts {
    fn replace(&mut self, records: Vec<adapter::Record>, end: model::Offset, _source: Source) {
        for record in &records {
            self.apply_record(record);
        }
        self.shared.peers.borrow_mut().on_all_listed(clock::now());
        let own = self.shared.settings.host.as_str();
        let is_listed = records.iter().any(|record| &*record.key == own);
        let appended = self.shared.host_record.get();
        let is_lost = appended.is_some_and(|at| at.era() < end.era()) && !is_listed;
        if is_lost {
            self.shared.host_record.set(None);
            log::info!("the restored log lacks this host's record; appending it again");
            tokio::task::spawn_local(append_host(Rc::clone(&self.shared)));
        }
    }

    fn apply(&mut self, batch: adapter::Batch, _source: Source) -> Vec<adapter::Record> {
        for record in &batch.records {
            self.apply_record(record);
        }
        batch.records
    }
}
