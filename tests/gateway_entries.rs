//! Values of odd records that fit their types, in the arithmetic after them.

use std::collections::HashSet;

use pistachiomoor::clock::Millis;
use pistachiomoor::finding::Finding;
use pistachiomoor::gateway::adapter::{Entry, EntryState, LoadReport, Record, Topic};
use pistachiomoor::gateway::choice::{AttemptOutcome, Candidate, Pick, Table};
use pistachiomoor::gateway::peers::HostRecord;
use pistachiomoor::gateway::quota::cold_share;
use pistachiomoor::gateway::registry::Registry;
use pistachiomoor::gateway::relay::{Progress, Relay, Relayed};
use pistachiomoor::model::{Incarnation, Offset, TargetName};

/// Time at the start of each test.
const START: Millis = Millis(100_000);

fn entry(name: &str, port: u16) -> Entry {
    Entry {
        name: name.into(),
        birth: 5,
        sequence: 5,
        service: "orders".into(),
        address: ([127, 0, 0, 1], port).into(),
        domain: "bkk-1".into(),
        slots: 2,
        state: EntryState::Ready,
        warmup_ms: 0,
    }
}

/// Returns the names of the usable targets.
fn listed(registry: &Registry) -> Vec<&str> {
    registry.iter().map(|target| target.name.as_str()).collect()
}

/// Guards against a time far in the future that wraps to one that has passed, or ends the
/// daemon.
#[test]
fn time_add_beyond_range() {
    assert_eq!(START + u64::MAX, Millis(u64::MAX));
    assert_eq!((START + u64::MAX).since(START), u64::MAX - START.0);
    assert_eq!(START - u64::MAX, Millis(0));
    assert_eq!(START + 5, Millis(100_005));
}
