//! Whether a refused request is sent again; pure decisions.

use crate::forward::Outcome;
use crate::server::Reason;

/// Longest wait for a newer state between two attempts, in milliseconds.
pub const WAIT: u64 = 50;

/// Attempts beyond the first that one request may cause at targets.
pub const EXTRA: u32 = 2;

/// Pause before the second attempt, in milliseconds. It doubles each time, up to
/// [`WAIT`], so that a fast sequence of records does not make requests spin.
const FIRST_PAUSE: u64 = 2;

/// A refusal of an attempt, and what matters about its request.
#[derive(Clone, Copy, Debug)]
pub struct Situation {
    /// Whether the attempt may have run.
    pub outcome: Outcome,
    /// Why there is no response.
    pub reason: Reason,
    /// Whether the refusal allows another attempt.
    pub retry: bool,
    /// Time after which the refusal asks to try again, in milliseconds.
    pub after_ms: Option<u64>,
    /// Whether only the owner of the request's key may serve it.
    pub keyed: bool,
    /// Whether the request may run twice.
    pub idempotent: bool,
    /// Whether the request's body is held whole.
    pub held: bool,
    /// Whether the caller is gone.
    pub gone: bool,
    /// Rounds that the request went through, including this one.
    pub rounds: u32,
    /// Attempts beyond the first so far.
    pub extra: u32,
    /// Time until the caller's deadline, in milliseconds.
    pub left: u64,
}

/// What to do after a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Pass the refusal on.
    Refuse,
    /// Try again once the state is newer: at the earliest after `least`
    /// milliseconds, at the latest after `most`.
    Wait {
        /// Least pause, in milliseconds.
        least: u64,
        /// Longest pause, in milliseconds.
        most: u64,
    },
    /// Send an extra attempt after a pause, in milliseconds.
    Again(u64),
}

/// Decides what follows a refusal. `budget` takes an extra attempt out of the
/// budget and returns whether there was room.
pub fn decide(situation: &Situation, budget: impl FnOnce() -> bool) -> Next {
    let doublings = situation.rounds.saturating_sub(1).min(8);
    let least = (FIRST_PAUSE << doublings).min(WAIT);
    if !situation.held || situation.gone || situation.left <= least {
        return Next::Refuse;
    }
    match situation.outcome {
        Outcome::NotRun if !situation.retry => Next::Refuse,
        Outcome::NotRun => after_not_run(situation, least, budget),
        Outcome::Unknown => {
            let lasting = !matches!(situation.reason, Reason::Deadline | Reason::Cancelled);
            let allowed = situation.idempotent && lasting && situation.extra < EXTRA;
            match allowed && budget() {
                true => Next::Again(least),
                false => Next::Refuse,
            }
        }
    }
}

fn after_not_run(situation: &Situation, least: u64, budget: impl FnOnce() -> bool) -> Next {
    let asked = situation.after_ms.unwrap_or(WAIT);
    let most = asked.min(WAIT).min(situation.left).max(least);
    let wait = Next::Wait { least, most };
    match situation.reason {
        Reason::NoOwner => wait,
        Reason::Moved | Reason::Moving | Reason::Unreachable if situation.keyed => wait,
        Reason::Moved | Reason::Moving | Reason::Unreachable if situation.extra < EXTRA => {
            // None of these has put load on a target, so that an attempt
            // beyond the budget may follow, but not at once.
            match budget() {
                true => Next::Again(least),
                false => wait,
            }
        }
        Reason::Overloaded | Reason::Shed | Reason::TargetCold
            if !situation.keyed && situation.extra < EXTRA =>
        {
            match budget() {
                true => Next::Again(least),
                false => Next::Refuse,
            }
        }
        _ => Next::Refuse,
    }
}
