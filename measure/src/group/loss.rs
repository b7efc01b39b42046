//! Unavailable time per key after losses.

use std::collections::HashMap;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use pistachiomoor::{model, state};
use serde_json::json;

use crate::caller::{Call, Caller};
use crate::fleet::{self, Fleet, Plan};
use crate::report;
use crate::slice;

/// Keys sampled in each case.
const KEYS: usize = 32;

/// Time between two probes of a key.
const PERIOD: Duration = Duration::from_millis(10);

/// Deadline of a probe, in milliseconds.
const DEADLINE: u64 = 100;

/// Time for which keys are probed before the loss.
const BEFORE: Duration = Duration::from_millis(700);

/// Time for which keys are probed after the loss.
const AFTER: Duration = Duration::from_millis(3_800);

/// Time for which a dead target is watched after its evacuation; placement is
/// reviewed every 5 s.
const RETURN: Duration = Duration::from_secs(12);

/// How long the log is down in the cases with a log that is down.
const LOG_DOWN: Duration = Duration::from_millis(2_000);

/// Unavailable time per key, at most, in milliseconds, where safety allows.
const AIM: f64 = 1_000.0;

/// The target whose keys are sampled.
const TARGET: &str = "records-01";

/// What is lost.
#[derive(Clone, Copy, Debug)]
enum Case {
    TargetKilled,
    TargetFrozen,
    TargetCold,
    HolderKilled,
    HolderPaused,
    BothKilled,
    HolderKilledLogDown,
    TargetKilledLogDown,
}

impl Case {
    const ALL: [Self; 8] = [
        Self::TargetKilled,
        Self::TargetFrozen,
        Self::TargetCold,
        Self::HolderKilled,
        Self::HolderPaused,
        Self::BothKilled,
        Self::HolderKilledLogDown,
        Self::TargetKilledLogDown,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::TargetKilled => "target_killed",
            Self::TargetFrozen => "target_frozen",
            Self::TargetCold => "target_cold_again",
            Self::HolderKilled => "holder_killed",
            Self::HolderPaused => "holder_paused_2s",
            Self::BothKilled => "holder_and_target_killed",
            Self::HolderKilledLogDown => "holder_killed_log_down_2s",
            Self::TargetKilledLogDown => "target_killed_log_down_2s",
        }
    }

    fn log_down(self) -> bool {
        matches!(self, Self::HolderKilledLogDown | Self::TargetKilledLogDown)
    }

    /// Makes the loss happen; returns once it is complete.
    fn strike(self, fleet: &mut Fleet, target: usize, holder: usize) -> Result<(), fleet::Error> {
        let address = fleet.targets[target].address;
        let log = fleet.log;
        if self.log_down() {
            fleet::fault(log, &json!({ "down": true }))?;
        }
        match self {
            Self::TargetKilled | Self::TargetKilledLogDown => fleet.targets[target].process.kill(),
            Self::TargetFrozen => fleet::fault(address, &json!({ "freeze_ms": 60_000 }))?,
            Self::TargetCold => fleet::fault(address, &json!({ "restart": true }))?,
            Self::HolderKilled | Self::HolderKilledLogDown => fleet.daemons[holder].process.kill(),
            Self::HolderPaused => fleet.daemons[holder].process.pause(LOG_DOWN),
            Self::BothKilled => {
                fleet.daemons[holder].process.kill();
                fleet.targets[target].process.kill();
            }
        }
        if self.log_down() {
            thread::sleep(LOG_DOWN);
            fleet::fault(log, &json!({ "down": false }))?;
        }
        Ok(())
    }
}

/// Measures and prints.
///
/// # Errors
/// A process does not start.
pub fn run() -> Result<(), fleet::Error> {
    for case in Case::ALL {
        run_case(case)?;
    }
    run_return()
}

/// Kills a target and looks whether it is given shards again while it is dead.
fn run_return() -> Result<(), fleet::Error> {
    let mut fleet = Fleet::start(&plan())?;
    let target = fleet.target(TARGET).unwrap_or_default();
    let name = model::TargetName::from(TARGET);
    let owned = |fleet: &Fleet| -> Result<u64, fleet::Error> {
        let state = fleet.state()?;
        Ok(state.owned.get(&name).copied().unwrap_or_default())
    };
    let before = owned(&fleet)?;
    fleet.targets[target].process.kill();
    fleet.wait("the evacuation of a target", || {
        owned(&fleet).is_ok_and(|owned| owned == 0)
    })?;
    let moved = fleet.metric("pistachiomoor_shards_moved_total");
    let end = Instant::now() + RETURN;
    let mut most = 0;
    while Instant::now() < end {
        most = most.max(owned(&fleet)?);
        thread::sleep(Duration::from_millis(10));
    }
    let moved = fleet.metric("pistachiomoor_shards_moved_total") - moved;
    let before = before as f64;
    report::against(
        "dead_target_owns_again_at_most",
        TARGET,
        most as f64,
        "shards",
        before,
    );
    report::against(
        "shards_moved_after_evacuation",
        TARGET,
        moved,
        "shards",
        before,
    );
    Ok(())
}

