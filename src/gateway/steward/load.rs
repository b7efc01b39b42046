//! Load as one daemon reports it, without noise.

use std::collections::BTreeMap;

use crate::clock;

/// Time in which the weight of earlier figures halves, in milliseconds.
const HALVING: f64 = 500.0;
/// Factor from which a change of a bucket's work is no noise and counts at
/// once: with noise of 30%, a figure differs from a smoothed one by up to 1.86.
const STEP: f32 = 2.0;
/// Work below which a bucket is dropped, in milliseconds per second.
const LEAST: f32 = 0.01;

/// Smoothed work of one daemon's buckets, in milliseconds of processing per
/// second.
#[derive(Clone, Debug)]
pub struct Load {
    /// Time of the last report.
    pub at: clock::Millis,
    buckets: BTreeMap<u16, f32>,
}

impl Load {
    /// Returns the figures of a first report.
    pub fn new(now: clock::Millis, figures: Vec<(u16, f32)>) -> Self {
        Self {
            at: now,
            buckets: figures.into_iter().collect(),
        }
    }

    /// Takes a later report. Buckets that it lacks fade, since a report may
    /// hold only the busiest ones.
    pub fn update(&mut self, now: clock::Millis, figures: Vec<(u16, f32)>) {
        let age = now.since(self.at) as f64;
        let old = 0.5_f64.powf(age / HALVING) as f32;
        let mut buckets: BTreeMap<u16, f32> = figures.into_iter().collect();
        for (&bucket, &before) in &self.buckets {
            let work = buckets.entry(bucket).or_default();
            let noise = *work == 0.0 || (before / STEP..=before * STEP).contains(work);
            if noise {
                *work += (before - *work) * old;
            }
        }
        buckets.retain(|_, work| *work >= LEAST);
        self.buckets = buckets;
        self.at = now;
    }

    /// Returns buckets with their work.
    pub fn figures(&self) -> impl Iterator<Item = (u16, f32)> + '_ {
        self.buckets.iter().map(|(&bucket, &work)| (bucket, work))
    }
}
