//! Timer and pool for second attempts at slow requests.

use std::panic::{self, AssertUnwindSafe};
use std::sync::Arc;
use std::time::Instant;

use crossbeam::channel;

use crate::tables::timer;
use crate::token;

/// Threads for second attempts.
pub const THREADS: usize = 16;

/// Second attempts that may wait for a thread; those beyond are left out.
const QUEUE: usize = 16;

type Job = Box<dyn FnOnce() + Send>;

/// Timer and pool for second attempts.
pub struct Hedges {
    timer: Arc<timer::Timer>,
    sender: channel::Sender<Option<Job>>,
    receiver: channel::Receiver<Option<Job>>,
}

impl Default for Hedges {
    fn default() -> Self {
        let (sender, receiver) = channel::bounded(QUEUE);
        Self {
            timer: Arc::default(),
            sender,
            receiver,
        }
    }
}

impl Hedges {
    /// Starts second attempts until `token` is cancelled.
    pub fn run_timer(&self, token: &token::Token) {
        let timer = self.timer.clone();
        let _stop = token.on_cancel(move || timer.stop());
        self.timer.run();
        for _ in 0..THREADS {
            let _ = self.sender.send(None);
        }
    }

    /// Has `action` run at `at`, unless the result is dropped before. An
    /// action must not block.
    pub fn arm(&self, at: Instant, action: impl FnOnce() + Send + 'static) -> timer::Armed {
        self.timer.arm(at, action)
    }

    /// Hands a second attempt to the pool, and returns whether there was room.
    pub fn submit(&self, job: impl FnOnce() + Send + 'static) -> bool {
        self.sender.try_send(Some(Box::new(job))).is_ok()
    }

    /// Carries out second attempts until the timer has ended.
    pub fn run_attempts(&self) {
        while let Ok(Some(job)) = self.receiver.recv() {
            if panic::catch_unwind(AssertUnwindSafe(job)).is_err() {
                log::error!("a second attempt panicked");
            }
        }
    }
}
