//! Owners that are silent, refuse connections, restart, or are no longer listed.

use pistachiomoor::clock::Millis;
use pistachiomoor::gateway::steward;
use pistachiomoor::model;

use super::rig::{
    Rig, call_of, done, grant_of, is_for, is_release, member, owner, ready, services,
};

/// Guards against a wait for a silent owner that is too short (two owners) or
/// too long (keys without an owner).
#[test]
fn poll_silent_owner_waits_exactly() {
    let mut rig = Rig::new(vec![ready("a"), ready("b")]);
    // The time in which leases of an earlier steward may last does not apply:
    // this steward wrote the first record.
    rig.run(6_000, done);
    let moved = rig
        .runs()
        .into_iter()
        .find(|run| run.owner == Some(owner("a", 1)));
    let range = moved.unwrap().range;
    let silent = |order: &steward::Action| {
        let silent = is_for(order, "a");
        Some(if silent {
            steward::Reply::Silent
        } else {
            steward::Reply::Done(None)
        })
    };
    let orders = rig.run(8_000, silent);
    let grants_to_a = orders
        .iter()
        .filter(|(_, o)| is_for(o, "a") && grant_of(o).is_some());
    let last = grants_to_a.map(|(at, _)| *at).max().unwrap();
    let taken = orders.iter().find(|(_, o)| {
        is_for(o, "b") && grant_of(o).is_some_and(|grant| grant.range.contains(range.first))
    });
    assert_eq!(taken.unwrap().0, last + 3_062 + 300);
    assert!(
        orders.iter().any(|(_, o)| is_release(o)),
        "it was not asked"
    );
}

/// Guards against two owners when a grant arrives shortly before it is given up
/// (seen on the platform: grown skyfuel, drawn day 2f2a, a link that is full).
#[test]
fn on_ordered_silent_late() {
    let mut rig = Rig::new(vec![ready("a"), ready("b")]);
    rig.run(6_000, done);
    let mut open: Vec<(u64, u64)> = Vec::new();
    let (mut given_up, mut taken) = (0, None);
    let reply = |order: &steward::Action| match order {
        steward::Action::Grant { .. } if is_for(order, "a") => None,
        _ if is_for(order, "a") => Some(steward::Reply::Silent),
        _ => Some(steward::Reply::Done(None)),
    };
    for _ in 0..9_000 {
        let now = rig.now;
        let due: Vec<_> = open.extract_if(.., |(at, _)| *at + 700 <= now).collect();
        for (_, call) in due {
            rig.steward
                .on_ordered(Millis(now), call, steward::Reply::Silent);
            given_up = now;
        }
        for (at, order) in rig.run(1, reply) {
            if is_for(&order, "a") && !is_release(&order) {
                open.push((at, call_of(&order)));
            }
            let moved = grant_of(&order).is_some_and(|grant| grant.fence > 1);
            if is_for(&order, "b") && moved && taken.is_none() {
                taken = Some((at, given_up));
            }
        }
    }
    let (at, given_up) = taken.expect("the keys were given to nobody");
    assert!(at >= given_up + 3_062 + 300, "{at} after {given_up}");
}

fn refuse(name: &'static str) -> impl FnMut(&steward::Action) -> Option<steward::Reply> {
    move |order| {
        Some(if is_for(order, name) {
            steward::Reply::Refused
        } else {
            steward::Reply::Done(None)
        })
    }
}

/// Returns the time of the first grant for `name` that holds the first key, if
/// there is one, and that of the last grant for the other target.
fn taken(orders: &[(u64, steward::Action)], name: &str, other: &str) -> (Option<u64>, Option<u64>) {
    let holds = |order: &steward::Action| grant_of(order).is_some_and(|g| g.range.contains(0));
    let first = orders.iter().find(|(_, o)| is_for(o, name) && holds(o));
    let last = orders.iter().rfind(|(_, o)| is_for(o, other) && holds(o));
    (first.map(|(at, _)| *at), last.map(|(at, _)| *at))
}

/// Guards against a wait for a process that has ended, and against a proof
/// from fewer than two refusals.
#[test]
fn poll_refused_twice_moves_at_once() {
    let mut rig = Rig::new(vec![ready("a"), ready("b")]);
    rig.run(6_000, done);
    rig.run(1_100, refuse("a"));
    let listed = Some(Millis(rig.now));
    let members = vec![ready("a"), ready("b")];
    rig.steward
        .on_targets(Millis(rig.now), listed, members, services());
    let at = rig.now;
    let orders = rig.run(2_000, refuse("a"));
    let second = orders.iter().find(|(_, o)| is_for(o, "a")).unwrap().0;
    let first = taken(&orders, "b", "a").0.expect("not given away");
    assert!(at <= second && second <= first, "{second} {first}");
    assert!(
        first < at + 500,
        "the proof came at {second}, keys moved at {first}"
    );
    assert_eq!(rig.keys_of("b"), 65_536);
}

/// Guards against a proof from refusals between which the target answered.
#[test]
fn poll_refused_answered_refused_waits() {
    let mut rig = Rig::new(vec![ready("a"), ready("b")]);
    let orders = rig.run(6_000, done);
    let last = taken(&orders, "b", "a").1.unwrap();
    rig.run(1_100, refuse("a"));
    rig.run(1_100, |order| match is_for(order, "a") {
        true => Some(steward::Reply::Rejected),
        false => Some(steward::Reply::Done(None)),
    });
    let listed = Some(Millis(rig.now));
    let members = vec![ready("a"), ready("b")];
    rig.steward
        .on_targets(Millis(rig.now), listed, members, services());
    let orders = rig.run(3_000, refuse("a"));
    let first = taken(&orders, "b", "a").0.expect("not given away");
    assert!(first >= last + 3_062 + 300, "{first} after {last}");
}

