//! Tests of single rules of the fold, snapshots and plans.

use pistachiomoor::{model, state};
use serde_json::json;
use state::{Body, Change, Envelope, Rejection, Verdict};

fn changes(list: serde_json::Value) -> Vec<Change> {
    serde_json::from_value(list).unwrap()
}

fn body(changes: Vec<Change>) -> Body {
    let change = json!({"plan": 1, "operator": "o", "reason": "r", "changes": changes});
    parse(json!({"change": change}))
}

fn parse(body: serde_json::Value) -> Body {
    serde_json::from_value(body).unwrap()
}

fn envelope(writer: u64, seq: u64, base: u64, body: Body) -> Envelope {
    let format = state::FORMAT;
    let record = json!({"format": format, "least": format, "writer": writer, "seq": seq,
        "base": base, "time": 0, "body": body});
    serde_json::from_value(record).unwrap()
}

/// Returns a state with service `s`, domains `a` and `b` in two regions, a
/// target in each, one daemon, and all shards owned by target `ta`.
fn sample_state() -> state::State {
    let mut state = state::State::default();
    let target = |name: &str, domain: &str| {
        json!({"put_target": {"name": name, "service": "s", "domain": domain,
            "address": "127.0.0.1:1", "concurrency": 2}})
    };
    let setup = json!([
        {"put_service": {"name": "s", "kind": "keyed", "shards": 64}},
        {"put_domain": {"name": "a", "region": "north"}},
        {"put_domain": {"name": "b", "region": "south"}},
        {"put_domain": {"name": "c", "region": "north"}},
        {"put_route": {"prefix": "/s", "service": "s", "regions": ["north"]}},
        target("ta", "a"), target("tb", "b"),
    ]);
    let host = json!({"host_up": {"host": "h", "domain": "a", "peer": "127.0.0.1:2",
        "caller": "127.0.0.1:3"}});
    let assign = json!({"assign": {"group": group(), "shards": {"ranges": [[0, 63]]},
        "target": "ta"}});
    let bodies = [body(changes(setup)), parse(host), parse(assign)];
    for (seq, body) in bodies.into_iter().enumerate() {
        let record = envelope(1, seq as u64 + 1, seq as u64, body);
        let verdict = state.apply(model::Offset(seq as u64), &record.encode());
        assert_eq!(verdict, Verdict::Accepted);
    }
    state
}

fn group() -> model::GroupId {
    serde_json::from_value(json!({"service": "s", "regions": []})).unwrap()
}

fn is_invalid(verdict: &Verdict) -> bool {
    matches!(verdict, Verdict::Rejected(Rejection::Invalid { .. }))
}

fn verdict(change: serde_json::Value) -> Verdict {
    let mut state = sample_state();
    let at = state.next;
    state.apply_envelope(at, &envelope(7, 1, at.0, body(changes(json!([change])))))
}

/// Guards against a reader that treats a record of a newer format as damaged.
/// Only the content of such a record is unknown; its header can be decoded.
#[test]
fn apply_newer() {
    let newer = json!({"format": 9, "least": 9, "writer": 1, "seq": 9, "base": 0,
        "body": {"unheard_of": 1}, "extra": true});
    let mut state = sample_state();
    let before = state.clone();
    let bytes = rmp_serde::to_vec_named(&newer).unwrap();
    assert_eq!(state.apply(state.next, &bytes), Verdict::TooNew(9));
    assert_eq!(state, before);
}

/// Guards against malformed shard ranges that make the fold loop for long or overflow.
#[test]
fn apply_malformed_shards() {
    for ranges in [
        json!([[0, u32::MAX]]),
        json!([[5, 1]]),
        json!([[3, 4], [4, 6]]),
        json!([]),
    ] {
        let mut state = sample_state();
        let assign = json!({"assign": {"group": group(), "shards": {"ranges": ranges},
            "target": "ta"}});
        let record = envelope(1, 9, 0, parse(assign));
        let verdict = state.apply_envelope(state.next, &record);
        assert!(is_invalid(&verdict), "{ranges}: {verdict:?}");
    }
}

/// Guards against a repeated record that is accepted after its writer was
/// pruned from the writers table.
#[test]
fn apply_late_repetition() {
    let mut state = sample_state();
    let host_out = body(changes(json!([{"set_host": ["h", "out"]}])));
    let record = envelope(7, 1, 3, host_out);
    let verdict = state.apply_envelope(model::Offset(3), &record);
    assert_eq!(verdict, Verdict::Accepted);
    let late = model::Offset(2 * state::MAX_BASE_LAG + 10);
    state.apply(late, b"damaged");
    assert!(state.writers.is_empty(), "the writers table was not pruned");
    let verdict = state.apply_envelope(late.next(), &record);
    assert!(is_invalid(&verdict), "{verdict:?}");
}

