//! Stateful fuzz test of the fold. Concurrent writers decide on stale states,
//! repeat records and damage them. A history checker that shares no code with
//! the fold checks every verdict and every state.

#[path = "state_fuzz/history.rs"]
mod history;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::Ordering;

use pistachiomoor::{model, state};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use serde_json::json;
use state::{Body, Change, Envelope, Standing, Verdict};

use history::{ACCEPTED, CONFLICTS, History, describe_objects, object_label};

const SHARDS: u32 = 16;

/// A step of a run. Indexes of targets and records are taken modulo their
/// number, and a lag is at most the number of earlier states.
#[derive(Clone, Debug)]
enum Step {
    Write {
        writer: u64,
        lag: usize,
        act: Act,
    },
    /// Appends an earlier record again, as after a lost reply.
    Repeat(usize),
    /// Applies an earlier offset again.
    Reread(usize),
    /// Appends bytes that are not a record.
    Damage(Vec<u8>),
    /// Appends a record of a newer format.
    TooNew,
    /// Restores one of the two states from its snapshot.
    Restore(u64),
}

/// A record that a writer decides on.
#[derive(Clone, Debug)]
enum Act {
    Up(u64),
    Down,
    Lease(u64, u64, Option<u64>),
    Assign(u64, u32, u32),
    /// First shard, number of shards (see `Run::write`), receiver, and whether
    /// the holder writes the record.
    Move(u32, u32, u64, bool),
    Pin(u64, bool),
    Unpin(bool),
    Change(Vec<Change>),
}

fn target_name(n: u64) -> model::TargetName {
    format!("t{}", n % 5).as_str().into()
}

fn domain_name(n: u64) -> model::DomainName {
    ["a", "b", "c"][n as usize % 3].into()
}

fn target(n: u64, standing: Standing) -> state::Target {
    let target = json!({"name": target_name(n), "service": "s", "domain": domain_name(n % 5),
        "address": "127.0.0.1:1", "concurrency": 4, "standing": standing});
    serde_json::from_value(target).unwrap()
}

fn service(shards: u32) -> state::Service {
    serde_json::from_value(json!({"name": "s", "kind": "keyed", "shards": shards})).unwrap()
}

fn group() -> model::GroupId {
    serde_json::from_value(json!({"service": "s", "regions": []})).unwrap()
}

fn change() -> impl Strategy<Value = Change> {
    let standing = prop_oneof![Just(Standing::In), Just(Standing::Out)];
    (0..8u8, 0..6u64, standing).prop_map(|(kind, n, standing)| match kind {
        0 => Change::SetTarget(target_name(n), standing),
        1 => Change::SetDomain(domain_name(n), standing),
        2 => Change::PutTarget(target(n, standing)),
        3 => Change::RemoveTarget(target_name(n)),
        4 => Change::HostLost(model::Incarnation(n)),
        5 => Change::PutService(service(SHARDS + n as u32 / 3)),
        _ => Change::SetHost(format!("h{n}").as_str().into(), standing),
    })
}

fn step() -> impl Strategy<Value = Step> {
    let act = prop_oneof![
        2 => (0..6u64).prop_map(Act::Up),
        1 => Just(Act::Down),
        4 => (0..5u64, 0..6u64, proptest::option::of(0..6u64))
            .prop_map(|(t, h, b)| Act::Lease(t, h, b)),
        3 => (0..5u64, 0..SHARDS, 0..6u32).prop_map(|(t, f, n)| Act::Assign(t, f, n)),
        6 => (0..SHARDS, 0..3u32, 0..5u64, prop::bool::weighted(0.7))
            .prop_map(|(f, n, t, by_holder)| Act::Move(f, n, t, by_holder)),
        2 => (any::<u64>(), prop::bool::weighted(0.7)).prop_map(|(k, h)| Act::Pin(k, h)),
        2 => prop::bool::weighted(0.7).prop_map(Act::Unpin),
        4 => prop::collection::vec(change(), 1..3).prop_map(Act::Change),
    ];
    prop_oneof![
        20 => (0..6u64, 0..6usize, act)
            .prop_map(|(writer, lag, act)| Step::Write { writer, lag, act }),
        3 => any::<usize>().prop_map(Step::Repeat),
        1 => any::<usize>().prop_map(Step::Reread),
        1 => prop::collection::vec(any::<u8>(), 0..40).prop_map(Step::Damage),
        1 => Just(Step::TooNew),
        1 => any::<u64>().prop_map(Step::Restore),
    ]
}

