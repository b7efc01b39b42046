//! Waits until the backup knows how long a request may run.

use std::time::Duration;

use crate::clock;
use crate::daemon::hold;
use crate::server;
use crate::tables;

/// Longest wait until the backup has noted that requests may run as long as
/// this one, in milliseconds.
const COVER: u64 = 200;

/// Pause between two looks whether it has.
const COVER_PAUSE: Duration = Duration::from_millis(2);

impl tables::Shared {
    /// Waits until the span of the lease covers the request. That takes a round
    /// trip to the backup only if no recent request for the target was as long.
    pub(super) fn cover(&self, order: &hold::Order<'_>) -> Result<(), server::Refusal> {
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
            if now.since(start) >= COVER || order.token.is_cancelled() {
                let detail = "the backup has not noted yet that requests may run this long";
                return Err(server::Refusal::not_run(server::Reason::Moved, detail).after(50));
            }
            std::thread::sleep(COVER_PAUSE);
        }
    }
}
