//! Classification of an attempt's result, without I/O.

use std::time::Duration;

use crate::daemon::accounting::{self, CallResult};
use crate::daemon::attempt::Destination;
use crate::route::choice;
use crate::server;
use crate::tables::requests;

/// Returns the outcome of an attempt for its target's statistics, or `None` if
/// it was cancelled and the caller is gone, which counts as abandoned.
pub fn for_target(result: &CallResult, caller_gone: bool) -> Option<choice::Outcome> {
    use server::Reason::{Cancelled, Overloaded, Shed, TargetCold};
    match result.as_ref().map_err(|refusal| refusal.reason) {
        Ok(_) => Some(choice::Outcome::Answered),
        Err(Shed | Overloaded | TargetCold) => Some(choice::Outcome::Shed),
        Err(Cancelled) if caller_gone => None,
        Err(Cancelled) => Some(choice::Outcome::Overtaken),
        Err(_) => Some(choice::Outcome::Failed),
    }
}

/// Returns an attempt's entry for the list of recent requests. `start` and `end`
/// are measured from the start of the request.
pub fn record(
    destination: &Destination,
    result: &CallResult,
    (start, end): (Duration, Duration),
) -> requests::Attempt {
    let (outcome, reason) = accounting::RequestOutcome::from(result).labels();
    requests::Attempt {
        target: destination.target.clone(),
        shard: destination.shard,
        outcome: outcome.into(),
        reason: reason.into(),
        start_us: start.as_micros() as u64,
        end_us: end.as_micros() as u64,
    }
}
