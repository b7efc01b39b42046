//! The targets known to this daemon.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::mem;
use std::net::SocketAddr;
use std::rc::Rc;

use crate::clock;
use crate::gateway::adapter;
use crate::gateway::choice;
use crate::model;

/// Time for which a removed target is kept. It covers the longest lease, 10 s on a
/// clock that runs 2% slow, and leaves 1.8 s for the delivery of the grant.
pub const REMOVED_RETENTION_MS: u64 = 12_000;

/// Time for which the birth and sequence of a removed target are kept, to bound memory.
/// An entry that arrives later than this counts as new.
const VERSION_RETENTION_MS: u64 = 600_000;

/// Time after the log's return for which removals may still be due to the outage.
const DOUBT_MS: u64 = 300;

/// Time after the log's return until live targets are listed again.
const RELIST_MS: u64 = 2_000;

/// A target as known from its newest entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name, unique among targets.
    pub name: model::TargetName,
    /// Unix time of the start of the target's process, in milliseconds; it identifies the
    /// incarnation.
    pub birth: u64,
    /// Number of the newest entry within this incarnation.
    pub sequence: u64,
    /// Service that the target provides.
    pub service: model::ServiceName,
    /// Address for requests and for orders that grant or release keys.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: model::DomainName,
    /// Requests that it serves concurrently.
    pub slots: u32,
    /// Whether it accepts new work.
    pub state: adapter::EntryState,
    /// Time until which it is cold, or 0 if its entry says that it is warm.
    pub cold_until: clock::Millis,
    /// Earliest time at which its present incarnation and state may have been listed;
    /// for a removed target, the time of its removal.
    pub since: clock::Millis,
}

impl Target {
    fn new(
        now: clock::Millis,
        listed: clock::Millis,
        entry: adapter::Entry,
        known: Option<&Self>,
    ) -> Self {
        let same = known.filter(|old| old.birth == entry.birth && old.state == entry.state);
        let cold_until = match entry.warmup_ms {
            0 => clock::Millis(0),
            warmup => clock::Millis(now.0.saturating_add(warmup)),
        };
        Self {
            since: same.map_or(listed, |old| old.since),
            name: entry.name,
            birth: entry.birth,
            sequence: entry.sequence,
            service: entry.service,
            address: entry.address,
            domain: entry.domain,
            slots: entry.slots,
            state: entry.state,
            cold_until,
        }
    }

    /// Returns the name and incarnation.
    pub fn instance(&self) -> choice::Instance {
        choice::Instance {
            target: self.name.clone(),
            birth: self.birth,
        }
    }

    /// Returns whether the target is cold at `now`.
    pub fn is_cold(&self, now: clock::Millis) -> bool {
        now < self.cold_until
    }

    /// Returns whether it equals `other` except for the sequence.
    fn equals_ignoring_sequence(&self, other: &Self) -> bool {
        let sequence = other.sequence;
        *other
            == Self {
                sequence,
                ..self.clone()
            }
    }

    /// Returns the rank among targets with the same address; the highest one is usable.
    fn rank(&self) -> (u64, &model::TargetName) {
        (self.birth, &self.name)
    }
}

/// Version of the newest entry of a name.
#[derive(Clone, Copy, Debug)]
struct EntryVersion {
    birth: u64,
    sequence: u64,
    /// Time at which it was last listed or removed.
    seen: clock::Millis,
}

/// Availability of the platform's log.
#[derive(Clone, Copy, Debug, Default)]
enum LogState {
    /// No outage is known.
    #[default]
    Available,
    /// The log does not answer.
    Unavailable,
    /// The log has answered again since this time.
    Returned(clock::Millis),
}

impl LogState {
    /// Returns whether a removal may be due only to an outage of the log.
    fn may_cause_removal(self, now: clock::Millis) -> bool {
        match self {
            Self::Available => false,
            Self::Unavailable => true,
            Self::Returned(at) => now.since(at) <= DOUBT_MS,
        }
    }

    /// Returns whether all live targets have been listed again after an outage.
    fn is_relisted(self, now: clock::Millis) -> bool {
        match self {
            Self::Available => true,
            Self::Unavailable => false,
            Self::Returned(at) => now.since(at) >= RELIST_MS,
        }
    }
}

/// Known and removed targets, by name and by service.
#[derive(Debug, Default)]
pub struct Registry {
    /// Usable targets.
    known: BTreeMap<model::TargetName, Rc<Target>>,
    /// Usable targets of each service, by name.
    services: HashMap<model::ServiceName, Vec<Rc<Target>>>,
    /// Versions of the newest entries, also of removed targets.
    versions: HashMap<model::TargetName, EntryVersion>,
    /// Known targets whose removal is delayed.
    delayed: BTreeSet<model::TargetName>,
    /// Targets removed within the last [`REMOVED_RETENTION_MS`].
    removed: BTreeMap<model::TargetName, Rc<Target>>,
    log: LogState,
    /// The log was restored from an older copy, and entries are being written again.
    rewriting: bool,
    /// Time up to which all changes of the list are known.
    current_until: Option<clock::Millis>,
    /// Number of changes that matter for choosing a target.
    generation: u64,
}

