//! Tests the span of a lease: a holder sends no request that is longer than its
//! backup knows, and a new holder waits for the requests of earlier ones.

use std::collections::BTreeMap;

use pistachiomoor::clock::Millis;
use pistachiomoor::lease;
use pistachiomoor::lease::STALE_START_MS;
use pistachiomoor::model;
use pistachiomoor::state;

const A: model::Incarnation = model::Incarnation(0xa);
const B: model::Incarnation = model::Incarnation(0xb);
const C: model::Incarnation = model::Incarnation(0xc);

fn target() -> model::TargetName {
    model::TargetName::from("t1")
}

fn state_with_lease(
    offset: u64,
    holder: model::Incarnation,
    backup: model::Incarnation,
    span: u64,
) -> state::State {
    let lease = state::Lease {
        offset: model::Offset(offset),
        holder,
        backup: Some(backup),
        span,
    };
    state::State {
        next: model::Offset(offset + 1),
        leases: BTreeMap::from([(target(), lease)]),
        writers: BTreeMap::from([(holder, (offset, model::Offset(offset)))]),
        ..state::State::default()
    }
}

/// Returns the tables of holder A and backup B of the lease at offset 5, at time 1000.
fn holder_and_backup() -> (lease::Table, lease::Table) {
    let (mut a, mut b) = (lease::Table::new(A), lease::Table::new(B));
    for table in [&mut a, &mut b] {
        table.follow(
            Millis(1_000),
            &state_with_lease(5, A, B, 500 + STALE_START_MS),
        );
    }
    (a, b)
}

fn covers(table: &mut lease::Table, now: u64, left: u64) -> bool {
    table.cover(&target(), Millis(now), left)
}

/// Passes the heartbeat that is due to the backup, and returns both the heartbeat
/// and its acknowledgement.
fn exchange_heartbeat(
    a: &mut lease::Table,
    b: &mut lease::Table,
    now: u64,
) -> (lease::Heartbeat, lease::Ack) {
    let (_, heartbeat) = a.heartbeats(Millis(now)).remove(0);
    let ack = b.on_heartbeat(Millis(now), A, &heartbeat);
    (heartbeat, ack)
}

#[test]
fn cover_after_acknowledgement() {
    // Fails if a request is allowed that is longer than the backup knows, or if it
    // has to wait for the next periodic heartbeat.
    let (mut a, mut b) = holder_and_backup();
    assert!(covers(&mut a, 1_001, 500));
    let (_, ack) = exchange_heartbeat(&mut a, &mut b, 1_002);
    a.on_ack(Millis(1_003), B, &ack);
    assert!(!covers(&mut a, 1_004, 1_950));
    let (heartbeat, ack) = exchange_heartbeat(&mut a, &mut b, 1_005);
    assert_eq!(heartbeat.spans, [2_000]);
    assert!(!covers(&mut a, 1_006, 1_950));
    assert!(a.heartbeats(Millis(1_006)).is_empty());
    a.on_ack(Millis(1_007), B, &ack);
    assert!(covers(&mut a, 1_008, 1_990));
    assert!(!covers(&mut a, 1_008, 2_001));
}

#[test]
fn cover_lower_span_unacknowledged() {
    // Fails if a late acknowledgement raises a span that a later heartbeat, which
    // the backup may have received, has lowered.
    let (mut a, mut b) = holder_and_backup();
    assert!(!covers(&mut a, 1_001, 3_000));
    let (_, late) = exchange_heartbeat(&mut a, &mut b, 1_002);
    a.on_ack(Millis(1_003), B, &late);
    assert!(covers(&mut a, 1_004, 3_000));
    exchange_heartbeat(&mut a, &mut b, 31_050);
    let (heartbeat, late) = exchange_heartbeat(&mut a, &mut b, 61_000);
    assert_eq!(heartbeat.spans, [3_000]);
    let (heartbeat, _) = exchange_heartbeat(&mut a, &mut b, 61_200);
    assert_eq!(heartbeat.spans, [lease::SPAN_UNIT]);
    a.on_ack(Millis(61_201), B, &late);
    let right = a.may_act(&target(), Millis(61_202)).unwrap();
    assert_eq!(right.span, lease::SPAN_UNIT);
}

