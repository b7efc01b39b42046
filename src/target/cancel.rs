//! Cancels requests at targets in the background, so that callers don't block.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use crossbeam::channel;

use crate::clock;
use crate::target::admission;
use crate::target::control;
use crate::token;

/// Maximum number of queued cancellations. Further ones are dropped: the target
/// then ends the request at its deadline.
const MAX_QUEUED: usize = 256;

/// Delay before the cancellation of a request that the target did not know is
/// retried, in milliseconds: the request may still have been in transit.
const RETRY_DELAY_MS: u64 = 50;

/// Maximum interval between two checks of the cancellation token.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A request to be cancelled.
pub struct Job {
    /// Address of the target.
    pub target: SocketAddr,
    /// Identifier of the request at the target.
    pub request: String,
    /// Slot to free after the target's confirmation, if the request was given up.
    pub unsettled: Option<admission::Unsettled>,
}

/// Bounded queue of cancellations, served by one thread.
pub struct Queue {
    sender: channel::Sender<Job>,
    receiver: channel::Receiver<Job>,
}

impl Default for Queue {
    fn default() -> Self {
        let (sender, receiver) = channel::bounded(MAX_QUEUED);
        Self { sender, receiver }
    }
}

impl Queue {
    /// Appends a cancellation, or drops it if the queue is full.
    pub fn push(&self, job: Job) {
        if let Err(error) = self.sender.try_send(job) {
            let job = error.into_inner();
            log::debug!("cannot cancel request {}: queue is full", job.request);
        }
    }

    /// Sends queued cancellations until `token` is cancelled, and retries once
    /// those of requests that the target did not know.
    pub fn run(&self, client: &control::Client, token: &token::Token) {
        let mut retries: VecDeque<(clock::Millis, Job)> = VecDeque::new();
        while !token.is_cancelled() {
            let next_retry = retries.front().map(|(at, _)| at.since(clock::now()));
            let wait = next_retry
                .map_or(POLL_INTERVAL, clock::duration)
                .min(POLL_INTERVAL);
            if let Ok(job) = self.receiver.recv_timeout(wait)
                && let Some(job) = cancel(client, job, false)
            {
                retries.push_back((clock::now() + RETRY_DELAY_MS, job));
            }
            while let Some((_, job)) = retries.pop_front_if(|(at, _)| *at <= clock::now()) {
                cancel(client, job, true);
            }
        }
    }
}

/// Cancels a request at its target. Returns the job for a retry if the target did
/// not know the request, unless this is the `last` attempt.
fn cancel(client: &control::Client, job: Job, last: bool) -> Option<Job> {
    match client.cancel(job.target, &job.request) {
        Ok(false) if !last => return Some(job),
        Ok(_) => {
            if let Some(unsettled) = job.unsettled {
                unsettled.settle();
            }
        }
        Err(error) => log::debug!("cannot cancel request {}: {error}", job.request),
    }
    None
}
