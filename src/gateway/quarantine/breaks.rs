//! Attempts whose connection broke off, until it is known whether the target's instance
//! ended.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::clock;
use crate::gateway::choice;
use crate::gateway::quarantine::Digest;

/// Breaks that wait for proof; bounds memory.
pub(super) const CAPACITY: usize = 1_024;

/// Time for which a break waits for proof that the instance has ended, in milliseconds.
/// The list shows an instance that returns after some seconds by its new birth.
const WAIT_MS: u64 = 10_000;

/// Times after a break at which a connection to the instance is opened, in milliseconds.
const PROBES_MS: [u64; 4] = [20, 150, 400, 900];

/// An attempt that broke off at an instance.
#[derive(Clone, Debug)]
pub(super) struct Break {
    pub(super) digest: Digest,
    pub(super) route: Arc<str>,
    pub(super) instance: choice::Instance,
    pub(super) began: clock::Millis,
    pub(super) ended: clock::Millis,
    pub(super) cold: bool,
}

/// Connections that are opened to one instance.
#[derive(Clone, Copy, Debug)]
struct Schedule {
    /// Time of the break.
    since: clock::Millis,
    /// Connections that were opened.
    opened: usize,
}

impl Schedule {
    /// Returns when the next connection is opened, if there is one more.
    fn next(self) -> Option<clock::Millis> {
        PROBES_MS.get(self.opened).map(|delay| self.since + *delay)
    }
}

/// Breaks that wait for proof, the oldest first.
#[derive(Debug, Default)]
pub(super) struct Breaks {
    waiting: VecDeque<Break>,
    schedules: BTreeMap<choice::Instance, Schedule>,
}

impl Breaks {
    /// Adds a break, and drops the oldest one if there are too many.
    pub(super) fn add(&mut self, new: Break) {
        if self.waiting.len() == CAPACITY {
            self.drop_oldest();
        }
        let schedule = Schedule {
            since: new.ended,
            opened: 0,
        };
        self.schedules.insert(new.instance.clone(), schedule);
        self.waiting.push_back(new);
    }

    fn drop_oldest(&mut self) {
        if let Some(oldest) = self.waiting.pop_front() {
            self.drop_schedule(&oldest.instance);
        }
    }

    /// Opens no further connections to an instance without a break.
    fn drop_schedule(&mut self, instance: &choice::Instance) {
        if !self.waiting.iter().any(|known| known.instance == *instance) {
            self.schedules.remove(instance);
        }
    }

    /// Returns the number of breaks.
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Drops the breaks that ended before an attempt began to which the instance responded.
    pub(super) fn on_response(&mut self, instance: &choice::Instance, began: clock::Millis) {
        if self.waiting.is_empty() {
            return;
        }
        self.waiting
            .retain(|known| known.instance != *instance || known.ended >= began);
        self.drop_schedule(instance);
    }

    /// Takes the breaks before `began` at an instance that refused a connection begun then.
    pub(super) fn on_refused(
        &mut self,
        instance: &choice::Instance,
        began: clock::Millis,
    ) -> Vec<Break> {
        self.take(|known| known.instance == *instance && known.ended <= began)
    }

    /// Opens no further connections to an instance that accepted one.
    pub(super) fn on_accepted(&mut self, instance: &choice::Instance) {
        self.schedules.remove(instance);
    }

    /// Takes the breaks at instances that are not current.
    pub(super) fn on_list(&mut self, is_current: impl Fn(&choice::Instance) -> bool) -> Vec<Break> {
        self.take(|known| !is_current(&known.instance))
    }

    fn take(&mut self, is_proven: impl Fn(&Break) -> bool) -> Vec<Break> {
        if !self.waiting.iter().any(&is_proven) {
            return Vec::new();
        }
        let waiting = std::mem::take(&mut self.waiting);
        let (proven, rest): (Vec<_>, Vec<_>) = waiting.into_iter().partition(is_proven);
        self.waiting = rest.into();
        for known in &proven {
            self.drop_schedule(&known.instance);
        }
        proven
    }

    /// Returns the instances to which a connection is to be opened now.
    pub(super) fn take_probes(&mut self, now: clock::Millis) -> Vec<choice::Instance> {
        let mut due = Vec::new();
        for (instance, schedule) in &mut self.schedules {
            if schedule.next().is_some_and(|next| next <= now) {
                schedule.opened += 1;
                due.push(instance.clone());
            }
        }
        due
    }

    /// Drops breaks that have waited for too long.
    pub(super) fn expire(&mut self, now: clock::Millis) {
        let is_old = |known: &Break| now.since(known.ended) > WAIT_MS;
        while self.waiting.front().is_some_and(is_old) {
            self.drop_oldest();
        }
    }
}
