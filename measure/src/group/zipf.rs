//! Imbalance of a keyed service under a Zipf load, with and without
//! rebalancing.

use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use pistachiomoor::model;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

use crate::caller::Call;
use crate::fleet::{self, Fleet, Plan};
use crate::load::{self, Load};
use crate::report;
use crate::slice;

/// Keys used.
const KEYS: usize = 20_000;

/// Exponent of the distribution; with it the hottest key has about 6% of the
/// requests, less than one of the targets should get.
const EXPONENT: f64 = 0.9;

/// Targets.
const TARGETS: usize = 12;

/// Offered rate, in requests per second.
const RATE: f64 = 1_500.0;

/// Time with rebalancing.
const ON: Duration = Duration::from_secs(48);

/// Time without.
const OFF: Duration = Duration::from_secs(15);

/// Length of a window in which the imbalance is taken.
const WINDOW: Duration = Duration::from_secs(6);

/// Busiest over mean, at most.
const AIM: f64 = 1.15;

/// Seed of the keys.
const SEED: u64 = 71;

/// Measures and prints.
///
/// # Errors
/// A process does not start.
pub fn run() -> Result<(), fleet::Error> {
    let keys = keys();
    let base = run_with(false, OFF, &keys, None)?;
    run_with(true, ON, &keys, Some(base))?;
    Ok(())
}

/// Draws the keys of all requests; key 0 is the hottest.
fn keys() -> Vec<usize> {
    let weights = (1..=KEYS).map(|rank| (rank as f64).powf(-EXPONENT));
    let sums: Vec<f64> = weights
        .scan(0.0, |sum, weight| {
            *sum += weight;
            Some(*sum)
        })
        .collect();
    let total = sums[KEYS - 1];
    let mut rng = StdRng::seed_from_u64(SEED);
    let count = (RATE * ON.as_secs_f64()) as usize;
    let draw = |_| {
        let at = rng.random::<f64>() * total;
        sums.partition_point(|sum| *sum < at).min(KEYS - 1)
    };
    (0..count).map(draw).collect()
}

/// Returns the imbalance of the last window.
fn run_with(
    rebalance: bool,
    time: Duration,
    keys: &[usize],
    base: Option<f64>,
) -> Result<f64, fleet::Error> {
    let case = if rebalance {
        "rebalance_on"
    } else {
        "rebalance_off"
    };
    let mut plan = Plan::skyfuel();
    plan.policy = json!({ "rebalance": rebalance });
    plan.serve("records", "keyed");
    plan.add(TARGETS, "records", |target| {
        target.service_ms = 1.0;
        target.slots = 8;
    });
    let fleet = Fleet::start(&plan)?;
    let load = Load {
        addresses: fleet.callers(|_| true),
        rate: RATE,
        time,
        threads: 96,
        timeout: Duration::from_secs(3),
    };
    let watched = Mutex::new(Watched::default());
    let start = Instant::now();
    let outcome = thread::scope(|scope| {
        let (fleet, watched) = (&fleet, &watched);
        scope.spawn(move || watch(fleet, start, time, watched));
        load::run(&load, |number| {
            Call::new(
                "GET",
                &format!("/records/key-{}", keys[number as usize]),
                "",
                b"",
            )
        })
    });
    outcome.log(case);
    let mut last = 0.0;
    let windows = time.as_secs() / WINDOW.as_secs();
    for index in 0..windows as u32 {
        let (from, to) = (WINDOW * index, WINDOW * (index + 1));
        let own = outcome.during(from, to);
        let served = fleet.targets.iter().map(|running| {
            let good = own.good().filter(|end| end.target == running.target.name);
            good.count() as f64
        });
        last = slice::imbalance(&served.collect::<Vec<_>>());
        let name = format!("{case}_{}s", to.as_secs());
        report::against("zipf_imbalance", &name, last, "ratio", AIM);
    }
    if let Some(base) = base {
        report::against("zipf_imbalance_over_off", case, last, "ratio", base);
    }
    let hottest = keys.iter().filter(|key| **key == 0).count() as f64 / keys.len() as f64;
    let least = (hottest * TARGETS as f64).max(1.0);
    report::value("zipf_least_imbalance", case, least, "ratio");
    report::value("zipf_p99", case, outcome.latency(0.99), "ms");
    let refused = outcome.ends.len() as f64 - outcome.ok() as f64;
    report::value("zipf_unanswered", case, refused, "requests");
    let watched = watched.into_inner().expect("no thread panics");
    report::value("zipf_pinned", case, watched.pinned as f64, "keys");
    let moved = fleet.metric("pistachiomoor_shards_moved_total");
    report::value("zipf_moved", case, moved, "shards");
    if let Some(isolated) = watched.isolated {
        let seconds = isolated.as_secs_f64();
        report::value("zipf_hottest_pinned_after", case, seconds, "s");
    }
    Ok(last)
}

#[derive(Default)]
struct Watched {
    isolated: Option<Duration>,
    pinned: usize,
}

/// Looks for the pin of the hottest key.
fn watch(fleet: &Fleet, start: Instant, time: Duration, watched: &Mutex<Watched>) {
    let service = model::ServiceName::from("records");
    let hottest = model::KeyHash::of(&service, b"key-0");
    while start.elapsed() < time {
        if let Ok(state) = fleet.state() {
            let mut watched = watched.lock().expect("no thread panics");
            let groups = || state.groups.values();
            watched.pinned = groups().map(|group| group.pinned.len()).sum();
            let is_pinned = groups().any(|group| group.pinned.contains_key(&hottest));
            if is_pinned && watched.isolated.is_none() {
                watched.isolated = Some(start.elapsed());
            }
        }
        thread::sleep(Duration::from_millis(250));
    }
}
