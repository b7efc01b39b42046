//! Decisions on a target's grants, with the time as an argument.
//!
//! A grant expires at a reading of the target's own clock, so that a delayed
//! message can't prolong it. A list of shards is sent in a message that grants
//! no time ([`LIST_ONLY`]); time is granted once the target has confirmed the
//! list. A restarted process, whose clock reads less than its predecessor's,
//! thus never has both a list and a grant computed from the old clock.

use std::sync::Arc;

use crate::clock;
use crate::model;
use crate::state;
use crate::target::{admission, wire};

/// Time by which a grant outlasts the holder's lease validity, in milliseconds.
pub const GRANT_MARGIN_MS: u64 = 150;

/// Interval between renewals, in milliseconds.
pub const RENEWAL_INTERVAL_MS: u64 = 200;

/// Minimum time from the first failure in a row to the one that declares a target
/// lost, in milliseconds.
pub const MIN_FAILURE_INTERVAL_MS: u64 = 50;

/// Maximum age of a clock reading from which grants are computed, in milliseconds.
/// It bounds the error that a paused clock can cause.
pub const MAX_READING_AGE_MS: u64 = 1_000;

/// `valid_until` of a message that carries a list but grants no time: a reading
/// that every target's clock has passed.
pub const LIST_ONLY: u64 = 1;

/// Minimum lag of the target's clock that is reported, in milliseconds.
pub const CLOCK_TOLERANCE_MS: u64 = 20;

/// Kind of failure of a control call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The target refused or reset the connection.
    Refused,
    /// The target did not answer before the timeout.
    TimedOut,
    /// The target's response does not follow the protocol.
    Answer,
}

/// What to do after a failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Call again at this time, on a new connection.
    RetryAt(clock::Millis),
    /// The target is lost; its shards may move once [`Grants::lapsed_at`] has passed.
    Lost,
}

/// What the holder concludes from a reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplyOutcome {
    /// The target restarted: it has lost grants and fences and may be cold.
    pub restarted: bool,
    /// Time by which the target's clock fell behind the holder's since the last
    /// reading, in milliseconds; 0 below [`CLOCK_TOLERANCE_MS`].
    pub clock_lag_ms: u64,
    /// The target has confirmed the list of shards that was sent last.
    pub confirmed: bool,
    /// The target has no grant of time yet; the next message must be sent at once.
    pub again: bool,
}

/// Error: the target follows a newer holder, so this one must stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the target has seen fencing token {0}, which is higher than this holder's")]
pub struct Superseded(pub model::Fence);

#[derive(Clone, Copy, Debug)]
struct ClockReading {
    clock: u64,
    received: clock::Millis,
}

#[derive(Debug)]
struct Outstanding {
    at: clock::Millis,
    valid_until: u64,
    shards: Option<Arc<[wire::Holding]>>,
}

#[derive(Clone, Copy, Debug)]
struct FailureStreak {
    first: clock::Millis,
    count: u32,
}

/// State of one target's grants, kept by the holder of its lease.
#[derive(Debug)]
pub struct Grants {
    fence: model::Fence,
    reading: Option<ClockReading>,
    outstanding: Option<Outstanding>,
    confirmed_list: Option<Arc<[wire::Holding]>>,
    /// Latest local time at which a grant that was sent expires.
    latest_expiry: clock::Millis,
    /// Highest `valid_until` that the target has or may still receive.
    max_valid: u64,
    /// Set when the reading may be that of an earlier process.
    reading_stale: bool,
    failures: Option<FailureStreak>,
    superseded: Option<model::Fence>,
}

impl Grants {
    /// Returns the state of a holder whose lease record is at offset `lease`.
    pub fn new(lease: model::Offset) -> Self {
        Self::under(model::Fence::at(lease))
    }

    /// Returns the state of a holder whose lease has the fencing token `fence`.
    pub fn under(fence: model::Fence) -> Self {
        Self {
            fence,
            reading: None,
            outstanding: None,
            confirmed_list: None,
            latest_expiry: clock::Millis(0),
            max_valid: 0,
            reading_stale: false,
            failures: None,
            superseded: None,
        }
    }

