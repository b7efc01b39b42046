//! Records that reach a daemon through others only: these don't reach its state machine,
//! while the position from which its own reads go on moves past them.

use pistachiomoor::clock::Millis;
use pistachiomoor::gateway::coordinator;
use pistachiomoor::gateway::keys;
use pistachiomoor::model;

use super::rig::{owner, ready, services};

/// Returns a table in which `name` owns all keys by the record `number`.
fn table_of(name: &str, number: u64) -> keys::Table {
    let run = keys::Run {
        owner: Some(owner(name, 1)),
        fence: number + 1,
        ..keys::Run::unowned()
    };
    keys::Table {
        host: "h0".into(),
        incarnation: model::Incarnation(1),
        services: [("s".into(), vec![run])].into(),
        quorums: Vec::new(),
    }
}

/// Lets a daemon take over that knows record 5, to which records 6 and 7 were passed on.
/// Returns the owner of the keys in the table with which it takes over.
///
/// # Errors
/// Describes an append before the daemon's own read.
fn takeover_after_relayed() -> Result<Option<keys::Owner>, String> {
    let mut machine = coordinator::Coordinator::new("h1".into(), model::Incarnation(1), Millis(0));
    machine.on_targets(Millis(0), vec![ready("a"), ready("b")], services());
    machine.poll(Millis(0), 0);
    let (known, end) = (model::Offset(5), model::Offset(6));
    machine.on_record(Millis(5), Millis(0), known, end, Some(table_of("a", 5)));
    // Record 7 moves the keys to "b". The coordinator's heartbeats don't arrive.
    let (newest, end) = (model::Offset(7), model::Offset(8));
    for now in (100..4_000).map(Millis) {
        for action in machine.poll(now, 0) {
            match action {
                // The follower's read from 8 on ends before the machine's own from 6 on, which
                // is not answered.
                coordinator::Action::Read => {
                    machine.on_unchanged(now, now, end, end);
                    machine.on_read_failed(now);
                }
                coordinator::Action::Append { end, .. } => {
                    return Err(format!("append of record 5's table at {end}, {now:?}"));
                }
                order => panic!("an order without authority: {order:?}"),
            }
        }
    }
    for now in (4_000..8_000).map(Millis) {
        for action in machine.poll(now, 0) {
            match action {
                coordinator::Action::Read => {
                    machine.on_record(now, now, newest, end, Some(table_of("b", 7)));
                }
                coordinator::Action::Append { table, .. } => {
                    let table = keys::Table::decode(&table).unwrap();
                    return Ok(table.services[&"s".into()][0].owner.clone());
                }
                order => panic!("an order without authority: {order:?}"),
            }
        }
    }
    Err("no takeover after the daemon's own read".to_owned())
}

/// Guards against a takeover with an outdated table (two owners of a key) since a read from
/// the position after relayed records finds nothing.
#[test]
fn on_unchanged_after_relayed_records() {
    let found = takeover_after_relayed().unwrap();
    assert_eq!(found, Some(owner("b", 1)));
}

/// Lets a daemon take over that knows an empty topic, to which record 0 was passed on.
///
/// # Errors
/// Describes an append or an order without a read that showed record 0.
fn takeover_after_first_relayed() -> Result<(), String> {
    let mut machine = coordinator::Coordinator::new("h1".into(), model::Incarnation(1), Millis(0));
    machine.on_targets(Millis(0), vec![ready("a"), ready("b")], services());
    machine.poll(Millis(0), 1);
    machine.on_empty_topic(Millis(5), Millis(0), model::Offset(0));
    for now in (100..4_000).map(Millis) {
        for action in machine.poll(now, 1) {
            match action {
                // The follower's read from 1 on ends before the machine's own.
                coordinator::Action::Read => {
                    let end = model::Offset(1);
                    machine.on_unchanged(now, now, end, end);
                    machine.on_read_failed(now);
                }
                action => return Err(format!("at {now:?} with an empty topic: {action:?}")),
            }
        }
    }
    Ok(())
}

/// Guards against a first table, whose keys are granted at once, beside the table of another
/// daemon whose record was passed on.
#[test]
fn on_unchanged_after_first_relayed() {
    takeover_after_first_relayed().unwrap();
}
