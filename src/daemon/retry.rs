//! Decides whether a refused request is retried, without I/O.

use crate::forward::Outcome;
use crate::server::Reason;

/// Longest wait for a newer state between two attempts.
pub const STATE_WAIT_MS: u64 = 50;

/// Most attempts at targets beyond the first, for each request.
pub const MAX_EXTRA_ATTEMPTS: u32 = 2;

/// Pause before the second attempt. It doubles each time, up to
/// [`STATE_WAIT_MS`], so that requests don't spin while records come fast.
const INITIAL_PAUSE_MS: u64 = 2;

/// Most doublings of the pause. The bound keeps the shift from overflowing.
const MAX_DOUBLINGS: u32 = 8;

/// A refusal, and the properties of its request that the decision depends on.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// Why there is no response.
    pub reason: Reason,
    /// Whether the refusal allows another attempt.
    pub retryable: bool,
    /// Time after which the refusal asks for a retry, in milliseconds.
    pub after_ms: Option<u64>,
    /// Whether only the owner of the request's key may serve it.
    pub keyed: bool,
    /// Whether the request's method is idempotent, so that it may run twice.
    pub idempotent: bool,
    /// Whether the request's whole body is in memory, so that it can be sent again.
    pub buffered: bool,
    /// Whether the caller has disconnected.
    pub caller_gone: bool,
    /// Rounds started, including this one.
    pub rounds: u32,
    /// Attempts beyond the first so far.
    pub extra_attempts: u32,
    /// Time until the caller's deadline, in milliseconds.
    pub left_ms: u64,
}

/// Decision after a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Return the refusal to the caller.
    Refuse,
    /// Retry once the state is newer: after `min_ms` at the earliest, and after
    /// `max_ms` at the latest. It does not use the budget.
    AwaitState {
        /// Shortest pause, in milliseconds.
        min_ms: u64,
        /// Longest pause, in milliseconds.
        max_ms: u64,
    },
    /// Retry after a pause, in milliseconds, with an attempt from the budget.
    Retry(u64),
}

/// Decides what follows a refusal. `budget` takes one attempt from the budget of
/// extra attempts and returns whether one was left. It is called only if an
/// attempt would use it.
pub fn decide(failed: &FailedAttempt, budget: impl FnOnce() -> bool) -> Decision {
    let doublings = failed.rounds.saturating_sub(1).min(MAX_DOUBLINGS);
    let min_ms = (INITIAL_PAUSE_MS << doublings).min(STATE_WAIT_MS);
    if !failed.buffered || failed.caller_gone || failed.left_ms <= min_ms {
        return Decision::Refuse;
    }
    match failed.outcome {
        Outcome::NotRun if !failed.retryable => Decision::Refuse,
        Outcome::NotRun => after_not_run(failed, min_ms, budget),
        Outcome::Unknown => {
            let repeatable = !matches!(failed.reason, Reason::Deadline | Reason::Cancelled);
            let allowed =
                failed.idempotent && repeatable && failed.extra_attempts < MAX_EXTRA_ATTEMPTS;
            match allowed && budget() {
                true => Decision::Retry(min_ms),
                false => Decision::Refuse,
            }
        }
    }
}

/// Decides what follows a refusal of a request that has not run.
fn after_not_run(failed: &FailedAttempt, min_ms: u64, budget: impl FnOnce() -> bool) -> Decision {
    let requested_ms = failed.after_ms.unwrap_or(STATE_WAIT_MS);
    let max_ms = requested_ms
        .min(STATE_WAIT_MS)
        .min(failed.left_ms)
        .max(min_ms);
    let wait = Decision::AwaitState { min_ms, max_ms };
    match failed.reason {
        Reason::NoOwner => wait,
        Reason::Moved | Reason::Moving | Reason::Unreachable if failed.keyed => wait,
        Reason::Moved | Reason::Moving | Reason::Unreachable
            if failed.extra_attempts < MAX_EXTRA_ATTEMPTS =>
        {
            // None of these refusals put load on a target, so that a retry
            // without budget is allowed after a wait.
            match budget() {
                true => Decision::Retry(min_ms),
                false => wait,
            }
        }
        Reason::Overloaded | Reason::Shed | Reason::TargetCold
            if !failed.keyed && failed.extra_attempts < MAX_EXTRA_ATTEMPTS =>
        {
            match budget() {
                true => Decision::Retry(min_ms),
                false => Decision::Refuse,
            }
        }
        _ => Decision::Refuse,
    }
}
