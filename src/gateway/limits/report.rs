//! What daemons tell each other about the limits of targets, and the parts of the daemon that
//! ask for its share.

use std::hash::Hasher;

use serde::{Deserialize, Serialize};

use crate::clock;
use crate::gateway::adapter;
use crate::gateway::choice::Instance;
use crate::gateway::counters;
use crate::gateway::limits::share::Position;
use crate::gateway::limits::{Change, Entry, Limits, Obstacle, REPEAT_MS, Source, Statement};
use crate::gateway::peers;
use crate::gateway::shared::Shared;
use crate::model;

/// Largest number of targets in one message; bounds the datagram.
pub(crate) const MAX_REPORTS: usize = 30;

/// Largest number of daemons to which a daemon repeats limits in a second: with more, each of
/// them hears of a limit again after several seconds.
const MAX_RECIPIENTS: usize = 30;

/// Time by which the begin of a request may seem later to the receiver of a report than it
/// was, in milliseconds: the datagram's way counts as no time.
const TRANSIT_MS: u64 = 100;

/// Longest part of a value that a log line repeats, in characters.
const MAX_FOUND_CHARS: usize = 80;

/// Limit of one target as a daemon reports it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Report {
    target: model::TargetName,
    birth: u64,
    /// Requests per second in thousandths, or `None` if the limit has ended.
    limit: Option<u64>,
    /// Time since the statement that counts, in milliseconds.
    age: u64,
}

impl Report {
    fn new(instance: &Instance, entry: &Entry, now: clock::Millis) -> Self {
        Self {
            target: instance.target.clone(),
            birth: instance.birth,
            limit: entry.limit.map(|limit| limit.0),
            age: now.since(entry.at),
        }
    }

    /// Returns the instance of the target.
    fn instance(&self) -> Instance {
        Instance {
            target: self.target.clone(),
            birth: self.birth,
        }
    }

    /// Returns the statement of a report that arrives at `now`.
    fn statement(&self, now: clock::Millis) -> Statement {
        let at = now - self.age;
        Statement {
            limit: self.limit.map(adapter::RequestRate),
            at,
            began: Some(at - TRANSIT_MS),
            source: Source::Peer,
        }
    }
}

impl Limits {
    /// Returns the report of one target, if anything is known of its limit.
    fn report(&self, instance: &Instance, now: clock::Millis) -> Option<Report> {
        let entry = self.entries.get(instance)?;
        Some(Report::new(instance, entry, now))
    }

    /// Returns the reports of the targets that `is_reported` accepts.
    fn reports(&self, now: clock::Millis, is_reported: impl Fn(&Entry) -> bool) -> Vec<Report> {
        let entries = self.entries.iter();
        entries
            .filter(|(_, entry)| is_reported(entry))
            .map(|(instance, entry)| Report::new(instance, entry, now))
            .collect()
    }
}

impl Shared {
    /// Records what an answer says about the limit of a target. `began` is the time at which
    /// its request began, if the answer certainly belongs to that.
    pub(crate) fn on_limit(
        &self,
        instance: &Instance,
        headers: &http::HeaderMap,
        notice: adapter::LimitNotice,
        began: Option<clock::Millis>,
    ) {
        let limit = match notice {
            adapter::LimitNotice::Absent if self.limits.borrow().entries.is_empty() => return,
            adapter::LimitNotice::Absent => None,
            adapter::LimitNotice::Named(limit) => Some(limit),
            adapter::LimitNotice::Unreadable => return self.on_unreadable_limit(instance, headers),
        };
        let now = clock::now();
        let statement = Statement {
            limit,
            at: now,
            began,
            source: Source::Answer,
        };
        let change = self
            .limits
            .borrow_mut()
            .on_statement(instance, statement, now);
        if let Some(change) = change {
            self.on_limit_change(instance, change, "in an answer");
            let report = self.limits.borrow().report(instance, now);
            let addresses = self.peers.borrow().addresses(now);
            peers::report_limits(self, report.as_slice(), &addresses);
        }
    }

    /// Logs the first limit of a target that can't be read. The limit before stays.
    fn on_unreadable_limit(&self, instance: &Instance, headers: &http::HeaderMap) {
        if !self.limits.borrow_mut().on_unreadable(instance) {
            return;
        }
        let name = &self.adapter.names().limit;
        let value = headers.get(name).map(http::HeaderValue::as_bytes);
        let value = String::from_utf8_lossy(value.unwrap_or_default()).into_owned();
        let found: String = value.chars().take(MAX_FOUND_CHARS).collect();
        log::warn!(
            "answer of target {}, header {name}: expected a decimal number of requests per \
             second, found {found:?}",
            instance.target
        );
    }