fn plan() -> Plan {
    let mut plan = Plan {
        domains: vec![("a", "r"), ("b", "r")],
        daemons: vec!["b", "a", "a", "b"],
        targets: Vec::new(),
        services: Vec::new(),
        policy: json!({}),
        relays: false,
    };
    plan.services
        .push(json!({ "name": "records", "kind": "keyed", "shards": 256 }));
    plan.add(6, "records", |target| {
        target.service_ms = 0.5;
        target.args = vec!["--cold-ms", "500", "--cold-limit", "1"];
    });
    plan
}

fn run_case(case: Case) -> Result<(), fleet::Error> {
    let mut fleet = Fleet::start(&plan())?;
    let state = fleet.state()?;
    let target = fleet.target(TARGET).unwrap_or_default();
    let holder = fleet.holder(TARGET)?;
    let keys = keys_of(&state, TARGET);
    // The first daemon is in the other failure domain and stays up.
    let entry = fleet.daemons[0].caller;
    let start = Instant::now();
    let end = start + BEFORE + AFTER;
    let seen = Mutex::new(Vec::new());
    let failures = Mutex::new(HashMap::<String, u64>::new());
    let struck = thread::scope(|scope| {
        for (index, key) in keys.iter().enumerate() {
            let (seen, failures) = (&seen, &failures);
            scope.spawn(move || {
                let offset = PERIOD.mul_f64(index as f64 / KEYS as f64);
                let (good, bad) = probe(entry, key, start + offset, end);
                seen.lock().expect("no thread panics").push(good);
                let mut failures = failures.lock().expect("no thread panics");
                for reason in bad {
                    *failures.entry(reason).or_default() += 1;
                }
            });
        }
        thread::sleep(BEFORE);
        let at = start.elapsed();
        case.strike(&mut fleet, target, holder).map(|()| at)
    })?;
    let seen = seen.into_inner().expect("no thread panics");
    let found: Vec<_> = seen.iter().map(|good| gap(good, struck)).collect();
    let gaps: Vec<f64> = found.iter().map(|gap| gap.millis).collect();
    let failures = failures.into_inner().expect("no thread panics");
    eprintln!(
        "  {}: gaps {gaps:.0?} ms, failures {failures:?}",
        case.name()
    );
    let median = slice::quantile(&gaps, 0.5);
    let worst = slice::quantile(&gaps, 1.0);
    report::against("unavailable_median", case.name(), median, "ms", AIM);
    report::against("unavailable_worst", case.name(), worst, "ms", AIM);
    let lasting = found.iter().filter(|gap| gap.lasting).count();
    report::value("unavailable_until_end", case.name(), lasting as f64, "keys");
    Ok(())
}

/// Returns keys whose shards a target owns.
fn keys_of(state: &state::State, target: &str) -> Vec<String> {
    let service = model::ServiceName::from("records");
    let group = model::GroupId {
        service: service.clone(),
        regions: Vec::new(),
    };
    let owned = |key: &String| {
        let owner = state.owner(&group, model::KeyHash::of(&service, key.as_bytes()));
        owner.is_some_and(|(_, owner)| owner.target.as_str() == target)
    };
    let keys = (0..100_000).map(|number| format!("key-{number}"));
    keys.filter(owned).take(KEYS).collect()
}

/// Probes a key at fixed times; returns when probes were sent and answered,
/// and why others were not.
fn probe(
    entry: std::net::SocketAddr,
    key: &str,
    start: Instant,
    end: Instant,
) -> (Vec<(Duration, Duration)>, Vec<String>) {
    let headers = format!("request-timeout-ms: {DEADLINE}\r\n");
    let call = Call::new("GET", &format!("/records/{key}"), &headers, b"");
    let mut caller = Caller::new(entry, Duration::from_millis(3 * DEADLINE));
    let (mut good, mut bad) = (Vec::new(), Vec::new());
    let mut due = start;
    while due < end {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let sent = start.elapsed();
        match caller.call(&call) {
            Ok(answer) if answer.status == 200 => good.push((sent, start.elapsed())),
            Ok(answer) => {
                let reason = answer.header("outcome-reason").unwrap_or_default();
                bad.push(format!("{} {reason}", answer.status));
            }
            Err(error) => bad.push(error.kind().to_string()),
        }
        due = (due + PERIOD).max(Instant::now());
    }
    (good, bad)
}

/// Unavailable time of a key.
struct Gap {
    /// Longest time between an answer and the next one after the loss, in milliseconds.
    millis: f64,
    /// Whether the key was not answered again until the end.
    lasting: bool,
}

fn gap(good: &[(Duration, Duration)], struck: Duration) -> Gap {
    let mut last = struck;
    let mut longest = Duration::ZERO;
    for (_, answered) in good.iter().filter(|(_, answered)| *answered > struck) {
        longest = longest.max(answered.saturating_sub(last));
        last = *answered;
    }
    let rest = (BEFORE + AFTER).saturating_sub(last);
    let lasting = rest > Duration::from_millis(4 * DEADLINE);
    if lasting {
        longest = longest.max(rest);
    }
    Gap {
        millis: longest.as_secs_f64() * 1e3,
        lasting,
    }
}
