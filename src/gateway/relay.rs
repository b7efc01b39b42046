//! Reads of the log that one daemon makes for all of its failure domain.
//!
//! Calls to the log have a price and a common limit. One daemon of a failure
//! domain reads all topics and passes records on by datagram. With each read of the
//! targets it tells the offsets up to which it has read, so that the others notice
//! what they missed, and that it still reads. Whoever hears nothing for a while
//! makes its own calls, and passes on what they show. Of several readers, the
//! steward goes on, or else the first by name whose calls are answered. Whoever
//! missed records asks the reader for them, and the log if the reader has them not.

mod exchange;
pub mod memory;

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

pub(crate) use self::exchange::{accept, fetch};
use self::memory::Memory;
use crate::clock;
use crate::gateway::dialect::{self, Topic};
use crate::gateway::feed;
use crate::gateway::peers;
use crate::gateway::shared::Shared;
use crate::model;

/// Time without a sign of the reader after which a daemon makes its own calls, in
/// percent of the time within which a leaving target must be left alone.
const SILENCE: u64 = 62;

/// Largest datagram that is sent, in bytes.
const DATAGRAM: usize = 8_000;

/// Time by which daemons that hear no reader make their first call one after the
/// other, in milliseconds: the first answer spares the others their calls.
const STAGGER: u64 = 50;

/// Most daemons that make their first call one after the other.
const STAGGERED: u32 = 6;

/// Time since the last answer for which the log counts as answering, in percent of
/// the time between reads.
const ANSWERING: u64 = 110;

/// Time for records under way before a daemon reads what it seems to have missed.
const UNDER_WAY: Duration = Duration::from_millis(30);

/// Pauses after which the sign of the reader is repeated.
const REPEATS: [Duration; 2] = [Duration::from_millis(150), Duration::from_millis(450)];

/// Records that the reader passes on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Relayed {
    topic: u8,
    from: model::Offset,
    next: model::Offset,
    end: model::Offset,
    records: Vec<(model::Offset, Arc<str>, Option<serde_bytes::ByteBuf>)>,
}

/// What a relayed batch is to a daemon that has read up to some offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// It follows what is known, and may repeat some of it.
    Next,
    /// Records before it were missed.
    Gap,
    /// All of it is known.
    Known,
}

impl Relayed {
    /// Returns the records of `topic` from offset `from` up to, but without,
    /// `next`; the log ended at `end`.
    pub fn new(
        topic: Topic,
        from: model::Offset,
        next: model::Offset,
        end: model::Offset,
        records: Vec<dialect::Record>,
    ) -> Self {
        let records = records.into_iter().map(|record| {
            let value = record
                .value
                .map(|value| serde_bytes::ByteBuf::from(value.to_vec()));
            (record.offset, record.key, value)
        });
        Self {
            topic: index(topic) as u8,
            from,
            next,
            end,
            records: records.collect(),
        }
    }

    /// Returns what the batch is to a daemon that goes on at offset `from`.
    pub fn step(&self, from: model::Offset) -> Step {
        if self.from > from {
            Step::Gap
        } else if self.next <= from {
            Step::Known
        } else {
            Step::Next
        }
    }

    /// Returns the records as if this daemon had read them.
    pub fn into_batch(self) -> dialect::Batch {
        let records = self
            .records
            .into_iter()
            .map(|(offset, key, value)| dialect::Record {
                offset,
                key,
                value: value.map(|value| Bytes::from(value.into_vec())),
            });
        dialect::Batch {
            records: records.collect(),
            next: self.next,
            end: self.end,
        }
    }
}

/// What the reader says with each read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// Offsets up to which it has read: targets, operators' records, key table, hosts.
    pub next: [Option<model::Offset>; 4],
    /// Time for which the log has answered all its calls, in milliseconds.
    pub answering: u64,
}

/// What a daemon knows of the reader and of its own reads.
#[derive(Debug, Default)]
pub struct Relay {
    inboxes: HashMap<Topic, mpsc::UnboundedSender<Option<Relayed>>>,
    next: [Option<model::Offset>; 4],
    heard: Option<(clock::Millis, Progress)>,
    /// Daemon whose sign was taken last.
    reader: Option<model::HostName>,
    /// Time of the last own read that was answered.
    read: Option<clock::Millis>,
    memories: [Memory; 4],
    answers: [Option<exchange::Answer>; 4],
}

fn index(topic: Topic) -> usize {
    match topic {
        Topic::Targets => 0,
        Topic::Operator => 1,
        Topic::Table => 2,
        Topic::Hosts => 3,
    }
}

const TOPICS: [Topic; 4] = [Topic::Targets, Topic::Operator, Topic::Table, Topic::Hosts];

/// Receives relayed batches of a topic; `None` says that the reader has read on.
pub(crate) type Inbox = mpsc::UnboundedReceiver<Option<Relayed>>;

impl Relay {
    /// Opens the inbox of a topic.
    pub(crate) fn open(&mut self, topic: Topic) -> Inbox {
        let (sender, inbox) = mpsc::unbounded_channel();
        self.inboxes.insert(topic, sender);
        inbox
    }

