//! Budget for retries and hedges, which add requests to the callers' own.

use parking_lot::Mutex;

use crate::clock;

/// Extra requests per second that are allowed however low the load is.
pub const MIN_EXTRA_PER_S: f64 = 2.0;

/// Minimum capacity of the token bucket, in extra requests.
const MIN_CAPACITY: f64 = 2.0;

/// Length of the window by which the capacity and the minimum rate are computed.
const WINDOW_MS: u64 = 1_000;

const MS_PER_S: f64 = 1_000.0;

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    /// Tokens that requests have added in the current window.
    credited: f64,
    /// Tokens that requests added in the last window, scaled to its nominal length.
    last_credited: f64,
    window_start: clock::Millis,
}

/// Token bucket: each request of a caller adds a fraction of a token, and each
/// extra request takes one.
///
/// Extra requests stay within the given percentage of requests, or within
/// [`MIN_EXTRA_PER_S`] if that is more. A percentage of 0 allows none.
#[derive(Debug)]
pub struct Budget {
    share: f64,
    bucket: Mutex<Bucket>,
}

impl Budget {
    /// Returns an empty budget that allows `extra_percent` of the requests.
    pub fn new(extra_percent: f64, now: clock::Millis) -> Self {
        Self {
            share: (extra_percent / 100.0).max(0.0),
            bucket: Mutex::new(Bucket {
                tokens: 0.0,
                credited: 0.0,
                last_credited: 0.0,
                window_start: now,
            }),
        }
    }

    /// Counts a request of a caller. Retries and hedges must not be counted here.
    pub fn on_request(&self, now: clock::Millis) {
        let mut bucket = self.bucket.lock();
        bucket.roll_window(now, self.share);
        bucket.credited += self.share;
        bucket.add(self.share);
    }

    /// Takes a token for an extra request, and returns whether one was available.
    pub fn take(&self, now: clock::Millis) -> bool {
        let mut bucket = self.bucket.lock();
        bucket.roll_window(now, self.share);
        if bucket.tokens < 1.0 {
            return false;
        }
        bucket.tokens -= 1.0;
        true
    }

    /// Returns the token of an extra request that was not sent.
    pub fn give_back(&self) {
        self.bucket.lock().add(1.0);
    }
}

impl Bucket {
    /// Adds tokens up to the capacity: those of one window, at least [`MIN_CAPACITY`].
    fn add(&mut self, tokens: f64) {
        let capacity = MIN_CAPACITY.max(self.last_credited).max(self.credited);
        self.tokens = (self.tokens + tokens).min(capacity);
    }

    /// Ends the window if its time has passed, and adds the tokens that it lacks
    /// of the minimum rate.
    fn roll_window(&mut self, now: clock::Millis, share: f64) {
        let elapsed_ms = now.since(self.window_start);
        if elapsed_ms < WINDOW_MS {
            return;
        }
        let floor = match share > 0.0 {
            true => MIN_EXTRA_PER_S * elapsed_ms as f64 / MS_PER_S,
            false => 0.0,
        };
        self.last_credited = self.credited * WINDOW_MS as f64 / elapsed_ms as f64;
        let shortfall = (floor - self.credited).max(0.0);
        self.credited = 0.0;
        self.window_start = now;
        self.add(shortfall);
    }
}
