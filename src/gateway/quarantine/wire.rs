//! Messages between daemons about requests that crash targets.
//!
//! Clocks of hosts differ, so that messages carry the ages of events, and the time until
//! later ones, in milliseconds.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock;
use crate::gateway::quarantine::Digest;
use crate::gateway::quarantine::crashes;
use crate::gateway::quarantine::verdicts::{self, Cause, State};
use crate::model;

/// Longest name of a route in a message, in bytes.
const MAX_ROUTE_BYTES: usize = 256;

/// A message of one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Host of the daemon.
    pub host: model::HostName,
    /// What it says.
    pub items: Vec<Item>,
}

/// Part of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Item {
    /// An instance crashed in an attempt of the sender.
    #[serde(rename = "c")]
    Crash(Crash),
    /// Digest of a request, and the age of its last crash. The receiver reports answers.
    #[serde(rename = "s")]
    Suspect(u64, u64),
    /// Digest of a request, and the age of an answer to it.
    #[serde(rename = "a")]
    Answered(u64, u64),
    /// Newest version of a verdict.
    #[serde(rename = "v")]
    Verdict(Verdict),
    /// The sender has just started and asks for all verdicts.
    #[serde(rename = "q")]
    Ask,
    /// The sender has answered that question.
    #[serde(rename = "k")]
    Known,
}

/// Crash of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Digest of the request.
    pub digest: u64,
    /// Name of the request's route.
    pub route: Arc<str>,
    /// Digest of the instance.
    pub instance: u32,
    /// Age of the attempt's begin.
    pub began: u64,
    /// Age of the attempt's end.
    pub ended: u64,
    /// Whether the instance was cold.
    pub cold: bool,
}

/// Version of a verdict.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// Digest of the request.
    pub digest: u64,
    /// Name of the request's route.
    pub route: Arc<str>,
    /// Crashes known when it was passed.
    pub crashes: u32,
    /// Number of the version.
    pub number: u32,
    /// Trials that were allowed.
    pub trials: u32,
    /// Whether the request is refused.
    pub state: Hold,
    /// Age of the verdict.
    pub since: u64,
    /// Age of the last crash known when it was passed.
    pub crashed: u64,
}

/// Whether a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Hold {
    /// It is refused, but for a trial in this time.
    #[serde(rename = "h")]
    Held(u64),
    /// It may be tried, and has been for this time.
    #[serde(rename = "d")]
    Due(u64),
    /// It is served again.
    #[serde(rename = "e")]
    Ended(Cause),
}

/// Reason why a part of a message is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Invalid {
    /// An attempt ended before it began.
    #[error("an attempt ended before it began")]
    Order,
    /// An event is older than events are kept.
    #[error("an event is too old")]
    Age,
    /// A time lies too far in the future.
    #[error("a time lies too far in the future")]
    Hold,
    /// The name of a route is too long.
    #[error("the name of a route is too long")]
    Route,
}

/// A value as of a time of this daemon's clock.
pub(super) struct At<T>(pub(super) clock::Millis, pub(super) T);

impl From<At<(Digest, &Arc<str>, &crashes::Crash)>> for Crash {
    fn from(At(now, (digest, route, crash)): At<(Digest, &Arc<str>, &crashes::Crash)>) -> Self {
        Self {
            digest: digest.0,
            route: Arc::clone(route),
            instance: crash.instance,
            began: now.since(crash.began),
            ended: now.since(crash.ended),
            cold: crash.cold,
        }
    }
}

impl TryFrom<At<(&Crash, &model::HostName)>> for crashes::Crash {
    type Error = Invalid;

    fn try_from(At(now, (crash, host)): At<(&Crash, &model::HostName)>) -> Result<Self, Invalid> {
        if crash.route.len() > MAX_ROUTE_BYTES {
            return Err(Invalid::Route);
        }
        if crash.began < crash.ended {
            return Err(Invalid::Order);
        }
        if crash.ended > crashes::KEPT_MS {
            return Err(Invalid::Age);
        }
        Ok(Self {
            instance: crash.instance,
            reporter: host.clone(),
            began: now - crash.began,
            ended: now - crash.ended,
            cold: crash.cold,
        })
    }
}

impl From<At<(Digest, &verdicts::Verdict)>> for Verdict {
    fn from(At(now, (digest, verdict)): At<(Digest, &verdicts::Verdict)>) -> Self {
        Self {
            digest: digest.0,
            route: Arc::clone(&verdict.route),
            crashes: verdict.crashes,
            number: verdict.number,
            trials: verdict.trials,
            state: match verdict.state {
                State::Held(trial) if trial >= now => Hold::Held(trial.since(now)),
                State::Held(trial) => Hold::Due(now.since(trial)),
                State::Ended(cause) => Hold::Ended(cause),
            },
            since: now.since(verdict.since),
            crashed: now.since(verdict.crashed),
        }
    }
}

impl TryFrom<At<&Verdict>> for verdicts::Verdict {
    type Error = Invalid;

    fn try_from(At(now, verdict): At<&Verdict>) -> Result<Self, Invalid> {
        if verdict.route.len() > MAX_ROUTE_BYTES {
            return Err(Invalid::Route);
        }
        let state = match verdict.state {
            Hold::Held(time) if time > verdicts::MAX_HOLD_MS => return Err(Invalid::Hold),
            Hold::Held(time) => State::Held(now + time),
            Hold::Due(age) => State::Held(now - age),
            Hold::Ended(cause) => State::Ended(cause),
        };
        Ok(Self {
            route: Arc::clone(&verdict.route),
            crashes: verdict.crashes,
            number: verdict.number,
            trials: verdict.trials,
            state,
            since: now - verdict.since,
            crashed: now - verdict.crashed,
        })
    }
}