    /// Takes note of an own read up to `next`.
    pub(crate) fn on_read(&mut self, topic: Topic, next: model::Offset) {
        self.next[index(topic)] = Some(next);
        self.read = Some(clock::now());
    }

    /// Returns when the log last answered a read, as far as this daemon knows.
    fn last_answer(&self) -> Option<clock::Millis> {
        let heard = self.heard.as_ref().map(|(heard, _)| *heard);
        self.read.max(heard)
    }

    /// Returns whether an own read was answered less than `silence` milliseconds ago.
    fn is_reading(&self, now: clock::Millis, silence: u64) -> bool {
        self.read.is_some_and(|read| now.since(read) < silence)
    }

    /// Keeps the newest records of all keys as of offset `next`.
    pub(crate) fn remember_all(
        &mut self,
        topic: Topic,
        records: &[dialect::Record],
        next: model::Offset,
    ) {
        self.memories[index(topic)].replace(records, next);
    }

    /// Keeps the records from `from` up to `next`.
    pub(crate) fn remember(
        &mut self,
        topic: Topic,
        from: model::Offset,
        next: model::Offset,
        records: &[dialect::Record],
    ) {
        self.memories[index(topic)].extend(from, next, records);
    }

    /// Takes note of the daemon that reads.
    pub(crate) fn on_reader(&mut self, host: model::HostName) {
        self.reader = Some(host);
    }

    /// Takes records that the reader passed on.
    pub(crate) fn on_relayed(&mut self, relayed: Relayed) {
        let topic = TOPICS.get(usize::from(relayed.topic));
        if let Some(inbox) = topic.and_then(|topic| self.inboxes.get(topic)) {
            // A closed inbox means that the process ends.
            let _ = inbox.send(Some(relayed));
        }
    }

    /// Takes a sign of the reader.
    ///
    /// Signs may arrive out of order, or from a second reader that lags.
    pub fn on_progress(&mut self, mut progress: Progress, now: clock::Millis) {
        if let Some((_, known)) = &self.heard {
            for (next, known) in progress.next.iter_mut().zip(known.next) {
                *next = (*next).max(known);
            }
        }
        self.heard = Some((now, progress));
        for inbox in self.inboxes.values() {
            let _ = inbox.send(None);
        }
    }

    /// Returns the offset up to which the reader has read a topic.
    pub fn known(&self, topic: Topic) -> Option<model::Offset> {
        self.heard.as_ref()?.1.next[index(topic)]
    }

    /// Returns whether the reader was heard less than `silence` milliseconds ago.
    pub fn is_heard(&self, now: clock::Millis, silence: u64) -> bool {
        let heard = self.heard.as_ref().map(|(heard, _)| *heard);
        heard.is_some_and(|heard| now.since(heard) < silence)
    }

    /// Returns since when the log has answered the reader.
    pub fn answering(&self) -> Option<clock::Millis> {
        self.heard
            .as_ref()
            .map(|(heard, progress)| *heard - progress.answering)
    }
}

impl Shared {
    /// Returns the time without a sign of the reader after which this daemon makes
    /// its own calls, in milliseconds.
    fn silence(&self) -> u64 {
        let settings = &self.settings;
        let local = |domain: &model::DomainName| *domain == settings.domain;
        let peers = self.peers.borrow();
        let rank = peers.rank(&settings.host, &settings.domain, clock::now(), local);
        let wait = STAGGER * u64::from(rank.min(STAGGERED));
        settings.bounds.drain.0 * SILENCE / 100 + wait
    }

    /// Returns whether another daemon reads the log for this one. The steward reads
    /// it itself, since it judges targets by the time of its own reads.
    pub(crate) fn is_relayed(&self) -> bool {
        let heard = || {
            let silence = self.silence();
            self.relay.borrow().is_heard(clock::now(), silence)
        };
        !self.is_steward() && heard()
    }

    fn is_steward(&self) -> bool {
        let table = self.table.borrow();
        let steward = table.as_ref().map(|(_, table)| table.incarnation);
        steward == Some(self.incarnation)
    }

    /// Returns whether this daemon leaves reading to `host`, which reads as well.
    pub(crate) fn yields_to(&self, host: &model::HostName) -> bool {
        if self.is_steward() {
            return false;
        }
        let table = self.table.borrow();
        let leads = table.as_ref().is_some_and(|(_, table)| table.host == *host);
        let reads = || self.relay.borrow().is_reading(clock::now(), self.silence());
        leads || *host < self.settings.host || !reads()
    }

    /// Returns the number of daemons of the failure domain that were heard of late,
    /// this one included.
    pub(crate) fn neighbours(&self) -> u64 {
        let peers = self.peers.borrow();
        1 + peers.near(&self.settings.domain, clock::now())
    }

    /// Returns whether the log has answered this daemon, or the reader of its failure
    /// domain, within the time between two reads.
    pub(crate) fn is_log_answering(&self, now: clock::Millis) -> bool {
        let limit = feed::pace(&self.settings) * ANSWERING / 100;
        let last = self.relay.borrow().last_answer();
        last.is_some_and(|last| now.since(last) < limit)
    }

