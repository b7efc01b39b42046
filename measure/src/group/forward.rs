//! One daemon, two daemons and a bare forwarder at the same offered rates.

use std::net::SocketAddr;
use std::time::Duration;

use crate::caller::Call;
use crate::fleet::{self, Fleet, Plan};
use crate::load::{self, Load};
use crate::process::{self, Process};
use crate::report;
use crate::slice;

/// Offered rates, in requests per second.
const RATES: [f64; 2] = [5_000.0, 10_000.0];

/// Offered rate of the case with answers of 1 MB.
const LARGE_RATE: f64 = 100.0;

/// Rate that is offered to find the largest one sustained.
const FLOOD: f64 = 40_000.0;

/// Duration of one load.
const TIME: Duration = Duration::from_millis(1_400);

/// Runs of each load, of which the medians count.
const REPEATS: usize = 3;

/// Open connections.
const THREADS: usize = 48;

/// Requests per second that a daemon is to sustain, on one core.
const AIM: f64 = 9_700.0;

/// Processor time of a daemon over that of the bare forwarder, at most.
const AIM_RATIO: f64 = 1.3;

/// Latency that a daemon may add at p99, in milliseconds.
const AIM_ADDED: f64 = 0.5;

/// What is called.
#[derive(Clone, Copy)]
enum Case {
    Get,
    Post,
    Large,
}

impl Case {
    fn name(self) -> &'static str {
        match self {
            Self::Get => "get",
            Self::Post => "post_1kb",
            Self::Large => "answer_1mb",
        }
    }

    fn call(self) -> Call {
        match self {
            Self::Get => Call::new("GET", "/plain/a", "", b""),
            Self::Post => Call::new("POST", "/plain/a", "", &[b'x'; 1_024]),
            Self::Large => Call::new("GET", "/plain/a?bytes=1048576", "", b""),
        }
    }
}

/// A way to the targets.
struct Way<'way> {
    name: &'static str,
    addresses: Vec<SocketAddr>,
    processes: Vec<&'way Process>,
}

/// What one load showed.
#[derive(Clone, Copy)]
struct Seen {
    rate: f64,
    /// Processor time of all processes of the way, in microseconds per request.
    micros: f64,
    quantiles: [f64; 3],
}

fn run_load(way: &Way<'_>, case: Case, rate: f64, time: Duration) -> Seen {
    let load = Load {
        addresses: way.addresses.clone(),
        rate,
        time,
        threads: THREADS,
        timeout: Duration::from_secs(1),
    };
    let cpu = || way.processes.iter().map(|process| process.cpu());
    let call = case.call();
    let before = cpu().sum::<f64>();
    let outcome = load::run(&load, |_| call.clone());
    let used = cpu().sum::<f64>() - before;
    outcome.log(&format!("{} {} at {rate}/s", way.name, case.name()));
    let ok = outcome.ok().max(1) as f64;
    Seen {
        rate: ok / outcome.answered_for().max(time).as_secs_f64(),
        micros: used * 1e6 / ok,
        quantiles: [0.5, 0.99, 0.999].map(|quantile| outcome.latency(quantile)),
    }
}