/// Guards against changes to a service, domain or target that owners of
/// shards depend on.
#[test]
fn change_owned() {
    let target = |domain: &str, address: &str, concurrency: u32| {
        json!({"put_target": {"name": "ta", "service": "s", "domain": domain,
            "address": address, "concurrency": concurrency}})
    };
    let refused = [
        json!({"put_service": {"name": "s", "kind": "keyed", "shards": 65}}),
        json!({"remove_service": "s"}),
        json!({"remove_target": "ta"}),
        json!({"put_domain": {"name": "a", "region": "south"}}),
        target("b", "127.0.0.1:1", 2),
        target("a", "127.0.0.1:9", 2),
        target("a", "127.0.0.1:1", 0),
    ];
    for change in refused {
        let verdict = verdict(change.clone());
        assert!(is_invalid(&verdict), "{change}: {verdict:?}");
    }
    assert_eq!(verdict(target("a", "127.0.0.1:1", 3)), Verdict::Accepted);
    assert_eq!(verdict(json!({"remove_target": "tb"})), Verdict::Accepted);
}

/// Guards against a published state that changes when later records are applied.
#[test]
fn apply_published() {
    let mut state = sample_state();
    let published = state.clone();
    let lease = json!({"lease": {"target": "ta", "prior": null, "holder": 1, "backup": null}});
    let shift = json!({"move": {"group": group(), "shards": {"ranges": [[5, 5]]}, "from": "ta",
        "lease": 3, "to": "tb"}});
    for (seq, body) in [(4, lease), (5, shift)] {
        let record = envelope(1, seq, 3, parse(body));
        let verdict = state.apply_envelope(state.next, &record);
        assert_eq!(verdict, Verdict::Accepted);
    }
    let owner = |state: &state::State| {
        let owner = state.shard_owner(&group(), model::Shard::Range(5));
        owner.unwrap().target.clone()
    };
    assert_eq!(owner(&published), "ta".into());
    assert_eq!(owner(&state), "tb".into());
    let parts = state.shards_of(&"ta".into());
    assert_eq!(parts.len(), 1);
    assert_eq!(parts[0].1.ranges, [(0, 4), (6, 63)]);
}

/// Guards against snapshots accepted despite a wrong digest, and against a
/// collector that fails on duplicate parts or returns an older snapshot.
#[test]
fn collector_damaged() {
    let (state, older) = (sample_state(), state::State::default());
    let parts = state::snapshot::encode(&state, 100);
    assert!(parts.len() > 2);
    let mut collector = state::snapshot::Collector::default();
    let mut damaged = 0;
    for part in &parts {
        let mut part = part.clone();
        if let Body::SnapshotPart { data, .. } = &mut part {
            // Changes a letter of a region's name, so the bytes still decode.
            let index = data.windows(4).position(|w| w == b"nort" || w == b"sout");
            if let Some(index) = index.filter(|_| damaged == 0) {
                data[index] = b'x';
                damaged += 1;
            }
        }
        assert_eq!(collector.take(&part), None);
        assert_eq!(collector.take(&part), None);
    }
    assert_eq!(damaged, 1);
    let mut parts = parts.iter().rev();
    let found = parts.find_map(|part| collector.take(part));
    assert_eq!(found, Some(state));
    let old = state::snapshot::encode(&older, 1 << 20);
    assert_eq!(collector.take(&old[0]), None, "returned an older state");
}

/// Guards against a plan that reports only the first fault, or reports it at a
/// wrong place.
#[test]
fn make_findings() {
    let list = changes(json!([
        {"set_domain": ["a", "out"]},
        {"put_target": {"name": "tc", "service": "x", "domain": "y",
            "address": "127.0.0.1:1", "concurrency": 0}},
        {"put_route": {"prefix": "/s", "service": "s", "regions": ["north", "west"]}},
        {"remove_target": "ta"},
        {"set_target": ["tz", "out"]},
        {"set_domain": ["a", "in"]},
    ]));
    let error = state::plan::make(&sample_state(), 1, list, "o".into(), "r").unwrap_err();
    let places = error.0.iter().map(|finding| finding.place.as_str());
    let expected = [
        "/changes/1/put_target/concurrency",
        "/changes/1/put_target/service",
        "/changes/1/put_target/domain",
        "/changes/2/put_route/regions",
        "/changes/2/put_route/regions/1",
        "/changes/3/remove_target",
        "/changes/4/set_target/0",
        "/changes/5/set_domain",
    ];
    assert_eq!(places.collect::<Vec<_>>(), expected);
}

