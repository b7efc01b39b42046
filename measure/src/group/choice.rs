//! Latency while 2 of 20 targets are ten times slower, for each policy.

use std::collections::BTreeSet;
use std::time::Duration;

use serde_json::json;

use crate::caller::Call;
use crate::fleet::{self, Fleet, Plan};
use crate::load::{self, Load, Outcome};
use crate::report;

/// Policies; the last is the baseline.
const POLICIES: [&str; 3] = ["two_choices", "least_outstanding", "round_robin"];

/// Targets that become slow, one in each region.
const SLOW: [&str; 2] = ["ordering-01", "ordering-03"];

/// Time of a request at an undisturbed target, in milliseconds.
const SERVICE_MS: f64 = 10.0;

/// Offered rate: a fifth of what the targets can serve, in requests per second.
const RATE: f64 = 1_600.0;

/// Duration of one phase.
const PHASE: Duration = Duration::from_secs(5);

/// Part of each phase that is left out, in which policies learn of the change.
const SETTLE: Duration = Duration::from_secs(1);

/// Slowed p99 over the undisturbed one, at most.
const AIM: f64 = 1.5;

/// Extra load by retries and hedges, at most, in percent.
const AIM_EXTRA: f64 = 5.0;

/// Measures and prints.
///
/// # Errors
/// A process does not start.
pub fn run() -> Result<(), fleet::Error> {
    report::value("aim_p99_slow_over_undisturbed", "choice", AIM, "ratio");
    report::value("aim_extra_load", "choice", AIM_EXTRA, "percent");
    for policy in POLICIES {
        run_policy(policy)?;
    }
    Ok(())
}

fn run_policy(policy: &str) -> Result<(), fleet::Error> {
    let mut plan = Plan::skyfuel();
    plan.policy = json!({ "choice": policy });
    plan.serve("ordering", "shared");
    plan.add(20, "ordering", |target| target.service_ms = SERVICE_MS);
    let fleet = Fleet::start(&plan)?;
    let call = Call::new("GET", "/ordering/quote", "", b"");
    let load = Load {
        addresses: fleet.callers(|_| true),
        rate: RATE,
        time: PHASE,
        threads: 400,
        timeout: Duration::from_secs(3),
    };
    let phase = |name: &str| {
        let before = fleet.metric("pistachiomoor_extra_attempts_total");
        let outcome = load::run(&load, |_| call.clone());
        let extra = fleet.metric("pistachiomoor_extra_attempts_total") - before;
        outcome.log(&format!("{policy}, {name}"));
        let settled = outcome.during(SETTLE, PHASE);
        let percent = extra * 100.0 / outcome.ends.len().max(1) as f64;
        (outcome, settled, percent)
    };
    let (_, undisturbed, _) = phase("undisturbed");
    set_slow(&fleet, 10.0)?;
    let (whole, slow, extra) = phase("2 of 20 slow");
    set_slow(&fleet, 1.0)?;
    let recovered_at = run_numbers(&fleet)?;
    let (_, after, _) = phase("recovered");
    let quiet = undisturbed.latency(0.99);
    report::value("choice_p99_undisturbed", policy, quiet, "ms");
    report::against("choice_p99_slow", policy, slow.latency(0.99), "ms", quiet);
    report::against(
        "choice_p99_slow_with_onset",
        policy,
        whole.latency(0.99),
        "ms",
        quiet,
    );
    report::against(
        "choice_p99_recovered",
        policy,
        after.latency(0.99),
        "ms",
        quiet,
    );
    report::against("choice_extra_load", policy, extra, "percent", AIM_EXTRA);
    report::value("choice_share_to_slow", policy, share(&slow), "percent");
    report::value(
        "choice_unanswered_slow",
        policy,
        unanswered(&whole),
        "percent",
    );
    let burst = largest(&fleet, &recovered_at)?;
    report::against("choice_recovered_at_a_time", policy, burst, "requests", 4.0);
    Ok(())
}

fn set_slow(fleet: &Fleet, factor: f64) -> Result<(), fleet::Error> {
    for index in SLOW.iter().filter_map(|name| fleet.target(name)) {
        fleet::fault(fleet.targets[index].address, &json!({ "slow": factor }))?;
    }
    Ok(())
}

/// Returns the percentage of answers that came from the slow targets.
fn share(outcome: &Outcome) -> f64 {
    let slow = outcome
        .good()
        .filter(|end| SLOW.contains(&end.target.as_str()));
    slow.count() as f64 * 100.0 / outcome.ok().max(1) as f64
}

fn unanswered(outcome: &Outcome) -> f64 {
    let all = outcome.ends.len().max(1) as f64;
    (all - outcome.ok() as f64) * 100.0 / all
}

/// Returns the number of the last run of each slow target.
fn run_numbers(fleet: &Fleet) -> Result<Vec<u64>, fleet::Error> {
    let targets = SLOW.iter().filter_map(|name| fleet.target(name));
    let runs = targets.map(|index| Ok(fleet.history(index)?.counters.runs));
    runs.collect()
}

/// Returns the largest number of requests that a recovered target ran at a time.
fn largest(fleet: &Fleet, since: &[u64]) -> Result<f64, fleet::Error> {
    let mut largest = 0;
    let targets = SLOW.iter().filter_map(|name| fleet.target(name));
    for (index, since) in targets.zip(since) {
        let runs = fleet.history(index)?.runs;
        let newer = runs.iter().filter(|run| run.run > *since);
        // Starts and ends in the order in which they took place.
        let mut events = BTreeSet::new();
        for run in newer {
            events.insert((run.start, 1, run.run));
            events.insert((run.end.unwrap_or(u64::MAX), 0, run.run));
        }
        let mut open = 0_i64;
        for (_, starts, _) in events {
            open += if starts == 1 { 1 } else { -1 };
            largest = largest.max(open);
        }
    }
    Ok(largest as f64)
}
