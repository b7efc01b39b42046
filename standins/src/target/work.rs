//! Requests that run, and how they are stopped.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::{Condvar, Mutex};

use crate::target::{grant, history};

/// Parts of the table of running requests, each with a lock of its own.
const PARTS: usize = 16;

/// A request that runs.
pub struct Work {
    /// The number of the run.
    pub number: u64,
    /// The `request-id` header.
    pub request: Option<String>,
    /// The group and the shard of the request.
    pub shard: Option<(String, grant::Shard)>,
    /// When to stop.
    pub deadline: Option<Instant>,
    stopped: Mutex<bool>,
    changed: Condvar,
}

impl Work {
    /// Returns a request that wasn't stopped.
    pub fn new(
        number: u64,
        request: Option<String>,
        claim: &grant::Claim,
        deadline: Option<Instant>,
    ) -> Self {
        let shard = claim.shard.as_deref().and_then(grant::Shard::parse);
        Self {
            number,
            request,
            shard: claim.group.clone().zip(shard),
            deadline,
            stopped: Mutex::new(false),
            changed: Condvar::new(),
        }
    }

    /// Stops the request.
    pub fn stop(&self) {
        *self.stopped.lock() = true;
        self.changed.notify_all();
    }

    /// Spends `time` on the request.
    ///
    /// # Errors
    /// [`history::Outcome::Cancelled`] or [`history::Outcome::Deadline`], as
    /// soon as one of them stops the request.
    pub fn spend(&self, time: Duration) -> Result<(), history::Outcome> {
        let start = Instant::now();
        let end = start + time;
        let stop = self.deadline.map_or(end, |deadline| deadline.min(end));
        let mut stopped = self.stopped.lock();
        while !*stopped && !time.is_zero() && Instant::now() < stop {
            self.changed.wait_until(&mut stopped, stop);
        }
        if *stopped {
            return Err(history::Outcome::Cancelled);
        }
        if self.deadline.is_some_and(|deadline| deadline < end) {
            return Err(history::Outcome::Deadline);
        }
        Ok(())
    }
}

/// The requests that run, by the number of their run.
#[derive(Default)]
pub struct Table {
    parts: [Mutex<HashMap<u64, Arc<Work>>>; PARTS],
}

impl Table {
    fn part(&self, number: u64) -> &Mutex<HashMap<u64, Arc<Work>>> {
        &self.parts[number as usize % PARTS]
    }

    /// Adds a request.
    pub fn insert(&self, work: Arc<Work>) {
        self.part(work.number).lock().insert(work.number, work);
    }

    /// Removes a request.
    pub fn remove(&self, number: u64) {
        self.part(number).lock().remove(&number);
    }

    /// Counts the requests that `test` accepts.
    pub fn count(&self, test: impl Fn(&Work) -> bool) -> u64 {
        let counts = self.parts.iter().map(|part| {
            let part = part.lock();
            part.values().filter(|work| test(work)).count() as u64
        });
        counts.sum()
    }

    /// Stops the requests that `test` accepts and returns how many these are.
    pub fn stop(&self, test: impl Fn(&Work) -> bool) -> u64 {
        self.count(|work| {
            let chosen = test(work);
            if chosen {
                work.stop();
            }
            chosen
        })
    }
}
