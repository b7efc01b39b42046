//! A failure domain that is taken out and brought back under load, and a
//! target that leaves and returns.

use std::collections::{BTreeMap, HashMap};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use pistachiomoor::state;
use serde_json::{Value, json};

use crate::caller::Call;
use crate::fleet::{self, Fleet, Plan};
use crate::load::{self, End, Load, Outcome};
use crate::report;
use crate::slice;

/// The failure domain that is taken out.
const DOMAIN: &str = "bkk-suv";

/// The target that leaves, in another failure domain.
const TARGET: &str = "records-01";

/// Offered rate, in requests per second.
const RATE: f64 = 1_000.0;

/// Keys used.
const KEYS: u64 = 5_003;

/// Duration of each phase of the load.
const PHASE: Duration = Duration::from_secs(13);

/// Part at the start of the first phase that is left out.
const SETTLE: Duration = Duration::from_secs(2);

/// Part at the end of each phase that shows where the load has gone.
const TAIL: Duration = Duration::from_secs(4);

/// p99 during a move over the undisturbed one, at most.
const AIM: f64 = 2.0;

/// Shards moved over the least possible, at most.
const AIM_CHURN: f64 = 1.1;

/// A change during the load.
struct Step {
    name: &'static str,
    intent: Value,
    /// Targets that must own nothing afterwards.
    emptied: fn(&str, &str) -> bool,
}

/// What a change did.
struct Done {
    name: &'static str,
    moved: u64,
    /// Shards that had to move.
    least: u64,
    /// Time until the change was complete, in seconds, if it was.
    seconds: Option<f64>,
    owned: Vec<f64>,
}

fn steps() -> [Step; 4] {
    let domain = |standing| json!([{ "set_domain": [DOMAIN, standing] }]);
    let target = |standing| json!([{ "set_target": [TARGET, standing] }]);
    let none = |_: &str, _: &str| false;
    [
        Step {
            name: "domain_out",
            intent: domain("out"),
            emptied: |_, domain| domain == DOMAIN,
        },
        Step {
            name: "domain_back",
            intent: domain("in"),
            emptied: none,
        },
        Step {
            name: "target_out",
            intent: target("out"),
            emptied: |target, _| target == TARGET,
        },
        Step {
            name: "target_back",
            intent: target("in"),
            emptied: none,
        },
    ]
}

/// Measures and prints.
///
/// # Errors
/// A process does not start or a plan is not accepted.
pub fn run() -> Result<(), fleet::Error> {
    report::value("aim_p99_move_over_undisturbed", "domain", AIM, "ratio");
    report::value("aim_churn", "domain", AIM_CHURN, "ratio");
    let mut plan = Plan::skyfuel();
    plan.serve("records", "keyed");
    plan.add(12, "records", |target| target.service_ms = 2.0);
    let fleet = Fleet::start(&plan)?;
    let load = Load {
        addresses: fleet.callers(|_| true),
        rate: RATE,
        time: PHASE * 5,
        threads: 96,
        timeout: Duration::from_secs(4),
    };
    let done = Mutex::new(Vec::new());
    let start = Instant::now();
    let outcome = thread::scope(|scope| {
        let (fleet, done) = (&fleet, &done);
        let changes = scope.spawn(move || change(fleet, start, done));
        let outcome = load::run(&load, call);
        changes.join().expect("no thread panics").map(|()| outcome)
    })?;
    for (index, step) in steps().iter().enumerate() {
        let from = PHASE * (index as u32 + 1);
        phase(&outcome, step.name, from, &fleet)?;
    }
    for done in done.into_inner().expect("no thread panics") {
        print(&done);
    }
    twice(&outcome, &fleet)?;
    Ok(())
}

/// Every second request may not run twice.
fn call(number: u64) -> Call {
    let method = if is_post(number) { "POST" } else { "GET" };
    let body: &[u8] = if is_post(number) { b"uplift=500" } else { b"" };
    let path = format!("/records/key-{}", number * 7_919 % KEYS);
    Call::new(method, &path, "", body)
}

fn is_post(number: u64) -> bool {
    number.is_multiple_of(2)
}

/// Carries out the changes, each at the start of its phase.
fn change(fleet: &Fleet, start: Instant, done: &Mutex<Vec<Done>>) -> Result<(), fleet::Error> {
    let mut before = fleet.state()?;
    done.lock().expect("no thread panics").push(Done {
        name: "undisturbed",
        moved: 0,
        least: 0,
        seconds: Some(0.0),
        owned: owned(&before, &before),
    });
    for (step, index) in steps().iter().zip(1..) {
        thread::sleep((start + PHASE * index).saturating_duration_since(Instant::now()));
        let begin = Instant::now();
        fleet.confirm(&step.intent)?;
        eprintln!("  {} confirmed in {:?}", step.name, begin.elapsed());
        // The end is left for the changes still to settle.
        let end = start + PHASE * (index + 1) - Duration::from_millis(300);
        let mut emptied = None;
        let mut settled = (fleet.state()?, begin.elapsed());
        while Instant::now() < end {
            let now = fleet.state()?;
            if emptied.is_none() && left(&now, step) == 0 {
                emptied = Some(begin.elapsed());
            }
            if fleet::moved(&settled.0, &now) > 0 {
                settled = (now, begin.elapsed());
            }
            thread::sleep(Duration::from_millis(50));
        }
        let after = fleet.state()?;
        let leaves = step.name.ends_with("out");
        let least = match leaves {
            true => owned_by(&before, step.emptied),
            // What came back must own as much as the mean target.
            false => returned(&after, step.name),
        };
        let time = if leaves { emptied } else { Some(settled.1) };
        done.lock().expect("no thread panics").push(Done {
            name: step.name,
            moved: fleet::moved(&before, &after),
            least,
            seconds: time.map(|time| time.as_secs_f64()),
            owned: owned(&after, &after),
        });
        before = after;
    }
    Ok(())
}

