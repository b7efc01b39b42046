//! The last events of one daemon, in memory. The ring is empty after a restart;
//! the platform's log holds all persistent state.

use std::cell::RefCell;
use std::collections::{BTreeSet, VecDeque};
use std::time::SystemTime;

use serde::{Deserialize, Serialize};

use crate::clock;
use crate::gateway::adapter;
use crate::gateway::keys;
use crate::gateway::shared::Shared;
use crate::model;

/// Number of events that are kept; bounds memory and the size of the page.
const CAPACITY: usize = 500;

/// An event that changes how the daemon routes requests or assigns keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// A new configuration takes effect.
    Configuration {
        /// Version of the configuration.
        version: u64,
    },
    /// Operators drain a failure domain.
    #[serde(rename = "domain_out")]
    DomainDrained {
        /// The failure domain.
        domain: model::DomainName,
    },
    /// A failure domain is no longer drained.
    #[serde(rename = "domain_back")]
    DomainRestored {
        /// The failure domain.
        domain: model::DomainName,
    },
    /// The daemon reads a new version of the key table.
    KeyTable {
        /// Host of the coordinator that wrote it.
        #[serde(rename = "steward")]
        coordinator: model::HostName,
        /// Whether another process wrote the previous version that the daemon knows.
        takeover: bool,
        /// Number of runs, or parts of runs, that changed owner.
        moved_runs: usize,
        /// Number of keys that changed owner.
        moved_keys: u32,
    },
    /// The log was restored from an older copy, so that records written since are lost.
    LogRestored {
        /// Era of the log, which rises with each restore.
        era: u64,
    },
    /// A request is refused by all daemons, since targets crashed in attempts of it.
    RequestQuarantined {
        /// Digest of the request, 16 hexadecimal digits.
        digest: String,
        /// Name of its route.
        route: String,
        /// Instances that crashed.
        crashes: u32,
    },
    /// A request that was refused for crashes of targets is served again.
    QuarantineEnded {
        /// Digest of the request, 16 hexadecimal digits.
        digest: String,
        /// Name of its route.
        route: String,
    },
    /// An owner of keys does not reply to orders, or refuses connections. Only the
    /// coordinator records it, with the offset of the key table.
    #[serde(rename = "owner_silent")]
    OwnerEjected {
        /// Name of the target.
        target: model::TargetName,
        /// Unix time of the target's start in milliseconds.
        birth: u64,
    },
}

impl Event {
    /// Returns the log topic to which the event's offset belongs.
    fn topic(&self) -> &'static str {
        match self {
            Self::Configuration { .. }
            | Self::DomainDrained { .. }
            | Self::DomainRestored { .. } => "operator",
            Self::KeyTable { .. } | Self::OwnerEjected { .. } => "table",
            Self::LogRestored { .. } => "targets",
            Self::RequestQuarantined { .. } | Self::QuarantineEnded { .. } => "none",
        }
    }
}

/// An event as stored, with its time and offset.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Entry {
    /// Unix time at which the daemon recorded the event, in milliseconds.
    unix_ms: u64,
    /// The same time by the monotonic clock.
    recorded_at: clock::Millis,
    offset: Option<model::Offset>,
    event: Event,
}

/// An event as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedEvent {
    /// Unix time at which the daemon recorded the event, in milliseconds.
    pub time: u64,
    /// Time since then in milliseconds, by the monotonic clock.
    pub age: u64,
    /// Log topic to which the offset belongs.
    pub topic: String,
    /// Offset of the record that caused the event. If a record was missing when the
    /// topic was read again, the offset up to which it was read.
    pub offset: Option<model::Offset>,
    /// The event.
    #[serde(flatten)]
    pub event: Event,
}

/// All events that are kept, as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// Host of the daemon.
    pub host: model::HostName,
    /// Time since the daemon started, in milliseconds.
    pub covered_ms: u64,
    /// Number of older events that are no longer kept.
    pub dropped: u64,
    /// Events, the oldest first.
    pub events: Vec<ReportedEvent>,
}

/// A ring buffer of the last events.
#[derive(Debug)]
pub struct Ring {
    start: clock::Millis,
    state: RefCell<State>,
}

#[derive(Debug, Default)]
struct State {
    entries: VecDeque<Entry>,
    dropped: u64,
    drained: BTreeSet<model::DomainName>,
    ejected: BTreeSet<keys::Owner>,
}

impl State {
    fn add(&mut self, recorded_at: clock::Millis, offset: Option<model::Offset>, event: Event) {
        if self.entries.len() == CAPACITY {
            self.entries.pop_front();
            self.dropped += 1;
        }
        let time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        self.entries.push_back(Entry {
            unix_ms: time.map_or(0, |time| time.as_millis() as u64),
            recorded_at,
            offset,
            event,
        });
    }
}

