//! Age of what a daemon knows of the log.
//!
//! A view of a topic is current up to the time at which the read began that returned the
//! last of the known records. Daemons that read through another one learn that time from
//! the reader's announcements, which say how old the reader's own view is.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::clock;
use crate::gateway::adapter::Topic;
use crate::model;

/// Largest number of announcements of a topic that wait for their records.
const MAX_PENDING: usize = 8;

/// Ages of the reader's views, sent after its progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Offset up to which the reader knows each topic, and the age of that view in
    /// milliseconds.
    pub views: [Option<(model::Offset, u64)>; Topic::ALL.len()],
    /// Time since the log last answered a read of each topic by the reader, in
    /// milliseconds.
    pub answered: [Option<u64>; Topic::ALL.len()],
}

/// Announced view whose records may still be missing here.
#[derive(Clone, Copy, Debug)]
struct Pending {
    next: model::Offset,
    until: clock::Millis,
    arrival: clock::Millis,
}

/// View of one topic.
#[derive(Debug, Default)]
struct View {
    /// Offset up to which records are known.
    next: Option<model::Offset>,
    /// Time up to which all records are known.
    until: Option<clock::Millis>,
    /// Time of the last answer to an own read.
    answered: Option<clock::Millis>,
    pending: VecDeque<Pending>,
}

/// Renewal of a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Renewal {
    /// Age of the view just before, in milliseconds; `None` for the first one.
    pub age_before: Option<u64>,
    /// Age of the renewed view, in milliseconds: the time of the read, and for a relayed
    /// view that until the announcement was sent.
    pub age: u64,
    /// Time from the announcement until its records were known, in milliseconds; 0 for
    /// a daemon's own read.
    pub gap: u64,
}

impl View {
    /// Advances the view to `until`, unless it is as current already.
    fn renew(&mut self, until: clock::Millis, gap: u64, now: clock::Millis) -> Option<Renewal> {
        if self.until.is_some_and(|known| known >= until) {
            return None;
        }
        let before = self.until.replace(until);
        Some(Renewal {
            age_before: before.map(|before| now.since(before)),
            age: now.since(until),
            gap,
        })
    }

    /// Advances the view to the last announcement whose records are all known.
    fn settle(&mut self, now: clock::Millis) -> Option<Renewal> {
        let next = self.next?;
        let mut last = None;
        while let Some(pending) = self.pending.pop_front_if(|pending| pending.next <= next) {
            last = Some(pending);
        }
        let last = last?;
        self.renew(last.until, now.since(last.arrival), now)
    }
}

/// Views of all topics.
#[derive(Debug, Default)]
pub struct Views {
    views: [View; Topic::ALL.len()],
}

impl Views {
    /// Records that the records of a topic up to `next` are known.
    pub fn on_records(
        &mut self,
        topic: Topic,
        next: model::Offset,
        now: clock::Millis,
    ) -> Option<Renewal> {
        let view = &mut self.views[topic.index()];
        view.next = view.next.max(Some(next));
        view.settle(now)
    }

    /// Records that an own read which began at `started` returned all records of a topic
    /// up to `next`.
    pub fn on_read(
        &mut self,
        topic: Topic,
        next: model::Offset,
        started: clock::Millis,
        now: clock::Millis,
    ) -> Option<Renewal> {
        let view = &mut self.views[topic.index()];
        view.next = view.next.max(Some(next));
        view.answered = Some(now);
        let renewal = view.renew(started, 0, now);
        view.settle(now).or(renewal)
    }

    /// Records the reader's announcement, and returns the topics whose view it renews.
    pub fn on_announcement(
        &mut self,
        announcement: &Announcement,
        now: clock::Millis,
    ) -> Vec<(Topic, Renewal)> {
        let mut renewals = Vec::new();
        for (topic, announced) in Topic::ALL.into_iter().zip(announcement.views) {
            let Some((next, age)) = announced else {
                continue;
            };
            let view = &mut self.views[topic.index()];
            if view.pending.len() == MAX_PENDING {
                view.pending.pop_front();
            }
            view.pending.push_back(Pending {
                next,
                until: now - age,
                arrival: now,
            });
            renewals.extend(view.settle(now).map(|renewal| (topic, renewal)));
        }
        renewals
    }

    /// Returns the time up to which all records of a topic are known.
    pub fn until(&self, topic: Topic) -> Option<clock::Millis> {
        self.views[topic.index()].until
    }

    /// Returns the age of the view of a topic in milliseconds, or `None` before the first
    /// complete read.
    pub fn age(&self, topic: Topic, now: clock::Millis) -> Option<u64> {
        self.until(topic).map(|until| now.since(until))
    }

    /// Returns what this daemon announces to those that read through it.
    pub fn announcement(&self, now: clock::Millis) -> Announcement {
        let views = Topic::ALL.map(|topic| {
            let view = &self.views[topic.index()];
            Some((view.next?, self.age(topic, now)?))
        });
        let answered = Topic::ALL.map(|topic| {
            let answered = self.views[topic.index()].answered;
            answered.map(|at| now.since(at))
        });
        Announcement { views, answered }
    }
}