/// Generates steps; [`Run`] resolves them against its own history.
struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        step().boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// Two states to which the same records are applied, and the history.
#[derive(Default)]
struct Run {
    plain: state::State,
    /// Replaced by a decoded snapshot of itself at each [`Step::Restore`].
    restored: state::State,
    /// State after each record, on which writers decide.
    views: Vec<state::State>,
    log: Vec<(u64, Vec<u8>)>,
    seqs: BTreeMap<u64, u64>,
    history: History,
}

impl Run {
    fn start() -> Self {
        let mut run = Self::default();
        run.views.push(state::State::default());
        let mut changes = vec![Change::PutService(service(SHARDS))];
        for (name, region) in [("a", "north"), ("b", "north"), ("c", "south")] {
            let domain = json!({"name": name, "region": region});
            changes.push(Change::PutDomain(serde_json::from_value(domain).unwrap()));
        }
        changes.extend((0..4).map(|n| Change::PutTarget(target(n, Standing::In))));
        run.write(9, 0, Act::Change(changes));
        (0..3).for_each(|n| run.write(n, 0, Act::Up(n)));
        for n in 0..4 {
            run.write(n % 3, 0, Act::Lease(n, n % 3, Some((n + 1) % 3)));
            run.write(0, 0, Act::Assign(n, n as u32 * 4, 4));
        }
        run
    }

    fn write(&mut self, writer: u64, lag: usize, act: Act) {
        let view = &self.views[self.views.len() - 1 - lag.min(self.views.len() - 1)];
        let mut writer = model::Incarnation(writer);
        let shards = |first: u32, n: u32| (first..first + n + 1).map(model::Shard::Range);
        let lease = |target: &model::TargetName| view.leases.get(target).copied();
        let mut use_lease = |target: &model::TargetName, by_holder: bool| {
            let lease = lease(target);
            if let (Some(lease), true) = (lease, by_holder) {
                writer = lease.holder;
            }
            lease.map_or(model::Offset(0), |lease| lease.offset)
        };
        let owner = |shard| view.shard_owner(&group(), shard).map(|o| o.target.clone());
        let body = match act {
            Act::Up(n) => json!({"host_up": {"host": format!("h{n}"), "domain": domain_name(n),
                "peer": "127.0.0.1:1", "caller": "127.0.0.1:2"}}),
            Act::Down => json!("host_down"),
            Act::Lease(target, holder, backup) => json!({"lease": {"target": target_name(target),
                "prior": lease(&target_name(target)).map(|lease| lease.offset),
                "holder": holder, "backup": backup}}),
            Act::Assign(target, first, n) => {
                let shards: model::ShardSet = shards(first, n.saturating_sub(1)).collect();
                json!({"assign": {"group": group(), "shards": shards,
                    "target": target_name(target)}})
            }
            Act::Move(first, n, to, by_holder) => {
                let from = owner(model::Shard::Range(first)).unwrap_or_else(|| target_name(0));
                let table = view.groups.get(&group());
                let pinned = table.into_iter().flat_map(|table| &table.pinned);
                let pinned = pinned.filter(|(_, o)| o.target == from && n == 2);
                let pinned = pinned.map(|(&key, _)| model::Shard::Pinned(key));
                let shards: model::ShardSet = shards(first, n / 2).chain(pinned).collect();
                json!({"move": {"group": group(), "shards": shards,
                    "lease": use_lease(&from, by_holder), "from": from, "to": target_name(to)}})
            }
            Act::Pin(key, by_holder) => {
                let key_owner = owner(model::Shard::Range(model::KeyHash(key).shard(SHARDS)));
                let key_owner = key_owner.unwrap_or_else(|| target_name(0));
                json!({"pin": {"group": group(), "key": key,
                    "lease": use_lease(&key_owner, by_holder)}})
            }
            Act::Unpin(by_holder) => {
                let table = view.groups.get(&group());
                let pinned = table.and_then(|table| table.pinned.first_key_value());
                let key = pinned.map_or(model::KeyHash(1), |(&key, _)| key);
                let key_owner = owner(model::Shard::Pinned(key)).unwrap_or_else(|| target_name(0));
                json!({"unpin": {"group": group(), "key": key,
                    "lease": use_lease(&key_owner, by_holder)}})
            }
            Act::Change(changes) => json!({"change": {"plan": 1, "operator": "o", "reason": "",
                "changes": changes}}),
        };
        let body = serde_json::from_value(body).unwrap();
        let base = view.next;
        self.append(writer, base, body, state::FORMAT);
    }

