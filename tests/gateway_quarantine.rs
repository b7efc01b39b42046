//! Requests that crash targets: evidence, verdicts and their end on one daemon, and several
//! daemons against a model of targets, callers and network.
//!
//! `PISTACHIOMOOR_FUZZ_CASES` and `PISTACHIOMOOR_FUZZ_SEED` set the number of cases and the
//! seed of the model.

#[path = "gateway_quarantine/oracle.rs"]
mod oracle;
#[path = "gateway_quarantine/world.rs"]
mod world;

use std::env;
use std::sync::atomic::Ordering;

use pistachiomoor::clock::Millis;
use pistachiomoor::gateway::choice::Instance;
use pistachiomoor::gateway::quarantine::wire::{self, Item};
use pistachiomoor::gateway::quarantine::{
    Admission, Attempt, Break, Cause, Digest, Fitness, Happening, Quarantine, Rules, Sizes, Subject,
};
use pistachiomoor::model::HostName;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

const CASES: u64 = 48;
const SEED: u64 = 0xdead1;

const RULES: Rules = Rules {
    crashes: 3,
    hold_ms: 600_000,
};

const CRASHED: Break = Break {
    written: true,
    silent: true,
    own: false,
    fitness: Fitness::Warm,
};

/// Time at which the daemons of the plain tests start, in milliseconds.
const START: u64 = 10_000_000;

/// Digest of the request that crashes targets.
const DEADLY: Digest = Digest(0xdead);

fn at(ms: u64) -> Millis {
    Millis(START + ms)
}

fn instance(number: u64) -> Instance {
    Instance {
        target: format!("t{number}").as_str().into(),
        birth: number,
    }
}

fn attempt(digest: Digest, number: u64, began: u64) -> Attempt {
    Attempt {
        digest,
        route: "bookings".into(),
        instance: instance(number),
        began: at(began),
    }
}

fn alone(rules: Rules) -> Quarantine {
    Quarantine::new("h0".into(), rules, at(0))
}

/// Crashes an instance by an attempt from `began` to `ended`, proven 20 ms later.
fn crash(quarantine: &mut Quarantine, digest: Digest, number: u64, began: u64, ended: u64) {
    quarantine.on_broken(attempt(digest, number, began), CRASHED, at(ended));
    quarantine.on_refused(&instance(number), at(ended + 20), at(ended + 21));
}

/// Returns a daemon that refuses the request since 1,000 ms, by three crashes until 300 ms.
fn quarantined() -> Quarantine {
    let mut quarantine = alone(RULES);
    for number in 1..=3 {
        crash(
            &mut quarantine,
            DEADLY,
            number,
            100 * number - 50,
            100 * number,
        );
    }
    quarantine.take_messages(at(1_000));
    assert!(quarantine.is_quarantined(DEADLY));
    quarantine
}

fn subject<'r>(uri: &'r http::Uri, body: &'r [u8]) -> Subject<'r> {
    Subject {
        method: &http::Method::GET,
        host: "api.example",
        uri,
        key: None,
        body,
    }
}

/// Guards against requests that count as the same although they differ in what targets run,
/// and against one that counts as another because of the form of its host.
#[test]
fn digest_fields() {
    let uri = http::Uri::from_static("/slots?day=1");
    let other_uri = http::Uri::from_static("/slots?day=2");
    let plain = subject(&uri, b"ab");
    let variants = [
        Subject {
            method: &http::Method::POST,
            ..plain
        },
        Subject {
            host: "api.example.org",
            ..plain
        },
        Subject {
            uri: &other_uri,
            ..plain
        },
        Subject {
            key: Some(0),
            ..plain
        },
        Subject {
            key: Some(1),
            ..plain
        },
        subject(&uri, b"abc"),
        subject(&uri, b""),
    ];
    let mut digests: Vec<_> = variants.iter().map(Subject::digest).collect();
    digests.push(plain.digest());
    digests.sort();
    digests.dedup();
    assert_eq!(digests.len(), variants.len() + 1);
    for host in ["API.example", "api.example:8080"] {
        assert_eq!(Subject { host, ..plain }.digest(), plain.digest());
    }
    let absolute = http::Uri::from_static("http://api.example/slots?day=1");
    assert_eq!(subject(&absolute, b"ab").digest(), plain.digest());
}

