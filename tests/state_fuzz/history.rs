//! A history checker: an independent model of the accepted records, and the
//! rules that every verdict must follow.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};

use pistachiomoor::{model, state};
use state::{Body, Change, Envelope, Rejection, Standing, Verdict};

use crate::SHARDS;

/// Number of accepted records of each kind, over all runs.
pub static ACCEPTED: [AtomicU64; 9] = [const { AtomicU64::new(0) }; 9];
/// Number of changes rejected because of a conflict, over all runs.
pub static CONFLICTS: AtomicU64 = AtomicU64::new(0);

/// Owners, leases and daemons according to the accepted records, computed
/// without the fold.
#[derive(Default)]
pub struct History {
    owners: BTreeMap<model::Shard, model::TargetName>,
    /// Offset, holder and backup of each target's lease.
    leases: BTreeMap<model::TargetName, (u64, model::Incarnation, Option<model::Incarnation>)>,
    up: BTreeSet<model::Incarnation>,
    /// Offset of each accepted change record and the objects that it changed.
    changes: Vec<(u64, BTreeSet<String>)>,
    /// Writers and sequence numbers of all records so far.
    seen: BTreeSet<(model::Incarnation, u64)>,
}

/// Returns a label of the object that a change affects.
pub fn object_label(change: &Change) -> String {
    match change {
        Change::PutTarget(target) => format!("t {}", target.name),
        Change::SetTarget(name, _) | Change::RemoveTarget(name) => format!("t {name}"),
        Change::PutDomain(domain) => format!("d {}", domain.name),
        Change::SetDomain(name, _) => format!("d {name}"),
        Change::PutService(service) => format!("s {}", service.name),
        Change::HostLost(daemon) => format!("l {daemon}"),
        Change::SetHost(name, _) => format!("h {name}"),
        other => panic!("{other:?} is never generated"),
    }
}

/// Returns the objects of a configuration as text, by label.
pub fn describe_objects(config: &state::Config) -> BTreeMap<String, String> {
    let mut objects = BTreeMap::new();
    let targets = config.targets.values();
    objects.extend(targets.map(|t| (format!("t {}", t.name), format!("{t:?}"))));
    let domains = config.domains.values();
    objects.extend(domains.map(|d| (format!("d {}", d.name), format!("{d:?}"))));
    let services = config.services.values();
    objects.extend(services.map(|s| (format!("s {}", s.name), format!("{s:?}"))));
    let hosts = config.hosts_out.iter();
    objects.extend(hosts.map(|n| (format!("h {n}"), String::new())));
    objects
}

impl History {
    /// Asserts that the writer holds the lease on a target and is up.
    fn assert_holder(&self, writer: model::Incarnation, target: &model::TargetName, lease: u64) {
        let held = self.leases.get(target);
        let held = held.is_some_and(|l| l.0 == lease && l.1 == writer);
        assert!(held, "the writer does not hold the lease on {target}");
        assert!(self.up.contains(&writer), "the writer is gone");
    }

    /// Checks the verdict on a record, and adds the record if it was accepted.
    pub fn observe(&mut self, before: &state::State, record: &Envelope, verdict: &Verdict) {
        if let Body::Change { changes, .. } = &record.body {
            self.check_conflict(record.base.0, changes, verdict);
        }
        let first = self.seen.insert((record.writer, record.seq));
        let repeated = *verdict == Verdict::Duplicate;
        assert_ne!(first, repeated, "only a repeated record is Duplicate");
        if *verdict == Verdict::Accepted {
            self.accept(before, before.next.0, record);
        }
    }

    /// Checks the verdict on a change: it is rejected as a conflict only if an
    /// object was changed since `base`, and never accepted then.
    fn check_conflict(&self, base: u64, changes: &[Change], verdict: &Verdict) {
        let changed: BTreeSet<_> = changes.iter().map(object_label).collect();
        let distinct = changed.len() == changes.len();
        let mut later = self.changes.iter().filter(|(at, _)| *at >= base);
        let conflict = later.any(|(_, other)| !other.is_disjoint(&changed));
        match verdict {
            Verdict::Accepted => {
                assert!(distinct, "a plan changed an object twice");
                assert!(!conflict, "both conflicting changes were accepted");
            }
            Verdict::Rejected(Rejection::Conflict { .. }) => {
                CONFLICTS.fetch_add(1, Ordering::Relaxed);
                assert!(conflict, "no conflicting change was accepted");
            }
            Verdict::Rejected(why) => {
                let mut changes = changes.iter();
                let valid = distinct && changes.all(|c| matches!(c, Change::SetHost(..)));
                assert!(!valid, "a valid change was rejected: {why}");
            }
            _ => {}
        }
    }

