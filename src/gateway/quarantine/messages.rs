//! Messages between daemons: what those of others change, and which are sent at what time.

use std::collections::BTreeMap;

use crate::clock;
use crate::gateway::quarantine::outbox::{Notice, Recipient};
use crate::gateway::quarantine::verdicts::{self, Cause, Change, Verdict};
use crate::gateway::quarantine::wire::{self, At};
use crate::gateway::quarantine::{Digest, Quarantine, ROUND_MS, answers, crashes};
use crate::model;

/// Time after which a notice is sent a second time, in milliseconds.
const REPEAT_MS: u64 = 150;

/// Daemons to which known verdicts are sent in each round.
const ROUND_HOSTS: usize = 2;

/// Largest number of items in a datagram, about 1.2 KB with usual names of routes.
const MAX_ITEMS: usize = 20;

/// Verdicts in each message of a round.
const ROUND_ITEMS: usize = 8;

/// Verdicts of a round that are the newest ones; the others are sent in turn.
const NEWEST_ITEMS: usize = ROUND_ITEMS / 2;

/// Largest number of verdicts in the answer to a daemon that starts.
const MAX_ANSWER: usize = 200;

/// Daemons that a daemon asks for verdicts when it starts.
const ASKED_HOSTS: usize = 3;

/// Interval between these questions, in milliseconds.
const ASK_INTERVAL_MS: u64 = 200;

impl Quarantine {
    /// Handles the message of another daemon.
    ///
    /// # Errors
    /// Returns why the first invalid part was skipped. The other parts have their effect.
    pub fn on_message(
        &mut self,
        message: &wire::Datagram,
        now: clock::Millis,
    ) -> Result<(), wire::Invalid> {
        let host = &message.host;
        if host == self.order.own() {
            return Ok(());
        }
        let mut result = Ok(());
        for item in &message.items {
            result = result.and(self.on_item(host, item, now));
        }
        result
    }

    fn on_item(
        &mut self,
        host: &model::HostName,
        item: &wire::Item,
        now: clock::Millis,
    ) -> Result<(), wire::Invalid> {
        match item {
            wire::Item::Crash(crash) => {
                let digest = Digest(crash.digest);
                let known = crashes::Crash::try_from(At(now, (crash, host)))?;
                self.add_crash(digest, &crash.route, known, now);
            }
            wire::Item::Suspect(_, age) if *age > crashes::KEPT_MS => {
                return Err(wire::Invalid::Age);
            }
            wire::Item::Suspect(digest, age) => {
                self.on_suspect(host, Digest(*digest), now - *age, now);
            }
            wire::Item::Answered(digest, age) => {
                self.on_answer_reported(Digest(*digest), now - *age, now);
            }
            wire::Item::Verdict(verdict) => {
                let new = Verdict::try_from(At(now, verdict))?;
                self.on_verdict(Digest(verdict.digest), new, now);
            }
            wire::Item::Ask => {
                let to = Recipient::Host(host.clone());
                self.outbox.add(now, to, Notice::Known);
                let newest = self.verdicts.newest().into_iter();
                for (digest, _) in newest.take(MAX_ANSWER) {
                    let to = Recipient::Host(host.clone());
                    self.outbox.add(now, to, Notice::Verdict(digest));
                }
            }
            wire::Item::Known => self.known = true,
        }
        Ok(())
    }

    /// Handles another daemon's question for answers to a request.
    fn on_suspect(
        &mut self,
        host: &model::HostName,
        digest: Digest,
        crashed: clock::Millis,
        now: clock::Millis,
    ) {
        let to = Recipient::Host(host.clone());
        if self.verdicts.is_held(digest) {
            self.outbox.add(now, to, Notice::Verdict(digest));
        } else if let Some(at) = self.cleared_at(digest, crashed) {
            self.outbox.add(now, to, Notice::Answered(digest, at));
        } else {
            self.suspects.add(digest, host, now);
        }
    }

    /// Handles another daemon's report that an attempt was answered, which ended at `at`.
    fn on_answer_reported(&mut self, digest: Digest, at: clock::Millis, now: clock::Millis) {
        self.crashes.on_answered(digest, at, self.rules.crashes);
        let entry = self.verdicts.get(digest);
        let is_cleared = |entry: &verdicts::Entry| {
            entry.verdict.trials == 0 && answers::clears(at, entry.verdict.crashed)
        };
        if entry.is_some_and(is_cleared) {
            self.end(digest, Cause::Answered, now);
        }
    }

    /// Merges a version of a verdict, and ends it if an answer here shows that the request
    /// did not cause its last crash.
    fn on_verdict(&mut self, digest: Digest, new: Verdict, now: clock::Millis) {
        let is_cleared = new.trials == 0 && self.cleared_at(digest, new.crashed).is_some();
        let version = new.clone();
        match self.verdicts.merge(digest, new, now) {
            Change::None => return,
            Change::Replaced => {}
            Change::Renumbered => self.broadcast_twice(&Notice::Verdict(digest), now),
        }
        self.on_changed(digest, &version);
        if is_cleared {
            self.end(digest, Cause::Answered, now);
        }
    }

