//! Tests the rules of the lease table one at a time.

use std::collections::BTreeMap;

use pistachiomoor::clock::Millis;
use pistachiomoor::lease;
use pistachiomoor::model;
use pistachiomoor::state;

const A: model::Incarnation = model::Incarnation(0xa);
const B: model::Incarnation = model::Incarnation(0xb);
const C: model::Incarnation = model::Incarnation(0xc);

fn target() -> model::TargetName {
    model::TargetName::from("t1")
}

/// Builds a state with one target and the lease of the record at `offset`.
fn state_with_lease(
    offset: u64,
    holder: model::Incarnation,
    backup: model::Incarnation,
) -> state::State {
    let host = |name: &str| state::Host {
        name: model::HostName::from(name),
        domain: model::DomainName::from("d1"),
        peer: "127.0.0.1:1".parse().unwrap(),
        caller: "127.0.0.1:2".parse().unwrap(),
        since: model::Offset(0),
        gone: None,
        silent: None,
    };
    let mut state = state::State {
        next: model::Offset(offset + 1),
        hosts: BTreeMap::from([(A, host("a")), (B, host("b")), (C, host("c"))]),
        ..state::State::default()
    };
    let entry = state::Target {
        name: target(),
        service: model::ServiceName::from("s1"),
        domain: model::DomainName::from("d1"),
        address: "127.0.0.1:3".parse().unwrap(),
        concurrency: 1,
        checks: true,
        standing: state::Standing::In,
    };
    state.config_mut().targets.insert(target(), entry);
    let lease = state::Lease {
        offset: model::Offset(offset),
        holder,
        backup: Some(backup),
        span: 0,
    };
    state.leases.insert(target(), lease);
    state
}

/// Returns the tables of holder A and backup B of the lease at offset 5, at time 1000.
fn holder_and_backup() -> (lease::Table, lease::Table) {
    let (mut a, mut b) = (lease::Table::new(A), lease::Table::new(B));
    for table in [&mut a, &mut b] {
        // C transfers the lease itself, so that A does not wait for it.
        table.follow(Millis(900), &state_with_lease(4, C, B));
        table.follow(Millis(1_000), &state_with_lease(5, A, B));
    }
    (a, b)
}

/// Returns the table of B after its takeover by the record at offset 6, which it
/// reads back at time 2000.
fn taken_over(checks: bool) -> lease::Table {
    let (_, mut b) = holder_and_backup();
    assert_eq!(b.takeovers(Millis(1_250)).len(), 1);
    let mut state = state_with_lease(6, B, C);
    state
        .config_mut()
        .targets
        .get_mut(&target())
        .unwrap()
        .checks = checks;
    b.follow(Millis(2_000), &state);
    b
}

fn log_read(table: &mut lease::Table, started: u64) {
    table.on_log_read(Millis(started), model::Offset(7));
}

fn may_act(table: &lease::Table, now: u64) -> bool {
    table.may_act(&target(), Millis(now)).is_ok()
}

#[test]
fn ack_counts_from_send() {
    // Fails if the validity of a lease counts from the arrival of the
    // acknowledgement instead of from the sending of the heartbeat.
    let (mut a, mut b) = holder_and_backup();
    let (to, heartbeat) = a.heartbeats(Millis(1_010)).remove(0);
    assert_eq!(to, B);
    let ack = b.on_heartbeat(Millis(1_100), A, &heartbeat);
    a.on_ack(Millis(1_200), B, &ack);
    let right = a.may_act(&target(), Millis(1_309)).unwrap();
    assert_eq!(right.until, Millis(1_310));
    let until = a.grant_until(&target(), Millis(1_309));
    assert_eq!(until, Ok(Millis(1_460)));
    let expired = Err(lease::Denied::Expired { at: Millis(1_310) });
    assert_eq!(a.may_act(&target(), Millis(1_310)), expired);
}

