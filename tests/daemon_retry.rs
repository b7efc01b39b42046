//! Which refusals are followed by another attempt, and how many may wait.

use pistachiomoor::daemon::retry::{self, Next, Situation};
use pistachiomoor::forward::Outcome::{self, NotRun, Unknown};
use pistachiomoor::server::Reason;
use pistachiomoor::tables::seats;

const AGAIN: Next = Next::Again(2);
const WAIT: Next = Next::Wait { least: 2, most: 50 };

fn refused(outcome: Outcome, reason: Reason, keyed: bool) -> Situation {
    Situation {
        outcome,
        reason,
        retry: true,
        after_ms: None,
        keyed,
        idempotent: true,
        held: true,
        gone: false,
        rounds: 1,
        extra: 0,
        left: 1_000,
    }
}

/// Guards against a non-idempotent request that runs twice, load on targets
/// beyond the budget or the two extra attempts, a streamed body that is sent
/// again, and requests that give up although a newer state may help.
#[test]
fn decide_cases() {
    let keyed = |reason| refused(NotRun, reason, true);
    let shared = |reason| refused(NotRun, reason, false);
    let unknown = refused(Unknown, Reason::ConnectionLost, false);
    // Situation, expected with room in the budget, expected without.
    let cases = [
        (keyed(Reason::NoOwner), WAIT, WAIT),
        (keyed(Reason::Moving), WAIT, WAIT),
        (
            Situation {
                extra: 2,
                ..keyed(Reason::Moved)
            },
            WAIT,
            WAIT,
        ),
        (
            Situation {
                idempotent: false,
                ..keyed(Reason::Unreachable)
            },
            WAIT,
            WAIT,
        ),
        (keyed(Reason::Shed), Next::Refuse, Next::Refuse),
        (keyed(Reason::Overloaded), Next::Refuse, Next::Refuse),
        (keyed(Reason::Deadline), Next::Refuse, Next::Refuse),
        (shared(Reason::NoOwner), WAIT, WAIT),
        (shared(Reason::Unreachable), AGAIN, WAIT),
        (shared(Reason::Shed), AGAIN, Next::Refuse),
        (
            Situation {
                idempotent: false,
                ..shared(Reason::Shed)
            },
            AGAIN,
            Next::Refuse,
        ),
        (
            Situation {
                extra: 1,
                ..shared(Reason::TargetCold)
            },
            AGAIN,
            Next::Refuse,
        ),
        (
            Situation {
                extra: 2,
                ..shared(Reason::Shed)
            },
            Next::Refuse,
            Next::Refuse,
        ),
        (
            Situation {
                extra: 2,
                ..shared(Reason::Moved)
            },
            Next::Refuse,
            Next::Refuse,
        ),
        (
            Situation {
                retry: false,
                ..shared(Reason::Moved)
            },
            Next::Refuse,
            Next::Refuse,
        ),
        (
            Situation {
                held: false,
                ..shared(Reason::Moved)
            },
            Next::Refuse,
            Next::Refuse,
        ),
        (
            Situation {
                held: false,
                ..unknown
            },
            Next::Refuse,
            Next::Refuse,
        ),
        (
            Situation {
                gone: true,
                ..keyed(Reason::Moved)
            },
            Next::Refuse,
            Next::Refuse,
        ),
        (
            Situation {
                left: 2,
                ..keyed(Reason::Moved)
            },
            Next::Refuse,
            Next::Refuse,
        ),
        (unknown, AGAIN, Next::Refuse),
        (
            Situation {
                keyed: true,
                ..unknown
            },
            AGAIN,
            Next::Refuse,
        ),
        (
            Situation {
                idempotent: false,
                ..unknown
            },
            Next::Refuse,
            Next::Refuse,
        ),
        (
            Situation {
                extra: 2,
                ..unknown
            },
            Next::Refuse,
            Next::Refuse,
        ),
        (
            Situation {
                reason: Reason::Deadline,
                ..unknown
            },
            Next::Refuse,
            Next::Refuse,
        ),
        (
            Situation {
                reason: Reason::Cancelled,
                ..unknown
            },
            Next::Refuse,
            Next::Refuse,
        ),
    ];
    for (situation, rich, poor) in cases {
        assert_eq!(retry::decide(&situation, || true), rich, "{situation:?}");
        assert_eq!(
            retry::decide(&situation, || false),
            poor,
            "{situation:?}, no budget"
        );
    }
}

/// Guards against budget that is spent on a request that is not sent again.
#[test]
fn decide_asks_budget_only_if_needed() {
    for situation in [
        refused(NotRun, Reason::Moved, true),
        Situation {
            extra: 2,
            ..refused(NotRun, Reason::Shed, false)
        },
        Situation {
            left: 0,
            ..refused(Unknown, Reason::ConnectionLost, false)
        },
    ] {
        retry::decide(&situation, || panic!("asked for {situation:?}"));
    }
}

/// Guards against spinning while records come fast, and a wait beyond the
/// deadline or far beyond the time that the refusal asks for.
#[test]
fn decide_pause_grows_within_bounds() {
    let wait = |rounds, after_ms, left| {
        let refused = refused(NotRun, Reason::Moved, true);
        retry::decide(
            &Situation {
                rounds,
                after_ms,
                left,
                ..refused
            },
            || true,
        )
    };
    let expected = |least, most| Next::Wait { least, most };
    assert_eq!(wait(3, None, 1_000), expected(8, 50));
    assert_eq!(wait(9, None, 1_000), expected(50, 50));
    assert_eq!(wait(1, Some(20), 1_000), expected(2, 20));
    assert_eq!(wait(1, Some(0), 1_000), expected(2, 2));
    assert_eq!(wait(1, Some(5_000), 1_000), expected(2, 50));
    assert_eq!(wait(1, None, 30), expected(2, 30));
}

/// Guards against waiting requests that take all workers.
#[test]
fn take_leaves_half_of_workers() {
    let seats = seats::Seats::half_of(5);
    let taken = [seats.take(), seats.take()];
    assert!(taken.iter().all(Option::is_some));
    assert!(seats.take().is_none());
    drop(taken);
    assert!(seats.take().is_some());
    assert!(seats::Seats::half_of(1).take().is_some());
}
