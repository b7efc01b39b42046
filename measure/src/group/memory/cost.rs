//! Cost of single decisions, in this process.

use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Instant;

use pistachiomoor::{clock, lease, model, peer, route, settings, state, target};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::report;
use crate::slice;

/// Shards of the group.
const SHARDS: u32 = 65_536;

/// Targets; the first daemon holds all of their leases.
const TARGETS: usize = 160;

/// Batches of a repeated step, of which the median counts.
const BATCHES: usize = 5;

/// Shards of one move.
const MOVED: u32 = 32;

/// A kind of record, the number of records, and what makes each of them.
type Case<'c> = (&'c str, usize, &'c dyn Fn(usize) -> state::Body);

/// A state and the records that continue it.
#[derive(Clone)]
struct Builder {
    state: state::State,
    seq: u64,
}

impl Builder {
    fn new() -> Self {
        Self {
            state: state::State::default(),
            seq: 0,
        }
    }

    fn record(&mut self, writer: model::Incarnation, body: state::Body) -> Vec<u8> {
        self.seq += 1;
        let envelope = state::Envelope {
            format: state::FORMAT,
            least: state::FORMAT,
            writer,
            seq: self.seq,
            base: self.state.next,
            time: 1_700_000_000_000,
            body,
        };
        envelope.encode()
    }

    fn add(&mut self, writer: model::Incarnation, body: state::Body) {
        let record = self.record(writer, body);
        let verdict = self.state.apply(self.state.next, &record);
        if verdict != state::Verdict::Accepted {
            eprintln!("  a record of the set-up was not accepted: {verdict:?}");
        }
    }
}

fn id(index: usize) -> model::Incarnation {
    model::Incarnation(0x1000_0000_0000_0000 + index as u64)
}

fn target_name(index: usize) -> model::TargetName {
    format!("t{:03}", index % TARGETS).as_str().into()
}

fn group() -> model::GroupId {
    model::GroupId {
        service: "s".into(),
        regions: Vec::new(),
    }
}

fn host_up(index: usize) -> state::Body {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 9));
    state::Body::HostUp {
        host: format!("host-{index}").as_str().into(),
        domain: "d".into(),
        peer: address,
        caller: address,
    }
}

fn put_target(index: usize) -> state::Change {
    state::Change::PutTarget(state::Target {
        name: target_name(index),
        service: "s".into(),
        domain: "d".into(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9)),
        concurrency: 4,
        checks: true,
        standing: state::Standing::In,
    })
}

fn change(changes: Vec<state::Change>) -> state::Body {
    state::Body::Change {
        plan: 1,
        operator: "measure".into(),
        reason: "measure".to_owned(),
        changes,
    }
}

fn range(first: u32, count: u32) -> model::ShardSet {
    model::ShardSet {
        ranges: vec![(first, first + count - 1)],
        pinned: Vec::new(),
    }
}

/// Returns a state with `hosts` daemons in which every shard has an owner.
fn build(hosts: usize) -> Builder {
    let mut builder = Builder::new();
    let domain = state::Change::PutDomain(state::Domain {
        name: "d".into(),
        region: "r".into(),
        standing: state::Standing::In,
    });
    let value = serde_json::json!({ "put_service": {
        "name": "s", "kind": "keyed", "shards": SHARDS,
    } });
    let service = serde_json::from_value(value).expect("a service");
    let route = state::Change::PutRoute(state::Route {
        prefix: "/s".to_owned(),
        service: "s".into(),
        regions: Vec::new(),
    });
    let mut changes = vec![domain, service, route];
    changes.extend((0..TARGETS).map(put_target));
    builder.add(id(0), change(changes));
    for index in 0..hosts {
        builder.add(id(index), host_up(index));
    }
    for index in 0..TARGETS {
        builder.add(id(0), lease_of(&builder.state.clone(), index));
    }
    let share = SHARDS / TARGETS as u32;
    for index in 0..TARGETS as u32 {
        let last = index + 1 == TARGETS as u32;
        let count = if last { SHARDS - index * share } else { share };
        builder.add(
            id(0),
            state::Body::Assign {
                group: group(),
                shards: range(index * share, count),
                target: target_name(index as usize),
            },
        );
    }
    builder
}

fn lease_of(state: &state::State, index: usize) -> state::Body {
    let target = target_name(index);
    state::Body::Lease {
        prior: state.leases.get(&target).map(|lease| lease.offset),
        target,
        holder: id(0),
        backup: Some(id(1)),
        span: state::UNKNOWN_SPAN_MS,
    }
}

/// Returns the time of one call in nanoseconds, as the median of a few batches.
fn time(calls: usize, mut call: impl FnMut()) -> f64 {
    let batches = (0..BATCHES).map(|_| {
        let start = Instant::now();
        (0..calls).for_each(|_| call());
        start.elapsed().as_nanos() as f64 / calls as f64
    });
    slice::quantile(&batches.collect::<Vec<_>>(), 0.5)
}

