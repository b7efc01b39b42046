//! Smoothed service time of a target's requests.

use std::time::Duration;

use crate::clock;

const MS_PER_SECOND: f64 = 1_000.0;

/// Weight of the newest measurement in the moving averages.
const SMOOTHING_WEIGHT: f64 = 0.2;

/// Number of mean deviations above the mean that the service time is assumed to
/// take. Nearly all requests end within four, as in TCP's retransmission timeout.
const MARGIN_DEVIATIONS: f64 = 4.0;

/// Maximum estimated wait as a share of the slack that the deadline leaves.
/// Estimates are inexact, and a longer queue would occupy more workers without
/// keeping more slots busy.
const MAX_WAIT_SHARE: f64 = 0.75;

/// Exponential moving averages of the service time and its deviation, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTime {
    mean: f64,
    deviation: f64,
}

impl ServiceTime {
    /// Adds the measured time of one request.
    pub fn add(&mut self, elapsed: Duration) {
        let elapsed = elapsed.as_secs_f64() * MS_PER_SECOND;
        if self.mean == 0.0 {
            self.mean = elapsed;
            return;
        }
        let error = elapsed - self.mean;
        self.mean += SMOOTHING_WEIGHT * error;
        self.deviation += SMOOTHING_WEIGHT * (error.abs() - self.deviation);
    }

    /// Returns the mean service time, in milliseconds; 0 before the first measurement.
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// Returns whether a request started now is expected to end by `deadline`.
    pub fn can_finish(&self, now: clock::Millis, deadline: clock::Millis) -> bool {
        self.slack(now, deadline) >= 0.0
    }

    /// Returns whether a request that waits for `wait` milliseconds first is
    /// expected to end by `deadline`, with the margin of `MAX_WAIT_SHARE`.
    pub fn can_finish_after(&self, wait: u64, now: clock::Millis, deadline: clock::Millis) -> bool {
        wait as f64 <= MAX_WAIT_SHARE * self.slack(now, deadline)
    }

    /// Returns the time until `deadline` beyond the expected service time, in
    /// milliseconds; negative if the request is expected to end too late.
    fn slack(&self, now: clock::Millis, deadline: clock::Millis) -> f64 {
        let service_time = self.mean + MARGIN_DEVIATIONS * self.deviation;
        deadline.since(now) as f64 - service_time
    }
}
