//! Limit on the requests that wait for a newer state.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Semaphore that limits how many requests wait for a newer state, so that
/// workers remain for the others.
#[derive(Debug)]
pub struct Seats {
    limit: usize,
    taken: AtomicUsize,
}

impl Seats {
    /// Returns a semaphore with seats for half of `workers`, at least one.
    pub fn half_of(workers: usize) -> Self {
        Self {
            limit: (workers / 2).max(1),
            taken: AtomicUsize::new(0),
        }
    }

    /// Takes a seat until the returned guard is dropped, or returns `None` if all
    /// are taken.
    pub fn take(&self) -> Option<Seat<'_>> {
        let increment = |taken| (taken < self.limit).then_some(taken + 1);
        let taken = &self.taken;
        let taken = taken.fetch_update(Ordering::Relaxed, Ordering::Relaxed, increment);
        taken.ok().map(|_| Seat(self))
    }
}

/// Seat of a waiting request, freed when dropped.
#[derive(Debug)]
pub struct Seat<'a>(&'a Seats);

impl Drop for Seat<'_> {
    fn drop(&mut self) {
        self.0.taken.fetch_sub(1, Ordering::Relaxed);
    }
}
