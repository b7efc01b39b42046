//! What targets have said of themselves in their answers: that they leave, or that they
//! want a pause. Limits that they name are in [`limits`].
//!
//! A target's own answer is newer than what the log's list says of it, and arrives while
//! the log is away. This module does no I/O and reads no clock, except for the events that
//! it passes on for [`Shared`].

use std::collections::HashMap;
use std::fmt;

use crate::clock;
use crate::gateway::adapter;
use crate::gateway::choice::Instance;
use crate::gateway::counters;
use crate::gateway::limits;
use crate::gateway::peers;
use crate::gateway::shared::Shared;
use crate::model;

/// The end of a pause is delayed by up to one part in this many of its length, so that
/// daemons and targets whose pauses would end together return one after the other.
const PAUSE_DELAY_DIVISOR: u64 = 5;

/// Longest delay of the end of a pause, in milliseconds.
const MAX_PAUSE_DELAY_MS: u64 = 1_000;

/// Requests in progress that a target may have from this daemon when its pause has ended.
/// Each answer allows one more.
const FIRST_REQUESTS: u32 = 1;

/// Requests in progress from which on the return from a pause is complete. With up to four
/// slots per target, and 2.5 requests per slot, no target has more.
const LAST_REQUESTS: u32 = 10;

/// Whether a target may get requests, by what it said of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The target said nothing that forbids requests.
    Open,
    /// The target has said that it leaves, first at this time.
    Leaving(clock::Millis),
    /// The target asked for a pause until this time.
    Paused(clock::Millis),
    /// The target's pause has ended at this time, and it has as many requests of this
    /// daemon as it may have so soon afterwards.
    Returning(clock::Millis),
    /// The target named a limit that leaves nothing for this daemon now.
    Limited(limits::Obstacle),
}

impl Standing {
    /// Returns whether the target wants no requests at all.
    pub fn is_closed(self) -> bool {
        matches!(self, Self::Leaving(_) | Self::Paused(_))
    }

    /// Returns the reason why the target gets no request at `now`, if there is one.
    pub fn reason(self, now: clock::Millis) -> Option<Reason> {
        let ms = match self {
            Self::Open => return None,
            Self::Leaving(since) => now.since(since),
            Self::Paused(until) => until.since(now),
            Self::Returning(since) => now.since(since),
            Self::Limited(obstacle) => obstacle.age_ms,
        };
        Some(Reason { standing: self, ms })
    }
}

/// Reason why a target gets no request, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reason {
    standing: Standing,
    ms: u64,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = self.ms;
        match self.standing {
            Standing::Open => Ok(()),
            Standing::Leaving(_) => write!(f, "target is draining, said by itself {ms} ms ago"),
            Standing::Paused(_) => write!(f, "target asked for a pause, {ms} ms left"),
            Standing::Returning(_) => write!(f, "target returns from a pause, over for {ms} ms"),
            Standing::Limited(obstacle) => write!(f, "{obstacle}"),
        }
    }
}

/// A pause that a target asked for, or the time after it.
#[derive(Clone, Copy, Debug)]
struct Pause {
    until: clock::Millis,
    /// Part of the longest delay by which the end is delayed, from 0 to 1.
    spread: f64,
    /// Requests in progress that the target may have after the pause.
    allowed: u32,
}

/// What one target has said of itself.
#[derive(Clone, Copy, Debug, Default)]
struct Said {
    /// Time at which it first said that it leaves.
    leaving: Option<clock::Millis>,
    pause: Option<Pause>,
}

/// What is new in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct News {
    /// The target had not said before that it leaves.
    pub leaving: bool,
    /// The target had no pause before.
    pub pause: bool,
}

/// What targets have said of themselves, by instance.
#[derive(Debug, Default)]
pub struct Notices {
    said: HashMap<Instance, Said>,
}

impl Notices {
    /// Returns an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records what a target says in an answer, and returns what of it is new. `random` is
    /// a number from 0 to 1, by which the end of a pause is spread.
    ///
    /// A target that leaves does so for good, and a pause never ends earlier than an
    /// earlier answer asked for.
    pub fn on_answer(
        &mut self,
        instance: &Instance,
        notice: adapter::Notice,
        now: clock::Millis,
        random: f64,
    ) -> News {
        if !notice.leaving && notice.pause_ms.is_none() {
            return News::default();
        }
        let said = self.said.entry(instance.clone()).or_default();
        let mut news = News::default();
        if notice.leaving && said.leaving.is_none() {
            said.leaving = Some(now);
            news.leaving = true;
        }
        if let Some(length) = notice.pause_ms {
            let earlier = said.pause.filter(|pause| pause.until > now);
            // Requests in progress are often turned away together. A number for each of
            // them would make nearly every delay the longest one.
            let spread = earlier.map_or(random, |pause| pause.spread);
            let delay = (length / PAUSE_DELAY_DIVISOR).min(MAX_PAUSE_DELAY_MS) as f64 * spread;
            let until = clock::Millis(now.0.saturating_add(length + delay as u64));
            news.pause = earlier.is_none();
            said.pause = Some(Pause {
                until: earlier.map_or(until, |pause| pause.until.max(until)),
                spread,
                allowed: FIRST_REQUESTS,
            });
        }
        news
    }

