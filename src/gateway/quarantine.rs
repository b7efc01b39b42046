//! Requests that crash the targets that run them: evidence, verdicts, and what daemons tell
//! each other of both.
//!
//! A request is refused on all daemons once enough instances have crashed in attempts of it
//! and no daemon has an answer to it. The state does no I/O and reads no clock; `runner` does
//! both for it. All tables are bounded; each one names what it drops.

mod answers;
mod breaks;
mod crashes;
mod digest;
mod messages;
mod order;
mod outbox;
pub(crate) mod runner;
mod suspects;
mod types;
mod verdicts;
pub mod wire;

use std::collections::VecDeque;
use std::sync::Arc;

pub use self::digest::{Digest, InvalidDigest, Subject};
use self::outbox::Notice;
pub use self::types::{Admission, Attempt, Break, Event, Fitness, Happening, Listed, Rules, Sizes};
pub use self::verdicts::Cause;
use self::verdicts::{State, Verdict};
use crate::clock;
use crate::gateway::choice;
use crate::model;

/// Time from the question for answers until a verdict, in milliseconds: for the question,
/// its repetition, and an answer from another region.
const SETTLE_MS: u64 = 400;

/// Interval between messages with known verdicts, and between removals of what is too old,
/// in milliseconds.
const ROUND_MS: u64 = 1_000;

/// Time for which a daemon that starts waits for verdicts, in milliseconds.
const ASK_MS: u64 = 1_000;

/// Events that wait to be taken; bounds memory.
const MAX_EVENTS: usize = 256;

/// What one daemon knows of requests that crash targets.
#[derive(Debug)]
pub struct Quarantine {
    rules: Rules,
    order: order::Order,
    answers: answers::Answers,
    breaks: breaks::Breaks,
    crashes: crashes::Crashes,
    suspects: suspects::Suspects,
    verdicts: verdicts::Verdicts,
    outbox: outbox::Outbox,
    /// Requests whose verdict is passed at this time unless they are answered.
    settling: VecDeque<(clock::Millis, Digest)>,
    events: VecDeque<Event>,
    /// Whether another daemon has told all its verdicts.
    known: bool,
    /// Time until which the daemon waits for that.
    ask_until: clock::Millis,
    next_ask: clock::Millis,
    next_round: clock::Millis,
    /// Number of rounds, from a start that differs between daemons.
    round: usize,
}

impl Quarantine {
    /// Returns the state of a daemon on host `own` that starts at `now`.
    pub fn new(own: model::HostName, rules: Rules, now: clock::Millis) -> Self {
        Self {
            rules,
            round: order::weight(Digest(0), &own) as u32 as usize,
            order: order::Order::new(own),
            answers: answers::Answers::default(),
            breaks: breaks::Breaks::default(),
            crashes: crashes::Crashes::default(),
            suspects: suspects::Suspects::default(),
            verdicts: verdicts::Verdicts::default(),
            outbox: outbox::Outbox::new(now),
            settling: VecDeque::new(),
            events: VecDeque::new(),
            known: false,
            ask_until: now + ASK_MS,
            next_ask: now,
            next_round: now + ROUND_MS,
        }
    }

    /// Returns whether the daemon knows the verdicts of the others, or has waited for them
    /// for long enough. It should not be ready before.
    pub fn is_settled(&self, now: clock::Millis) -> bool {
        self.known || now >= self.ask_until
    }

    /// Returns whether any request is refused. If not, the digest of a request is needed
    /// only when its attempt has ended.
    pub fn is_refusing(&self) -> bool {
        self.verdicts.held() > 0
    }

    /// Returns the numbers of entries in the tables.
    pub fn sizes(&self) -> Sizes {
        Sizes {
            answers: self.answers.len(),
            breaks: self.breaks.len(),
            crashes: self.crashes.len(),
            suspects: self.suspects.len(),
            verdicts: self.verdicts.len(),
            queued: self.outbox.len() + self.settling.len(),
        }
    }

    /// Replaces the other live daemons. Crashes that this daemon saw are sent to those that
    /// now collect them.
    pub fn on_daemons(
        &mut self,
        live: impl IntoIterator<Item = model::HostName>,
        now: clock::Millis,
    ) {
        let is_first = self.order.others().is_empty();
        if !self.order.set(live) {
            return;
        }
        if is_first && !self.is_settled(now) {
            self.ask_until = now + ASK_MS;
        }
        for digest in self.crashes.reported_by(self.order.own()) {
            self.report(digest, now);
        }
    }

    /// Returns the time in milliseconds until the next trial of a request that is refused;
    /// none if an attempt may be sent, be it as a trial. To be called before a target is
    /// chosen, so that a refused request waits for nothing.
    pub fn refusal(&mut self, digest: Digest, now: clock::Millis) -> Option<u64> {
        let entry = self.verdicts.get(digest)?;
        let State::Held(trial) = entry.verdict.state else {
            return None;
        };
        if now >= trial && self.order.is_turn(digest, now.since(trial)) {
            return None;
        }
        self.verdicts.on_refused(digest, now);
        Some(match trial.since(now) {
            0 => order::TURN_MS,
            time => time,
        })
    }

