//! Relay of the log's records between daemons: batches, progress messages, rank of the
//! reader, and the cache of newest records.

#[path = "support/known.rs"]
mod known;

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

use bytes::Bytes;
use pistachiomoor::clock::Millis;
use pistachiomoor::gateway::adapter::{Record, Topic};
use pistachiomoor::gateway::peers::{Directory, HostRecord};
use pistachiomoor::gateway::relay::cache::TopicCache;
use pistachiomoor::gateway::relay::{Continuity, Progress, ReadLimits, Relay, Relayed};
use pistachiomoor::gateway::view::Announcement;
use pistachiomoor::model::{DomainName, HostName, Incarnation, Offset};
use proptest::prelude::*;

const START: Millis = Millis(100_000);

/// Limits of the reader's reads beyond which a daemon makes its own calls.
const LIMITS: ReadLimits = ReadLimits {
    silence: 700,
    age: 1_200,
};

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

/// Applies relayed batches one after the other, from offset 0 on, and reads missed records
/// from the log. Returns the next offset and the set of applied offsets.
fn follow(batches: impl IntoIterator<Item = Range<u64>>) -> (u64, BTreeSet<u64>) {
    let (mut from, mut applied) = (0, BTreeSet::new());
    for range in batches {
        let relayed = relayed(range.clone());
        match relayed.continuity(Offset(from)) {
            Continuity::Known => {}
            Continuity::Gap => {
                applied.extend(from..range.end);
                from = range.end;
            }
            Continuity::Next => {
                let batch = relayed.into_batch();
                applied.extend(batch.records.iter().map(|record| record.offset.0));
                from = batch.next.0;
            }
        }
    }
    (from, applied)
}

