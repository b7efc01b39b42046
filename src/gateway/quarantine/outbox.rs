//! Notices to other daemons that wait to be sent, and the limit on broadcasts.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use crate::clock;
use crate::gateway::quarantine::Digest;
use crate::gateway::quarantine::crashes;
use crate::model;

/// Notices that wait; bounds memory.
pub(super) const CAPACITY: usize = 1_024;

/// Notices that are sent by broadcasts on average, per second; one of them to 560 daemons
/// counts as 559. With about 100 bytes each, headers included, they use a third of the 3 KB
/// a second that a daemon has for all its control traffic.
const NOTICES_PER_S: u64 = 10;

/// Notices that may be broadcast at once after a pause; a verdict takes six.
const BURST_NOTICES: u64 = 12;

/// Thousandths of a notice, in which the limit is counted.
const PARTS: u64 = 1_000;

/// What other daemons are told. Verdicts are looked up when they are sent.
#[derive(Clone, Debug)]
pub(super) enum Notice {
    /// An instance crashed in an attempt of this daemon.
    Crash(Digest, Arc<str>, crashes::Crash),
    /// A request had its last crash at this time; answers to it are to be reported.
    Suspect(Digest, clock::Millis),
    /// An attempt of a suspect was answered, and ended at this time.
    Answered(Digest, clock::Millis),
    /// The verdict on a request changed.
    Verdict(Digest),
    /// This daemon has just started and asks for all verdicts.
    Ask,
    /// Answer to the question for all verdicts.
    Known,
}

/// Who is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Recipient {
    /// All live daemons.
    All,
    /// The daemon on this host.
    Host(model::HostName),
}

#[derive(Clone, Debug)]
struct Queued {
    at: clock::Millis,
    to: Recipient,
    notice: Notice,
}

/// Notices that wait to be sent.
#[derive(Debug)]
pub(super) struct Outbox {
    queue: VecDeque<Queued>,
    /// Notices that were broadcast beyond the average, in [`PARTS`].
    excess: u64,
    /// Time of the last reduction of `excess`.
    reduced: clock::Millis,
}

impl Outbox {
    /// Returns an empty outbox.
    pub(super) fn new(now: clock::Millis) -> Self {
        Self {
            queue: VecDeque::new(),
            excess: 0,
            reduced: now,
        }
    }

    /// Returns the number of notices that wait.
    pub(super) fn len(&self) -> usize {
        self.queue.len()
    }

    /// Adds a notice that is sent from `at` on, and drops the oldest one if there are too
    /// many.
    pub(super) fn add(&mut self, at: clock::Millis, to: Recipient, notice: Notice) {
        if self.queue.len() == CAPACITY {
            self.queue.pop_front();
        }
        self.queue.push_back(Queued { at, to, notice });
    }

    /// Returns the notices to be sent now to each of `others`. Broadcasts wait while their
    /// limit is used up, verdicts before questions.
    pub(super) fn take(
        &mut self,
        others: &BTreeSet<model::HostName>,
        now: clock::Millis,
    ) -> BTreeMap<model::HostName, Vec<Notice>> {
        let allowed = now.since(self.reduced) * NOTICES_PER_S;
        self.excess = self.excess.saturating_sub(allowed);
        self.reduced = now;
        let mut due = BTreeMap::<_, Vec<_>>::new();
        if self.queue.iter().all(|queued| queued.at > now) {
            return due;
        }
        let queue = std::mem::take(&mut self.queue);
        let (mut ready, waiting): (Vec<_>, Vec<_>) =
            queue.into_iter().partition(|queued| queued.at <= now);
        ready.sort_by_key(|queued| !matches!(queued.notice, Notice::Verdict(_)));
        for queued in ready {
            match queued.to {
                Recipient::Host(host) => due.entry(host).or_default().push(queued.notice),
                Recipient::All if self.may_broadcast(others.len()) => {
                    for host in others {
                        let notices = due.entry(host.clone()).or_default();
                        notices.push(queued.notice.clone());
                    }
                }
                Recipient::All => self.queue.push_back(queued),
            }
        }
        self.queue.extend(waiting);
        due
    }

    /// Counts a notice to `count` daemons, if the limit allows it.
    fn may_broadcast(&mut self, count: usize) -> bool {
        let cost = count as u64 * PARTS;
        let is_allowed = self.excess + cost <= cost * BURST_NOTICES;
        if is_allowed {
            self.excess += cost;
        }
        is_allowed
    }
}
