//! Pauses between failed reads of the log.

use pistachiomoor::gateway::pause::{RETRY_MS, SharedPause};

/// Returns the shortest and the longest pause of each of `daemons` daemons after a failed read
/// of the targets, with a bound of 3 s for a configuration.
fn range(daemons: u64) -> (u64, u64) {
    let sharing = SharedPause {
        daemons,
        configure_ms: 3_000,
    };
    let pause = |random| sharing.after_failure(RETRY_MS, random);
    (pause(0.0), pause(1.0))
}

/// Guards against pauses that grow with the failure domain until no daemon reads the log
/// between its return and the bound of a configuration.
#[test]
fn after_failure_bounded() {
    for daemons in 1..=600 {
        let (_, longest) = range(daemons);
        assert!(longest <= 1_800, "{daemons} daemons: {longest} ms");
    }
}

/// Guards against daemons of a small failure domain that don't share their reads, and against
/// a daemon without peers that waits longer than one that reads alone has to.
#[test]
fn after_failure_shared() {
    assert_eq!(range(1), (250, 750));
    assert_eq!(range(2), (500, 1_500));
}
