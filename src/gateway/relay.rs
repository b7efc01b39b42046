//! Reads of the log that one daemon makes for all of its failure domain.
//!
//! Calls to the log have a price and a common limit. The first live daemon of a
//! failure domain, by name, reads all topics and passes records on by datagram.
//! With each read of the targets it tells the offsets up to which it has read, so
//! that the others notice what they missed, and that it still reads. Whoever hears
//! nothing for a while makes its own calls.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

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

/// Time for records under way before a daemon reads what it seems to have missed.
const UNDER_WAY: Duration = Duration::from_millis(30);

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
    fn silence(&self) -> u64 {
        self.settings.bounds.drain.0 * SILENCE / 100
    }

    /// Returns whether another daemon reads the log for this one.
    pub(crate) fn is_relayed(&self) -> bool {
        let now = clock::now();
        let heard = self.relay.borrow().is_heard(now, self.silence());
        heard && !self.is_reader(now)
    }

    /// Returns whether this daemon reads the log for its failure domain: the
    /// steward in its own domain, since it judges targets by the time of its own
    /// reads, and the first live daemon elsewhere.
    fn is_reader(&self, now: clock::Millis) -> bool {
        let settings = &self.settings;
        let peers = self.peers.borrow();
        let table = self.table.borrow();
        if let Some((_, table)) = table.as_ref() {
            if table.incarnation == self.incarnation {
                return true;
            }
            if peers.is_near(&table.host, &settings.domain, now) {
                return false;
            }
        }
        let local = |domain: &model::DomainName| *domain == settings.domain;
        peers.rank(&settings.host, &settings.domain, now, local) == 0
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
) {
    while let Some(message) = inbox.recv().await {
        let next = match message {
            Some(relayed) => Some(relayed.next),
            None => shared.relay.borrow().known(plan.topic),
        };
        if next > Some(from) {
            return;
        }
    }
    std::future::pending().await
}

/// Passes records on if this daemon is the reader.
pub(crate) fn pass_on(
    shared: &Rc<Shared>,
    topic: Topic,
    from: model::Offset,
    next: model::Offset,
    end: model::Offset,
    records: Vec<dialect::Record>,
) {
    if next == from || shared.stopping.get() || !shared.is_reader(clock::now()) {
        return;
    }
    let relayed = Relayed::new(topic, from, next, end, records);
    let message = peers::encode(&peers::Message::Relayed(relayed));
    match message.len() <= DATAGRAM {
        true => peers::tell_domain(shared, &message),
        // Too long for a datagram: the others read it themselves.
        false => send_progress(shared),
    }
}

/// Tells the failure domain how far this daemon has read, if it is the reader.
pub(crate) fn announce(shared: &Rc<Shared>) {
    if !shared.stopping.get() && shared.is_reader(clock::now()) {
        send_progress(shared);
    }
}

/// Tells the failure domain that this daemon reads, after a read of its own.
pub(crate) fn progress(shared: &Rc<Shared>, source: feed::Source) {
    if matches!(source, feed::Source::Own(_)) {
        announce(shared);
    }
}

fn send_progress(shared: &Rc<Shared>) {
    let progress = Progress {
        next: shared.relay.borrow().next,
        answering: shared.answering_for(clock::now()),
    };
    peers::tell_domain(shared, &peers::encode(&peers::Message::Progress(progress)));
}
