//! Running requests, and which of them delay the move of blocked shards.

use std::sync::Arc;

use crate::clock;
use crate::model;
use crate::target::admission::{Block, Place, Ticket};

/// An admitted request that has not ended.
#[derive(Debug)]
pub struct Running {
    /// Number of the request.
    pub ticket: Ticket,
    /// Shard and key of the request; `None` for shared services.
    pub place: Option<Place>,
    /// Number of limit resets before the request was admitted.
    pub generation: u64,
    /// Request identifier at the target, once it is known.
    pub tag: Option<Arc<str>>,
    /// Set once the caller no longer waits for the response.
    pub given_up: Option<GivenUp>,
}

/// Times of a request that was given up while the target may still run it.
#[derive(Clone, Copy, Debug)]
pub struct GivenUp {
    /// Time at which the request was given up.
    pub since: clock::Millis,
    /// Time by which the target has ended the request.
    pub until: clock::Millis,
}

/// A set of shards for which requests are refused.
#[derive(Debug)]
pub struct Blocked {
    /// Number of the set.
    pub block: Block,
    /// Placement group.
    pub group: model::GroupId,
    /// Blocked shards.
    pub shards: model::ShardSet,
}

impl Blocked {
    /// Returns whether new requests at `place` are refused.
    pub fn covers(&self, place: Option<&Place>) -> bool {
        place.is_some_and(|place| *place.group == self.group && contains(&self.shards, place.shard))
    }

    /// Returns whether a running request must end before the shards may move.
    ///
    /// A request admitted before the block counts for both its key's pinned
    /// shard and its hash shard: the key may have been pinned or unpinned since.
    /// A later request was admitted under its current shard, and a request for
    /// a pinned key must not delay the move of the key's hash shard.
    pub fn delays_move(&self, request: &Running) -> bool {
        let admitted_before = request.ticket.0 < self.block.0;
        self.covers(request.place.as_ref())
            || (admitted_before && self.involves_key(request.place.as_ref()))
    }

    fn involves_key(&self, place: Option<&Place>) -> bool {
        place.is_some_and(|place| {
            let shards = [
                model::Shard::Pinned(place.key),
                model::Shard::Range(place.home),
            ];
            *place.group == self.group && shards.iter().any(|&shard| contains(&self.shards, shard))
        })
    }
}

fn contains(set: &model::ShardSet, shard: model::Shard) -> bool {
    match shard {
        model::Shard::Range(n) => {
            let after = set.ranges.partition_point(|&(first, _)| first <= n);
            after > 0 && n <= set.ranges[after - 1].1
        }
        model::Shard::Pinned(hash) => set.pinned.binary_search(&hash).is_ok(),
    }
}
