//! Goodput below, at and above the capacity, and fairness between tenants.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::json;

use crate::caller::Call;
use crate::fleet::{self, Fleet, Plan};
use crate::load::{self, End, Load, Outcome};
use crate::report;

/// Targets, each with 4 slots.
const TARGETS: usize = 4;

/// Time of a request, in milliseconds.
const SERVICE_MS: f64 = 10.0;

/// What the targets can serve, in requests per second.
const CAPACITY: f64 = TARGETS as f64 * 4.0 * 1_000.0 / SERVICE_MS;

/// Offered loads over the capacity.
const OFFERED: [f64; 3] = [0.5, 1.0, 2.0];

/// Deadline of each request, in milliseconds.
const DEADLINE: u64 = 200;

/// Duration of each load.
const TIME: Duration = Duration::from_secs(6);

/// Part at the start of each load that is left out.
const SETTLE: Duration = Duration::from_secs(1);

/// Goodput at twice the capacity over the largest one, at least.
const AIM: f64 = 0.9;

/// One request in this many is from the small tenant.
const SMALL: u64 = 11;

/// Measures and prints.
///
/// # Errors
/// A process does not start.
pub fn run() -> Result<(), fleet::Error> {
    report::value("aim_goodput_over_largest", "overload", AIM, "ratio");
    for kind in ["shared", "keyed"] {
        run_kind(kind)?;
    }
    Ok(())
}

fn run_kind(kind: &str) -> Result<(), fleet::Error> {
    let mut plan = Plan {
        domains: vec![("a", "r")],
        daemons: vec!["a", "a"],
        targets: Vec::new(),
        services: Vec::new(),
        policy: json!({ "rebalance": false }),
        relays: false,
    };
    plan.serve("work", kind);
    plan.add(TARGETS, "work", |target| target.service_ms = SERVICE_MS);
    let fleet = Fleet::start(&plan)?;
    let mut goodput = BTreeMap::new();
    for offered in OFFERED {
        let outcome = offer(&fleet, offered, |_| String::new());
        outcome.log(&format!("{kind}, {offered} of the capacity"));
        let settled = outcome.during(SETTLE, TIME);
        let rate = timely(&settled, |_| true) as f64 / settled.seconds;
        goodput.insert(format!("{kind}_{offered}"), rate);
        refusals(&settled, &format!("{kind}_{offered}"));
        let case = format!("{kind}_{offered}");
        report::value("overload_p99", &case, settled.latency(0.99), "ms");
    }
    let largest = goodput.values().copied().fold(0.0, f64::max);
    for (case, rate) in goodput {
        report::against("overload_goodput", &case, rate, "requests/s", largest);
        report::against(
            "overload_goodput_of_capacity",
            &case,
            rate,
            "requests/s",
            CAPACITY,
        );
    }
    fairness(&fleet, kind);
    Ok(())
}

fn offer(fleet: &Fleet, offered: f64, tenant: impl Fn(u64) -> String + Sync) -> Outcome {
    let load = Load {
        addresses: fleet.callers(|_| true),
        rate: offered * CAPACITY,
        time: TIME,
        threads: 700,
        timeout: Duration::from_millis(2 * DEADLINE),
    };
    load::run(&load, |number| {
        let headers = format!("request-timeout-ms: {DEADLINE}\r\n{}", tenant(number));
        Call::new(
            "GET",
            &format!("/work/key-{}", number * 7_919 % 10_007),
            &headers,
            b"",
        )
    })
}

/// Counts the requests answered before their deadline.
fn timely(outcome: &Outcome, keep: impl Fn(&End) -> bool) -> usize {
    let good = outcome.good().filter(|end| keep(end));
    let deadline = Duration::from_millis(DEADLINE);
    good.filter(|end| end.took <= deadline).count()
}

fn refusals(outcome: &Outcome, case: &str) {
    let all = outcome.ends.len().max(1) as f64;
    for (reason, count) in outcome.failures() {
        // An answer without a reason is the target's own: it stopped the run at the deadline.
        let reason = match reason.as_str() {
            "504 " => "504_by_target".to_owned(),
            reason => reason.replace(' ', "_"),
        };
        let measure = format!("overload_refused_{reason}");
        report::value(&measure, case, count as f64 * 100.0 / all, "percent");
    }
    let late = outcome.ok() as f64 - timely(outcome, |_| true) as f64;
    report::value("overload_late", case, late * 100.0 / all, "percent");
}

/// Offers twice the capacity, a tenth as much from one tenant as from the other.
fn fairness(fleet: &Fleet, kind: &str) {
    let is_small = |number: u64| number.is_multiple_of(SMALL);
    let outcome = offer(fleet, 2.0, |number| {
        let name = if is_small(number) { "small" } else { "large" };
        format!("tenant: {name}\r\n")
    });
    outcome.log(&format!("{kind}, two tenants"));
    let settled = outcome.during(SETTLE, TIME);
    for (name, small) in [("small", true), ("large", false)] {
        let own = |end: &End| is_small(end.number) == small;
        let offered = settled.ends.iter().filter(|end| own(end)).count();
        let share = timely(&settled, own) as f64 * 100.0 / offered.max(1) as f64;
        let case = format!("{kind}_{name}");
        report::value("fairness_answered_in_time", &case, share, "percent");
        let mine = settled.ends.iter().filter(|end| own(end)).cloned();
        let mine = Outcome {
            ends: mine.collect(),
            seconds: settled.seconds,
        };
        eprintln!("  {case}: {:?}", mine.failures());
    }
}