    /// Records that a target has served a request, which allows one more at a time after
    /// its pause.
    pub fn on_served(&mut self, instance: &Instance, now: clock::Millis) {
        let Some(said) = self.said.get_mut(instance) else {
            return;
        };
        let Some(pause) = said.pause.as_mut().filter(|pause| pause.until <= now) else {
            return;
        };
        pause.allowed += 1;
        if pause.allowed >= LAST_REQUESTS {
            said.pause = None;
        }
        if said.leaving.is_none() && said.pause.is_none() {
            self.said.remove(instance);
        }
    }

    /// Returns whether a target may get a request besides the `running` ones that this
    /// daemon has in progress there.
    pub fn standing(&self, instance: &Instance, running: u32, now: clock::Millis) -> Standing {
        let Some(said) = self.said.get(instance) else {
            return Standing::Open;
        };
        match (said.pause, said.leaving) {
            (Some(pause), _) if pause.until > now => Standing::Paused(pause.until),
            (_, Some(since)) => Standing::Leaving(since),
            (Some(pause), None) if running >= pause.allowed => Standing::Returning(pause.until),
            (_, None) => Standing::Open,
        }
    }

    /// Returns when a target first said that it leaves, if it did.
    pub fn leaving_since(&self, instance: &Instance) -> Option<clock::Millis> {
        self.said.get(instance)?.leaving
    }

    /// Iterates over the targets that said that they leave.
    pub fn leaving(&self) -> impl Iterator<Item = &Instance> {
        let said = self.said.iter();
        said.filter(|(_, said)| said.leaving.is_some())
            .map(|(instance, _)| instance)
    }

    /// Drops what targets said that `keep` rejects.
    pub fn retain(&mut self, keep: impl Fn(&Instance) -> bool) {
        self.said.retain(|instance, _| keep(instance));
    }
}

impl Shared {
    /// Records what a target says of itself in an answer.
    pub(crate) fn on_notice(&self, instance: &Instance, notice: adapter::Notice) {
        let now = clock::now();
        let random = rand::random::<f64>();
        let news = self
            .notices
            .borrow_mut()
            .on_answer(instance, notice, now, random);
        if news.leaving {
            log::info!("target {} says that it leaves", instance.target);
            counters::increment(&self.counters.leaving);
            // The coordinator may be another daemon, or this one.
            peers::report_leaving(self, std::slice::from_ref(instance));
            self.wake_coordinator.notify_one();
        }
        if news.pause {
            let ms = notice.pause_ms.unwrap_or_default();
            log::info!("target {} asks for a pause of {ms} ms", instance.target);
            counters::increment(&self.counters.pauses);
        }
        if news != News::default() {
            // Requests that wait for the owner of their key look at it again.
            self.owner_changed.notify_waiters();
        }
    }

    /// Records that a target said to another daemon that it leaves.
    pub(crate) fn on_reported(&self, host: &model::HostName, instance: &Instance) {
        let leaving = adapter::Notice {
            leaving: true,
            ..adapter::Notice::default()
        };
        let mut notices = self.notices.borrow_mut();
        if notices
            .on_answer(instance, leaving, clock::now(), 0.0)
            .leaving
        {
            let target = &instance.target;
            log::info!("host {host} reports that target {target} says that it leaves");
            self.wake_coordinator.notify_one();
        }
    }

    /// Returns whether a target may get a further request of this daemon, by what it said
    /// of itself. Its limit is looked at last.
    pub(crate) fn standing(&self, instance: &Instance, now: clock::Millis) -> Standing {
        let notices = self.notices.borrow();
        // Empty in the usual case, which is checked for each target at each choice.
        let standing = match notices.said.is_empty() {
            true => Standing::Open,
            false => {
                let running = self.choice.borrow().own_requests(instance);
                notices.standing(instance, running, now)
            }
        };
        match standing {
            Standing::Open => {
                let obstacle = self.limit_obstacle(instance, now);
                obstacle.map_or(Standing::Open, Standing::Limited)
            }
            standing => standing,
        }
    }
}
