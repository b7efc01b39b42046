//! What the end of an attempt says; pure.

use std::time::Duration;

use crate::daemon::accounting::{self, Answered};
use crate::daemon::attempt::Destination;
use crate::route::choice;
use crate::server;
use crate::tables::requests;

/// Returns what an attempt says of its target. `None`, if the caller is `gone`,
/// counts it as abandoned.
pub fn at_target(result: &Answered, gone: bool) -> Option<choice::Outcome> {
    use server::Reason::{Cancelled, Overloaded, Shed, TargetCold};
    match result.as_ref().map_err(|refusal| refusal.reason) {
        Ok(_) => Some(choice::Outcome::Answered),
        Err(Shed | Overloaded | TargetCold) => Some(choice::Outcome::Shed),
        Err(Cancelled) if gone => None,
        Err(Cancelled) => Some(choice::Outcome::Overtaken),
        Err(_) => Some(choice::Outcome::Failed),
    }
}

/// Returns the entry for the list of recent requests of an attempt that went
/// on from `start` to `end`, both counted from the request's start.
pub fn record(
    destination: &Destination,
    result: &Answered,
    (start, end): (Duration, Duration),
) -> requests::Attempt {
    let (outcome, reason) = accounting::End::from(result).names();
    requests::Attempt {
        target: destination.target.clone(),
        shard: destination.shard,
        outcome: outcome.into(),
        reason: reason.into(),
        start_us: start.as_micros() as u64,
        end_us: end.as_micros() as u64,
    }
}
