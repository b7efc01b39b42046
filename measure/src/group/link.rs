//! Bytes between regions by purpose, in quiet and under load.
//!
//! The daemon's counter `bytes` is never raised, so that relays count what
//! daemons outside the log's region exchange with the log, and what daemons
//! exchange with targets. Heartbeats are encoded as the daemon does. Forwarded
//! requests between regions are estimated: their number times what a request
//! takes between holder and target, and the headers between daemons.

use std::thread;
use std::time::Duration;

use pistachiomoor::{lease, model, peer};

use crate::caller::Call;
use crate::fleet::{self, Fleet, Plan};
use crate::load::{self, Load, Outcome};
use crate::report;
use crate::slice;

/// Duration of the quiet phase and of the load; figures are scaled to a minute.
const TIME: Duration = Duration::from_secs(25);

/// Offered rate in each region for each service, in requests per second.
const RATE: f64 = 150.0;

/// Bytes of the headers that only requests between daemons carry.
const ROUTE_HEADERS: f64 = 150.0;

/// Control traffic of a daemon, at most, in bytes per second.
const AIM: f64 = 3_000.0;

/// Processor time of a daemon for control, at most, in percent of a core.
const AIM_CPU: f64 = 1.6;

/// Renewals of a target's grants that the design asks for, per second.
const RENEWALS: f64 = 1_000.0 / lease::GRANT_RENEWAL_PERIOD_MS as f64;

/// Heartbeats of a holder to one backup, per second.
const HEARTBEATS: f64 = 1_000.0 / lease::HEARTBEAT_PERIOD_MS as f64;

/// Bytes that relays passed on.
#[derive(Clone, Copy)]
struct Passed {
    /// From daemons outside the log's region to the log.
    log_up: f64,
    /// From the log to them.
    log_down: f64,
    /// Between daemons and targets, both ways.
    targets: f64,
}

/// Measures and prints.
///
/// # Errors
/// A process does not start.
pub fn run() -> Result<(), fleet::Error> {
    let mut plan = Plan::skyfuel();
    plan.relays = true;
    plan.serve("ordering", "shared");
    plan.serve("records", "keyed");
    plan.add(20, "ordering", |_| {});
    plan.add(12, "records", |_| {});
    let fleet = Fleet::start(&plan)?;
    // Leases are still spread among the daemons at first.
    thread::sleep(Duration::from_secs(5));
    heartbeats(&fleet)?;
    let before = passed(&fleet);
    let cpu = || fleet.daemons.iter().map(|daemon| daemon.process.cpu());
    let used: Vec<_> = cpu().collect();
    let ordered = orders(&fleet)?;
    thread::sleep(TIME);
    let ordered = (orders(&fleet)? - ordered) / TIME.as_secs_f64() / fleet.targets.len() as f64;
    report::against("grant_orders_per_target", "quiet", ordered, "1/s", RENEWALS);
    let used = cpu()
        .zip(used)
        .map(|(now, before)| (now - before) * 100.0 / TIME.as_secs_f64());
    let used: Vec<_> = used.collect();
    for (case, quantile) in [("median_daemon", 0.5), ("busiest_daemon", 1.0)] {
        let percent = slice::quantile(&used, quantile);
        report::against(
            "control_cpu_quiet",
            case,
            percent,
            "percent of a core",
            AIM_CPU,
        );
    }
    let quiet = passed(&fleet);
    print("quiet", &fleet, before, quiet, TIME.as_secs_f64());
    let far = fleet
        .daemons
        .iter()
        .filter(|daemon| daemon.log.is_some())
        .count() as f64;
    let outcomes = loads(&fleet);
    let seconds = outcomes
        .iter()
        .map(|(_, outcome)| outcome.seconds)
        .fold(0.0, f64::max);
    let loaded = passed(&fleet);
    print("load", &fleet, quiet, loaded, seconds);
    forwarded(&fleet, &outcomes, quiet, loaded, before);
    report::value("link_far_daemons", "skyfuel", far, "daemons");
    let counted = fleet.metric("pistachiomoor_bytes_total");
    report::value("daemon_counter_bytes", "skyfuel", counted, "bytes");
    Ok(())
}

/// Returns the renewals of grants that targets have received.
fn orders(fleet: &Fleet) -> Result<f64, fleet::Error> {
    let mut orders = 0;
    for index in 0..fleet.targets.len() {
        orders += fleet.history(index)?.counters.orders;
    }
    Ok(orders as f64)
}

fn passed(fleet: &Fleet) -> Passed {
    let logs = fleet
        .daemons
        .iter()
        .filter_map(|daemon| daemon.log.as_ref());
    let logs: Vec<_> = logs.map(|relay| relay.bytes()).collect();
    let targets = fleet
        .targets
        .iter()
        .filter_map(|running| running.relay.as_ref());
    let targets = targets
        .map(|relay| relay.bytes())
        .map(|(up, down)| up + down);
    Passed {
        log_up: logs.iter().map(|(up, _)| *up).sum::<u64>() as f64,
        log_down: logs.iter().map(|(_, down)| *down).sum::<u64>() as f64,
        targets: targets.sum::<u64>() as f64,
    }
}

