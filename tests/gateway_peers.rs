//! Directory of daemons.

use pistachiomoor::clock::Millis;
use pistachiomoor::gateway::peers::{Directory, HostRecord};
use pistachiomoor::model;

fn record(host: &str, domain: &str) -> HostRecord {
    HostRecord {
        host: host.into(),
        incarnation: model::Incarnation(1),
        domain: domain.into(),
        address: "10.0.0.1:7660".parse().expect("an address"),
    }
}

/// Guards against voters that are all in one failure domain, whose loss would leave no
/// majority, and against voters that have been silent for long.
#[test]
fn voter_candidates_order() {
    let mut directory = Directory::new("b2".into());
    for (host, domain) in [
        ("a1", "a"),
        ("a2", "a"),
        ("a3", "a"),
        ("b1", "b"),
        ("c1", "c"),
    ] {
        directory.list(record(host, domain), Millis(0));
    }
    let candidates = |now| -> Vec<String> {
        let hosts = directory.voter_candidates(&"b".into(), Millis(now));
        hosts.iter().map(ToString::to_string).collect()
    };
    assert_eq!(candidates(1_000), ["a1", "b1", "c1", "a2", "b2", "a3"]);
    let mut heard = directory.clone();
    heard.on_heartbeat(&"c1".into(), Millis(30_000));
    let hosts = heard.voter_candidates(&"b".into(), Millis(61_000));
    let hosts: Vec<String> = hosts.iter().map(ToString::to_string).collect();
    assert_eq!(hosts, ["b2", "c1"]);
}
