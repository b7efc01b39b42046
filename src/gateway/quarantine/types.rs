//! What the quarantine is told and what it returns: rules, attempts and their ends, admissions,
//! events, and the figures for operators.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock;
use crate::gateway::choice;
use crate::gateway::quarantine::{
    Cause, Digest, answers, breaks, crashes, outbox, suspects, verdicts,
};
use crate::gateway::settings;

/// Rules for a verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rules {
    /// Instances that crash before a request is refused.
    pub crashes: u32,
    /// Time until the first trial, in milliseconds.
    pub hold_ms: u64,
}

impl From<&settings::Policy> for Rules {
    fn from(policy: &settings::Policy) -> Self {
        Self {
            crashes: policy.quarantine_crashes,
            hold_ms: policy.quarantine_time.0,
        }
    }
}

/// An attempt of a request at an instance.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Digest of the request.
    pub digest: Digest,
    /// Name of its route.
    pub route: Arc<str>,
    /// Target and its incarnation.
    pub instance: choice::Instance,
    /// Begin of the attempt.
    pub began: clock::Millis,
}

/// How an attempt ended whose connection broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Break {
    /// The request was written completely.
    pub written: bool,
    /// No byte of a response had arrived.
    pub silent: bool,
    /// The daemon itself closed the connection: its time was over, its caller left, another
    /// attempt was faster, or the daemon stops.
    pub own: bool,
    /// Whether the instance was fit for requests.
    pub fitness: Fitness,
}

impl Break {
    /// Returns whether the request may have ended the instance.
    pub fn is_evidence(self) -> bool {
        self.written && self.silent && !self.own && self.fitness != Fitness::Unfit
    }
}

/// Whether an instance was fit for requests when an attempt at it broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fitness {
    /// It was ready and warm, in a failure domain that is not drained, and had said neither
    /// that it leaves nor that it wants a pause.
    Warm,
    /// The same, but cold: load may have ended it.
    Cold,
    /// It was about to end, or was not to get requests.
    Unfit,
}

/// Whether an attempt may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may be sent.
    Open,
    /// It may be sent as the trial of a verdict. No other attempt is admitted after it
    /// unless it is answered.
    Trial,
    /// It must not be sent. The next trial is due in this time in milliseconds.
    Refused(u64),
}

/// What happened to a verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Happening {
    /// The request is refused from now on, after this number of crashes.
    Quarantined(u32),
    /// A daemon takes a trial.
    Trial,
    /// The request is served again.
    Ended(Cause),
}

/// An event for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Digest of the request.
    pub digest: Digest,
    /// Name of its route.
    pub route: Arc<str>,
    /// What happened.
    pub happening: Happening,
}

/// A verdict as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Digest of the request, 16 hexadecimal digits.
    pub digest: String,
    /// Name of its route.
    pub route: Arc<str>,
    /// Instances that had crashed when the verdict was passed.
    pub crashes: u32,
    /// Age of the verdict in milliseconds.
    pub since: u64,
    /// Time until the next trial in milliseconds, 0 if one is due; absent if the verdict
    /// has ended.
    pub trial: Option<u64>,
    /// Trials so far.
    pub trials: u32,
    /// Why the verdict ended; absent if it has not.
    pub ended: Option<Cause>,
    /// Requests that this daemon refused.
    pub refused: u64,
}

/// Numbers of entries in the tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sizes {
    /// Requests that were answered lately.
    pub answers: usize,
    /// Breaks that wait for proof.
    pub breaks: usize,
    /// Requests with crashes.
    pub crashes: usize,
    /// Suspects.
    pub suspects: usize,
    /// Verdicts, those that ended included.
    pub verdicts: usize,
    /// Notices that wait to be sent, and questions that wait for answers.
    pub queued: usize,
}

impl Sizes {
    /// Largest numbers of entries.
    pub const MAX: Self = Self {
        answers: 2 * answers::HALF,
        breaks: breaks::CAPACITY,
        crashes: crashes::CAPACITY,
        suspects: suspects::CAPACITY,
        verdicts: verdicts::CAPACITY,
        queued: outbox::CAPACITY + crashes::CAPACITY,
    };
}
