//! Extended leases, which need a majority of the daemons, and the time for which a new
//! coordinator waits for those of an earlier one.

use pistachiomoor::clock::Millis;
use pistachiomoor::gateway::coordinator;
use pistachiomoor::gateway::keys;
use pistachiomoor::model;

use super::rig::{
    EARLIER_EXTENDED_HOLD_MS, EARLIER_NORMAL_HOLD_MS, Rig, done, grant_of, is_for, ready, services,
};

/// Timeout of a grant in the executor.
const GRANT_TIMEOUT_MS: u64 = coordinator::GRANT_TIMEOUT_MS;
/// Longest time for which a target holds keys after the arrival of a usual grant.
const HOLD_FROM_ARRIVAL_MS: u64 = 3_062;

/// Number of daemons, the coordinator included.
const LIVE: u32 = 5;

/// Daemons of the coordinator `h0`.
const DAEMONS: [&str; LIVE as usize] = ["h0", "h1", "h2", "h3", "h4"];

/// Daemons of the next coordinator `h1`.
const OTHERS: [&str; LIVE as usize] = ["h1", "p0", "p1", "p2", "p3"];

/// Runs the coordinator of [`DAEMONS`] into an outage of the log that `acknowledgements`
/// other daemons acknowledge, and returns its longest lease in milliseconds. The
/// acknowledgements name an outage that began `shift` milliseconds earlier.
fn longest_lease(acknowledgements: usize, shift: u64) -> u64 {
    let mut rig = Rig::new(vec![ready("a")]);
    rig.set_daemons(&DAEMONS);
    rig.run(2_500, done);
    longest_lease_of(&mut rig, acknowledgements, shift)
}

/// Does what [`longest_lease`] does, for a coordinator that has run for some time.
fn longest_lease_of(rig: &mut Rig, acknowledgements: usize, shift: u64) -> u64 {
    rig.log_up = false;
    let mut longest = 0;
    for _ in 0..2_600 {
        let now = Millis(rig.now);
        if let Some(outage) = rig.coordinator.request_acknowledgement(now) {
            for daemon in 1..=acknowledgements {
                let host = format!("h{daemon}").as_str().into();
                rig.coordinator.on_acknowledged(now, host, outage - shift);
            }
        }
        let orders = rig.run(1, done);
        let leases = orders.iter().filter_map(|(_, order)| grant_of(order));
        longest = leases
            .map(|grant| grant.lease_ms)
            .max()
            .unwrap_or(0)
            .max(longest);
    }
    longest
}

/// Guards against two owners of a key when a disconnected coordinator grants an extended
/// lease that the next coordinator does not know of, and against leases that end in an
/// outage that a majority observes.
#[test]
fn poll_outage_needs_majority() {
    assert_eq!(longest_lease(0, 0), coordinator::NORMAL_LEASE_MS);
    assert_eq!(longest_lease(1, 0), coordinator::NORMAL_LEASE_MS);
    assert_eq!(longest_lease(2, 0), coordinator::MAX_LEASE_MS);
}

/// Guards against a coordinator that grants an extended lease alone because it does not know
/// the other daemons' hosts yet, or has just started, while the next one knows all of them.
#[test]
fn poll_outage_unknown_daemons() {
    for (reporting, start, expected) in [
        (2, 2_500, coordinator::NORMAL_LEASE_MS),
        (0, 1_000, coordinator::NORMAL_LEASE_MS),
        (0, 2_500, coordinator::MAX_LEASE_MS),
    ] {
        let mut rig = Rig::new(vec![ready("a")]);
        rig.coordinator.on_daemons(1);
        rig.run(start, done);
        for daemon in 0..reporting {
            let host = format!("h{}", daemon + 1).as_str().into();
            rig.coordinator.on_report(Millis(rig.now), host, None, 0);
        }
        rig.log_up = false;
        let orders = rig.run(1_450, done);
        let leases = orders.iter().filter_map(|(_, order)| grant_of(order));
        let longest = leases.map(|grant| grant.lease_ms).max();
        assert_eq!(longest, Some(expected), "{reporting} from {start} ms on");
    }
}

/// Guards against counting late acknowledgements of an earlier outage.
#[test]
fn on_acknowledged_other_outage() {
    assert_eq!(longest_lease(4, 1), coordinator::NORMAL_LEASE_MS);
}