#[test]
fn ack_mismatched() {
    // Fails if an acknowledgement with an unknown sequence number, from another
    // sender or of another lease renews the lease.
    let (mut a, mut b) = holder_and_backup();
    let (_, heartbeat) = a.heartbeats(Millis(1_010)).remove(0);
    let ack = b.on_heartbeat(Millis(1_020), A, &heartbeat);
    let mut wrong_sequence = ack.clone();
    wrong_sequence.sequence += 1;
    a.on_ack(Millis(1_030), B, &wrong_sequence);
    let mut wrong_sender = ack.clone();
    wrong_sender.from = C;
    a.on_ack(Millis(1_030), C, &wrong_sender);
    let mut wrong_lease = ack.clone();
    wrong_lease.leases = vec![model::Offset(4)];
    a.on_ack(Millis(1_030), B, &wrong_lease);
    assert!(!may_act(&a, 1_031));
    a.on_ack(Millis(1_030), B, &ack);
    assert!(may_act(&a, 1_031));
}

#[test]
fn heartbeat_refused_during_takeover() {
    // Fails if a backup acknowledges a lease after it has begun to take it over,
    // or begins the takeover twice.
    let (mut a, mut b) = holder_and_backup();
    assert!(b.takeovers(Millis(1_249)).is_empty());
    let proposal = b.takeovers(Millis(1_250)).remove(0);
    assert_eq!(proposal.prior, model::Offset(5));
    assert!(b.takeovers(Millis(1_300)).is_empty());
    let (_, heartbeat) = a.heartbeats(Millis(1_251)).remove(0);
    let ack = b.on_heartbeat(Millis(1_252), A, &heartbeat);
    assert!(ack.leases.is_empty());
}

#[test]
fn takeover_append_failed() {
    // Fails if a failed append that may still take effect is not tried again, or
    // if one that can't take effect stops the backup from acknowledging.
    let (mut a, mut b) = holder_and_backup();
    let proposal = b.takeovers(Millis(1_250)).remove(0);
    let mut stale = proposal.clone();
    stale.prior = model::Offset(4);
    b.append_failed(&stale, lease::Effect::None);
    assert!(b.takeovers(Millis(1_250)).is_empty());
    b.append_failed(&proposal, lease::Effect::None);
    let (_, heartbeat) = a.heartbeats(Millis(1_251)).remove(0);
    let acknowledged = |b: &mut lease::Table, now: u64| {
        let ack = b.on_heartbeat(Millis(now), A, &heartbeat);
        ack.leases.len()
    };
    assert_eq!(acknowledged(&mut b, 1_252), 1);
    assert!(b.takeovers(Millis(1_400)).is_empty());
    assert_eq!(b.takeovers(Millis(1_502)).len(), 1);
    b.append_failed(&proposal, lease::Effect::Unknown);
    assert_eq!(acknowledged(&mut b, 1_503), 0);
    assert_eq!(b.takeovers(Millis(1_504)).len(), 1);
    b.append_failed(&proposal, lease::Effect::None);
    assert_eq!(acknowledged(&mut b, 1_505), 0);
}

#[test]
fn takeovers_after_pause() {
    // Fails if a backup that was paused itself takes over at once, although it
    // could not have received the holder's heartbeats.
    let (_, mut b) = holder_and_backup();
    b.takeovers(Millis(1_010));
    assert!(b.takeovers(Millis(1_400)).is_empty());
    assert!(b.takeovers(Millis(1_600)).is_empty());
    assert_eq!(b.takeovers(Millis(1_650)).len(), 1);
}

#[test]
fn takeover_waits() {
    // Fails if a new holder acts before the old one's lease has expired, or moves
    // shards before the old one's grants have ended.
    let mut b = taken_over(false);
    log_read(&mut b, 2_300);
    b.target_confirmed(&target(), model::Fence::at(model::Offset(6)));
    assert!(!may_act(&b, 2_309));
    assert!(may_act(&b, 2_310));
    assert_eq!(b.may_move_at(&target()), Some(Millis(2_470)));
}

#[test]
fn takeover_confirmed_by_target() {
    // Fails if the target's confirmation of the new fence does not end the wait,
    // or that of an older fence does.
    let mut b = taken_over(true);
    log_read(&mut b, 2_000);
    b.target_confirmed(&target(), model::Fence::at(model::Offset(5)));
    assert!(!may_act(&b, 2_001));
    b.target_confirmed(&target(), model::Fence::at(model::Offset(6)));
    assert!(may_act(&b, 2_001));
    assert_eq!(b.may_move_at(&target()), Some(Millis(2_470)));
}