    fn append(&mut self, writer: model::Incarnation, base: model::Offset, body: Body, least: u16) {
        let seq = self.seqs.entry(writer.0).or_insert(0);
        *seq += 1;
        let record = json!({"format": state::FORMAT, "least": least, "writer": writer,
            "seq": *seq, "base": base, "time": 0, "body": body});
        let record: Envelope = serde_json::from_value(record).unwrap();
        self.apply_bytes(record.encode());
    }

    fn apply_bytes(&mut self, bytes: Vec<u8>) {
        let before = self.plain.clone();
        let at = before.next;
        let verdict = self.plain.apply(at, &bytes);
        let other = self.restored.apply(at, &bytes);
        assert_eq!(verdict, other, "the verdicts of the two states differ");
        if matches!(verdict, Verdict::TooNew(_)) {
            assert_eq!(self.plain, before, "a newer record had an effect");
            return;
        }
        assert_eq!(self.plain.next, at.next());
        let mut changed = BTreeSet::new();
        if let Ok(record) = Envelope::decode(&bytes) {
            self.history.observe(&before, &record, &verdict);
            if let (Verdict::Accepted, Body::Change { changes, .. }) = (verdict, record.body) {
                changed.extend(changes.iter().map(object_label));
            }
        }
        let (old, new) = (
            describe_objects(&before.config),
            describe_objects(&self.plain.config),
        );
        for label in old.keys().chain(new.keys()) {
            let same = old.get(label) == new.get(label);
            let allowed = same || changed.contains(label);
            assert!(allowed, "{label} changed without a change record");
        }
        self.log.push((at.0, bytes));
        self.views.push(self.plain.clone());
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Write { writer, lag, act } => self.write(writer, lag, act),
            Step::Repeat(n) => self.apply_bytes(self.log[n % self.log.len()].1.clone()),
            Step::Reread(n) => {
                let (at, bytes) = self.log[n % self.log.len()].clone();
                let before = self.plain.clone();
                let verdict = self.plain.apply(model::Offset(at), &bytes);
                assert_eq!(verdict, Verdict::Duplicate);
                assert_eq!(self.plain, before, "an old offset had an effect");
            }
            Step::Damage(bytes) => self.apply_bytes(bytes),
            Step::TooNew => {
                let (writer, base) = (model::Incarnation(0), self.plain.next);
                self.append(writer, base, Body::HostDown, state::FORMAT + 1);
            }
            Step::Restore(seed) => self.restore(seed),
        }
    }

    fn restore(&mut self, seed: u64) {
        let mut parts = state::snapshot::encode(&self.restored, 64 + seed as usize % 512);
        parts.sort_by_key(|body| match body {
            Body::SnapshotPart { part, .. } => seed.rotate_left(*part * 7) ^ u64::from(*part),
            _ => 0,
        });
        let mut collector = state::snapshot::Collector::default();
        let mut found = parts.iter().filter_map(|body| collector.take(body));
        self.restored = found.next().unwrap();
        assert!(found.next().is_none(), "a snapshot was returned twice");
    }
}

impl StateMachineTest for Run {
    type SystemUnderTest = Run;
    type Reference = Steps;

    fn init_test((): &()) -> Run {
        Run::start()
    }

    fn apply(mut run: Run, (): &(), step: Step) -> Run {
        run.step(step);
        run
    }

    fn check_invariants(run: &Run, (): &()) {
        assert_eq!(run.plain, run.restored, "a restored state differs");
        run.history.check_state(&run.plain);
    }
}

/// Guards against violations of the rules that the history checker asserts, and
/// against a run in which some kind of record is never accepted.
#[test]
fn apply_concurrent_writers() {
    let cases = std::env::var("PISTACHIOMOOR_FUZZ_CASES");
    let config = Config {
        cases: cases.ok().and_then(|n| n.parse().ok()).unwrap_or(256),
        rng_seed: RngSeed::Fixed(0x5157_a7e0),
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = TestRunner::new(config.clone());
    let steps = Steps::sequential_strategy(1..60);
    let result = runner.run(&steps, |(start, steps, seen)| {
        Run::test_sequential(config.clone(), start, steps, seen);
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
    for (kind, count) in ACCEPTED.iter().enumerate().take(8) {
        let count = count.load(Ordering::Relaxed);
        assert!(count > 0, "no record of kind {kind} was accepted");
    }
    let conflicts = CONFLICTS.load(Ordering::Relaxed);
    assert!(conflicts > 0, "no change was rejected as a conflict");
}
