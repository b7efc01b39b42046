//! Values of odd records that fit their types, in the arithmetic after them.

use std::collections::HashSet;

use pistachiomoor::clock::Millis;
use pistachiomoor::finding::Finding;
use pistachiomoor::gateway::adapter::{Entry, EntryState, LoadReport, Record, Topic};
use pistachiomoor::gateway::choice::{AttemptOutcome, Candidate, Pick, Table};
use pistachiomoor::gateway::peers::HostRecord;
use pistachiomoor::gateway::quota::cold_share;
use pistachiomoor::gateway::registry::Registry;
use pistachiomoor::gateway::relay::{Progress, Relay, Relayed};
use pistachiomoor::model::{Incarnation, Offset, TargetName};

/// Time at the start of each test.
const START: Millis = Millis(100_000);

fn entry(name: &str, port: u16) -> Entry {
    Entry {
        name: name.into(),
        birth: 5,
        sequence: 5,
        service: "orders".into(),
        address: ([127, 0, 0, 1], port).into(),
        domain: "bkk-1".into(),
        slots: 2,
        state: EntryState::Ready,
        warmup_ms: 0,
    }
}

/// Returns the names of the usable targets.
fn listed(registry: &Registry) -> Vec<&str> {
    registry.iter().map(|target| target.name.as_str()).collect()
}

/// Guards against a time far in the future that wraps to one that has passed, or ends the
/// daemon.
#[test]
fn time_add_beyond_range() {
    assert_eq!(START + u64::MAX, Millis(u64::MAX));
    assert_eq!((START + u64::MAX).since(START), u64::MAX - START.0);
    assert_eq!(START - u64::MAX, Millis(0));
    assert_eq!(START + 5, Millis(100_005));
}

/// Guards against a panic, or the loss of other targets, because of an entry whose numbers
/// are the highest or lowest of their types.
#[test]
fn apply_extreme_numbers() {
    let extremes = [
        ("t1", u64::MAX, u64::MAX, u32::MAX, u64::MAX),
        ("t2", u64::MAX, 0, 0, u64::MAX - 1),
        ("t3", 0, u64::MAX, u32::MAX, 1_000_000_000_000_000_000),
        ("t4", 0, 0, 0, 0),
    ];
    let mut registry = Registry::new();
    registry.apply(START, entry("t0", 1));
    let entries = extremes.into_iter().zip(2..);
    let entries = entries.map(|((name, birth, sequence, slots, warmup_ms), port)| Entry {
        birth,
        sequence,
        slots,
        warmup_ms,
        ..entry(name, port)
    });
    let entries: Vec<_> = entries.collect();
    for entry in entries.clone() {
        registry.apply(START, entry);
    }
    assert_eq!(listed(&registry), ["t0", "t1", "t2", "t3", "t4"]);
    for (name, cold) in [("t1", true), ("t2", true), ("t3", true), ("t4", false)] {
        let target = registry.get(&name.into()).expect("a target");
        assert_eq!(target.is_cold(START + 1_000_000), cold, "{name}");
    }
    registry.set_outage(START, true);
    registry.replace(START + 10, entries);
    registry.set_outage(START + 20, false);
    registry.on_log_restored(START + 30);
    for name in ["t1", "t2", "t3", "t4"] {
        registry.remove(START + 5_000, name);
    }
    registry.sweep(START + 5_001);
    registry.sweep(Millis(u64::MAX));
    assert_eq!(registry.removed().count(), 0);
    registry.apply(Millis(u64::MAX), entry("t9", 9));
    assert!(listed(&registry).contains(&"t9"));
}

/// Guards against a load report whose sum has no place in its type: a wrapped one makes a
/// full target look free.
#[test]
fn load_report_extreme() {
    let candidate = |name: &str, slots| Candidate {
        instance: pistachiomoor::gateway::choice::Instance {
            target: name.into(),
            birth: 7,
        },
        slots,
        cost_ms: 0.0,
    };
    let candidates = [
        candidate("t0", 4),
        candidate("t1", u32::MAX),
        candidate("t2", 0),
    ];
    let load = LoadReport {
        running: u32::MAX,
        waiting: u32::MAX,
        slots: u32::MAX,
        slowness_percent: u32::MAX,
    };
    let mut table = Table::new();
    for candidate in &candidates {
        let instance = &candidate.instance;
        table.on_start(instance);
        let end = AttemptOutcome::Answered(10.0);
        table.on_end(instance, end, 10.0, Some(load), START);
        assert!(table.requests(instance, START) > 8e9);
        assert!(table.is_full(instance, 4, START));
        assert!(
            table
                .estimate(candidate, u64::MAX as f64, START)
                .is_finite()
        );
    }
    let pick = |at| table.pick(&candidates, 10.0, at, || 0.5);
    // The load of the target with the most slots is below its limit.
    assert_eq!(pick(START), Pick::Chosen(1));
    assert!(matches!(pick(START + 60_000), Pick::Chosen(_)));
}

