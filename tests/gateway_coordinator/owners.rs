//! Owners that do not answer, refuse connections, restart, or are no longer listed.

use pistachiomoor::clock::Millis;
use pistachiomoor::gateway::coordinator;
use pistachiomoor::model;

use super::rig::{
    EARLIER_EXTENDED_HOLD_MS, EXTENDED_HOLD_MS, NORMAL_HOLD_MS, Rig, call_of, done, grant_of,
    is_for, is_release, member, owner, ready, services,
};

/// Guards against a wait for an unresponsive owner that is too short (two owners) or
/// too long (keys without an owner).
#[test]
fn poll_silent_owner_waits_exactly() {
    let mut rig = Rig::new(vec![ready("a"), ready("b")]);
    // There is no wait for leases of an earlier coordinator, since this coordinator wrote the
    // first record.
    rig.run(6_000, done);
    let moved = rig
        .runs()
        .into_iter()
        .find(|run| run.owner == Some(owner("a", 1)));
    let range = moved.unwrap().range;
    let reply = |order: &coordinator::Action| {
        let unanswered = is_for(order, "a");
        Some(if unanswered {
            coordinator::OrderOutcome::Unanswered
        } else {
            coordinator::OrderOutcome::Done(None)
        })
    };
    let orders = rig.run(8_000, reply);
    let grants_to_a = orders
        .iter()
        .filter(|(_, o)| is_for(o, "a") && grant_of(o).is_some());
    let last = grants_to_a.map(|(at, _)| *at).max().unwrap();
    let granted = orders.iter().find(|(_, o)| {
        is_for(o, "b") && grant_of(o).is_some_and(|grant| grant.range.contains(range.first))
    });
    assert_eq!(granted.unwrap().0, last + NORMAL_HOLD_MS);
    assert!(
        orders.iter().any(|(_, o)| is_release(o)),
        "no release was sent"
    );
}

/// Guards against two owners of a key when a grant arrives shortly before it times out
/// (seen in a platform run with a saturated link: grown skyfuel, day 2f2a).
#[test]
fn on_ordered_grant_unanswered_in_flight() {
    let mut rig = Rig::new(vec![ready("a"), ready("b")]);
    rig.run(6_000, done);
    let mut pending: Vec<(u64, u64)> = Vec::new();
    let (mut timed_out, mut granted) = (0, None);
    let reply = |order: &coordinator::Action| match order {
        coordinator::Action::Grant { .. } if is_for(order, "a") => None,
        _ if is_for(order, "a") => Some(coordinator::OrderOutcome::Unanswered),
        _ => Some(coordinator::OrderOutcome::Done(None)),
    };
    for _ in 0..9_000 {
        let now = rig.now;
        let due: Vec<_> = pending.extract_if(.., |(at, _)| *at + 700 <= now).collect();
        for (_, call) in due {
            rig.coordinator
                .on_ordered(Millis(now), call, coordinator::OrderOutcome::Unanswered);
            timed_out = now;
        }
        for (at, order) in rig.run(1, reply) {
            if is_for(&order, "a") && !is_release(&order) {
                pending.push((at, call_of(&order)));
            }
            let moved = grant_of(&order).is_some_and(|grant| grant.fence > 1);
            if is_for(&order, "b") && moved && granted.is_none() {
                granted = Some((at, timed_out));
            }
        }
    }
    let (at, timed_out) = granted.expect("the keys were granted to no target");
    assert!(at >= timed_out + NORMAL_HOLD_MS, "{at} after {timed_out}");
}

fn refuse(
    name: &'static str,
) -> impl FnMut(&coordinator::Action) -> Option<coordinator::OrderOutcome> {
    move |order| {
        Some(if is_for(order, name) {
            coordinator::OrderOutcome::ConnectionRefused
        } else {
            coordinator::OrderOutcome::Done(None)
        })
    }
}

/// Returns the times of the first grant of the first key to `name` and of the last grant
/// of it to `other`, if there are any.
fn grants_around(
    orders: &[(u64, coordinator::Action)],
    name: &str,
    other: &str,
) -> (Option<u64>, Option<u64>) {
    let holds = |order: &coordinator::Action| grant_of(order).is_some_and(|g| g.range.contains(0));
    let first = orders.iter().find(|(_, o)| is_for(o, name) && holds(o));
    let last = orders.iter().rfind(|(_, o)| is_for(o, other) && holds(o));
    (first.map(|(at, _)| *at), last.map(|(at, _)| *at))
}

