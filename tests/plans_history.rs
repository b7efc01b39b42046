//! Tests of the checks behind confirmations, and of the commands that report on them.

use pistachiomoor::admin::{self, guard};
use pistachiomoor::cmd::{history, watch};
use pistachiomoor::peer::fleet;
use pistachiomoor::tables::{requests, running};
use pistachiomoor::{journal, model, peer, route, state};

fn record(offset: u64, changes: serde_json::Value) -> journal::Stored {
    let envelope = state::Envelope {
        format: state::FORMAT,
        least: state::FORMAT,
        writer: model::Incarnation(1),
        seq: offset + 1,
        base: model::Offset(offset),
        time: 0,
        body: state::Body::Change {
            plan: 10 + offset,
            operator: "ann".into(),
            reason: "r".to_owned(),
            changes: serde_json::from_value(changes).unwrap(),
        },
    };
    journal::Stored {
        offset: model::Offset(offset),
        data: envelope.encode().into(),
    }
}

fn domain(name: &str) -> serde_json::Value {
    serde_json::json!([{"put_domain": {"name": name, "region": "north"}}])
}

/// Guards against a history that shows a rejected change as accepted, or a
/// verdict that can't be known after retention dropped earlier records.
#[test]
fn events_verdicts() {
    let out = serde_json::json!([{"set_domain": ["b", "out"]}]);
    let records = vec![
        record(0, domain("a")),
        record(1, out),
        record(2, domain("b")),
    ];
    let mut log = history::Log {
        first: model::Offset(0),
        records,
    };
    let events = log.events(model::Offset(1), history::Kind::Changes);
    assert_eq!(events.len(), 2);
    assert!(events[0].verdict.starts_with("rejected"), "{:?}", events[0]);
    assert_eq!(events[1].verdict, "accepted");
    assert!(events[1].what.contains("put domain/b"));
    assert!(
        log.events(model::Offset(0), history::Kind::Leases)
            .is_empty()
    );
    log.records.remove(0);
    log.first = model::Offset(1);
    let events = log.events(model::Offset(0), history::Kind::All);
    assert!(events.iter().all(|event| event.verdict == "unknown"));
}

/// Guards against tenant names that leave the operator's command in clear.
#[test]
fn parse_hashed() {
    let text =
        r#"[{"put_tenant": {"name": "acme", "standing": "out"}}, {"remove_tenant": "zeta"}]"#;
    let intent = admin::intent::Intent::parse("i", text).unwrap();
    let state::Change::PutTenant(tenant) = &intent.changes[0] else {
        panic!("{:?}", intent.changes);
    };
    assert_eq!(tenant.name, route::tenant_hash(b"acme"));
    let written = serde_json::to_string(&intent.changes).unwrap();
    assert!(!written.contains("acme") && !written.contains("zeta"));
}

/// Guards against one plan that changes a binding in two steps: daemons apply
/// both at once, so none sees the state between them.
#[test]
fn twice_rebound() {
    let changes = serde_json::json!([
        {"remove_route": "/s"},
        {"put_route": {"prefix": "/s", "service": "s", "regions": ["north"]}},
    ]);
    let changes: Vec<state::Change> = serde_json::from_value(changes).unwrap();
    assert_eq!(guard::twice(&changes), ["route//s"]);
    assert!(guard::twice(&changes[1..]).is_empty());
}

/// Guards against two owners of a key. A binding must not take effect while a
/// daemon is behind, unresponsive, or replaced by another process at its address.
#[test]
fn behind_named() {
    let mut state = state::State::default();
    for id in 1..=4 {
        let host = serde_json::json!({"name": format!("h{id}"), "domain": "d",
            "peer": "127.0.0.1:1", "caller": "127.0.0.1:2", "since": 1,
            "gone": (id == 4).then_some("lost")});
        let host: state::Host = serde_json::from_value(host).unwrap();
        state.hosts.insert(model::Incarnation(id), host);
    }
    let needed = guard::Guarded {
        object: "route//s".to_owned(),
        since: model::Offset(7),
    };
    let reply = |id, next| peer::OffsetReply {
        from: model::Incarnation(id),
        next: model::Offset(next),
    };
    let behind = |replies: Vec<peer::OffsetReply>, silent: Vec<fleet::Silent>| {
        let answers = fleet::Answers {
            answers: replies,
            silent,
        };
        guard::behind(&state, &needed, &answers)
    };
    let all = vec![reply(1, 8), reply(2, 8), reply(3, 9)];
    assert!(behind(all, Vec::new()).is_empty());
    let found = behind(vec![reply(1, 8), reply(2, 7), reply(3, 9)], Vec::new());
    assert!(found.len() == 1 && found[0].contains("h2"), "{found:?}");
    let silent = fleet::Silent {
        host: "h2".into(),
        domain: "d".into(),
        incarnation: model::Incarnation(2).to_string(),
        why: "time-out".to_owned(),
    };
    let found = behind(vec![reply(1, 8), reply(9, 9)], vec![silent]);
    assert!(
        found.len() == 2 && found[0].contains("time-out"),
        "{found:?}"
    );
    assert!(found[1].contains("another daemon"), "{found:?}");
}

/// Guards against a daemon that reports a change as read while a request that
/// was admitted before the change still runs.
#[test]
fn oldest_running() {
    let running = running::Running::default();
    let at = model::Offset;
    let (first, second) = (running.enter(at(5)), running.enter(at(9)));
    assert_eq!(running.oldest(at(9)), at(5));
    drop(first);
    assert_eq!(running.oldest(at(12)), at(9));
    drop(second);
    assert_eq!(running.oldest(at(12)), at(12));
}

/// Guards against an evacuation that is reported as complete too early, or that
/// never completes because the domain was not drained.
#[test]
fn progress_left() {
    let share = |domain: &str, shards| admin::Share {
        domain: domain.into(),
        takes_work: domain != "a",
        shards,
    };
    let targets = [
        ("t1", share("a", 30)),
        ("t2", share("a", 0)),
        ("t3", share("b", 7)),
    ];
    let owned = admin::Owned {
        next: model::Offset(1),
        targets: targets.map(|(name, share)| (name.into(), share)).into(),
    };
    let subject = watch::Subject::Domain("a".to_owned());
    let progress = watch::Progress::new(&owned, &subject, Some(90), 2.0);
    assert_eq!(
        (progress.left, progress.targets, progress.taking),
        (30, 1, 0)
    );
    assert_eq!((progress.rate, progress.eta), (30.0, Some(1)));
}

/// Guards against a list of recent requests that grows with traffic, or in which
/// ordinary requests displace the ones that are always kept.
#[test]
fn ring_bounded() {
    let ring = requests::Ring::default();
    let sampled = (0..1_000).filter(|_| ring.wants(false)).count();
    assert_eq!(sampled, 10);
    assert!(ring.wants(true));
    for number in 0..3_000 {
        let entry = requests::Entry {
            id: number.to_string(),
            service: String::new(),
            method: "GET".to_owned(),
            outcome: "ok".to_owned(),
            reason: String::new(),
            detail: String::new(),
            micros: 1,
            slow: true,
            tries: 0,
            attempts: Vec::new(),
            next: model::Offset(1),
        };
        ring.add(entry, requests::Trace::default());
    }
    assert_eq!(ring.newest(usize::MAX).len(), 2_000);
    assert!(ring.find("999").is_none() && ring.find("1000").is_some());
}
