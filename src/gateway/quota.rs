//! This daemon's shares of rate limits that apply to all daemons together.
//!
//! Every daemon stays within its own share, so that the limits need no
//! coordination.

use std::collections::VecDeque;

use crate::clock;

/// Part of the allowed ratio of retries that is used. The rest is a margin for
/// requests and retries that reach targets in another window than the one in which
/// they are counted.
const RATIO_UTILIZATION: f64 = 0.8;

/// Part of the extra retries that is used. The rest is a margin for daemons that
/// have not discovered each other yet.
const EXTRA_UTILIZATION: f64 = 0.5;

/// Part of the limit for cold targets that is used. The rest is a margin for
/// differences in transit time.
const COLD_UTILIZATION: f64 = 0.9;

/// Length of the window of the limit for cold targets, in milliseconds.
const COLD_WINDOW_MS: u64 = 1_000;

/// Limit on the retries of a service by all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Retries allowed per first request.
    pub ratio: f64,
    /// Retries allowed in a window in addition to the ratio.
    pub extra: f64,
    /// Length of the window in milliseconds.
    pub window_ms: u64,
}

/// A retry that was granted.
#[derive(Clone, Copy, Debug)]
struct GrantedRetry {
    at: clock::Millis,
    /// First requests that were counted before the retry.
    requests: u64,
}

/// Retry budget of one service at this daemon.
///
/// In every window, retries stay within four fifths of the ratio of the first
/// requests in the same window, plus this daemon's share of half of the extra
/// retries. This includes windows that begin after the requests that were retried,
/// so requests before a retry give no credit for it.
#[derive(Debug)]
pub struct RetryBudget {
    limit: RetryLimit,
    /// Retries that this daemon may send in a window in addition to the ratio.
    share: f64,
    requests: u64,
    granted: VecDeque<GrantedRetry>,
}

impl RetryBudget {
    /// Returns a budget with one extra retry in each window until the number of
    /// daemons is set.
    pub fn new(limit: RetryLimit) -> Self {
        Self {
            limit,
            share: 1.0,
            requests: 0,
            granted: VecDeque::new(),
        }
    }

    /// Sets the number of live daemons, this one included.
    pub fn set_peers(&mut self, peers: u32) {
        let share = self.limit.extra * EXTRA_UTILIZATION / f64::from(peers.max(1));
        self.share = share.floor().max(1.0);
    }

    /// Counts a caller's request. Retries are counted by `try_acquire`.
    pub fn on_request(&mut self, now: clock::Millis) {
        self.expire(now);
        self.requests += 1;
    }

    /// Takes a retry from the budget. Returns false if none is left.
    pub fn try_acquire(&mut self, now: clock::Millis) -> bool {
        self.expire(now);
        if !self.has_room() {
            return false;
        }
        let requests = self.requests;
        self.granted.push_back(GrantedRetry { at: now, requests });
        true
    }

    /// Returns whether one more retry keeps every window within the limit.
    ///
    /// Only windows that begin with a retry are checked: any other window has no
    /// fewer requests and no more retries than one of these.
    fn has_room(&self) -> bool {
        let ratio = self.limit.ratio * RATIO_UTILIZATION;
        let retries = (2..=self.granted.len() + 1).rev();
        self.granted.iter().zip(retries).all(|(first, retries)| {
            let requests = (self.requests - first.requests) as f64;
            retries as f64 <= ratio * requests + self.share
        })
    }

    /// Drops retries that no current window contains.
    ///
    /// Readings of the clock are rounded down, so two events may be less than a
    /// window apart although their readings differ by a whole one.
    fn expire(&mut self, now: clock::Millis) {
        let window = self.limit.window_ms;
        while (self.granted.front()).is_some_and(|first| now.since(first.at) > window) {
            self.granted.pop_front();
        }
    }
}

/// Rate limiter for this daemon's requests to one cold target.
#[derive(Debug, Default)]
pub struct ColdLimiter {
    sent: VecDeque<clock::Millis>,
}

impl ColdLimiter {
    /// Returns a limiter that has counted no request.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request if at most `allowed` requests then fall into any second.
    /// Returns whether it was counted.
    pub fn try_acquire(&mut self, now: clock::Millis, allowed: u32) -> bool {
        let room = self.has_room(now, allowed);
        if room {
            self.sent.push_back(now);
        }
        room
    }

    /// Returns whether at most `allowed` requests fall into any second with one more.
    pub fn has_room(&mut self, now: clock::Millis, allowed: u32) -> bool {
        // Readings of the clock are rounded down, so two readings that differ by a
        // whole second may be less than a second apart.
        while (self.sent.front()).is_some_and(|&first| now.since(first) > COLD_WINDOW_MS) {
            self.sent.pop_front();
        }
        self.sent.len() < allowed as usize
    }
}

/// Returns the requests per second that each of `senders` daemons may send to a
/// cold target.
///
/// All daemons together may send `rate` requests per second times `overage`, plus
/// `slack`.
pub fn cold_share(rate: f64, overage: f64, slack: f64, senders: u32) -> u32 {
    let limit = COLD_UTILIZATION * (rate * overage + slack);
    // The conversion rounds down and yields 0 for a negative limit.
    (limit / f64::from(senders.max(1))) as u32
}
