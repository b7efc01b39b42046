//! Placement by number of shards: first assignment, evacuation, joining targets.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use crate::model;
use crate::placement::{Moves, Transfer};
use crate::state;

/// A candidate counts as joined if it has less than this share of an even
/// number of shards, in percent.
///
/// Rebalancing by load leaves targets with unequal numbers of shards, so a
/// small deficit must not move shards.
const JOINED_BELOW_PERCENT: u64 = 75;

/// The whole of a share in percent.
const WHOLE_PERCENT: u64 = 100;

/// Candidates of a group, and its shards by owner.
struct Table<'a> {
    candidates: Vec<&'a state::Target>,
    ranges: BTreeMap<&'a model::TargetName, Vec<model::Shard>>,
    pinned: BTreeMap<&'a model::TargetName, Vec<model::Shard>>,
    unowned: Vec<model::Shard>,
}

impl<'a> Table<'a> {
    /// Collects the table of a group; a group that does not exist yet has all
    /// its shards unowned.
    fn from_state(state: &'a state::State, id: &model::GroupId) -> Self {
        let mut table = Self {
            candidates: state.candidates(id),
            ranges: BTreeMap::new(),
            pinned: BTreeMap::new(),
            unowned: Vec::new(),
        };
        let Some(group) = state.groups.get(id) else {
            let service = state.config.services.get(&id.service);
            let count = service.map_or(0, |service| service.shards);
            table.unowned = (0..count).map(model::Shard::Range).collect();
            return table;
        };
        for (shard, owner) in group.iter() {
            let owned = match (owner, shard) {
                (None, _) => &mut table.unowned,
                (Some(owner), model::Shard::Range(_)) => {
                    table.ranges.entry(&owner.target).or_default()
                }
                (Some(owner), model::Shard::Pinned(_)) => {
                    table.pinned.entry(&owner.target).or_default()
                }
            };
            owned.push(shard);
        }
        table
    }

    /// Returns the number of hash shards that a target owns.
    fn count(&self, target: &model::TargetName) -> u64 {
        self.ranges
            .get(target)
            .map_or(0, |shards| shards.len() as u64)
    }

    /// Returns the number of pinned keys that a target owns.
    fn pinned_count(&self, target: &model::TargetName) -> u64 {
        self.pinned
            .get(target)
            .map_or(0, |shards| shards.len() as u64)
    }
}

/// Distributes shards over receivers, to the one with the fewest first.
struct Distributor<'a> {
    /// Receivers and the number of shards each will own.
    counts: Vec<(&'a state::Target, u64)>,
}

impl<'a> Distributor<'a> {
    /// Assigns `shards` to receivers in consecutive runs. Among receivers with
    /// equally few shards, those for which `prefer` returns true come first.
    fn distribute(
        &mut self,
        shards: &[model::Shard],
        prefer: impl Fn(&state::Target) -> bool,
    ) -> Vec<(&'a state::Target, Vec<model::Shard>)> {
        let entries = self.counts.iter().enumerate();
        let heap = entries.map(|(i, (target, count))| Reverse((*count, !prefer(target), i)));
        let mut heap: BinaryHeap<_> = heap.collect();
        let mut added = vec![0; self.counts.len()];
        for _ in shards {
            let Some(Reverse((count, not_preferred, i))) = heap.pop() else {
                return Vec::new();
            };
            added[i] += 1;
            heap.push(Reverse((count + 1, not_preferred, i)));
        }
        let mut rest = shards;
        let mut assigned = Vec::new();
        for ((target, count), added) in self.counts.iter_mut().zip(added) {
            let (run, after) = rest.split_at(added);
            rest = after;
            *count += added as u64;
            if added > 0 {
                assigned.push((*target, run.to_vec()));
            }
        }
        assigned
    }
}

/// Assigns the shards of a group that have no owner evenly to its candidates.
///
/// The group need not exist yet. The result is empty if there are no candidates.
pub fn initial(
    state: &state::State,
    group: &model::GroupId,
) -> Vec<(model::ShardSet, model::TargetName)> {
    let table = Table::from_state(state, group);
    let counts = table.candidates.iter();
    let counts = counts.map(|target| (*target, table.count(&target.name)));
    let mut distributor = Distributor {
        counts: counts.collect(),
    };
    let assigned = distributor.distribute(&table.unowned, |_| true).into_iter();
    assigned
        .map(|(target, shards)| (shards.into_iter().collect(), target.name.clone()))
        .collect()
}

/// Returns the moves of all shards of a target to the other candidates of each
/// group. It is for a target that is drained, lost, or no longer a candidate.
///
/// Shards of all other owners that are no longer candidates are distributed in
/// the same pass, so that holders that evacuate a failure domain concurrently
/// fill the receivers evenly. Among receivers with equally few shards, those of
/// the same region come first. Groups without another candidate are omitted.
pub fn evacuate(state: &state::State, from: &model::TargetName) -> Vec<Transfer> {
    let mut transfers = Vec::new();
    for id in state.groups.keys() {
        let mut table = Table::from_state(state, id);
        table.candidates.retain(|target| target.name != *from);
        let mut moves = Moves::default();
        let count = |target: &model::TargetName| table.count(target);
        distribute_shards(state, &table, &table.ranges, count, from, &mut moves);
        let count = |target: &model::TargetName| table.pinned_count(target);
        distribute_shards(state, &table, &table.pinned, count, from, &mut moves);
        transfers.extend(moves.into_transfers(id));
    }
    transfers
}