    /// Handles another daemon's report of limits. Only instances that this daemon lists are
    /// kept, so that reports need no further memory.
    pub(crate) fn on_limits_reported(&self, host: &model::HostName, reports: Vec<Report>) {
        let now = clock::now();
        for report in reports.into_iter().take(MAX_REPORTS) {
            let instance = report.instance();
            let is_listed = {
                let registry = self.registry.borrow();
                let target = registry.get(&instance.target);
                target.is_some_and(|target| target.birth == instance.birth)
            };
            if !is_listed {
                continue;
            }
            let statement = report.statement(now);
            let change = self
                .limits
                .borrow_mut()
                .on_statement(&instance, statement, now);
            if let Some(change) = change {
                let source = format!("{} ms ago, reported by host {host}", report.age);
                self.on_limit_change(&instance, change, &source);
            }
        }
    }

    /// Logs and counts a change of a target's limit; `source` says where it is known from.
    fn on_limit_change(&self, instance: &Instance, change: Change, source: &str) {
        counters::increment(&self.counters.limits);
        let target = &instance.target;
        match change {
            Change::Named(limit) => {
                log::info!("target {target} takes {limit} from all daemons, said {source}");
            }
            Change::Changed(before, limit) => log::info!(
                "target {target} takes {limit} from all daemons instead of {before}, said {source}"
            ),
            Change::Ended => log::info!("target {target} names no limit any more, said {source}"),
        }
        // The coordinator places keys by it, and requests that wait for an owner look again.
        self.wake_coordinator.notify_one();
        self.owner_changed.notify_waiters();
    }

    /// Reports limits again; called once a second with the number of the `round`. Changes that
    /// this daemon learned lately from answers go to all daemons, and limits for which it comes
    /// first among the senders to some daemons in turn, for new processes.
    pub(crate) fn repeat_limits(&self, round: u64) {
        let now = clock::now();
        let limited: Vec<_> = self.limits.borrow().entries.keys().cloned().collect();
        for instance in &limited {
            // Determines this daemon's place anew if need be.
            self.limit_obstacle(instance, now);
        }
        let is_new = |entry: &Entry| entry.changed.is_some_and(|at| now.since(at) < REPEAT_MS);
        let is_first = |entry: &Entry| {
            entry.limit.is_some() && entry.position.is_some_and(|position| position.rank == 0)
        };
        let limits = self.limits.borrow();
        let addresses = self.peers.borrow().addresses(now);
        peers::report_limits(self, &limits.reports(now, is_new), &addresses);
        let parts = addresses.len().div_ceil(MAX_RECIPIENTS).max(1);
        let part = addresses.iter().skip(round as usize % parts).step_by(parts);
        let part: Vec<_> = part.copied().collect();
        let held = limits.reports(now, |entry| is_first(entry) && !is_new(entry));
        peers::report_limits(self, &held, &part);
    }

    /// Returns why this daemon may send a target no request now by the limit that the target
    /// named, if it may not.
    pub(crate) fn limit_obstacle(
        &self,
        instance: &Instance,
        now: clock::Millis,
    ) -> Option<Obstacle> {
        let mut limits = self.limits.borrow_mut();
        limits.obstacle(instance, now, || self.sender_position(instance, now))
    }

    /// Counts a request that is about to be sent to a target. Returns false if the limit that
    /// the target named forbids it.
    pub(crate) fn take_limited(&self, instance: &Instance, now: clock::Millis) -> bool {
        let mut limits = self.limits.borrow_mut();
        limits.try_acquire(instance, now, || self.sender_position(instance, now))
    }

    /// Returns this daemon's place among those that may send to a target, or `None` while it
    /// does not know the others.
    ///
    /// The order differs from target to target, so that each daemon is a sender of some.
    /// Daemons near the target come first. Where only one target can serve a key, they come in
    /// any order: callers of all failure domains have to reach it.
    fn sender_position(&self, instance: &Instance, now: clock::Millis) -> Option<Position> {
        let registry = self.registry.borrow();
        let target = registry.get(&instance.target)?;
        let catalog = self.catalog.borrow();
        let service = catalog.as_ref()?.service(&target.service);
        let keyed = service.is_some_and(|service| service.keyed);
        let settings = &self.settings;
        let order = |host: &model::HostName, domain: &model::DomainName| {
            let distance = match settings.region(domain) == settings.region(&target.domain) {
                _ if keyed => 0,
                _ if *domain == target.domain => 0,
                true => 1,
                false => 2,
            };
            let mut hasher = siphasher::sip::SipHasher13::new();
            hasher.write_u32(instance.digest());
            hasher.write(host.as_str().as_bytes());
            (distance, hasher.finish())
        };
        let peers = self.peers.borrow();
        peers.position(&settings.host, &settings.domain, now, order)
    }
}
