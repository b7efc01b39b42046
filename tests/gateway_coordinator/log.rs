//! The log of the model: appends whose condition compares numbers only, and restores from
//! an older copy, which raise the era.

use std::rc::Rc;

use pistachiomoor::clock::Millis;
use pistachiomoor::gateway::adapter;
use pistachiomoor::gateway::keys;
use pistachiomoor::model;
use rand::Rng;

use super::{Event, Fault, Kind, LATE_APPEND_MS, LOG_TIMEOUT_MS, World};

/// Time before a restore in which calls are slow, so that many are in flight when the log
/// goes away.
const SLOW_BEFORE_RESTORE_MS: u64 = 500;

/// A record of the key table.
#[derive(Clone, Debug)]
struct Record {
    /// Era in which its writer knew the log to be, which the record's key shows.
    era: u64,
    table: Rc<[u8]>,
}

/// Answer of the log to a read.
#[derive(Clone, Debug)]
pub(super) enum Answer {
    /// The topic, which ends at this offset, has no record.
    Empty(model::Offset),
    /// Offset of the newest record in the era of its writer, end of the topic, and table.
    Record(model::Offset, model::Offset, Rc<[u8]>),
    /// There are no records from the first offset on; the topic ends at the second one.
    Unchanged(model::Offset, model::Offset),
}

impl Answer {
    pub(super) fn end(&self) -> model::Offset {
        match self {
            Self::Empty(end) | Self::Record(_, end, _) | Self::Unchanged(_, end) => *end,
        }
    }
}

/// The topic of the key table.
pub(super) struct Log {
    era: u64,
    records: Vec<Record>,
    /// Contents after each change, with the times of the changes.
    history: Vec<(u64, Vec<Record>)>,
}

impl Log {
    pub(super) fn new(era: u64) -> Self {
        Self {
            era,
            records: Vec::new(),
            history: Vec::new(),
        }
    }

    pub(super) fn era(&self) -> u64 {
        self.era
    }

    fn offset(&self, number: usize) -> model::Offset {
        model::Offset::new(self.era, number as u64).unwrap()
    }

    fn end(&self) -> model::Offset {
        self.offset(self.records.len())
    }

    fn append(&mut self, now: u64, end: model::Offset, table: Rc<[u8]>) -> adapter::AppendOutcome {
        let at = self.end();
        if at.number() != end.number() {
            return adapter::AppendOutcome::Conflict(at);
        }
        let era = end.era();
        self.records.push(Record { era, table });
        self.history.push((now, self.records.clone()));
        adapter::AppendOutcome::Written(at)
    }

    /// Returns the records from `from` on, as the newest one of them, or the newest record of
    /// all if `from` is `None`. Returns `None` if the log was restored after `from`.
    pub(super) fn read(&self, from: Option<model::Offset>) -> Option<Answer> {
        let first = match from {
            Some(from) if from.era() != self.era => return None,
            Some(from) => from.number() as usize,
            None => 0,
        };
        let records = self.records.iter().enumerate().skip(first);
        let newest = records.max_by_key(|(number, record)| (record.era, *number));
        Some(match (newest, from) {
            (Some((number, record)), _) => {
                let offset = self.offset(number).in_era(record.era);
                Answer::Record(offset, self.end(), record.table.clone())
            }
            (None, Some(from)) => Answer::Unchanged(from, self.end()),
            (None, None) => Answer::Empty(self.end()),
        })
    }

    /// Returns to the contents at the time `copied`, `None` for a log without records.
    fn restore(&mut self, now: u64, copied: Option<u64>) {
        let mut changes = self.history.iter().rev();
        let copy = changes.find(|(at, _)| copied.is_some_and(|copied| *at <= copied));
        self.records = copy.map(|(_, records)| records.clone()).unwrap_or_default();
        self.era += 1;
        self.history.push((now, self.records.clone()));
    }

    pub(super) fn newest_table(&self) -> Option<keys::Table> {
        match self.read(None) {
            Some(Answer::Record(_, _, table)) => keys::Table::decode(&table).ok(),
            _ => None,
        }
    }
}

impl World {
    /// Lets the log return as the copy of `age` milliseconds before it went away.
    pub(super) fn restore_log(&mut self, away: u64, age: Option<u64>) {
        let copied = age.and_then(|age| away.checked_sub(age));
        self.log.restore(self.now, copied);
    }

    fn restores(&self) -> impl Iterator<Item = &Fault> {
        let faults = self.faults.iter();
        faults.filter(|fault| matches!(fault.kind, Kind::LogRestored(_)))
    }

    /// Returns when the log returns if it is away now.
    fn returns_at(&self) -> Option<u64> {
        let on = self.restores().filter(|fault| fault.is_on(self.now));
        on.map(|fault| fault.at + fault.length).max()
    }

    fn is_before_restore(&self) -> bool {
        let now = self.now;
        self.restores()
            .any(|fault| (now..now + SLOW_BEFORE_RESTORE_MS).contains(&fault.at))
    }

