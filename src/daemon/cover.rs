//! Waits until the backup has acknowledged how long a request may run.

use std::time::Duration;

use crate::clock;
use crate::daemon::hold;
use crate::server;
use crate::tables;

/// Longest wait until the backup has acknowledged a span as long as the
/// request's remaining time, in milliseconds.
const SPAN_TIMEOUT_MS: u64 = 200;

/// Pause between two checks of the acknowledged span.
const SPAN_CHECK_PAUSE: Duration = Duration::from_millis(2);

/// Time after which a refused caller should retry, in milliseconds.
const RETRY_AFTER_MS: u64 = 50;

impl tables::Shared {
    /// Waits until the span of the lease covers the request's remaining time.
    /// That takes a round trip to the backup only if no recent request for the
    /// target was as long. Requests without a shard need no span.
    ///
    /// # Errors
    /// Refuses the request, which has not run, if the wait takes longer than
    /// [`SPAN_TIMEOUT_MS`] or the request is cancelled.
    pub(super) fn wait_for_span(&self, order: &hold::Order<'_>) -> Result<(), server::Refusal> {
        if order.shard.is_none() {
            return Ok(());
        }
        let start = clock::now();
        loop {
            let now = clock::now();
            let left = order.deadline.since(now);
            if self.leases.lock().cover(order.target, now, left) {
                return Ok(());
            }
            if now.since(start) >= SPAN_TIMEOUT_MS || order.token.is_cancelled() {
                let detail = "the backup has not noted yet that requests may run this long";
                return Err(
                    server::Refusal::not_run(server::Reason::Moved, detail).after(RETRY_AFTER_MS)
                );
            }
            std::thread::sleep(SPAN_CHECK_PAUSE);
        }
    }
}