/// Runs a load through every way in turn, a few times, and prints the medians.
fn compare(ways: &[Way<'_>], case: Case, rate: f64) {
    let mut runs = vec![Vec::new(); ways.len()];
    for _ in 0..REPEATS {
        for (way, runs) in ways.iter().zip(&mut runs) {
            runs.push(run_load(way, case, rate, TIME));
        }
    }
    let median = |runs: &[Seen], field: &dyn Fn(&Seen) -> f64| {
        let values: Vec<_> = runs.iter().map(field).collect();
        slice::quantile(&values, 0.5)
    };
    let seen = runs.iter().map(|runs| Seen {
        rate: median(runs, &|seen| seen.rate),
        micros: median(runs, &|seen| seen.micros),
        quantiles: [0, 1, 2].map(|index| median(runs, &|seen| seen.quantiles[index])),
    });
    let seen: Vec<_> = seen.collect();
    for (way, own) in ways.iter().zip(&seen) {
        print(way, case, rate, *own, (seen[0], seen[1]));
    }
}

fn print(way: &Way<'_>, case: Case, rate: f64, seen: Seen, (direct, bare): (Seen, Seen)) {
    let name = format!("{}_{}_{rate}", way.name, case.name());
    report::against("forward_rate", &name, seen.rate, "requests/s", rate);
    let measures = ["forward_p50", "forward_p99", "forward_p999"];
    for (index, measure) in measures.iter().enumerate() {
        let direct = direct.quantiles[index];
        report::against(measure, &name, seen.quantiles[index], "ms", direct);
    }
    if way.processes.is_empty() {
        return;
    }
    report::against("forward_cpu", &name, seen.micros, "us/request", bare.micros);
    let added = seen.quantiles[1] - direct.quantiles[1];
    report::against("forward_p99_added", &name, added, "ms", AIM_ADDED);
    let excess = seen.quantiles[1] - bare.quantiles[1];
    report::value("forward_p99_over_bare", &name, excess, "ms");
    if rate >= RATES[0] {
        let cores = seen.micros * AIM / 1e6;
        report::against("forward_cores_at_9700", &name, cores, "cores", 1.0);
    }
}

pub(super) fn plan(daemons: Vec<&'static str>) -> Plan {
    let mut plan = Plan {
        domains: vec![("a", "r"), ("b", "r")],
        daemons,
        targets: Vec::new(),
        services: Vec::new(),
        policy: serde_json::json!({}),
        relays: false,
    };
    plan.serve("plain", "shared");
    plan.add(4, "plain", |target| {
        target.domain = "b";
        target.slots = 64;
        target.service_ms = 0.0;
        target.args = vec!["--history", "0", "--connect-ms", "0"];
        target.checks = false;
    });
    plan
}

/// Measures and prints.
///
/// # Errors
/// A process does not start.
pub fn run() -> Result<(), fleet::Error> {
    report::value("aim_cpu_over_bare", "forward", AIM_RATIO, "ratio");
    let fleet = Fleet::start(&plan(vec!["b"]))?;
    let pair = Fleet::start(&plan(vec!["a", "b"]))?;
    if pair.holder("plain-01")? != 1 {
        return Err(fleet::Error::Plan("the entry holds the targets".to_owned()));
    }
    let listen = fleet::address()?;
    let to = fleet.targets[0].address;
    let listen_text = listen.to_string();
    let args = [
        "forwarder",
        "--listen",
        &listen_text,
        "--to",
        &to.to_string(),
    ];
    let args = args.map(str::to_owned);
    let output = fleet.folder.join("bare.txt");
    let bare = Process::start(&process::beside("measure")?, &args, &output)?;
    fleet::wait_port(listen)?;
    let way = |name, addresses, processes| Way {
        name,
        addresses,
        processes,
    };
    let both = pair.daemons.iter().map(|daemon| &daemon.process);
    let entry = pair.callers(|daemon| daemon.domain == "a");
    let ways = [
        way("direct", vec![to], Vec::new()),
        way("bare", vec![listen], vec![&bare]),
        way(
            "daemon",
            fleet.callers(|_| true),
            vec![&fleet.daemons[0].process],
        ),
        way("two_daemons", entry, both.collect()),
    ];
    for way in &ways[1..3] {
        let seen = run_load(way, Case::Get, FLOOD, TIME);
        report::against("forward_sustained", way.name, seen.rate, "requests/s", AIM);
        let cores = seen.micros * seen.rate / 1e6;
        report::against("forward_sustained_cores", way.name, cores, "cores", 1.0);
    }
    for rate in RATES {
        compare(&ways, Case::Get, rate);
    }
    compare(&ways, Case::Post, RATES[0]);
    compare(&ways, Case::Large, LARGE_RATE);
    Ok(())
}
