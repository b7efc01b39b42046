//! Choice of a target for requests that any target of the service can serve.
//!
//! [`Table`] keeps this daemon's statistics of each target; a target's lock is
//! held briefly. Reported queue lengths are only hints: they lag and can be wrong.

mod stats;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use parking_lot::RwLock;
use rand::Rng;

pub use self::stats::{Outcome, View};
use crate::clock;
use crate::model;
use crate::route::choice::stats::Stats;
use crate::settings;

/// Multiple of the candidates' median response time above which a target is an outlier.
pub const OUTLIER_FACTOR: f64 = 3.0;

/// Minimum time between probes of an outlier.
pub const PROBE_INTERVAL_MS: u64 = 1_000;

/// Time after which the excess of a target's response time over the median has
/// decayed to 1/e if no response arrives. Without this decay, an idle target that
/// was slow once would never be chosen again.
const EXCESS_DECAY_MS: f64 = 5_000.0;

/// Outstanding and queued requests per slot from which a target is saturated.
const SATURATED_PER_SLOT: u32 = 2;

/// Response time assumed while no candidate has responded.
const DEFAULT_TIME_MS: f64 = 1.0;

/// A target that may serve a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the target.
    pub name: model::TargetName,
    /// Whether the target is in this daemon's region.
    pub local: bool,
    /// Requests that it serves concurrently.
    pub concurrency: u32,
}

/// Statistics of all targets of shared services.
#[derive(Debug, Default)]
pub struct Table {
    targets: RwLock<HashMap<model::TargetName, Arc<Stats>>>,
    /// Number of the next round-robin choice.
    next: AtomicUsize,
}

/// A candidate with its statistics and the response time it is compared by.
struct Rated<'c> {
    candidate: &'c Candidate,
    stats: Arc<Stats>,
    view: View,
    time_ms: f64,
}

impl Rated<'_> {
    /// Returns the expected response time of one more request; lower is better.
    fn score(&self) -> f64 {
        // A report can be seconds old, so it counts for at most as many requests
        // as the target serves concurrently.
        let queued = self.view.queued.min(self.candidate.concurrency);
        f64::from(self.view.outstanding + queued + 1) * self.time_ms
    }

    fn is_saturated(&self, now: clock::Millis) -> bool {
        let load = self.view.outstanding + self.view.queued;
        self.view.shed_until > now || load >= self.candidate.concurrency * SATURATED_PER_SLOT
    }
}

impl Table {
    /// Returns an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Chooses a target and counts a request to it, or returns `None` if no
    /// target of `candidates` remains without those in `exclude`.
    ///
    /// Local targets are preferred unless all of them are saturated.
    pub fn choose(
        &self,
        candidates: &[Candidate],
        policy: settings::Choice,
        rng: &mut impl Rng,
        now: clock::Millis,
        exclude: &[model::TargetName],
    ) -> Option<Running> {
        let mut rated = self.rated(candidates, now, exclude);
        if rated
            .iter()
            .any(|rated| rated.candidate.local && !rated.is_saturated(now))
        {
            rated.retain(|rated| rated.candidate.local);
        }
        let median = adjust_times(&mut rated, now);
        if policy == settings::Choice::RoundRobin {
            return self.round_robin(&rated, now);
        }
        for rated in rated
            .iter()
            .filter(|rated| rated.time_ms > OUTLIER_FACTOR * median)
        {
            if rated.stats.start_probe(now) {
                return Some(Running::new(rated));
            }
        }
        let is_eligible = |rated: &Rated| {
            rated.time_ms <= OUTLIER_FACTOR * median
                && !rated.is_saturated(now)
                && rated.view.allows_request(rated.candidate, now)
        };
        let pool: Vec<&Rated> = rated.iter().filter(|rated| is_eligible(rated)).collect();
        // If no target is eligible, the load is spread over all but the outliers.
        let pool = match pool.is_empty() {
            true => rated
                .iter()
                .filter(|rated| rated.time_ms <= OUTLIER_FACTOR * median)
                .collect(),
            false => pool,
        };
        let chosen = match policy {
            settings::Choice::LeastOutstanding => least_outstanding(&pool, rng),
            _ => two_choices(&pool, rng),
        }?;
        chosen.stats.start(now);
        Some(Running::new(chosen))
    }

    fn round_robin(&self, rated: &[Rated], now: clock::Millis) -> Option<Running> {
        if rated.is_empty() {
            return None;
        }
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let chosen = &rated[number % rated.len()];
        chosen.stats.start(now);
        Some(Running::new(chosen))
    }

