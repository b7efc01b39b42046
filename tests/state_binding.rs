//! Tests of binding changes and of the mark on unresponsive daemons in the fold.

use pistachiomoor::{model, state};
use state::{Body, Envelope, Verdict};

/// A state to which the test appends records.
struct Log {
    state: state::State,
    seqs: std::collections::BTreeMap<u64, u64>,
}

impl Log {
    fn new() -> Self {
        let mut log = Self {
            state: state::State::default(),
            seqs: Default::default(),
        };
        let setup = serde_json::json!([
            {"put_domain": {"name": "a", "region": "north"}},
            {"put_domain": {"name": "b", "region": "south"}},
            {"put_service": {"name": "s", "kind": "keyed", "shards": 8}},
            {"put_route": {"prefix": "/s", "service": "s"}},
            {"put_target": {"name": "t", "service": "s", "domain": "a",
                "address": "127.0.0.1:1", "concurrency": 2}},
        ]);
        assert_eq!(log.change(setup), Verdict::Accepted);
        for host in [1, 2, 3] {
            assert_eq!(log.host(host), Verdict::Accepted);
        }
        let assign = Body::Assign {
            group: model::GroupId {
                service: "s".into(),
                regions: Vec::new(),
            },
            shards: (0..8).map(model::Shard::Range).collect(),
            target: "t".into(),
        };
        assert_eq!(log.append(1, assign), Verdict::Accepted);
        log
    }

    fn append(&mut self, writer: u64, body: Body) -> Verdict {
        self.append_at(writer, self.state.next, body)
    }

    fn append_at(&mut self, writer: u64, base: model::Offset, body: Body) -> Verdict {
        let seq = self.seqs.entry(writer).or_default();
        *seq += 1;
        let envelope = Envelope {
            format: state::FORMAT,
            least: state::FORMAT,
            writer: model::Incarnation(writer),
            seq: *seq,
            base,
            time: 0,
            body,
        };
        self.state.apply_envelope(self.state.next, &envelope)
    }

    fn change(&mut self, changes: serde_json::Value) -> Verdict {
        let body = Body::Change {
            plan: 1,
            operator: "o".into(),
            reason: "r".into(),
            changes: serde_json::from_value(changes).unwrap(),
        };
        self.append(99, body)
    }

    fn host(&mut self, writer: u64) -> Verdict {
        let body = Body::HostUp {
            host: format!("h{writer}").as_str().into(),
            domain: "a".into(),
            peer: "127.0.0.1:2".parse().unwrap(),
            caller: "127.0.0.1:3".parse().unwrap(),
        };
        self.append(writer, body)
    }

    fn lease(&mut self, writer: u64, holder: u64, backup: u64) -> Verdict {
        let target = model::TargetName::from("t");
        let prior = self.state.leases.get(&target).map(|lease| lease.offset);
        let body = Body::Lease {
            target,
            prior,
            holder: model::Incarnation(holder),
            backup: Some(model::Incarnation(backup)),
            span: 1_000,
        };
        self.append(writer, body)
    }

    fn is_unresponsive(&self, host: u64) -> bool {
        self.state.hosts[&model::Incarnation(host)].silent.is_some()
    }
}

/// Guards against two owners of one key. A changed binding gives another
/// placement group, which daemons with an older configuration don't use yet.
#[test]
fn change_rebound() {
    let mut log = Log::new();
    let route =
        serde_json::json!([{"put_route": {"prefix": "/s", "service": "s", "regions": ["north"]}}]);
    assert!(matches!(log.change(route), Verdict::Rejected(_)));
    let tenant = |regions: &[&str], standing: &str| serde_json::json!([{"put_tenant": {"name": 7, "regions": regions, "standing": standing}}]);
    assert!(matches!(
        log.change(tenant(&["north"], "in")),
        Verdict::Rejected(_)
    ));
    assert_eq!(log.change(tenant(&[], "out")), Verdict::Accepted);
    assert_eq!(log.change(tenant(&["north"], "in")), Verdict::Accepted);
    assert!(matches!(
        log.change(tenant(&["south"], "in")),
        Verdict::Rejected(_)
    ));
    let removal = serde_json::json!([{"remove_tenant": 7}]);
    assert!(matches!(log.change(removal.clone()), Verdict::Rejected(_)));
    assert_eq!(log.change(tenant(&["north"], "out")), Verdict::Accepted);
    assert_eq!(log.change(removal), Verdict::Accepted);
}

/// Guards against paths of a keyed service that get other owners because a
/// longer prefix is added or removed.
#[test]
fn change_nested() {
    let mut log = Log::new();
    let route = |prefix: &str| serde_json::json!([{"put_route": {"prefix": prefix, "service": "s", "regions": ["north"]}}]);
    assert!(matches!(
        log.change(route("/s/export")),
        Verdict::Rejected(_)
    ));
    assert!(matches!(log.change(route("/")), Verdict::Rejected(_)));
    assert_eq!(log.change(route("/s-north")), Verdict::Accepted);
    let both = serde_json::json!([{"remove_route": "/s-north"},
        {"put_route": {"prefix": "/s-north", "service": "s"}}]);
    assert!(matches!(log.change(both), Verdict::Rejected(_)));
}

/// Guards against a move that was decided on before a key was pinned or
/// unpinned. Requests for the key can still run under a shard that the holder
/// did not stop.
#[test]
fn move_repinned() {
    let mut log = Log::new();
    let target = serde_json::json!([{"put_target": {"name": "u", "service": "s", "domain": "a",
        "address": "127.0.0.1:4", "concurrency": 2}}]);
    assert_eq!(log.change(target), Verdict::Accepted);
    assert_eq!(log.lease(1, 1, 2), Verdict::Accepted);
    let group = model::GroupId {
        service: "s".into(),
        regions: Vec::new(),
    };
    let lease = log.state.leases[&"t".into()].offset;
    let shift = Body::Move {
        group: group.clone(),
        shards: [model::Shard::Range(0)].into_iter().collect(),
        from: "t".into(),
        lease,
        to: "u".into(),
    };
    let base = log.state.next;
    let key = model::KeyHash(0);
    assert_eq!(
        log.append(1, Body::Pin { group, key, lease }),
        Verdict::Accepted
    );
    assert!(matches!(
        log.append_at(1, base, shift.clone()),
        Verdict::Rejected(_)
    ));
    assert_eq!(log.append(1, shift), Verdict::Accepted);
}

/// Guards against leases granted to a daemon that was replaced as unresponsive,
/// because the fold did not mark it, and against a daemon that stays marked
/// after it has written a record again.
#[test]
fn lease_unresponsive() {
    let mut log = Log::new();
    assert_eq!(log.lease(1, 1, 2), Verdict::Accepted);
    assert_eq!(log.lease(2, 2, 3), Verdict::Accepted);
    assert!(log.is_unresponsive(1), "its backup took over");
    assert_eq!(log.host(1), Verdict::Accepted);
    assert!(!log.is_unresponsive(1), "it has written a record");
    assert_eq!(log.lease(2, 2, 1), Verdict::Accepted);
    assert!(log.is_unresponsive(3), "its holder named another backup");
    assert_eq!(log.lease(2, 1, 2), Verdict::Accepted);
    assert!(
        !log.is_unresponsive(2),
        "it handed the lease over by itself"
    );
}
