//! Decisions on the shards that move away from a target; pure.

use crate::model;
use crate::placement;
use crate::state;

/// Splits transfers so that shards on which requests run come last and by
/// themselves: a lost target may go on with them until their deadlines, and
/// the other shards need not wait for that.
pub fn idle_first(
    transfers: Vec<placement::Transfer>,
    has_running: impl Fn(&placement::Transfer) -> bool,
) -> Vec<placement::Transfer> {
    let mut idle = Vec::new();
    let mut busy = Vec::new();
    let mut open = transfers;
    while let Some(transfer) = open.pop() {
        if !has_running(&transfer) {
            idle.push(transfer);
        } else if transfer.shards.len() <= 1 {
            busy.push(transfer);
        } else {
            let half = transfer.shards.len().div_ceil(2);
            open.extend(placement::batches(&[transfer], half));
        }
    }
    idle.extend(busy);
    idle
}

/// Returns whether the shards of a target must leave it.
pub fn is_needed(state: &state::State, target: &model::TargetName, lost: bool) -> bool {
    lost || !state.takes_work(target)
}

/// Returns the pinned keys that have a shard, or their hash shard, in `shards`.
pub fn pins(
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