/// Distributes the shards in `owned` whose owners are not candidates, and adds
/// the moves of those that `from` owns.
fn distribute_shards(
    state: &state::State,
    table: &Table<'_>,
    owned: &BTreeMap<&model::TargetName, Vec<model::Shard>>,
    count: impl Fn(&model::TargetName) -> u64,
    from: &model::TargetName,
    moves: &mut Moves,
) {
    let counts = table.candidates.iter();
    let counts = counts.map(|target| (*target, count(&target.name)));
    let mut distributor = Distributor {
        counts: counts.collect(),
    };
    let is_candidate = |name: &model::TargetName| {
        let mut candidates = table.candidates.iter();
        candidates.any(|target| target.name == *name)
    };
    let region = |target: &state::Target| state.region(&target.domain);
    for (source, shards) in owned {
        if is_candidate(source) {
            continue;
        }
        let source_region = state.config.targets.get(*source).and_then(region);
        let assigned = distributor.distribute(shards, |target| region(target) == source_region);
        for (target, shards) in assigned {
            if *source == from {
                moves.add(from, &target.name, shards);
            }
        }
    }
}

/// Returns the moves that give candidates that have joined an even share of a
/// group's hash shards.
///
/// The other candidates give in proportion to what they own, so that a group
/// that was balanced by load stays so. Shards without an owner, or whose owner
/// is not a candidate, count towards the share and are not moved here. Targets
/// with pinned keys do not count as joined: rebalancing may have left them few
/// shards.
pub fn fill(state: &state::State, group: &model::GroupId) -> Vec<Transfer> {
    let table = Table::from_state(state, group);
    let n = table.candidates.len() as u64;
    if n == 0 {
        return Vec::new();
    }
    let owned: u64 = table
        .ranges
        .values()
        .map(|shards| shards.len() as u64)
        .sum();
    let total = owned + table.unowned.len() as u64;
    let share = total / n;
    let has_joined = |target: &&state::Target| {
        table.count(&target.name) * WHOLE_PERCENT < share * JOINED_BELOW_PERCENT
            && table.pinned_count(&target.name) == 0
    };
    let candidates = table.candidates.iter().copied();
    let (joined, donors): (Vec<_>, Vec<_>) = candidates.partition(has_joined);
    let owned_by = |targets: &[&state::Target]| -> u64 {
        targets.iter().map(|target| table.count(&target.name)).sum()
    };
    let mut pending = total - owned_by(&joined) - owned_by(&donors);
    let remainder = (total % n).saturating_sub(donors.len() as u64);
    let mut needs = Vec::new();
    for (i, target) in joined.iter().enumerate() {
        let quota = share + u64::from((i as u64) < remainder);
        let need = quota - table.count(&target.name);
        let covered = need.min(pending.div_ceil((joined.len() - i) as u64));
        pending -= covered;
        needs.push((*target, need - covered));
    }
    let need: u64 = needs.iter().map(|(_, need)| need).sum();
    let mut pool = take_from_donors(&table, &donors, need.min(owned_by(&donors)));
    let mut moves = Moves::default();
    for (target, need) in needs {
        let rest = pool.split_off(pool.len().min(need as usize));
        for (from, shard) in std::mem::replace(&mut pool, rest) {
            moves.add(from, &target.name, [shard]);
        }
    }
    moves.into_transfers(group)
}

/// Returns `need` shards of donors, in proportion to the shards that each owns.
fn take_from_donors<'a>(
    table: &Table<'a>,
    donors: &[&'a state::Target],
    need: u64,
) -> Vec<(&'a model::TargetName, model::Shard)> {
    let counts: Vec<u64> = donors.iter().map(|d| table.count(&d.name)).collect();
    let total: u64 = counts.iter().sum();
    if need == 0 || total == 0 {
        return Vec::new();
    }
    let keep = total - need;
    let mut kept: Vec<u64> = counts.iter().map(|count| count * keep / total).collect();
    let mut order: Vec<usize> = (0..donors.len()).collect();
    order.sort_by_key(|&i| (Reverse(counts[i] * keep % total), i));
    let remainder = keep - kept.iter().sum::<u64>();
    for &i in order.iter().take(remainder as usize) {
        kept[i] += 1;
    }
    let mut taken = Vec::new();
    for (donor, kept) in donors.iter().zip(kept) {
        let shards = table.ranges.get(&donor.name);
        let shards = shards.map_or(&[][..], |shards| &shards[kept as usize..]);
        taken.extend(shards.iter().map(|&shard| (&donor.name, shard)));
    }
    taken
}
