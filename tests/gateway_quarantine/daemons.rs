//! What daemons tell each other: messages, turns of trials, and verdicts that all share.

use pistachiomoor::gateway::quarantine::Quarantine;
use pistachiomoor::gateway::quarantine::wire::{self, Item};
use pistachiomoor::model::HostName;

use crate::rig::{CRASHING, RULES, alone, at, crash};

/// Guards against several daemons that take a trial at the same time, and against a daemon
/// that takes one at the end of its turn, before the next one knows of it.
#[test]
fn admit_turns() {
    let hosts: Vec<HostName> = (0..5).map(|n| format!("h{n}").as_str().into()).collect();
    let verdict = Item::Verdict(wire::Verdict {
        digest: CRASHING.0,
        route: "bookings".into(),
        crashes: 3,
        number: 1,
        trials: 0,
        state: wire::Hold::Held(1_000),
        since: 0,
        crashed: 100,
    });
    let message = wire::Datagram {
        host: "h9".into(),
        items: vec![verdict],
    };
    let mut turns = Vec::new();
    for host in &hosts {
        let mut quarantine = Quarantine::new(host.clone(), RULES, at(0));
        quarantine.on_daemons(hosts.iter().cloned(), at(0));
        quarantine.on_message(&message, at(0)).unwrap();
        let begins = (1_000..26_000).find(|ms| quarantine.refusal(CRASHING, at(*ms)).is_none());
        let begins = begins.expect("each daemon has a turn");
        let ends = (begins..26_000).find(|ms| quarantine.refusal(CRASHING, at(*ms)).is_some());
        assert_eq!(ends.map_or(4_000, |ends| ends - begins), 4_000);
        turns.push(begins);
    }
    turns.sort_unstable();
    assert_eq!(turns, [1_000, 6_000, 11_000, 16_000, 21_000]);
}

/// Guards against parts of a message that are invalid, from another clock or too old, and
/// that have an effect or hide the parts after them.
#[test]
fn on_message_invalid() {
    let crash = wire::Crash {
        digest: 5,
        route: "bookings".into(),
        instance: 1,
        began: 20,
        ended: 10,
        cold: false,
    };
    let verdict = wire::Verdict {
        digest: 6,
        route: "bookings".into(),
        crashes: 3,
        number: 1,
        trials: 0,
        state: wire::Hold::Held(86_400_001),
        since: u64::MAX,
        crashed: u64::MAX,
    };
    let long = "r".repeat(257);
    let invalid = [
        Item::Crash(wire::Crash {
            began: 9,
            ..crash.clone()
        }),
        Item::Crash(wire::Crash {
            began: u64::MAX,
            ended: 3_600_001,
            ..crash.clone()
        }),
        Item::Crash(wire::Crash {
            route: long.as_str().into(),
            ..crash.clone()
        }),
        Item::Verdict(verdict.clone()),
        Item::Verdict(wire::Verdict {
            route: long.as_str().into(),
            ..verdict
        }),
        Item::Suspect(7, u64::MAX),
        Item::Answered(8, u64::MAX),
    ];
    let mut quarantine = alone(RULES);
    let mut message = wire::Datagram {
        host: "h1".into(),
        items: invalid.into(),
    };
    assert_eq!(
        quarantine.on_message(&message, at(0)),
        Err(wire::Invalid::Order)
    );
    let sizes = quarantine.sizes();
    assert_eq!((sizes.crashes, sizes.verdicts, sizes.suspects), (0, 0, 0));
    message.items.push(Item::Crash(crash));
    assert_eq!(
        quarantine.on_message(&message, at(0)),
        Err(wire::Invalid::Order)
    );
    assert_eq!(quarantine.sizes().crashes, 1);
    message.host = "h0".into();
    message.items.push(Item::Suspect(9, 0));
    assert_eq!(quarantine.on_message(&message, at(0)), Ok(()));
    assert_eq!(quarantine.sizes().suspects, 0);
    assert_eq!(quarantine.sizes().crashes, 1);
}

/// Carries the messages of all daemons to their recipients.
fn exchange(daemons: &mut [Quarantine], now: u64) {
    for index in 0..daemons.len() {
        for (host, message) in daemons[index].take_messages(at(now)) {
            let number: usize = host.as_str()[1..].parse().unwrap();
            daemons[number].on_message(&message, at(now)).unwrap();
        }
    }
}

fn together(count: usize) -> Vec<Quarantine> {
    let hosts: Vec<HostName> = (0..count)
        .map(|n| format!("h{n}").as_str().into())
        .collect();
    let daemons = hosts.iter().map(|host| {
        let mut daemon = Quarantine::new(host.clone(), RULES, at(0));
        daemon.on_daemons(hosts.iter().cloned(), at(0));
        daemon
    });
    daemons.collect()
}

/// Guards against daemons that count their own crashes only, against one that sends the
/// request on after a verdict, and against one that starts without the verdicts of others.
#[test]
fn daemons_share_verdicts() {
    let mut daemons = together(20);
    for number in 1..=3 {
        crash(
            &mut daemons[number as usize],
            CRASHING,
            number,
            200 * number,
            200 * number + 10,
        );
        exchange(&mut daemons, 200 * number + 40);
    }
    for now in [900, 1_000, 1_100, 1_250] {
        exchange(&mut daemons, now);
    }
    assert!(daemons.iter().all(|daemon| daemon.is_quarantined(CRASHING)));
    let hosts: Vec<HostName> = (0..20).map(|n| format!("h{n}").as_str().into()).collect();
    daemons[7] = Quarantine::new(hosts[7].clone(), RULES, at(2_000));
    assert!(!daemons[7].is_settled(at(2_000)));
    daemons[7].on_daemons(hosts, at(2_010));
    for now in [2_010, 2_020, 2_030] {
        exchange(&mut daemons, now);
    }
    assert!(daemons[7].is_settled(at(2_030)));
    assert!(daemons[7].is_quarantined(CRASHING));
    assert!(daemons[3].lift(CRASHING, at(3_000)));
    exchange(&mut daemons, 3_000);
    exchange(&mut daemons, 3_001);
    assert!(!daemons.iter().any(|daemon| daemon.is_quarantined(CRASHING)));
}

/// Guards against crashes that are lost with the collectors that knew them.
#[test]
fn daemons_lost_collectors() {
    let mut daemons = together(8);
    crash(&mut daemons[0], CRASHING, 1, 100, 110);
    crash(&mut daemons[1], CRASHING, 2, 200, 210);
    exchange(&mut daemons, 240);
    exchange(&mut daemons, 400);
    // Both collectors are lost, unless they are the reporters, who know their own crash.
    let mut lost: Vec<_> = (2..8).filter(|n| daemons[*n].sizes().crashes > 0).collect();
    for number in &lost {
        daemons[*number] = Quarantine::new(format!("h{number}").as_str().into(), RULES, at(500));
    }
    lost.sort_unstable();
    let live: Vec<HostName> = (0..8)
        .filter(|n| !lost.contains(n))
        .map(|n| format!("h{n}").as_str().into())
        .collect();
    for (number, daemon) in daemons.iter_mut().enumerate() {
        if !lost.contains(&number) {
            daemon.on_daemons(live.iter().cloned(), at(3_000));
        }
    }
    crash(&mut daemons[0], CRASHING, 3, 3_000, 3_010);
    for now in [3_040, 3_050, 3_200, 3_500, 3_700, 3_900] {
        exchange(&mut daemons, now);
    }
    for (number, daemon) in daemons.iter().enumerate() {
        assert!(
            lost.contains(&number) || daemon.is_quarantined(CRASHING),
            "{number}"
        );
    }
}