/// Guards against long bodies that differ in length, at their begin or at their end and
/// count as the same.
#[test]
fn digest_long_bodies() {
    let uri = http::Uri::from_static("/plans");
    let body = vec![7; 1 << 20];
    let plain = subject(&uri, &body).digest();
    for position in [0, 65_535, body.len() - 65_536, body.len() - 1] {
        let mut other = body.clone();
        other[position] = 8;
        assert_ne!(subject(&uri, &other).digest(), plain, "at {position}");
    }
    assert_ne!(subject(&uri, &body[1..]).digest(), plain);
}

/// Guards against a digest on a page that can't be given back to end its verdict.
#[test]
fn digest_text() {
    for digest in [Digest(0), Digest(0x00ab), Digest(u64::MAX)] {
        assert_eq!(digest.to_string().parse(), Ok(digest));
    }
    for text in [
        "",
        "ab",
        "+0000000000000ab",
        "000000000000000g",
        "00000000000000000",
    ] {
        assert!(text.parse::<Digest>().is_err(), "{text}");
    }
}

/// Guards against evidence from an attempt that this daemon closed, that was not written
/// completely, that had a part of its answer, or whose target was leaving.
#[test]
fn on_broken_no_evidence() {
    let ends = [
        Break {
            written: false,
            ..CRASHED
        },
        Break {
            silent: false,
            ..CRASHED
        },
        Break {
            own: true,
            ..CRASHED
        },
        Break {
            fitness: Fitness::Unfit,
            ..CRASHED
        },
    ];
    for end in ends {
        let mut quarantine = alone(RULES);
        assert!(!quarantine.on_broken(attempt(DEADLY, 1, 0), end, at(10)));
        quarantine.on_refused(&instance(1), at(30), at(31));
        assert_eq!(quarantine.sizes().crashes, 0, "{end:?}");
    }
}

/// Guards against a link that resets connections, or an answer that is lost, counting as
/// the end of an instance that goes on, and against an earlier refusal as proof.
#[test]
fn on_broken_unproven() {
    let mut quarantine = alone(RULES);
    assert!(quarantine.on_broken(attempt(DEADLY, 1, 0), CRASHED, at(100)));
    // Begun before the break: they say nothing of the time after it.
    quarantine.on_refused(&instance(1), at(99), at(101));
    quarantine.on_response(&instance(1), at(100));
    quarantine.on_refused(&instance(2), at(120), at(121));
    quarantine.on_list(|_| true, at(130));
    assert_eq!(
        (quarantine.sizes().breaks, quarantine.sizes().crashes),
        (1, 0)
    );
    quarantine.on_response(&instance(1), at(101));
    assert_eq!(quarantine.sizes().breaks, 0);
    quarantine.on_refused(&instance(1), at(120), at(121));
    assert_eq!(quarantine.sizes().crashes, 0);
    // Without any sign, a break is forgotten.
    quarantine.on_broken(attempt(DEADLY, 1, 200), CRASHED, at(300));
    quarantine.take_messages(at(10_300));
    assert_eq!(quarantine.sizes().breaks, 1);
    quarantine.take_messages(at(11_301));
    assert_eq!(quarantine.sizes().breaks, 0);
}

/// Guards against an instance whose end only the list shows.
#[test]
fn on_list_newer_birth() {
    let mut quarantine = alone(RULES);
    quarantine.on_broken(attempt(DEADLY, 1, 0), CRASHED, at(100));
    quarantine.on_broken(attempt(DEADLY, 2, 0), CRASHED, at(100));
    quarantine.on_list(|known| *known != instance(1), at(5_000));
    assert_eq!(
        (quarantine.sizes().breaks, quarantine.sizes().crashes),
        (1, 1)
    );
}

