//! The targets known to this daemon.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::mem;
use std::net::SocketAddr;
use std::rc::Rc;

use crate::clock;
use crate::gateway::dialect;
use crate::model;

/// Time for which a removed target is kept, in milliseconds. It covers the longest
/// lease, 10 s on a clock that runs 2% slow, and leaves 1.8 s for the delivery.
pub const GONE_KEPT: u64 = 12_000;

/// Time for which the birth and sequence of a removed target are remembered, in
/// milliseconds. It bounds memory; an entry that is later than this counts as new.
const MARK_KEPT: u64 = 600_000;

/// Time after the log's return in which removals are still due to the outage, in
/// milliseconds.
const RETURN: u64 = 300;

/// Time after the log's return until live targets are listed again, in milliseconds.
const RELISTED: u64 = 2_000;

/// A target as known from its newest entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name, unique among targets.
    pub name: model::TargetName,
    /// Unix time of the target's start in milliseconds; a new one is a new life.
    pub birth: u64,
    /// Number of the newest entry within this life.
    pub sequence: u64,
    /// Service that the target provides.
    pub service: model::ServiceName,
    /// Address for requests and orders.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: model::DomainName,
    /// Requests that it serves at a time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: dialect::EntryState,
    /// End of the time for which it is cold, or 0 if its entry says that it is warm.
    pub cold_until: clock::Millis,
    /// Earliest time at which its present life and state may have been listed, or
    /// time at which it was removed.
    pub since: clock::Millis,
}

