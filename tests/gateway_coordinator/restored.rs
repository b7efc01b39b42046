//! A log that was restored from an older copy: records written since the copy are lost,
//! while leases by them last.

use pistachiomoor::clock::Millis;
use pistachiomoor::gateway::adapter;
use pistachiomoor::gateway::coordinator;
use pistachiomoor::gateway::keys;
use pistachiomoor::model;

use super::rig::{
    EARLIER_EXTENDED_HOLD_MS, EARLIER_NORMAL_HOLD_MS, NORMAL_HOLD_MS, Rig, call_of, done, grant_of,
    is_for, member, owner, ready, services,
};

fn offset(era: u64, number: u64) -> model::Offset {
    model::Offset::new(era, number).unwrap()
}

/// Returns a table in which `name` owns all keys by the record `number` of era 0.
fn table_of(name: &str, number: u64) -> keys::Table {
    let run = keys::Run {
        owner: Some(owner(name, 1)),
        fence: number + 1,
        ..keys::Run::unowned()
    };
    keys::Table {
        host: "h9".into(),
        incarnation: model::Incarnation(9),
        services: [("s".into(), vec![run])].into(),
        quorums: vec![keys::Voters::from(["h1".into()])],
    }
}

/// Lets the log of a rig return with `table` as its newest record, of number `number`, in
/// era 1.
fn restore(rig: &mut Rig, table: Option<keys::Table>, number: u64) {
    let now = Millis(rig.now);
    let end = offset(1, number + u64::from(table.is_some()));
    rig.end = end.0;
    match table {
        Some(table) => {
            let record = offset(0, number);
            rig.coordinator
                .on_record(now, now, record, end, Some(table));
        }
        None => rig.coordinator.on_empty_topic(now, now, end),
    }
}

/// Returns a rig of a daemon that has just started and finds a restored log with `table`.
fn started_after(table: Option<keys::Table>, number: u64) -> Rig {
    let mut rig = Rig::new(vec![ready("a"), ready("b")]);
    rig.coordinator = coordinator::Coordinator::new("h1".into(), model::Incarnation(2), Millis(0));
    rig.coordinator
        .on_targets(Millis(0), vec![ready("a"), ready("b")], services());
    rig.coordinator.poll(Millis(0), 0);
    restore(&mut rig, table, number);
    rig
}

/// Runs until the daemon has appended a table, and returns the time.
fn run_to_takeover(rig: &mut Rig) -> u64 {
    let (tables, start) = (rig.tables.len(), rig.now);
    while rig.tables.len() == tables {
        let orders = rig.run(1, done);
        assert!(orders.is_empty(), "orders before the takeover: {orders:?}");
        assert!(rig.now < start + 20_000, "the daemon did not take over");
    }
    rig.now - 1
}

fn first_grant(orders: &[(u64, coordinator::Action)]) -> u64 {
    let first = orders.iter().find(|(_, order)| grant_of(order).is_some());
    first.expect("no grant").0
}

/// Guards against keys that are granted by an old table while the target to which a lost
/// record moved them holds a lease.
#[test]
fn poll_restored_takeover_waits_for_leases() {
    let mut rig = started_after(Some(table_of("a", 4)), 4);
    let term = run_to_takeover(&mut rig);
    let orders = rig.run(20_000, done);
    let earliest = term + coordinator::AUTHORITY_MS + EARLIER_EXTENDED_HOLD_MS;
    let first = first_grant(&orders);
    assert!(
        (earliest..earliest + 100).contains(&first),
        "{first} for {earliest}"
    );
    let fences = orders.iter().filter_map(|(_, order)| grant_of(order));
    assert!(fences.into_iter().all(|grant| grant.fence > offset(1, 0).0));
    assert!(is_for(&orders[0].1, "a"), "the keys stay with their owner");
}

/// Guards against the same if daemons have reported that no extended lease can last.
#[test]
fn poll_restored_takeover_waits_for_normal_leases() {
    let mut rig = started_after(Some(table_of("a", 4)), 4);
    rig.run(12_000, done);
    let mut rig = {
        // A daemon that has run for long, so that its own acknowledgements are known.
        let mut other = started_after(None, 0);
        other.now = 30_000;
        other.tables.clear();
        other.coordinator.on_daemons(1);
        let end = offset(2, 5);
        other.end = end.0;
        let now = Millis(other.now);
        let table = rig.coordinator.table().cloned();
        other
            .coordinator
            .on_record(now, now, offset(0, 4), end, table);
        other
    };
    let start = rig.now;
    while rig.tables.is_empty() {
        rig.run(1, done);
        assert!(rig.now < start + 5_000, "the daemon did not take over");
    }
    let term = rig.now - 1;
    let first = first_grant(&rig.run(20_000, done));
    let earliest = term + coordinator::AUTHORITY_MS + EARLIER_NORMAL_HOLD_MS;
    assert!(
        (earliest..earliest + 100).contains(&first),
        "{first} for {earliest}"
    );
}

