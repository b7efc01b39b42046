//! Application of the records that change the owners of shards.

use std::sync::Arc;

use crate::model;
use crate::state::config;
use crate::state::fold::invalid;
use crate::state::record::Rejection;
use crate::state::table::{Group, Ownership, State};

/// Largest number of pinned keys in a group.
pub const MAX_PINNED_KEYS: usize = 1_024;

impl State {
    /// Assigns shards that have no owner to a target.
    pub(super) fn assign(
        &mut self,
        offset: model::Offset,
        writer: model::Incarnation,
        group: &model::GroupId,
        shards: &model::ShardSet,
        target: &model::TargetName,
    ) -> Result<(), Rejection> {
        self.check_up(writer)?;
        let count = self.check_group(group)?;
        self.check_receiver(group, target)?;
        check_shards(group, shards, count)?;
        if let Some(&key) = shards.pinned.first() {
            let shard = model::Shard::Pinned(key);
            return Err(wrong_owner(group, shard, self.shard_owner(group, shard)));
        }
        for shard in shards.iter() {
            let current = self.shard_owner(group, shard);
            if current.is_some() {
                return Err(wrong_owner(group, shard, current));
            }
        }
        let table = self.groups.entry(group.clone()).or_insert_with(|| {
            Arc::new(Group {
                shards: vec![None; count as usize],
                pinned: Default::default(),
                repinned: None,
            })
        });
        set_owner(Arc::make_mut(table), shards, target, offset);
        self.add_owned(target, shards.len() as i64);
        Ok(())
    }

    /// Moves shards between targets; the caller has checked the lease.
    ///
    /// Rejects the move if a key of the group was pinned or unpinned at or after
    /// `base`, where the holder decided on it: requests for that key can still
    /// run under a shard that the holder did not stop.
    pub(super) fn move_shards(
        &mut self,
        (offset, base): (model::Offset, model::Offset),
        group: &model::GroupId,
        shards: &model::ShardSet,
        from: &model::TargetName,
        to: &model::TargetName,
    ) -> Result<(), Rejection> {
        let count = self.check_group(group)?;
        check_shards(group, shards, count)?;
        self.check_receiver(group, to)?;
        let repinned = self.groups.get(group).and_then(|table| table.repinned);
        if let Some(at) = repinned.filter(|at| *at >= base) {
            let object = format!("group/{group}");
            return Err(Rejection::Conflict { object, at });
        }
        if from == to {
            return Err(invalid(format!("target/{to}"), "it is also the source"));
        }
        for shard in shards.iter() {
            let current = self.shard_owner(group, shard);
            if current.is_none_or(|current| current.target != *from) {
                return Err(wrong_owner(group, shard, current));
            }
        }
        if let Some(table) = self.groups.get_mut(group) {
            set_owner(Arc::make_mut(table), shards, to, offset);
        }
        self.add_owned(from, -(shards.len() as i64));
        self.add_owned(to, shards.len() as i64);
        Ok(())
    }

    /// Gives a key its own shard, owned by the owner of its hash shard.
    pub(super) fn pin(
        &mut self,
        offset: model::Offset,
        writer: model::Incarnation,
        group: &model::GroupId,
        key: model::KeyHash,
        lease: model::Offset,
    ) -> Result<(), Rejection> {
        let Some((model::Shard::Range(_), current)) = self.owner(group, key) else {
            let shard = model::Shard::Pinned(key);
            return Err(wrong_owner(group, shard, self.shard_owner(group, shard)));
        };
        let target = current.target.clone();
        self.check_lease(writer, &target, lease)?;
        let Some(table) = self.groups.get_mut(group) else {
            return Ok(());
        };
        if table.pinned.len() >= MAX_PINNED_KEYS {
            let why = format!("it has {MAX_PINNED_KEYS} pinned keys already");
            return Err(invalid(format!("group/{group}"), why));
        }
        let ownership = Ownership {
            target: target.clone(),
            since: offset,
        };
        let table = Arc::make_mut(table);
        table.pinned.insert(key, ownership);
        table.repinned = Some(offset);
        self.add_owned(&target, 1);
        Ok(())
    }