/// Guards against records, removals included, that are lost or changed when they are
/// relayed.
#[test]
fn into_batch_records() {
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

/// Guards against consecutive batches that are taken for gaps or for known ones.
#[test]
fn continuity_in_order() {
    for (range, from) in [(0..3, 0), (3..4, 3), (4..9, 4)] {
        assert_eq!(relayed(range).continuity(Offset(from)), Continuity::Next);
    }
}

/// Guards against new records that are skipped because their batch repeats known ones.
#[test]
fn continuity_overlapping() {
    assert_eq!(relayed(2..6).continuity(Offset(4)), Continuity::Next);
    assert_eq!(relayed(2..6).continuity(Offset(5)), Continuity::Next);
    assert_eq!(relayed(2..6).continuity(Offset(6)), Continuity::Known);
    assert_eq!(relayed(2..6).continuity(Offset(9)), Continuity::Known);
}

/// Guards against records that are skipped because an earlier batch was lost.
#[test]
fn continuity_gap() {
    assert_eq!(relayed(5..6).continuity(Offset(4)), Continuity::Gap);
}

/// Guards against the undetected loss of the last batch: the next progress message names
/// the offset.
#[test]
fn progress_after_lost_batch() {
    let mut relay = Relay::default();
    assert_eq!(relay.reader_offset(Topic::Operator), None);
    relay.on_progress(progress(4), START);
    relay.on_progress(progress(5), START + 800);
    assert_eq!(relay.reader_offset(Topic::Operator), Some(Offset(5)));
    assert_eq!(relay.reader_offset(Topic::Targets), None);
    assert_eq!(relay.answering_since(), Some(START + 300));
}

/// Guards against a missed record that stays undetected because an older progress message,
/// or one of a second reader that lags, arrives after a newer one.
#[test]
fn progress_overtaken() {
    let mut relay = Relay::default();
    relay.on_progress(progress(5), START);
    relay.on_progress(progress(4), START + 1);
    let result = match relay.reader_offset(Topic::Operator) {
        Some(Offset(5)) => Ok(()),
        other => Err(format!(
            "progress 5 and then 4 arrived, but {other:?} is known"
        )),
    };
    known::conclude("progress_overtaken", result);
}

/// Returns an announcement of a read of the targets that began `age` ms before.
fn announcement(age: u64) -> Announcement {
    let mut views = [None; Topic::ALL.len()];
    views[Topic::Targets.index()] = Some((Offset(4), age));
    let answered = [None; Topic::ALL.len()];
    Announcement { views, answered }
}

/// Guards against daemons that never make their own calls after the reader has stopped, and
/// against progress messages, which are also sent without a read, that keep it alive.
#[test]
fn reader_silent() {
    let mut relay = Relay::default();
    relay.on_progress(progress(4), START);
    assert_eq!(relay.reader_remaining(START, LIMITS), 0);
    relay.on_announcement(&announcement(20), START);
    assert_eq!(relay.reader_remaining(START, LIMITS), LIMITS.silence);
    relay.on_progress(progress(4), START + 400);
    assert_eq!(
        relay.reader_remaining(START + LIMITS.silence - 1, LIMITS),
        1
    );
    assert_eq!(relay.reader_remaining(START + LIMITS.silence, LIMITS), 0);
    relay.on_announcement(&announcement(20), START + LIMITS.silence);
    assert!(relay.reader_remaining(START + LIMITS.silence + 1, LIMITS) > 0);
}

/// Guards against daemons that rely on a reader whose reads are completed, but begin too
/// long before.
#[test]
fn reader_slow() {
    let mut relay = Relay::default();
    relay.on_announcement(&announcement(900), START);
    assert_eq!(relay.reader_remaining(START, LIMITS), 300);
    relay.on_announcement(&announcement(1_300), START + 200);
    assert_eq!(relay.reader_remaining(START + 200, LIMITS), 0);
}

fn host_record(host: &str, domain: &str) -> HostRecord {
    HostRecord {
        host: host.into(),
        incarnation: Incarnation(1),
        domain: domain.into(),
        address: "127.0.0.1:1".parse().expect("an address"),
    }
}

/// Returns the rank of host `h2` of domain `a` among the daemons of its domain.
fn rank(directory: &Directory, now: Millis) -> u32 {
    let (host, domain) = (HostName::from("h2"), DomainName::from("a"));
    directory.rank(&host, &domain, now, |other| *other == domain)
}

/// Guards against two permanent readers of a failure domain, against precedence of a daemon
/// of another domain, and against no reader after the heartbeats of the first one stop.
#[test]
fn rank_of_reader() {
    let mut directory = Directory::new("h2".into());
    for (host, domain) in [("h1", "a"), ("h3", "a"), ("h0", "b")] {
        directory.list(host_record(host, domain), START);
    }
    assert_eq!(rank(&directory, START), 0, "no heartbeat yet");
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

/// Returns the offset ranges of a reader's batches: it starts at 0, and each batch has one
/// of the lengths in `steps`.
fn reader(steps: &[u64]) -> Vec<Range<u64>> {
    let mut from = 0;
    let ranges = steps.iter().map(|step| {
        from += step;
        from - step..from
    });
    ranges.collect()
}

proptest! {
    /// Guards against records that are skipped when batches are lost, repeated or
    /// reordered.
    #[test]
    fn follow_any_order(ranges in ranges()) {
        let end = ranges.iter().map(|range| range.end).max().unwrap_or(0);
        let (from, applied) = follow(ranges);
        prop_assert_eq!(from, end);
        prop_assert_eq!(applied, (0..end).collect());
    }

    /// Guards against records that are skipped when two daemons relay at the same time,
    /// with different batches.
    #[test]
    fn follow_two_readers(
        first in prop::collection::vec(1..6_u64, 1..12),
        second in prop::collection::vec(1..6_u64, 1..12),
        order in prop::collection::vec(any::<bool>(), 24),
        lost in prop::collection::vec(prop::bool::weighted(0.2), 24),
    ) {
        let (mut first, mut second) = (reader(&first).into_iter(), reader(&second).into_iter());
        let batches = order.iter().filter_map(|is_first| match is_first {
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

/// Applies records to the newest value of each key.
fn fold(state: &mut BTreeMap<String, Bytes>, records: &[Record]) {
    for record in records {
        match &record.value {
            Some(value) => state.insert(record.key.to_string(), value.clone()),
            None => state.remove(&*record.key),
        };
    }
}

proptest! {
    /// Guards against a response with missing records: removals, or records that the
    /// responding daemon has missed itself.
    #[test]
    fn cache_since(
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
        let mut cache = TopicCache::default();
        cache.replace(&newest, Offset(start as u64));
        let mut cuts: Vec<_> = cuts.into_iter().filter(|cut| (start..log.len()).contains(cut)).collect();
        cuts.extend([start, log.len()]);
        cuts.sort_unstable();
        for pair in cuts.windows(2) {
            cache.extend(Offset(pair[0] as u64), Offset(pair[1] as u64), &log[pair[0]..pair[1]]);
        }
        for from in 0..=log.len() {
            let Some((records, next)) = cache.since(Offset(from as u64)) else {
                prop_assert!(from < start, "no records from {} on", from);
                continue;
            };
            prop_assert_eq!(next, Offset(log.len() as u64));
            let (mut received, mut all) = (BTreeMap::new(), BTreeMap::new());
            fold(&mut received, &log[..from]);
            fold(&mut received, &records);
            fold(&mut all, &log);
            prop_assert_eq!(received, all);
        }
        let (records, next) = cache.all().expect("the newest records");
        prop_assert_eq!(next, Offset(log.len() as u64));
        let (mut received, mut all) = (BTreeMap::new(), BTreeMap::new());
        fold(&mut received, &records);
        fold(&mut all, &log);
        prop_assert_eq!(received, all);
    }
}

/// Guards against a response by a daemon with a gap before its records, and against a cache
/// that grows with every key that was ever removed.
#[test]
fn cache_gap_and_removals() {
    let mut cache = TopicCache::default();
    assert!(cache.since(Offset(0)).is_none() && cache.all().is_none());
    cache.replace(&[record(3, 1, Some(1))], Offset(4));
    assert_eq!(cache.all().expect("records").0.len(), 1);
    cache.extend(Offset(5), Offset(6), &[record(5, 1, Some(1))]);
    cache.extend(Offset(8), Offset(9), &[record(8, 2, Some(2))]);
    assert!(cache.since(Offset(6)).is_none() && cache.all().is_none());
    assert_eq!(cache.since(Offset(8)).expect("records").0.len(), 1);
    for offset in 9..20_009 {
        let key = format!("gone-{offset}").as_str().into();
        let removed = Record {
            offset: Offset(offset),
            key,
            value: None,
        };
        cache.extend(Offset(offset), Offset(offset + 1), &[removed]);
    }
    assert!(cache.since(Offset(8)).is_none());
    let (records, _) = cache.since(Offset(18_500)).expect("records");
    assert_eq!(records.len(), 20_009 - 18_500);
}