impl Registry {
    /// Returns a registry without targets.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies an entry, unless it is stale.
    ///
    /// An entry of a cold target extends the time for which it is cold, even if it
    /// differs from the last one only in its sequence.
    pub fn apply(&mut self, now: clock::Millis, entry: adapter::Entry) {
        if self.rewriting && self.is_known(&entry) {
            self.delayed.remove(&entry.name);
        }
        if !self.record_version(now, &entry) {
            return;
        }
        self.delayed.remove(&entry.name);
        let known = self.known.get(&entry.name);
        let listed = self.current_until.unwrap_or(now);
        let target = Target::new(now, listed, entry, known.map(Rc::as_ref));
        let has_new_address = known.is_none_or(|old| old.address != target.address);
        if has_new_address && !self.claim_address(now, &target) {
            self.remove_now(now, &target.name);
            self.keep_removed(now, target);
            return;
        }
        self.removed.remove(&target.name);
        self.insert_usable(Rc::new(target));
    }

    /// Removes a target whose entry was removed from the list.
    ///
    /// The removal is delayed if an outage of the log may have caused it, unless the
    /// target was draining.
    pub fn remove(&mut self, now: clock::Millis, name: &str) {
        self.remove_or_delay(now, model::TargetName::from(name));
    }

    /// Applies a full read of the list and removes targets without an entry in it.
    ///
    /// Here an entry that is already known cancels a delayed removal, since a full read
    /// shows that the target is listed.
    pub fn replace(&mut self, now: clock::Millis, entries: Vec<adapter::Entry>) {
        self.replace_readable(now, entries, &HashSet::new());
    }

    /// Applies a full read of the list in which the entries of the targets `unreadable` can't
    /// be read: what is known of these targets holds.
    pub fn replace_readable(
        &mut self,
        now: clock::Millis,
        entries: Vec<adapter::Entry>,
        unreadable: &HashSet<model::TargetName>,
    ) {
        let mut listed: HashSet<_> = entries.iter().map(|entry| &entry.name).collect();
        listed.extend(unreadable);
        let names = self.known.keys();
        let missing: Vec<_> = names.filter(|n| !listed.contains(n)).cloned().collect();
        for name in missing {
            self.remove_or_delay(now, name);
        }
        for entry in entries {
            if self.is_known(&entry) {
                self.delayed.remove(&entry.name);
            }
            self.apply(now, entry);
        }
    }

    /// Records that the log was restored from an older copy: entries may be missing from it
    /// until they are written again, possibly unchanged. To be called before the list is
    /// read again.
    pub fn on_log_restored(&mut self, now: clock::Millis) {
        self.log = LogState::Returned(now);
        self.rewriting = true;
    }

    /// Returns whether an entry is the newest known one of its name.
    fn is_known(&self, entry: &adapter::Entry) -> bool {
        let version = self.versions.get(&entry.name);
        version.is_some_and(|v| (v.birth, v.sequence) == (entry.birth, entry.sequence))
    }

    /// Records that all changes of the list up to `at` have been applied.
    pub fn set_current(&mut self, at: clock::Millis) {
        self.current_until = self.current_until.max(Some(at));
    }

    /// Records whether the log is unavailable (`out`).
    pub fn set_outage(&mut self, now: clock::Millis, out: bool) {
        self.log = match (self.log, out) {
            (_, true) => LogState::Unavailable,
            (LogState::Unavailable, false) => LogState::Returned(now),
            (log, false) => log,
        };
    }

    /// Records that the log served other daemons while it did not answer this one, so that
    /// removals are not due to an outage. They may still be due to a restore of the log, of
    /// which the other daemons need not know yet.
    pub fn clear_outage(&mut self) {
        if !self.rewriting {
            self.log = LogState::Available;
        }
    }

    /// Performs delayed removals that are due and drops expired data of removed targets.
    pub fn sweep(&mut self, now: clock::Millis) {
        if self.log.is_relisted(now) {
            self.rewriting = false;
            for name in mem::take(&mut self.delayed) {
                self.remove_now(now, &name);
            }
        }
        self.removed
            .retain(|_, target| now.since(target.since) < REMOVED_RETENTION_MS);
        let (known, removed) = (&self.known, &self.removed);
        self.versions.retain(|name, version| {
            let kept = known.contains_key(name) || removed.contains_key(name);
            kept || now.since(version.seen) < VERSION_RETENTION_MS
        });
    }