impl Target {
    fn new(
        now: clock::Millis,
        listed: clock::Millis,
        entry: dialect::Entry,
        known: Option<&Self>,
    ) -> Self {
        let same = known.filter(|old| old.birth == entry.birth && old.state == entry.state);
        let cold_until = match entry.warmup {
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

    /// Returns whether the target is cold at `now`.
    pub fn is_cold(&self, now: clock::Millis) -> bool {
        now < self.cold_until
    }

    /// Returns whether it equals `other` in all but the sequence.
    fn is_alike(&self, other: &Self) -> bool {
        let sequence = other.sequence;
        *other
            == Self {
                sequence,
                ..self.clone()
            }
    }

    /// Rank among targets with the same address; the highest one is usable.
    fn rank(&self) -> (u64, &model::TargetName) {
        (self.birth, &self.name)
    }
}

/// Newest entry of a name.
#[derive(Clone, Copy, Debug)]
struct Mark {
    birth: u64,
    sequence: u64,
    /// Time at which it was last listed or removed.
    seen: clock::Millis,
}

/// Whether the platform's log answers.
#[derive(Clone, Copy, Debug, Default)]
enum Log {
    /// No outage is known.
    #[default]
    Steady,
    /// It does not answer.
    Out,
    /// It answers again since this time.
    Back(clock::Millis),
}

impl Log {
    /// Returns whether a removal may be due to an outage only.
    fn is_doubtful(self, now: clock::Millis) -> bool {
        match self {
            Self::Steady => false,
            Self::Out => true,
            Self::Back(at) => now.since(at) <= RETURN,
        }
    }

    /// Returns whether live targets have been listed again.
    fn is_relisted(self, now: clock::Millis) -> bool {
        match self {
            Self::Steady => true,
            Self::Out => false,
            Self::Back(at) => now.since(at) >= RELISTED,
        }
    }
}

/// Targets by name and by service.
#[derive(Debug, Default)]
pub struct Registry {
    known: BTreeMap<model::TargetName, Rc<Target>>,
    services: HashMap<model::ServiceName, Vec<Rc<Target>>>,
    marks: HashMap<model::TargetName, Mark>,
    /// Known targets whose removal is delayed.
    delayed: BTreeSet<model::TargetName>,
    gone: BTreeMap<model::TargetName, Rc<Target>>,
    log: Log,
    /// Time up to which changes of the list are known.
    current: Option<clock::Millis>,
    generation: u64,
}

impl Registry {
    /// Returns a registry without targets.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in an entry, unless it is stale.
    ///
    /// An entry that says that its target is cold renews the coldness, even if
    /// it differs from the last one in its sequence only.
    pub fn apply(&mut self, now: clock::Millis, entry: dialect::Entry) {
        if !self.mark(now, &entry) {
            return;
        }
        self.delayed.remove(&entry.name);
        let known = self.known.get(&entry.name);
        let listed = self.current.unwrap_or(now);
        let target = Target::new(now, listed, entry, known.map(Rc::as_ref));
        let moved = known.is_none_or(|old| old.address != target.address);
        if moved && !self.claim(now, &target) {
            self.discard(now, &target.name);
            self.bury(now, target);
            return;
        }
        self.gone.remove(&target.name);
        self.put(Rc::new(target));
    }

    /// Removes a target whose entry was taken out of the list.
    ///
    /// The removal is delayed if an outage of the log may have caused it, unless
    /// the target was draining.
    pub fn remove(&mut self, now: clock::Millis, name: &str) {
        self.withdraw(now, model::TargetName::from(name));
    }

    /// Takes in a full read of the list; targets that it lacks are removed.
    ///
    /// An entry that is already known cancels a delayed removal here, since a
    /// full read shows that it is listed.
    pub fn replace(&mut self, now: clock::Millis, entries: Vec<dialect::Entry>) {
        let listed: HashSet<_> = entries.iter().map(|entry| &entry.name).collect();
        let names = self.known.keys();
        let missing: Vec<_> = names.filter(|n| !listed.contains(n)).cloned().collect();
        for name in missing {
            self.withdraw(now, name);
        }
        for entry in entries {
            let mark = self.marks.get(&entry.name);
            if mark.is_some_and(|m| (m.birth, m.sequence) == (entry.birth, entry.sequence)) {
                self.delayed.remove(&entry.name);
            }
            self.apply(now, entry);
        }
    }

    /// Notes that all changes of the list up to `at` have been taken in.
    pub fn set_current(&mut self, at: clock::Millis) {
        self.current = self.current.max(Some(at));
    }

    /// Notes whether the log fails to answer.
    pub fn set_outage(&mut self, now: clock::Millis, out: bool) {
        self.log = match (self.log, out) {
            (_, true) => Log::Out,
            (Log::Out, false) => Log::Back(now),
            (log, false) => log,
        };
    }

    /// Notes that the log answers after all and has served others meanwhile, so
    /// that removals are no effect of an outage.
    pub fn set_steady(&mut self) {
        self.log = Log::Steady;
    }

    /// Carries out delayed removals that are due and forgets targets long gone.
    pub fn sweep(&mut self, now: clock::Millis) {
        if self.log.is_relisted(now) {
            for name in mem::take(&mut self.delayed) {
                self.discard(now, &name);
            }
        }
        self.gone
            .retain(|_, target| now.since(target.since) < GONE_KEPT);
        let (known, gone) = (&self.known, &self.gone);
        self.marks.retain(|name, mark| {
            let kept = known.contains_key(name) || gone.contains_key(name);
            kept || now.since(mark.seen) < MARK_KEPT
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

    /// Iterates over targets removed within the last [`GONE_KEPT`], by name.
    pub fn gone(&self) -> impl Iterator<Item = &Rc<Target>> {
        self.gone.values()
    }

    /// Returns when the newest entry of a usable target was taken in.
    pub fn seen(&self, name: &model::TargetName) -> Option<clock::Millis> {
        self.known.get(name)?;
        self.marks.get(name).map(|mark| mark.seen)
    }

    /// Returns a number that rises with each change that matters for choosing.
    ///
    /// The end of a target's coldness is no change.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Notes an entry as the newest of its name, or returns false if it is stale.
    fn mark(&mut self, now: clock::Millis, entry: &dialect::Entry) -> bool {
        let (birth, sequence) = (entry.birth, entry.sequence);
        let old = self.marks.get(&entry.name);
        if old.is_some_and(|old| (birth, sequence) <= (old.birth, old.sequence)) {
            return false;
        }
        let mark = Mark {
            birth,
            sequence,
            seen: now,
        };
        self.marks.insert(entry.name.clone(), mark);
        true
    }

    /// Removes other targets with the address of `target`, or returns false if
    /// one of them was born later.
    fn claim(&mut self, now: clock::Millis, target: &Target) -> bool {
        let known = self.known.values();
        let others = known.filter(|o| o.address == target.address && o.name != target.name);
        let others: Vec<_> = others.cloned().collect();
        if others.iter().any(|other| other.rank() > target.rank()) {
            return false;
        }
        for other in others {
            self.discard(now, &other.name);
        }
        true
    }

    fn put(&mut self, target: Rc<Target>) {
        let old = self.known.insert(target.name.clone(), Rc::clone(&target));
        let alike = old.as_ref().is_some_and(|old| old.is_alike(&target));
        if let Some(old) = old.filter(|old| old.service != target.service) {
            self.unlist(&old);
        }
        let list = self.services.entry(target.service.clone()).or_default();
        match list.binary_search_by(|other| other.name.cmp(&target.name)) {
            Ok(index) => list[index] = target,
            Err(index) => list.insert(index, target),
        }
        if !alike {
            self.generation += 1;
        }
    }

    fn unlist(&mut self, target: &Target) {
        if let Some(list) = self.services.get_mut(&target.service) {
            list.retain(|other| other.name != target.name);
            if list.is_empty() {
                self.services.remove(&target.service);
            }
        }
    }

    fn withdraw(&mut self, now: clock::Millis, name: model::TargetName) {
        let Some(target) = self.known.get(&name) else {
            return;
        };
        let draining = target.state == dialect::EntryState::Draining;
        if !draining && (self.log.is_doubtful(now) || self.delayed.contains(&name)) {
            self.delayed.insert(name);
        } else {
            self.discard(now, &name);
        }
    }

    /// Makes a target unusable at once.
    fn discard(&mut self, now: clock::Millis, name: &model::TargetName) {
        let Some(target) = self.known.remove(name) else {
            return;
        };
        self.delayed.remove(name);
        self.unlist(&target);
        self.generation += 1;
        self.bury(now, Target::clone(&target));
    }

    /// Keeps an unusable target; one that is kept already stays for its first time.
    fn bury(&mut self, now: clock::Millis, target: Target) {
        let name = target.name.clone();
        let kept = self.gone.get(&name);
        let since = kept.filter(|old| old.birth == target.birth);
        let since = since.map_or(now, |old| old.since);
        if let Some(mark) = self.marks.get_mut(&name) {
            mark.seen = now;
        }
        self.gone.insert(name, Rc::new(Target { since, ..target }));
    }
}
