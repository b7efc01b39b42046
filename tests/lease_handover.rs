//! Tests the rules of hand-over and resignation without a log record one at a time.

use std::collections::BTreeMap;

use pistachiomoor::clock::Millis;
use pistachiomoor::journal;
use pistachiomoor::lease;
use pistachiomoor::model;
use pistachiomoor::state;

const A: model::Incarnation = model::Incarnation(0xa);
const B: model::Incarnation = model::Incarnation(0xb);
const C: model::Incarnation = model::Incarnation(0xc);

fn target() -> model::TargetName {
    model::TargetName::from("t1")
}

fn host(name: &str) -> state::Host {
    state::Host {
        name: model::HostName::from(name),
        domain: model::DomainName::from("d1"),
        peer: "127.0.0.1:1".parse().unwrap(),
        caller: "127.0.0.1:2".parse().unwrap(),
        since: model::Offset(0),
        gone: None,
        silent: None,
    }
}

fn state_with_lease(
    offset: u64,
    holder: model::Incarnation,
    backup: Option<model::Incarnation>,
) -> state::State {
    let lease = state::Lease {
        offset: model::Offset(offset),
        holder,
        backup,
        span: 0,
    };
    state::State {
        next: model::Offset(offset + 1),
        hosts: BTreeMap::from([(A, host("a")), (B, host("b")), (C, host("c"))]),
        leases: BTreeMap::from([(target(), lease)]),
        ..state::State::default()
    }
}

/// Returns the tables of holder A and backup B of the lease at offset 5, at time 1000.
fn holder_and_backup() -> (lease::Table, lease::Table) {
    let (mut a, mut b) = (lease::Table::new(A), lease::Table::new(B));
    for table in [&mut a, &mut b] {
        // C transfers the lease itself, so that A does not wait for it.
        table.follow(Millis(900), &state_with_lease(4, C, Some(B)));
        table.follow(Millis(1_000), &state_with_lease(5, A, Some(B)));
    }
    (a, b)
}

fn handover_message(surrendered: lease::Surrendered) -> lease::Handed {
    lease::Handed {
        target: target(),
        from: A,
        lease: surrendered.lease,
        seen: surrendered.seen,
        fence: model::Fence {
            offset: surrendered.lease,
            step: 3,
        },
    }
}

/// Returns the tables of A and B, and the message, after A has handed the lease
/// over to B at time 1100.
fn after_handover() -> (lease::Table, lease::Table, lease::Handed) {
    let (mut a, mut b) = holder_and_backup();
    let message = handover_message(a.surrender(&target(), Millis(1_100)).unwrap());
    b.receive(Millis(1_100), &message).unwrap();
    (a, b, message)
}

fn may_act(table: &lease::Table, now: u64) -> bool {
    table.may_act(&target(), Millis(now)).is_ok()
}

#[test]
fn receive_acts_without_renewal() {
    // Fails if the receiver needs the log to act, uses a fence step that the old
    // holder may reach, or may append a move before its lease record.
    let (_, mut b, message) = after_handover();
    b.receive(Millis(1_200), &message).unwrap();
    let right = b.may_act(&target(), Millis(90_000)).unwrap();
    assert_eq!(right.fence.offset, model::Offset(5));
    assert!(right.fence.step > message.fence.step + 1_000);
    assert_eq!(b.recorded(&target()), None);
    assert_eq!(b.may_move_at(&target()), Some(Millis(1_570)));
    assert!(b.needs_backup(Millis(90_000)).is_empty());
    assert!(b.replace_backup(&target(), Millis(90_000)).is_err());
    b.on_log_read(Millis(90_000), model::Offset(6));
    let proposal = b.unrecorded(Millis(90_000)).remove(0);
    assert_eq!(proposal.prior, model::Offset(5));
    b.append_failed(&proposal, lease::Effect::Unknown);
    assert_eq!(b.unrecorded(Millis(90_000)).len(), 1);
    b.follow(Millis(90_100), &state_with_lease(9, B, None));
    assert!(may_act(&b, 90_100));
    assert!(!may_act(&b, 90_300));
    assert_eq!(b.recorded(&target()), Some(model::Offset(9)));
    assert_eq!(b.chain(&target()), Some(model::Offset(5)));
}

