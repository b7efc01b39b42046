//! Retry decisions after refusals, and the limit on waiting requests.

use pistachiomoor::daemon::retry::{self, Decision, FailedAttempt};
use pistachiomoor::forward::Outcome::{self, NotRun, Unknown};
use pistachiomoor::server::Reason;
use pistachiomoor::tables::seats;

const RETRY: Decision = Decision::Retry(2);
const AWAIT_STATE: Decision = Decision::AwaitState {
    min_ms: 2,
    max_ms: 50,
};

fn refused(outcome: Outcome, reason: Reason, keyed: bool) -> FailedAttempt {
    FailedAttempt {
        outcome,
        reason,
        retryable: true,
        after_ms: None,
        keyed,
        idempotent: true,
        buffered: true,
        caller_gone: false,
        rounds: 1,
        extra_attempts: 0,
        left_ms: 1_000,
    }
}

/// Guards against a non-idempotent request that runs twice, load on targets
/// beyond the budget or the two extra attempts, retries of a body that is not
/// in memory, and requests that fail although a newer state may help.
#[test]
fn decide_cases() {
    let keyed = |reason| refused(NotRun, reason, true);
    let shared = |reason| refused(NotRun, reason, false);
    let unknown = refused(Unknown, Reason::ConnectionLost, false);
    // Failed attempt, expected with room in the budget, expected without.
    let cases = [
        (keyed(Reason::NoOwner), AWAIT_STATE, AWAIT_STATE),
        (keyed(Reason::Moving), AWAIT_STATE, AWAIT_STATE),
        (
            FailedAttempt {
                extra_attempts: 2,
                ..keyed(Reason::Moved)
            },
            AWAIT_STATE,
            AWAIT_STATE,
        ),
        (
            FailedAttempt {
                idempotent: false,
                ..keyed(Reason::Unreachable)
            },
            AWAIT_STATE,
            AWAIT_STATE,
        ),
        (keyed(Reason::Shed), Decision::Refuse, Decision::Refuse),
        (
            keyed(Reason::Overloaded),
            Decision::Refuse,
            Decision::Refuse,
        ),
        (keyed(Reason::Deadline), Decision::Refuse, Decision::Refuse),
        (shared(Reason::NoOwner), AWAIT_STATE, AWAIT_STATE),
        (shared(Reason::Unreachable), RETRY, AWAIT_STATE),
        (shared(Reason::Shed), RETRY, Decision::Refuse),
        (
            FailedAttempt {
                idempotent: false,
                ..shared(Reason::Shed)
            },
            RETRY,
            Decision::Refuse,
        ),
        (
            FailedAttempt {
                extra_attempts: 1,
                ..shared(Reason::TargetCold)
            },
            RETRY,
            Decision::Refuse,
        ),
        (
            FailedAttempt {
                extra_attempts: 2,
                ..shared(Reason::Shed)
            },
            Decision::Refuse,
            Decision::Refuse,
        ),
        (
            FailedAttempt {
                extra_attempts: 2,
                ..shared(Reason::Moved)
            },
            Decision::Refuse,
            Decision::Refuse,
        ),
        (
            FailedAttempt {
                retryable: false,
                ..shared(Reason::Moved)
            },
            Decision::Refuse,
            Decision::Refuse,
        ),
        (
            FailedAttempt {
                buffered: false,
                ..shared(Reason::Moved)
            },
            Decision::Refuse,
            Decision::Refuse,
        ),
        (
            FailedAttempt {
                buffered: false,
                ..unknown
            },
            Decision::Refuse,
            Decision::Refuse,
        ),
        (
            FailedAttempt {
                caller_gone: true,
                ..keyed(Reason::Moved)
            },
            Decision::Refuse,
            Decision::Refuse,
        ),
        (
            FailedAttempt {
                left_ms: 2,
                ..keyed(Reason::Moved)
            },
            Decision::Refuse,
            Decision::Refuse,
        ),
        (unknown, RETRY, Decision::Refuse),
        (
            FailedAttempt {
                keyed: true,
                ..unknown
            },
            RETRY,
            Decision::Refuse,
        ),
        (
            FailedAttempt {
                idempotent: false,
                ..unknown
            },
            Decision::Refuse,
            Decision::Refuse,
        ),
        (
            FailedAttempt {
                extra_attempts: 2,
                ..unknown
            },
            Decision::Refuse,
            Decision::Refuse,
        ),
        (
            FailedAttempt {
                reason: Reason::Deadline,
                ..unknown
            },
            Decision::Refuse,
            Decision::Refuse,
        ),
        (
            FailedAttempt {
                reason: Reason::Cancelled,
                ..unknown
            },
            Decision::Refuse,
            Decision::Refuse,
        ),
    ];
    for (failed, with_budget, without_budget) in cases {
        assert_eq!(retry::decide(&failed, || true), with_budget, "{failed:?}");
        assert_eq!(
            retry::decide(&failed, || false),
            without_budget,
            "{failed:?}, no budget"
        );
    }
}

/// Guards against budget that is used up by a request that is not retried, or
/// that is retried without budget.
#[test]
fn decide_asks_budget_only_if_needed() {
    for failed in [
        refused(NotRun, Reason::Moved, true),
        FailedAttempt {
            extra_attempts: 2,
            ..refused(NotRun, Reason::Shed, false)
        },
        FailedAttempt {
            left_ms: 0,
            ..refused(Unknown, Reason::ConnectionLost, false)
        },
    ] {
        retry::decide(&failed, || panic!("took budget for {failed:?}"));
    }
}

/// Guards against spinning while records come fast, and a wait beyond the
/// deadline or far beyond the time that the refusal asks for.
#[test]
fn decide_pause_grows_within_bounds() {
    let wait = |rounds, after_ms, left_ms| {
        let refused = refused(NotRun, Reason::Moved, true);
        retry::decide(
            &FailedAttempt {
                rounds,
                after_ms,
                left_ms,
                ..refused
            },
            || true,
        )
    };
    let expected = |min_ms, max_ms| Decision::AwaitState { min_ms, max_ms };
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
