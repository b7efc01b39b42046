//! Tests of placement: even distribution, number of moves, rebalancing by load,
//! hot keys.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use pistachiomoor::clock::Millis;
use pistachiomoor::{model, placement, state};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use serde_json::json;
use state::{Domain, Service, Standing};

fn config(seed: u64) -> Config {
    let cases = std::env::var("PISTACHIOMOOR_FUZZ_CASES");
    Config {
        cases: cases.ok().and_then(|n| n.parse().ok()).unwrap_or(48),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}

fn group() -> model::GroupId {
    serde_json::from_value(json!({"service": "s", "regions": []})).unwrap()
}

fn name(n: usize) -> model::TargetName {
    format!("t{n:02}").as_str().into()
}

/// Builds a state with four domains in two regions and `targets` targets, and
/// assigns all shards.
fn assigned(targets: usize, shards: u32) -> state::State {
    let mut state = state::State::default();
    let service = json!({"name": "s", "kind": "keyed", "shards": shards});
    let service: Service = serde_json::from_value(service).unwrap();
    state.config_mut().services.insert("s".into(), service);
    for n in 0..4 {
        let domain = json!({"name": format!("d{n}"), "region": format!("r{}", n / 2)});
        let domain: Domain = serde_json::from_value(domain).unwrap();
        state
            .config_mut()
            .domains
            .insert(domain.name.clone(), domain);
    }
    for n in 0..targets {
        let target = json!({"name": name(n), "service": "s", "domain": format!("d{}", n % 4),
            "address": "127.0.0.1:1", "concurrency": 4});
        let target = serde_json::from_value(target).unwrap();
        state.config_mut().targets.insert(name(n), target);
    }
    let mut table = state::Group::default();
    table.shards.resize(shards as usize, None);
    for (set, target) in placement::initial(&state, &group()) {
        for shard in set.iter() {
            let model::Shard::Range(n) = shard else {
                unreachable!()
            };
            let old = table.shards[n as usize].replace(owner(&target));
            assert!(old.is_none(), "{shard} was assigned twice");
        }
    }
    let mut owners = table.shards.iter();
    assert!(owners.all(Option::is_some), "a shard has no owner");
    state.groups.insert(group(), Arc::new(table));
    state
}

fn owner(target: &model::TargetName) -> state::Ownership {
    state::Ownership {
        target: target.clone(),
        since: model::Offset(1),
    }
}

/// Applies transfers to the state and returns the number of shards moved.
fn apply_transfers(state: &mut state::State, transfers: &[placement::Transfer]) -> usize {
    let mut moved = 0;
    for transfer in transfers {
        assert!(state.takes_work(&transfer.to), "{transfer:?}");
        let table = Arc::make_mut(state.groups.get_mut(&transfer.group).unwrap());
        for shard in transfer.shards.iter() {
            let slot = match shard {
                model::Shard::Range(n) => table.shards[n as usize].as_mut().unwrap(),
                model::Shard::Pinned(key) => table.pinned.get_mut(&key).unwrap(),
            };
            assert_eq!(slot.target, transfer.from, "{shard} has another owner");
            *slot = owner(&transfer.to);
            moved += 1;
        }
    }
    moved
}

/// Returns the number of hash shards of each target that takes work.
fn counts(state: &state::State) -> BTreeMap<model::TargetName, usize> {
    let candidates = state.candidates(&group()).into_iter();
    let mut counts: BTreeMap<_, _> = candidates.map(|t| (t.name.clone(), 0)).collect();
    for owner in state.groups[&group()].shards.iter().flatten() {
        *counts.entry(owner.target.clone()).or_default() += 1;
    }
    counts
}

/// Asserts that the targets' numbers of hash shards differ by at most 1.
fn assert_even(state: &state::State) {
    let counts = counts(state);
    let most = counts.values().max().unwrap();
    let least = counts.values().min().unwrap();
    assert!(most - least <= 1, "uneven: {counts:?}");
}

/// Applies the moves of `placement::fill`, which may move at most 1.1 times
/// `least` shards, and asserts that the result is even.
fn assert_filled(state: &mut state::State, least: usize) {
    let transfers = placement::fill(state, &group());
    let moved = apply_transfers(state, &transfers);
    assert!(moved as f64 <= 1.1 * least as f64, "{moved} for {least}");
    assert_even(state);
}

/// Drains a domain or ends the drain, and returns its targets.
fn set_domain(state: &mut state::State, name: &str, standing: Standing) -> Vec<model::TargetName> {
    let domain = state.config_mut().domains.get_mut(&name.into()).unwrap();
    domain.standing = standing;
    let targets = state.config.targets.values();
    let inside = targets.filter(|target| target.domain == name.into());
    inside.map(|target| target.name.clone()).collect()
}

proptest! {
    #![proptest_config(config(11))]

    /// Guards against uneven first assignments, and against shards that are lost
    /// or assigned twice.
    #[test]
    fn initial_even(targets in 1..40usize, shards in 1..3000u32) {
        assert_even(&assigned(targets, shards));
    }

    /// Guards against unnecessary moves of other targets' shards when one target
    /// is drained and returns.
    #[test]
    fn evacuate_target(targets in 2..40usize, shards in 40..3000u32, pick in any::<usize>()) {
        let mut state = assigned(targets, shards);
        let leaving = name(pick % targets);
        let least = counts(&state)[&leaving];
        state.config_mut().targets.get_mut(&leaving).unwrap().standing = Standing::Out;
        let transfers = placement::evacuate(&state, &leaving);
        let moved = apply_transfers(&mut state, &transfers);
        prop_assert!(moved as f64 <= 1.1 * least as f64);
        assert_even(&state);

        state.config_mut().targets.get_mut(&leaving).unwrap().standing = Standing::In;
        assert_filled(&mut state, shards as usize / targets + 1);
    }

    /// Guards against holders that evacuate a domain concurrently from one state
    /// and all choose the same receivers, and against unnecessary moves when the
    /// domain returns.
    #[test]
    fn evacuate_domain(targets in 8..40usize, shards in 40..3000u32, d in 0..4usize) {
        let mut state = assigned(targets, shards);
        let domain = format!("d{d}");
        let leaving = set_domain(&mut state, &domain, Standing::Out);
        let least: usize = leaving.iter().map(|target| counts(&state)[target]).sum();
        let seen = state.clone();
        let mut moved = 0;
        for target in &leaving {
            let transfers = placement::evacuate(&seen, target);
            moved += apply_transfers(&mut state, &placement::batches(&transfers, 7));
        }
        prop_assert!(moved as f64 <= 1.1 * least as f64);
        let left = counts(&state);
        prop_assert!(leaving.iter().all(|target| !left.contains_key(target)));
        assert_even(&state);

        set_domain(&mut state, &domain, Standing::In);
        let least = shards as usize * leaving.len() / targets + leaving.len();
        assert_filled(&mut state, least);
    }

    /// Guards against moves caused by noise in measured loads.
    #[test]
    fn rebalance_noise(noise in prop::collection::vec(0.9..1.1f64, 1024)) {
        let state = assigned(16, 1024);
        let loads = noise.into_iter().zip(0u32..).map(|(load, n)| (model::Shard::Range(n), load));
        let transfers = placement::rebalance(&state, &group(), &loads.collect(), &BTreeMap::new());
        prop_assert_eq!(transfers, Vec::new());
    }
}

/// Guards against holders that fill a returned domain one after the other and
/// give too few shards, because each plans from a state that already shows the
/// moves of earlier holders.
#[test]
fn joins_sequential() {
    let mut state = assigned(12, 4096);
    for target in set_domain(&mut state, "d1", Standing::Out) {
        let transfers = placement::evacuate(&state, &target);
        apply_transfers(&mut state, &transfers);
    }
    state.next = model::Offset(7);
    let older = state.clone();
    let returned = set_domain(&mut state, "d1", Standing::In);
    let mut joins = placement::Joins::default();
    joins.follow(Millis(1_000), &older, &state);
    let mut moved = 0;
    for n in 0..12 {
        let mut due = joins.due(Millis(6_000), &state).unwrap();
        due.retain(|transfer| transfer.from == name(n));
        moved += apply_transfers(&mut state, &due);
    }
    assert_even(&state);
    assert!(moved <= 1024, "{moved} moved");
    assert_eq!(joins.due(Millis(7_000), &state), Some(Vec::new()));
    assert_eq!(joins.due(Millis(60_000), &state), None);
    let again = set_domain(&mut state, "d1", Standing::Out);
    assert_eq!(again, returned);
    assert_eq!(joins.due(Millis(7_000), &state), Some(Vec::new()));
}

/// Guards against a fill that undoes rebalancing by load, which leaves some
/// targets with somewhat fewer shards than others.
#[test]
fn fill_uneven() {
    let mut state = assigned(8, 800);
    let table = Arc::make_mut(state.groups.get_mut(&group()).unwrap());
    let owned = table.shards.iter_mut().flatten();
    let owned = owned.filter(|owner| owner.target == name(0));
    owned.take(20).for_each(|owner| owner.target = name(1));
    assert_eq!(placement::fill(&state, &group()), Vec::new());
}

/// Guards against moves caused by noise that all shards of a target share, the
/// worst case of a load report that is off by 10%.
#[test]
fn rebalance_shared_noise() {
    let state = assigned(16, 1024);
    for busy in 0..16 {
        let table = &state.groups[&group()];
        let loads = table.iter().map(|(shard, owner)| {
            let busy = owner.unwrap().target == name(busy);
            (shard, if busy { 1.1 } else { 1.0 })
        });
        let transfers = placement::rebalance(&state, &group(), &loads.collect(), &BTreeMap::new());
        assert_eq!(transfers, Vec::new());
    }
}

/// Returns requests under Zipf(1.0): those of the hottest 400 keys, those of
/// each shard, and their total.
fn zipf(keys: u64, shards: u32, seed: u64) -> (BTreeMap<model::KeyHash, u64>, Vec<f64>, u64) {
    let service = "s".into();
    let (mut hottest, mut loads, mut total) = (BTreeMap::new(), vec![0.0; shards as usize], 0);
    for rank in 1..=keys {
        let count = 10_000_000 / rank;
        let key = model::KeyHash::of(&service, &(rank ^ (seed << 32)).to_le_bytes());
        if rank <= 400 {
            hottest.insert(key, count);
        }
        loads[key.shard(shards) as usize] += count as f64;
        total += count;
    }
    (hottest, loads, total)
}

/// Guards against an imbalance above the objective under Zipf(1.0) loads, and
/// against further moves under the same loads.
#[test]
fn rebalance_zipf() {
    for (targets, seed) in [(12, 1), (13, 2), (12, 3)] {
        let mut state = assigned(targets, 4096);
        let (hottest, mut loads, total) = zipf(1_000_000, 4096, seed);
        let hot = placement::hot_keys(&hottest, &BTreeSet::new(), total, 4096, 53);
        assert_eq!(hot.pins.len(), placement::PINNED_LIMIT);
        let table = Arc::make_mut(state.groups.get_mut(&group()).unwrap());
        let mut by_shard = BTreeMap::new();
        for key in hot.pins {
            let shard = key.shard(4096) as usize;
            loads[shard] -= hottest[&key] as f64;
            by_shard.insert(model::Shard::Pinned(key), hottest[&key] as f64);
            let shard_owner = table.shards[shard].clone().unwrap();
            table.pinned.insert(key, shard_owner);
        }
        let ranges = loads.into_iter().zip(0u32..);
        by_shard.extend(ranges.map(|(load, n)| (model::Shard::Range(n), load)));
        let transfers = placement::rebalance(&state, &group(), &by_shard, &BTreeMap::new());
        let moved = apply_transfers(&mut state, &transfers);
        let ratio = imbalance(&state, &by_shard);
        assert!(ratio <= 1.15, "imbalance {ratio} after {moved} moves");
        let again = placement::rebalance(&state, &group(), &by_shard, &BTreeMap::new());
        assert_eq!(again, Vec::new());
        assert_eq!(placement::fill(&state, &group()), Vec::new());
    }
}

/// Returns the largest load of a target over the mean.
fn imbalance(state: &state::State, loads: &BTreeMap<model::Shard, f64>) -> f64 {
    let mut sums: BTreeMap<_, f64> = BTreeMap::new();
    for (shard, owner) in state.groups[&group()].iter() {
        *sums.entry(&owner.unwrap().target).or_default() += loads[&shard];
    }
    let mean = sums.values().sum::<f64>() / state.candidates(&group()).len() as f64;
    sums.values().copied().fold(0.0, f64::max) / mean
}

/// Guards against endless moves if one key alone exceeds the mean load.
#[test]
fn rebalance_indivisible() {
    let mut state = assigned(8, 64);
    let loads = (0..64).map(|n| (model::Shard::Range(n), if n == 0 { 500.0 } else { 1.0 }));
    let loads = loads.collect();
    let transfers = placement::rebalance(&state, &group(), &loads, &BTreeMap::new());
    let moved = apply_transfers(&mut state, &transfers);
    assert!(moved <= 7, "moved {moved} shards");
    let again = placement::rebalance(&state, &group(), &loads, &BTreeMap::new());
    assert_eq!(again, Vec::new());
}

/// Guards against noise that pins and unpins keys alternately, and against more
/// pinned keys than the limit.
#[test]
fn hot_keys_noise() {
    let counts: BTreeMap<_, _> = (0..200).map(|n| (model::KeyHash(n), 150 + n)).collect();
    let hot = placement::hot_keys(&counts, &BTreeSet::new(), 100_000, 1000, 53);
    assert_eq!(hot.pins.len(), 53);
    assert_eq!(hot.pins[0], model::KeyHash(199), "not the hottest");
    let pinned: BTreeSet<_> = hot.pins.into_iter().collect();
    for up in [0, 1] {
        let noise = |key: model::KeyHash| if key.0 % 2 == up { 110 } else { 90 };
        let noisy = counts.iter().map(|(&key, &n)| (key, n * noise(key) / 100));
        let again = placement::hot_keys(&noisy.collect(), &pinned, 100_000, 1000, 53);
        assert_eq!(again, placement::HotKeys::default());
    }
    let cold = placement::hot_keys(&BTreeMap::new(), &pinned, 100_000, 1000, 53);
    assert_eq!(cold.unpins.len(), 53, "keys without requests stay pinned");
}
