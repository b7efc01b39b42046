//! This daemon's shares of limits that hold over all daemons.
//!
//! Every daemon keeps to its own share, so that the limits need no agreement.

use std::collections::VecDeque;

use crate::clock;

/// Part of the allowed ratio of retries that is used. The rest covers requests and
/// retries that reach targets in another window than the one they are counted in.
const RATIO_USED: f64 = 0.8;

/// Part of the fixed number of retries that is used. The rest covers daemons that
/// do not know each other yet.
const FIXED_USED: f64 = 0.5;

/// Part of the cold limit that is used. The rest covers differences in transit time.
const COLD_USED: f64 = 0.9;

/// Length of the window of the cold limit, in milliseconds.
const SECOND: u64 = 1_000;

/// Limit on the retries of a service over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Retries allowed per first request.
    pub ratio: f64,
    /// Retries allowed in a window on top of the ratio.
    pub fixed: f64,
    /// Length of the window in milliseconds.
    pub window: u64,
}

/// A retry that was granted.
#[derive(Clone, Copy, Debug)]
struct Taken {
    at: clock::Millis,
    /// First requests counted before it.
    requests: u64,
}

/// Retry budget of one service at this daemon.
///
/// In every window, retries stay within four fifths of the ratio of the first
/// requests in the same window, plus a share of half of the fixed number. This
/// includes windows that begin after the requests that were retried, so requests
/// before a retry give no credit for it.
#[derive(Debug)]
pub struct Retry {
    terms: Terms,
    /// Retries allowed in a window on top of the ratio.
    share: f64,
    requests: u64,
    taken: VecDeque<Taken>,
}

impl Retry {
    /// Returns a budget whose share of the fixed number is 1 until the number of
    /// daemons is set.
    pub fn new(terms: Terms) -> Self {
        Self {
            terms,
            share: 1.0,
            requests: 0,
            taken: VecDeque::new(),
        }
    }

    /// Sets the number of live daemons, this one included.
    pub fn set_peers(&mut self, peers: u32) {
        let share = self.terms.fixed * FIXED_USED / f64::from(peers.max(1));
        self.share = share.floor().max(1.0);
    }

    /// Counts a caller's request; retries are not counted here.
    pub fn on_request(&mut self, now: clock::Millis) {
        self.expire(now);
        self.requests += 1;
    }

    /// Takes a retry out of the budget and returns whether there was room.
    pub fn take(&mut self, now: clock::Millis) -> bool {
        self.expire(now);
        if !self.has_room() {
            return false;
        }
        let requests = self.requests;
        self.taken.push_back(Taken { at: now, requests });
        true
    }

    /// Returns whether one more retry keeps every window within the limit.
    ///
    /// It is enough to look at windows that begin with a retry: any other window
    /// has no fewer requests and no more retries than one of these.
    fn has_room(&self) -> bool {
        let ratio = self.terms.ratio * RATIO_USED;
        let retries = (2..=self.taken.len() + 1).rev();
        self.taken.iter().zip(retries).all(|(first, retries)| {
            let requests = (self.requests - first.requests) as f64;
            retries as f64 <= ratio * requests + self.share
        })
    }

    /// Drops retries that share no window with the present.
    ///
    /// Readings of the clock are rounded down, so two events may be less than a
    /// window apart although their readings differ by a whole one.
    fn expire(&mut self, now: clock::Millis) {
        let window = self.terms.window;
        while (self.taken.front()).is_some_and(|first| now.since(first.at) > window) {
            self.taken.pop_front();
        }
    }
}

/// Requests that this daemon has sent to one cold target within a second.
#[derive(Debug, Default)]
pub struct Cold {
    taken: VecDeque<clock::Millis>,
}

impl Cold {
    /// Returns a count of no requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request and returns true, if that leaves at most `allowed`
    /// requests in any second.
    pub fn take(&mut self, now: clock::Millis, allowed: u32) -> bool {
        let room = self.has_room(now, allowed);
        if room {
            self.taken.push_back(now);
        }
        room
    }

    /// Returns whether one more request leaves at most `allowed` in any second.
    pub fn has_room(&mut self, now: clock::Millis, allowed: u32) -> bool {
        // Readings of the clock are rounded down, so a whole second counts as less.
        while (self.taken.front()).is_some_and(|&first| now.since(first) > SECOND) {
            self.taken.pop_front();
        }
        self.taken.len() < allowed as usize
    }
}

/// Returns the requests a second that one of `senders` daemons may send to a cold
/// target that bears `rate` requests a second, times `overage`, plus `slack`.
pub fn share(rate: f64, overage: f64, slack: f64, senders: u32) -> u32 {
    let limit = COLD_USED * (rate * overage + slack);
    // The conversion rounds down and yields 0 for a negative limit.
    (limit / f64::from(senders.max(1))) as u32
}
