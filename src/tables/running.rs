//! Oldest state that running requests were admitted with.

use std::collections::BTreeMap;

use parking_lot::Mutex;

use crate::model;

/// Number of running requests by the `next` offset of the state that they were
/// admitted with.
#[derive(Debug, Default)]
pub struct Running {
    counts: Mutex<BTreeMap<model::Offset, usize>>,
}

/// Counts a running request until it is dropped.
pub struct RunningGuard<'a> {
    running: &'a Running,
    next: model::Offset,
}

impl Running {
    /// Counts a request that is admitted with the state that ends before `next`.
    pub fn enter(&self, next: model::Offset) -> RunningGuard<'_> {
        *self.counts.lock().entry(next).or_default() += 1;
        RunningGuard {
            running: self,
            next,
        }
    }

    /// Returns the offset below which all running requests know every record.
    ///
    /// `next` is the offset of the newest state, returned if none is older.
    pub fn oldest(&self, next: model::Offset) -> model::Offset {
        let counts = self.counts.lock();
        let oldest = counts.keys().next().copied();
        oldest.map_or(next, |oldest| oldest.min(next))
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        let mut counts = self.running.counts.lock();
        if let Some(count) = counts.get_mut(&self.next) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.next);
            }
        }
    }
}
