//! One move of shards: when its target can no longer answer for them, and how the move ends.

use std::sync::Arc;

use pistachiomoor::clock::Millis;
use pistachiomoor::model;
use pistachiomoor::target::grants::Grants;
use pistachiomoor::target::transfer::{Command, Decision, Event, Facts, Outcome, Phase, Transfer};
use pistachiomoor::target::transfer::{DEFER_TIMEOUT_MS, DRAIN_TIMEOUT_MS};
use pistachiomoor::target::wire;

const LEASE: model::Offset = model::Offset(7);

fn facts() -> Facts {
    Facts {
        lease: Some(LEASE),
        lost: false,
        frozen: false,
        running: 0,
        confirmed: None,
        lapsed: Millis(400),
        movable: Millis(0),
        orphans: Millis(0),
    }
}

fn start(checks: bool, deferrable: bool) -> Transfer {
    Transfer::new(Millis(100), LEASE, checks, deferrable)
}

fn step_facts(transfer: &mut Transfer, now: u64, facts: Facts) -> Vec<Command> {
    transfer.step(Millis(now), Event::Facts(facts))
}

fn proposes(transfer: &mut Transfer, now: u64, facts: Facts) -> bool {
    step_facts(transfer, now, facts).contains(&Command::Propose(LEASE))
}

#[test]
fn step_busy_when_deferrable() {
    // Fails if a deferrable move blocks shards with running requests for longer than
    // the quick drain.
    let mut transfer = start(true, true);
    let busy = Facts {
        running: 1,
        ..facts()
    };
    assert_eq!(
        step_facts(&mut transfer, 100 + DEFER_TIMEOUT_MS - 1, busy),
        []
    );
    let end = [Command::End(Outcome::Busy)];
    assert_eq!(step_facts(&mut transfer, 100 + DEFER_TIMEOUT_MS, busy), end);
}

#[test]
fn step_waits_for_confirmation_after_withdrawal() {
    // Fails if a reply to a message sent before the withdrawal, which says nothing
    // about requests started since, counts as confirmation.
    let mut transfer = start(true, false);
    let stale = Facts {
        confirmed: Some(Millis(100)),
        ..facts()
    };
    let commands = step_facts(&mut transfer, 100, stale);
    assert_eq!(commands, [Command::Withdraw, Command::Renew]);
    assert!(!proposes(&mut transfer, 110, stale));
    let current = Facts {
        confirmed: Some(Millis(101)),
        ..facts()
    };
    assert!(proposes(&mut transfer, 120, current));
}

#[test]
fn step_target_recovers_midway() {
    // Fails if a target that was lost and has recovered counts as stopped at the
    // old expiry of its grants, although it may have received new ones since.
    let mut transfer = start(true, false);
    let lost = Facts {
        lost: true,
        ..facts()
    };
    assert!(!proposes(&mut transfer, 409, lost));
    assert!(!proposes(&mut transfer, 410, facts()));
    let lost_again = Facts {
        lapsed: Millis(900),
        ..lost
    };
    assert!(!proposes(&mut transfer, 909, lost_again));
    assert!(proposes(&mut transfer, 910, lost_again));
}

#[test]
fn step_lost_waits_for_earlier_holders() {
    // Fails if the move is proposed before an earlier holder's grants have expired.
    let mut transfer = start(true, false);
    let lost = Facts {
        lost: true,
        movable: Millis(700),
        ..facts()
    };
    assert!(!proposes(&mut transfer, 709, lost));
    assert!(proposes(&mut transfer, 710, lost));
}

#[test]
fn step_lost_waits_for_orphans() {
    // Fails if a request of an earlier holder, which still runs at an unresponsive
    // target, overlaps one at the new owner.
    let mut transfer = start(true, false);
    let lost = Facts {
        lost: true,
        movable: Millis(700),
        orphans: Millis(30_700),
        ..facts()
    };
    assert!(!proposes(&mut transfer, 30_709, lost));
    assert!(proposes(&mut transfer, 30_710, lost));
}

#[test]
fn step_lost_waits_for_admitted_requests() {
    // Fails if a request that started under a grant, and still runs at a
    // partitioned target, overlaps one at the new owner.
    let mut transfer = start(true, false);
    let busy = Facts {
        running: 1,
        ..facts()
    };
    assert!(!proposes(&mut transfer, 100, busy));
    assert_eq!(transfer.phase(), Phase::Draining);
    assert!(!proposes(
        &mut transfer,
        1_900,
        Facts { lost: true, ..busy }
    ));
    let lost = Facts {
        lost: true,
        ..facts()
    };
    assert!(proposes(&mut transfer, 1_910, lost));
}

