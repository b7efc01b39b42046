//! Builds the refusals that callers get instead of a response, without I/O.
//!
//! Each function converts the error of one step: routing, the lease holder's
//! checks, admission, the target, or the connection to a target or a holder.

use crate::clock;
use crate::daemon::retry;
use crate::forward;
use crate::model;
use crate::route;
use crate::server;
use crate::state;
use crate::target;
use crate::target::admission;

/// Retry time after a refusal because of an unavailable tenant.
const TENANT_RETRY_MS: u64 = 1_000;

/// Retry time after a refusal because a lease or a shard is moving.
const MOVE_RETRY_MS: u64 = 50;

/// Retry time after a refusal because the admission queue is full.
const QUEUE_FULL_RETRY_MS: u64 = 100;

/// Retry time after a refusal by the target.
const TARGET_RETRY_MS: u64 = 20;

/// Retry time after a failed connection to the target.
const CONNECTION_RETRY_MS: u64 = 50;

/// Returns the time until a deadline, in milliseconds.
///
/// # Errors
/// Returns a refusal if the deadline has passed: the request must not be sent.
pub fn time_left(deadline: clock::Millis, now: clock::Millis) -> Result<u64, server::Refusal> {
    match deadline.since(now) {
        0 => Err(server::Refusal::not_run(
            server::Reason::Deadline,
            "the deadline has passed",
        )),
        left_ms => Ok(left_ms),
    }
}

/// Returns the refusal of a request whose body is too large.
pub fn from_body(error: server::BodyError) -> server::Refusal {
    server::Refusal::not_run(server::Reason::TooLarge, error.to_string())
}

/// Returns the refusal of a request that routing refused.
pub fn from_route(error: route::Refused) -> server::Refusal {
    let detail = error.to_string();
    match error {
        route::Refused::NoRoute => server::Refusal::not_run(server::Reason::NoRoute, detail),
        route::Refused::WrongRegion { addresses } => {
            let refusal = server::Refusal::not_run(server::Reason::WrongRegion, detail);
            match addresses.first() {
                Some(address) => refusal.at(format!("http://{address}")),
                None => refusal,
            }
        }
        route::Refused::TenantOut => {
            server::Refusal::not_run(server::Reason::Moving, detail).after(TENANT_RETRY_MS)
        }
        route::Refused::NoHome => server::Refusal::not_run(server::Reason::WrongRegion, detail),
        _ => server::Refusal::not_run(server::Reason::Malformed, detail),
    }
}

/// Returns the refusal of a request for a target whose lease the daemon `me`
/// does not hold. It carries the address of the daemon that may hold it, if known.
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

/// Returns the refusal of a request that failed the lease holder's checks.
pub fn from_check(target: &model::TargetName, error: target::order::Refused) -> server::Refusal {
    let (reason, detail) = match error {
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
            let detail = format!("the key is not owned by {target} in the named shard");
            (server::Reason::Moved, detail)
        }
        target::order::Refused::NoRight(denied) => {
            let refusal = server::Refusal::not_run(server::Reason::Moved, denied.to_string());
            return refusal.after(MOVE_RETRY_MS);
        }
    };
    server::Refusal::not_run(reason, detail)
}

/// Returns the refusal of a request that was not admitted.
pub fn from_admission(error: admission::Refused) -> server::Refusal {
    let detail = error.to_string();
    match error {
        admission::Refused::Overloaded { after_ms } => {
            server::Refusal::not_run(server::Reason::Overloaded, detail).after(after_ms)
        }
        admission::Refused::Deadline => server::Refusal::not_run(server::Reason::Deadline, detail),
        admission::Refused::Moving => {
            server::Refusal::not_run(server::Reason::Moving, detail).after(MOVE_RETRY_MS)
        }
        admission::Refused::Closed => {
            server::Refusal::not_run(server::Reason::Moved, detail).after(MOVE_RETRY_MS)
        }
        admission::Refused::Cancelled => {
            server::Refusal::not_run(server::Reason::Cancelled, detail)
        }
        admission::Refused::QueueFull => {
            server::Refusal::not_run(server::Reason::Overloaded, detail).after(QUEUE_FULL_RETRY_MS)
        }
    }
}

/// Returns the refusal of a request that the target refused before it ran for
/// the reason `refused`, and the outcome to report to admission.
pub fn from_target(refused: &str) -> (server::Refusal, admission::Outcome) {
    let (reason, outcome) = match refused {
        "shed" => (server::Reason::Shed, admission::Outcome::Shed),
        "cold" => (server::Reason::TargetCold, admission::Outcome::Cold),
        "deadline" => (server::Reason::Deadline, admission::Outcome::Failed),
        _ => (server::Reason::Moved, admission::Outcome::Failed),
    };
    let detail = format!("the target refused: {refused}");
    (
        server::Refusal::not_run(reason, detail).after(TARGET_RETRY_MS),
        outcome,
    )
}

/// Returns the refusal of a request whose exchange with the target failed.
pub fn from_target_failure(
    target: &model::TargetName,
    failure: &forward::Failure,
) -> server::Refusal {
    let refusal = from_failure(failure, format!("{target}: {}", failure.cause));
    match failure.outcome {
        forward::Outcome::NotRun => refusal.after(CONNECTION_RETRY_MS),
        forward::Outcome::Unknown => refusal,
    }
}

/// Returns the refusal of a request whose exchange with the lease holder failed.
pub fn from_holder_failure(
    target: &model::TargetName,
    failure: &forward::Failure,
) -> server::Refusal {
    let detail = format!("lease holder of {target}: {}", failure.cause);
    let refusal = from_failure(failure, detail);
    match failure.outcome {
        forward::Outcome::NotRun if failure.cause != forward::Cause::Cancelled => {
            refusal.after(retry::STATE_WAIT_MS)
        }
        _ => refusal,
    }
}

/// Returns the refusal for a failed exchange, with the given detail.
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
