//! Request rates at a lease holder, by shard and by key for the hottest keys.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use parking_lot::Mutex;

use crate::clock;
use crate::model;

/// Keys counted for one placement group. This exceeds the number of keys that are
/// ever pinned, so that a newly hot key displaces a cold one.
const MAX_KEYS: usize = 256;

/// One request out of this many is counted by key.
const KEY_SAMPLE_INTERVAL: u64 = 4;

/// Time after which a request's weight in the smoothed rates has halved.
const HALF_LIFE_MS: f64 = 5_000.0;

/// Time for which requests must have been counted before a rate is reported.
const MIN_AGE_MS: u64 = 10_000;

/// Smoothed rate of a shard below which it is dropped.
const MIN_RATE_PER_S: f64 = 0.01;

const MS_PER_S: f64 = 1_000.0;

/// Returns the fraction of a rate's weight that remains after `ms` milliseconds.
fn decay(ms: u64) -> f64 {
    (-(ms as f64) / HALF_LIFE_MS).exp2()
}

/// Counts of one placement group in the current window.
#[derive(Default)]
struct Counts {
    shards: HashMap<model::Shard, u64>,
    keys: HashMap<model::KeyHash, u64>,
    total: u64,
}

impl Counts {
    /// Counts a key by the space-saving algorithm: a new key inherits the count of
    /// the least counted one, so that a hot key is never missed.
    fn add_key(&mut self, key: model::KeyHash) {
        if let Some(count) = self.keys.get_mut(&key) {
            *count += KEY_SAMPLE_INTERVAL;
            return;
        }
        let mut inherited = 0;
        if self.keys.len() >= MAX_KEYS {
            let least = self.keys.iter().min_by_key(|(_, count)| **count);
            if let Some((least, count)) = least.map(|(key, count)| (*key, *count)) {
                self.keys.remove(&least);
                inherited = count;
            }
        }
        self.keys.insert(key, inherited + KEY_SAMPLE_INTERVAL);
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
    /// Smoothed requests per second up to the start of the window.
    rate: f64,
    /// Requests of the current window.
    window_requests: u64,
    /// Start of the current window.
    window_start: clock::Millis,
    /// Time since which requests are counted.
    counted_since: clock::Millis,
}

impl Inner {
    /// Returns the smoothed rate including the requests of the current window.
    fn rate_at(&self, now: clock::Millis) -> f64 {
        let elapsed_ms = now.since(self.window_start);
        let remaining = decay(elapsed_ms);
        let current = self.window_requests as f64 * MS_PER_S / elapsed_ms.max(1) as f64;
        self.rate * remaining + current * (1.0 - remaining)
    }

    /// Returns the factor that corrects for the time before counting began, which
    /// the smoothing treats as time without requests.
    fn correction(&self, now: clock::Millis) -> f64 {
        1.0 / (1.0 - decay(now.since(self.counted_since).max(1)))
    }
}

/// Request counts and rates of one target.
pub struct Load {
    inner: Mutex<Inner>,
}

impl Load {
    /// Returns an empty count that begins at `now`.
    pub fn new(now: clock::Millis) -> Self {
        let inner = Inner {
            counts: HashMap::new(),
            rates: BTreeMap::new(),
            rate: 0.0,
            window_requests: 0,
            window_start: now,
            counted_since: now,
        };
        Self {
            inner: Mutex::new(inner),
        }
    }

    /// Counts an admitted request.
    pub fn note(
        &self,
        group: &Arc<model::GroupId>,
        shard: Option<model::Shard>,
        key: Option<model::KeyHash>,
    ) {
        let mut inner = self.inner.lock();
        inner.window_requests += 1;
        let Some(shard) = shard else { return };
        let sampled = inner.window_requests.is_multiple_of(KEY_SAMPLE_INTERVAL);
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

    /// Ends the window at `now` and updates the smoothed rates.
    pub fn roll(&self, now: clock::Millis) {
        let mut inner = self.inner.lock();
        inner.rate = inner.rate_at(now);
        let elapsed_ms = now.since(inner.window_start).max(1);
        let remaining = decay(elapsed_ms);
        let seconds = elapsed_ms as f64 / MS_PER_S;
        inner.window_start = now;
        inner.window_requests = 0;
        let counts = std::mem::take(&mut inner.counts);
        for rates in inner.rates.values_mut() {
            rates
                .shards
                .values_mut()
                .for_each(|rate| *rate *= remaining);
            rates.shards.retain(|_, rate| *rate > MIN_RATE_PER_S);
            rates.keys.clear();
            rates.total = 0;
        }
        for (group, counts) in counts {
            let rates = inner.rates.entry((*group).clone()).or_default();
            for (shard, count) in counts.shards {
                *rates.shards.entry(shard).or_default() +=
                    (1.0 - remaining) * count as f64 / seconds;
            }
            rates.keys = counts.keys.into_iter().collect();
            rates.total = counts.total;
        }
    }

    /// Returns the smoothed requests per second to the target up to `now`, or
    /// `None` while they have been counted for less than `MIN_AGE_MS`.
    ///
    /// Holders compare these rates, and their windows end at different times.
    /// Without the requests of the current window, a change of the load of all
    /// targets would appear as a difference between them.
    pub fn rate(&self, now: clock::Millis) -> Option<f64> {
        let inner = self.inner.lock();
        let is_valid = now.since(inner.counted_since) >= MIN_AGE_MS;
        is_valid.then(|| inner.rate_at(now) * inner.correction(now))
    }

    /// Returns the rates of each placement group at the end of the last window.
    pub fn rates(&self) -> BTreeMap<model::GroupId, Rates> {
        let inner = self.inner.lock();
        let correction = inner.correction(inner.window_start);
        let mut groups = inner.rates.clone();
        for rates in groups.values_mut() {
            let shards = rates.shards.values_mut();
            shards.for_each(|rate| *rate *= correction);
        }
        groups
    }
}
