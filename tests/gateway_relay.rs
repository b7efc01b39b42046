//! Records of the log that one daemon passes on to others.

#[path = "support/known.rs"]
mod known;

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

use bytes::Bytes;
use pistachiomoor::clock::Millis;
use pistachiomoor::gateway::dialect::{Record, Topic};
use pistachiomoor::gateway::peers::{Directory, Notice};
use pistachiomoor::gateway::relay::memory::Memory;
use pistachiomoor::gateway::relay::{Progress, Relay, Relayed, Step};
use pistachiomoor::model::{DomainName, HostName, Incarnation, Offset};
use proptest::prelude::*;

const START: Millis = Millis(100_000);

/// Time without a sign of the reader that ends its reads for others, in milliseconds.
const SILENCE: u64 = 1_240;

/// Returns a relayed batch of a range of offsets, with one record at each.
fn relayed(range: Range<u64>) -> Relayed {
    let records = range.clone().map(|offset| Record {
        offset: Offset(offset),
        key: format!("key-{offset}").into(),
        value: (offset % 3 > 0).then(|| Bytes::from(vec![offset as u8; 3])),
    });
    let (from, next) = (Offset(range.start), Offset(range.end));
    Relayed::new(Topic::Operator, from, next, next, records.collect())
}

fn progress(next: u64) -> Progress {
    Progress {
        next: [None, Some(Offset(next)), None, None],
        answering: 500,
    }
}

/// Takes relayed batches one after the other, from an offset on, and returns the next one
/// with the offsets that were applied; reads what was missed from the log.
fn follow(batches: impl IntoIterator<Item = Range<u64>>) -> (u64, BTreeSet<u64>) {
    let (mut from, mut applied) = (0, BTreeSet::new());
    for range in batches {
        let relayed = relayed(range.clone());
        match relayed.step(Offset(from)) {
            Step::Known => {}
            Step::Gap => {
                applied.extend(from..range.end);
                from = range.end;
            }
            Step::Next => {
                let batch = relayed.into_batch();
                applied.extend(batch.records.iter().map(|record| record.offset.0));
                from = batch.next.0;
            }
        }
    }
    (from, applied)
}

/// Guards against records that are lost or changed on their way, removals among them.
#[test]
fn loan_records() {
    let batch = relayed(3..6).into_batch();
    assert_eq!((batch.next, batch.end), (Offset(6), Offset(6)));
    let records: Vec<_> = batch
        .records
        .iter()
        .map(|record| (record.offset.0, &*record.key, record.value.as_deref()))
        .collect();
    let expected: [(u64, &str, Option<&[u8]>); 3] = [
        (3, "key-3", None),
        (4, "key-4", Some(&[4; 3])),
        (5, "key-5", Some(&[5; 3])),
    ];
    assert_eq!(records, expected);
}

/// Guards against relayed batches in order that are taken for gaps, or for known ones.
#[test]
fn step_in_order() {
    for (range, from) in [(0..3, 0), (3..4, 3), (4..9, 4)] {
        assert_eq!(relayed(range).step(Offset(from)), Step::Next);
    }
}

/// Guards against records that are skipped because a batch repeats others.
#[test]
fn step_overlapping() {
    assert_eq!(relayed(2..6).step(Offset(4)), Step::Next);
    assert_eq!(relayed(2..6).step(Offset(5)), Step::Next);
    assert_eq!(relayed(2..6).step(Offset(6)), Step::Known);
    assert_eq!(relayed(2..6).step(Offset(9)), Step::Known);
}

/// Guards against records that are skipped because an earlier relayed was lost.
#[test]
fn step_gap() {
    assert_eq!(relayed(5..6).step(Offset(4)), Step::Gap);
}

/// Guards against a last relayed that is lost and not noticed: the next sign of the
/// reader names the offset.
#[test]
fn progress_after_lost_loan() {
    let mut relay = Relay::default();
    assert_eq!(relay.known(Topic::Operator), None);
    relay.on_progress(progress(4), START);
    relay.on_progress(progress(5), START + 800);
    assert_eq!(relay.known(Topic::Operator), Some(Offset(5)));
    assert_eq!(relay.known(Topic::Targets), None);
    assert_eq!(relay.answering(), Some(START + 300));
}

