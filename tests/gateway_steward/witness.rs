//! Longest leases, which need a majority, and what a new steward learns of them.

use pistachiomoor::clock::Millis;
use pistachiomoor::gateway::steward;
use pistachiomoor::model;

use super::rig::{Rig, done, grant_of, is_for, ready, services};

/// Daemons of the deployment, the steward included.
const LIVE: u32 = 5;

/// Lets a rig of [`LIVE`] daemons run into an outage, answered by `witnesses`
/// other daemons, and returns the longest lease that it gives.
fn longest_lease(witnesses: usize, shift: u64) -> u64 {
    let mut rig = Rig::new(vec![ready("a")]);
    rig.steward.on_daemons(LIVE);
    rig.run(2_500, done);
    rig.log_up = false;
    let mut longest = 0;
    for _ in 0..2_600 {
        let now = Millis(rig.now);
        if let Some(outage) = rig.steward.ask(now) {
            for witness in 1..=witnesses {
                let host = format!("h{witness}").as_str().into();
                rig.steward.on_acknowledged(now, host, outage - shift);
            }
        }
        let orders = rig.run(1, done);
        let leases = orders.iter().filter_map(|(_, order)| grant_of(order));
        longest = leases
            .map(|grant| grant.lease)
            .max()
            .unwrap_or(0)
            .max(longest);
    }
    longest
}

/// Guards against two owners when a steward that is cut off gives a lease that
/// the next one does not know of, and against leases that end in an outage that
/// a majority sees.
#[test]
fn poll_outage_needs_majority() {
    assert_eq!(longest_lease(0, 0), steward::HOLD);
    assert_eq!(longest_lease(1, 0), steward::HOLD);
    assert_eq!(longest_lease(2, 0), steward::LONGEST);
}

/// Guards against acknowledgements of an earlier outage that arrive late.
#[test]
fn on_acknowledged_other_outage() {
    assert_eq!(longest_lease(4, 1), steward::HOLD);
}

/// Guards against a question outside the time in which orders may be sent.
#[test]
fn ask_within_right() {
    let mut rig = Rig::new(vec![ready("a")]);
    rig.run(2_500, done);
    assert_eq!(rig.steward.ask(Millis(rig.now)), None);
    rig.log_up = false;
    let confirmed = rig.now - rig.steward.confirmed_age(Millis(rig.now)).unwrap();
    rig.run(4_000, done);
    assert_eq!(rig.steward.ask(Millis(confirmed + 1_399)), None);
    assert_eq!(rig.steward.ask(Millis(confirmed + 1_400)), Some(confirmed));
    assert_eq!(rig.steward.ask(Millis(confirmed + 2_500)), None);
}

/// Guards against an acknowledgement by a daemon that knows a newer record, or
/// that has just started and may have reported otherwise before.
#[test]
fn acknowledge_newest_only() {
    let mut steward = steward::Steward::new("h1".into(), model::Incarnation(2), Millis(0));
    let first = model::Offset(4);
    assert!(!steward.acknowledge(Millis(2_499), first));
    assert!(steward.acknowledge(Millis(2_500), first));
    assert_eq!(steward.report(Millis(3_000)), (500, None));
    let (from, newer) = ("h2".into(), model::Offset(5));
    steward.on_heartbeat(Millis(3_000), from, model::Incarnation(1), newer, Some(0));
    assert!(!steward.acknowledge(Millis(3_100), first));
    assert_eq!(steward.report(Millis(3_100)), (600, Some(newer)));
    assert!(steward.acknowledge(Millis(3_100), newer));
}

/// Lets a daemon take over 20 s after its start, and returns how long after its
/// term began the keys of the silent target "a" go to "b". `quiet` gives the times
/// for which others had acknowledged nothing at that moment; `known` says whether
/// they know the new steward's record.
fn wait_of(quiet: &[u64], known: bool) -> u64 {
    let mut old = Rig::new(vec![ready("a"), ready("b")]);
    old.run(10, done);
    let table = old.steward.table().cloned();
    let mut rig = Rig::new(vec![ready("a"), ready("b")]);
    rig.steward = steward::Steward::new("h1".into(), model::Incarnation(2), Millis(0));
    rig.steward.on_daemons(LIVE);
    let start = Millis(20_000);
    let (offset, end) = (model::Offset(0), model::Offset(1));
    rig.steward.on_record(start, start, offset, end, table);
    (rig.now, rig.end) = (start.0, 1);
    let members = vec![ready("a"), ready("b")];
    rig.steward.on_targets(start, None, members, services());
    let mut silent = |order: &steward::Action| {
        Some(match is_for(order, "a") {
            true => steward::Reply::Silent,
            false => steward::Reply::Done(None),
        })
    };
    while rig.tables.is_empty() {
        rig.run(1, &mut silent);
    }
    let term = rig.now - 1;
    let record = known.then_some(model::Offset(1));
    for (daemon, quiet) in quiet.iter().enumerate() {
        let host = format!("p{daemon}").as_str().into();
        rig.steward.on_report(Millis(term), host, record, *quiet);
    }
    let orders = rig.run(15_000, &mut silent);
    let taken = orders.iter().find(|(_, order)| {
        let first = grant_of(order).is_some_and(|grant| grant.fence > 1);
        first && is_for(order, "b")
    });
    taken.expect("the keys were given to nobody").0 - term
}

/// Guards against a wait for longest leases that nobody can have given (keys
/// without an owner), and against one that is too short (two owners).
#[test]
fn poll_takeover_waits_for_acknowledged_outage() {
    let usual = steward::RIGHT + 3_062 + 300;
    let worst = steward::RIGHT + 10_205 + 300;
    assert_eq!(wait_of(&[15_000, 15_000, 0, 0], true), usual);
    assert_eq!(
        wait_of(&[15_000, 1_000, 500, 0], true),
        1_100 + 10_505 - 1_000
    );
    assert_eq!(wait_of(&[15_000], true), worst);
    assert_eq!(wait_of(&[15_000, 15_000, 15_000, 15_000], false), worst);
}
