//! Requests in flight to a target, and the release of their slots.

use std::io::{self, Read};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::clock;
use crate::daemon::delivery;
use crate::daemon::refusal;
use crate::forward;
use crate::server;
use crate::tables::{self, keeper};
use crate::target::admission;

/// Time after a request's deadline by which its target has ended it, in
/// milliseconds. The target's deadline starts when the request arrives there,
/// which may be that much later.
const SETTLE_MS: u64 = 200;

/// Longest duration counted for a request that the target refused.
const REFUSED_MAX_DURATION: Duration = Duration::from_secs(1);

/// A request that was sent to a target and may be running there.
pub struct InFlight {
    /// State shared by the daemon's threads.
    pub shared: Arc<tables::Shared>,
    /// Admission permit, which occupies one of the target's slots.
    pub permit: admission::Permit,
    /// Keeper of the target.
    pub keeper: Arc<keeper::Keeper>,
    /// Request identifier.
    pub id: Arc<str>,
    /// Time at which the request's deadline passes.
    pub deadline: clock::Millis,
    /// Time at which the request was sent.
    pub start: Instant,
}

impl InFlight {
    /// Frees the slot and reports the request's outcome and duration to admission.
    pub fn finish(self, outcome: admission::Outcome) {
        self.permit.finish(outcome, self.start.elapsed());
    }

    /// Asks the target to cancel the request. The slot stays occupied until the
    /// target confirms that or the deadline and [`SETTLE_MS`] have passed, because
    /// the target may still run the request.
    pub fn give_up(self) {
        let until = clock::now().max(self.deadline) + SETTLE_MS;
        let unsettled = self.permit.give_up(until);
        self.shared.cancel(&self.keeper, &self.id, Some(unsettled));
    }

    /// Handles a request that failed without an answer and returns the refusal.
    ///
    /// Frees the slot if the request has not run, else asks the target to cancel
    /// it. Triggers a check of the target on connection failures and timeouts.
    pub fn fail(self, failure: &forward::Failure) -> server::Refusal {
        let keeper = self.keeper.clone();
        match failure.cause {
            forward::Cause::Refused
            | forward::Cause::Connect(_)
            | forward::Cause::ConnectTimeout => keeper.suspect(),
            forward::Cause::Timeout => keeper.timed_out(failure.reused),
            _ => {}
        }
        match failure.outcome {
            forward::Outcome::NotRun => self.finish(match failure.cause {
                forward::Cause::Refused => admission::Outcome::Refused,
                _ => admission::Outcome::Failed,
            }),
            forward::Outcome::Unknown => self.give_up(),
        }
        refusal::from_target_failure(&keeper.target, failure)
    }

    /// Classifies an error while the target's answer was read.
    fn classify_cut(&self, error: &io::Error) -> delivery::Cut {
        let target = &self.keeper.target;
        log::debug!("reading the answer of {target} failed: {error}");
        let left = self.deadline.since(clock::now());
        delivery::Cut::classify(error, left, || match self.shared.may_act(target) {
            Ok(_) => delivery::Cut::TargetEnded,
            Err(_) => delivery::Cut::RightLost,
        })
    }

    /// Frees the slot of a request that the target refused for the reason `why`,
    /// and returns the refusal. Renews the grants at once if the target lacked a
    /// current one.
    pub fn refuse(self, why: &str) -> server::Refusal {
        let (refusal, outcome) = refusal::from_target(why);
        let elapsed = self.start.elapsed().min(REFUSED_MAX_DURATION);
        self.permit.finish(outcome, elapsed);
        if matches!(why, "fence" | "grant") {
            self.keeper.renew_now();
        }
        refusal
    }
}

/// Body of a target's response, which frees the request's slot when it ends. If
/// it is dropped before, the request is cancelled at the target.
pub struct InFlightBody {
    /// The body.
    pub reply: forward::Reply,
    /// The request; `None` once the body has ended.
    pub in_flight: Option<InFlight>,
    /// Outcome that the head of the response reports to admission.
    pub outcome: admission::Outcome,
}

impl Drop for InFlightBody {
    fn drop(&mut self) {
        if let Some(in_flight) = self.in_flight.take() {
            in_flight.give_up();
        }
    }
}

impl Read for InFlightBody {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        match self.reply.read(buf) {
            Ok(0) if !buf.is_empty() => {
                if let Some(in_flight) = self.in_flight.take() {
                    in_flight.finish(self.outcome);
                }
                Ok(0)
            }
            Ok(count) => Ok(count),
            Err(error) => {
                let Some(in_flight) = self.in_flight.take() else {
                    return Err(error);
                };
                let cut = in_flight.classify_cut(&error);
                in_flight.give_up();
                Err(cut.into())
            }
        }
    }
}
