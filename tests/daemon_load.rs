//! Load counted at lease holders, and its comparison between them.

use std::sync::Arc;

use pistachiomoor::clock::Millis;
use pistachiomoor::model;
use pistachiomoor::tables::load::Load;
use serde_json::json;

fn group() -> Arc<model::GroupId> {
    let group = json!({"service": "s", "regions": []});
    Arc::new(serde_json::from_value(group).unwrap())
}

/// Counts a request every 10 ms in each of the times given, in milliseconds,
/// with windows of 5 s from `first` on, and returns the rate at `end`.
fn measured(birth: u64, first: u64, busy: &[(u64, u64)], end: u64) -> Option<f64> {
    let (load, group) = (Load::new(Millis(birth)), group());
    for now in (birth..end).step_by(10) {
        if now >= first && (now - first).is_multiple_of(5_000) {
            load.roll(Millis(now));
        }
        if busy.iter().any(|(from, to)| (*from..*to).contains(&now)) {
            load.note(&group, Some(model::Shard::Range(0)), None);
        }
    }
    load.rate(Millis(end))
}

/// Guards against loads that differ only because the holders' windows end at
/// different times while the load of all targets rises or falls.
#[test]
fn rate_independent_of_windows() {
    for busy in [(13_000, 60_000), (0, 13_000)] {
        for end in [20_000, 22_500, 24_900] {
            let one = measured(0, 4_000, &[busy], end).unwrap();
            let other = measured(0, 6_500, &[busy], end).unwrap();
            assert!(
                (one / other - 1.0).abs() < 0.1,
                "{one} and {other} at {end}"
            );
        }
    }
}

/// Guards against a target whose holder is new and that therefore looks idle,
/// so that it is sent shards.
#[test]
fn rate_new_holder() {
    assert_eq!(measured(50_000, 52_000, &[(0, 90_000)], 55_000), None);
    let rate = measured(50_000, 52_000, &[(0, 90_000)], 60_000).unwrap();
    assert!((rate - 100.0).abs() < 5.0, "{rate}");
}