/// Guards against a former coordinator that goes on granting by the table of the copy, or
/// that waits for another daemon to take over.
#[test]
fn poll_restored_former_coordinator() {
    let mut rig = Rig::new(vec![ready("a")]);
    rig.run(2_000, done);
    let copy = rig.coordinator.table().cloned();
    let draining = member("a", 1.0, coordinator::MemberState::Draining);
    let members = vec![draining, ready("b")];
    rig.coordinator
        .on_targets(Millis(rig.now), members.clone(), services());
    let orders = rig.run(4_000, done);
    let moved = orders.iter().rev().find(|(_, order)| is_for(order, "b"));
    let (last, grant) = moved.expect("the keys did not move");
    let lost_fence = grant_of(grant).expect("a grant").fence;
    let lease_end = last + NORMAL_HOLD_MS;
    restore(&mut rig, copy, 0);
    let start = rig.now;
    assert!(!rig.coordinator.may_act(Millis(start)));
    let tables = rig.tables.len();
    rig.run(10, done);
    assert_eq!(rig.tables.len(), tables + 1, "it takes over at once");
    let orders = rig.run(15_000, done);
    assert!(first_grant(&orders) >= lease_end);
    let fences = orders.iter().filter_map(|(_, order)| grant_of(order));
    assert!(fences.into_iter().all(|grant| grant.fence > lost_fence));
}

/// Guards against a first table in a restored log whose owners get keys that other targets
/// hold by leases of lost records, also if another daemon takes over soon after.
#[test]
fn poll_restored_empty_takeovers() {
    let mut rig = started_after(None, 0);
    run_to_takeover(&mut rig);
    let mut first = rig.tables.last().cloned().expect("a table");
    first.host = "h9".into();
    rig.run(1_000, |order| panic!("an order too early: {order:?}"));
    let mut rig = started_after(None, 0);
    let now = Millis(rig.now);
    rig.end = offset(1, 1).0;
    rig.coordinator
        .on_record(now, now, offset(1, 0), offset(1, 1), Some(first));
    let term = run_to_takeover(&mut rig);
    let first = first_grant(&rig.run(20_000, done));
    let earliest = term + coordinator::AUTHORITY_MS + EARLIER_EXTENDED_HOLD_MS;
    assert!(first >= earliest, "{first} before {earliest}");
    assert!(first <= earliest + 1_100, "{first} long after {earliest}");
}

/// Guards against a record that a daemon decided on before the restore, and that the log
/// took afterwards, as the newest table; and against appends that fail ever after.
#[test]
fn on_record_late_append() {
    let mut rig = started_after(Some(table_of("a", 4)), 4);
    run_to_takeover(&mut rig);
    rig.run(14_000, done);
    let known = rig.coordinator.table().cloned();
    let now = Millis(rig.now);
    let end = model::Offset(rig.end + 1);
    rig.end = end.0;
    let late = table_of("b", 5);
    rig.coordinator
        .on_record(now, now, offset(0, end.number() - 1), end, Some(late));
    assert_eq!(rig.coordinator.table().cloned(), known);
    assert!(rig.coordinator.may_act(now));
    let tables = rig.tables.len();
    let members = vec![
        member("a", 1.0, coordinator::MemberState::Draining),
        ready("b"),
    ];
    rig.coordinator.on_targets(now, members, services());
    rig.run(2_000, done);
    assert!(rig.tables.len() > tables, "no append after the late record");
}

/// Guards against the answer to an append of before the restore that makes its table the
/// newest one.
#[test]
fn on_appended_before_restore() {
    let mut rig = Rig::new(vec![ready("a")]);
    rig.run(2_000, done);
    let copy = rig.coordinator.table().cloned();
    let draining = member("a", 1.0, coordinator::MemberState::Draining);
    let now = Millis(rig.now);
    rig.coordinator
        .on_targets(now, vec![draining, ready("b")], services());
    let pending = rig.coordinator.poll(now, 0).into_iter().find_map(|action| {
        let coordinator::Action::Append { end, .. } = action else {
            return None;
        };
        Some(end)
    });
    let pending = pending.expect("an append");
    restore(&mut rig, copy.clone(), 0);
    let written = adapter::AppendOutcome::Written(pending);
    rig.coordinator.on_appended(now, Some(written));
    assert_eq!(rig.coordinator.table().cloned(), copy);
    assert!(!rig.coordinator.is_coordinator());
}

