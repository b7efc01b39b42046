//! Thread that evens out the targets this daemon keeps: shares for targets
//! that joined, load, and shards of their own for hot keys.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::clock;
use crate::daemon::keeper;
use crate::model;
use crate::placement;
use crate::state;
use crate::tables::{self, load};

/// Length of a window of load, and pause between two rounds.
const WINDOW: Duration = Duration::from_secs(5);

/// Windows seen before load moves anything, so that a start moves nothing.
const WARM_UP: u32 = 3;

/// Age above which a reported load is not used, in milliseconds.
const REPORT_AGE: u64 = 15_000;

/// Shards moved by one record.
const BATCH: usize = 128;

/// Pause between two records, so that receiving targets warm up.
const PACE: Duration = Duration::from_millis(100);

/// Longest wait for the log's decision.
const DECISION: Duration = Duration::from_secs(2);

/// Requests per second of a group below which load moves nothing.
const LEAST_RATE: f64 = 20.0;

impl tables::Shared {
    /// Evens out the targets that this daemon keeps until the token is cancelled.
    pub fn run_balancer(self: &Arc<Self>) {
        let mut windows = 0;
        while !self.token.wait_timeout(WINDOW) {
            let keepers: Vec<_> = self.keepers.read().values().cloned().collect();
            let now = clock::now();
            for keeper in &keepers {
                keeper.load.roll(now);
            }
            windows += 1;
            // A move that can't be recorded would only block its shards.
            let active = self.settings.policy.rebalance && self.journal.answers();
            if active && !self.leaving.load(Ordering::Relaxed) {
                self.fill(&keepers);
                if windows >= WARM_UP {
                    self.pin(&keepers);
                    self.rebalance(&keepers);
                }
            }
        }
    }

    /// Moves shards to targets that have joined.
    fn fill(self: &Arc<Self>, keepers: &[Arc<tables::keeper::Keeper>]) {
        let kept = |transfer: &placement::Transfer| {
            let mut keepers = keepers.iter();
            keepers.any(|keeper| keeper.target == transfer.from)
        };
        let transfers = self.plan_served(|state| {
            let planned = self.joins.lock().due(clock::now(), state);
            let fill = || {
                let groups = state.groups.keys();
                groups.flat_map(|group| placement::fill(state, group))
            };
            let planned = planned.unwrap_or_else(|| fill().collect());
            planned.into_iter().filter(kept).collect()
        });
        self.carry_out(keepers, transfers);
    }

    /// Moves shards away from targets that have too much load.
    fn rebalance(self: &Arc<Self>, keepers: &[Arc<tables::keeper::Keeper>]) {
        let transfers = self.plan_served(|state| self.shifts(state, keepers));
        self.carry_out(keepers, transfers);
    }

    fn shifts(
        &self,
        state: &state::State,
        keepers: &[Arc<tables::keeper::Keeper>],
    ) -> Vec<placement::Transfer> {
        let mut transfers = Vec::new();
        for keeper in keepers {
            for (group, rates) in keeper.load.rates() {
                let Some(elsewhere) = self.loads_elsewhere(state, &group, &keeper.target) else {
                    continue;
                };
                let own: f64 = rates.shards.values().sum();
                if own + elsewhere.values().sum::<f64>() < LEAST_RATE {
                    continue;
                }
                let planned =
                    placement::rebalance(state, &group, &rates.shards, &elsewhere).into_iter();
                transfers.extend(planned.filter(|transfer| transfer.from == keeper.target));
            }
        }
        transfers
    }

    /// Returns the loads of the group's other targets, if all are known.
    fn loads_elsewhere(
        &self,
        state: &state::State,
        group: &model::GroupId,
        own: &model::TargetName,
    ) -> Option<BTreeMap<model::TargetName, f64>> {
        let now = clock::now();
        let others = state
            .candidates(group)
            .into_iter()
            .filter(|target| target.name != *own);
        others
            .map(|target| {
                let keeper = self.keeper(&target.name);
                let kept = keeper.and_then(|keeper| keeper.load.rate(now));
                let load = kept.or_else(|| self.reported_load(&target.name, now))?;
                Some((target.name.clone(), load))
            })
            .collect()
    }

