//! Placement: decides which shards move to which targets.
//!
//! Every result depends only on a state and the arguments. Daemons with the
//! same state therefore decide alike, and don't move shards to the same target
//! twice.

mod hot;
mod join;
mod load;
mod spread;

use std::collections::BTreeMap;

use crate::model;

pub use hot::{HotKeys, PINNED_LIMIT, hot_keys};
pub use join::Joins;
pub use load::{IMBALANCE_GOAL, IMBALANCE_LIMIT, rebalance};
pub use spread::{evacuate, fill, initial};

/// Shards of a group that are to move from one target to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// Placement group.
    pub group: model::GroupId,
    /// Shards to move.
    pub shards: model::ShardSet,
    /// Current owner.
    pub from: model::TargetName,
    /// New owner.
    pub to: model::TargetName,
}

/// Splits transfers into batches of at most `size` shards, in the same order.
pub fn batches(transfers: &[Transfer], size: usize) -> Vec<Transfer> {
    let mut batches = Vec::new();
    for transfer in transfers {
        let shards: Vec<_> = transfer.shards.iter().collect();
        let chunks = shards.chunks(size.max(1));
        batches.extend(chunks.map(|chunk| Transfer {
            shards: chunk.iter().copied().collect(),
            ..transfer.clone()
        }));
    }
    batches
}

/// Moves of single shards, collected by source and receiver.
#[derive(Default)]
struct Moves(BTreeMap<(model::TargetName, model::TargetName), Vec<model::Shard>>);

impl Moves {
    /// Adds the moves of shards from one target to another.
    fn add(
        &mut self,
        from: &model::TargetName,
        to: &model::TargetName,
        shards: impl IntoIterator<Item = model::Shard>,
    ) {
        let key = (from.clone(), to.clone());
        self.0.entry(key).or_default().extend(shards);
    }

    /// Returns one transfer for each pair of source and receiver, ordered by pair.
    fn into_transfers(self, group: &model::GroupId) -> Vec<Transfer> {
        let moves = self.0.into_iter().filter(|(_, shards)| !shards.is_empty());
        let transfers = moves.map(|((from, to), shards)| Transfer {
            group: group.clone(),
            shards: shards.into_iter().collect(),
            from,
            to,
        });
        transfers.collect()
    }
}
