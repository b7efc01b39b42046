//! Grace periods of draining targets, which take no new work but still serve their keys.
//!
//! The period starts when this daemon reads that a target takes no new work,
//! whichever daemon holds its lease: if it started with each lease, a change of
//! the holder would extend it. A daemon that starts later grants no period, since
//! it can't tell how long the target has been draining.

use std::collections::BTreeMap;

use crate::clock;
use crate::model;
use crate::state;

/// Time for which a target that is leaving, or whose failure domain is evacuated,
/// still serves the keys it owns while they move away, in milliseconds.
pub const GRACE_MS: u64 = 3_000;

/// Targets that take no new work, and when one daemon learned that.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Whether the daemon has seen itself up in the state.
    announced: bool,
    /// Start of each target's grace period; `None` if the daemon announced later.
    draining: BTreeMap<model::TargetName, Option<clock::Millis>>,
}

impl Table {
    /// Updates the table from a newer state, read at `now` by the daemon `me`.
    pub fn follow(&mut self, now: clock::Millis, state: &state::State, me: model::Incarnation) {
        if !self.announced && !state.is_up(me) {
            return;
        }
        let since = self.announced.then_some(now);
        self.announced = true;
        let targets = state.config.targets.keys();
        let out_targets = targets.filter(|target| !state.takes_work(target));
        let known_since =
            |target: &model::TargetName| self.draining.get(target).copied().unwrap_or(since);
        self.draining = out_targets
            .map(|target| (target.clone(), known_since(target)))
            .collect();
    }

    /// Returns whether a target that takes no new work still serves the keys
    /// that have not moved away yet.
    pub fn allows(&self, target: &model::TargetName, now: clock::Millis) -> bool {
        let since = self.draining.get(target).copied().flatten();
        since.is_some_and(|since| now.since(since) < GRACE_MS)
    }
}