/// Guards against a wait for the earlier birth of a target.
#[test]
fn on_targets_reborn_moves_at_once() {
    let mut rig = Rig::new(vec![ready("b")]);
    rig.run(6_000, done);
    let mut reborn = ready("b");
    reborn.owner.birth = 2;
    let fence = rig.runs()[0].fence;
    rig.steward
        .on_targets(Millis(rig.now), None, vec![reborn], services());
    let orders = rig.run(5, done);
    let run = &rig.runs()[0];
    assert_eq!(
        (&run.owner, run.prior.is_none()),
        (&Some(owner("b", 2)), true)
    );
    assert!(run.fence > fence && grant_of(&orders[0].1).is_some());
}

/// Guards against two owners when a target closes its listener and still works:
/// its list is not known, too old, or shows it as leaving or not at all.
#[test]
fn poll_refused_without_proof_waits() {
    let leaving = member("a", 1.0, steward::MemberState::Leaving);
    let gone = member("a", 1.0, steward::MemberState::Gone);
    for (listed, entry) in [
        (None, Some(ready("a"))),
        (Some(0), Some(ready("a"))),
        (Some(1), Some(leaving)),
        (Some(1), Some(gone)),
        (Some(1), None),
    ] {
        let mut rig = Rig::new(vec![ready("a"), ready("b")]);
        let mut orders = rig.run(6_000, done);
        let start = rig.now;
        let last = taken(&orders, "b", "a").1.unwrap();
        orders = Vec::new();
        for _ in 0..60 {
            orders.extend(rig.run(100, refuse("a")));
            let listed = listed.map(|fresh| Millis(if fresh == 1 { rig.now } else { start }));
            let members = entry.iter().cloned().chain([ready("b")]).collect();
            rig.steward
                .on_targets(Millis(rig.now), listed, members, services());
        }
        let (first, again) = taken(&orders, "b", "a");
        let end = again.unwrap_or(last) + 3_062 + 300;
        let first = first.expect("not given away");
        assert!(first >= end, "{listed:?} {entry:?}: {first} before {end}");
        assert!(
            first <= end + 100,
            "{listed:?} {entry:?}: {first} after {end}"
        );
    }
}

fn lose(name: &'static str) -> impl FnMut(&steward::Action) -> Option<steward::Reply> {
    move |order| {
        Some(if is_for(order, name) {
            steward::Reply::Silent
        } else {
            steward::Reply::Done(None)
        })
    }
}

/// Guards against two owners when the entry of a target that lives and holds
/// keys is missing from the list: no proof follows from a missing entry.
#[test]
fn on_targets_unlisted_owner_waits() {
    let mut rig = Rig::new(vec![ready("a"), ready("b")]);
    let orders = rig.run(6_000, done);
    let last = taken(&orders, "b", "a").1.unwrap();
    let listed = Some(Millis(rig.now));
    rig.steward
        .on_targets(Millis(rig.now), listed, vec![ready("b")], services());
    let orders = rig.run(5_000, lose("a"));
    assert_eq!(taken(&orders, "b", "a"), (Some(last + 3_062 + 300), None));
}

/// Guards against a lease of an outage that is forgotten when the log answers
/// again and the entry has expired.
#[test]
fn on_targets_unlisted_owner_after_outage() {
    let mut rig = Rig::new(vec![ready("a"), ready("b")]);
    rig.run(6_000, done);
    rig.log_up = false;
    let orders = rig.run(6_000, done);
    let last = taken(&orders, "b", "a").1.unwrap();
    rig.steward.on_unread(Millis(rig.now));
    rig.log_up = true;
    let listed = Some(Millis(rig.now));
    rig.steward
        .on_targets(Millis(rig.now), listed, vec![ready("b")], services());
    let orders = rig.run(8_000, lose("a"));
    assert_eq!(taken(&orders, "b", "a"), (Some(last + 10_205 + 300), None));
}

/// Guards against a new steward that gives away the keys of an owner missing
/// from its list while leases of the earlier steward may last.
#[test]
fn on_targets_unlisted_owner_after_takeover() {
    let mut old = Rig::new(vec![ready("a"), ready("b")]);
    old.run(10, done);
    let table = old.steward.table().cloned();
    let incarnation = model::Incarnation(2);
    let mut rig = Rig::new(Vec::new());
    rig.steward = steward::Steward::new("h1".into(), incarnation, Millis(0));
    rig.steward.poll(Millis(0), 0);
    let (offset, end) = (model::Offset(0), model::Offset(1));
    rig.steward
        .on_record(Millis(1), Millis(0), offset, end, table);
    (rig.now, rig.end) = (1, 1);
    let listed = Some(Millis(rig.now));
    rig.steward
        .on_targets(Millis(rig.now), listed, vec![ready("b")], services());
    while rig.tables.is_empty() {
        rig.run(1, lose("a"));
        assert!(rig.now < 5_000, "nobody took over");
    }
    let term = rig.now - 1;
    // Grants that "a" answers keep it from being silent before it is missing.
    let orders = rig.run(15_000, |order| match order {
        steward::Action::Release { .. } => Some(steward::Reply::Silent),
        _ => Some(steward::Reply::Done(None)),
    });
    let first = taken(&orders, "b", "a").0;
    let earliest = term + steward::RIGHT + 10_205 + 300;
    assert!(first >= Some(earliest), "{first:?} before {earliest}");
    assert!(first <= Some(earliest + 100), "{first:?} after {earliest}");
}