    /// Returns for how long the log has answered, in milliseconds.
    pub(crate) fn answering_for(&self, now: clock::Millis) -> u64 {
        let since = match self.is_relayed() {
            true => self.relay.borrow().answering(),
            false => self.answering.get(),
        };
        since.map_or(0, |since| now.since(since))
    }
}

/// What came from the reader.
pub(crate) enum Received {
    /// Records that follow those that are known.
    Batch(dialect::Batch),
    /// The reader has read on, and its records were missed.
    Behind,
    /// Nothing new.
    Nothing,
}

/// Waits for records from the reader, or until it has been silent for too long.
pub(crate) async fn receive(
    shared: &Shared,
    plan: &feed::Plan,
    inbox: &mut Inbox,
    from: model::Offset,
) -> Received {
    let limit = Duration::from_millis(shared.silence());
    let Ok(Some(message)) = tokio::time::timeout(limit, inbox.recv()).await else {
        return Received::Nothing;
    };
    take(shared, plan, inbox, from, message).await
}

/// Takes a message of the reader.
async fn take(
    shared: &Shared,
    plan: &feed::Plan,
    inbox: &mut Inbox,
    from: model::Offset,
    message: Option<Relayed>,
) -> Received {
    if let Some(relayed) = message {
        return match relayed.step(from) {
            Step::Gap => Received::Behind,
            Step::Known => Received::Nothing,
            Step::Next => Received::Batch(relayed.into_batch()),
        };
    }
    let known = shared.relay.borrow().known(plan.topic);
    if known.is_none_or(|known| known <= from) {
        return Received::Nothing;
    }
    // The progress may have overtaken the records.
    match tokio::time::timeout(UNDER_WAY, inbox.recv()).await {
        Ok(Some(Some(relayed))) if relayed.step(from) == Step::Next => {
            Received::Batch(relayed.into_batch())
        }
        _ => Received::Behind,
    }
}

/// Waits until the reader is known to have read past `from`.
pub(crate) async fn newer(
    shared: &Shared,
    plan: &feed::Plan,
    inbox: &mut Inbox,
    from: model::Offset,
) -> Received {
    while let Some(message) = inbox.recv().await {
        match take(shared, plan, inbox, from, message).await {
            Received::Nothing => {}
            received => return received,
        }
    }
    std::future::pending().await
}

/// Passes records of an own read on, unless another daemon does.
pub(crate) fn pass_on(
    shared: &Rc<Shared>,
    topic: Topic,
    from: model::Offset,
    next: model::Offset,
    end: model::Offset,
    records: Vec<dialect::Record>,
) {
    if next == from || shared.stopping.get() || shared.is_relayed() {
        return;
    }
    // Entries that only say that a target lives are left out, and hosts may come late.
    let urgent = topic != Topic::Hosts && !records.is_empty();
    match messages(topic, from, next, end, records) {
        Some(messages) => messages
            .iter()
            .for_each(|message| peers::tell_domain(shared, message)),
        // A record is too long for a datagram: the others ask for it.
        None => send_progress(shared),
    }
    if urgent {
        repeat_progress(shared);
    }
}

/// Returns datagrams that carry the records, or `None` if one of them does not fit.
fn messages(
    topic: Topic,
    from: model::Offset,
    next: model::Offset,
    end: model::Offset,
    mut records: Vec<dialect::Record>,
) -> Option<Vec<Vec<u8>>> {
    let relayed = Relayed::new(topic, from, next, end, records.clone());
    let message = peers::encode(&peers::Message::Relayed(relayed));
    if message.len() <= DATAGRAM {
        return Some(vec![message]);
    }
    if records.len() < 2 {
        return None;
    }
    let rest = records.split_off(records.len() / 2);
    let middle = rest[0].offset;
    let mut first = messages(topic, from, middle, end, records)?;
    first.extend(messages(topic, middle, next, end, rest)?);
    Some(first)
}

/// Tells the failure domain how far this daemon has read, after an own read and
/// unless another daemon reads.
pub(crate) fn announce(shared: &Rc<Shared>) {
    if !shared.stopping.get() && !shared.is_relayed() {
        send_progress(shared);
    }
}

/// Does the same for a read from `source`.
pub(crate) fn progress(shared: &Rc<Shared>, source: feed::Source) {
    if matches!(source, feed::Source::Own(_)) {
        announce(shared);
    }
}

/// Repeats the sign of the reader after records that must not come late: a lost
/// datagram would show only with the next read of the targets.
fn repeat_progress(shared: &Rc<Shared>) {
    for pause in REPEATS {
        let shared = Rc::clone(shared);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(pause).await;
            announce(&shared);
        });
    }
}

fn send_progress(shared: &Rc<Shared>) {
    let progress = Progress {
        next: shared.relay.borrow().next,
        answering: shared.answering_for(clock::now()),
    };
    let host = shared.settings.host.clone();
    peers::tell_domain(
        shared,
        &peers::encode(&peers::Message::Progress(host, progress)),
    );
}