/// Guards against two owners of a key when the network refuses connections to a target that
/// works: neither repeated refusals nor a list between them that shows it as ready end the
/// wait for its lease, which must not be longer either.
#[test]
fn poll_refused_listed_waits_exactly() {
    let mut rig = Rig::new(vec![ready("a"), ready("b")]);
    let orders = rig.run(6_000, done);
    let last = grants_around(&orders, "b", "a").1.unwrap();
    let mut orders = Vec::new();
    for _ in 0..50 {
        orders.extend(rig.run(100, refuse("a")));
        let members = vec![ready("a"), ready("b")];
        rig.coordinator
            .on_targets(Millis(rig.now), members, services());
    }
    let (first, again) = grants_around(&orders, "b", "a");
    let first = first.expect("the key was not reassigned");
    let end = again.unwrap_or(last) + NORMAL_HOLD_MS;
    assert_eq!(first, end, "the lease ends at {end}");
    assert_eq!(rig.keys_of("b"), 65_536);
}

/// Guards against taking two refused connections as proof that the process has ended if
/// the target answered between them.
#[test]
fn poll_refused_answered_refused_waits() {
    let mut rig = Rig::new(vec![ready("a"), ready("b")]);
    let orders = rig.run(6_000, done);
    let last = grants_around(&orders, "b", "a").1.unwrap();
    rig.run(1_100, refuse("a"));
    rig.run(1_100, |order| match is_for(order, "a") {
        true => Some(coordinator::OrderOutcome::Rejected),
        false => Some(coordinator::OrderOutcome::Done(None)),
    });
    let members = vec![ready("a"), ready("b")];
    rig.coordinator
        .on_targets(Millis(rig.now), members, services());
    let orders = rig.run(3_000, refuse("a"));
    let first = grants_around(&orders, "b", "a")
        .0
        .expect("the key was not reassigned");
    assert!(first >= last + NORMAL_HOLD_MS, "{first} after {last}");
}

/// Guards against a wait for the earlier incarnation of a restarted target.
#[test]
fn on_targets_restarted_moves_at_once() {
    let mut rig = Rig::new(vec![ready("b")]);
    rig.run(6_000, done);
    let mut restarted = ready("b");
    restarted.owner.birth = 2;
    let fence = rig.runs()[0].fence;
    rig.coordinator
        .on_targets(Millis(rig.now), vec![restarted], services());
    let orders = rig.run(5, done);
    let run = &rig.runs()[0];
    assert_eq!(
        (&run.owner, run.previous_owner.is_none()),
        (&Some(owner("b", 2)), true)
    );
    assert!(run.fence > fence && grant_of(&orders[0].1).is_some());
}

/// Guards against two owners of a key when a target closes its listener and still works,
/// whatever the list shows of it.
#[test]
fn poll_refused_without_proof_waits() {
    let draining = member("a", 1.0, coordinator::MemberState::Draining);
    let unlisted = member("a", 1.0, coordinator::MemberState::Unlisted);
    for entry in [Some(ready("a")), Some(draining), Some(unlisted), None] {
        let mut rig = Rig::new(vec![ready("a"), ready("b")]);
        let mut orders = rig.run(6_000, done);
        let last = grants_around(&orders, "b", "a").1.unwrap();
        orders = Vec::new();
        for _ in 0..60 {
            orders.extend(rig.run(100, refuse("a")));
            let members = entry.iter().cloned().chain([ready("b")]).collect();
            rig.coordinator
                .on_targets(Millis(rig.now), members, services());
        }
        let (first, again) = grants_around(&orders, "b", "a");
        let end = again.unwrap_or(last) + NORMAL_HOLD_MS;
        let first = first.expect("the key was not reassigned");
        assert!(first >= end, "{entry:?}: {first} before {end}");
        assert!(first <= end + 100, "{entry:?}: {first} after {end}");
    }
}

