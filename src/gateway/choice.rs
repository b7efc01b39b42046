//! Choice of a target for a service whose requests any target may serve.
//!
//! Each target gets an estimate of the time until its answer, from its own
//! speed, the load it reported last, this daemon's requests there, and its
//! distance; the lowest estimate wins. Everything here is pure.

use std::borrow::Cow;
use std::collections::HashMap;
use std::hash::Hasher;

use crate::clock;
use crate::gateway::dialect;
use crate::model;

/// Weight of a new observation of a target's speed.
const SPEED_WEIGHT: f64 = 0.1;

/// Weight of a new outcome in a target's share of failures.
const FAILURE_WEIGHT: f64 = 0.15;

/// Time in which a reported load loses half of its meaning, in milliseconds.
const LOAD_HALF_LIFE: f64 = 400.0;

/// Time in which a failure loses half of its weight, in milliseconds.
const FAILURE_HALF_LIFE: f64 = 2_000.0;

/// First pause after a target could not be reached, in milliseconds.
const FIRST_PAUSE: u64 = 300;

/// Longest pause after a target could not be reached, in milliseconds.
const LONGEST_PAUSE: u64 = 2_400;

/// Time for which a daemon's message on its requests counts, in milliseconds.
const REPORT_LIFE: u64 = 2_000;

/// Requests per slot above which a target is full.
const FULL: f64 = 2.5;

/// Least weight of a new observation of a route's work.
const WORK_WEIGHT: f64 = 0.05;

/// Time that a route's requests take at a target of mean speed, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    mean: f64,
    seen: u32,
}

impl Work {
    /// Takes the time of an answer that did not wait. The first ones count in
    /// full, so that a wrong first guess is soon forgotten.
    pub fn learn(&mut self, time: f64) {
        self.seen = self.seen.saturating_add(1);
        let weight = (1.0 / f64::from(self.seen)).max(WORK_WEIGHT);
        self.mean += weight * (time - self.mean);
    }

    /// Returns the mean, or `None` if nothing was seen.
    pub fn mean(self) -> Option<f64> {
        (self.seen > 0).then_some(self.mean)
    }
}

/// How a request to a target ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    /// It was answered after this time in milliseconds.
    Answered(f64),
    /// The target refused it and did not run it.
    Refused,
    /// The target failed it, or its answer was lost.
    Failed,
    /// The target could not be reached.
    Unreachable,
    /// The caller left, or another attempt was faster.
    Abandoned,
}

/// A target that may serve a request.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Name and birth of the target.
    pub life: Life,
    /// Requests that it serves at a time.
    pub slots: u32,
    /// Cost of its distance and of a new connection, in milliseconds.
    pub distance: f64,
}

/// One life of a target.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Life {
    /// Name.
    pub target: model::TargetName,
    /// Birth.
    pub birth: u64,
}

impl Life {
    /// Returns a short digest, by which daemons name the target to each other.
    pub fn digest(&self) -> u32 {
        let mut hasher = siphasher::sip::SipHasher13::new();
        hasher.write(self.target.as_str().as_bytes());
        hasher.write_u64(self.birth);
        hasher.finish() as u32
    }
}

/// Requests in progress that a daemon has sent to a target, by its digest.
pub type Counts = Vec<(u32, u8)>;

/// What another daemon said of its requests in progress.
#[derive(Clone, Debug)]
struct Report {
    heard: clock::Millis,
    counts: Counts,
}

#[derive(Clone, Debug)]
struct Stats {
    own: u32,
    peers: u32,
    digest: u32,
    others: f64,
    slowness: f64,
    reported: clock::Millis,
    speed: f64,
    failures: f64,
    failed: clock::Millis,
    pause: u64,
    until: clock::Millis,
}

impl Default for Stats {
    fn default() -> Self {
        Self {
            own: 0,
            peers: 0,
            digest: 0,
            others: 0.0,
            slowness: 1.0,
            reported: clock::Millis(0),
            speed: 1.0,
            failures: 0.0,
            failed: clock::Millis(0),
            pause: 0,
            until: clock::Millis(0),
        }
    }
}

fn decay(value: f64, age: u64, half_life: f64) -> f64 {
    value * (-(age as f64) / half_life).exp2()
}

