//! How old the knowledge is that running requests were admitted with.

use std::collections::BTreeMap;

use parking_lot::Mutex;

use crate::model;

/// Running requests, counted by the next offset of the state that each of them
/// was admitted with.
#[derive(Debug, Default)]
pub struct Running {
    counts: Mutex<BTreeMap<model::Offset, usize>>,
}

/// Ends the count of one request when dropped.
pub struct Entered<'a> {
    running: &'a Running,
    next: model::Offset,
}

impl Running {
    /// Counts a request that is admitted with a state up to `next`.
    pub fn enter(&self, next: model::Offset) -> Entered<'_> {
        *self.counts.lock().entry(next).or_default() += 1;
        Entered {
            running: self,
            next,
        }
    }

    /// Returns the offset below which every record is known to all running
    /// requests; `next` is that of the newest state.
    pub fn oldest(&self, next: model::Offset) -> model::Offset {
        let counts = self.counts.lock();
        let first = counts.keys().next().copied();
        first.map_or(next, |first| first.min(next))
    }
}

impl Drop for Entered<'_> {
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
