//! Read-only queries on the state.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::model;
use crate::state::config;
use crate::state::table::{Group, Ownership, State};

impl State {
    /// Returns the targets that may receive shards or requests of a group,
    /// ordered by name: those of its service, in its regions, that take new work.
    pub fn candidates(&self, group: &model::GroupId) -> Vec<&config::Target> {
        let targets = self.config.targets.values();
        targets
            .filter(|target| target.service == group.service)
            .filter(|target| self.in_regions(target, &group.regions))
            .filter(|target| self.takes_work(&target.name))
            .collect()
    }

    /// Returns the shards that a target owns: one entry for each group and each
    /// record that made the target their owner, with the record's offset.
    pub fn shards_of(
        &self,
        target: &model::TargetName,
    ) -> Vec<(model::GroupId, model::ShardSet, model::Offset)> {
        let mut found = Vec::new();
        for (id, group) in &self.groups {
            let mut records: BTreeMap<model::Offset, Vec<model::Shard>> = BTreeMap::new();
            for (shard, owner) in group.iter() {
                if let Some(owner) = owner.filter(|owner| owner.target == *target) {
                    records.entry(owner.since).or_default().push(shard);
                }
            }
            let sets = records.into_iter();
            found.extend(sets.map(|(since, set)| (id.clone(), set.into_iter().collect(), since)));
        }
        found
    }

    /// Returns the targets that own other shards than in `older`, or own them by
    /// another record. Tables that both states share are skipped.
    pub fn owners_changed(&self, older: &Self) -> BTreeSet<model::TargetName> {
        let empty = Arc::new(Group::default());
        let mut found = BTreeSet::new();
        for id in self.groups.keys().chain(older.groups.keys()) {
            let old = older.groups.get(id).unwrap_or(&empty);
            let new = self.groups.get(id).unwrap_or(&empty);
            if !Arc::ptr_eq(old, new) {
                collect_changed_owners(old, new, &mut found);
            }
        }
        found
    }

    /// Returns the placement group of requests under the bindings of a route and
    /// a tenant, where an empty list allows every region.
    ///
    /// Returns `None` if the bindings have no region in common.
    pub fn group_for(
        &self,
        service: &model::ServiceName,
        route: &[model::RegionName],
        tenant: &[model::RegionName],
    ) -> Option<model::GroupId> {
        let mut regions = match (route, tenant) {
            ([], regions) | (regions, []) => regions.to_vec(),
            (route, tenant) => {
                let common = route.iter().filter(|region| tenant.contains(region));
                let common: Vec<_> = common.cloned().collect();
                if common.is_empty() {
                    return None;
                }
                common
            }
        };
        regions.sort_unstable();
        regions.dedup();
        Some(model::GroupId {
            service: service.clone(),
            regions,
        })
    }

    /// Returns whether a target's failure domain lies in one of `regions`; an
    /// empty list allows every region.
    pub fn in_regions(&self, target: &config::Target, regions: &[model::RegionName]) -> bool {
        let region = self.region(&target.domain);
        regions.is_empty() || region.is_some_and(|region| regions.contains(region))
    }
}

/// Adds the old and new owners of each shard whose ownership differs.
fn collect_changed_owners(old: &Group, new: &Group, found: &mut BTreeSet<model::TargetName>) {
    let mut compare = |old: Option<&Ownership>, new: Option<&Ownership>| {
        if old != new {
            let owners = old.into_iter().chain(new);
            found.extend(owners.map(|owner| owner.target.clone()));
        }
    };
    for n in 0..old.shards.len().max(new.shards.len()) {
        compare(hash_shard_owner(old, n), hash_shard_owner(new, n));
    }
    for key in old.pinned.keys().chain(new.pinned.keys()) {
        compare(old.pinned.get(key), new.pinned.get(key));
    }
}

fn hash_shard_owner(group: &Group, n: usize) -> Option<&Ownership> {
    group.shards.get(n)?.as_ref()
}