#[test]
fn acquire_by_prior_holder() {
    // Fails if a new holder waits after a transfer or after the previous holder
    // has left, or if it does not wait after a lost holder or for a first lease,
    // whose target may have been removed and added again.
    let acts_at_once = |gone: Option<state::Reason>| {
        let (_, mut b) = holder_and_backup();
        let mut state = state_with_lease(6, B, C);
        state.hosts.get_mut(&A).unwrap().gone = gone;
        b.follow(Millis(2_000), &state);
        log_read(&mut b, 2_000);
        may_act(&b, 2_001)
    };
    assert!(acts_at_once(None));
    assert!(acts_at_once(Some(state::Reason::Left)));
    assert!(!acts_at_once(Some(state::Reason::Lost)));
    let mut a = lease::Table::new(A);
    let mut state = state_with_lease(5, A, B);
    state.writers.insert(A, (1, model::Offset(5)));
    a.follow(Millis(1_000), &state);
    a.on_log_read(Millis(1_000), model::Offset(6));
    assert!(!may_act(&a, 1_001));
    a.on_log_read(Millis(1_300), model::Offset(6));
    assert!(may_act(&a, 1_310));
    assert_eq!(a.may_move_at(&target()), Some(Millis(1_470)));
}

#[test]
fn log_read_fallback() {
    // Fails if a log read renews a lease before `follow` has been given its
    // records, or renews one that this daemon no longer holds.
    let (mut a, _) = holder_and_backup();
    a.on_log_read(Millis(1_000), model::Offset(7));
    assert!(!may_act(&a, 1_001));
    a.on_log_read(Millis(1_000), model::Offset(6));
    assert!(may_act(&a, 1_299));
    assert!(!may_act(&a, 1_300));
    a.follow(Millis(1_350), &state_with_lease(6, B, C));
    a.on_log_read(Millis(1_340), model::Offset(7));
    let denied = Err(lease::Denied::NotHolder);
    assert_eq!(a.may_act(&target(), Millis(1_351)), denied);
}

#[test]
fn replace_backup_reply_lost() {
    // Fails if the old backup's acknowledgements renew the lease while a record
    // that names a new backup may be in the log: the new one could take over.
    let (mut a, mut b) = holder_and_backup();
    assert!(a.needs_backup(Millis(1_499)).is_empty());
    assert_eq!(a.needs_backup(Millis(1_500)).len(), 1);
    let proposal = a.replace_backup(&target(), Millis(1_500)).unwrap();
    a.append_failed(&proposal, lease::Effect::Unknown);
    let mut stale = proposal;
    stale.prior = model::Offset(4);
    a.append_failed(&stale, lease::Effect::None);
    let (_, heartbeat) = a.heartbeats(Millis(1_510)).remove(0);
    let ack = b.on_heartbeat(Millis(1_510), A, &heartbeat);
    assert_eq!(ack.leases.len(), 1);
    a.on_ack(Millis(1_510), B, &ack);
    assert!(!may_act(&a, 1_510));
    a.on_log_read(Millis(1_600), model::Offset(6));
    assert!(may_act(&a, 1_700));
}

#[test]
fn release_waits_for_predecessor() {
    // Fails if a lease is released during the wait for the previous holder: its
    // successor would not wait.
    let mut b = taken_over(false);
    let until = Millis(2_310);
    let waiting = lease::Denied::Waiting { until };
    assert_eq!(b.release(&target(), Millis(2_100)), Err(waiting));
    assert_eq!(b.leave(Millis(2_100)), until);
    log_read(&mut b, 2_300);
    let proposal = b.release(&target(), until).unwrap();
    b.append_failed(&proposal, lease::Effect::None);
    let released = Err(lease::Denied::Released);
    assert_eq!(b.may_act(&target(), Millis(2_311)), released);
    assert!(b.heartbeats(Millis(2_311)).is_empty());
}

#[test]
fn follow_older_state() {
    // Fails if an older state restores a lease that was lost, or if a restarted
    // daemon holds the lease of its previous process.
    let (mut a, _) = holder_and_backup();
    a.follow(Millis(1_050), &state::State::default());
    assert_eq!(a.held().count(), 1);
    a.follow(Millis(1_100), &state_with_lease(6, B, C));
    a.follow(Millis(1_200), &state_with_lease(5, A, B));
    assert_eq!(a.held().count(), 0);
    let mut restarted = lease::Table::new(model::Incarnation(0xa2));
    restarted.follow(Millis(1_200), &state_with_lease(6, A, B));
    assert_eq!(restarted.held().count() + restarted.backed().count(), 0);
}