/// Guards against a request for acknowledgements before the outage timeout or after the
/// coordinator's authority has ended.
#[test]
fn request_acknowledgement_within_authority() {
    let mut rig = Rig::new(vec![ready("a")]);
    rig.run(2_500, done);
    assert_eq!(
        rig.coordinator.request_acknowledgement(Millis(rig.now)),
        None
    );
    rig.log_up = false;
    let confirmed = rig.now - rig.coordinator.confirmed_age(Millis(rig.now)).unwrap();
    rig.run(4_000, done);
    assert_eq!(
        rig.coordinator
            .request_acknowledgement(Millis(confirmed + 1_399)),
        None
    );
    assert_eq!(
        rig.coordinator
            .request_acknowledgement(Millis(confirmed + 1_400)),
        Some(confirmed)
    );
    assert_eq!(
        rig.coordinator
            .request_acknowledgement(Millis(confirmed + 2_500)),
        None
    );
}

/// Guards against an acknowledgement by a daemon that knows a newer record, or that has
/// just started and may have reported something else before its restart.
#[test]
fn acknowledge_newest_only() {
    let mut coordinator =
        coordinator::Coordinator::new("h1".into(), model::Incarnation(2), Millis(0));
    let first = model::Offset(4);
    assert!(!coordinator.acknowledge(Millis(2_499), first));
    assert!(coordinator.acknowledge(Millis(2_500), first));
    assert_eq!(coordinator.report(Millis(3_000)), (500, None));
    let (from, newer) = ("h2".into(), model::Offset(5));
    coordinator.on_heartbeat(Millis(3_000), from, model::Incarnation(1), newer, Some(0));
    assert!(!coordinator.acknowledge(Millis(3_100), first));
    assert_eq!(coordinator.report(Millis(3_100)), (600, Some(newer)));
    assert!(coordinator.acknowledge(Millis(3_100), newer));
}

/// Lets a daemon take over 20 s after its start. Returns the time in milliseconds from
/// the start of its term until the keys of the unresponsive target "a" are granted to
/// "b". `ages` gives the time since each of the other daemons of [`OTHERS`] last acknowledged
/// an outage, as of the start of the term; `known` says whether these daemons know the new
/// record. The record before names these lists of voters.
fn takeover_delay(ages: &[u64], known: bool, quorums: &[&[&str]]) -> u64 {
    let mut old = Rig::new(vec![ready("a"), ready("b")]);
    old.run(10, done);
    let mut table = old.coordinator.table().cloned();
    let voters = |hosts: &&[&str]| hosts.iter().map(|host| (*host).into()).collect();
    table.as_mut().expect("a table").quorums = quorums.iter().map(voters).collect();
    let mut rig = Rig::new(vec![ready("a"), ready("b")]);
    rig.coordinator = coordinator::Coordinator::new("h1".into(), model::Incarnation(2), Millis(0));
    rig.coordinator.on_daemons(LIVE);
    let start = Millis(20_000);
    let (offset, end) = (model::Offset(0), model::Offset(1));
    rig.coordinator.on_record(start, start, offset, end, table);
    (rig.now, rig.end) = (start.0, 1);
    let members = vec![ready("a"), ready("b")];
    rig.coordinator.on_targets(start, members, services());
    let mut reply = |order: &coordinator::Action| {
        Some(match is_for(order, "a") {
            true => coordinator::OrderOutcome::Unanswered,
            false => coordinator::OrderOutcome::Done(None),
        })
    };
    while rig.tables.is_empty() {
        rig.run(1, &mut reply);
    }
    let term = rig.now - 1;
    let record = known.then_some(model::Offset(1));
    for (daemon, age) in ages.iter().enumerate() {
        let host = format!("p{daemon}").as_str().into();
        rig.coordinator.on_report(Millis(term), host, record, *age);
    }
    let orders = rig.run(15_000, &mut reply);
    let granted = orders.iter().find(|(_, order)| {
        let first = grant_of(order).is_some_and(|grant| grant.fence > 1);
        first && is_for(order, "b")
    });
    granted.expect("the keys were granted to no target").0 - term
}

/// Guards against a wait for extended leases that no coordinator can have granted (keys
/// without an owner), and against a wait that is too short (two owners).
#[test]
fn poll_takeover_waits_for_acknowledged_outage() {
    let normal = coordinator::AUTHORITY_MS + EARLIER_NORMAL_HOLD_MS;
    let worst = coordinator::AUTHORITY_MS + EARLIER_EXTENDED_HOLD_MS;
    let voters: &[&[&str]] = &[&OTHERS];
    assert_eq!(
        takeover_delay(&[15_000, 15_000, 0, 0], true, voters),
        normal
    );
    assert_eq!(
        takeover_delay(&[15_000, 1_000, 500, 0], true, voters),
        1_100 + EARLIER_EXTENDED_HOLD_MS - 1_000
    );
    assert_eq!(takeover_delay(&[15_000], true, voters), worst);
    assert_eq!(
        takeover_delay(&[15_000, 15_000, 15_000, 15_000], false, voters),
        worst
    );
}