    /// Continues under a newer lease of the same holder, whose record is at offset `lease`.
    pub fn follow(&mut self, lease: model::Offset) {
        self.fence = self.fence.max(model::Fence::at(lease));
    }

    /// Returns the fencing token to send with control calls and requests.
    pub fn fence(&self) -> model::Fence {
        self.fence
    }

    /// Returns the message to send now.
    ///
    /// `length` is the remaining lease validity plus [`GRANT_MARGIN_MS`], in
    /// milliseconds; with 0 the message only claims the fence and reads the
    /// clock. `shards` is the list that the target must have; it is sent unless
    /// the target has confirmed it. The result of the call goes to
    /// [`Grants::on_reply`], [`Grants::on_conflict`] or [`Grants::on_failure`].
    ///
    /// # Errors
    /// Fails if the target follows a newer holder.
    pub fn prepare(
        &mut self,
        now: clock::Millis,
        length: u64,
        shards: &Arc<[wire::Holding]>,
    ) -> Result<wire::Message, Superseded> {
        if let Some(highest) = self.superseded {
            return Err(Superseded(highest));
        }
        self.discard_outstanding();
        if length > 0 && self.confirmed_list.as_ref() != Some(shards) {
            return Ok(self.send(now, LIST_ONLY, Some(shards.clone())));
        }
        let Some(reading) = self.fresh_reading(now).filter(|_| length > 0) else {
            return Ok(self.send(now, 0, None));
        };
        let valid_until = reading.clock + now.since(reading.received) + length;
        self.latest_expiry = self.latest_expiry.max(now + length);
        self.max_valid = self.max_valid.max(valid_until);
        Ok(self.send(now, valid_until, None))
    }

    fn fresh_reading(&self, now: clock::Millis) -> Option<ClockReading> {
        let reading = self.reading.filter(|_| !self.reading_stale)?;
        (now.since(reading.received) <= MAX_READING_AGE_MS).then_some(reading)
    }

    fn send(
        &mut self,
        now: clock::Millis,
        valid_until: u64,
        shards: Option<Arc<[wire::Holding]>>,
    ) -> wire::Message {
        let list = shards.as_ref();
        let message = wire::Message {
            fence: self.fence.into(),
            valid_until,
            shards: list.map(|list| list.iter().map(Into::into).collect()),
        };
        self.outstanding = Some(Outstanding {
            at: now,
            valid_until,
            shards,
        });
        message
    }

    /// Discards the message whose reply is outstanding, if any.
    ///
    /// The target may still receive it after newer messages. Raising the step of
    /// the fence makes the target reject it then, so that it can't restore an old list.
    fn discard_outstanding(&mut self) {
        let Some(sent) = self.outstanding.take() else {
            return;
        };
        self.fence.step += u32::from(sent.valid_until > 0);
        if sent.shards.is_some() {
            self.confirmed_list = None;
        }
    }

    /// Processes the reply to the last message.
    pub fn on_reply(&mut self, now: clock::Millis, reply: &wire::Reply) -> ReplyOutcome {
        let Some(sent) = self.outstanding.take() else {
            return ReplyOutcome::default();
        };
        self.failures = None;
        self.reading_stale = false;
        let last = self.reading.replace(ClockReading {
            clock: reply.clock,
            received: now,
        });
        let mut outcome = ReplyOutcome::default();
        if last.is_some_and(|last| reply.clock < last.clock) {
            outcome.restarted = true;
            // The new process has no list, or one without a grant of time.
            self.max_valid = 0;
        } else if let Some(last) = last {
            outcome.clock_lag_ms = clock_lag(last, sent.at, reply.clock);
        }
        if outcome.restarted || outcome.clock_lag_ms > 0 {
            // A clock that lags can belong to a restarted process.
            self.forget();
            self.fence.step += 1;
        }
        if sent.valid_until > 0 && !outcome.restarted {
            // The step of the fence makes the target reject earlier messages without a reply.
            self.max_valid = sent.valid_until;
        }
        if let Some(list) = sent.shards {
            self.confirmed_list = Some(list);
        }
        outcome.confirmed = self.confirmed_list.is_some();
        outcome.again = sent.valid_until <= LIST_ONLY || !outcome.confirmed;
        outcome
    }

