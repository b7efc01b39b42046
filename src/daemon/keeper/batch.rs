//! Decisions on the shards that move away from a target. All functions are pure.

use crate::model;
use crate::placement;
use crate::state;

/// Splits transfers so that each shard with running requests gets a transfer of
/// its own, after all others. A lost target may continue those requests until
/// their deadlines, and the other shards need not wait for that.
pub fn idle_first(
    transfers: Vec<placement::Transfer>,
    has_running: impl Fn(&placement::Transfer) -> bool,
) -> Vec<placement::Transfer> {
    let mut idle = Vec::new();
    let mut busy = Vec::new();
    let mut pending = transfers;
    while let Some(transfer) = pending.pop() {
        if !has_running(&transfer) {
            idle.push(transfer);
        } else if transfer.shards.len() <= 1 {
            busy.push(transfer);
        } else {
            let half = transfer.shards.len().div_ceil(2);
            pending.extend(placement::batches(&[transfer], half));
        }
    }
    idle.extend(busy);
    idle
}

/// Returns whether all shards must move away from a target, because it is lost
/// or must take no work.
pub fn must_evacuate(state: &state::State, target: &model::TargetName, lost: bool) -> bool {
    lost || !state.takes_work(target)
}

/// Returns the pinned keys whose pinned shard or hash shard is in `shards`.
pub fn affected_pins(
    state: &state::State,
    group: &model::GroupId,
    shards: &model::ShardSet,
) -> Vec<model::KeyHash> {
    let Some(table) = state.groups.get(group) else {
        return Vec::new();
    };
    let count = table.shards.len() as u32;
    let moves = |key: &model::KeyHash| {
        let home = model::Shard::Range(key.shard(count));
        let mut moving = shards.iter();
        moving.any(|shard| shard == home || shard == model::Shard::Pinned(*key))
    };
    table.pinned.keys().copied().filter(moves).collect()
}