impl Ring {
    /// Returns an empty ring for a daemon that started at `now`.
    pub fn new(now: clock::Millis) -> Self {
        Self {
            start: now,
            state: RefCell::default(),
        }
    }

    /// Adds an event, and drops the oldest one if the ring is full.
    pub fn add(&self, now: clock::Millis, offset: Option<model::Offset>, event: Event) {
        self.state.borrow_mut().add(now, offset, event);
    }

    /// Sets the failure domains that are drained as of `offset`, and adds an event
    /// for each one that changed.
    pub fn set_drained<'d>(
        &self,
        now: clock::Millis,
        offset: model::Offset,
        domains: impl Iterator<Item = &'d model::DomainName>,
    ) {
        let domains: BTreeSet<_> = domains.cloned().collect();
        let mut state = self.state.borrow_mut();
        let known = std::mem::replace(&mut state.drained, domains.clone());
        for domain in domains.difference(&known).cloned() {
            state.add(now, Some(offset), Event::DomainDrained { domain });
        }
        for domain in known.difference(&domains).cloned() {
            state.add(now, Some(offset), Event::DomainRestored { domain });
        }
    }

    /// Adds an event for the key table `new`, which replaces `old`.
    pub fn on_key_table(
        &self,
        now: clock::Millis,
        offset: model::Offset,
        old: Option<&keys::Table>,
        new: &keys::Table,
    ) {
        let (moved_runs, moved_keys) = old.map_or((0, 0), |old| count_moves(old, new));
        let event = Event::KeyTable {
            coordinator: new.host.clone(),
            takeover: old.is_some_and(|old| old.incarnation != new.incarnation),
            moved_runs,
            moved_keys,
        };
        self.add(now, Some(offset), event);
    }

    /// Sets the owners that do not respond, with the offset of the key table, and
    /// adds an event for each one that responded before.
    pub fn set_ejected<'o>(
        &self,
        now: clock::Millis,
        offset: Option<model::Offset>,
        owners: impl Iterator<Item = &'o keys::Owner>,
    ) {
        let owners: BTreeSet<_> = owners.cloned().collect();
        let mut state = self.state.borrow_mut();
        let known = std::mem::replace(&mut state.ejected, owners.clone());
        for keys::Owner { target, birth } in owners.difference(&known).cloned() {
            state.add(now, offset, Event::OwnerEjected { target, birth });
        }
    }

    /// Returns all events of the daemon on `host`, the oldest first.
    pub fn read(&self, now: clock::Millis, host: &model::HostName) -> History {
        let state = self.state.borrow();
        let events = state.entries.iter().map(|entry| ReportedEvent {
            time: entry.unix_ms,
            age: now.since(entry.recorded_at),
            topic: entry.event.topic().to_owned(),
            offset: entry.offset,
            event: entry.event.clone(),
        });
        History {
            host: host.clone(),
            covered_ms: now.since(self.start),
            dropped: state.dropped,
            events: events.collect(),
        }
    }
}

/// Returns how many runs, or parts of runs, and how many keys have another owner
/// in `new` than in `old`.
fn count_moves(old: &keys::Table, new: &keys::Table) -> (usize, u32) {
    let mut moves = (0, 0);
    for (service, runs) in &new.services {
        let mut last_move = None;
        for run in runs {
            for part in split_by_runs(old, service, run.range) {
                let owner = old.run_of(service, part.first).map(|run| &run.owner);
                if owner.is_some_and(|owner| *owner != run.owner) {
                    moves.1 += part.len();
                    // Adjacent parts with the same old and new owner count once.
                    moves.0 += usize::from(last_move != Some((owner, &run.owner)));
                    last_move = Some((owner, &run.owner));
                } else {
                    last_move = None;
                }
            }
        }
    }
    moves
}

/// Splits a range at the boundaries of the runs of `table`.
fn split_by_runs(
    table: &keys::Table,
    service: &model::ServiceName,
    range: adapter::KeyRange,
) -> Vec<adapter::KeyRange> {
    let runs = table.services.get(service).map_or(&[][..], Vec::as_slice);
    let parts = runs.iter().map(|run| adapter::KeyRange {
        first: run.range.first.max(range.first),
        last: run.range.last.min(range.last),
    });
    parts.filter(|part| part.first <= part.last).collect()
}

impl Shared {
    /// Adds events for the failure domains whose drain began or ended, as of `offset`.
    pub(crate) fn record_drains(&self, offset: model::Offset) {
        let drained_domains = self.drained_domains.borrow();
        self.history
            .set_drained(clock::now(), offset, drained_domains.keys());
    }
}