    /// Processes a 409 reply: the target has seen a higher fencing token.
    pub fn on_conflict(&mut self, conflict: &wire::Conflict) -> Superseded {
        self.outstanding = None;
        self.failures = None;
        let highest = self.superseded.max(Some(conflict.highest.into()));
        self.superseded = highest;
        Superseded(conflict.highest.into())
    }

    /// Processes a failed call and decides whether the target is lost.
    ///
    /// A failure declares it lost if it follows, without a reply in between, a
    /// first failure at least [`MIN_FAILURE_INTERVAL_MS`] earlier. An invalid
    /// response never does, since it shows that the target is reachable.
    pub fn on_failure(&mut self, now: clock::Millis, failure: Failure) -> Next {
        self.discard_outstanding();
        if failure == Failure::Answer {
            self.failures = None;
            return Next::RetryAt(now + RENEWAL_INTERVAL_MS);
        }
        if failure == Failure::Refused {
            // A new process may answer the next call.
            self.reading_stale = true;
            self.confirmed_list = None;
        }
        let streak = self.failures.get_or_insert(FailureStreak {
            first: now,
            count: 0,
        });
        streak.count += 1;
        let early = now.since(streak.first) < MIN_FAILURE_INTERVAL_MS;
        match failure {
            _ if streak.count > 1 && !early => Next::Lost,
            Failure::TimedOut => Next::RetryAt(now),
            _ => Next::RetryAt(streak.first + MIN_FAILURE_INTERVAL_MS),
        }
    }

    /// Forgets that the target confirmed its list, so that the whole list is sent
    /// again, such as after the target rejected a request despite its grant.
    pub fn forget(&mut self) {
        self.confirmed_list = None;
    }

    /// Returns whether the target has confirmed exactly this list of shards.
    ///
    /// A reply to a message without a list, such as one that only reads the
    /// clock, confirms no list.
    pub fn has_list(&self, shards: &Arc<[wire::Holding]>) -> bool {
        self.confirmed_list.as_ref() == Some(shards)
    }

    /// Returns the time at which all grants sent have expired, with or without a reply.
    ///
    /// It assumes that the target's clock has run since its last reading; any lag
    /// up to that reading is taken into account.
    pub fn lapsed_at(&self) -> clock::Millis {
        let by_reading = self.reading.and_then(|reading| {
            let remaining = self.max_valid.checked_sub(reading.clock)?;
            (remaining > 0).then_some(reading.received + remaining)
        });
        self.latest_expiry.max(by_reading.unwrap_or_default())
    }
}

/// Shards of a group that are excluded from a target's grants, with their block at admission.
pub type Withdrawn = (admission::Block, model::GroupId, model::ShardSet);

/// Returns the shards to grant to a target: those it owns except withdrawn ones.
pub fn wanted(
    state: &state::State,
    target: &model::TargetName,
    withdrawn: &[Withdrawn],
) -> Arc<[wire::Holding]> {
    let owned = state.shards_of(target).into_iter();
    let holdings = owned.filter_map(|(group, shards, since)| {
        let is_withdrawn = |shard: &model::Shard| {
            let mut sets = withdrawn.iter().filter(|(_, other, _)| *other == group);
            sets.any(|(_, _, set)| set.contains(*shard))
        };
        let kept: model::ShardSet = match withdrawn.is_empty() {
            true => shards,
            false => shards.iter().filter(|shard| !is_withdrawn(shard)).collect(),
        };
        let fence = model::Fence::at(since);
        (!kept.is_empty()).then_some(wire::Holding {
            group,
            fence,
            shards: kept,
        })
    });
    holdings.collect()
}

/// Returns the time by which the target's clock fell behind since the reading
/// `last`, in milliseconds; 0 below [`CLOCK_TOLERANCE_MS`].
fn clock_lag(last: ClockReading, sent: clock::Millis, clock: u64) -> u64 {
    // The new reading was taken after the message was sent.
    let passed = sent.since(last.received);
    let lag = passed.saturating_sub(clock - last.clock);
    if lag < CLOCK_TOLERANCE_MS { 0 } else { lag }
}