/// Guards against a missed record that stays unnoticed because an older sign of
/// the reader, or one of a second reader that lags, arrives after a newer one.
#[test]
fn progress_overtaken() {
    let mut relay = Relay::default();
    relay.on_progress(progress(5), START);
    relay.on_progress(progress(4), START + 1);
    let result = match relay.known(Topic::Operator) {
        Some(Offset(5)) => Ok(()),
        other => Err(format!("5 and then 4 were told, and {other:?} is known")),
    };
    known::conclude("progress_overtaken", result);
}

/// Guards against a daemon that waits for a reader which is silent, and against
/// one that gives it up early.
#[test]
fn progress_silence() {
    let mut relay = Relay::default();
    assert!(!relay.is_heard(START, SILENCE));
    relay.on_progress(progress(4), START);
    assert!(relay.is_heard(START + SILENCE - 1, SILENCE));
    assert!(!relay.is_heard(START + SILENCE, SILENCE));
    relay.on_progress(progress(4), START + SILENCE);
    assert!(relay.is_heard(START + SILENCE + 1, SILENCE));
}

fn notice(host: &str, domain: &str) -> Notice {
    Notice {
        host: host.into(),
        incarnation: Incarnation(1),
        domain: domain.into(),
        address: "127.0.0.1:1".parse().expect("an address"),
    }
}

/// Returns the place of host `h2` of domain `a` among the readers of its domain.
fn rank(directory: &Directory, now: Millis) -> u32 {
    let (host, domain) = (HostName::from("h2"), DomainName::from("a"));
    directory.rank(&host, &domain, now, |other| *other == domain)
}

/// Guards against two lasting readers of a failure domain, against a reader in
/// another one, and against none after the first one is silent.
#[test]
fn rank_of_reader() {
    let mut directory = Directory::new("h2".into());
    for (host, domain) in [("h1", "a"), ("h3", "a"), ("h0", "b")] {
        directory.list(notice(host, domain), START);
    }
    assert_eq!(rank(&directory, START), 0, "nobody was heard");
    for host in ["h0", "h1", "h3"] {
        directory.on_heartbeat(&host.into(), START);
    }
    assert_eq!(rank(&directory, START), 1);
    assert_eq!(rank(&directory, START + 2_499), 1);
    assert_eq!(rank(&directory, START + 2_500), 0);
    directory.on_heartbeat(&"h1".into(), START + 5_000);
    assert_eq!(rank(&directory, START + 5_000), 1);
}

fn ranges() -> impl Strategy<Value = Vec<Range<u64>>> {
    let range = (0..40_u64, 1..8_u64).prop_map(|(from, length)| from..from + length);
    prop::collection::vec(range, 1..40)
}

/// Returns the relayed batches of a reader that reads on from 0 by steps.
fn reader(steps: &[u64]) -> Vec<Range<u64>> {
    let mut from = 0;
    let ranges = steps.iter().map(|step| {
        from += step;
        from - step..from
    });
    ranges.collect()
}

proptest! {
    /// Guards against records that are skipped when relayed batches are lost, repeated or
    /// come in any order.
    #[test]
    fn follow_any_order(ranges in ranges()) {
        let end = ranges.iter().map(|range| range.end).max().unwrap_or(0);
        let (from, applied) = follow(ranges);
        prop_assert_eq!(from, end);
        prop_assert_eq!(applied, (0..end).collect());
    }

    /// Guards against the same when two daemons read at once, each at its own pace.
    #[test]
    fn follow_two_readers(
        first in prop::collection::vec(1..6_u64, 1..12),
        second in prop::collection::vec(1..6_u64, 1..12),
        turns in prop::collection::vec(any::<bool>(), 24),
        lost in prop::collection::vec(prop::bool::weighted(0.2), 24),
    ) {
        let (mut first, mut second) = (reader(&first).into_iter(), reader(&second).into_iter());
        let batches = turns.iter().filter_map(|turn| match turn {
            true => first.next(),
            false => second.next(),
        });
        let kept = batches.zip(&lost).filter(|(_, lost)| !**lost);
        let kept: Vec<_> = kept.map(|(range, _)| range).collect();
        let end = kept.iter().map(|range| range.end).max().unwrap_or(0);
        let (from, applied) = follow(kept);
        prop_assert_eq!(from, end);
        prop_assert_eq!(applied, (0..end).collect());
    }
}