/// Guards against two owners of a key when those that earlier coordinators had to ask are not
/// those that the new one hears: all lists of voters count, and one that is not known, or a
/// record of a version without voters, stands for the longest wait.
#[test]
fn poll_takeover_asks_recorded_voters() {
    let normal = coordinator::AUTHORITY_MS + EARLIER_NORMAL_HOLD_MS;
    let worst = coordinator::AUTHORITY_MS + EARLIER_EXTENDED_HOLD_MS;
    let ages = [15_000; 4];
    let two: [&str; 2] = ["h0", "h2"];
    assert_eq!(takeover_delay(&ages, true, &[&OTHERS]), normal);
    assert_eq!(takeover_delay(&ages, true, &[&["p1"], &OTHERS]), normal);
    for quorums in [
        &[&two as &[&str]] as &[&[&str]],
        &[&OTHERS, &two],
        &[&OTHERS, &["p0", "h0"]],
        &[&OTHERS, &[]],
        &[],
    ] {
        assert_eq!(takeover_delay(&ages, true, quorums), worst, "{quorums:?}");
    }
    let late = [15_000, 15_000, 15_000, 200];
    let acknowledged = 1_100 + EARLIER_EXTENDED_HOLD_MS - 200;
    assert_eq!(takeover_delay(&late, true, &[&OTHERS]), normal);
    assert_eq!(
        takeover_delay(&late, true, &[&OTHERS, &["p3"]]),
        acknowledged
    );
}

/// Guards against an extended lease that a majority of those daemons acknowledges that are
/// left after a long cut, and not of those that the record names.
#[test]
fn poll_outage_needs_recorded_voters() {
    let mut rig = Rig::new(vec![ready("a")]);
    rig.set_daemons(&DAEMONS);
    rig.run(2_500, done);
    // The log goes away before the change of the voters can be recorded.
    rig.log_up = false;
    rig.set_daemons(&DAEMONS[..2]);
    assert_eq!(
        longest_lease_of(&mut rig, 1, 0),
        coordinator::NORMAL_LEASE_MS
    );
    let mut rig = Rig::new(vec![ready("a")]);
    rig.set_daemons(&DAEMONS);
    rig.run(2_500, done);
    rig.set_daemons(&DAEMONS[..2]);
    rig.run(4_000, done);
    assert_eq!(longest_lease_of(&mut rig, 1, 0), coordinator::MAX_LEASE_MS);
}

/// Returns the lists of voters of the newest table that a coordinator appended.
fn quorums(rig: &Rig) -> Vec<Vec<String>> {
    let lists = rig.tables.last().expect("a table").quorums.iter();
    let names = |list: &keys::Voters| list.iter().map(ToString::to_string).collect();
    lists.map(names).collect()
}

/// Guards against a record that lacks voters whose extended leases may last: an append may
/// have been written although its answer was lost.
#[test]
fn poll_change_of_voters_keeps_earlier() {
    let mut rig = Rig::new(vec![ready("a")]);
    rig.set_daemons(&DAEMONS);
    rig.run(3_000, done);
    assert_eq!(quorums(&rig), [DAEMONS]);
    rig.set_daemons(&["h0", "h1", "h5"]);
    rig.run(3_000, done);
    let changed = ["h0", "h1", "h5"].map(str::to_owned).to_vec();
    let before = DAEMONS.map(str::to_owned).to_vec();
    assert_eq!(quorums(&rig), [changed.clone(), before.clone()]);
    rig.set_daemons(&["h0", "h6"]);
    rig.run(3_000, done);
    let last = ["h0", "h6"].map(str::to_owned).to_vec();
    assert_eq!(quorums(&rig), [last.clone(), changed, before]);
    rig.run(13_000, done);
    rig.set_daemons(&["h0", "h6", "h7"]);
    rig.run(3_000, done);
    let next = ["h0", "h6", "h7"].map(str::to_owned).to_vec();
    assert_eq!(quorums(&rig), [next, last]);
}

/// Guards against a record that grows, and against an append at each poll, while daemons come
/// and go so often that earlier voters still have to be kept.
#[test]
fn poll_voters_change_often() {
    let mut rig = Rig::new(vec![ready("a")]);
    rig.set_daemons(&DAEMONS);
    rig.run(3_000, done);
    let appended = rig.tables.len();
    for number in 0..20 {
        let other = format!("x{number}");
        rig.set_daemons(&["h0", &other]);
        rig.run(1_000, done);
        assert!(quorums(&rig).len() <= 8);
    }
    let appended = rig.tables.len() - appended;
    assert!(appended <= 12, "{appended} appends");
}

