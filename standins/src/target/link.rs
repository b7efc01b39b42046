//! Connections that go silent, and the freeze of the whole target.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use parking_lot::{Condvar, Mutex};

use crate::http;

/// The connection that a request came on.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    number: u64,
    /// Whether this is the first request on the connection.
    pub fresh: bool,
}

/// Which connections are silent.
#[derive(Default)]
pub struct Links {
    next: AtomicU64,
    silent_below: AtomicU64,
    releases: Mutex<u64>,
    released: Condvar,
}

impl Links {
    /// Returns the connection of a request.
    pub fn enter(&self, connection: &http::Connection) -> Link {
        let number = connection.number;
        self.next.fetch_max(number + 1, Ordering::SeqCst);
        let fresh = connection.count() == 0;
        Link { number, fresh }
    }

    /// Makes the connections that carried a request until now silent.
    pub fn silence(&self) {
        let next = self.next.load(Ordering::SeqCst);
        self.silent_below.store(next, Ordering::SeqCst);
    }

    /// Ends the silence and wakes the requests that wait in it.
    pub fn release(&self) {
        self.silent_below.store(0, Ordering::SeqCst);
        *self.releases.lock() += 1;
        self.released.notify_all();
    }

    /// Returns false at once if the connection isn't silent; otherwise waits
    /// until the silence is ended and returns true.
    pub fn wait_silent(&self, link: Link) -> bool {
        let mut releases = self.releases.lock();
        if link.number >= self.silent_below.load(Ordering::SeqCst) {
            return false;
        }
        let before = *releases;
        while *releases == before {
            self.released.wait(&mut releases);
        }
        true
    }

    /// Returns whether any connection is silent.
    pub fn any_silent(&self) -> bool {
        self.silent_below.load(Ordering::SeqCst) > 0
    }
}

/// Holds back everything while the target is frozen.
#[derive(Default)]
pub struct Gate {
    closed: AtomicBool,
    until: Mutex<Option<Instant>>,
    changed: Condvar,
}

impl Gate {
    /// Freezes for `time` from now; zero ends a freeze.
    pub fn freeze(&self, time: Duration) {
        *self.until.lock() = Some(Instant::now() + time);
        self.closed.store(true, Ordering::SeqCst);
        self.changed.notify_all();
    }

    /// Waits until the target isn't frozen.
    pub fn pass(&self) {
        if !self.closed.load(Ordering::SeqCst) {
            return;
        }
        let mut until = self.until.lock();
        while let Some(end) = until.filter(|end| Instant::now() < *end) {
            self.changed.wait_until(&mut until, end);
        }
        self.closed.store(false, Ordering::SeqCst);
    }
}
