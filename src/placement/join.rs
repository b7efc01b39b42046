//! Moves to targets that have joined, planned from one state by all holders.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::clock;
use crate::model;
use crate::placement::{self, Transfer};
use crate::state;

/// Time for which a plan is valid, in milliseconds. After that, targets that
/// still have too few shards are filled from the current state. Holders start
/// within 5 s of each other and pause after each batch.
const PLAN_VALIDITY_MS: u64 = 20_000;

/// Planned moves to the targets that joined last.
///
/// Each holder moves only the shards of its own targets. If each planned from
/// the state in which it starts, it would see the moves of earlier holders and
/// give fewer shards, and the joined targets would get only three quarters of
/// their share.
#[derive(Debug, Default)]
pub struct Joins {
    /// Transfers of the last plan.
    planned: Vec<Transfer>,
    /// Time at which the plan was made.
    planned_at: clock::Millis,
}

impl Joins {
    /// Observes a new state, and makes a plan if targets have joined in it.
    pub fn follow(&mut self, now: clock::Millis, older: &state::State, newer: &state::State) {
        // A daemon that has just started sees all targets for the first time.
        let started = older.next == model::Offset(0);
        if started || Arc::ptr_eq(&older.config, &newer.config) {
            return;
        }
        let groups = newer.groups.keys();
        let joined = groups.filter(|group| has_new_candidate(older, newer, group));
        let planned: Vec<_> = joined
            .flat_map(|group| placement::fill(newer, group))
            .collect();
        if !planned.is_empty() {
            self.planned = planned;
            self.planned_at = now;
        }
    }

    /// Returns the planned transfers that `state` does not show as done, or
    /// `None` if there is no valid plan.
    ///
    /// Transfers to targets that take no new work are omitted.
    pub fn due(&self, now: clock::Millis, state: &state::State) -> Option<Vec<Transfer>> {
        if self.planned.is_empty() || now.since(self.planned_at) >= PLAN_VALIDITY_MS {
            return None;
        }
        let valid = self
            .planned
            .iter()
            .filter(|transfer| state.takes_work(&transfer.to));
        let remaining = valid.map(|transfer| remaining_part(transfer, state));
        Some(
            remaining
                .filter(|transfer| !transfer.shards.is_empty())
                .collect(),
        )
    }
}

/// Returns whether a group has a candidate in `newer` that it had not in `older`.
fn has_new_candidate(older: &state::State, newer: &state::State, group: &model::GroupId) -> bool {
    let before = older.candidates(group).into_iter();
    let before: BTreeSet<_> = before.map(|target| &target.name).collect();
    let mut after = newer.candidates(group).into_iter();
    after.any(|target| !before.contains(&target.name))
}

/// Returns a transfer's shards that its source still owns, as a transfer.
fn remaining_part(transfer: &Transfer, state: &state::State) -> Transfer {
    let not_moved = |shard: &model::Shard| {
        let owner = state.shard_owner(&transfer.group, *shard);
        owner.is_some_and(|owner| owner.target == transfer.from)
    };
    Transfer {
        shards: transfer.shards.iter().filter(not_moved).collect(),
        ..transfer.clone()
    }
}