/// Guards against connections to an instance after its end is known, or after it accepted
/// one, and against a schedule that differs from the design.
#[test]
fn take_probes_schedule() {
    let mut quarantine = alone(RULES);
    quarantine.on_broken(attempt(DEADLY, 1, 0), CRASHED, at(100));
    let mut times = Vec::new();
    for ms in 100..2_000 {
        times.extend(quarantine.take_probes(at(ms)).iter().map(|_| ms));
    }
    assert_eq!(times, [120, 250, 500, 1_000]);
    quarantine.on_broken(attempt(DEADLY, 2, 0), CRASHED, at(2_000));
    quarantine.on_broken(attempt(DEADLY, 3, 0), CRASHED, at(2_000));
    assert_eq!(quarantine.take_probes(at(2_020)).len(), 2);
    quarantine.on_accepted(&instance(2));
    quarantine.on_refused(&instance(3), at(2_020), at(2_021));
    assert!(quarantine.take_probes(at(9_000)).is_empty());
}

/// Guards against a verdict after fewer crashes than set, or without the time for answers.
#[test]
fn verdict_limit() {
    for limit in 1..=3 {
        let mut quarantine = alone(Rules {
            crashes: limit,
            ..RULES
        });
        for number in 1..=u64::from(limit) {
            quarantine.take_messages(at(100 * number - 60));
            assert_eq!(
                quarantine.admit(DEADLY, at(100 * number - 55)),
                Admission::Open
            );
            crash(
                &mut quarantine,
                DEADLY,
                number,
                100 * number - 50,
                100 * number,
            );
        }
        let last = 100 * u64::from(limit) + 21;
        quarantine.take_messages(at(last + 399));
        assert!(!quarantine.is_quarantined(DEADLY), "limit {limit}");
        quarantine.take_messages(at(last + 400));
        assert!(quarantine.is_quarantined(DEADLY), "limit {limit}");
    }
}

/// Guards against targets that are lost at once, or one that restarts often, counting as
/// crashes that follow one another.
#[test]
fn verdict_at_once() {
    let mut quarantine = alone(RULES);
    for number in 1..=8 {
        crash(&mut quarantine, DEADLY, number, 10 + number, 100);
    }
    crash(&mut quarantine, DEADLY, 1, 200, 300);
    quarantine.take_messages(at(2_000));
    let is_held = quarantine.is_quarantined(DEADLY);
    assert!(is_held, "an attempt began after the other crashes");
    let mut quarantine = alone(RULES);
    for number in 1..=8 {
        crash(&mut quarantine, DEADLY, number, 10 + number, 100);
    }
    quarantine.take_messages(at(2_000));
    assert!(!quarantine.is_quarantined(DEADLY));
    let mut quarantine = alone(RULES);
    for round in 0..5 {
        crash(
            &mut quarantine,
            DEADLY,
            1,
            1_000 * round,
            1_000 * round + 100,
        );
    }
    quarantine.take_messages(at(9_000));
    assert!(!quarantine.is_quarantined(DEADLY), "one instance");
}

/// Guards against crashes of cold targets that don't count, so that a request goes on to
/// crash those that return, and against crashes by load alone that count as proof.
#[test]
fn verdict_cold() {
    for warm in 0..=3 {
        let mut quarantine = alone(RULES);
        for number in 1..=3 {
            let end = Break {
                fitness: match number <= warm {
                    true => Fitness::Warm,
                    false => Fitness::Cold,
                },
                ..CRASHED
            };
            let attempt = attempt(DEADLY, number, 100 * number - 50);
            quarantine.on_broken(attempt, end, at(100 * number));
            quarantine.on_list(|_| false, at(100 * number + 20));
        }
        quarantine.take_messages(at(1_000));
        assert_eq!(
            quarantine.is_quarantined(DEADLY),
            warm > 0,
            "{warm} warm ones"
        );
    }
}

/// Guards against a request that targets answer being refused, and against its earlier
/// crashes counting after an answer.
#[test]
fn on_answered_before_verdict() {
    let mut quarantine = alone(RULES);
    for number in 1..=3 {
        crash(
            &mut quarantine,
            DEADLY,
            number,
            100 * number - 50,
            100 * number,
        );
    }
    quarantine.on_answered(DEADLY, at(500));
    quarantine.take_messages(at(2_000));
    crash(&mut quarantine, DEADLY, 4, 10_450, 10_501);
    // Proven late: it ended before the answer.
    quarantine.on_broken(attempt(DEADLY, 5, 50), CRASHED, at(400));
    quarantine.on_list(|_| false, at(10_600));
    crash(&mut quarantine, DEADLY, 6, 10_650, 10_700);
    quarantine.take_messages(at(12_000));
    assert!(!quarantine.is_quarantined(DEADLY));
    crash(&mut quarantine, DEADLY, 7, 12_050, 12_100);
    quarantine.take_messages(at(14_000));
    assert!(quarantine.is_quarantined(DEADLY), "three crashes since");
}