    /// Returns the requests per second that a target's holder reported lately.
    fn reported_load(&self, target: &model::TargetName, now: clock::Millis) -> Option<f64> {
        let loads = self.loads.lock();
        let (load, at) = loads.get(target)?;
        (now.since(*at) <= REPORT_AGE).then_some(*load)
    }

    fn carry_out(
        self: &Arc<Self>,
        keepers: &[Arc<tables::keeper::Keeper>],
        transfers: Vec<placement::Transfer>,
    ) {
        for transfer in placement::batches(&transfers, BATCH) {
            let keeper = keepers.iter().find(|keeper| keeper.target == transfer.from);
            let Some(keeper) = keeper.filter(|keeper| !keeper.is_lost()) else {
                continue;
            };
            log::info!(
                "moving {} shards of {} from {} to {}",
                transfer.shards.len(),
                transfer.group,
                transfer.from,
                transfer.to
            );
            // Requests that run on the shards are not worth waiting for here;
            // the next round tries again.
            let worker = keeper::Worker::new(self.clone(), keeper.clone());
            worker.transfer(transfer, true);
            if self.token.wait_timeout(PACE) {
                return;
            }
        }
    }

    /// Gives hot keys shards of their own, and takes those of keys that are cold again.
    fn pin(self: &Arc<Self>, keepers: &[Arc<tables::keeper::Keeper>]) {
        let state = self.journal.state();
        let mut bodies = Vec::new();
        for keeper in keepers.iter().filter(|keeper| !keeper.is_moving()) {
            let lease = self.leases.lock().recorded(&keeper.target);
            let Some(lease) = lease else {
                continue;
            };
            for (group, rates) in keeper.load.rates() {
                let owner = model::TargetName::clone(&keeper.target);
                bodies.extend(pin_records(&state, &group, &rates, &owner, lease));
            }
        }
        if bodies.is_empty() {
            return;
        }
        log::info!("pinning or unpinning {} keys", bodies.len());
        let decisions = self.journal.propose_all(bodies, state.next, DECISION);
        for decision in decisions.into_iter().flatten() {
            if let state::Verdict::Rejected(why) = decision.verdict {
                log::info!("a pin was not recorded: {why}");
            }
        }
    }
}

/// Returns the records that pin and unpin keys of `group` at `owner`.
fn pin_records(
    state: &state::State,
    group: &model::GroupId,
    rates: &load::Rates,
    owner: &model::TargetName,
    lease: model::Offset,
) -> Vec<state::Body> {
    let Some(table) = state.groups.get(group) else {
        return Vec::new();
    };
    let mine = table
        .pinned
        .iter()
        .filter(|(_, pinned)| pinned.target == *owner);
    let pinned = mine.map(|(key, _)| *key).collect();
    let shards = table.shards.len() as u32;
    let owned = state
        .shards_of(owner)
        .into_iter()
        .filter(|(id, _, _)| id == group);
    let share: usize = owned
        .map(|(_, shards, _)| {
            shards
                .ranges
                .iter()
                .map(|(a, b)| (b - a) as usize + 1)
                .sum::<usize>()
        })
        .sum();
    let free = placement::PINNED_LIMIT.saturating_sub(table.pinned.len());
    let limit = free + std::collections::BTreeSet::len(&pinned);
    let total_shards = (share as u32).clamp(1, shards.max(1));
    let hot = placement::hot_keys(&rates.keys, &pinned, rates.total, total_shards, limit);
    let pins = hot.pins.into_iter().map(|key| state::Body::Pin {
        group: group.clone(),
        key,
        lease,
    });
    let home = |key: &model::KeyHash| {
        let shard = model::Shard::Range(key.shard(shards));
        state
            .shard_owner(group, shard)
            .is_some_and(|home| home.target == *owner)
    };
    let unpins = hot
        .unpins
        .into_iter()
        .filter(home)
        .map(|key| state::Body::Unpin {
            group: group.clone(),
            key,
            lease,
        });
    pins.chain(unpins).collect()
}