fn ignore(
    name: &'static str,
) -> impl FnMut(&coordinator::Action) -> Option<coordinator::OrderOutcome> {
    move |order| {
        Some(if is_for(order, name) {
            coordinator::OrderOutcome::Unanswered
        } else {
            coordinator::OrderOutcome::Done(None)
        })
    }
}

/// Guards against two owners of a key when the entry of a running target that holds keys
/// is missing from the list: a missing entry does not prove that the process has ended.
#[test]
fn on_targets_unlisted_owner_waits() {
    let mut rig = Rig::new(vec![ready("a"), ready("b")]);
    let orders = rig.run(6_000, done);
    let last = grants_around(&orders, "b", "a").1.unwrap();
    rig.coordinator
        .on_targets(Millis(rig.now), vec![ready("b")], services());
    let orders = rig.run(5_000, ignore("a"));
    assert_eq!(
        grants_around(&orders, "b", "a"),
        (Some(last + NORMAL_HOLD_MS), None)
    );
}

/// Guards against ignoring an extended lease when the log answers again and the target's
/// entry has expired.
#[test]
fn on_targets_unlisted_owner_after_outage() {
    let mut rig = Rig::new(vec![ready("a"), ready("b")]);
    rig.run(6_000, done);
    rig.log_up = false;
    let orders = rig.run(6_000, done);
    let last = grants_around(&orders, "b", "a").1.unwrap();
    rig.coordinator.on_read_failed(Millis(rig.now));
    rig.log_up = true;
    rig.coordinator
        .on_targets(Millis(rig.now), vec![ready("b")], services());
    let orders = rig.run(8_000, ignore("a"));
    assert_eq!(
        grants_around(&orders, "b", "a"),
        (Some(last + EXTENDED_HOLD_MS), None)
    );
}

/// Guards against a new coordinator that reassigns the keys of an owner missing from its list
/// while leases of the earlier coordinator may last.
#[test]
fn on_targets_unlisted_owner_after_takeover() {
    let mut old = Rig::new(vec![ready("a"), ready("b")]);
    old.run(10, done);
    let table = old.coordinator.table().cloned();
    let incarnation = model::Incarnation(2);
    let mut rig = Rig::new(Vec::new());
    rig.coordinator = coordinator::Coordinator::new("h1".into(), incarnation, Millis(0));
    rig.coordinator.poll(Millis(0), 0);
    let (offset, end) = (model::Offset(0), model::Offset(1));
    rig.coordinator
        .on_record(Millis(1), Millis(0), offset, end, table);
    (rig.now, rig.end) = (1, 1);
    rig.coordinator
        .on_targets(Millis(rig.now), vec![ready("b")], services());
    while rig.tables.is_empty() {
        rig.run(1, ignore("a"));
        assert!(rig.now < 5_000, "the daemon did not take over");
    }
    let term = rig.now - 1;
    // "a" answers grants, so that it is not ejected before the list counts as current.
    let orders = rig.run(15_000, |order| match order {
        coordinator::Action::Release { .. } => Some(coordinator::OrderOutcome::Unanswered),
        _ => Some(coordinator::OrderOutcome::Done(None)),
    });
    let first = grants_around(&orders, "b", "a").0;
    let earliest = term + coordinator::AUTHORITY_MS + EARLIER_EXTENDED_HOLD_MS;
    assert!(first >= Some(earliest), "{first:?} before {earliest}");
    assert!(first <= Some(earliest + 100), "{first:?} after {earliest}");
}