    /// Checks that a record was accepted rightly, and adds it to the model.
    fn accept(&mut self, before: &state::State, at: u64, record: &Envelope) {
        let writer = record.writer;
        let kind = match &record.body {
            // A repeated announcement only shows that the daemon is alive.
            Body::HostUp { .. } => {
                self.up.insert(writer);
                0
            }
            Body::HostDown => self.up.remove(&writer).then_some(1).unwrap(),
            Body::Lease { target, prior, .. } => {
                let Body::Lease { holder, backup, .. } = &record.body else {
                    unreachable!()
                };
                let old = self.leases.get(target);
                assert_eq!(old.map(|l| l.0), prior.map(|p| p.0), "not the prior lease");
                let may_replace = old.is_none_or(|l| {
                    let gone = |daemon: &model::Incarnation| !self.up.contains(daemon);
                    l.1 == writer || l.2 == Some(writer) || (gone(&l.1) && l.2.iter().all(gone))
                });
                assert!(may_replace, "the writer may not take over {target}");
                assert!(self.up.contains(holder) && backup.iter().all(|b| self.up.contains(b)));
                self.leases.insert(target.clone(), (at, *holder, *backup));
                2
            }
            Body::Assign { shards, target, .. } => {
                assert!(self.up.contains(&writer));
                for shard in shards.iter() {
                    let old = self.owners.insert(shard, target.clone());
                    assert_eq!(old, None, "{shard} had an owner");
                }
                3
            }
            Body::Move {
                shards, from, to, ..
            } => {
                let Body::Move { lease, .. } = &record.body else {
                    unreachable!()
                };
                self.assert_holder(writer, from, lease.0);
                let receiver = &before.config.targets[to];
                let domain = &before.config.domains[&receiver.domain];
                assert_eq!(receiver.standing, Standing::In);
                assert_eq!(domain.standing, Standing::In);
                for shard in shards.iter() {
                    let old = self.owners.insert(shard, to.clone());
                    assert_eq!(old.as_ref(), Some(from), "{shard} moved from another owner");
                }
                4
            }
            Body::Pin { key, lease, .. } => {
                let hash_owner = self.owners[&model::Shard::Range(key.shard(SHARDS))].clone();
                self.assert_holder(writer, &hash_owner, lease.0);
                assert_eq!(
                    self.owners.insert(model::Shard::Pinned(*key), hash_owner),
                    None
                );
                5
            }
            Body::Unpin { key, lease, .. } => {
                let owner = self.owners.remove(&model::Shard::Pinned(*key)).unwrap();
                self.assert_holder(writer, &owner, lease.0);
                assert_eq!(owner, self.owners[&model::Shard::Range(key.shard(SHARDS))]);
                6
            }
            Body::Change { changes, .. } => {
                let changed = changes.iter().map(object_label).collect();
                self.changes.push((at, changed));
                for change in changes {
                    match change {
                        Change::HostLost(daemon) => assert!(self.up.remove(daemon)),
                        Change::RemoveTarget(name) => {
                            assert!(self.owners.values().all(|owner| owner != name));
                            self.leases.remove(name);
                        }
                        _ => {}
                    }
                }
                7
            }
            Body::SnapshotPart { .. } => 8,
        };
        ACCEPTED[kind].fetch_add(1, Ordering::Relaxed);
    }

    /// Asserts that a state agrees with the model.
    pub fn check_state(&self, state: &state::State) {
        let mut owners = BTreeMap::new();
        for table in state.groups.values() {
            assert_eq!(table.shards.len(), SHARDS as usize);
            for (n, owner) in (0..).zip(&table.shards) {
                let owner = owner
                    .iter()
                    .map(|o| (model::Shard::Range(n), o.target.clone()));
                owners.extend(owner);
            }
            let pinned = table.pinned.iter();
            owners.extend(pinned.map(|(&k, o)| (model::Shard::Pinned(k), o.target.clone())));
        }
        assert_eq!(owners, self.owners, "owners differ from the records");
        let mut counts = BTreeMap::new();
        for owner in owners.into_values() {
            *counts.entry(owner).or_insert(0) += 1;
        }
        assert_eq!(state.owned, counts, "numbers of owned shards differ");
        let leases = state.leases.iter();
        let leases = leases.map(|(t, l)| (t.clone(), (l.offset.0, l.holder, l.backup)));
        assert_eq!(leases.collect::<BTreeMap<_, _>>(), self.leases);
        let hosts = state.hosts.iter().filter(|(_, host)| host.gone.is_none());
        assert_eq!(hosts.map(|(&d, _)| d).collect::<BTreeSet<_>>(), self.up);
    }
}
