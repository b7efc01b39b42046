//! Resident memory of a daemon that reads a log written for the purpose.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::thread;
use std::time::{Duration, Instant};

use pistachiomoor::{admin, cmd, journal, lease, model, route, state};
use serde_json::json;
use standins::target;

use crate::fleet;
use crate::process::{self, Process};
use crate::relay::Relay;
use crate::report;

/// Objects of one change record.
const BATCH: usize = 500;

/// Longest time until all shards have an owner.
const ASSIGN: Duration = Duration::from_secs(15);

/// Time for a daemon to settle before its memory is read.
const SETTLE: Duration = Duration::from_millis(1_200);

/// Memory for control, at most, in MB.
const AIM_MB: f64 = 256.0;

/// Renewals of a target's grants that the design asks for, per second.
const RENEWALS: f64 = 1_000.0 / lease::GRANT_RENEWAL_PERIOD_MS as f64;

/// Sizes of a state.
#[derive(Clone, Copy, Debug)]
struct Sizes {
    shards: u32,
    groups: usize,
    targets: usize,
    hosts: usize,
    tenants: usize,
}

const BASE: Sizes = Sizes {
    shards: 4_096,
    groups: 1,
    targets: 10,
    hosts: 10,
    tenants: 0,
};

/// Measures and prints.
///
/// # Errors
/// A process does not start.
pub fn run() -> Result<(), fleet::Error> {
    let targets = (0..160).map(|index| {
        let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let mut options = target::Options::new(listen, format!("t{index:03}"));
        options.checks = false;
        options.history = 0;
        target::Server::start(options)
    });
    let targets = targets
        .collect::<Result<Vec<_>, _>>()
        .map_err(std::io::Error::other)?;
    let base = point("base", BASE, &targets)?;
    let with = |name: &str, sizes: Sizes, count: usize| -> Result<(), fleet::Error> {
        let resident = point(name, sizes, &targets)?;
        let slope = (resident - base) / count as f64;
        report::value("memory_slope", name, slope, "bytes each");
        Ok(())
    };
    for shards in [16_384, 65_536] {
        let name = format!("shards_{shards}");
        with(
            &name,
            Sizes { shards, ..BASE },
            (shards - BASE.shards) as usize,
        )?;
    }
    for groups in [4, 10] {
        let name = format!("groups_{groups}");
        with(&name, Sizes { groups, ..BASE }, groups - 1)?;
    }
    for targets in [40, 160] {
        let name = format!("targets_{targets}");
        with(&name, Sizes { targets, ..BASE }, targets - BASE.targets)?;
    }
    for hosts in [100, 560] {
        let name = format!("hosts_{hosts}");
        with(&name, Sizes { hosts, ..BASE }, hosts - BASE.hosts)?;
    }
    for tenants in [1_000, 10_000] {
        let name = format!("tenants_{tenants}");
        with(&name, Sizes { tenants, ..BASE }, tenants)?;
    }
    let grown = Sizes {
        shards: 65_536,
        groups: 4,
        targets: 160,
        hosts: 560,
        tenants: 10_000,
    };
    let resident = point("all_together", grown, &targets)?;
    report::against("memory_resident", "aim", resident / 1e6, "MB", AIM_MB);
    Ok(())
}

/// Returns the resident memory of a daemon at a state of these sizes, in bytes.
fn point(name: &str, sizes: Sizes, targets: &[target::Server]) -> Result<f64, fleet::Error> {
    let folder = fleet::folder()?;
    let (_log, log) = fleet::standin(&folder, "log", "log", &[])?;
    write(log, sizes, targets)?;
    let relay = Relay::start(log)?;
    let (caller, peer, listen) = (fleet::address()?, fleet::address()?, fleet::address()?);
    let settings = json!({
        "host": "measured",
        "domain": "near",
        "region": "r",
        "listen": { "caller": caller, "peer": peer, "admin": listen },
        "platform": { "log": relay.address },
    });
    let path = folder.join("measured.json");
    fs::write(&path, settings.to_string())?;
    let args = [
        "serve".to_owned(),
        "--settings".to_owned(),
        path.display().to_string(),
    ];
    let output = folder.join("measured.log");
    let daemon = Process::start(&process::beside("pistachiomoor")?, &args, &output)?;
    fleet::wait_port(listen)?;
    let client = cmd::Admin::new(listen);
    let wanted = u64::from(sizes.shards) * sizes.groups as u64;
    let end = Instant::now() + ASSIGN;
    let started = Instant::now();
    let mut owned = 0;
    while owned < wanted && Instant::now() < end {
        thread::sleep(Duration::from_millis(50));
        let shares: Result<admin::Owned, _> = client.json("/admin/owned");
        owned = shares.map_or(0, |owned| {
            owned.targets.values().map(|share| share.shards).sum()
        });
    }
    eprintln!(
        "  {name}: {owned} of {wanted} shards owned after {:?}",
        started.elapsed()
    );
    thread::sleep(SETTLE);
    let passed = || {
        let (up, down) = relay.bytes();
        (up + down) as f64
    };
    let orders = || -> u64 {
        let reports = targets
            .iter()
            .take(sizes.targets)
            .map(target::Server::history);
        reports.map(|report| report.counters.orders).sum()
    };
    let before = (daemon.cpu(), passed(), orders());
    thread::sleep(SETTLE);
    let cpu = (daemon.cpu() - before.0) / SETTLE.as_secs_f64();
    let reads = (passed() - before.1) / SETTLE.as_secs_f64();
    let renewals = (orders() - before.2) as f64 / SETTLE.as_secs_f64() / sizes.targets as f64;
    report::against("grant_orders_per_target", name, renewals, "1/s", RENEWALS);
    let resident = daemon.resident() as f64;
    report::value("memory_resident", name, resident / 1e6, "MB");
    // There is no backup, so that the right comes from log reads alone.
    report::value(
        "control_cpu_without_backup",
        name,
        cpu * 100.0,
        "percent of a core",
    );
    report::value("log_bytes_without_backup", name, reads, "bytes/s");
    let bytes = state::snapshot::to_bytes(&client.state()?).len();
    report::value("snapshot_bytes", name, bytes as f64, "bytes");
    Ok(resident)
}