/// Guards against waits whose end does not say on what evidence keys move, so that
/// operators can't tell a lease that ended from a shortcut.
#[test]
fn take_freed_evidence() {
    let evidence = |rig: &mut Rig| -> Vec<_> {
        let freed = rig.coordinator.take_freed().into_iter();
        freed.map(|freed| (freed.owner, freed.evidence)).collect()
    };
    let mut rig = Rig::new(vec![ready("a"), ready("b")]);
    rig.run(6_000, done);
    rig.coordinator.take_freed();
    rig.run(8_000, ignore("a"));
    assert_eq!(
        evidence(&mut rig),
        [(owner("a", 1), coordinator::Evidence::LeaseEnded)]
    );
    let draining = member("b", 1.0, coordinator::MemberState::Draining);
    let members = vec![draining, ready("c")];
    let now = Millis(rig.now);
    rig.coordinator.on_targets(now, members, services());
    rig.run(100, done);
    let freed = evidence(&mut rig);
    let released = (owner("b", 1), coordinator::Evidence::Released);
    assert!(!freed.is_empty() && freed.iter().all(|freed| *freed == released));
    let leaving = member("c", 1.0, coordinator::MemberState::Draining);
    let now = Millis(rig.now);
    rig.coordinator
        .on_targets(now, vec![leaving, ready("d")], services());
    rig.run(100, ignore("c"));
    assert_eq!(evidence(&mut rig), []);
    // The new process of a target that restarts may have accepted a grant meant for the
    // former one, so that it has to release the keys as well.
    let mut restarted = ready("c");
    restarted.owner.birth = 2;
    let now = Millis(rig.now);
    rig.coordinator
        .on_targets(now, vec![restarted, ready("d")], services());
    let orders = rig.run(1_000, done);
    let release = orders.iter().find(|(_, order)| is_release(order));
    assert!(is_for(&release.expect("no release").1, "c"));
    let freed = evidence(&mut rig);
    let released = (owner("c", 1), coordinator::Evidence::Released);
    assert!(!freed.is_empty() && freed.iter().all(|freed| *freed == released));
}

/// Guards against keys that nobody serves for the time of a lease since their move began
/// while a grant to the former owner was under way.
#[test]
fn poll_move_during_grant() {
    let mut rig = Rig::new(vec![ready("a")]);
    rig.run(2_000, done);
    // A renewal is sent and stays unanswered while the move is recorded.
    let mut pending = None;
    while pending.is_none() {
        let orders = rig.run(1, |_| None);
        let grant = orders.iter().find(|(_, order)| grant_of(order).is_some());
        pending = grant.map(|(_, order)| call_of(order));
    }
    let members = vec![
        member("a", 1.0, coordinator::MemberState::Draining),
        ready("b"),
    ];
    rig.coordinator
        .on_targets(Millis(rig.now), members, services());
    let mut orders = rig.run(20, done);
    let answer = coordinator::OrderOutcome::Done(None);
    rig.coordinator
        .on_ordered(Millis(rig.now), pending.unwrap(), answer);
    let answered = rig.now;
    orders.extend(rig.run(5_000, done));
    let released = orders.iter().find(|(_, order)| is_release(order)).unwrap();
    assert!(released.0 >= answered, "released before the answer");
    let granted = orders
        .iter()
        .find(|(_, order)| grant_of(order).is_some() && is_for(order, "b"));
    let waited = granted.unwrap().0 - answered;
    assert!(waited <= 50, "granted {waited} ms after the answer");
}

/// Guards against two owners of a key when a target restarts at its address and, before its
/// newer birth is read from the list, accepts a grant meant for its former process. An order
/// names the target and not its birth, so that the answer does not tell which one it was.
#[test]
fn on_targets_restarted_after_answered_grant_waits() {
    for answers_release in [true, false] {
        let mut rig = Rig::new(vec![ready("a"), ready("b")]);
        rig.run(6_000, done);
        // The former process ends between two renewals; the new one accepts the next grant.
        let orders = rig.run(1_100, done);
        let last = grants_around(&orders, "b", "a").1.expect("no renewal");
        let mut restarted = member("a", 1.0, coordinator::MemberState::Cold);
        restarted.owner.birth = 2;
        let members = vec![restarted, ready("b")];
        let at = rig.now;
        rig.coordinator.on_targets(Millis(at), members, services());
        let orders = rig.run(6_000, |order| match is_release(order) {
            true if !answers_release => Some(coordinator::OrderOutcome::Unanswered),
            _ => Some(coordinator::OrderOutcome::Done(None)),
        });
        let first = grants_around(&orders, "b", "a").0.expect("not reassigned");
        let release = orders.iter().find(|(_, o)| is_release(o) && is_for(o, "a"));
        let release = release.expect("no release").0;
        match answers_release {
            true => assert!(at <= release && release <= first && first <= release + 100),
            false => assert_eq!(first, last + NORMAL_HOLD_MS),
        }
    }
}
