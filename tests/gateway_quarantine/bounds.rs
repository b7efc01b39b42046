//! Bounds of memory and of the traffic between daemons.

use pistachiomoor::gateway::quarantine::wire::{self, Item};
use pistachiomoor::gateway::quarantine::{Digest, Quarantine, Sizes};
use pistachiomoor::model::HostName;

use crate::rig::{CRASHED, CRASHING, RULES, alone, at, attempt, crash, instance};

/// Guards against memory that grows with the bodies that callers vary, with targets that
/// crash, or with what other daemons send, and against such a flood that displaces a
/// request with two crashes.
#[test]
fn sizes_bounded() {
    let mut quarantine = alone(RULES);
    quarantine.on_daemons(["h1".into(), "h2".into()], at(0));
    for number in 1..=2 {
        crash(
            &mut quarantine,
            CRASHING,
            number,
            100 * number - 50,
            100 * number,
        );
    }
    let long: String = "r".repeat(200);
    for number in 0..10_000 {
        let ms = 1_000 + number;
        let digest = Digest(1_000 + number);
        quarantine.on_broken(attempt(digest, number, ms - 5), CRASHED, at(ms));
        if number % 2 == 0 {
            quarantine.on_refused(&instance(number), at(ms), at(ms));
        }
        let items = [
            Item::Suspect(100_000 + number, 0),
            Item::Answered(200_000 + number, 0),
            Item::Verdict(wire::Verdict {
                digest: 300_000 + number,
                route: long.as_str().into(),
                crashes: 3,
                number: 1,
                trials: 0,
                state: wire::Hold::Held(1_000),
                since: 0,
                crashed: 0,
            }),
        ];
        let mut message = wire::Datagram {
            host: "h1".into(),
            items: items.into(),
        };
        if number % 100 == 0 {
            message.items.push(Item::Ask);
        }
        quarantine.on_message(&message, at(ms)).unwrap();
        quarantine.on_answered(Digest(400_000 + 2 * number), at(ms));
        quarantine.on_answered(Digest(400_001 + 2 * number), at(ms));
        let (sizes, max) = (quarantine.sizes(), Sizes::MAX);
        assert!(
            sizes.breaks <= max.breaks && sizes.crashes <= max.crashes,
            "{sizes:?}"
        );
        assert!(
            sizes.suspects <= max.suspects && sizes.verdicts <= max.verdicts,
            "{sizes:?}"
        );
        assert!(sizes.answers <= max.answers, "{sizes:?}");
        assert!(sizes.queued <= max.queued, "{sizes:?}");
    }
    let sizes = quarantine.sizes();
    let full = [sizes.breaks, sizes.crashes, sizes.suspects, sizes.verdicts];
    assert_eq!(full, [1_024, 4_096, 2_048, 1_024]);
    crash(&mut quarantine, CRASHING, 3, 22_000, 22_010);
    quarantine.take_messages(at(22_500));
    quarantine.take_messages(at(23_000));
    assert!(quarantine.is_quarantined(CRASHING));
}

/// Returns the bytes that a daemon among `count` sends in ten minutes, in which `verdicts`
/// requests a minute crash targets and all their crashes are reported to it.
fn traffic(count: usize, verdicts: u64) -> u64 {
    let hosts: Vec<HostName> = (0..count)
        .map(|n| format!("host-{n:03}").as_str().into())
        .collect();
    let mut quarantine = Quarantine::new(hosts[0].clone(), RULES, at(0));
    quarantine.on_daemons(hosts.iter().cloned(), at(0));
    let known = wire::Datagram {
        host: hosts[1].clone(),
        items: vec![Item::Known],
    };
    quarantine.on_message(&known, at(1)).unwrap();
    let mut bytes = 0;
    for round in 0..24_000 {
        let now = round * 25;
        if verdicts > 0 && now % (60_000 / verdicts) == 0 {
            let crash = |number: u64| {
                Item::Crash(wire::Crash {
                    digest: now,
                    route: "skyfuel-bookings".into(),
                    instance: number as u32,
                    began: 1_000 - 100 * number,
                    ended: 950 - 100 * number,
                    cold: false,
                })
            };
            let message = wire::Datagram {
                host: hosts[2].clone(),
                items: (1..=3).map(crash).collect(),
            };
            quarantine.on_message(&message, at(now)).unwrap();
        }
        for (_, message) in quarantine.take_messages(at(now)) {
            // 28 bytes are the headers of UDP and IP.
            let sent = rmp_serde::to_vec(&message).unwrap().len() + 28;
            assert!(sent <= 1_428, "{sent} bytes");
            bytes += sent as u64;
        }
    }
    bytes
}

/// Guards against control traffic above 3 KB/s a daemon, also if many requests crash
/// targets and all are collected here, and against traffic without any verdict.
#[test]
fn take_messages_traffic() {
    assert_eq!(traffic(560, 0), 0);
    for (count, verdicts) in [(11, 60), (83, 60), (560, 1), (560, 60)] {
        let rate = traffic(count, verdicts) / 600;
        println!("{count} daemons, {verdicts} verdicts a minute: {rate} B/s");
        assert!(
            rate <= 3_000,
            "{count} daemons, {verdicts} a minute: {rate} B/s"
        );
    }
}