    /// Returns the usable target named `name`.
    pub fn get(&self, name: &model::TargetName) -> Option<&Rc<Target>> {
        self.known.get(name)
    }

    /// Returns the usable targets of a service, by name.
    pub fn of(&self, service: &model::ServiceName) -> &[Rc<Target>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Iterates over all usable targets, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Target>> {
        self.known.values()
    }

    /// Iterates over targets removed within the last [`REMOVED_RETENTION_MS`], by name.
    pub fn removed(&self) -> impl Iterator<Item = &Rc<Target>> {
        self.removed.values()
    }

    /// Returns whether an incarnation is the newest one known of its target. That holds for
    /// some minutes after the removal of the target, so that the same incarnation is
    /// recognised if it is listed again.
    pub fn is_newest(&self, name: &model::TargetName, birth: u64) -> bool {
        let version = self.versions.get(name);
        version.is_some_and(|version| version.birth == birth)
    }

    /// Returns whether the removal of the target named `name` is delayed.
    pub fn is_delayed(&self, name: &str) -> bool {
        self.delayed.contains(&model::TargetName::from(name))
    }

    /// Returns when the newest entry of a usable target was applied.
    pub fn last_seen(&self, name: &model::TargetName) -> Option<clock::Millis> {
        self.known.get(name)?;
        self.versions.get(name).map(|version| version.seen)
    }

    /// Returns a number that increases with each change that matters for choosing a
    /// target.
    ///
    /// The end of the time for which a target is cold does not count as a change.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Records an entry as the newest of its name, or returns false if it is stale.
    fn record_version(&mut self, now: clock::Millis, entry: &adapter::Entry) -> bool {
        let (birth, sequence) = (entry.birth, entry.sequence);
        let old = self.versions.get(&entry.name);
        if old.is_some_and(|old| (birth, sequence) <= (old.birth, old.sequence)) {
            return false;
        }
        let version = EntryVersion {
            birth,
            sequence,
            seen: now,
        };
        self.versions.insert(entry.name.clone(), version);
        true
    }

    /// Removes other targets with the address of `target`, or returns false if one of them
    /// has a higher rank.
    fn claim_address(&mut self, now: clock::Millis, target: &Target) -> bool {
        let known = self.known.values();
        let others = known.filter(|o| o.address == target.address && o.name != target.name);
        let others: Vec<_> = others.cloned().collect();
        if others.iter().any(|other| other.rank() > target.rank()) {
            return false;
        }
        for other in others {
            self.remove_now(now, &other.name);
        }
        true
    }

    /// Inserts or replaces a usable target.
    fn insert_usable(&mut self, target: Rc<Target>) {
        let old = self.known.insert(target.name.clone(), Rc::clone(&target));
        let unchanged = old
            .as_ref()
            .is_some_and(|old| old.equals_ignoring_sequence(&target));
        if let Some(old) = old.filter(|old| old.service != target.service) {
            self.remove_from_service(&old);
        }
        let list = self.services.entry(target.service.clone()).or_default();
        match list.binary_search_by(|other| other.name.cmp(&target.name)) {
            Ok(index) => list[index] = target,
            Err(index) => list.insert(index, target),
        }
        if !unchanged {
            self.generation += 1;
        }
    }

    /// Removes a target from the list of its service.
    fn remove_from_service(&mut self, target: &Target) {
        if let Some(list) = self.services.get_mut(&target.service) {
            list.retain(|other| other.name != target.name);
            if list.is_empty() {
                self.services.remove(&target.service);
            }
        }
    }

    /// Removes a target, or delays its removal if an outage may be the cause.
    fn remove_or_delay(&mut self, now: clock::Millis, name: model::TargetName) {
        let Some(target) = self.known.get(&name) else {
            return;
        };
        let draining = target.state == adapter::EntryState::Draining;
        if !draining && (self.log.may_cause_removal(now) || self.delayed.contains(&name)) {
            self.delayed.insert(name);
        } else {
            self.remove_now(now, &name);
        }
    }

    /// Removes a usable target at once.
    fn remove_now(&mut self, now: clock::Millis, name: &model::TargetName) {
        let Some(target) = self.known.remove(name) else {
            return;
        };
        self.delayed.remove(name);
        self.remove_from_service(&target);
        self.generation += 1;
        self.keep_removed(now, Target::clone(&target));
    }

    /// Keeps a removed target for a while; one that is kept already retains the time of its
    /// first removal.
    fn keep_removed(&mut self, now: clock::Millis, target: Target) {
        let name = target.name.clone();
        let earlier = self.removed.get(&name);
        let since = earlier.filter(|old| old.birth == target.birth);
        let since = since.map_or(now, |old| old.since);
        if let Some(version) = self.versions.get_mut(&name) {
            version.seen = now;
        }
        self.removed
            .insert(name, Rc::new(Target { since, ..target }));
    }
}