    /// Decides whether an attempt of a request is sent now; to be called before each
    /// attempt, hedges included, when its target has been chosen. If it is a trial, the
    /// trial counts as taken.
    pub fn admit(&mut self, digest: Digest, now: clock::Millis) -> Admission {
        if let Some(time) = self.refusal(digest, now) {
            return Admission::Refused(time);
        }
        if let Some(entry) = self.verdicts.get(digest).filter(|entry| entry.is_held()) {
            let trials = entry.verdict.trials.saturating_add(1);
            let hold = verdicts::hold_ms(self.rules.hold_ms, trials);
            let verdict = Verdict {
                number: self.verdicts.next_number(digest),
                trials,
                state: State::Held(now + hold),
                ..entry.verdict.clone()
            };
            self.publish(digest, verdict, now);
            return Admission::Trial;
        }
        Admission::Open
    }

    /// Records an attempt whose connection broke at `now`. Returns whether it waits for
    /// proof that the instance has ended.
    pub fn on_broken(&mut self, attempt: Attempt, end: Break, now: clock::Millis) -> bool {
        if !end.is_evidence() {
            return false;
        }
        self.breaks.add(breaks::Break {
            digest: attempt.digest,
            route: attempt.route,
            instance: attempt.instance,
            began: attempt.began,
            ended: now,
            cold: end.fitness == Fitness::Cold,
        });
        true
    }

    /// Records that an instance responded, in whatever way, to an attempt or an order begun
    /// at `began`.
    pub fn on_response(&mut self, instance: &choice::Instance, began: clock::Millis) {
        self.breaks.on_response(instance, began);
    }

    /// Records that an attempt of a request was answered at `now` by a target that ran it.
    pub fn on_answered(&mut self, digest: Digest, now: clock::Millis) {
        self.answers.add(digest, now);
        self.end(digest, Cause::Answered, now);
        self.crashes.on_answered(digest, now, self.rules.crashes);
        for host in self.suspects.remove(digest) {
            self.tell_twice(host, &Notice::Answered(digest, now), now);
        }
    }

    /// Records that an instance refused a connection begun at `began`.
    pub fn on_refused(
        &mut self,
        instance: &choice::Instance,
        began: clock::Millis,
        now: clock::Millis,
    ) {
        for proven in self.breaks.on_refused(instance, began) {
            self.on_proven(proven, now);
        }
    }

    /// Records that an instance accepted a connection, so that no further one is opened to
    /// learn whether it has ended.
    pub fn on_accepted(&mut self, instance: &choice::Instance) {
        self.breaks.on_accepted(instance);
    }

    /// Compares the instances at which attempts broke with the list of targets:
    /// `is_current` returns whether the list shows this instance, and no newer one.
    pub fn on_list(&mut self, is_current: impl Fn(&choice::Instance) -> bool, now: clock::Millis) {
        for proven in self.breaks.on_list(is_current) {
            self.on_proven(proven, now);
        }
    }

    /// Returns the instances to which a connection is to be opened now, to learn whether
    /// they have ended.
    pub fn take_probes(&mut self, now: clock::Millis) -> Vec<choice::Instance> {
        self.breaks.take_probes(now)
    }

    /// Ends the verdict on a request on all daemons, for an operator. Returns whether there
    /// was one.
    pub fn lift(&mut self, digest: Digest, now: clock::Millis) -> bool {
        self.end(digest, Cause::Operator, now)
    }

    /// Returns all verdicts for operators, the one that changed last first.
    pub fn list(&self, now: clock::Millis) -> Vec<Listed> {
        let newest = self.verdicts.newest().into_iter();
        let listed = newest.map(|(digest, entry)| {
            let verdict = &entry.verdict;
            let (trial, ended) = match verdict.state {
                State::Held(trial) => (Some(trial.since(now)), None),
                State::Ended(cause) => (None, Some(cause)),
            };
            Listed {
                digest: digest.to_string(),
                route: Arc::clone(&verdict.route),
                crashes: verdict.crashes,
                since: now.since(verdict.since),
                trial,
                trials: verdict.trials,
                ended,
                refused: entry.refused,
            }
        });
        listed.collect()
    }

    /// Returns whether a request is refused, but for trials. Changes nothing.
    pub fn is_quarantined(&self, digest: Digest) -> bool {
        self.verdicts.is_held(digest)
    }