/// Guards against voters that a takeover replaces by those few daemons that the next
/// coordinator knew when it started.
#[test]
fn poll_takeover_keeps_voters() {
    let mut old = Rig::new(vec![ready("a")]);
    old.set_daemons(&DAEMONS);
    old.run(3_000, done);
    let table = old.coordinator.table().cloned();
    let mut rig = Rig::new(vec![ready("a")]);
    rig.coordinator = coordinator::Coordinator::new("h1".into(), model::Incarnation(2), Millis(0));
    rig.set_daemons(&["h1"]);
    let (now, end) = (Millis(3_000), model::Offset(old.end));
    let offset = old.coordinator.offset().expect("a record");
    rig.coordinator.on_record(now, now, offset, end, table);
    (rig.now, rig.end) = (3_000, old.end);
    rig.coordinator
        .on_targets(now, vec![ready("a")], services());
    while rig.tables.is_empty() {
        rig.run(1, done);
    }
    assert_eq!(quorums(&rig), [DAEMONS]);
}

/// Guards against a record that grows with the number of daemons, and against an append each
/// time that a daemon comes or goes.
#[test]
fn poll_voters_bounded_and_stable() {
    let mut rig = Rig::new(vec![ready("a")]);
    let hosts: Vec<String> = (0..300).map(|number| format!("h{number}")).collect();
    let hosts: Vec<&str> = hosts.iter().map(String::as_str).collect();
    rig.set_daemons(&hosts);
    rig.run(3_000, done);
    let named = quorums(&rig);
    assert_eq!(named[0].len(), coordinator::MAX_VOTERS);
    let appended = rig.tables.len();
    for number in 0..10 {
        rig.set_daemons(&hosts[..290 - number]);
        rig.run(1_000, done);
    }
    assert_eq!(rig.tables.len(), appended);
}

/// Guards against two owners of a key when the last grant of an earlier coordinator arrives
/// shortly before that gives it up.
#[test]
fn poll_takeover_grant_on_slow_link() {
    let mut old = Rig::new(vec![ready("a"), ready("b")]);
    old.set_daemons(&DAEMONS);
    let orders = old.run(6_000, done);
    let grants = orders.iter().filter(|(_, order)| is_for(order, "a"));
    let last = grants.map(|(at, _)| *at).max().unwrap();
    // The last confirmation is such that a renewal is due as the authority ends.
    old.run(last + 1_501 - old.now, done);
    let confirmed = old.now;
    let end = model::Offset(old.end);
    old.coordinator
        .on_unchanged(Millis(confirmed), Millis(confirmed), end, end);
    old.log_up = false;
    let orders = old.run(5_000, done);
    let grants = orders.iter().filter(|(_, order)| is_for(order, "a"));
    let sent = grants.map(|(at, _)| *at).max().unwrap();
    assert!(sent < confirmed + coordinator::AUTHORITY_MS);
    let held = sent + GRANT_TIMEOUT_MS - 10 + HOLD_FROM_ARRIVAL_MS;
    // Another daemon's record is written just after the last confirmation.
    let granted = confirmed + 1 + takeover_delay(&[15_000, 15_000, 0, 0], true, &[&OTHERS]);
    assert!(
        granted >= held,
        "confirmed {confirmed}, sent {sent}: granted again at {granted}, held until {held}"
    );
}

/// Guards against two owners of a key after a failure domain was cut off for so long that the
/// daemons on either side no longer count the others as live.
#[test]
fn poll_takeover_after_long_cut() {
    let mut old = Rig::new(vec![ready("a")]);
    old.set_daemons(&DAEMONS[..2]);
    old.run(70_000, done);
    old.coordinator
        .on_report(Millis(old.now), "h1".into(), None, 70_000);
    old.log_up = false;
    let confirmed = old.now - old.coordinator.confirmed_age(Millis(old.now)).unwrap();
    let mut held = 0;
    for _ in 0..2_600 {
        let now = Millis(old.now);
        if let Some(outage) = old.coordinator.request_acknowledgement(now) {
            old.coordinator.on_acknowledged(now, "h1".into(), outage);
        }
        for (at, order) in old.run(1, done) {
            let lease = grant_of(&order).map_or(0, |grant| grant.lease_ms);
            held = held.max(at + (lease * 100).div_ceil(98));
        }
    }
    assert!(
        held > old.now + coordinator::NORMAL_LEASE_MS,
        "no extended lease"
    );
    // The five daemons on the other side have acknowledged nothing. One takes over 2 s after
    // the last confirmation, from the record of the coordinator that was cut off.
    let quorums = old.coordinator.table().expect("a table").quorums.clone();
    let quorums: Vec<Vec<&str>> = quorums
        .iter()
        .map(|list| list.iter().map(|host| host.as_str()).collect())
        .collect();
    let quorums: Vec<&[&str]> = quorums.iter().map(Vec::as_slice).collect();
    let granted = confirmed + 2_000 + takeover_delay(&[15_000; 4], true, &quorums);
    assert!(
        granted >= held,
        "confirmed {confirmed}: granted again at {granted}, held until {held}"
    );
}
