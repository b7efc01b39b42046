//! Statistics that this daemon keeps of one target.

use std::time::Duration;

use parking_lot::Mutex;

use crate::clock;
use crate::route::choice::{Candidate, PROBE_INTERVAL_MS};

/// Time after which a response's weight in the smoothed response time is 1/e.
const SMOOTHING_MS: f64 = 1_000.0;

/// Minimum weight of the newest response in the smoothed response time.
const MIN_WEIGHT: f64 = 0.02;

/// Factor applied to the time of an overtaken attempt. Its response would have
/// arrived later still; hedges end it at about twice the usual time, which alone
/// stays below the outlier limit of 3 medians.
const OVERTAKEN_FACTOR: u32 = 4;

/// An overtaken attempt counts only if this multiple of its time exceeds the
/// smoothed response time; one that was overtaken earlier says nothing.
const OVERTAKEN_CUTOFF: u32 = 2;

/// Time for which a reported queue length counts.
const REPORT_VALIDITY_MS: u64 = 2_000;

/// Time for which a target is avoided after it shed a request.
const SHED_BACKOFF_MS: u64 = 100;

/// Time in which the concurrency allowed to a recovered target rises to the full one.
const SLOW_START_MS: u64 = 3_000;

const MS_PER_S: f64 = 1_000.0;

/// How a request to a chosen target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target responded.
    Answered,
    /// The target or its lease holder refused the request because of overload.
    Shed,
    /// Another attempt received its response first; this one would have taken longer.
    Overtaken,
    /// Any other failure.
    Failed,
}

/// Copy of a target's statistics at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct View {
    /// Requests of this daemon that have not ended.
    pub outstanding: u32,
    /// Queue length that the target reported; 0 if the report is too old.
    pub queued: u32,
    /// Smoothed response time in milliseconds; `None` before the first sample.
    pub time_ms: Option<f64>,
    /// Time when the smoothed response time last changed; at first, when the
    /// statistics were created.
    pub sampled_at: clock::Millis,
    /// Time until which the target is avoided because it shed a request.
    pub shed_until: clock::Millis,
    /// Number of requests that the target shed.
    pub sheds: u64,
    /// Start of the slow start; `None` if none is in progress.
    pub ramp_start: Option<clock::Millis>,
}

impl View {
    /// Returns whether a slow start in progress allows another request; `true` without one.
    pub fn allows_request(&self, candidate: &Candidate, now: clock::Millis) -> bool {
        let Some(start) = self.ramp_start else {
            return true;
        };
        let progress = now.since(start) as f64 / SLOW_START_MS as f64;
        let allowed = 1.0 + progress * f64::from(candidate.concurrency);
        f64::from(self.outstanding) < allowed.floor()
    }
}

#[derive(Debug)]
struct Inner {
    outstanding: u32,
    queued: u32,
    reported_at: clock::Millis,
    time_ms: Option<f64>,
    sampled_at: clock::Millis,
    shed_until: clock::Millis,
    sheds: u64,
    probed_at: clock::Millis,
    /// Set when the target sheds a request or is an outlier; the next request that is
    /// not a probe begins a slow start.
    avoided: bool,
    ramp_start: Option<clock::Millis>,
}

/// Statistics of one target, shared between threads.
#[derive(Debug)]
pub struct Stats {
    inner: Mutex<Inner>,
}

impl Stats {
    /// Returns the statistics of a target that was not used before.
    pub fn new(now: clock::Millis) -> Self {
        Self {
            inner: Mutex::new(Inner {
                outstanding: 0,
                queued: 0,
                reported_at: now,
                time_ms: None,
                sampled_at: now,
                shed_until: clock::Millis(0),
                sheds: 0,
                probed_at: now,
                avoided: false,
                ramp_start: None,
            }),
        }
    }

    /// Returns a copy of the statistics at `now`, without expired values.
    pub fn view(&self, now: clock::Millis) -> View {
        let inner = self.inner.lock();
        let is_recent = now.since(inner.reported_at) <= REPORT_VALIDITY_MS;
        let is_ramping = |start: &clock::Millis| now.since(*start) < SLOW_START_MS;
        View {
            outstanding: inner.outstanding,
            queued: if is_recent { inner.queued } else { 0 },
            time_ms: inner.time_ms,
            sampled_at: inner.sampled_at,
            shed_until: inner.shed_until,
            sheds: inner.sheds,
            ramp_start: inner.ramp_start.filter(is_ramping),
        }
    }

    /// Stores the queue length that the target reported.
    pub fn report(&self, queued: u32, now: clock::Millis) {
        let mut inner = self.inner.lock();
        inner.queued = queued;
        inner.reported_at = now;
    }

    /// Counts a request. If the target was avoided before, its slow start begins.
    pub fn start(&self, now: clock::Millis) {
        let mut inner = self.inner.lock();
        inner.outstanding += 1;
        if std::mem::take(&mut inner.avoided) {
            inner.ramp_start = Some(now);
        }
    }

    /// Counts a probe of an outlier, and returns whether it may be sent: no
    /// request is outstanding and the last probe is at least [`PROBE_INTERVAL_MS`] old.
    ///
    /// Marks the target as avoided in either case.
    pub fn start_probe(&self, now: clock::Millis) -> bool {
        let mut inner = self.inner.lock();
        inner.avoided = true;
        if inner.outstanding > 0 || now.since(inner.probed_at) < PROBE_INTERVAL_MS {
            return false;
        }
        inner.outstanding += 1;
        inner.probed_at = now;
        true
    }

    /// Counts the end of a request, `elapsed` after it was sent.
    pub fn finish(&self, now: clock::Millis, outcome: Outcome, elapsed: Duration) {
        let mut inner = self.inner.lock();
        inner.outstanding = inner.outstanding.saturating_sub(1);
        match outcome {
            Outcome::Answered => inner.smooth(now, elapsed),
            Outcome::Shed => {
                inner.sheds += 1;
                inner.shed_until = now + SHED_BACKOFF_MS;
                inner.avoided = true;
            }
            // Without this, hedges would keep the slow responses of a straggler
            // out of its statistics.
            Outcome::Overtaken if inner.is_time_below(elapsed * OVERTAKEN_CUTOFF) => {
                inner.smooth(now, elapsed * OVERTAKEN_FACTOR);
            }
            Outcome::Overtaken | Outcome::Failed => {}
        }
    }

    /// Counts the end of a request without an outcome.
    pub fn abandon(&self) {
        let mut inner = self.inner.lock();
        inner.outstanding = inner.outstanding.saturating_sub(1);
    }
}

impl Inner {
    /// Returns whether the smoothed response time is below `elapsed` or unknown.
    fn is_time_below(&self, elapsed: Duration) -> bool {
        self.time_ms
            .is_none_or(|time_ms| time_ms < elapsed.as_secs_f64() * MS_PER_S)
    }

    /// Adds a response time to the smoothed one.
    fn smooth(&mut self, now: clock::Millis, elapsed: Duration) {
        let sample_ms = elapsed.as_secs_f64() * MS_PER_S;
        let idle_ms = now.since(self.sampled_at) as f64;
        self.sampled_at = self.sampled_at.max(now);
        let weight = (1.0 - (-idle_ms / SMOOTHING_MS).exp()).max(MIN_WEIGHT);
        self.time_ms = Some(match self.time_ms {
            Some(time_ms) => time_ms + weight * (sample_ms - time_ms),
            None => sample_ms,
        });
    }
}
