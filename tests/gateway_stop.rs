//! Which requests a stopping gateway still takes.

use pistachiomoor::clock::Millis;
use pistachiomoor::gateway::exchange::stop::Stop;

/// Grace period in milliseconds.
const GRACE_MS: u64 = 6_000;

/// Guards against answers and cuts that come too late for the process to end in its
/// grace period.
#[test]
fn stop_times() {
    let stop = Stop::new(Millis(1_000), GRACE_MS);
    assert_eq!(stop.answer_at, Millis(6_580));
    assert_eq!(stop.cut_at, Millis(6_760));
}

/// Guards against requests that are taken although neither their deadline nor three
/// times the mean work of their route ends in time, and against the refusal of others.
#[test]
fn takes_by_deadline_or_work() {
    let stop = Stop::new(Millis(0), GRACE_MS);
    for (now, deadline, work_ms, expected) in [
        (0, 5_580, 9_000.0, true),
        (0, 5_581, 9_000.0, false),
        (0, 30_000, 1_860.0, true),
        (0, 30_000, 1_860.1, false),
        (5_580, 5_580, 100.0, true),
        (5_580, 5_581, 0.0, true),
        (5_580, 6_000, 0.1, false),
        (5_581, 5_581, 0.0, false),
    ] {
        let taken = stop.takes(Millis(now), Millis(deadline), work_ms);
        assert_eq!(taken, expected, "{now} {deadline} {work_ms}");
    }
}
