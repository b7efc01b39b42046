//! Slots, and the time until a target is warm.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use parking_lot::Mutex;

use crate::target::grant;

#[derive(Default)]
struct Taken {
    limit: usize,
    requests: usize,
    busy: usize,
}

/// The slots of a target. Requests are refused above the limit; work of the
/// target itself (probes, new connections) takes a slot even then.
#[derive(Default)]
pub struct Slots(Mutex<Taken>);

impl Slots {
    /// Returns `limit` free slots.
    pub fn new(limit: usize) -> Self {
        let taken = Taken {
            limit,
            ..Taken::default()
        };
        Self(Mutex::new(taken))
    }

    /// Sets the number of slots; running requests keep theirs.
    pub fn resize(&self, limit: usize) {
        self.0.lock().limit = limit;
    }

    /// Returns how many slots are taken.
    pub fn active(&self) -> u64 {
        let taken = self.0.lock();
        (taken.requests + taken.busy) as u64
    }

    /// Takes a slot for a request, with the limit on requests that holds
    /// while the target is cold, and returns it with the number of requests
    /// that run now.
    ///
    /// # Errors
    /// [`grant::Refusal::Cold`] or [`grant::Refusal::Shed`].
    pub fn take(self: &Arc<Self>, cold: Option<usize>) -> Result<(Held, u64), grant::Refusal> {
        let mut taken = self.0.lock();
        if cold.is_some_and(|limit| taken.requests >= limit) {
            return Err(grant::Refusal::Cold);
        }
        if taken.requests + taken.busy >= taken.limit {
            return Err(grant::Refusal::Shed);
        }
        taken.requests += 1;
        let held = Held {
            slots: Arc::clone(self),
            request: true,
        };
        Ok((held, taken.requests as u64))
    }

    /// Takes a slot for the target's own work.
    pub fn occupy(self: &Arc<Self>) -> Held {
        self.0.lock().busy += 1;
        Held {
            slots: Arc::clone(self),
            request: false,
        }
    }
}

/// A slot that is free again when this value is dropped.
pub struct Held {
    slots: Arc<Slots>,
    request: bool,
}

impl Drop for Held {
    fn drop(&mut self) {
        let mut taken = self.slots.0.lock();
        if self.request {
            taken.requests -= 1;
        } else {
            taken.busy -= 1;
        }
    }
}

/// Whether a target is cold: until it served `requests` or `time` has passed,
/// whichever comes first. A limit of 0 doesn't count; without any limit a cold
/// target stays cold until it is told otherwise.
pub struct Warmth {
    requests: u64,
    time: Duration,
    cold: AtomicBool,
    served: AtomicU64,
    since: Mutex<Instant>,
}

impl Warmth {
    /// Returns a target that is cold if any limit is set.
    pub fn new(requests: u64, time: Duration) -> Self {
        Self {
            requests,
            time,
            cold: AtomicBool::new(requests > 0 || !time.is_zero()),
            served: AtomicU64::new(0),
            since: Mutex::new(Instant::now()),
        }
    }

    /// Makes the target cold as at its start.
    pub fn restart(&self) {
        self.set(self.requests > 0 || !self.time.is_zero());
    }

    /// Makes the target cold or warm.
    pub fn set(&self, cold: bool) {
        self.served.store(0, Ordering::Relaxed);
        *self.since.lock() = Instant::now();
        self.cold.store(cold, Ordering::Relaxed);
    }

    /// Notes that a request was served.
    pub fn served(&self) {
        if self.cold.load(Ordering::Relaxed) {
            self.served.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns whether the target is cold.
    pub fn is_cold(&self) -> bool {
        if !self.cold.load(Ordering::Relaxed) {
            return false;
        }
        let served = self.served.load(Ordering::Relaxed);
        let enough = self.requests > 0 && served >= self.requests;
        let late = !self.time.is_zero() && self.since.lock().elapsed() >= self.time;
        if enough || late {
            self.cold.store(false, Ordering::Relaxed);
        }
        !enough && !late
    }
}