#[test]
fn surrender_ends_for_good() {
    // Fails if the old holder acts, renews grants or sends heartbeats after it has
    // given the lease up.
    let (mut a, _, _) = after_handover();
    a.follow(Millis(1_200), &state_with_lease(5, A, Some(B)));
    a.on_log_read(Millis(1_200), model::Offset(6));
    assert!(!may_act(&a, 1_201));
    assert!(a.grant_until(&target(), Millis(1_201)).is_err());
    assert!(a.heartbeats(Millis(1_300)).is_empty());
    assert!(a.release(&target(), Millis(1_300)).is_err());
    assert!(a.surrender(&target(), Millis(1_300)).is_err());
}

#[test]
fn surrender_undecided_record() {
    // Fails if a lease is handed over while a record of the holder may still name
    // another holder or backup.
    let (mut a, _) = holder_and_backup();
    let proposal = a.replace_backup(&target(), Millis(1_100)).unwrap();
    a.append_failed(&proposal, lease::Effect::Unknown);
    let undecided = Err(lease::Denied::Undecided);
    assert_eq!(a.surrender(&target(), Millis(1_100)), undecided);
    let mut released = holder_and_backup().0;
    released.release(&target(), Millis(1_050)).unwrap();
    assert_eq!(released.surrender(&target(), Millis(1_100)), undecided);
}

#[test]
fn give_up_undecided_move() {
    // Fails if a lease is given up while a move under it may still take effect, or
    // if a record may be appended under it afterwards.
    let move_record = state::Body::Move {
        group: model::GroupId {
            service: model::ServiceName::from("s1"),
            regions: Vec::new(),
        },
        shards: model::ShardSet::default(),
        from: target(),
        lease: model::Offset(5),
        to: model::TargetName::from("t2"),
    };
    let mut records = journal::Given::default();
    records.note(7, &move_record, 6);
    assert!(records.give_up(model::Offset(5), 6).is_err());
    assert!(!records.forbids(&move_record));
    records.give_up(model::Offset(4), 6).unwrap();
    records.give_up(model::Offset(5), 7).unwrap();
    assert!(records.forbids(&move_record));
    assert!(!records.forbids(&state::Body::HostDown));
}

#[test]
fn receive_checks_record() {
    // Fails if a daemon accepts a lease with another record, sender or fence, with
    // an exhausted fence step, before it has read all records that the sender has
    // read, during its own takeover, or while it is shutting down.
    let refusal = |change: fn(&mut lease::Handed, &mut lease::Table)| {
        let (mut a, mut b) = holder_and_backup();
        let mut message = handover_message(a.surrender(&target(), Millis(1_100)).unwrap());
        change(&mut message, &mut b);
        let result = b.receive(Millis(1_100), &message);
        assert!(!may_act(&b, 1_101));
        result.unwrap_err()
    };
    let not_current = lease::Refused::NotCurrent;
    assert_eq!(refusal(|h, _| h.lease = model::Offset(4)), not_current);
    assert_eq!(refusal(|h, _| h.from = C), not_current);
    let newer =
        |_: &mut _, b: &mut lease::Table| b.follow(Millis(1_050), &state_with_lease(6, C, Some(B)));
    assert_eq!(refusal(newer), not_current);
    let bad = lease::Refused::BadFence;
    assert_eq!(refusal(|h, _| h.fence.offset = model::Offset(6)), bad);
    assert_eq!(refusal(|h, _| h.fence.step = u32::MAX), bad);
    let behind = lease::Refused::Behind;
    assert_eq!(refusal(|h, _| h.seen = model::Offset(7)), behind);
    let leaving = |_: &mut _, b: &mut lease::Table| {
        b.leave(Millis(1_050));
    };
    assert_eq!(refusal(leaving), lease::Refused::Leaving);
    let taking = |_: &mut _, b: &mut lease::Table| {
        b.takeovers(Millis(1_250));
    };
    assert_eq!(refusal(taking), lease::Refused::TakingOver);
}

