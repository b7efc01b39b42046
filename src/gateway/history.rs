//! The last events of one daemon, in memory. What must last is in the
//! platform's log; this ring is empty after a restart.

use std::cell::RefCell;
use std::collections::{BTreeSet, VecDeque};
use std::time::SystemTime;

use serde::{Deserialize, Serialize};

use crate::clock;
use crate::gateway::dialect;
use crate::gateway::keys;
use crate::gateway::shared::Shared;
use crate::model;

/// Events that are kept. It bounds memory and the length of the page.
const KEPT: usize = 500;

/// Something that changed what the daemon does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// A configuration is in effect.
    Configuration {
        /// Its version.
        version: u64,
    },
    /// A failure domain is taken out.
    DomainOut {
        /// The failure domain.
        domain: model::DomainName,
    },
    /// A failure domain is back.
    DomainBack {
        /// The failure domain.
        domain: model::DomainName,
    },
    /// The key table has a new record.
    KeyTable {
        /// Host of the steward that wrote it.
        steward: model::HostName,
        /// Whether another process wrote the record that was known before.
        takeover: bool,
        /// Runs that have another owner than before, or parts of them.
        moved_runs: usize,
        /// Keys that have another owner than before.
        moved_keys: u32,
    },
    /// An owner of keys does not answer orders, or refuses connections; known
    /// at the steward only. The offset is that of the key table.
    OwnerSilent {
        /// Name of the target.
        target: model::TargetName,
        /// Unix time of its start in milliseconds.
        birth: u64,
    },
}

impl Event {
    /// Returns the topic to which the offset of the event belongs.
    fn topic(&self) -> &'static str {
        match self {
            Self::Configuration { .. } | Self::DomainOut { .. } | Self::DomainBack { .. } => {
                "operator"
            }
            Self::KeyTable { .. } | Self::OwnerSilent { .. } => "table",
        }
    }
}

/// An event, with its time and offset.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Entry {
    /// Unix time at which the daemon learned of it, in milliseconds.
    time: u64,
    /// The same time by the clock that is never set.
    at: clock::Millis,
    offset: Option<model::Offset>,
    event: Event,
}

/// An event as operators read it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// Unix time at which the daemon learned of it, in milliseconds.
    pub time: u64,
    /// Time since then, in milliseconds, by a clock that is never set.
    pub age: u64,
    /// Topic of the log to which the offset belongs.
    pub topic: String,
    /// Offset of the record, or up to which the topic was read when a record
    /// was found to be gone.
    pub offset: Option<model::Offset>,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}

/// All events that are kept, as operators read them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// Host of the daemon.
    pub host: model::HostName,
    /// Time since the daemon started, in milliseconds.
    pub covered_ms: u64,
    /// Older events that are no longer kept.
    pub dropped: u64,
    /// Events, the oldest first.
    pub events: Vec<Line>,
}

/// The last events, up to a fixed number.
#[derive(Debug)]
pub struct Ring {
    start: clock::Millis,
    state: RefCell<State>,
}

#[derive(Debug, Default)]
struct State {
    entries: VecDeque<Entry>,
    dropped: u64,
    taken_out: BTreeSet<model::DomainName>,
    silent: BTreeSet<keys::Owner>,
}

impl State {
    fn add(&mut self, at: clock::Millis, offset: Option<model::Offset>, event: Event) {
        if self.entries.len() == KEPT {
            self.entries.pop_front();
            self.dropped += 1;
        }
        let time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        self.entries.push_back(Entry {
            time: time.map_or(0, |time| time.as_millis() as u64),
            at,
            offset,
            event,
        });
    }
}

impl Ring {
    /// Returns an empty ring of a daemon that started at `now`.
    pub fn new(now: clock::Millis) -> Self {
        Self {
            start: now,
            state: RefCell::default(),
        }
    }

    /// Adds an event.
    pub fn add(&self, now: clock::Millis, offset: Option<model::Offset>, event: Event) {
        self.state.borrow_mut().add(now, offset, event);
    }

