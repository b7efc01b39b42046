//! Event history of a gateway daemon, and query parameters of its admin pages.

use std::collections::BTreeMap;

use pistachiomoor::gateway::{adapter, history, keys, query};
use pistachiomoor::{clock, model};

fn table(incarnation: u64, runs: &[(u16, u16, &str)]) -> keys::Table {
    let run = |&(first, last, target): &(u16, u16, &str)| keys::Run {
        range: adapter::KeyRange { first, last },
        owner: Some(keys::Owner {
            target: target.into(),
            birth: 1,
        }),
        fence: 1,
        previous_owner: None,
    };
    keys::Table {
        host: "h0".into(),
        incarnation: model::Incarnation(incarnation),
        services: BTreeMap::from([("s".into(), runs.iter().map(run).collect())]),
        quorums: Vec::new(),
    }
}

fn read(ring: &history::Ring) -> history::History {
    ring.read(clock::Millis(100), &"h0".into())
}

/// Guards against moves that are counted by the runs of the new table alone, in
/// which adjacent runs are merged, and against a change of coordinator that counts as
/// a move.
#[test]
fn on_table_moves() {
    let old = table(
        1,
        &[(0, 9, "a"), (10, 19, "b"), (20, 29, "c"), (30, 65_535, "a")],
    );
    let new = table(2, &[(0, 24, "a"), (25, 29, "c"), (30, 65_535, "a")]);
    let ring = history::Ring::new(clock::Millis(0));
    let counts = |old: Option<&keys::Table>, new: &keys::Table| {
        ring.on_key_table(clock::Millis(1), model::Offset(7), old, new);
        match read(&ring).events.pop().expect("an event").event {
            history::Event::KeyTable {
                takeover,
                moved_runs,
                moved_keys,
                ..
            } => (takeover, moved_runs, moved_keys),
            event => panic!("{event:?}"),
        }
    };
    assert_eq!(counts(Some(&old), &new), (true, 2, 15));
    assert_eq!(counts(Some(&new), &new), (false, 0, 0));
    assert_eq!(counts(None, &new), (false, 0, 0));
}

/// Guards against unbounded memory, and against repeated events while the state
/// does not change.
#[test]
fn ring_bounded() {
    let ring = history::Ring::new(clock::Millis(0));
    let domains = [model::DomainName::from("d")];
    let offset = model::Offset;
    for _ in 0..3 {
        ring.set_drained(clock::Millis(1), offset(4), domains.iter());
    }
    assert_eq!(read(&ring).events.len(), 1);
    ring.set_drained(clock::Millis(2), offset(9), [].iter());
    let events = read(&ring).events;
    let domain = domains[0].clone();
    assert_eq!(events[1].event, history::Event::DomainRestored { domain });
    assert_eq!(events[1].offset, Some(offset(9)));
    for version in 0..2_000 {
        let event = history::Event::Configuration { version };
        ring.add(clock::Millis(3), Some(offset(version)), event);
    }
    let history = read(&ring);
    assert_eq!(history.events.len() as u64 + history.dropped, 2_002);
    assert!(history.events.len() <= 500);
    assert_eq!(
        history.events.last().and_then(|line| line.offset),
        Some(offset(1_999))
    );
    let text = serde_json::to_string(&history).expect("JSON");
    let decoded: history::History = serde_json::from_str(&text).expect("a history");
    assert_eq!(decoded, history);
}

/// Guards against misspelt parameters that are ignored, and faulty escapes that are
/// taken literally.
#[test]
fn query_faulty() {
    let parse = |text| query::Query::parse("/p", Some(text), &["host", "path"]);
    let good = parse("path=/a%20b%C3%A9&host=x").expect("a query");
    assert_eq!(
        (good.get("path"), good.get("host")),
        (Some("/a bé"), Some("x"))
    );
    let text = format!("path={}", query::encode("/a bé&=+%"));
    let decoded = parse(&text).expect("a query");
    assert_eq!(decoded.get("path"), Some("/a bé&=+%"));
    for (text, place, found) in [
        ("hots=x", "/p, parameter hots", "\"hots\""),
        ("host=x&host=y", "/p, parameter host", "a second one"),
        ("path=%4", "/p, parameter path", "\"%4\""),
        ("path=%+4", "/p, parameter path", "\"%+4\""),
        ("path=%FF", "/p, parameter path", "\"%FF\""),
    ] {
        let findings = parse(text).expect_err(text).0;
        assert_eq!((&*findings[0].place, &*findings[0].found), (place, found));
    }
    assert_eq!(parse("a=1&b=2").expect_err("two").0.len(), 2);
}