#[test]
fn takeovers_count_announced_span() {
    // Fails if requests of the first holder may outlast the wait of the second or
    // of the third holder.
    let (mut a, mut b) = holder_and_backup();
    covers(&mut a, 1_001, 30_000);
    exchange_heartbeat(&mut a, &mut b, 1_002);
    let proposal = b.takeovers(Millis(1_260)).remove(0);
    assert_eq!(proposal.span, 30_000 + STALE_START_MS);
    let taken = state_with_lease(6, B, C, proposal.span);
    let mut c = lease::Table::new(C);
    b.follow(Millis(1_300), &taken);
    c.follow(Millis(1_300), &taken);
    let ended = Some(Millis(31_300 + STALE_START_MS));
    assert_eq!(b.orphans_end_at(&target()), ended);
    // B announces a shorter span than A's requests still need.
    let (_, heartbeat) = b.heartbeats(Millis(1_310)).remove(0);
    assert_eq!(heartbeat.spans, [lease::INITIAL_SPAN_MS]);
    c.on_heartbeat(Millis(1_310), B, &heartbeat);
    let proposal = c.takeovers(Millis(1_570)).remove(0);
    assert!(1_570 + proposal.span >= 31_300 + STALE_START_MS);
}

#[test]
fn takeover_after_lowered_span() {
    // Fails if a request that was sent before the holder lowered its span may
    // outlast the wait, or extends the wait for longer than it can last.
    let (mut a, mut b) = holder_and_backup();
    covers(&mut a, 1_001, 5_000);
    let (_, ack) = exchange_heartbeat(&mut a, &mut b, 1_002);
    a.on_ack(Millis(1_003), B, &ack);
    let mut before_lowering = b.clone();
    let proposal = before_lowering.takeovers(Millis(1_260)).remove(0);
    assert_eq!(proposal.span, 5_000 + STALE_START_MS);
    for now in [31_100, 62_000] {
        exchange_heartbeat(&mut a, &mut b, now);
    }
    let proposal = b.takeovers(Millis(62_260)).remove(0);
    assert_eq!(proposal.span, 5_000 + STALE_START_MS - 260);
}

#[test]
fn release_and_replace_count_own_span() {
    // Fails if a record that names a new holder or backup does not say how long
    // the requests sent before may last.
    let (mut a, mut b) = holder_and_backup();
    covers(&mut a, 1_001, 30_000);
    let (_, ack) = exchange_heartbeat(&mut a, &mut b, 1_002);
    a.on_ack(Millis(1_003), B, &ack);
    let replaced = a.replace_backup(&target(), Millis(1_510)).unwrap();
    assert_eq!(replaced.span, 30_000 + STALE_START_MS);
    a.append_failed(&replaced, lease::Effect::None);
    let released = a.release(&target(), Millis(1_600)).unwrap();
    assert_eq!(released.span, 30_000 + STALE_START_MS);
}

#[test]
fn cover_without_backup() {
    // Fails if a holder whose backup is gone can never send longer requests, or may
    // send them before it has read its record with the longer span.
    let (mut a, _) = holder_and_backup();
    assert!(!covers(&mut a, 1_001, 9_000) && a.is_short(&target()));
    let mut proposal = a.replace_backup(&target(), Millis(1_600)).unwrap();
    proposal.span = state::UNKNOWN_SPAN_MS;
    assert!(!covers(&mut a, 1_610, 9_000));
    a.follow(Millis(1_700), &state_with_lease(6, A, B, proposal.span));
    assert!(covers(&mut a, 1_710, 9_000) && !a.is_short(&target()));
    assert_eq!(
        a.orphans_end_at(&target()),
        Some(Millis(1_500 + STALE_START_MS)),
        "requests of this daemon itself don't count as those of earlier holders"
    );
}

#[test]
fn heartbeat_of_older_holder() {
    // Fails if a holder whose heartbeats contain no span is assumed to send only
    // short requests.
    let (mut a, mut b) = holder_and_backup();
    let (_, mut heartbeat) = a.heartbeats(Millis(1_010)).remove(0);
    heartbeat.spans.clear();
    b.on_heartbeat(Millis(1_010), A, &heartbeat);
    let proposal = b.takeovers(Millis(1_260)).remove(0);
    assert!(proposal.span >= state::UNKNOWN_SPAN_MS);
}
