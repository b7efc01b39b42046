//! Load balancing for services whose requests any target may serve.
//!
//! The response time of each target is estimated from its observed processing
//! time, the load that it reported last, the requests that daemons have in
//! progress there, and the cost of reaching it. The target with the lowest
//! estimate is picked. This module does no I/O and reads no clock.

pub mod gossip;
pub mod subset;

use std::borrow::Cow;
use std::collections::HashMap;
use std::hash::Hasher;

use crate::clock;
use crate::gateway::adapter;
use crate::model;

/// Weight of a new sample in the moving average of a target's time factor.
const TIME_FACTOR_WEIGHT: f64 = 0.1;

/// Smallest time factor that one sample may show.
const MIN_TIME_FACTOR: f64 = 0.1;

/// Largest time factor that one sample may show.
const MAX_TIME_FACTOR: f64 = 8.0;

/// Weight of a new outcome in the moving average of a target's failure rate.
const FAILURE_WEIGHT: f64 = 0.15;

/// Value of a refused request in the failure rate, where a failed one counts 1.
const REFUSAL_VALUE: f64 = 0.5;

/// Relative increase of the estimate at a failure rate of 1.
const FAILURE_PENALTY: f64 = 6.0;

/// Relative increase of the processing time at a target whose slots are all in use.
const CROWDING_PENALTY: f64 = 0.3;

/// Largest random increase of an estimate, as a part of it.
const JITTER: f64 = 0.15;

/// Half-life of a reported load, in milliseconds.
const LOAD_HALF_LIFE_MS: f64 = 400.0;

/// Half-life of a failure rate, in milliseconds.
const FAILURE_HALF_LIFE_MS: f64 = 2_000.0;

/// First backoff after a target could not be reached, in milliseconds.
const FIRST_BACKOFF_MS: u64 = 300;

/// Longest backoff after a target could not be reached, in milliseconds.
const MAX_BACKOFF_MS: u64 = 2_400;

/// Requests in progress per slot from which on a target is full.
const MAX_REQUESTS_PER_SLOT: f64 = 2.5;

/// Least weight of a new sample in the mean work of a route.
const MIN_WORK_WEIGHT: f64 = 0.05;

/// Largest number of requests per target that a report to other daemons holds.
const MAX_COUNT: u32 = 255;

/// Reported slowness of a target that runs at its usual pace, in percent.
pub(crate) const USUAL_SLOWNESS_PERCENT: f64 = 100.0;

/// Smallest reported slowness that is used, as a factor.
pub(crate) const MIN_SLOWNESS: f64 = 0.2;

/// Largest reported slowness that is used, as a factor.
const MAX_SLOWNESS: f64 = 10.0;

/// Mean time that a route's requests take at a target of mean speed, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MeanWork {
    mean: f64,
    samples: u32,
}

impl MeanWork {
    /// Adds the processing time of a request that did not queue, in
    /// milliseconds.
    ///
    /// Until there are enough samples for the moving average, each one has the
    /// same weight, so that a first outlier has no lasting effect.
    pub fn observe(&mut self, time: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(MIN_WORK_WEIGHT);
        self.mean += weight * (time - self.mean);
    }

    /// Returns the mean in milliseconds, or `None` without a sample.
    pub fn mean(self) -> Option<f64> {
        (self.samples > 0).then_some(self.mean)
    }
}

/// Outcome of a request that was sent to a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// A response arrived after this time in milliseconds.
    Answered(f64),
    /// The target refused the request without running it.
    Refused,
    /// The target failed, or its response was lost. The request may have run.
    Failed,
    /// No connection to the target could be opened, and nothing was sent.
    Unreachable,
    /// The request was cancelled: its caller left, or another attempt was faster.
    Abandoned,
}

/// A target that may serve a request.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Target and its incarnation.
    pub instance: Instance,
    /// Requests that the target runs concurrently.
    pub slots: u32,
    /// Cost of the network distance and of a new connection, in milliseconds.
    pub cost_ms: f64,
}

/// One incarnation of a target.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Instance {
    /// Name of the target.
    pub target: model::TargetName,
    /// Unix time of the start of its process, in milliseconds.
    pub birth: u64,
}

impl Instance {
    /// Returns a digest that identifies the instance in messages between daemons.
    pub fn digest(&self) -> u32 {
        let mut hasher = siphasher::sip::SipHasher13::new();
        hasher.write(self.target.as_str().as_bytes());
        hasher.write_u64(self.birth);
        hasher.finish() as u32
    }
}