fn record(offset: u64, key: u8, value: Option<u8>) -> Record {
    Record {
        offset: Offset(offset),
        key: format!("key-{key}").into(),
        value: value.map(|value| Bytes::from(vec![value])),
    }
}

/// Applies records to what is known of each key.
fn fold(state: &mut BTreeMap<String, Bytes>, records: &[Record]) {
    for record in records {
        match &record.value {
            Some(value) => state.insert(record.key.to_string(), value.clone()),
            None => state.remove(&*record.key),
        };
    }
}

proptest! {
    /// Guards against a daemon that gets too few records of another one: a key that
    /// was removed meanwhile, or records that the other one has missed itself.
    #[test]
    fn memory_since(
        written in prop::collection::vec((0..6_u8, prop::option::of(any::<u8>())), 1..60),
        cuts in prop::collection::vec(0..60_usize, 0..6),
        start in 0..60_usize,
    ) {
        let log: Vec<_> = (0..).zip(&written).map(|(i, (key, value))| record(i, *key, *value)).collect();
        let start = start.min(log.len());
        let mut newest = BTreeMap::new();
        fold(&mut newest, &log[..start]);
        let newest: Vec<_> = newest.into_iter().map(|(key, value)| Record {
            offset: Offset(0), key: key.as_str().into(), value: Some(value),
        }).collect();
        let mut memory = Memory::default();
        memory.replace(&newest, Offset(start as u64));
        let mut cuts: Vec<_> = cuts.into_iter().filter(|cut| (start..log.len()).contains(cut)).collect();
        cuts.extend([start, log.len()]);
        cuts.sort_unstable();
        for pair in cuts.windows(2) {
            memory.extend(Offset(pair[0] as u64), Offset(pair[1] as u64), &log[pair[0]..pair[1]]);
        }
        for from in 0..=log.len() {
            let Some((records, next)) = memory.since(Offset(from as u64)) else {
                prop_assert!(from < start, "nothing from {} on", from);
                continue;
            };
            prop_assert_eq!(next, Offset(log.len() as u64));
            let (mut told, mut all) = (BTreeMap::new(), BTreeMap::new());
            fold(&mut told, &log[..from]);
            fold(&mut told, &records);
            fold(&mut all, &log);
            prop_assert_eq!(told, all);
        }
    }
}

/// Guards against records that are told by a daemon that has a gap before them, and
/// against a memory that grows with every key that was ever removed.
#[test]
fn memory_gap_and_removals() {
    let mut memory = Memory::default();
    assert!(memory.since(Offset(0)).is_none());
    memory.extend(Offset(5), Offset(6), &[record(5, 1, Some(1))]);
    memory.extend(Offset(8), Offset(9), &[record(8, 2, Some(2))]);
    assert!(memory.since(Offset(6)).is_none());
    assert_eq!(memory.since(Offset(8)).expect("records").0.len(), 1);
    for offset in 9..20_009 {
        let key = format!("gone-{offset}").as_str().into();
        let removed = Record {
            offset: Offset(offset),
            key,
            value: None,
        };
        memory.extend(Offset(offset), Offset(offset + 1), &[removed]);
    }
    assert!(memory.since(Offset(8)).is_none());
    let (records, _) = memory.since(Offset(18_500)).expect("records");
    assert_eq!(records.len(), 20_009 - 18_500);
}
