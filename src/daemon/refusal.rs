//! What callers are told of a request without a response; pure.
//!
//! Each function takes the reason of one part: routing, the holder's checks,
//! admission, the target, or the connection to a target or a lease holder.

use crate::clock;
use crate::daemon::retry;
use crate::forward;
use crate::model;
use crate::route;
use crate::server;
use crate::state;
use crate::target;
use crate::target::admission;

/// Returns the time until a deadline, in milliseconds.
///
/// # Errors
/// Fails if the deadline has passed, so that the request must not be sent.
pub fn time_left(deadline: clock::Millis, now: clock::Millis) -> Result<u64, server::Refusal> {
    match deadline.since(now) {
        0 => Err(server::Refusal::not_run(
            server::Reason::Deadline,
            "the deadline has passed",
        )),
        left => Ok(left),
    }
}

/// Returns the refusal of a request whose body is too large.
pub fn from_body(error: server::BodyError) -> server::Refusal {
    server::Refusal::not_run(server::Reason::TooLarge, error.to_string())
}

/// Returns the refusal of a request without a placement group.
pub fn from_route(why: route::Refused) -> server::Refusal {
    let detail = why.to_string();
    match why {
        route::Refused::NoRoute => server::Refusal::not_run(server::Reason::NoRoute, detail),
        route::Refused::WrongRegion { addresses } => {
            let refusal = server::Refusal::not_run(server::Reason::WrongRegion, detail);
            match addresses.first() {
                Some(address) => refusal.at(format!("http://{address}")),
                None => refusal,
            }
        }
        route::Refused::TenantOut => {
            server::Refusal::not_run(server::Reason::Moving, detail).after(1_000)
        }
        route::Refused::NoHome => server::Refusal::not_run(server::Reason::WrongRegion, detail),
        _ => server::Refusal::not_run(server::Reason::Malformed, detail),
    }
}

/// Returns the refusal of a request for a target whose lease the daemon `me`
/// does not hold. It names the other daemon that may hold it.
pub fn from_lease(
    state: &state::State,
    me: model::Incarnation,
    target: &model::TargetName,
) -> server::Refusal {
    let detail = format!("this daemon does not hold the lease on {target}");
    let refusal = server::Refusal::not_run(server::Reason::Moved, detail);
    let lease = state.leases.get(target);
    let other = lease.and_then(|lease| match lease.backup {
        Some(backup) if backup != me => Some(backup),
        _ => Some(lease.holder).filter(|holder| *holder != me),
    });
    match other.and_then(|other| state.hosts.get(&other)) {
        Some(host) => refusal.at(format!("http://{}", host.peer)),
        None => refusal,
    }
}

/// Returns the refusal of a request that failed the holder's checks.
pub fn from_check(target: &model::TargetName, why: target::order::Refused) -> server::Refusal {
    let (reason, detail) = match why {
        target::order::Refused::OutOfWork => {
            let detail = format!("{target} takes no new work");
            (server::Reason::Moved, detail)
        }
        target::order::Refused::WrongRegion => {
            let detail = format!("{target} is outside the request's home regions");
            (server::Reason::WrongRegion, detail)
        }
        target::order::Refused::Rebound => {
            let detail = "the binding of the route or tenant has changed";
            (server::Reason::Moved, detail.to_owned())
        }
        target::order::Refused::NotOwner => {
            let detail = format!("the key is not owned by {target} in the shard named");
            (server::Reason::Moved, detail)
        }
        target::order::Refused::NoRight(denied) => {
            let refusal = server::Refusal::not_run(server::Reason::Moved, denied.to_string());
            return refusal.after(50);
        }
    };
    server::Refusal::not_run(reason, detail)
}

/// Returns the refusal of a request that was not admitted.
pub fn from_admission(why: admission::Refused) -> server::Refusal {
    let detail = why.to_string();
    match why {
        admission::Refused::Overloaded { after_ms } => {
            server::Refusal::not_run(server::Reason::Overloaded, detail).after(after_ms)
        }
        admission::Refused::Deadline => server::Refusal::not_run(server::Reason::Deadline, detail),
        admission::Refused::Moving => {
            server::Refusal::not_run(server::Reason::Moving, detail).after(50)
        }
        admission::Refused::Closed => {
            server::Refusal::not_run(server::Reason::Moved, detail).after(50)
        }
        admission::Refused::Cancelled => {
            server::Refusal::not_run(server::Reason::Cancelled, detail)
        }
        admission::Refused::QueueFull => {
            server::Refusal::not_run(server::Reason::Overloaded, detail).after(100)
        }
    }
}

/// Returns the refusal of a request that the target refused before it ran, and
/// what that says of the target's load.
pub fn from_target(why: &str) -> (server::Refusal, admission::Outcome) {
    let (reason, outcome) = match why {
        "shed" => (server::Reason::Shed, admission::Outcome::Shed),
        "cold" => (server::Reason::TargetCold, admission::Outcome::Cold),
        "deadline" => (server::Reason::Deadline, admission::Outcome::Failed),
        _ => (server::Reason::Moved, admission::Outcome::Failed),
    };
    let detail = format!("the target refused: {why}");
    (server::Refusal::not_run(reason, detail).after(20), outcome)
}

/// Returns the refusal of a request that its target did not answer.
pub fn from_target_failure(
    target: &model::TargetName,
    failure: &forward::Failure,
) -> server::Refusal {
    let refusal = from_failure(failure, format!("{target}: {}", failure.cause));
    match failure.outcome {
        forward::Outcome::NotRun => refusal.after(50),
        forward::Outcome::Unknown => refusal,
    }
}

/// Returns the refusal of a request that its target's lease holder did not answer.
pub fn from_holder_failure(
    target: &model::TargetName,
    failure: &forward::Failure,
) -> server::Refusal {
    let detail = format!("lease holder of {target}: {}", failure.cause);
    let refusal = from_failure(failure, detail);
    match failure.outcome {
        forward::Outcome::NotRun if failure.cause != forward::Cause::Cancelled => {
            refusal.after(retry::WAIT)
        }
        _ => refusal,
    }
}

fn from_failure(failure: &forward::Failure, detail: String) -> server::Refusal {
    match failure.outcome {
        forward::Outcome::NotRun => {
            let reason = match failure.cause {
                forward::Cause::Cancelled => server::Reason::Cancelled,
                _ => server::Reason::Unreachable,
            };
            server::Refusal::not_run(reason, detail)
        }
        forward::Outcome::Unknown => {
            let reason = match failure.cause {
                forward::Cause::Timeout => server::Reason::Deadline,
                forward::Cause::Cancelled => server::Reason::Cancelled,
                forward::Cause::GuardRefused => server::Reason::RightLost,
                _ => server::Reason::ConnectionLost,
            };
            server::Refusal::unknown(reason, detail)
        }
    }
}