fn left(state: &state::State, step: &Step) -> u64 {
    owned_by(state, step.emptied)
}

fn owned_by(state: &state::State, keep: impl Fn(&str, &str) -> bool) -> u64 {
    let targets = state.config.targets.values();
    let kept = targets.filter(|target| keep(target.name.as_str(), target.domain.as_str()));
    let shards = kept.map(|target| state.owned.get(&target.name).copied().unwrap_or_default());
    shards.sum()
}

/// Returns the shards that the targets which came back should own.
fn returned(state: &state::State, step: &str) -> u64 {
    let all = owned_by(state, |_, _| true);
    let targets = state.config.targets.values();
    let count = targets.clone().count() as u64;
    let back = match step {
        "domain_back" => targets
            .filter(|target| target.domain.as_str() == DOMAIN)
            .count() as u64,
        _ => 1,
    };
    all * back / count.max(1)
}

/// Returns the shards of each target of `state` that takes work in `now`.
fn owned(state: &state::State, now: &state::State) -> Vec<f64> {
    let targets = state
        .config
        .targets
        .keys()
        .filter(|name| now.takes_work(name));
    let owned = targets.map(|name| state.owned.get(name).copied().unwrap_or_default() as f64);
    owned.collect()
}

fn print(done: &Done) {
    let imbalance = slice::imbalance(&done.owned);
    report::value("imbalance_of_shards", done.name, imbalance, "ratio");
    if done.least == 0 {
        return;
    }
    report::against(
        "churn",
        done.name,
        done.moved as f64,
        "shards",
        done.least as f64,
    );
    match done.seconds {
        Some(seconds) => report::value("time_to_complete", done.name, seconds, "s"),
        None => report::value("not_complete_after", done.name, PHASE.as_secs_f64(), "s"),
    }
}

/// Prints latency, refusals and imbalance of one phase beside the undisturbed one.
fn phase(outcome: &Outcome, name: &str, from: Duration, fleet: &Fleet) -> Result<(), fleet::Error> {
    let quiet = outcome.during(SETTLE, PHASE);
    let own = outcome.during(from, from + PHASE);
    own.log(name);
    let base = quiet.latency(0.99);
    report::against("domain_p99", name, own.latency(0.99), "ms", base);
    report::against(
        "domain_p999",
        name,
        own.latency(0.999),
        "ms",
        quiet.latency(0.999),
    );
    let count = |keep: fn(&&End) -> bool| own.ends.iter().filter(keep).count() as f64;
    let refused = count(|end| end.status != 200 && ![0, 502, 504].contains(&end.status));
    report::value("requests_refused_not_run", name, refused, "requests");
    let unknown = count(|end| [502, 504].contains(&end.status));
    report::value("requests_unknown", name, unknown, "requests");
    report::value(
        "requests_cut",
        name,
        count(|end| end.status == 0),
        "requests",
    );
    let takes: Vec<_> = fleet
        .targets
        .iter()
        .map(|running| running.target.name.clone())
        .collect();
    let mut served = BTreeMap::new();
    for end in outcome.during(from + PHASE - TAIL, from + PHASE).good() {
        *served.entry(end.target.clone()).or_insert(0.0) += 1.0;
    }
    let leaving = |target: &str| match name {
        "domain_out" => fleet
            .targets
            .iter()
            .any(|running| running.target.name == target && running.target.domain == DOMAIN),
        "target_out" => target == TARGET,
        _ => false,
    };
    let staying = takes.iter().filter(|target| !leaving(target));
    let loads: Vec<f64> = staying
        .map(|name| served.get(name).copied().unwrap_or(0.0))
        .collect();
    report::value("imbalance_of_load", name, slice::imbalance(&loads), "ratio");
    let late: f64 = served
        .iter()
        .filter(|(name, _)| leaving(name))
        .map(|(_, count)| count)
        .sum();
    report::value("served_by_leaving_at_end", name, late, "requests");
    Ok(())
}

/// Compares the answers with the histories of the targets.
fn twice(outcome: &Outcome, fleet: &Fleet) -> Result<(), fleet::Error> {
    let mut runs = HashMap::<String, u64>::new();
    for index in 0..fleet.targets.len() {
        for run in fleet.history(index)?.runs {
            *runs.entry(run.request.unwrap_or_default()).or_default() += 1;
        }
    }
    let ran = |end: &End| runs.get(&end.request).copied().unwrap_or_default();
    let count = |keep: &dyn Fn(&&End) -> bool| outcome.ends.iter().filter(keep).count() as f64;
    let posts = count(&|end| is_post(end.number) && ran(end) > 1);
    report::value("posts_run_twice", "domain", posts, "requests");
    let gets = count(&|end| !is_post(end.number) && ran(end) > 1);
    report::value("gets_run_twice", "domain", gets, "requests");
    let lost = count(&|end| end.status == 200 && ran(end) == 0);
    report::value("answered_without_run", "domain", lost, "requests");
    let refused = |end: &End| ![0, 200, 502, 504].contains(&end.status);
    let false_refusals = count(&|end| refused(end) && ran(end) > 0);
    report::value(
        "refused_not_run_but_ran",
        "domain",
        false_refusals,
        "requests",
    );
    Ok(())
}