#[test]
fn step_without_checks_waits_for_admitted_requests() {
    // Fails if an admitted request that is not yet sent can reach a target without
    // checks after its shard has moved.
    for lost in [false, true] {
        let mut transfer = start(false, false);
        let unsent = Facts {
            lost,
            running: 1,
            confirmed: Some(Millis(101)),
            ..facts()
        };
        assert!(!proposes(&mut transfer, 100, unsent));
        assert!(!proposes(&mut transfer, 5_000, unsent));
        let ended = Facts {
            running: 0,
            confirmed: Some(Millis(5_000)),
            ..unsent
        };
        assert!(proposes(&mut transfer, 5_010, ended));
    }
}

#[test]
fn step_cancels_after_drain_timeout() {
    // Fails if a request that never ends blocks a move forever.
    let mut transfer = start(true, false);
    let busy = Facts {
        running: 1,
        confirmed: Some(Millis(102)),
        ..facts()
    };
    assert!(!proposes(&mut transfer, 100, busy));
    assert!(!proposes(&mut transfer, 100 + DRAIN_TIMEOUT_MS - 1, busy));
    let commands = step_facts(&mut transfer, 100 + DRAIN_TIMEOUT_MS, busy);
    assert!(commands.contains(&Command::Cancel));
    assert!(commands.contains(&Command::Propose(LEASE)));
}

#[test]
fn step_undecided_keeps_shards_blocked() {
    // Fails if shards are unblocked while the move's record may still take effect.
    let mut transfer = start(true, false);
    let stopped = Facts {
        confirmed: Some(Millis(101)),
        ..facts()
    };
    step_facts(&mut transfer, 100, facts());
    for now in [200, 2_300, 4_400, 6_500] {
        assert!(proposes(&mut transfer, now, stopped));
        assert_eq!(step_facts(&mut transfer, now + 1_000, facts()), []);
        let decided = Event::Decided(Decision::Undecided);
        assert_eq!(transfer.step(Millis(now + 2_000), decided), []);
    }
    assert!(proposes(&mut transfer, 8_700, facts()));
    let decided = Event::Decided(Decision::Rejected);
    let end = [Command::End(Outcome::Rejected)];
    assert_eq!(transfer.step(Millis(8_800), decided), end);
}

#[test]
fn step_lease_changed_midway() {
    // Fails if a withdrawal under one lease leads to a move under another one, whose
    // holder has granted the shards again.
    for lease in [None, Some(model::Offset(9))] {
        let mut transfer = start(true, false);
        step_facts(&mut transfer, 100, facts());
        let changed = Facts {
            lease,
            confirmed: Some(Millis(101)),
            ..facts()
        };
        let end = [Command::End(Outcome::Abandoned)];
        assert_eq!(step_facts(&mut transfer, 120, changed), end);
    }
}

#[test]
fn has_list_not_confirmed_by_clock_reading() {
    // Fails if the reply to a message that only reads the clock, as sent to a lost
    // target, counts as confirmation of a list that was not sent.
    let list = |shard| -> Arc<[wire::Holding]> {
        Arc::from([wire::Holding {
            group: wire::group("orders").unwrap(),
            fence: model::Fence::at(LEASE),
            shards: [model::Shard::Range(shard)].into_iter().collect(),
        }])
    };
    let reply = |clock| wire::Reply {
        clock,
        running: 0,
        active: 0,
        queued: 0,
        state: wire::Condition::Warm,
    };
    let (old, new) = (list(1), list(2));
    let mut grants = Grants::new(LEASE);
    grants.prepare(Millis(100), 450, &old).unwrap();
    grants.on_reply(Millis(100), &reply(5_000));
    assert!(grants.has_list(&old));
    grants.prepare(Millis(200), 0, &new).unwrap();
    grants.on_reply(Millis(200), &reply(5_100));
    assert!(!grants.has_list(&new));
}

/// Guards against a frozen target without checks that resumes and runs requests
/// received before its shards moved.
#[test]
fn step_frozen_without_checks_keeps_shards() {
    let frozen = Facts {
        lost: true,
        frozen: true,
        ..facts()
    };
    let drained = Facts {
        frozen: false,
        ..frozen
    };
    let mut transfer = start(false, false);
    assert!(!proposes(&mut transfer, 60_000, frozen));
    assert!(proposes(&mut transfer, 60_010, drained));
    assert!(proposes(&mut start(true, false), 60_000, frozen));
}
