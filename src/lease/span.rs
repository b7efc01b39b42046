//! The span that a holder announces: the longest remaining time of its requests.

use crate::clock::Millis;
use crate::lease;

/// Length of a window, in milliseconds, and the least time for which a request
/// counts: until the window after its own ends. Requests of one service have similar deadlines, so that the
/// first request after a quiet period usually finds a sufficient span.
const WINDOW_MS: u64 = 30_000;

/// Time for which the expected remaining time counts at least, in milliseconds,
/// even if requests have been seen.
const EXPECTATION_MS: u64 = 3_000;

/// Longest remaining times, in milliseconds, of the requests that a holder was
/// asked to send in the current and the last window.
#[derive(Clone, Copy, Debug)]
pub(super) struct WindowedMax {
    created: Millis,
    /// Assumed longest remaining time until requests were seen; 0 afterwards.
    expected: u64,
    window_start: Millis,
    last_max: u64,
    current_max: u64,
}

impl WindowedMax {
    pub(super) fn new(now: Millis, expected: u64) -> Self {
        Self {
            created: now,
            expected,
            window_start: now,
            last_max: 0,
            current_max: 0,
        }
    }

    /// Records a request with `left` milliseconds of remaining time.
    pub(super) fn record(&mut self, now: Millis, left: u64) {
        self.advance(now);
        self.current_max = self.current_max.max(left);
    }

    /// Starts a new window when the current one has ended, and drops the
    /// expected remaining time once requests were seen.
    pub(super) fn advance(&mut self, now: Millis) {
        if self.current_max > 0 && now.since(self.created) >= EXPECTATION_MS {
            self.expected = 0;
        }
        let elapsed = now.since(self.window_start);
        if elapsed >= WINDOW_MS {
            self.last_max = if elapsed < 2 * WINDOW_MS {
                self.current_max
            } else {
                0
            };
            self.current_max = 0;
            self.window_start = now;
        }
    }

    /// Returns the span to announce, in milliseconds: the longest remaining
    /// time, rounded up to a multiple of [`lease::SPAN_UNIT`].
    pub(super) fn rounded_max(&self) -> u64 {
        let longest = self
            .last_max
            .max(self.current_max)
            .max(self.expected)
            .max(1);
        longest.div_ceil(lease::SPAN_UNIT) * lease::SPAN_UNIT
    }
}

/// Returns the time from `now`, in milliseconds, after which all requests of a
/// holder have ended: those that it sends with at most `span` of remaining time
/// until it is replaced by a record written now, and earlier ones, which end by
/// `earlier_end`.
pub(super) fn drain_time(now: Millis, span: u64, earlier_end: Millis) -> u64 {
    earlier_end.since(now).max(lease::STALE_START_MS + span)
}