/// Guards against a popular request that is refused because the last targets of its service
/// are lost one after the other and none is left to answer it.
#[test]
fn on_answered_shield() {
    let mut quarantine = alone(RULES);
    quarantine.on_answered(DEADLY, at(50));
    for number in 1..=8 {
        crash(
            &mut quarantine,
            DEADLY,
            number,
            1_000 * number,
            1_000 * number + 10,
        );
    }
    quarantine.take_messages(at(10_000));
    assert!(!quarantine.is_quarantined(DEADLY));
    assert_eq!(quarantine.sizes().crashes, 0);
}

/// Guards against a verdict that an answer to an attempt under way does not end, and
/// against one that holds again by the crashes before.
#[test]
fn on_answered_after_verdict() {
    let mut quarantine = quarantined();
    quarantine.on_answered(DEADLY, at(1_010));
    assert_eq!(quarantine.admit(DEADLY, at(1_011)), Admission::Open);
    quarantine.on_broken(attempt(DEADLY, 7, 900), CRASHED, at(1_005));
    quarantine.on_list(|_| false, at(1_020));
    assert_eq!(quarantine.sizes().crashes, 0);
    let happenings: Vec<_> = quarantine
        .take_events()
        .iter()
        .map(|e| e.happening)
        .collect();
    let expected = [Happening::Quarantined(3), Happening::Ended(Cause::Answered)];
    assert_eq!(happenings, expected);
}

/// Guards against refused callers that are told to return too early, against more than one
/// trial, and against trials that don't become rarer.
#[test]
fn admit_trials() {
    let mut quarantine = quarantined();
    let mut due = 1_000 + 600_000;
    assert_eq!(
        quarantine.admit(DEADLY, at(2_000)),
        Admission::Refused(due - 2_000)
    );
    for hold in [7_200_000, 86_400_000, 86_400_000] {
        assert_eq!(quarantine.refusal(DEADLY, at(due - 1)), Some(1));
        assert_eq!(quarantine.refusal(DEADLY, at(due)), None);
        assert_eq!(quarantine.admit(DEADLY, at(due)), Admission::Trial);
        assert_eq!(quarantine.admit(DEADLY, at(due)), Admission::Refused(hold));
        due += hold;
    }
    let listed = &quarantine.list(at(due - 5))[0];
    assert_eq!(
        (listed.trials, listed.trial, listed.refused),
        (3, Some(5), 7)
    );
    quarantine.on_answered(DEADLY, at(due - 1));
    assert_eq!(quarantine.admit(DEADLY, at(due)), Admission::Open);
}

