//! Balancing of skewed, noisy and quickly changing load.

use pistachiomoor::clock::Millis;
use pistachiomoor::gateway::coordinator;
use pistachiomoor::gateway::keys;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use super::rig::{Rig, done, member, services};

const TARGETS: usize = 12;
/// Number of neighbouring keys with load.
const LOADED_KEYS: usize = 60_000;
/// Work of all keys, in milliseconds of processing per second of time.
const TOTAL_WORK_MS_PER_S: f64 = 12_000.0;

fn weight(target: usize) -> f64 {
    1.0 + (target % 3) as f64
}

/// Order of the keys with a Zipf load.
#[derive(Clone, Copy, Debug)]
enum Order {
    Ascending,
    Shuffled(u64),
}

/// Returns the work of each key by Zipf's law with exponent 0.73.
fn zipf(order: Order) -> Vec<f64> {
    let mut work: Vec<f64> = (1..=LOADED_KEYS)
        .map(|rank| (rank as f64).powf(-0.73))
        .collect();
    if let Order::Shuffled(seed) = order {
        work.shuffle(&mut StdRng::seed_from_u64(seed));
    }
    work.resize(65_536, 0.0);
    scaled(work, TOTAL_WORK_MS_PER_S)
}

fn scaled(mut work: Vec<f64>, total: f64) -> Vec<f64> {
    let sum: f64 = work.iter().sum();
    work.iter_mut().for_each(|work| *work *= total / sum);
    work
}

/// Returns `work` with a hot spot: the fraction `share` of the total is moved to `count`
/// keys from `first` on.
fn spot(work: &[f64], first: usize, count: usize, share: f64) -> Vec<f64> {
    let mut work = scaled(work.to_vec(), TOTAL_WORK_MS_PER_S * (1.0 - share));
    for key in &mut work[first..first + count] {
        *key += TOTAL_WORK_MS_PER_S * share / count as f64;
    }
    work
}

fn figures(work: &[f64]) -> Vec<(u16, f32)> {
    let buckets = work.chunks(usize::from(keys::BUCKET_KEYS)).enumerate();
    let figures = buckets.map(|(i, keys)| (i as u16, keys.iter().sum::<f64>() as f32));
    figures.collect()
}

/// Returns a rig of [`TARGETS`] targets after 6 s without load.
fn rig() -> Rig {
    let target = |i| member(&format!("t{i}"), weight(i), coordinator::MemberState::Ready);
    let members: Vec<coordinator::Member> = (0..TARGETS).map(target).collect();
    let mut rig = Rig::new(members.clone());
    rig.run(6_000, done);
    rig.coordinator
        .on_targets(Millis(rig.now), members, services());
    rig
}

/// Reports load twice a second for `time` milliseconds; each bucket's figure differs from
/// its work by at most the fraction `noise`.
fn load(rig: &mut Rig, time: u64, work: &[f64], noise: f64) {
    let mut rng = StdRng::seed_from_u64(5);
    for _ in 0..time / 500 {
        let mut figures = figures(work);
        for (_, figure) in &mut figures {
            *figure *= rng.random_range(1.0 - noise..=1.0 + noise) as f32;
        }
        rig.coordinator
            .on_load(Millis(rig.now), "h1".into(), "s".into(), figures);
        rig.run(500, done);
    }
}

/// Returns the highest work of a target relative to its fair share.
fn busiest(rig: &Rig, work: &[f64]) -> f64 {
    let weights: f64 = (0..TARGETS).map(weight).sum();
    let total: f64 = work.iter().sum();
    let ratio = |target: usize| {
        let name = format!("t{target}");
        let runs = rig.runs().into_iter();
        let own = runs.filter(|run| run.owner.as_ref().unwrap().target.as_str() == name);
        let keys = own.map(|run| usize::from(run.range.first)..=usize::from(run.range.last));
        let load: f64 = keys.flat_map(|keys| &work[keys]).sum();
        load / (total * weight(target) / weights)
    };
    (0..TARGETS).map(ratio).fold(0.0, f64::max)
}

const ORDERS: [Order; 5] = [
    Order::Ascending,
    Order::Shuffled(1),
    Order::Shuffled(2),
    Order::Shuffled(3),
    Order::Shuffled(4),
];