    /// Returns a pinned key to its hash shard, which must have the same owner.
    pub(super) fn unpin(
        &mut self,
        offset: model::Offset,
        writer: model::Incarnation,
        group: &model::GroupId,
        key: model::KeyHash,
        lease: model::Offset,
    ) -> Result<(), Rejection> {
        let Some((model::Shard::Pinned(_), current)) = self.owner(group, key) else {
            return Err(wrong_owner(group, model::Shard::Pinned(key), None));
        };
        let target = current.target.clone();
        self.check_lease(writer, &target, lease)?;
        let Some(table) = self.groups.get_mut(group) else {
            return Ok(());
        };
        let shard = key.shard(table.shards.len() as u32);
        let hash_owner = table.shards[shard as usize].as_ref();
        if hash_owner.is_none_or(|owner| owner.target != target) {
            return Err(wrong_owner(group, model::Shard::Range(shard), hash_owner));
        }
        let table = Arc::make_mut(table);
        table.pinned.remove(&key);
        table.repinned = Some(offset);
        self.add_owned(&target, -1);
        Ok(())
    }

    /// Checks that a group may exist, and returns its number of hash shards.
    fn check_group(&self, group: &model::GroupId) -> Result<u32, Rejection> {
        let label = format!("service/{}", group.service);
        let Some(service) = self.config.services.get(&group.service) else {
            return Err(invalid(label, "there is no such service"));
        };
        if service.kind != config::Kind::Keyed {
            return Err(invalid(
                label,
                "it is not a keyed service, so its keys have no owners",
            ));
        }
        if !group.regions.is_sorted_by(|a, b| a < b) {
            let why = "its regions are not ascending and distinct";
            return Err(invalid(format!("group/{group}"), why));
        }
        Ok(service.shards)
    }

    /// Checks that a target may become the owner of shards of a group.
    fn check_receiver(
        &self,
        group: &model::GroupId,
        name: &model::TargetName,
    ) -> Result<(), Rejection> {
        let label = format!("target/{name}");
        let Some(target) = self.config.targets.get(name) else {
            return Err(invalid(label, "there is no such target"));
        };
        if target.service != group.service {
            return Err(invalid(label, "it is a target of another service"));
        }
        if !self.in_regions(target, &group.regions) {
            return Err(invalid(label, "it is outside the group's regions"));
        }
        if !self.takes_work(name) {
            return Err(invalid(label, "it or its failure domain takes no new work"));
        }
        Ok(())
    }

    /// Adds `by` to the number of shards that a target owns.
    fn add_owned(&mut self, target: &model::TargetName, by: i64) {
        let owned = self.owned.entry(target.clone()).or_default();
        *owned = owned.saturating_add_signed(by);
        if *owned == 0 {
            self.owned.remove(target);
        }
    }
}

fn set_owner(
    table: &mut Group,
    shards: &model::ShardSet,
    target: &model::TargetName,
    since: model::Offset,
) {
    for shard in shards.iter() {
        let ownership = Ownership {
            target: target.clone(),
            since,
        };
        match shard {
            model::Shard::Range(n) => table.shards[n as usize] = Some(ownership),
            model::Shard::Pinned(key) => {
                table.pinned.insert(key, ownership);
            }
        }
    }
}

/// Checks that a set of shards is well formed. This must come before any
/// iteration: a malformed range can be huge.
fn check_shards(
    group: &model::GroupId,
    shards: &model::ShardSet,
    count: u32,
) -> Result<(), Rejection> {
    let ordered = shards.ranges.iter().all(|(first, last)| first <= last)
        && shards.ranges.is_sorted_by(|a, b| a.1 < b.0)
        && shards.pinned.is_sorted_by(|a, b| a < b);
    let within = shards.ranges.last().is_none_or(|range| range.1 < count);
    if ordered && within && !shards.is_empty() {
        return Ok(());
    }
    let why = format!("its shards must be ascending, below {count}, and at least one");
    Err(invalid(format!("group/{group}"), why))
}

/// Returns the rejection of a record that assumes another owner of a shard.
fn wrong_owner(
    group: &model::GroupId,
    shard: model::Shard,
    current: Option<&Ownership>,
) -> Rejection {
    Rejection::Owner {
        group: group.to_string(),
        shard: shard.to_string(),
        owner: current.map(|current| current.target.clone()),
    }
}