/// Guards against several daemons that take a trial at the same time, and against a daemon
/// that takes one at the end of its turn, before the next one knows of it.
#[test]
fn admit_turns() {
    let hosts: Vec<HostName> = (0..5).map(|n| format!("h{n}").as_str().into()).collect();
    let verdict = Item::Verdict(wire::Verdict {
        digest: DEADLY.0,
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
        let begins = (1_000..26_000).find(|ms| quarantine.refusal(DEADLY, at(*ms)).is_none());
        let begins = begins.expect("each daemon has a turn");
        let ends = (begins..26_000).find(|ms| quarantine.refusal(DEADLY, at(*ms)).is_some());
        assert_eq!(ends.map_or(4_000, |ends| ends - begins), 4_000);
        turns.push(begins);
    }
    turns.sort_unstable();
    assert_eq!(turns, [1_000, 6_000, 11_000, 16_000, 21_000]);
}

/// Guards against an operator who can't end a verdict, and against crashes from before that
/// count afterwards.
#[test]
fn lift_known() {
    let mut quarantine = quarantined();
    assert!(!quarantine.lift(Digest(1), at(1_100)));
    assert!(quarantine.lift(DEADLY, at(1_100)));
    assert!(!quarantine.lift(DEADLY, at(1_100)));
    assert_eq!(quarantine.admit(DEADLY, at(1_101)), Admission::Open);
    assert_eq!(quarantine.list(at(1_100))[0].ended, Some(Cause::Operator));
    for number in 4..=6 {
        let from = 1_000 * number;
        assert!(!quarantine.is_quarantined(DEADLY));
        crash(&mut quarantine, DEADLY, number, from, from + 10);
    }
    quarantine.take_messages(at(9_000));
    assert!(quarantine.is_quarantined(DEADLY));
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
            DEADLY,
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
    crash(&mut quarantine, DEADLY, 3, 22_000, 22_010);
    quarantine.take_messages(at(22_500));
    quarantine.take_messages(at(23_000));
    assert!(quarantine.is_quarantined(DEADLY));
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
            DEADLY,
            number,
            200 * number,
            200 * number + 10,
        );
        exchange(&mut daemons, 200 * number + 40);
    }
    for now in [900, 1_000, 1_100, 1_250] {
        exchange(&mut daemons, now);
    }
    assert!(daemons.iter().all(|daemon| daemon.is_quarantined(DEADLY)));
    let hosts: Vec<HostName> = (0..20).map(|n| format!("h{n}").as_str().into()).collect();
    daemons[7] = Quarantine::new(hosts[7].clone(), RULES, at(2_000));
    assert!(!daemons[7].is_settled(at(2_000)));
    daemons[7].on_daemons(hosts, at(2_010));
    for now in [2_010, 2_020, 2_030] {
        exchange(&mut daemons, now);
    }
    assert!(daemons[7].is_settled(at(2_030)));
    assert!(daemons[7].is_quarantined(DEADLY));
    assert!(daemons[3].lift(DEADLY, at(3_000)));
    exchange(&mut daemons, 3_000);
    exchange(&mut daemons, 3_001);
    assert!(!daemons.iter().any(|daemon| daemon.is_quarantined(DEADLY)));
}

/// Guards against crashes that are lost with the collectors that knew them.
#[test]
fn daemons_lost_collectors() {
    let mut daemons = together(8);
    crash(&mut daemons[0], DEADLY, 1, 100, 110);
    crash(&mut daemons[1], DEADLY, 2, 200, 210);
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
    crash(&mut daemons[0], DEADLY, 3, 3_000, 3_010);
    for now in [3_040, 3_050, 3_200, 3_500, 3_700, 3_900] {
        exchange(&mut daemons, now);
    }
    for (number, daemon) in daemons.iter().enumerate() {
        assert!(
            lost.contains(&number) || daemon.is_quarantined(DEADLY),
            "{number}"
        );
    }
}

/// Something that happens to the system, after which it runs for a while.
#[derive(Clone, Debug)]
enum Step {
    Run,
    Pace(u64),
    Split(usize, usize, bool),
    Cut(usize),
    Network(u64, u64),
    Restart(usize, u64),
    LoseDomain(usize),
    Reset(usize, usize, u64),
    Heal,
}

struct Steps;

impl ReferenceStateMachine for Steps {
    type State = u64;
    type Transition = (Step, u64);

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<(Step, u64)> {
        let (daemon, domain) = (0..world::DAEMONS, 0..world::DOMAINS);
        let pace = prop_oneof![Just(30_u64), Just(300), Just(1_500), Just(6_000)];
        let step = prop_oneof![
            3 => Just(Step::Run),
            2 => pace.prop_map(Step::Pace),
            1 => (daemon.clone(), daemon.clone(), any::<bool>()).prop_map(|(a, b, split)| Step::Split(a, b, split)),
            1 => daemon.clone().prop_map(Step::Cut),
            2 => (0..16_u64, 0..6_u64).prop_map(|(loss, late)| Step::Network(loss, late)),
            1 => (daemon.clone(), 100..3_000_u64).prop_map(|(daemon, ms)| Step::Restart(daemon, ms)),
            2 => (0..world::DOMAINS).prop_map(Step::LoseDomain),
            3 => (daemon, domain, 0..500_u64).prop_map(|(daemon, domain, ms)| Step::Reset(daemon, domain, ms)),
            2 => Just(Step::Heal),
        ];
        (step, prop_oneof![1..400_u64, 1..3_000_u64]).boxed()
    }