/// Guards against a share of the cold limit that wraps or panics because of the numbers of
/// an odd configuration.
#[test]
fn cold_share_extreme() {
    assert_eq!(cold_share(1e308, 1e308, 5.0, 1), u32::MAX);
    assert_eq!(cold_share(-1e308, 1.5, 5.0, 0), 0);
    assert_eq!(cold_share(f64::NAN, 1.5, 5.0, u32::MAX), 0);
    assert_eq!(cold_share(f64::INFINITY, 1.5, 5.0, u32::MAX), u32::MAX);
}

/// Guards against daemons that wait for ever for records up to an offset that the log can't
/// give out: offsets of progress messages never decrease.
#[test]
fn progress_invalid_offset() {
    let mut relay = Relay::default();
    let progress = |offset| Progress {
        next: [Some(Offset(offset)), Some(Offset(4)), None, None],
        answering: u64::MAX,
    };
    relay.on_progress(progress(u64::MAX), START);
    relay.on_progress(progress(7), START);
    assert_eq!(relay.reader_offset(Topic::Targets), Some(Offset(7)));
    assert_eq!(relay.reader_offset(Topic::Operator), Some(Offset(4)));
    assert_eq!(relay.answering_since(), Some(Millis(0)));
}

/// Guards against relayed records by which a daemon counts others as known that it has not
/// read.
#[test]
fn relayed_invalid_positions() {
    let batch = |from, next, end, offset| {
        let record = Record {
            offset: Offset(offset),
            key: "t0".into(),
            value: None,
        };
        let (from, next, end) = (Offset(from), Offset(next), Offset(end));
        Relayed::new(Topic::Targets, from, next, end, vec![record]).is_consistent()
    };
    assert!(batch(3, 5, 5, 4));
    // The records of a full read may be newer than the offset from which to read on.
    assert!(batch(0, 5, 5, 7));
    let last = Offset::new(Offset::MAX_ERA, Offset::MAX_NUMBER).expect("an offset");
    assert!(batch(0, last.0, last.0, last.0));
    assert!(!batch(5, 3, 5, 4));
    for invalid in [last.0 + 1, u64::MAX] {
        assert!(!batch(invalid, invalid, invalid, 4));
        assert!(!batch(0, invalid, 5, 4));
        assert!(!batch(0, 5, invalid, 4));
        assert!(!batch(0, 5, 5, invalid));
    }
}

/// Guards against the loss of a target in a full read that shows an entry of it that can't
/// be read, and against one that is kept although it is not listed.
#[test]
fn replace_readable_held() {
    let mut registry = Registry::new();
    for (name, port) in [("t0", 1), ("t1", 2), ("t2", 3)] {
        registry.apply(START, entry(name, port));
    }
    let generation = registry.generation();
    let unreadable = HashSet::from(["t0", "t7"].map(TargetName::from));
    registry.replace_readable(START + 10, vec![entry("t1", 2)], &unreadable);
    assert_eq!(listed(&registry), ["t0", "t1"]);
    assert_eq!(registry.generation(), generation + 1);
    registry.remove(START + 20, "t0");
    assert_eq!(listed(&registry), ["t1"]);
}

/// Guards against a host record that replaces another host's one, or by which heartbeats go
/// nowhere, and against a decoder that ends the process.
#[test]
fn host_record_odd() {
    let record = |address: &str| HostRecord {
        host: "h0".into(),
        incarnation: Incarnation(u64::MAX),
        domain: "bkk-1".into(),
        address: address.parse().expect("an address"),
    };
    let valid = record("10.0.0.1:7000");
    assert_eq!(HostRecord::decode("h0", &valid.encode()), Ok(valid.clone()));
    assert!(HostRecord::decode("h1", &valid.encode()).is_err());
    for address in [
        "0.0.0.0:7000",
        "10.0.0.1:0",
        "[::]:7000",
        "224.0.0.1:7000",
        "[ff02::1]:7",
    ] {
        let findings = HostRecord::decode("h0", &record(address).encode());
        let text = findings.expect_err(address).to_string();
        assert!(text.contains("h0") && text.contains(address), "{text}");
    }
    let nested = [0x91, 0x81, 0xc7].map(|byte| vec![byte; 100_000]);
    let lengths: [&[u8]; 4] = [
        &[0xdd, 0xff, 0xff, 0xff, 0xff],
        &[0xdf, 0xff, 0xff, 0xff, 0xff],
        &[0x94, 0xdb, 0xff, 0xff, 0xff, 0xff],
        &[0x94, 0xc6, 0xff, 0xff, 0xff, 0xff],
    ];
    for bytes in nested.iter().map(Vec::as_slice).chain(lengths) {
        assert!(HostRecord::decode("h0", bytes).is_err());
    }
}

/// Guards against log lines of a megabyte.
#[test]
fn finding_summary_long() {
    let finding = |found: &str| Finding {
        place: "here".to_owned(),
        expected: "less".to_owned(),
        found: found.to_owned(),
    };
    let long = finding(&"\u{e9}".repeat(100_000)).summary();
    assert!(
        long.chars().count() < 500,
        "{} characters",
        long.chars().count()
    );
    assert!(
        long.starts_with("here: expected less, found \u{e9}"),
        "{long}"
    );
    let short = finding("more");
    assert_eq!(short.summary(), short.to_string());
}