fn print(case: &str, fleet: &Fleet, before: Passed, after: Passed, seconds: f64) {
    let minute = |bytes: f64| bytes * 60.0 / seconds;
    let (up, down) = (
        after.log_up - before.log_up,
        after.log_down - before.log_down,
    );
    report::value("link_log_to", case, minute(up), "bytes/min");
    report::value("link_log_from", case, minute(down), "bytes/min");
    let far = fleet
        .daemons
        .iter()
        .filter(|daemon| daemon.log.is_some())
        .count()
        .max(1) as f64;
    let each = (up + down) / seconds / far;
    report::against("link_log_per_daemon", case, each, "bytes/s", AIM);
    let targets = (after.targets - before.targets) / seconds / fleet.targets.len() as f64;
    let measure = match case {
        "quiet" => "grants_per_target",
        _ => "grants_and_requests_per_target",
    };
    report::value(measure, case, targets, "bytes/s");
}

/// Prints the bytes of heartbeats and acknowledgements, within and between regions.
fn heartbeats(fleet: &Fleet) -> Result<(), fleet::Error> {
    let state = fleet.state()?;
    let mut pairs = std::collections::BTreeMap::<_, Vec<model::Offset>>::new();
    for lease in state.leases.values() {
        let pair = lease.backup.map(|backup| (lease.holder, backup));
        pairs.entry(pair).or_default().push(lease.offset);
    }
    let region = |id| {
        state
            .hosts
            .get(&id)
            .and_then(|host| state.region(&host.domain))
    };
    let (mut within, mut between, mut most) = (0.0, 0.0, 0.0_f64);
    for (pair, mut leases) in pairs {
        let Some((from, to)) = pair else { continue };
        leases.sort_unstable();
        let heartbeat = lease::Heartbeat {
            from,
            to,
            sequence: 10_000,
            seen: state.next,
            leases: leases.clone(),
            spans: vec![lease::INITIAL_SPAN_MS; leases.len()],
        };
        let ack = lease::Ack {
            from: to,
            to: from,
            sequence: 10_000,
            seen: state.next,
            leases,
        };
        let datagrams = [
            peer::Datagram::Heartbeat(heartbeat),
            peer::Datagram::Ack(ack),
        ];
        let sizes = datagrams
            .iter()
            .map(|datagram| datagram.encode().unwrap_or_default().len());
        let rate = sizes.sum::<usize>() as f64 * HEARTBEATS;
        most = most.max(rate);
        match region(from) == region(to) {
            true => within += rate,
            false => between += rate,
        }
    }
    report::value("link_heartbeats", "quiet", between * 60.0, "bytes/min");
    report::value(
        "heartbeats_within_regions",
        "quiet",
        within * 60.0,
        "bytes/min",
    );
    report::against("heartbeats_per_holder", "largest", most, "bytes/s", AIM);
    Ok(())
}

/// Loads each region's daemons apart, so that requests between regions can be counted.
fn loads(fleet: &Fleet) -> Vec<(&'static str, Outcome)> {
    let run = |region: &'static str| {
        let load = Load {
            addresses: fleet.callers(|daemon| daemon.region == region),
            rate: RATE * 2.0,
            time: TIME,
            threads: 32,
            timeout: Duration::from_secs(3),
        };
        let outcome = load::run(&load, |number| match number % 2 {
            0 => Call::new("GET", "/ordering/quote", "", b""),
            _ => Call::new(
                "GET",
                &format!("/records/key-{}", number * 7_919 % 5_003),
                "",
                b"",
            ),
        });
        outcome.log(region);
        (region, outcome)
    };
    thread::scope(|scope| {
        let threads = ["bkk", "hkt"].map(|region| scope.spawn(move || run(region)));
        let joined = threads
            .into_iter()
            .map(|thread| thread.join().expect("no thread panics"));
        joined.collect()
    })
}

fn forwarded(
    fleet: &Fleet,
    outcomes: &[(&'static str, Outcome)],
    quiet: Passed,
    loaded: Passed,
    before: Passed,
) {
    let all: u64 = outcomes.iter().map(|(_, outcome)| outcome.ok()).sum();
    let control = quiet.targets - before.targets;
    let bytes = (loaded.targets - quiet.targets - control) / all.max(1) as f64;
    report::value("bytes_per_request_at_target", "get", bytes, "bytes");
    for service in ["ordering", "records"] {
        let mut crossing = 0;
        for (region, outcome) in outcomes {
            let crosses = outcome.good().filter(|end| {
                let target = fleet
                    .target(&end.target)
                    .map(|index| &fleet.targets[index].target);
                target.is_some_and(|target| {
                    let host = fleet
                        .daemons
                        .iter()
                        .find(|daemon| daemon.domain == target.domain);
                    target.service == service && host.is_some_and(|host| host.region != *region)
                })
            });
            crossing += crosses.count();
        }
        let minutes = TIME.as_secs_f64() / 60.0;
        let each = bytes + ROUTE_HEADERS;
        let case = format!("{service}_estimated");
        report::value(
            "link_forward",
            &case,
            crossing as f64 * each / minutes,
            "bytes/min",
        );
        let sent = RATE * 2.0 * minutes * 60.0;
        report::value(
            "link_forward_share",
            service,
            crossing as f64 * 100.0 / sent,
            "percent",
        );
    }
}
