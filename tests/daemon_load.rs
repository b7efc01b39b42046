//! Request rates measured at lease holders, and their comparison between holders.

use std::sync::Arc;

use pistachiomoor::clock::Millis;
use pistachiomoor::model;
use pistachiomoor::tables::load::Load;
use serde_json::json;

fn group() -> Arc<model::GroupId> {
    let group = json!({"service": "s", "regions": []});
    Arc::new(serde_json::from_value(group).unwrap())
}

/// Returns the rate at `end`, with a request every 10 ms in each of the busy periods
/// and windows of 5 s that end from `first_roll` on. Times are in milliseconds.
fn measured_rate(
    counted_since: u64,
    first_roll: u64,
    busy_periods: &[(u64, u64)],
    end: u64,
) -> Option<f64> {
    let (load, group) = (Load::new(Millis(counted_since)), group());
    for now in (counted_since..end).step_by(10) {
        if now >= first_roll && (now - first_roll).is_multiple_of(5_000) {
            load.roll(Millis(now));
        }
        if busy_periods
            .iter()
            .any(|(from, to)| (*from..*to).contains(&now))
        {
            load.note(&group, Some(model::Shard::Range(0)), None);
        }
    }
    load.rate(Millis(end))
}

/// Guards against rates that differ only because the holders' windows end at
/// different times while the load of all targets rises or falls.
#[test]
fn rate_independent_of_windows() {
    for busy in [(13_000, 60_000), (0, 13_000)] {
        for end in [20_000, 22_500, 24_900] {
            let early = measured_rate(0, 4_000, &[busy], end).unwrap();
            let late = measured_rate(0, 6_500, &[busy], end).unwrap();
            assert!(
                (early / late - 1.0).abs() < 0.1,
                "{early} and {late} at {end}"
            );
        }
    }
}

/// Guards against a target that appears idle because its holder is new, and would
/// therefore be assigned shards.
#[test]
fn rate_new_holder() {
    assert_eq!(measured_rate(50_000, 52_000, &[(0, 90_000)], 55_000), None);
    let rate = measured_rate(50_000, 52_000, &[(0, 90_000)], 60_000).unwrap();
    assert!((rate - 100.0).abs() < 5.0, "{rate}");
}
