//! Thread that balances the targets whose leases this daemon holds: it fills
//! targets that have joined, moves load between targets, and pins hot keys to
//! shards of their own.

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

/// Length of a load window, and pause between two rounds.
const LOAD_WINDOW: Duration = Duration::from_secs(5);

/// Load windows to complete before load moves shards, so that a daemon start
/// moves nothing.
const WARM_UP_WINDOWS: u32 = 3;

/// Age above which a reported load is ignored, in milliseconds.
const REPORT_MAX_AGE_MS: u64 = 15_000;

/// Most shards moved by one record.
const BATCH_SHARDS: usize = 128;

/// Pause between two records, in which the receiving targets warm up.
const BATCH_PAUSE: Duration = Duration::from_millis(100);

/// Longest wait for the log's decision on proposed records.
const DECISION_TIMEOUT: Duration = Duration::from_secs(2);

/// Rate of a placement group, in requests per second, below which its load
/// moves no shards.
const MIN_REQUESTS_PER_SECOND: f64 = 20.0;

impl tables::Shared {
    /// Balances the targets whose leases this daemon holds until the token is
    /// cancelled.
    pub fn run_balancer(self: &Arc<Self>) {
        let mut windows = 0;
        while !self.token.wait_timeout(LOAD_WINDOW) {
            let keepers: Vec<_> = self.keepers.read().values().cloned().collect();
            let now = clock::now();
            for keeper in &keepers {
                keeper.load.roll(now);
            }
            windows += 1;
            // While the log does not answer, a move would block its shards
            // without being recorded.
            let active = self.settings.policy.rebalance && self.journal.answers();
            if active && !self.leaving.load(Ordering::Relaxed) {
                self.fill(&keepers);
                if windows >= WARM_UP_WINDOWS {
                    self.update_pins(&keepers);
                    self.rebalance(&keepers);
                }
            }
        }
    }

    /// Moves shards from targets of this daemon to targets that have joined.
    fn fill(self: &Arc<Self>, keepers: &[Arc<tables::keeper::Keeper>]) {
        let is_ours = |transfer: &placement::Transfer| {
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
            planned.into_iter().filter(is_ours).collect()
        });
        self.run_transfers(keepers, transfers);
    }

    /// Moves shards away from overloaded targets.
    fn rebalance(self: &Arc<Self>, keepers: &[Arc<tables::keeper::Keeper>]) {
        let transfers = self.plan_served(|state| self.plan_rebalance(state, keepers));
        self.run_transfers(keepers, transfers);
    }

    /// Plans moves of shards away from overloaded targets of this daemon.
    fn plan_rebalance(
        &self,
        state: &state::State,
        keepers: &[Arc<tables::keeper::Keeper>],
    ) -> Vec<placement::Transfer> {
        let mut transfers = Vec::new();
        for keeper in keepers {
            for (group, rates) in keeper.load.rates() {
                let Some(other_loads) = self.other_loads(state, &group, &keeper.target) else {
                    continue;
                };
                let own: f64 = rates.shards.values().sum();
                if own + other_loads.values().sum::<f64>() < MIN_REQUESTS_PER_SECOND {
                    continue;
                }
                let planned =
                    placement::rebalance(state, &group, &rates.shards, &other_loads).into_iter();
                transfers.extend(planned.filter(|transfer| transfer.from == keeper.target));
            }
        }
        transfers
    }

    /// Returns the loads of the group's targets other than `own`, in requests per
    /// second, or `None` unless all are known.
    fn other_loads(
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
                let measured = keeper.and_then(|keeper| keeper.load.rate(now));
                let load = measured.or_else(|| self.reported_load(&target.name, now))?;
                Some((target.name.clone(), load))
            })
            .collect()
    }

    /// Returns the load that the lease holder of a target reported, in requests
    /// per second, unless the report is older than [`REPORT_MAX_AGE_MS`].
    fn reported_load(&self, target: &model::TargetName, now: clock::Millis) -> Option<f64> {
        let loads = self.loads.lock();
        let (load, at) = loads.get(target)?;
        (now.since(*at) <= REPORT_MAX_AGE_MS).then_some(*load)
    }

    /// Runs transfers of shards in batches, skipping those from lost targets.
    fn run_transfers(
        self: &Arc<Self>,
        keepers: &[Arc<tables::keeper::Keeper>],
        transfers: Vec<placement::Transfer>,
    ) {
        for transfer in placement::batches(&transfers, BATCH_SHARDS) {
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
            // Does not wait long for requests that run on the shards: the next
            // round tries again.
            let worker = keeper::Worker::new(self.clone(), keeper.clone());
            worker.transfer(transfer, true);
            if self.token.wait_timeout(BATCH_PAUSE) {
                return;
            }
        }
    }

    /// Pins hot keys to shards of their own, and unpins keys that are no longer hot.
    fn update_pins(self: &Arc<Self>, keepers: &[Arc<tables::keeper::Keeper>]) {
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
        let decisions = self
            .journal
            .propose_all(bodies, state.next, DECISION_TIMEOUT);
        for decision in decisions.into_iter().flatten() {
            if let state::Verdict::Rejected(why) = decision.verdict {
                log::info!("the change of a pin was rejected: {why}");
            }
        }
    }
}

/// Returns the records that pin and unpin keys of `group` on the target `owner`,
/// under its lease at offset `lease`.
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
    let own_pins = table
        .pinned
        .iter()
        .filter(|(_, pinned)| pinned.target == *owner);
    let pinned = own_pins.map(|(key, _)| *key).collect();
    let shards = table.shards.len() as u32;
    let owned = state
        .shards_of(owner)
        .into_iter()
        .filter(|(id, _, _)| id == group);
    let owned_shards: usize = owned
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
    let total_shards = (owned_shards as u32).clamp(1, shards.max(1));
    let hot = placement::hot_keys(&rates.keys, &pinned, rates.total, total_shards, limit);
    let pins = hot.pins.into_iter().map(|key| state::Body::Pin {
        group: group.clone(),
        key,
        lease,
    });
    // Unpinning moves a key to its hash shard, which must have the same owner.
    let is_home = |key: &model::KeyHash| {
        let shard = model::Shard::Range(key.shard(shards));
        state
            .shard_owner(group, shard)
            .is_some_and(|home| home.target == *owner)
    };
    let unpins = hot
        .unpins
        .into_iter()
        .filter(is_home)
        .map(|key| state::Body::Unpin {
            group: group.clone(),
            key,
            lease,
        });
    pins.chain(unpins).collect()
}
