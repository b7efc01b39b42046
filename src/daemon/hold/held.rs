//! The slot of a request that was sent to its target, and how it is freed.

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

/// Time after a request's deadline at which its target has ended it at the
/// latest, in milliseconds: the request may have been that long on its way.
const SETTLE: u64 = 200;

/// Longest time for which a request that the target refused counts.
const REFUSED_AFTER: Duration = Duration::from_secs(1);

/// A request that a target may be running.
pub struct Held {
    /// What all threads share.
    pub shared: Arc<tables::Shared>,
    /// The request's slot.
    pub permit: admission::Permit,
    /// Keeper of the target.
    pub keeper: Arc<keeper::Keeper>,
    /// Request identifier.
    pub id: Arc<str>,
    /// Time at which the request's deadline passes.
    pub deadline: clock::Millis,
    /// When the request was sent.
    pub start: Instant,
}

impl Held {
    /// Frees the slot.
    pub fn finish(self, outcome: admission::Outcome) {
        self.permit.finish(outcome, self.start.elapsed());
    }

    /// Has the target cancel the request, whose slot stays taken until that is
    /// confirmed or its deadline has passed: the target may still run it.
    pub fn give_up(self) {
        let until = clock::now().max(self.deadline) + SETTLE;
        let unsettled = self.permit.give_up(until);
        self.shared.cancel(&self.keeper, &self.id, Some(unsettled));
    }

    /// Frees or keeps the slot of a request without an answer, has the target
    /// checked if the failure says something about it, and returns the refusal.
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

    /// Returns why reading the target's answer failed.
    fn cut(&self, error: &io::Error) -> delivery::Cut {
        let target = &self.keeper.target;
        log::debug!("reading the answer of {target} failed: {error}");
        let left = self.deadline.since(clock::now());
        delivery::Cut::classify(error, left, || match self.shared.may_act(target) {
            Ok(_) => delivery::Cut::TargetEnded,
            Err(_) => delivery::Cut::RightLost,
        })
    }

    /// Frees the slot of a request that the target has refused, and returns
    /// the refusal.
    pub fn refuse(self, why: &str) -> server::Refusal {
        let (refusal, outcome) = refusal::from_target(why);
        let elapsed = self.start.elapsed().min(REFUSED_AFTER);
        self.permit.finish(outcome, elapsed);
        if matches!(why, "fence" | "grant") {
            self.keeper.renew_now();
        }
        refusal
    }
}

/// Body of a target's response; frees the target's slot when it has ended.
pub struct HeldReply {
    /// The body.
    pub reply: forward::Reply,
    /// The request, until the body has ended.
    pub held: Option<Held>,
    /// What the head of the response says of the target's load.
    pub outcome: admission::Outcome,
}

impl Drop for HeldReply {
    fn drop(&mut self) {
        if let Some(held) = self.held.take() {
            held.give_up();
        }
    }
}

impl Read for HeldReply {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        match self.reply.read(buf) {
            Ok(0) if !buf.is_empty() => {
                if let Some(held) = self.held.take() {
                    held.finish(self.outcome);
                }
                Ok(0)
            }
            Ok(count) => Ok(count),
            Err(error) => {
                let Some(held) = self.held.take() else {
                    return Err(error);
                };
                let cut = held.cut(&error);
                held.give_up();
                Err(cut.into())
            }
        }
    }
}