impl Stats {
    /// Returns the requests that the target has, as far as is known.
    ///
    /// Daemons tell each other what they have sent; what the target reported
    /// last covers messages that were lost.
    fn requests(&self, now: clock::Millis) -> f64 {
        let reported = decay(self.others, now.since(self.reported), LOAD_HALF_LIFE);
        f64::from(self.own) + f64::from(self.peers).max(reported)
    }

    fn slowness(&self, now: clock::Millis) -> f64 {
        1.0 + decay(
            self.slowness - 1.0,
            now.since(self.reported),
            LOAD_HALF_LIFE,
        )
    }

    fn failures(&self, now: clock::Millis) -> f64 {
        decay(self.failures, now.since(self.failed), FAILURE_HALF_LIFE)
    }

    fn estimate(&self, candidate: &Candidate, work: f64, now: clock::Millis) -> f64 {
        let slots = f64::from(candidate.slots.max(1));
        let run = work * self.speed * self.slowness(now);
        let requests = self.requests(now);
        let wait = (requests + 1.0 - slots).max(0.0) / slots * run;
        // A target near its limit is slower, and its load may be higher than known.
        let crowded = run * 0.3 * (requests / slots).min(1.0);
        (run + wait + crowded) * (1.0 + 6.0 * self.failures(now)) + candidate.distance
    }
}

/// What a choice came to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pick {
    /// The candidate at this index.
    Chosen(usize),
    /// All candidates have as many requests as they can take.
    Full,
    /// There is no candidate.
    None,
}

/// What this daemon knows of all targets.
#[derive(Debug, Default)]
pub struct Table {
    stats: HashMap<Life, Stats>,
    said: HashMap<u64, Report>,
    sums: HashMap<u32, u32>,
}

impl Table {
    /// Returns a table that knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Picks the candidate with the lowest estimate for a request with `work`
    /// milliseconds of processing. `random` in 0 to 1 spreads equal estimates.
    pub fn pick(
        &self,
        candidates: &[Candidate],
        work: f64,
        now: clock::Millis,
        mut random: impl FnMut() -> f64,
    ) -> Pick {
        let mut best: Option<(f64, usize)> = None;
        let mut full = false;
        for (index, candidate) in candidates.iter().enumerate() {
            let stats = self.stats_of(&candidate.life);
            if stats.until > now {
                continue;
            }
            if stats.requests(now) >= FULL * f64::from(candidate.slots.max(1)) {
                full = true;
                continue;
            }
            let estimate = stats.estimate(candidate, work, now) * (1.0 + 0.15 * random());
            if best.is_none_or(|(lowest, _)| estimate < lowest) {
                best = Some((estimate, index));
            }
        }
        match best {
            Some((_, index)) => Pick::Chosen(index),
            None if full => Pick::Full,
            None if candidates.is_empty() => Pick::None,
            None => Pick::Chosen(self.least_paused(candidates)),
        }
    }