/// Guards against a plan that omits the shards it moves or the requests it refuses.
#[test]
fn make_domain_out() {
    let list = changes(json!([{"set_domain": ["a", "out"]}]));
    let plan = state::plan::make(&sample_state(), 1, list, "o".into(), "r").unwrap();
    let effects = &plan.effects;
    assert_eq!(effects.stops, ["ta".into()]);
    assert_eq!(effects.moves[0].shards, 64);
    assert_eq!(effects.moves[0].share_ppm, 1_000_000);
    assert_eq!(effects.moves[0].to, "tb".into());
    assert_eq!(effects.refused[0].route, "/s", "no target is left in north");
    let warning = &effects.warnings[0];
    assert!(warning.contains("failure domain a"), "{warning}");
    let text = plan.to_string();
    let flow = "ta -> tb: 64 shards (100.00% of the keys)";
    assert!(text.contains(flow), "{text}");
    let json = serde_json::to_string(&plan).unwrap();
    let read: state::plan::Plan = serde_json::from_str(&json).unwrap();
    assert_eq!(read, plan);
    let mut state = sample_state();
    let record = envelope(7, 1, plan.base.0, plan.body());
    assert_eq!(state.apply_envelope(state.next, &record), Verdict::Accepted);
}

/// Guards against a placement group with regions outside a binding.
#[test]
fn group_for_bindings() {
    let state = sample_state();
    let regions = |list: &[&str]| list.iter().map(|&r| r.into()).collect::<Vec<_>>();
    let group = |route: &[&str], tenant: &[&str]| {
        let group = state.group_for(&"s".into(), &regions(route), &regions(tenant));
        group.map(|group| group.to_string())
    };
    assert_eq!(group(&[], &[]).as_deref(), Some("s"));
    let both = ["south", "north"];
    assert_eq!(group(&both, &[]).as_deref(), Some("s@north@south"));
    assert_eq!(group(&both, &["south"]).as_deref(), Some("s@south"));
    assert_eq!(group(&["north"], &["south"]), None);
}

/// Guards against keepers that miss a change of their target's shards, and
/// against keepers woken by records on other targets.
#[test]
fn owners_changed_move() {
    let state = sample_state();
    let mut moved = state.clone();
    assert!(moved.owners_changed(&state).is_empty());
    let table = moved.groups.get_mut(&group()).unwrap();
    let owner = state::Ownership {
        target: "tb".into(),
        since: model::Offset(90),
    };
    std::sync::Arc::make_mut(table).shards[5] = Some(owner);
    let changed = moved.owners_changed(&state);
    assert!(changed.into_iter().eq(["ta".into(), "tb".into()]));
    let first = state.owners_changed(&state::State::default());
    assert!(first.into_iter().eq(["ta".into()]));
}

/// Guards against snapshot parts encoded as lists of numbers, and against a
/// build that can't decode the lists that earlier builds wrote.
#[test]
fn snapshot_part_binary() {
    let part = |data: &[u8]| {
        let digest = [7; 32];
        parse(
            json!({"snapshot_part": {"at": 1, "part": 0, "parts": 1, "digest": digest,
            "data": data}}),
        )
    };
    let data = [0xf0; 1_000];
    let record = envelope(1, 1, 0, part(&data));
    let empty = envelope(1, 1, 0, part(&[]));
    let bytes = record.encode();
    assert!(bytes.len() <= empty.encode().len() + data.len() + 4);
    assert_eq!(Envelope::decode(&bytes).unwrap(), record);
    // The list as earlier builds encoded it: two bytes for each number above 127.
    let binary = [&[0xc5, 0x03, 0xe8][..], &data].concat();
    let list = [vec![0xdc, 0x03, 0xe8], [0xcc, 0xf0].repeat(1_000)].concat();
    let at = bytes.windows(binary.len()).position(|w| w == binary);
    let (head, tail) = bytes.split_at(at.unwrap());
    let older = [head, &list, &tail[binary.len()..]].concat();
    assert_eq!(Envelope::decode(&older).unwrap(), record);
}