    /// Stores the queue length that a target reported.
    pub fn report(&self, target: &model::TargetName, queued: u32, now: clock::Millis) {
        self.stats(target, now).report(queued, now);
    }

    /// Returns the statistics of a target at `now`.
    pub fn view(&self, target: &model::TargetName, now: clock::Millis) -> View {
        self.stats(target, now).view(now)
    }

    /// Removes the statistics of all targets for which `keep` returns `false`.
    pub fn retain(&self, keep: impl Fn(&model::TargetName) -> bool) {
        self.targets.write().retain(|name, _| keep(name));
    }

    fn rated<'c>(
        &self,
        candidates: &'c [Candidate],
        now: clock::Millis,
        exclude: &[model::TargetName],
    ) -> Vec<Rated<'c>> {
        let remaining = candidates.iter().filter(|c| !exclude.contains(&c.name));
        remaining
            .map(|candidate| {
                let stats = self.stats(&candidate.name, now);
                let view = stats.view(now);
                let time_ms = view.time_ms.unwrap_or_default();
                Rated {
                    candidate,
                    stats,
                    view,
                    time_ms,
                }
            })
            .collect()
    }

    fn stats(&self, target: &model::TargetName, now: clock::Millis) -> Arc<Stats> {
        if let Some(stats) = self.targets.read().get(target) {
            return stats.clone();
        }
        let mut targets = self.targets.write();
        let stats = targets.entry(target.clone());
        stats.or_insert_with(|| Arc::new(Stats::new(now))).clone()
    }
}

/// Sets the response times by which candidates are compared, and returns their median.
///
/// Targets without responses get the median. The excess of a target that is
/// slower than the median, but no outlier, decays while it is idle.
fn adjust_times(rated: &mut [Rated], now: clock::Millis) -> f64 {
    let mut times: Vec<f64> = rated
        .iter()
        .filter_map(|rated| rated.view.time_ms)
        .collect();
    let middle = times.len().saturating_sub(1) / 2;
    let median = match times.is_empty() {
        true => DEFAULT_TIME_MS,
        false => *times.select_nth_unstable_by(middle, f64::total_cmp).1,
    };
    for rated in rated.iter_mut() {
        let Some(time_ms) = rated.view.time_ms else {
            rated.time_ms = median;
            continue;
        };
        if time_ms > median && time_ms <= OUTLIER_FACTOR * median {
            let idle_ms = now.since(rated.view.sampled_at) as f64;
            rated.time_ms = median + (time_ms - median) * (-idle_ms / EXCESS_DECAY_MS).exp();
        }
    }
    median
}

/// Returns the better of two random targets.
fn two_choices<'k, 'c>(pool: &[&'k Rated<'c>], rng: &mut impl Rng) -> Option<&'k Rated<'c>> {
    if pool.len() < 2 {
        return pool.first().copied();
    }
    let first = rng.random_range(0..pool.len());
    let second = (first + rng.random_range(1..pool.len())) % pool.len();
    let (first, second) = (pool[first], pool[second]);
    Some(match first.score() <= second.score() {
        true => first,
        false => second,
    })
}

/// Returns a random one of the targets with the fewest outstanding requests.
fn least_outstanding<'k, 'c>(pool: &[&'k Rated<'c>], rng: &mut impl Rng) -> Option<&'k Rated<'c>> {
    let fewest = pool.iter().map(|rated| rated.view.outstanding).min()?;
    let fewest: Vec<_> = pool
        .iter()
        .filter(|rated| rated.view.outstanding == fewest)
        .collect();
    Some(fewest[rng.random_range(0..fewest.len())])
}

/// An outstanding request to a chosen target. Dropping it ends the request
/// without an outcome.
#[derive(Debug)]
pub struct Running {
    target: model::TargetName,
    stats: Arc<Stats>,
    finished: bool,
}

impl Running {
    fn new(rated: &Rated) -> Self {
        Self {
            target: rated.candidate.name.clone(),
            stats: rated.stats.clone(),
            finished: false,
        }
    }

    /// Returns the chosen target.
    pub fn target(&self) -> &model::TargetName {
        &self.target
    }

    /// Counts the end of the request, `elapsed` after it was sent.
    pub fn finish(mut self, now: clock::Millis, outcome: Outcome, elapsed: Duration) {
        self.finished = true;
        self.stats.finish(now, outcome, elapsed);
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if !self.finished {
            self.stats.abandon();
        }
    }
}