/// Number of requests that a daemon has in progress at each target, with the
/// digest of the target's instance.
pub type RequestCounts = Vec<(u32, u8)>;

/// Last report of another daemon's requests in progress.
#[derive(Clone, Debug)]
struct Report {
    received: clock::Millis,
    counts: RequestCounts,
}

/// Load, performance and failures of one target instance.
#[derive(Clone, Debug)]
struct Stats {
    /// Requests that this daemon has in progress there.
    own_requests: u32,
    digest: u32,
    /// Requests of other senders, according to the target's last load report.
    reported_requests: f64,
    /// Factor by which the target was slower than usual, in its last load report.
    slowness: f64,
    /// Time of the last load report.
    reported_at: clock::Millis,
    /// Moving average of the processing time relative to the route's mean.
    time_factor: f64,
    /// Moving average of the failure rate, at `failure_time`.
    failure_rate: f64,
    /// Time of the last outcome in `failure_rate`.
    failure_time: clock::Millis,
    /// Last backoff in milliseconds, or 0 if the target has responded since.
    backoff_ms: u64,
    /// End of the backoff.
    retry_at: clock::Millis,
}

impl Default for Stats {
    fn default() -> Self {
        Self {
            own_requests: 0,
            digest: 0,
            reported_requests: 0.0,
            slowness: 1.0,
            reported_at: clock::Millis(0),
            time_factor: 1.0,
            failure_rate: 0.0,
            failure_time: clock::Millis(0),
            backoff_ms: 0,
            retry_at: clock::Millis(0),
        }
    }
}

/// Returns `value` after exponential decay for `age` milliseconds.
fn decay(value: f64, age: u64, half_life: f64) -> f64 {
    value * (-(age as f64) / half_life).exp2()
}

impl Stats {
    /// Returns the estimated number of requests at the target, where other daemons report to
    /// have `peer_requests` in progress. The target's own last load report makes up for reports
    /// that were lost.
    fn requests(&self, peer_requests: u32, now: clock::Millis) -> f64 {
        let reported = decay(
            self.reported_requests,
            now.since(self.reported_at),
            LOAD_HALF_LIFE_MS,
        );
        f64::from(self.own_requests) + f64::from(peer_requests).max(reported)
    }

    /// Returns the factor by which the target is slower than usual.
    fn slowness(&self, now: clock::Millis) -> f64 {
        1.0 + decay(
            self.slowness - 1.0,
            now.since(self.reported_at),
            LOAD_HALF_LIFE_MS,
        )
    }

    /// Returns the share of requests that failed lately, from 0 to 1.
    fn failure_rate(&self, now: clock::Millis) -> f64 {
        decay(
            self.failure_rate,
            now.since(self.failure_time),
            FAILURE_HALF_LIFE_MS,
        )
    }

    /// Returns the estimated response time in milliseconds with `requests` at the target.
    fn estimate(&self, candidate: &Candidate, requests: f64, work: f64, now: clock::Millis) -> f64 {
        let slots = f64::from(candidate.slots.max(1));
        let run_time = work * self.time_factor * self.slowness(now);
        let queue_time = (requests + 1.0 - slots).max(0.0) / slots * run_time;
        // A target near its limit is slower, and its load may be higher than known.
        let crowding = run_time * CROWDING_PENALTY * (requests / slots).min(1.0);
        (run_time + queue_time + crowding) * (1.0 + FAILURE_PENALTY * self.failure_rate(now))
            + candidate.cost_ms
    }
}

/// Result of a choice among candidates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pick {
    /// The candidate at this index.
    Chosen(usize),
    /// Every candidate is full or in backoff, and at least one is full.
    AllFull,
    /// The list of candidates is empty.
    NoCandidate,
}

/// Statistics of all targets at this daemon.
#[derive(Debug, Default)]
pub struct Table {
    stats: HashMap<Instance, Stats>,
    /// Last report of each other daemon, by the daemon's identifier.
    reports: HashMap<u64, Report>,
    /// Sum of the reported requests of each target instance, by its digest.
    peer_requests: HashMap<u32, u32>,
}

