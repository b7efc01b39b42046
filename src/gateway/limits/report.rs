//! What daemons tell each other about the limits of targets, and the parts of the daemon that
//! ask for its share.

use std::collections::HashSet;
use std::hash::Hasher;

use serde::{Deserialize, Serialize};

use crate::clock;
use crate::gateway::adapter;
use crate::gateway::choice::{Instance, subset};
use crate::gateway::counters;
use crate::gateway::limits::share::{Division, Place};
use crate::gateway::limits::{Change, Entry, Limits, Obstacle, REPEAT_MS, Source, Statement};
use crate::gateway::peers;
use crate::gateway::shared::Shared;
use crate::model;

/// Largest number of targets in one message; bounds the datagram.
pub(crate) const MAX_REPORTS: usize = 30;

/// Largest number of daemons to which a daemon repeats limits in a second: with more, each of
/// them hears of a limit again after several seconds.
const MAX_RECIPIENTS: usize = 30;

/// Age of a limit from which on a daemon reports it to others that may not know it, in
/// milliseconds: the first sender reports limits at least as often to up to 150 daemons.
const UNCONFIRMED_MS: u64 = 5_000;

/// Number of daemons to which such a limit is reported in a second.
const UNCONFIRMED_RECIPIENTS: usize = 3;

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
    pub(super) fn new(instance: &Instance, entry: &Entry, now: clock::Millis) -> Self {
        Self {
            target: instance.target.clone(),
            birth: instance.birth,
            limit: entry.limit.map(|limit| limit.0),
            age: now.since(entry.at),
        }
    }

    /// Returns the instance of the target.
    pub(super) fn instance(&self) -> Instance {
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
    pub(super) fn report(&self, instance: &Instance, now: clock::Millis) -> Option<Report> {
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
            let mut limits = self.limits.borrow_mut();
            limits.obstacle(instance, now, || self.place(instance, now));
        }
        let is_new = |entry: &Entry| entry.changed.is_some_and(|at| now.since(at) < REPEAT_MS);
        let limits = self.limits.borrow();
        let addresses = self.peers.borrow().addresses(now);
        peers::report_limits(self, &limits.reports(now, is_new), &addresses);
        let parts = addresses.len().div_ceil(MAX_RECIPIENTS).max(1);
        let part = addresses.iter().skip(round as usize % parts).step_by(parts);
        let part: Vec<_> = part.copied().collect();
        let held = limits.reports(now, |entry| entry.is_first() && !is_new(entry));
        peers::report_limits(self, &held, &part);
        // The daemon that should know it may have started since.
        let is_old = |entry: &Entry| {
            entry.limit.is_some() && !entry.is_first() && now.since(entry.at) >= UNCONFIRMED_MS
        };
        let start = round as usize * UNCONFIRMED_RECIPIENTS;
        let few = addresses
            .iter()
            .cycle()
            .skip(start % addresses.len().max(1));
        let few = few.take(UNCONFIRMED_RECIPIENTS.min(addresses.len()));
        let few: Vec<_> = few.copied().collect();
        peers::report_limits(self, &limits.reports(now, is_old), &few);
    }

    /// Returns why this daemon may send a target no request now by the limit that the target
    /// named, if it may not. One that has the target's keys gets them by permits.
    pub(crate) fn limit_obstacle(
        &self,
        instance: &Instance,
        now: clock::Millis,
    ) -> Option<Obstacle> {
        self.limits.borrow().limit(instance)?;
        match self.is_keyed(instance) {
            true => None,
            false => {
                let mut limits = self.limits.borrow_mut();
                limits.obstacle(instance, now, || self.place(instance, now))
            }
        }
    }

    /// Counts a request that is about to be sent to a target. Returns false if the limit that
    /// the target named leaves this daemon none.
    pub(crate) fn take_limited(&self, instance: &Instance, now: clock::Millis) -> bool {
        let mut limits = self.limits.borrow_mut();
        limits.try_acquire(instance, now, || self.place(instance, now))
    }

    /// Returns whether the target's service is divided by key.
    fn is_keyed(&self, instance: &Instance) -> bool {
        let registry = self.registry.borrow();
        let catalog = self.catalog.borrow();
        let service = registry
            .get(&instance.target)
            .zip(catalog.as_ref())
            .and_then(|(target, catalog)| catalog.service(&target.service));
        service.is_some_and(|service| service.keyed)
    }

    /// Returns this daemon's place in the division of a target's limit, or `None` while it does
    /// not know the other daemons.
    fn place(&self, instance: &Instance, now: clock::Millis) -> Option<Place> {
        let order = self.sender_order(instance, now)?;
        let settings = &self.settings;
        let peers = self.peers.borrow();
        let (host, domain) = (&settings.host, &settings.domain);
        match order.keyed {
            // Daemons that send none of their heartbeats would be asked for permits in vain.
            true => Some(Place {
                position: peers
                    .heard_position(host, domain, now, |host, domain| order.key(host, domain))?,
                division: Division::Permits,
            }),
            false => Some(Place {
                position: peers
                    .position(host, domain, now, |host, domain| order.key(host, domain))?,
                division: Division::Senders,
            }),
        }
    }

    /// Returns the order of the daemons in the division of a target's limit.
    pub(super) fn sender_order(&self, instance: &Instance, now: clock::Millis) -> Option<Order> {
        let registry = self.registry.borrow();
        let target = registry.get(&instance.target)?;
        let peers = self.peers.borrow();
        let targets = registry.of(&target.service);
        let group = match targets.len() > subset::MAX_UNDIVIDED {
            true => {
                let near = targets.iter().filter(|other| other.domain == target.domain);
                let near: Vec<_> = near.collect();
                let position = near.iter().position(|other| other.name == target.name)?;
                peers.group_hosts(
                    &self.settings.domain,
                    &target.domain,
                    now,
                    position,
                    near.len(),
                )
            }
            false => HashSet::new(),
        };
        let domains = self.settings.domains.keys();
        let region = self.settings.region(&target.domain);
        let region_domains = domains.filter(|domain| self.settings.region(domain) == region);
        Some(Order {
            digest: instance.digest(),
            keyed: self.is_keyed(instance),
            domain: target.domain.clone(),
            region_domains: region_domains.cloned().collect(),
            group,
        })
    }
}

/// Order of the daemons in the division of a target's limit.
///
/// It differs from target to target, so that each daemon is a sender of some. Daemons that
/// prefer the target come first: those of its group, of its failure domain, and of its region.
/// Where only the target can serve a key, callers of all daemons need it in the same way.
pub(super) struct Order {
    digest: u32,
    keyed: bool,
    /// Failure domain of the target.
    domain: model::DomainName,
    /// Failure domains of the target's region.
    region_domains: HashSet<model::DomainName>,
    /// Daemons of the target's group, if there are groups.
    group: HashSet<model::HostName>,
}

impl Order {
    /// Returns the key by which a daemon is sorted.
    pub(super) fn key(&self, host: &model::HostName, domain: &model::DomainName) -> (u8, u64) {
        let distance = match () {
            () if self.keyed || self.group.contains(host) => 0,
            () if *domain == self.domain => 1,
            () if self.region_domains.contains(domain) => 2,
            () => 3,
        };
        let mut hasher = siphasher::sip::SipHasher13::new();
        hasher.write_u32(self.digest);
        hasher.write(host.as_str().as_bytes());
        (distance, hasher.finish())
    }
}
