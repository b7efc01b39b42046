//! Rebalancing by measured load.

use std::collections::BTreeMap;

use crate::model;
use crate::placement::{Moves, Transfer};
use crate::state;

/// Imbalance limit: a target gives shards away if its load exceeds this many
/// times the mean.
///
/// This is the objective for imbalance. Up to it nothing moves, so that
/// measurement noise causes no moves.
pub const IMBALANCE_LIMIT: f64 = 1.15;

/// Load, as a multiple of the mean, down to which such a target is brought.
pub const IMBALANCE_GOAL: f64 = 1.05;

/// A target's load and its shards, ascending by load.
struct TargetLoad<'a> {
    name: &'a model::TargetName,
    load: f64,
    shards: Vec<(f64, model::Shard)>,
}

impl TargetLoad<'_> {
    /// Returns the index of the next shard to move: the smallest that brings the
    /// load down to `goal`, or else the largest, of those that leave `receiver`
    /// at or below `goal`.
    ///
    /// Falls back to [`TargetLoad::choose_least_peak`] if there is none.
    fn choose(&self, receiver: &Self, goal: f64) -> Option<usize> {
        let excess = self.load - goal;
        let enough = self.shards.partition_point(|(load, _)| *load < excess);
        let fits = self
            .shards
            .partition_point(|(load, _)| receiver.load + load <= goal);
        let index = if enough < fits {
            Some(enough)
        } else {
            fits.checked_sub(1)
        };
        let useful = |index: &usize| self.shards[*index].0 > 0.0;
        index
            .filter(useful)
            .or_else(|| self.choose_least_peak(receiver))
    }

    /// Returns the index of the shard whose move leaves the least load on the
    /// busier of the two targets, if that is less than the current load.
    fn choose_least_peak(&self, receiver: &Self) -> Option<usize> {
        let peak = |load: f64| (self.load - load).max(receiver.load + load);
        let indexes = 0..self.shards.len();
        let index = indexes.min_by(|&a, &b| {
            let (a, b) = (peak(self.shards[a].0), peak(self.shards[b].0));
            a.total_cmp(&b)
        })?;
        (peak(self.shards[index].0) < self.load * (1.0 - f64::EPSILON)).then_some(index)
    }
}

/// Returns few moves that bring each candidate with more than
/// [`IMBALANCE_LIMIT`] times the mean load down to [`IMBALANCE_GOAL`], as far as
/// its shards allow.
///
/// `loads` is the load of each shard in any unit, averaged for long enough that
/// its noise stays below 10%; a missing shard has no load. `elsewhere` is the
/// load of each target outside this group, in the same unit. Shards whose
/// owners are not candidates are moved by [`crate::placement::evacuate`], not
/// here.
pub fn rebalance(
    state: &state::State,
    group: &model::GroupId,
    loads: &BTreeMap<model::Shard, f64>,
    elsewhere: &BTreeMap<model::TargetName, f64>,
) -> Vec<Transfer> {
    let mut targets = target_loads(state, group, loads, elsewhere);
    let total: f64 = targets.iter().map(|target| target.load).sum();
    let mean = total / targets.len() as f64;
    let mut moves = Moves::default();
    if total <= 0.0 {
        return Vec::new();
    }
    let overloaded = |target: &&TargetLoad<'_>| target.load > mean * IMBALANCE_LIMIT;
    let mut donors: Vec<_> = targets.iter().filter(overloaded).map(|t| t.name).collect();
    donors.sort();
    for donor in donors {
        offload(&mut targets, donor, mean * IMBALANCE_GOAL, &mut moves);
    }
    moves.into_transfers(group)
}

/// Returns the candidates of a group with their loads and shards.
fn target_loads<'a>(
    state: &'a state::State,
    group: &model::GroupId,
    loads: &BTreeMap<model::Shard, f64>,
    elsewhere: &BTreeMap<model::TargetName, f64>,
) -> Vec<TargetLoad<'a>> {
    let sanitize = |load: Option<&f64>| {
        let load = load.copied().unwrap_or_default();
        if load.is_finite() { load.max(0.0) } else { 0.0 }
    };
    let candidates = state.candidates(group).into_iter();
    let mut targets: BTreeMap<_, _> = candidates
        .map(|target| {
            let loaded = TargetLoad {
                name: &target.name,
                load: sanitize(elsewhere.get(&target.name)),
                shards: Vec::new(),
            };
            (&target.name, loaded)
        })
        .collect();
    let shards = state.groups.get(group).into_iter().flat_map(|g| g.iter());
    for (shard, owner) in shards {
        let target = owner.and_then(|owner| targets.get_mut(&owner.target));
        if let Some(target) = target {
            let load = sanitize(loads.get(&shard));
            target.load += load;
            target.shards.push((load, shard));
        }
    }
    let mut targets: Vec<_> = targets.into_values().collect();
    for target in &mut targets {
        target
            .shards
            .sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    }
    targets
}

/// Moves shards from `donor` to the least loaded targets until it is at `goal`.
fn offload(
    targets: &mut [TargetLoad<'_>],
    donor: &model::TargetName,
    goal: f64,
    moves: &mut Moves,
) {
    let Some(from) = targets.iter().position(|target| target.name == donor) else {
        return;
    };
    while targets[from].load > goal && targets[from].shards.len() > 1 {
        let others = (0..targets.len()).filter(|&i| i != from);
        let to = others.min_by(|&a, &b| targets[a].load.total_cmp(&targets[b].load));
        let Some(to) = to else {
            return;
        };
        let Some(index) = targets[from].choose(&targets[to], goal) else {
            return;
        };
        let (load, shard) = targets[from].shards.remove(index);
        targets[from].load -= load;
        targets[to].load += load;
        moves.add(donor, targets[to].name, [shard]);
    }
}