impl Table {
    /// Returns an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Picks the candidate with the lowest estimated response time for a request
    /// that takes `work` milliseconds at a target of mean speed.
    ///
    /// Full candidates are not picked. If all candidates are in backoff, the one
    /// whose backoff ends first is picked.
    /// `random` returns numbers from 0 to 1, which spread equal estimates.
    pub fn pick(
        &self,
        candidates: &[Candidate],
        work: f64,
        now: clock::Millis,
        mut random: impl FnMut() -> f64,
    ) -> Pick {
        let mut best: Option<(f64, usize)> = None;
        let mut any_full = false;
        for (index, candidate) in candidates.iter().enumerate() {
            let stats = self.stats_of(&candidate.instance);
            if stats.retry_at > now {
                continue;
            }
            let requests = stats.requests(self.reported(stats.digest), now);
            if requests >= MAX_REQUESTS_PER_SLOT * f64::from(candidate.slots.max(1)) {
                any_full = true;
                continue;
            }
            let estimate = stats.estimate(candidate, requests, work, now);
            let estimate = estimate * (1.0 + JITTER * random());
            if best.is_none_or(|(lowest, _)| estimate < lowest) {
                best = Some((estimate, index));
            }
        }
        match best {
            Some((_, index)) => Pick::Chosen(index),
            None if any_full => Pick::AllFull,
            None if candidates.is_empty() => Pick::NoCandidate,
            None => Pick::Chosen(self.earliest_retry(candidates)),
        }
    }

    /// Returns the statistics of a target, or those of one that this daemon has not used yet.
    fn stats_of(&self, instance: &Instance) -> Cow<'_, Stats> {
        match self.stats.get(instance) {
            Some(stats) => Cow::Borrowed(stats),
            None => Cow::Owned(Stats {
                digest: instance.digest(),
                ..Stats::default()
            }),
        }
    }

    /// Returns how many requests other daemons report to have in progress at a target.
    fn reported(&self, digest: u32) -> u32 {
        self.peer_requests.get(&digest).copied().unwrap_or(0)
    }

    /// Returns the index of the candidate whose backoff ends first.
    fn earliest_retry(&self, candidates: &[Candidate]) -> usize {
        let retry_at = |index: &usize| {
            let stats = self.stats.get(&candidates[*index].instance);
            stats.map_or(clock::Millis(0), |stats| stats.retry_at)
        };
        (0..candidates.len()).min_by_key(retry_at).unwrap_or(0)
    }

    /// Returns the estimated response time in milliseconds.
    pub fn estimate(&self, candidate: &Candidate, work: f64, now: clock::Millis) -> f64 {
        let stats = self.stats_of(&candidate.instance);
        let requests = stats.requests(self.reported(stats.digest), now);
        stats.estimate(candidate, requests, work, now)
    }

    /// Returns the estimated number of requests at a target, running and queued.
    pub fn requests(&self, instance: &Instance, now: clock::Millis) -> f64 {
        let stats = self.stats_of(instance);
        stats.requests(self.reported(stats.digest), now)
    }

    /// Returns the number of requests that this daemon has in progress at a target.
    pub fn own_requests(&self, instance: &Instance) -> u32 {
        let stats = self.stats.get(instance);
        stats.map_or(0, |stats| stats.own_requests)
    }

    /// Returns whether a target has reached its limit of requests per slot.
    pub fn is_full(&self, instance: &Instance, slots: u32, now: clock::Millis) -> bool {
        self.requests(instance, now) >= MAX_REQUESTS_PER_SLOT * f64::from(slots.max(1))
    }

    /// Returns the target's processing time relative to the mean, as a factor above
    /// 1 for slow targets.
    pub fn time_factor(&self, instance: &Instance) -> f64 {
        self.stats
            .get(instance)
            .map_or(1.0, |stats| stats.time_factor)
    }

    /// Returns whether a target is in backoff because it could not be reached.
    pub fn is_backing_off(&self, instance: &Instance, now: clock::Millis) -> bool {
        self.stats
            .get(instance)
            .is_some_and(|stats| stats.retry_at > now)
    }

    /// Counts a request that is about to be sent to a target.
    pub fn on_start(&mut self, instance: &Instance) {
        self.entry(instance).own_requests += 1;
    }

    /// Returns the statistics of a target, added if there are none.
    fn entry(&mut self, instance: &Instance) -> &mut Stats {
        self.stats.entry(instance.clone()).or_insert_with(|| Stats {
            digest: instance.digest(),
            ..Stats::default()
        })
    }

    /// Returns this daemon's requests in progress, for other daemons.
    pub fn counts(&self) -> RequestCounts {
        let mut counts: RequestCounts = self
            .stats
            .values()
            .filter(|stats| stats.own_requests > 0)
            .map(|stats| (stats.digest, stats.own_requests.min(MAX_COUNT) as u8))
            .collect();
        counts.sort_unstable();
        counts
    }

    /// Replaces the report of the requests that the daemon `peer` has in progress.
    pub fn on_counts(&mut self, peer: u64, counts: RequestCounts, now: clock::Millis) {
        for &(digest, count) in &counts {
            *self.peer_requests.entry(digest).or_default() += u32::from(count);
        }
        let report = Report {
            received: now,
            counts,
        };
        if let Some(old) = self.reports.insert(peer, report) {
            self.subtract(&old.counts);
        }
    }

    /// Takes a report that is no longer valid out of the sums.
    fn subtract(&mut self, counts: &RequestCounts) {
        for &(digest, count) in counts {
            if let Some(sum) = self.peer_requests.get_mut(&digest) {
                *sum = sum.saturating_sub(u32::from(count));
            }
        }
    }

    /// Drops the reports of daemons from which none arrived for `ttl` milliseconds.
    pub fn expire(&mut self, now: clock::Millis, ttl: u64) {
        let expired: Vec<u64> = self
            .reports
            .iter()
            .filter(|(_, report)| now.since(report.received) > ttl)
            .map(|(peer, _)| *peer)
            .collect();
        for peer in expired {
            if let Some(old) = self.reports.remove(&peer) {
                self.subtract(&old.counts);
            }
        }
        self.peer_requests.retain(|_, sum| *sum > 0);
    }

    /// Records the outcome of a request that was expected to take `work`
    /// milliseconds at a target of mean speed, and the load that the target
    /// reported with its response.
    pub fn on_end(
        &mut self,
        instance: &Instance,
        end: AttemptOutcome,
        work: f64,
        load: Option<adapter::LoadReport>,
        now: clock::Millis,
    ) {
        let stats = self.entry(instance);
        stats.own_requests = stats.own_requests.saturating_sub(1);
        if let Some(load) = load {
            stats.record_load(load, now);
        }
        let failure = match end {
            AttemptOutcome::Abandoned => return,
            AttemptOutcome::Answered(time) => {
                stats.backoff_ms = 0;
                stats.retry_at = clock::Millis(0);
                stats.record_time(time, work, load);
                0.0
            }
            AttemptOutcome::Refused => REFUSAL_VALUE,
            AttemptOutcome::Failed => 1.0,
            AttemptOutcome::Unreachable => {
                stats.backoff_ms = (stats.backoff_ms * 2).clamp(FIRST_BACKOFF_MS, MAX_BACKOFF_MS);
                stats.retry_at = now + stats.backoff_ms;
                1.0
            }
        };
        stats.failure_rate =
            stats.failure_rate(now) * (1.0 - FAILURE_WEIGHT) + failure * FAILURE_WEIGHT;
        stats.failure_time = now;
    }

    /// Drops the statistics of targets that `keep` rejects and that have no requests
    /// of this daemon in progress.
    pub fn retain(&mut self, keep: impl Fn(&Instance) -> bool) {
        self.stats
            .retain(|instance, stats| stats.own_requests > 0 || keep(instance));
    }
}