    /// Takes the failure domains that are taken out as of `offset`; adds what
    /// has changed.
    pub fn set_domains<'d>(
        &self,
        now: clock::Millis,
        offset: model::Offset,
        domains: impl Iterator<Item = &'d model::DomainName>,
    ) {
        let domains: BTreeSet<_> = domains.cloned().collect();
        let mut state = self.state.borrow_mut();
        let known = std::mem::replace(&mut state.taken_out, domains.clone());
        for domain in domains.difference(&known).cloned() {
            state.add(now, Some(offset), Event::DomainOut { domain });
        }
        for domain in known.difference(&domains).cloned() {
            state.add(now, Some(offset), Event::DomainBack { domain });
        }
    }

    /// Adds a new record of the key table, which follows `old`.
    pub fn on_table(
        &self,
        now: clock::Millis,
        offset: model::Offset,
        old: Option<&keys::Table>,
        new: &keys::Table,
    ) {
        let (moved_runs, moved_keys) = old.map_or((0, 0), |old| moved(old, new));
        let event = Event::KeyTable {
            steward: new.host.clone(),
            takeover: old.is_some_and(|old| old.incarnation != new.incarnation),
            moved_runs,
            moved_keys,
        };
        self.add(now, Some(offset), event);
    }

    /// Takes the owners that are silent, with the offset of the key table; adds
    /// those that were not silent before.
    pub fn set_silent<'o>(
        &self,
        now: clock::Millis,
        offset: Option<model::Offset>,
        owners: impl Iterator<Item = &'o keys::Owner>,
    ) {
        let owners: BTreeSet<_> = owners.cloned().collect();
        let mut state = self.state.borrow_mut();
        let known = std::mem::replace(&mut state.silent, owners.clone());
        for keys::Owner { target, birth } in owners.difference(&known).cloned() {
            state.add(now, offset, Event::OwnerSilent { target, birth });
        }
    }

    /// Returns the events for operators, for a daemon on `host`.
    pub fn read(&self, now: clock::Millis, host: &model::HostName) -> History {
        let state = self.state.borrow();
        let lines = state.entries.iter().map(|entry| Line {
            time: entry.time,
            age: now.since(entry.at),
            topic: entry.event.topic().to_owned(),
            offset: entry.offset,
            event: entry.event.clone(),
        });
        History {
            host: host.clone(),
            covered_ms: now.since(self.start),
            dropped: state.dropped,
            events: lines.collect(),
        }
    }
}

/// Returns how many runs, or parts of runs, and keys have another owner in `new`
/// than in `old`.
fn moved(old: &keys::Table, new: &keys::Table) -> (usize, u32) {
    let mut count = (0, 0);
    for (service, runs) in &new.services {
        let mut before = None;
        for run in runs {
            for part in parts(old, service, run.range) {
                let owner = old.run_of(service, part.first).map(|run| &run.owner);
                if owner.is_some_and(|owner| *owner != run.owner) {
                    count.1 += part.len();
                    // Neighbouring parts that moved alike count once.
                    count.0 += usize::from(before != Some((owner, &run.owner)));
                    before = Some((owner, &run.owner));
                } else {
                    before = None;
                }
            }
        }
    }
    count
}

/// Divides a range at the ends of the runs of `table`.
fn parts(
    table: &keys::Table,
    service: &model::ServiceName,
    range: dialect::Range,
) -> Vec<dialect::Range> {
    let runs = table.services.get(service).map_or(&[][..], Vec::as_slice);
    let parts = runs.iter().map(|run| dialect::Range {
        first: run.range.first.max(range.first),
        last: run.range.last.min(range.last),
    });
    parts.filter(|part| part.first <= part.last).collect()
}

impl Shared {
    /// Takes note of the failure domains that are taken out as of `offset`.
    pub(crate) fn on_domains(&self, offset: model::Offset) {
        let taken_out = self.taken_out.borrow();
        self.history
            .set_domains(clock::now(), offset, taken_out.keys());
    }
}