/// Measures and prints.
pub fn run() {
    for hosts in [10, 560] {
        let builder = build(hosts);
        apply(&builder, hosts);
        publish(&builder, hosts);
        tick(&builder, hosts);
    }
    requests(&build(10));
    datagrams();
    grants();
}

/// Applies records of one kind each to a copy of the state.
fn apply(builder: &Builder, hosts: usize) {
    let state = &builder.state;
    let share = SHARDS / TARGETS as u32;
    let lease = |index: usize| state.leases[&target_name(index)].offset;
    let key = |index: usize| model::KeyHash(index as u64 * 0x0123_4567_89ab_cdef);
    let owner = |index: usize| {
        let owner = state
            .owner(&group(), key(index))
            .map(|(_, owner)| owner.target.clone());
        owner.unwrap_or_else(|| target_name(0))
    };
    let movement = |index: usize| state::Body::Move {
        group: group(),
        shards: range(index as u32 * share, MOVED),
        from: target_name(index),
        lease: lease(index),
        to: target_name(index + 1),
    };
    let pin = |index: usize| state::Body::Pin {
        group: group(),
        key: key(index + 1),
        lease: state.leases[&owner(index + 1)].offset,
    };
    let mut data = vec![0; 64 << 10];
    StdRng::seed_from_u64(7).fill(&mut data[..]);
    let part = |index: usize| state::Body::SnapshotPart {
        at: state.next,
        part: index as u32,
        parts: 1_000,
        digest: [0; 32],
        data: data.clone(),
    };
    let cases: [Case<'_>; 7] = [
        ("host_up", 100, &|index| host_up(1_000 + index)),
        ("host_down", 8, &|_| state::Body::HostDown),
        ("lease", TARGETS, &|index| lease_of(state, index)),
        ("move_32_shards", TARGETS, &movement),
        ("pin", 40, &pin),
        ("change_one_target", 100, &|index| {
            change(vec![put_target(index)])
        }),
        ("snapshot_part_64kb", 50, &part),
    ];
    for (kind, count, body) in cases {
        let mut copy = builder.clone();
        // The first record of a kind also copies the group that other
        // versions of the state share; it is measured by `publish`.
        let records: Vec<_> = (0..count)
            .map(|index| {
                let writer = match kind {
                    "host_up" => id(1_000 + index),
                    "host_down" => id(2 + index),
                    _ => id(0),
                };
                copy.record(writer, body(index))
            })
            .collect();
        let bytes = records.iter().map(Vec::len).sum::<usize>() as f64 / count as f64;
        let mut times = Vec::new();
        let mut refused = 0;
        for record in &records {
            let start = Instant::now();
            let verdict = copy.state.apply(copy.state.next, record);
            times.push(start.elapsed().as_nanos() as f64);
            refused += usize::from(verdict != state::Verdict::Accepted);
        }
        if refused > 0 {
            eprintln!("  {refused} of {count} records {kind} were not accepted");
        }
        let case = format!("{kind}_{hosts}_hosts");
        report::value("apply", &case, slice::quantile(&times, 0.5) / 1e3, "us");
        report::value("record_bytes", &case, bytes, "bytes");
    }
}

/// Measures what a new version of the state costs beside its records.
fn publish(builder: &Builder, hosts: usize) {
    let case = format!("{hosts}_hosts");
    let state = &builder.state;
    let clone = time(20, || drop(black_box(state.clone())));
    report::value("publish_clone", &case, clone / 1e3, "us");
    let region = model::RegionName::from("r");
    let table = time(20, || drop(black_box(route::Table::new(state, &region))));
    report::value("publish_route_table", &case, table / 1e3, "us");
    let mut times = Vec::new();
    for index in 0..BATCHES {
        let mut copy = builder.clone();
        let from = target_name(index);
        let body = state::Body::Move {
            group: group(),
            shards: range(index as u32 * (SHARDS / TARGETS as u32), 1),
            lease: state.leases[&from].offset,
            from,
            to: target_name(index + 1),
        };
        let record = copy.record(id(0), body);
        let start = Instant::now();
        black_box(copy.state.apply(copy.state.next, &record));
        times.push(start.elapsed().as_nanos() as f64);
    }
    let copied = slice::quantile(&times, 0.5);
    report::value("publish_first_move", &case, copied / 1e3, "us");
    let snapshot = state::snapshot::to_bytes(state);
    report::value("snapshot_bytes", &case, snapshot.len() as f64, "bytes");
    let encode = time(2, || drop(black_box(state::snapshot::to_bytes(state))));
    report::value("snapshot_encode", &case, encode / 1e6, "ms");
}

