//! Timer and thread pool for hedges: second attempts at slow requests.

use std::panic::{self, AssertUnwindSafe};
use std::sync::Arc;
use std::time::Instant;

use crossbeam::channel;

use crate::tables::timer;
use crate::token;

/// Number of threads for hedges.
pub const THREADS: usize = 16;

/// Number of hedges that may wait for a thread; further ones are not sent.
const QUEUE_CAPACITY: usize = 16;

type Job = Box<dyn FnOnce() + Send>;

/// Timer and job queue of hedges.
pub struct Hedges {
    timer: Arc<timer::Timer>,
    sender: channel::Sender<Option<Job>>,
    receiver: channel::Receiver<Option<Job>>,
}

impl Default for Hedges {
    fn default() -> Self {
        let (sender, receiver) = channel::bounded(QUEUE_CAPACITY);
        Self {
            timer: Arc::default(),
            sender,
            receiver,
        }
    }
}

impl Hedges {
    /// Runs the timer until `token` is cancelled, then ends the pool's threads.
    pub fn run_timer(&self, token: &token::Token) {
        let timer = self.timer.clone();
        let _stop = token.on_cancel(move || timer.stop());
        self.timer.run();
        for _ in 0..THREADS {
            let _ = self.sender.send(None);
        }
    }

    /// Schedules `action` to run at `at`, unless the returned guard is dropped
    /// before. An action must not block.
    pub fn arm(&self, at: Instant, action: impl FnOnce() + Send + 'static) -> timer::Armed {
        self.timer.arm(at, action)
    }

    /// Queues a hedge for the pool, and returns whether the queue had room.
    pub fn submit(&self, job: impl FnOnce() + Send + 'static) -> bool {
        self.sender.try_send(Some(Box::new(job))).is_ok()
    }

    /// Runs queued hedges on the calling thread until the timer has ended.
    pub fn run_attempts(&self) {
        while let Ok(Some(job)) = self.receiver.recv() {
            if panic::catch_unwind(AssertUnwindSafe(job)).is_err() {
                log::error!("a hedge attempt panicked");
            }
        }
    }
}