impl Stats {
    /// Records the load that the target reported with a response.
    fn record_load(&mut self, load: adapter::LoadReport, now: clock::Millis) {
        // The report still includes the request of this response, which has ended.
        let reported = f64::from(load.running) + f64::from(load.waiting);
        self.reported_requests = (reported - f64::from(self.own_requests) - 1.0).max(0.0);
        self.slowness = (f64::from(load.slowness_percent) / USUAL_SLOWNESS_PERCENT)
            .clamp(MIN_SLOWNESS, MAX_SLOWNESS);
        self.reported_at = now;
    }

    /// Updates the time factor with the response time of a request that did not
    /// queue, in milliseconds.
    fn record_time(&mut self, time: f64, work: f64, load: Option<adapter::LoadReport>) {
        if load.is_some_and(|load| load.waiting > 0) || work <= 0.0 {
            return;
        }
        let slowness = load.map_or(1.0, |load| {
            f64::from(load.slowness_percent) / USUAL_SLOWNESS_PERCENT
        });
        let ratio =
            (time / work / slowness.max(MIN_SLOWNESS)).clamp(MIN_TIME_FACTOR, MAX_TIME_FACTOR);
        self.time_factor += TIME_FACTOR_WEIGHT * (ratio - self.time_factor);
    }
}
