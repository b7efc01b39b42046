//! Hot keys: which keys are pinned, that is, get their own shard.

use std::collections::{BTreeMap, BTreeSet};

use crate::model;

/// Largest number of hot keys that a group pins, as the growth target states it.
pub const PINNED_LIMIT: usize = 53;

/// A key is pinned if it has at least this many times the requests of the mean shard.
const PIN_FACTOR: f64 = 2.0;

/// A pinned key is unpinned if it has less than this many times the requests of
/// the mean shard. The distance to [`PIN_FACTOR`] keeps keys from being pinned
/// and unpinned alternately.
const UNPIN_FACTOR: f64 = 0.5;

/// A key replaces a pinned one if it has at least this many times its requests.
const REPLACE_FACTOR: f64 = 2.0;

/// Fewest requests, of a key or in total, that are distinguished from noise.
const MIN_REQUESTS: u64 = 32;

/// Keys to pin and keys to unpin.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HotKeys {
    /// Keys to pin, hottest first.
    pub pins: Vec<model::KeyHash>,
    /// Keys to unpin, ascending.
    pub unpins: Vec<model::KeyHash>,
}

/// Decides which keys of a group to pin and unpin.
///
/// `counts` has the number of requests of keys, at least of the hottest and of
/// the pinned ones; `total` is the number of all requests over the same time,
/// and `shards` the group's number of hash shards. At most `limit` keys are
/// pinned afterwards, unless more are pinned already and still hot.
pub fn hot_keys(
    counts: &BTreeMap<model::KeyHash, u64>,
    pinned: &BTreeSet<model::KeyHash>,
    total: u64,
    shards: u32,
    limit: usize,
) -> HotKeys {
    let mean = total as f64 / f64::from(shards.max(1));
    if total < MIN_REQUESTS {
        return HotKeys::default();
    }
    let count = |key: &model::KeyHash| counts.get(key).copied().unwrap_or_default();
    let is_cold = |key: &&model::KeyHash| (count(key) as f64) < mean * UNPIN_FACTOR;
    let (cold, mut retained): (Vec<&model::KeyHash>, Vec<&model::KeyHash>) =
        pinned.iter().partition(is_cold);
    retained.sort_by_key(|key| (count(key), **key));
    let mut hot: Vec<_> = counts
        .iter()
        .filter(|(key, _)| !pinned.contains(key))
        .filter(|(_, n)| **n >= MIN_REQUESTS && **n as f64 >= mean * PIN_FACTOR)
        .collect();
    hot.sort_by_key(|(key, n)| (std::cmp::Reverse(**n), **key));
    let mut unpins: BTreeSet<_> = cold.into_iter().copied().collect();
    let mut pins = Vec::new();
    let mut coldest = retained.iter();
    let mut free = limit.saturating_sub(retained.len());
    for (key, n) in hot {
        if free == 0 {
            let Some(victim) = coldest.next() else { break };
            if (*n as f64) < count(victim) as f64 * REPLACE_FACTOR {
                break;
            }
            unpins.insert(**victim);
            free += 1;
        }
        free -= 1;
        pins.push(*key);
    }
    HotKeys {
        pins,
        unpins: unpins.into_iter().collect(),
    }
}