    fn apply(state: u64, _: &(Step, u64)) -> u64 {
        state
    }
}

struct Model;

impl StateMachineTest for Model {
    type SystemUnderTest = world::World;
    type Reference = Steps;

    fn init_test(seed: &u64) -> world::World {
        let mut world = world::World::new(*seed);
        world.deadly_ms = [30, 300, 1_500, 6_000][(seed % 4) as usize];
        world
    }

    fn apply(mut world: world::World, _: &u64, (step, ms): (Step, u64)) -> world::World {
        match step {
            Step::Run => {}
            Step::Pace(ms) => world.deadly_ms = ms,
            Step::Split(a, b, split) => world.set_split(a, b, split),
            Step::Cut(daemon) => (0..world::DAEMONS).for_each(|n| world.set_split(daemon, n, true)),
            Step::Network(loss, late) => (world.loss, world.late) = (loss, late),
            Step::Restart(daemon, ms) => world.restart(daemon, ms),
            Step::LoseDomain(domain) => world.lose_domain(domain),
            Step::Reset(daemon, domain, ms) => world.reset(daemon, domain, ms),
            Step::Heal => world.heal(),
        }
        world.run(ms);
        world
    }

    fn teardown(mut world: world::World) {
        world.heal();
        world.deadly_ms = 300;
        world.run(15_000);
        for deadly in 0..world::DEADLY {
            assert_eq!(world.refusing(deadly), world::DAEMONS, "request {deadly}");
        }
        // An operator ends one; the other ends by a trial, once targets answer it.
        world.deadly = false;
        assert!(world.lift(1, 1));
        world.run(1_000);
        assert_eq!(world.refusing(1), 0);
        world.skip(world::HOLD_MS);
        world.run(30_000);
        assert_eq!(world.refusing(0), 0);
    }
}

fn number(name: &str, default: u64) -> u64 {
    let set = env::var(name).ok();
    set.map_or(default, |text| text.parse().expect(name))
}

/// Guards against a deadly request that daemons in touch send to targets more often than
/// the rule allows, against a popular request that is refused because targets crash beside
/// it, against memory above the bounds, and against verdicts that do not end, under lost
/// and late datagrams, partitions, restarts, lost failure domains and links that reset.
#[test]
fn daemons_history() {
    let cases = number("PISTACHIOMOOR_FUZZ_CASES", CASES);
    let seed = number("PISTACHIOMOOR_FUZZ_SEED", SEED);
    let config = Config {
        cases: cases as u32,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 20,
        ..Config::default()
    };
    let mut runner = TestRunner::new(config.clone());
    let steps = Steps::sequential_strategy(1..24);
    let result = runner.run(&steps, |(state, steps, seen)| {
        Model::test_sequential(config.clone(), state, steps, seen);
        Ok(())
    });
    if let Err(error) = result {
        panic!("seed {seed}, {cases} cases: {error}");
    }
    let counts = [
        ("crashes", &world::CRASHES),
        ("events of verdicts", &world::VERDICTS),
        ("broken innocent attempts", &world::INNOCENT_BREAKS),
        ("resets", &world::RESETS),
    ];
    for (name, count) in counts {
        let count = count.load(Ordering::Relaxed);
        println!("{name}: {count}");
        assert!(count > cases, "the model saw only {count} {name}");
    }
}

/// Guards against trials that several daemons send, or that the daemons go on sending, to
/// targets that the request still crashes.
#[test]
fn daemons_trials() {
    for seed in 1..=4 {
        let mut world = world::World::new(seed);
        world.deadly_ms = 100;
        world.run(10_000);
        for skip in [world::HOLD_MS, 12 * world::HOLD_MS] {
            let before: Vec<_> = (0..world::DEADLY)
                .map(|deadly| world.oracle(deadly).sends())
                .collect();
            world.skip(skip);
            world.run(40_000);
            for (deadly, before) in before.into_iter().enumerate() {
                let sends = world.oracle(deadly).sends();
                assert_eq!(sends, before + 1, "seed {seed}, after {skip} ms");
                assert_eq!(world.refusing(deadly), world::DAEMONS);
            }
        }
    }
}