    /// Returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        self.events.drain(..).collect()
    }

    /// Returns the time of this daemon's last answer to a request, if it shows that the
    /// request did not cause a crash at `crashed`.
    fn cleared_at(&self, digest: Digest, crashed: clock::Millis) -> Option<clock::Millis> {
        let last = self.answers.last(digest);
        last.filter(|at| answers::clears(*at, crashed))
    }

    /// Records that the instance of a break has ended, and reports the crash.
    fn on_proven(&mut self, proven: breaks::Break, now: clock::Millis) {
        let crash = crashes::Crash {
            instance: proven.instance.digest(),
            reporter: self.order.own().clone(),
            began: proven.began,
            ended: proven.ended,
            cold: proven.cold,
        };
        if self.add_crash(proven.digest, &proven.route, crash, now) {
            if let Some(record) = self.crashes.get_mut(proven.digest) {
                record.told.clear();
            }
            self.report(proven.digest, now);
        }
    }

    /// Adds a crash, and decides on the request. Returns whether it was added.
    fn add_crash(
        &mut self,
        digest: Digest,
        route: &Arc<str>,
        crash: crashes::Crash,
        now: clock::Millis,
    ) -> bool {
        let entry = self.verdicts.get(digest);
        let is_decided = entry.is_some_and(|e| e.is_held() || crash.ended <= e.changed);
        let is_cleared = self.cleared_at(digest, crash.ended).is_some();
        if is_decided || is_cleared || !self.crashes.add(digest, route, crash, now) {
            return false;
        }
        self.decide(digest, now);
        true
    }

    /// Sends this daemon's crashes of a request to collectors that were not told.
    fn report(&mut self, digest: Digest, now: clock::Millis) {
        let collectors = self.order.collectors(digest);
        let own = self.order.own().clone();
        let Some(record) = self.crashes.get_mut(digest) else {
            return;
        };
        let told = std::mem::replace(&mut record.told, collectors.clone());
        let crashes = record.crashes.iter().filter(|crash| crash.reporter == own);
        let route = Arc::clone(&record.route);
        let crashes: Vec<_> = crashes.cloned().collect();
        for host in collectors {
            if host == own || told.contains(&host) {
                continue;
            }
            for crash in &crashes {
                let notice = Notice::Crash(digest, Arc::clone(&route), crash.clone());
                self.tell_twice(host.clone(), &notice, now);
            }
        }
    }

    /// Asks for answers to a request, or passes a verdict on it, as its crashes require.
    fn decide(&mut self, digest: Digest, now: clock::Millis) {
        let limit = self.rules.crashes;
        let Some(record) = self.crashes.get_mut(digest) else {
            return;
        };
        let Some(crashed) = record.crashed() else {
            return;
        };
        match (record.is_proven(limit), record.settling) {
            (true, Some(asked)) if now.since(asked) >= SETTLE_MS => {
                return self.pass(digest, now);
            }
            (true, None) => {
                record.settling = Some(now);
                record.asked = true;
                if self.settling.len() == crashes::CAPACITY {
                    self.settling.pop_front();
                }
                self.settling.push_back((now + SETTLE_MS, digest));
            }
            (false, _) if record.is_suspect(limit) && !record.asked => record.asked = true,
            _ => return,
        }
        let own = self.order.own().clone();
        self.suspects.add(digest, &own, now);
        self.broadcast_twice(&Notice::Suspect(digest, crashed), now);
    }

    /// Passes a verdict on a request.
    fn pass(&mut self, digest: Digest, now: clock::Millis) {
        let Some(record) = self.crashes.get_mut(digest) else {
            return;
        };
        let verdict = Verdict {
            route: Arc::clone(&record.route),
            crashes: record.crashes.len() as u32,
            number: self.verdicts.next_number(digest),
            trials: 0,
            state: State::Held(now + self.rules.hold_ms),
            since: now,
            crashed: record.crashed().unwrap_or(now),
        };
        self.publish(digest, verdict, now);
    }

    /// Ends a verdict that refuses. Returns whether there was one.
    fn end(&mut self, digest: Digest, cause: Cause, now: clock::Millis) -> bool {
        let Some(entry) = self.verdicts.get(digest).filter(|entry| entry.is_held()) else {
            return false;
        };
        let verdict = Verdict {
            number: self.verdicts.next_number(digest),
            state: State::Ended(cause),
            ..entry.verdict.clone()
        };
        self.publish(digest, verdict, now);
        true
    }

    /// Records a new version of a verdict and tells all daemons.
    fn publish(&mut self, digest: Digest, verdict: Verdict, now: clock::Millis) {
        let version = verdict.clone();
        self.verdicts.merge(digest, verdict, now);
        self.on_changed(digest, &version);
        self.broadcast_twice(&Notice::Verdict(digest), now);
    }

    /// Forgets the evidence of a request whose verdict has changed, and adds an event.
    fn on_changed(&mut self, digest: Digest, verdict: &Verdict) {
        self.crashes.remove(digest);
        self.suspects.remove(digest);
        let happening = match verdict.state {
            State::Held(_) if verdict.trials == 0 => Happening::Quarantined(verdict.crashes),
            State::Held(_) => Happening::Trial,
            State::Ended(cause) => Happening::Ended(cause),
        };
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(Event {
            digest,
            route: Arc::clone(&verdict.route),
            happening,
        });
    }
}