    pub(super) fn tell_twice(
        &mut self,
        host: model::HostName,
        notice: &Notice,
        now: clock::Millis,
    ) {
        if host == *self.order.own() {
            return;
        }
        for at in [now, now + REPEAT_MS] {
            let to = Recipient::Host(host.clone());
            self.outbox.add(at, to, notice.clone());
        }
    }

    pub(super) fn broadcast_twice(&mut self, notice: &Notice, now: clock::Millis) {
        if self.order.others().is_empty() {
            return;
        }
        for at in [now, now + REPEAT_MS] {
            self.outbox.add(at, Recipient::All, notice.clone());
        }
    }

    /// Passes verdicts that are due, drops what is too old, and returns the messages to be
    /// sent now, each with its host; to be called every 25 ms or so.
    pub fn take_messages(&mut self, now: clock::Millis) -> Vec<(model::HostName, wire::Datagram)> {
        while let Some((_, digest)) = self.settling.pop_front_if(|(due, _)| *due <= now) {
            self.decide(digest, now);
        }
        self.ask(now);
        let mut round = BTreeMap::new();
        if now >= self.next_round {
            self.next_round = now + ROUND_MS;
            self.breaks.expire(now);
            self.crashes.expire(now);
            self.suspects.expire(now);
            self.verdicts.expire(now);
            round = self.next_round_notices();
        }
        let mut due = self.outbox.take(self.order.others(), now);
        for (host, notices) in round {
            due.entry(host).or_default().extend(notices);
        }
        let mut messages = Vec::new();
        for (host, notices) in due {
            let items: Vec<_> = notices
                .iter()
                .filter_map(|notice| self.item(notice, now))
                .collect();
            for items in items.chunks(MAX_ITEMS) {
                let datagram = wire::Datagram {
                    host: self.order.own().clone(),
                    items: items.to_vec(),
                };
                messages.push((host.clone(), datagram));
            }
        }
        messages
    }

    /// Asks other daemons for their verdicts until one has answered.
    fn ask(&mut self, now: clock::Millis) {
        let others = self.order.others();
        if self.known || others.is_empty() || now < self.next_ask || now >= self.ask_until {
            return;
        }
        self.next_ask = now + ASK_INTERVAL_MS;
        for host in hosts_of_round(others.iter(), self.round, ASKED_HOSTS) {
            self.outbox.add(now, Recipient::Host(host), Notice::Ask);
        }
        self.round = self.round.wrapping_add(1);
    }

    /// Returns the verdicts of the next round for each of its hosts.
    fn next_round_notices(&mut self) -> BTreeMap<model::HostName, Vec<Notice>> {
        let newest: Vec<_> = self.verdicts.newest().into_iter().map(|(d, _)| d).collect();
        if newest.is_empty() {
            return BTreeMap::new();
        }
        self.round = self.round.wrapping_add(1);
        let (first, rest) = newest.split_at(newest.len().min(NEWEST_ITEMS));
        let mut digests = first.to_vec();
        let skipped = self.round.wrapping_mul(ROUND_ITEMS - NEWEST_ITEMS) % rest.len().max(1);
        let in_turn = rest.iter().cycle().skip(skipped);
        digests.extend(in_turn.take(rest.len().min(ROUND_ITEMS - NEWEST_ITEMS)));
        let hosts = hosts_of_round(self.order.others().iter(), self.round, ROUND_HOSTS);
        let notices = digests.into_iter().map(Notice::Verdict);
        let notices: Vec<_> = notices.collect();
        let round = hosts.into_iter().map(|host| (host, notices.clone()));
        round.collect()
    }

    /// Returns a notice as part of a message; none for a verdict that is no longer kept.
    fn item(&self, notice: &Notice, now: clock::Millis) -> Option<wire::Item> {
        Some(match notice {
            Notice::Crash(digest, route, crash) => {
                wire::Item::Crash(At(now, (*digest, route, crash)).into())
            }
            Notice::Suspect(digest, at) => wire::Item::Suspect(digest.0, now.since(*at)),
            Notice::Answered(digest, at) => wire::Item::Answered(digest.0, now.since(*at)),
            Notice::Verdict(digest) => {
                let verdict = &self.verdicts.get(*digest)?.verdict;
                wire::Item::Verdict(At(now, (*digest, verdict)).into())
            }
            Notice::Ask => wire::Item::Ask,
            Notice::Known => wire::Item::Known,
        })
    }
}

/// Returns up to `count` hosts, other ones in each round until all had their turn.
fn hosts_of_round<'h>(
    hosts: impl ExactSizeIterator<Item = &'h model::HostName> + Clone,
    round: usize,
    count: usize,
) -> Vec<model::HostName> {
    let total = hosts.len();
    if total == 0 {
        return Vec::new();
    }
    let skipped = round.wrapping_mul(count) % total;
    let in_turn = hosts.cycle().skip(skipped).take(count.min(total));
    in_turn.cloned().collect()
}
