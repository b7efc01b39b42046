//! Directory of daemons.

use pistachiomoor::clock::Millis;
use pistachiomoor::gateway::limits::share::Position;
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

/// Hosts of a failure domain, by name.
fn hosts(count: u32) -> Vec<String> {
    (0..count).map(|number| format!("a{number:02}")).collect()
}

/// Returns the directory of a host that has read the records of `count` hosts of its domain
/// at time 0.
fn started(own: &str, count: u32) -> Directory {
    let mut directory = Directory::new(own.into());
    for host in hosts(count) {
        directory.list(record(&host, "a"), Millis(0));
    }
    directory.on_all_listed(Millis(0));
    directory
}

fn share_rank(directory: &Directory, own: &str, now: u64) -> Option<u32> {
    directory.share_rank(&own.into(), Millis(now), |_| true)
}

/// Guards against daemons that start together, have not heard of each other, and each take the
/// first rank: all of them would send requests to a cold target.
#[test]
fn share_rank_unheard() {
    for (rank, own) in (0..).zip(hosts(21)) {
        let directory = started(&own, 21);
        assert_eq!(share_rank(&directory, &own, 2_499), None);
        assert_eq!(share_rank(&directory, &own, 2_500), Some(rank));
    }
}

/// Guards against a share of a daemon that has not read the records of the other hosts: it
/// would take the whole limit.
#[test]
fn share_rank_unread() {
    let mut directory = Directory::new("a00".into());
    assert_eq!(share_rank(&directory, "a00", 100_000), None);
    directory.list(record("a01", "a"), Millis(0));
    assert_eq!(share_rank(&directory, "a00", 100_000), None);
}

/// Guards against a budget of retries that a daemon does not share because it has not read
/// the records of the other hosts.
#[test]
fn known_live_unread() {
    let mut directory = Directory::new("a00".into());
    assert_eq!(directory.known_live(Millis(5)), None);
    directory.list(record("a01", "a"), Millis(5));
    directory.on_all_listed(Millis(5));
    assert_eq!(directory.known_live(Millis(6)), Some(2));
}

/// Guards against shares that stay unused after the loss of the daemons that had them, and
/// against daemons of other domains that are counted.
#[test]
fn share_rank_lost() {
    let mut directory = started("a20", 21);
    directory.list(record("0", "b"), Millis(0));
    for host in hosts(21) {
        directory.on_heartbeat(&host.as_str().into(), Millis(1_000));
    }
    directory.on_heartbeat(&"a03".into(), Millis(9_000));
    let in_domain = |domain: &model::DomainName| *domain == "a".into();
    let rank = directory.share_rank(&"a20".into(), Millis(10_000), in_domain);
    assert_eq!(rank, Some(1));
}

/// Returns a daemon's place when daemons are in the order of their names.
fn position(directory: &Directory, own: &str, now: u64) -> Option<Position> {
    let order = |host: &model::HostName, _: &model::DomainName| host.clone();
    directory.position(&own.into(), &"a".into(), Millis(now), order)
}

/// Guards against daemons that start together and each take the first place, or the whole
/// limit of a target, before they have heard of each other.
#[test]
fn position_unheard() {
    for (rank, own) in (0..).zip(hosts(11)) {
        let directory = started(&own, 11);
        assert_eq!(position(&directory, &own, 2_499), None);
        let expected = Position {
            rank,
            present: 11,
            live: 11,
        };
        assert_eq!(position(&directory, &own, 2_500), Some(expected));
    }
}

/// Guards against a daemon that is cut off from others and takes their parts of a limit, while
/// they may still reach the target.
#[test]
fn position_cut_off() {
    let mut directory = started("a05", 11);
    for host in hosts(11) {
        directory.on_heartbeat(&host.as_str().into(), Millis(10_000));
    }
    for host in ["a00", "a09"] {
        directory.on_heartbeat(&host.into(), Millis(20_000));
    }
    let expected = Position {
        rank: 1,
        present: 3,
        live: 11,
    };
    assert_eq!(position(&directory, "a05", 20_500), Some(expected));
}
