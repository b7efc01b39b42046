//! Requests counted at a lease holder: by shard, and by key for the hottest ones.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use parking_lot::Mutex;

use crate::clock;
use crate::model;

/// Keys counted for one placement group; more than are ever pinned, so that a
/// newly hot key displaces a cold one.
const KEYS: usize = 256;

/// One request in this many is counted by key.
const KEY_SAMPLE: u64 = 4;

/// Time after which a request counts half in the smoothed rates, in milliseconds.
const HALF_LIFE: f64 = 5_000.0;

/// Time for which requests are counted before the rates say anything, in
/// milliseconds.
const LEAST_AGE: u64 = 10_000;

/// Returns the part that is left of a rate after `millis`.
fn left_after(millis: u64) -> f64 {
    (-(millis as f64) / HALF_LIFE).exp2()
}

/// Counts of one placement group since the last window.
#[derive(Default)]
struct Counts {
    shards: HashMap<model::Shard, u64>,
    keys: HashMap<model::KeyHash, u64>,
    total: u64,
}

impl Counts {
    /// Counts a key; a new one takes over the count of the least counted key,
    /// so that a hot key is never missed (space-saving counters).
    fn add_key(&mut self, key: model::KeyHash) {
        if let Some(count) = self.keys.get_mut(&key) {
            *count += KEY_SAMPLE;
            return;
        }
        let mut base = 0;
        if self.keys.len() >= KEYS {
            let least = self.keys.iter().min_by_key(|(_, count)| **count);
            if let Some((least, count)) = least.map(|(key, count)| (*key, *count)) {
                self.keys.remove(&least);
                base = count;
            }
        }
        self.keys.insert(key, base + KEY_SAMPLE);
    }
}

/// Rates of one placement group at one target.
#[derive(Clone, Debug, Default)]
pub struct Rates {
    /// Smoothed requests per second of each shard.
    pub shards: BTreeMap<model::Shard, f64>,
    /// Requests of the last window by key; an upper bound for all but the hottest.
    pub keys: BTreeMap<model::KeyHash, u64>,
    /// Requests of the last window.
    pub total: u64,
}

struct Inner {
    counts: HashMap<Arc<model::GroupId>, Counts>,
    rates: BTreeMap<model::GroupId, Rates>,
    rate: f64,
    window: u64,
    /// Start of the window.
    start: clock::Millis,
    /// Time from which on requests are counted.
    birth: clock::Millis,
}

impl Inner {
    /// Returns the smoothed rate with the requests counted since the start of
    /// the window.
    fn rate_at(&self, now: clock::Millis) -> f64 {
        let elapsed = now.since(self.start);
        let left = left_after(elapsed);
        let newest = self.window as f64 * 1_000.0 / elapsed.max(1) as f64;
        self.rate * left + newest * (1.0 - left)
    }

    /// Returns the factor that makes up for the time before the first request
    /// was counted, which is smoothed in as if there had been none.
    fn correction(&self, now: clock::Millis) -> f64 {
        1.0 / (1.0 - left_after(now.since(self.birth).max(1)))
    }
}

/// Requests counted for one target.
pub struct Load {
    inner: Mutex<Inner>,
}

impl Load {
    /// Starts to count at `now`.
    pub fn new(now: clock::Millis) -> Self {
        let inner = Inner {
            counts: HashMap::new(),
            rates: BTreeMap::new(),
            rate: 0.0,
            window: 0,
            start: now,
            birth: now,
        };
        Self {
            inner: Mutex::new(inner),
        }
    }

    /// Counts a request that was admitted.
    pub fn note(
        &self,
        group: &Arc<model::GroupId>,
        shard: Option<model::Shard>,
        key: Option<model::KeyHash>,
    ) {
        let mut inner = self.inner.lock();
        inner.window += 1;
        let Some(shard) = shard else { return };
        let sampled = inner.window.is_multiple_of(KEY_SAMPLE);
        let counts = match inner.counts.get_mut(group) {
            Some(counts) => counts,
            None => inner.counts.entry(group.clone()).or_default(),
        };
        counts.total += 1;
        *counts.shards.entry(shard).or_default() += 1;
        if let (Some(key), true) = (key, sampled) {
            counts.add_key(key);
        }
    }

    /// Closes the window that ends now and smooths the rates.
    pub fn roll(&self, now: clock::Millis) {
        let mut inner = self.inner.lock();
        inner.rate = inner.rate_at(now);
        let elapsed = now.since(inner.start).max(1);
        let left = left_after(elapsed);
        let seconds = elapsed as f64 / 1_000.0;
        inner.start = now;
        inner.window = 0;
        let counts = std::mem::take(&mut inner.counts);
        for rates in inner.rates.values_mut() {
            rates.shards.values_mut().for_each(|rate| *rate *= left);
            rates.shards.retain(|_, rate| *rate > 0.01);
            rates.keys.clear();
            rates.total = 0;
        }
        for (group, counts) in counts {
            let rates = inner.rates.entry((*group).clone()).or_default();
            for (shard, count) in counts.shards {
                *rates.shards.entry(shard).or_default() += (1.0 - left) * count as f64 / seconds;
            }
            rates.keys = counts.keys.into_iter().collect();
            rates.total = counts.total;
        }
    }

    /// Returns the smoothed requests per second to the target, up to `now`,
    /// once they have been counted for long enough.
    ///
    /// Holders compare these rates, and their windows end at different times:
    /// without the requests of the open window, a change of the load that all
    /// targets share would show as a difference between them.
    pub fn rate(&self, now: clock::Millis) -> Option<f64> {
        let inner = self.inner.lock();
        let is_known = now.since(inner.birth) >= LEAST_AGE;
        is_known.then(|| inner.rate_at(now) * inner.correction(now))
    }

    /// Returns the rates of each placement group at the end of the last window.
    pub fn rates(&self) -> BTreeMap<model::GroupId, Rates> {
        let inner = self.inner.lock();
        let correction = inner.correction(inner.start);
        let mut groups = inner.rates.clone();
        for rates in groups.values_mut() {
            let shards = rates.shards.values_mut();
            shards.for_each(|rate| *rate *= correction);
        }
        groups
    }
}