#[test]
fn receive_refuses_heartbeats() {
    // Fails if the receiver acknowledges the old holder's heartbeats after the
    // hand-over, or begins a takeover.
    let (mut a, mut b) = holder_and_backup();
    let (_, heartbeat) = a.heartbeats(Millis(1_010)).remove(0);
    let message = handover_message(a.surrender(&target(), Millis(1_100)).unwrap());
    b.receive(Millis(1_100), &message).unwrap();
    b.follow(Millis(1_150), &state_with_lease(5, A, Some(B)));
    assert!(
        b.on_heartbeat(Millis(1_200), A, &heartbeat)
            .leases
            .is_empty()
    );
    assert!(b.takeovers(Millis(9_000)).is_empty());
}

#[test]
fn receive_lease_transferred() {
    // Fails if the receiver acts after it has read that another daemon holds the
    // lease, or if a new process of the old holder acts under the old lease.
    let (_, mut b, message) = after_handover();
    b.follow(Millis(1_200), &state_with_lease(8, C, Some(A)));
    assert!(!may_act(&b, 1_200));
    assert!(b.receive(Millis(1_300), &message).is_err());
    let mut restarted = lease::Table::new(model::Incarnation(0xa2));
    restarted.follow(Millis(1_200), &state_with_lease(5, A, Some(B)));
    restarted.on_log_read(Millis(1_200), model::Offset(6));
    assert!(!may_act(&restarted, 1_201));
}

#[test]
fn resigned_backup_without_renewal() {
    // Fails if a holder needs renewals after its backup has resigned, still needs
    // none once it names another backup, or accepts a resignation while such a
    // record may take effect; or if a backup that has resigned acknowledges or
    // takes over.
    let (mut a, mut b) = holder_and_backup();
    assert_eq!(b.resign(&target()), Ok(A));
    let (_, heartbeat) = a.heartbeats(Millis(1_010)).remove(0);
    assert!(
        b.on_heartbeat(Millis(1_020), A, &heartbeat)
            .leases
            .is_empty()
    );
    assert!(b.takeovers(Millis(9_000)).is_empty());
    let lease = model::Offset(5);
    assert!(a.on_resigned(C, &target(), lease).is_err());
    assert!(a.on_resigned(B, &target(), model::Offset(4)).is_err());
    a.on_resigned(B, &target(), lease).unwrap();
    assert!(may_act(&a, 90_000));
    let none = Err(lease::Denied::NoBackup);
    assert_eq!(a.surrender(&target(), Millis(90_000)), none);
    let proposal = a.replace_backup(&target(), Millis(90_000)).unwrap();
    assert!(!may_act(&a, 90_001));
    a.append_failed(&proposal, lease::Effect::Unknown);
    let undecided = Err(lease::Refused::Undecided);
    assert_eq!(a.on_resigned(B, &target(), lease), undecided);
}

#[test]
fn resign_during_takeover() {
    // Fails if a backup can resign while its takeover may be in the log.
    let (_, mut b) = holder_and_backup();
    b.takeovers(Millis(1_250));
    let undecided = Err(lease::Denied::Undecided);
    assert_eq!(b.resign(&target()), undecided);
}

#[test]
fn receive_keeps_spans() {
    // Fails if the receiver does not wait for the requests of the old holder, or if
    // its record does not cover longer requests that it has sent itself.
    let (_, mut b, message) = after_handover();
    b.receive(Millis(1_200), &message).unwrap();
    let ended = Some(Millis(1_100 + lease::STALE_START_MS));
    assert_eq!(b.orphans_end_at(&target()), ended);
    assert!(b.cover(&target(), Millis(1_300), 4_000));
    let proposal = b.unrecorded(Millis(90_000)).remove(0);
    assert_eq!(proposal.span, lease::STALE_START_MS + 4_000);
}