    pub(super) fn log_delay(&mut self) -> u64 {
        if self.is_before_restore() && self.rng.random_bool(0.5) {
            self.rng.random_range(1..LOG_TIMEOUT_MS - 100)
        } else if self.has_fault(|kind| matches!(kind, Kind::LogSlow)) {
            self.rng.random_range(100..300)
        } else {
            self.rng.random_range(1..5)
        }
    }

    /// Returns the time after which an answer of the log arrives.
    pub(super) fn answer_delay(&mut self) -> u64 {
        if self.is_before_restore() && self.rng.random_bool(0.5) {
            self.rng.random_range(1..2 * LOG_TIMEOUT_MS)
        } else {
            self.rng.random_range(1..5)
        }
    }

    pub(super) fn is_log_unavailable(&self, i: usize) -> bool {
        self.has_fault(|kind| match kind {
            Kind::LogDown | Kind::LogRestored(_) => true,
            Kind::LogRefuses(k) => k == i,
            _ => self.is_partitioned(i),
        })
    }

    pub(super) fn begin_read(&mut self, i: usize, incarnation: u64) {
        let (now, delay) = (self.now, self.log_delay());
        let from = self.daemons[i].coordinator.read_offset();
        if self.is_log_unavailable(i) {
            self.schedule(now + LOG_TIMEOUT_MS, Event::Unread(i, incarnation));
        } else {
            self.schedule(now + delay, Event::Read(i, incarnation, now, from));
        }
    }

    /// Executes a read. While the log is away, the read is lost or waits for its return.
    pub(super) fn execute_read(
        &mut self,
        i: usize,
        incarnation: u64,
        started: u64,
        from: Option<model::Offset>,
    ) {
        if let Some(returns) = self.returns_at() {
            let at = returns + self.rng.random_range(0..300);
            let limit = (started + LOG_TIMEOUT_MS).max(self.now);
            let event = match at < limit {
                true => Event::Read(i, incarnation, started, from),
                false => Event::Unread(i, incarnation),
            };
            return self.schedule(at.min(limit), event);
        }
        let Some(answer) = self.log.read(from) else {
            // The answer shows that the position is lost; the newest record is read.
            let at = self.now + self.answer_delay();
            return self.schedule(at, Event::Read(i, incarnation, started, None));
        };
        let at = self.now + self.answer_delay();
        self.schedule(at, Event::ReadDone(i, incarnation, started, answer));
    }

    pub(super) fn read_done(&mut self, i: usize, started: u64, answer: Answer) {
        let (now, started) = (Millis(self.now), Millis(started));
        let coordinator = &mut self.daemons[i].coordinator;
        match answer {
            Answer::Empty(end) => coordinator.on_empty_topic(now, started, end),
            Answer::Unchanged(from, end) => coordinator.on_unchanged(now, started, from, end),
            Answer::Record(offset, end, table) => {
                let table = keys::Table::decode(&table).ok();
                coordinator.on_record(now, started, offset, end, table);
            }
        }
        self.poll(i);
    }

    pub(super) fn begin_append(
        &mut self,
        i: usize,
        incarnation: u64,
        table: Vec<u8>,
        end: model::Offset,
    ) {
        let (now, delay, table) = (self.now, self.log_delay(), Rc::from(table));
        if self.has_fault(|kind| matches!(kind, Kind::LogRefuses(k) if k == i)) {
            let refused = Some(adapter::AppendOutcome::Refused(503));
            self.schedule(now + delay, Event::Appended(i, incarnation, refused));
        } else if self.has_fault(|kind| {
            matches!(
                kind,
                Kind::LogDown | Kind::AppendsUnanswered | Kind::LogRestored(_)
            )
        }) || self.is_partitioned(i)
        {
            if !self.is_partitioned(i) && self.rng.random_bool(0.7) {
                let effect = now + self.rng.random_range(2..LATE_APPEND_MS);
                self.schedule(effect, Event::Append(i, incarnation, table, end, None));
            }
            self.schedule(now + LOG_TIMEOUT_MS, Event::Appended(i, incarnation, None));
        } else {
            let limit = Some(now + LOG_TIMEOUT_MS);
            self.schedule(
                now + delay,
                Event::Append(i, incarnation, table, end, limit),
            );
        }
    }

    /// Executes an append, and answers it by the time `limit` if there is one. While the log
    /// is away, the append is lost or waits for its return.
    pub(super) fn append(
        &mut self,
        i: usize,
        incarnation: u64,
        table: Rc<[u8]>,
        end: model::Offset,
        limit: Option<u64>,
    ) {
        if let Some(returns) = self.returns_at() {
            if self.rng.random_bool(0.7) {
                let effect = returns + self.rng.random_range(0..LATE_APPEND_MS / 2);
                self.schedule(effect, Event::Append(i, incarnation, table, end, None));
            }
            if let Some(limit) = limit {
                self.schedule(limit.max(self.now), Event::Appended(i, incarnation, None));
            }
            return;
        }
        let answer = self.log.append(self.now, end, table);
        if let Some(limit) = limit {
            let at = self.now + self.answer_delay();
            let answer = (at <= limit).then_some(answer);
            self.schedule(at.min(limit), Event::Appended(i, incarnation, answer));
        }
    }
}