/// Writes a log that a daemon folds to a state of these sizes.
fn write(log: SocketAddr, sizes: Sizes, targets: &[target::Server]) -> Result<(), fleet::Error> {
    let client = journal::Client::new(log);
    let append = |writer: usize, seq: u64, body: state::Body| -> Result<(), fleet::Error> {
        let envelope = state::Envelope {
            format: state::FORMAT,
            least: state::FORMAT,
            writer: model::Incarnation(1 << 32 | writer as u64),
            seq,
            base: model::Offset(0),
            time: 0,
            body,
        };
        let appended = client.append(&envelope.encode());
        appended
            .map(drop)
            .map_err(|error| std::io::Error::other(error.to_string()).into())
    };
    for (changes, seq) in changes(sizes, targets).chunks(BATCH).zip(1..) {
        append(0, seq, change(changes))?;
    }
    for index in 1..sizes.hosts {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 9));
        let body = state::Body::HostUp {
            host: format!("other-{index}").as_str().into(),
            domain: "far".into(),
            peer: address,
            caller: address,
        };
        append(index, 1, body)?;
    }
    for (body, seq) in assignments(sizes).into_iter().zip(2..) {
        append(1, seq, body)?;
    }
    // A host that is out is no backup, so that the daemon does not name one after the other.
    let out = (1..sizes.hosts).map(|index| {
        let name = format!("other-{index}").as_str().into();
        state::Change::SetHost(name, state::Standing::Out)
    });
    let out: Vec<_> = out.collect();
    for (changes, seq) in out.chunks(BATCH).zip(1_000..) {
        append(0, seq, change(changes))?;
    }
    Ok(())
}

fn change(changes: &[state::Change]) -> state::Body {
    state::Body::Change {
        plan: rand::random(),
        operator: "measure".into(),
        reason: "measure".to_owned(),
        changes: changes.to_vec(),
    }
}

/// Gives each target of a group an equal range of its shards.
fn assignments(sizes: Sizes) -> Vec<state::Body> {
    let mut bodies = Vec::new();
    for index in 0..sizes.groups {
        let owners: Vec<_> = (index..sizes.targets).step_by(sizes.groups).collect();
        let count = owners.len() as u64;
        let bound = |place: u64| (u64::from(sizes.shards) * place / count) as u32;
        for (owner, place) in owners.into_iter().zip(0..) {
            bodies.push(state::Body::Assign {
                group: model::GroupId {
                    service: format!("s{index}").as_str().into(),
                    regions: Vec::new(),
                },
                shards: model::ShardSet {
                    ranges: vec![(bound(place), bound(place + 1) - 1)],
                    pinned: Vec::new(),
                },
                target: format!("t{owner:03}").as_str().into(),
            });
        }
    }
    bodies
}

fn changes(sizes: Sizes, targets: &[target::Server]) -> Vec<state::Change> {
    let domain = |name: &str, region: &str| {
        state::Change::PutDomain(state::Domain {
            name: name.into(),
            region: region.into(),
            standing: state::Standing::In,
        })
    };
    let mut changes = vec![domain("near", "r"), domain("far", "s")];
    for index in 0..sizes.groups {
        let name = format!("s{index}");
        let service = json!({ "name": name, "kind": "keyed", "shards": sizes.shards });
        changes.push(serde_json::from_value(json!({ "put_service": service })).expect("a service"));
        let route = json!({ "prefix": format!("/{name}"), "service": name });
        changes.push(serde_json::from_value(json!({ "put_route": route })).expect("a route"));
    }
    for (index, server) in targets.iter().take(sizes.targets).enumerate() {
        changes.push(state::Change::PutTarget(state::Target {
            name: format!("t{index:03}").as_str().into(),
            service: format!("s{}", index % sizes.groups).as_str().into(),
            domain: "near".into(),
            address: server.addr(),
            concurrency: 4,
            checks: false,
            standing: state::Standing::In,
        }));
    }
    let tenants = (0..sizes.tenants).map(|index| {
        state::Change::PutTenant(state::Tenant {
            name: route::tenant_hash(format!("tenant-{index}").as_bytes()),
            regions: Vec::new(),
            standing: state::Standing::In,
        })
    });
    changes.extend(tenants);
    changes
}
