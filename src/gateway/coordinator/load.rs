//! Smoothing of the load that one daemon reports.

use std::collections::BTreeMap;

use crate::clock;

/// Time in which the weight of earlier figures halves.
const HALF_LIFE_MS: f64 = 500.0;
/// Factor of change of a bucket's work above which the new figure is used without
/// smoothing: with noise of 30%, a figure differs from a smoothed one by a factor of up
/// to 1.86.
const STEP_FACTOR: f32 = 2.0;
/// Work below which a bucket is dropped.
const MIN_WORK_MS_PER_S: f32 = 0.01;

/// Smoothed work of one daemon's buckets, in milliseconds of processing per
/// second.
#[derive(Clone, Debug)]
pub struct Load {
    /// Time of the last report.
    pub updated_at: clock::Millis,
    buckets: BTreeMap<u16, f32>,
}

impl Load {
    /// Stores the figures of a first report.
    pub fn new(now: clock::Millis, figures: Vec<(u16, f32)>) -> Self {
        Self {
            updated_at: now,
            buckets: figures.into_iter().collect(),
        }
    }

    /// Adds a later report. The work of buckets that it lacks decays, since a report may
    /// contain only the busiest ones.
    pub fn update(&mut self, now: clock::Millis, figures: Vec<(u16, f32)>) {
        let age = now.since(self.updated_at) as f64;
        let weight = 0.5_f64.powf(age / HALF_LIFE_MS) as f32;
        let mut buckets: BTreeMap<u16, f32> = figures.into_iter().collect();
        for (&bucket, &previous) in &self.buckets {
            let work = buckets.entry(bucket).or_default();
            let is_noise =
                *work == 0.0 || (previous / STEP_FACTOR..=previous * STEP_FACTOR).contains(work);
            if is_noise {
                *work += (previous - *work) * weight;
            }
        }
        buckets.retain(|_, work| *work >= MIN_WORK_MS_PER_S);
        self.buckets = buckets;
        self.updated_at = now;
    }

    /// Iterates over the buckets with their smoothed work.
    pub fn figures(&self) -> impl Iterator<Item = (u16, f32)> + '_ {
        self.buckets.iter().map(|(&bucket, &work)| (bucket, work))
    }
}
