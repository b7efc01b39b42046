//! Reads of a topic that overlap: each begins at its time, whether or not the one before
//! has ended, so that a slow read delays only its own records.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::clock;
use crate::gateway::adapter;
use crate::gateway::feed::{self, CallError, Plan};
use crate::gateway::shared::Shared;
use crate::model;

/// Largest number of reads in progress. On a saturated link more of them would only slow
/// each other down.
const MAX_READS: usize = 3;

/// A read that has ended.
pub(super) struct Completed {
    /// Time at which it began.
    pub(super) started: clock::Millis,
    /// Records, or the reason why there are none.
    pub(super) result: Result<adapter::Batch, CallError>,
}

/// Reads in progress, which are cancelled when this is dropped.
pub(super) struct Reads {
    running: JoinSet<Completed>,
    /// Time at which the next read begins.
    due: Instant,
}

impl Reads {
    /// Returns a state in which the first read is due at once.
    pub(super) fn new() -> Self {
        Self {
            running: JoinSet::new(),
            due: Instant::now(),
        }
    }

    /// Lets the next read begin after `pause` milliseconds.
    pub(super) fn delay(&mut self, pause: u64) {
        self.due = Instant::now() + Duration::from_millis(pause);
    }

    /// Cancels all reads in progress.
    pub(super) fn cancel(&mut self) {
        self.running.abort_all();
        self.running = JoinSet::new();
    }

    /// Begins the reads from `from` on that are due, and returns the next one that ends.
    /// Cancelling this call loses no read.
    pub(super) async fn next(
        &mut self,
        shared: &Rc<Shared>,
        plan: &Plan,
        from: model::Offset,
    ) -> Completed {
        loop {
            let may_begin = self.running.len() < MAX_READS;
            tokio::select! {
                Some(ended) = self.running.join_next() => {
                    // A read does not panic, and a cancelled one is no longer in the set.
                    if let Ok(completed) = ended {
                        return completed;
                    }
                }
                _ = tokio::time::sleep_until(self.due), if may_begin => {
                    self.delay(plan.interval_ms);
                    self.begin(shared, plan, from);
                }
            }
        }
    }

    fn begin(&mut self, shared: &Rc<Shared>, plan: &Plan, from: model::Offset) {
        let (shared, topic) = (Rc::clone(shared), plan.topic);
        self.running.spawn_local(async move {
            let started = clock::now();
            let result = feed::read(&shared, topic, from, 0).await;
            Completed { started, result }
        });
    }
}
