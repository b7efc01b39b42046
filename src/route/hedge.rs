//! Hedge delay: the 95th percentile of a service's recent response times.

use std::time::Duration;

use parking_lot::Mutex;

use crate::clock;

/// Fraction of responses that arrive within the hedge delay.
pub const QUANTILE: f64 = 0.95;

/// Time in which the weight of a response halves.
const HALF_LIFE_MS: f64 = 10_000.0;

/// Total weight, in new responses, below which no delay is computed.
const MIN_WEIGHT: f64 = 20.0;

/// Time for which a computed delay is reused.
const CACHE_VALIDITY_MS: u64 = 50;

/// Number of buckets; they reach from 50 µs to 100 s.
const BUCKETS: usize = 168;

/// Buckets for each doubling of the response time.
const BUCKETS_PER_OCTAVE: f64 = 8.0;

/// Lower bound of the first bucket.
const FIRST_BUCKET_US: f64 = 50.0;

/// Weight of a new response above which all weights are scaled down, so that
/// they stay far from the limits of `f64`.
const MAX_NEW_WEIGHT: f64 = 1e12;

const US_PER_S: f64 = 1e6;

#[derive(Debug)]
struct Histogram {
    weights: [f64; BUCKETS],
    total: f64,
    /// Weight of a response that is recorded now.
    new_weight: f64,
    decayed_at: clock::Millis,
    cached: Option<(clock::Millis, Duration)>,
}

/// Histogram of one service's response times, in which old ones lose weight.
#[derive(Debug)]
pub struct Delay {
    histogram: Mutex<Histogram>,
}

impl Delay {
    /// Returns an empty histogram.
    pub fn new(now: clock::Millis) -> Self {
        Self {
            histogram: Mutex::new(Histogram {
                weights: [0.0; BUCKETS],
                total: 0.0,
                new_weight: 1.0,
                decayed_at: now,
                cached: None,
            }),
        }
    }

    /// Records a response that arrived after `elapsed`.
    pub fn record(&self, now: clock::Millis, elapsed: Duration) {
        let mut histogram = self.histogram.lock();
        histogram.decay(now);
        let weight = histogram.new_weight;
        histogram.weights[bucket_index(elapsed)] += weight;
        histogram.total += weight;
    }

    /// Returns the time after which a hedge may start, or `None` if too few
    /// responses were recorded recently.
    pub fn get(&self, now: clock::Millis) -> Option<Duration> {
        let mut histogram = self.histogram.lock();
        if let Some((at, delay)) = histogram.cached
            && now.since(at) < CACHE_VALIDITY_MS
        {
            return Some(delay);
        }
        histogram.decay(now);
        let delay = histogram.quantile()?;
        histogram.cached = Some((now, delay));
        Some(delay)
    }
}

impl Histogram {
    /// Lets recorded responses decay by raising the weight of new ones, which is
    /// cheaper than lowering all weights.
    fn decay(&mut self, now: clock::Millis) {
        let elapsed_ms = now.since(self.decayed_at);
        if elapsed_ms == 0 {
            return;
        }
        self.decayed_at = self.decayed_at.max(now);
        self.new_weight *= (elapsed_ms as f64 / HALF_LIFE_MS).exp2();
        if self.new_weight > MAX_NEW_WEIGHT {
            let scale = std::mem::replace(&mut self.new_weight, 1.0);
            self.weights.iter_mut().for_each(|weight| *weight /= scale);
            self.total /= scale;
        }
    }

    /// Returns the upper bound of the bucket with the quantile, if the weight suffices.
    fn quantile(&self) -> Option<Duration> {
        if self.total < MIN_WEIGHT * self.new_weight {
            return None;
        }
        let mut remaining = self.total * QUANTILE;
        let index = self.weights.iter().position(|weight| {
            remaining -= weight;
            remaining <= 0.0
        });
        let upper = index.unwrap_or(BUCKETS - 1) + 1;
        let us = FIRST_BUCKET_US * (upper as f64 / BUCKETS_PER_OCTAVE).exp2();
        Some(Duration::from_micros(us as u64))
    }
}

fn bucket_index(elapsed: Duration) -> usize {
    let us = elapsed.as_secs_f64() * US_PER_S;
    let octaves = (us / FIRST_BUCKET_US).max(1.0).log2();
    ((octaves * BUCKETS_PER_OCTAVE) as usize).min(BUCKETS - 1)
}
