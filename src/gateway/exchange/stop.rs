//! Shutdown: which requests a stopping daemon still takes, and until when it answers.

use std::time::Duration;

use crate::clock;
use crate::gateway::shared::Shared;

/// Part of the grace period, in percent, after which requests that have not ended are
/// answered in place of being cut.
const ANSWER_PERCENT: u64 = 93;

/// Part of the grace period, in percent, after which responses that are not yet sent
/// completely are cut. The rest is for the end of the process.
const RESPONSE_PERCENT: u64 = 96;

/// A request is expected to take at most this multiple of its route's mean work, for
/// queues and slow targets.
const WORK_FACTOR: f64 = 3.0;

/// Shutdown of a daemon in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    /// Time at which requests that have not ended are answered.
    pub answer_at: clock::Millis,
    /// Time at which responses that are not yet sent completely are cut.
    pub cut_at: clock::Millis,
}

impl Stop {
    /// Returns a shutdown that begins at `now` and may take `grace` milliseconds.
    pub fn new(now: clock::Millis, grace: u64) -> Self {
        Self {
            answer_at: now + grace * ANSWER_PERCENT / 100,
            cut_at: now + grace * RESPONSE_PERCENT / 100,
        }
    }

    /// Returns whether a request can be expected to end in time: by its deadline, or by
    /// the mean work of its route, `work_ms` milliseconds.
    pub fn takes(&self, now: clock::Millis, deadline: clock::Millis, work_ms: f64) -> bool {
        let work = (work_ms * WORK_FACTOR).ceil() as u64;
        now + deadline.since(now).min(work) <= self.answer_at
    }
}

/// Waits until the daemon stops and requests that have not ended must be answered.
pub(crate) async fn answer_time(shared: &Shared) {
    let mut stop = shared.stop.subscribe();
    let stop = stop.wait_for(Option::is_some).await.map(|stop| *stop);
    let Ok(Some(stop)) = stop else {
        // The sender is dropped only with the shared state.
        return std::future::pending().await;
    };
    loop {
        let remaining = stop.answer_at.since(clock::now());
        if remaining == 0 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(remaining)).await;
    }
}