    /// Returns what is known of a target; of one without own requests, what other
    /// daemons said.
    fn stats_of(&self, life: &Life) -> Cow<'_, Stats> {
        match self.stats.get(life) {
            Some(stats) => Cow::Borrowed(stats),
            None => Cow::Owned(Stats {
                peers: self.sums.get(&life.digest()).copied().unwrap_or(0),
                ..Stats::default()
            }),
        }
    }

    fn least_paused(&self, candidates: &[Candidate]) -> usize {
        let until = |index: &usize| {
            let stats = self.stats.get(&candidates[*index].life);
            stats.map_or(clock::Millis(0), |stats| stats.until)
        };
        (0..candidates.len()).min_by_key(until).unwrap_or(0)
    }

    /// Returns the estimated time to an answer in milliseconds.
    pub fn estimate(&self, candidate: &Candidate, work: f64, now: clock::Millis) -> f64 {
        self.stats_of(&candidate.life)
            .estimate(candidate, work, now)
    }

    /// Returns the requests that a target is thought to have, running and waiting.
    pub fn requests(&self, life: &Life, now: clock::Millis) -> f64 {
        self.stats_of(life).requests(now)
    }

    /// Returns whether a target has as many requests as it can take.
    pub fn is_full(&self, life: &Life, slots: u32, now: clock::Millis) -> bool {
        self.requests(life, now) >= FULL * f64::from(slots.max(1))
    }

    /// Returns how much slower than the mean a target was, as a factor.
    pub fn speed(&self, life: &Life) -> f64 {
        self.stats.get(life).map_or(1.0, |stats| stats.speed)
    }

    /// Returns whether a target is left alone after it could not be reached.
    pub fn is_paused(&self, life: &Life, now: clock::Millis) -> bool {
        self.stats.get(life).is_some_and(|stats| stats.until > now)
    }

    /// Counts a request that is sent to a target.
    pub fn on_start(&mut self, life: &Life) {
        self.entry(life).own += 1;
    }

    fn entry(&mut self, life: &Life) -> &mut Stats {
        let sums = &self.sums;
        self.stats.entry(life.clone()).or_insert_with(|| {
            let digest = life.digest();
            Stats {
                digest,
                peers: sums.get(&digest).copied().unwrap_or(0),
                ..Stats::default()
            }
        })
    }

    /// Returns this daemon's requests in progress.
    pub fn counts(&self) -> Counts {
        let mut counts: Counts = self
            .stats
            .values()
            .filter(|stats| stats.own > 0)
            .map(|stats| (stats.digest, stats.own.min(255) as u8))
            .collect();
        counts.sort_unstable();
        counts
    }

    /// Takes what the daemon `peer` says of its requests in progress.
    pub fn on_counts(&mut self, peer: u64, counts: Counts, now: clock::Millis) {
        let said = Report { heard: now, counts };
        if let Some(old) = self.said.insert(peer, said) {
            self.subtract(&old.counts);
        }
        let new = self.said[&peer].counts.clone();
        for &(digest, count) in &new {
            *self.sums.entry(digest).or_default() += u32::from(count);
        }
        self.spread();
    }

    fn subtract(&mut self, counts: &Counts) {
        for &(digest, count) in counts {
            if let Some(sum) = self.sums.get_mut(&digest) {
                *sum = sum.saturating_sub(u32::from(count));
            }
        }
    }

    fn spread(&mut self) {
        for stats in self.stats.values_mut() {
            stats.peers = self.sums.get(&stats.digest).copied().unwrap_or(0);
        }
    }

    /// Forgets what daemons said that are no longer heard.
    pub fn expire(&mut self, now: clock::Millis) {
        let silent: Vec<u64> = self
            .said
            .iter()
            .filter(|(_, said)| now.since(said.heard) > REPORT_LIFE)
            .map(|(peer, _)| *peer)
            .collect();
        for peer in silent {
            if let Some(old) = self.said.remove(&peer) {
                self.subtract(&old.counts);
            }
        }
        self.sums.retain(|_, sum| *sum > 0);
        self.spread();
    }

    /// Takes note of the end of a request, for which `work` milliseconds of
    /// processing were expected, and of the load that came with the answer.
    pub fn on_end(
        &mut self,
        life: &Life,
        end: End,
        work: f64,
        load: Option<dialect::Load>,
        now: clock::Millis,
    ) {
        let stats = self.entry(life);
        stats.own = stats.own.saturating_sub(1);
        if let Some(load) = load {
            stats.report(load, now);
        }
        let failed = match end {
            End::Abandoned => return,
            End::Answered(time) => {
                stats.pause = 0;
                stats.until = clock::Millis(0);
                stats.learn(time, work, load);
                0.0
            }
            End::Refused => 0.5,
            End::Failed => 1.0,
            End::Unreachable => {
                stats.pause = (stats.pause * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
                stats.until = now + stats.pause;
                1.0
            }
        };
        stats.failures = stats.failures(now) * (1.0 - FAILURE_WEIGHT) + failed * FAILURE_WEIGHT;
        stats.failed = now;
    }

    /// Forgets targets that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(&Life) -> bool) {
        self.stats.retain(|life, stats| stats.own > 0 || keep(life));
    }
}

impl Stats {
    fn report(&mut self, load: dialect::Load, now: clock::Millis) {
        // The answer's own request has ended by the time the report is read.
        let reported = f64::from(load.running + load.waiting);
        self.others = (reported - f64::from(self.own) - 1.0).max(0.0);
        self.slowness = (f64::from(load.slowness) / 100.0).clamp(0.2, 10.0);
        self.reported = now;
    }

    /// Learns the target's speed from answers that did not wait.
    fn learn(&mut self, time: f64, work: f64, load: Option<dialect::Load>) {
        if load.is_some_and(|load| load.waiting > 0) || work <= 0.0 {
            return;
        }
        let slowness = load.map_or(1.0, |load| f64::from(load.slowness) / 100.0);
        let ratio = (time / work / slowness.max(0.2)).clamp(0.1, 8.0);
        self.speed += SPEED_WEIGHT * (ratio - self.speed);
    }
}