/// Guards against orders decided on before the restore that are sent after it.
#[test]
fn may_send_before_restore() {
    let mut rig = Rig::new(vec![ready("a")]);
    rig.run(10, done);
    let copy = rig.coordinator.table().cloned();
    rig.run(950, done);
    let mut call = None;
    while call.is_none() {
        rig.now += 1;
        let now = Millis(rig.now);
        for action in rig.coordinator.poll(now, 0) {
            match action {
                coordinator::Action::Read => {
                    let end = model::Offset(rig.end);
                    rig.coordinator.on_unchanged(now, now, end, end);
                }
                coordinator::Action::Grant { .. } => call = Some(call_of(&action)),
                _ => {}
            }
        }
    }
    restore(&mut rig, copy, 0);
    let now = Millis(rig.now);
    assert!(!rig.coordinator.may_send(now, call.unwrap()));
}

/// Guards against a daemon that waits forever for a coordinator that can't read the restored
/// log, and against one that takes over while the coordinator of before still may.
#[test]
fn on_heartbeat_earlier_era() {
    let mut rig = started_after(Some(table_of("a", 4)), 4);
    let mut taken = None;
    for _ in 0..4_000 {
        if rig.now.is_multiple_of(100) {
            let lost = offset(0, 7);
            rig.coordinator.on_heartbeat(
                Millis(rig.now),
                "h9".into(),
                model::Incarnation(9),
                lost,
                Some(rig.now),
            );
        }
        rig.run(1, done);
        if !rig.tables.is_empty() {
            taken = taken.or(Some(rig.now));
        }
    }
    let taken = taken.expect("the daemon did not take over");
    assert!((2_000..2_600).contains(&taken), "took over at {taken}");
}

/// Guards against a daemon that never reads the topic again after its own read showed only
/// records without a readable key, which count as no records but move the position on.
#[test]
fn on_unchanged_unreadable_key() {
    let mut rig = Rig::new(vec![ready("a")]);
    rig.run(10, done);
    let reads_after = |rig: &mut Rig, mut skipped: u64| {
        let mut reads = 0;
        for _ in 0..5_000 {
            rig.now += 1;
            let now = Millis(rig.now);
            for action in rig.coordinator.poll(now, 0) {
                if action == coordinator::Action::Read {
                    reads += 1;
                    rig.end += std::mem::take(&mut skipped);
                    let from = rig.coordinator.read_offset().unwrap();
                    let end = model::Offset(rig.end);
                    rig.coordinator.on_unchanged(now, now, from, end);
                }
            }
        }
        reads
    };
    let usual = reads_after(&mut rig, 0);
    let after = reads_after(&mut rig, 1);
    assert!(usual >= 4, "{usual} reads");
    assert!(
        after >= 4,
        "{after} reads after a record without a readable key, {usual} before"
    );
}

/// Guards against a wait for longest leases that grows again when daemons that have answered
/// for the term restart, or acknowledge an outage of the term's own coordinator.
#[test]
fn poll_restored_reports_after_restart() {
    let mut rig = Rig::new(Vec::new());
    rig.now = 30_000;
    rig.coordinator
        .on_targets(Millis(30_000), vec![ready("a")], services());
    rig.coordinator.on_daemons(3);
    let mut table = table_of("a", 4);
    table.quorums = vec![["h0", "h1", "h2"].map(Into::into).into()];
    restore(&mut rig, Some(table), 4);
    let term = run_to_takeover(&mut rig);
    let known = rig.coordinator.offset();
    let report = |rig: &mut Rig, age| {
        for host in ["h1", "h2"] {
            let now = Millis(rig.now);
            rig.coordinator.on_report(now, host.into(), known, age);
        }
    };
    report(&mut rig, 20_000);
    rig.run(1_000, done);
    report(&mut rig, 0);
    let first = first_grant(&rig.run(20_000, done));
    let earliest = term + coordinator::AUTHORITY_MS + EARLIER_NORMAL_HOLD_MS;
    assert!(
        (earliest..earliest + 100).contains(&first),
        "{first} for {earliest}"
    );
}