/// Guards against skewed load that stays on few targets, and against a table with many
/// runs.
#[test]
fn poll_zipf_load_spreads() {
    for order in ORDERS {
        let work = zipf(order);
        let mut rig = rig();
        load(&mut rig, 6_000, &work, 0.0);
        let (highest, runs) = (busiest(&rig, &work), rig.runs().len());
        assert!(highest <= 1.35, "{order:?}: {highest:.3} with {runs} runs");
        assert!(runs <= 60, "{order:?}: {runs} runs");
    }
}

/// Guards against a hot spot that stays on one target, and against runs that accumulate
/// as hot spots come and go.
#[test]
fn poll_hot_spot_spreads() {
    for order in ORDERS {
        let base = zipf(order);
        let mut rig = rig();
        load(&mut rig, 8_000, &base, 0.0);
        let mut rng = StdRng::seed_from_u64(9);
        for (count, share) in [(60, 0.4), (60, 0.3), (100, 0.35), (200, 0.4), (200, 0.3)] {
            let first = rng.random_range(0..LOADED_KEYS - count);
            let work = spot(&base, first, count, share);
            load(&mut rig, 4_000, &work, 0.0);
            let (highest, runs) = (busiest(&rig, &work), rig.runs().len());
            assert!(
                highest <= 1.6,
                "{order:?}: {share} of the work on {count} keys from {first}: {highest:.3}, {runs} runs"
            );
            load(&mut rig, 6_000, &work, 0.0);
        }
    }
}

/// Guards against moves caused by noise.
#[test]
fn poll_noise_moves_nothing() {
    for order in ORDERS {
        let work = zipf(order);
        let mut rig = rig();
        load(&mut rig, 12_000, &work, 0.0);
        let tables = rig.tables.len();
        load(&mut rig, 30_000, &work, 0.3);
        assert_eq!(rig.tables.len(), tables, "{order:?}");
    }
}

/// Guards against moves between targets with nearly the same load.
#[test]
fn poll_even_load_moves_nothing() {
    let mut rig = rig();
    let mut work = vec![1.0; 65_536];
    for (i, run) in rig.runs().into_iter().enumerate() {
        let range = usize::from(run.range.first)..=usize::from(run.range.last);
        work[range].fill(if i % 2 == 0 { 0.87 } else { 1.13 });
    }
    let highest = busiest(&rig, &work);
    assert!((1.1..=1.15).contains(&highest), "{highest}");
    let tables = rig.tables.len();
    load(&mut rig, 30_000, &scaled(work, TOTAL_WORK_MS_PER_S), 0.3);
    assert_eq!(rig.tables.len(), tables);
}

/// Guards against keys without an owner, or planning that fails, because a target states as
/// many slots as its type holds, and against keys that stay with it although it answers no
/// order. Its weight gives it nearly all keys, as long as it takes them.
#[test]
fn poll_extreme_weight() {
    use coordinator::MemberState::Ready;
    let odd = f64::from(u32::MAX) / 0.3;
    let members = [("a", 1.0), ("b", 2.0), ("odd", odd), ("zero", 0.0)];
    let members = members.map(|(name, weight)| member(name, weight, Ready));
    let mut rig = Rig::new(members.to_vec());
    let all = |rig: &Rig| {
        let names = ["a", "b", "odd", "zero"];
        names.map(|name| rig.keys_of(name)).iter().sum::<u32>()
    };
    let work = scaled(vec![1.0; 65_536], TOTAL_WORK_MS_PER_S);
    load(&mut rig, 3_000, &work, 0.0);
    assert_eq!(all(&rig), 65_536);
    assert!(rig.keys_of("odd") > 65_000, "{}", rig.keys_of("odd"));
    let silent = |action: &coordinator::Action| match action {
        coordinator::Action::Grant { owner, .. } | coordinator::Action::Release { owner, .. }
            if owner.target.as_str() == "odd" =>
        {
            Some(coordinator::OrderOutcome::Unanswered)
        }
        action => done(action),
    };
    rig.run(20_000, silent);
    assert_eq!(all(&rig), 65_536);
    assert_eq!(rig.keys_of("odd"), 0);
    assert!(rig.keys_of("b") > rig.keys_of("a"));
}