/// Measures one round of heartbeats of a holder and its backup.
fn tick(builder: &Builder, hosts: usize) {
    let (mut holder, mut backup) = (lease::Table::new(id(0)), lease::Table::new(id(1)));
    let mut now = clock::Millis::default() + 1_000;
    holder.follow(now, &builder.state);
    backup.follow(now, &builder.state);
    let held = holder.held().count();
    let round = time(50, || {
        now = now + lease::HEARTBEAT_PERIOD_MS;
        for (_, heartbeat) in holder.heartbeats(now) {
            let ack = backup.on_heartbeat(now, id(0), &heartbeat);
            holder.on_ack(now, id(1), &ack);
        }
    });
    let case = format!("{held}_leases_{hosts}_hosts");
    report::value("lease_round", &case, round / 1e3, "us");
    let name = target_name(7);
    let act = time(10_000, || {
        let _ = black_box(holder.may_act(&name, now));
    });
    report::value("lease_may_act", &case, act, "ns");
    let follow = time(20, || holder.follow(now, &builder.state));
    report::value("lease_follow", &case, follow / 1e3, "us");
}

/// Measures the decisions of a request.
fn requests(builder: &Builder) {
    let region = model::RegionName::from("r");
    let table = route::Table::new(&builder.state, &region);
    let headers = http::HeaderMap::new();
    let resolve = time(10_000, || {
        drop(black_box(table.resolve("/s/tail-HS-ABC", &headers)));
    });
    report::value("route_resolve", "keyed", resolve, "ns");
    let service = model::ServiceName::from("s");
    let (group, key) = (group(), model::KeyHash::of(&service, b"tail-HS-ABC"));
    let owner = time(10_000, || {
        black_box(builder.state.owner(&group, key));
    });
    report::value("route_owner", "65536_shards", owner, "ns");
    let choice = route::choice::Table::new();
    let mut rng = StdRng::seed_from_u64(7);
    for (policy, name) in [
        (settings::Choice::TwoChoices, "two_choices"),
        (settings::Choice::LeastOutstanding, "least_outstanding"),
        (settings::Choice::RoundRobin, "round_robin"),
    ] {
        for count in [10, 20, 160] {
            let candidates = (0..count).map(|index| route::choice::Candidate {
                name: target_name(index),
                local: true,
                concurrency: 4,
            });
            let candidates: Vec<_> = candidates.collect();
            let mut now = clock::Millis::default() + 1_000;
            let chosen = time(2_000, || {
                now = now + 1;
                let chosen = choice.choose(&candidates, policy, &mut rng, now, &[]);
                if let Some(running) = chosen {
                    let took = std::time::Duration::from_millis(2);
                    running.finish(now, route::choice::Outcome::Answered, took);
                }
            });
            report::value(
                "route_choose",
                &format!("{name}_{count}_targets"),
                chosen,
                "ns",
            );
        }
    }
}

/// Measures heartbeats by the number of leases that they renew.
fn datagrams() {
    let mut sizes = Vec::new();
    for count in [1, 16, 160] {
        let heartbeat = peer::Datagram::Heartbeat(lease::Heartbeat {
            from: id(0),
            to: id(1),
            sequence: 100_000,
            seen: model::Offset(1_000_000),
            leases: (0..count)
                .map(|index| model::Offset(900_000 + index * 37))
                .collect(),
            spans: (0..count).map(|_| lease::INITIAL_SPAN_MS).collect(),
        });
        let case = format!("{count}_leases");
        let bytes = heartbeat.encode().unwrap_or_default();
        report::value("heartbeat_bytes", &case, bytes.len() as f64, "bytes");
        sizes.push(bytes.len() as f64);
        let encode = time(2_000, || drop(black_box(heartbeat.encode())));
        report::value("heartbeat_encode", &case, encode, "ns");
        let decode = time(2_000, || drop(black_box(peer::Datagram::decode(&bytes))));
        report::value("heartbeat_decode", &case, decode, "ns");
    }
    // Heartbeats and acknowledgements, ten of each a second.
    let each = (sizes[1] - sizes[0]) / 15.0 * 20.0;
    report::value("heartbeat_bytes_per_target", "slope", each, "bytes/s");
    report::value(
        "heartbeat_bytes_per_pair",
        "1_lease",
        sizes[0] * 20.0,
        "bytes/s",
    );
}

/// Measures the bodies of grants.
fn grants() {
    let fence = target::wire::Fence {
        offset: 900_000,
        step: 0,
    };
    let renewal = target::wire::Message {
        fence,
        valid_until: 1_000_000_000,
        shards: None,
    };
    let size = |message: &target::wire::Message| {
        serde_json::to_vec(message).map_or(0, |text| text.len()) as f64
    };
    report::value("grant_body", "renewal", size(&renewal), "bytes");
    let scattered = (0..410).map(|index| (index * 160, index * 160));
    for (case, ranges) in [
        ("one_range", vec![(0, 409)]),
        ("410_ranges", scattered.collect()),
    ] {
        let shards = target::wire::Shards {
            group: "s".to_owned(),
            fence,
            ranges,
            pinned: Vec::new(),
        };
        let message = target::wire::Message {
            shards: Some(vec![shards]),
            ..renewal.clone()
        };
        report::value("grant_body", case, size(&message), "bytes");
    }
}
