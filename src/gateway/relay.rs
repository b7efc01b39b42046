//! Reads of the log that one daemon, the reader, makes for its whole failure domain.
//!
//! Calls to the log have a price and a common limit. The reader reads all topics and
//! passes records on by datagram. After each of its reads of the targets it sends a
//! progress message with the offsets up to which it has read, by which the others
//! detect missed records, and announces the ages of its views. A daemon to which no
//! recent read is announced makes its own calls and passes their records on. Of several
//! readers, the coordinator continues, or else the first by name whose reads are recent.
//! A daemon that missed records asks the reader for them, and reads the log if the
//! reader does not have them.

pub mod cache;
mod exchange;

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use self::cache::TopicCache;
pub(crate) use self::exchange::{accept, fetch, fetch_all};
use crate::clock;
use crate::gateway::adapter::{self, Topic};
use crate::gateway::feed;
use crate::gateway::peers;
use crate::gateway::shared::Shared;
use crate::gateway::view;
use crate::model;

/// Time without a completed read of the reader after which a daemon makes its own calls,
/// in percent of the time within which a draining target must stop getting new work.
const SILENCE_PERCENT: u64 = 35;

/// Age of the reader's view of the targets from which on a daemon makes its own calls, in
/// percent of the same time. The rest is for an own read and for requests on their way.
const MAX_VIEW_PERCENT: u64 = 60;

/// Largest datagram that is sent.
const MAX_DATAGRAM_BYTES: usize = 8_000;

/// Time since the reader's last answered read of operators' records from which on a daemon
/// reads them itself, in percent of the time within which a configuration must be in
/// effect.
const OPERATOR_SILENCE_PERCENT: u64 = 70;

/// Time between the first calls of daemons whose reader has timed out: the answer to
/// the first one makes the calls of the others unnecessary.
const STAGGER_MS: u64 = 50;

/// Highest rank by which the first call is delayed further.
const MAX_STAGGER_RANK: u32 = 12;

/// Time since the last answer for which the log counts as answering, in percent of the
/// time within which a draining target must stop getting new work.
const ANSWERING_PERCENT: u64 = 44;

/// Time to wait, after a progress message, for records that it may have overtaken.
const REORDER_TIMEOUT: Duration = Duration::from_millis(30);

/// Delays after which a progress message is repeated.
const REPEAT_DELAYS: [Duration; 2] = [Duration::from_millis(150), Duration::from_millis(450)];

/// Batch of records that the reader passes on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Relayed {
    topic: u8,
    from: model::Offset,
    next: model::Offset,
    end: model::Offset,
    records: Vec<(model::Offset, Arc<str>, Option<serde_bytes::ByteBuf>)>,
}

/// How a relayed batch connects to the records that a daemon has read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Continuity {
    /// It continues the known records, and may repeat some of them.
    Next,
    /// Records between the known ones and the batch are missing.
    Gap,
    /// All of its records are known.
    Known,
}

impl Relayed {
    /// Returns a batch of the records of `topic` from offset `from` up to, but not
    /// including, `next`; the topic ended at `end`.
    pub fn new(
        topic: Topic,
        from: model::Offset,
        next: model::Offset,
        end: model::Offset,
        records: Vec<adapter::Record>,
    ) -> Self {
        let records = records.into_iter().map(|record| {
            let value = record
                .value
                .map(|value| serde_bytes::ByteBuf::from(value.to_vec()));
            (record.offset, record.key, value)
        });
        Self {
            topic: topic.index() as u8,
            from,
            next,
            end,
            records: records.collect(),
        }
    }

    /// Returns how the batch connects to the records of a daemon that reads on from
    /// offset `from`.
    pub fn continuity(&self, from: model::Offset) -> Continuity {
        if self.from > from {
            Continuity::Gap
        } else if self.next <= from {
            Continuity::Known
        } else {
            Continuity::Next
        }
    }

    /// Returns whether the positions are valid and in order. A daemon that took over others
    /// would count records as known that it has not read.
    pub fn is_consistent(&self) -> bool {
        let mut offsets = self.records.iter().map(|(offset, ..)| offset);
        let ends = [self.from, self.next, self.end];
        let are_valid = ends.into_iter().all(model::Offset::is_valid);
        are_valid && self.from <= self.next && offsets.all(|offset| offset.is_valid())
    }

    /// Converts the batch to the form in which the log returns records.
    pub fn into_batch(self) -> adapter::Batch {
        let records = self
            .records
            .into_iter()
            .map(|(offset, key, value)| adapter::Record {
                offset,
                key,
                value: value.map(|value| Bytes::from(value.into_vec())),
            });
        adapter::Batch {
            records: records.collect(),
            next: self.next,
            end: self.end,
        }
    }
}

/// Read progress that the reader sends after each read of the targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// Offsets up to which it has read: targets, operators' records, key table, hosts.
    pub next: [Option<model::Offset>; 4],
    /// Time for which the log has answered all of its reads of the targets, in
    /// milliseconds.
    pub answering: u64,
}

/// A completed read of the targets.
#[derive(Clone, Copy, Debug)]
struct CompletedRead {
    /// Time at which it was known here.
    at: clock::Millis,
    /// Time at which it began.
    started: clock::Millis,
}

/// How recent a read of the targets has to be for a daemon to rely on its reader.
#[derive(Clone, Copy, Debug)]
pub struct ReadLimits {
    /// Longest time since a read was completed, in milliseconds.
    pub silence: u64,
    /// Longest time since the last completed read began, in milliseconds.
    pub age: u64,
}

impl ReadLimits {
    /// Returns for how long a read stays recent, in milliseconds; 0 if it is not.
    fn remaining(self, read: Option<CompletedRead>, now: clock::Millis) -> u64 {
        read.map_or(0, |read| {
            let silence = (read.at + self.silence).since(now);
            silence.min((read.started + self.age).since(now))
        })
    }
}

/// State of the relay: progress of the reader and of this daemon's own reads.
#[derive(Debug, Default)]
pub struct Relay {
    /// Channels to the tasks that follow the topics.
    inboxes: HashMap<Topic, mpsc::UnboundedSender<Option<Relayed>>>,
    /// Offsets up to which this daemon's own reads have come, by topic.
    next: [Option<model::Offset>; 4],
    /// Last progress message and the time of its arrival.
    progress: Option<(clock::Millis, Progress)>,
    /// Sender of the last progress message.
    reader: Option<model::HostName>,
    /// Time of the answer to this daemon's last own read.
    last_read: Option<clock::Millis>,
    /// This daemon's last completed read of the targets.
    own_read: Option<CompletedRead>,
    /// Last completed read of the targets that the reader announced.
    announced_read: Option<CompletedRead>,
    /// Time at which the log last answered a read of operators' records by the reader.
    operators_answered: Option<clock::Millis>,
    /// Newest records, by topic.
    caches: [TopicCache; 4],
    /// Last encoded responses to other daemons, by topic.
    responses: [Option<exchange::CachedResponse>; 4],
}

/// Receives relayed batches of a topic; `None` stands for a progress message.
pub(crate) type Inbox = mpsc::UnboundedReceiver<Option<Relayed>>;

impl Relay {
    /// Opens the inbox of a topic and replaces an earlier one.
    pub(crate) fn open(&mut self, topic: Topic) -> Inbox {
        let (sender, inbox) = mpsc::unbounded_channel();
        self.inboxes.insert(topic, sender);
        inbox
    }

    /// Records that this daemon itself has read a topic up to `next`.
    pub(crate) fn on_read(&mut self, topic: Topic, next: model::Offset) {
        self.next[topic.index()] = Some(next);
        self.last_read = Some(clock::now());
    }

    /// Returns the last time at which the log answered a read of this daemon, or a
    /// progress message arrived.
    fn last_answer(&self) -> Option<clock::Millis> {
        let at = self.progress.as_ref().map(|(at, _)| *at);
        self.last_read.max(at)
    }

    /// Records a completed read of the targets by this daemon that began at `started`.
    fn on_own_read(&mut self, started: clock::Millis, now: clock::Millis) {
        self.own_read = Some(CompletedRead { at: now, started });
    }

    /// Records the reader's announcement of a completed read of the targets.
    pub fn on_announcement(&mut self, announcement: &view::Announcement, now: clock::Millis) {
        if let Some((_, age)) = announcement.views[Topic::Targets.index()] {
            let started = now - age;
            self.announced_read = Some(CompletedRead { at: now, started });
        }
        if let Some(age) = announcement.answered[Topic::Operator.index()] {
            self.operators_answered = Some(now - age);
        }
    }

    /// Returns whether this daemon's own reads are recent.
    fn is_reading(&self, now: clock::Millis, limits: ReadLimits) -> bool {
        limits.remaining(self.own_read, now) > 0
    }

    /// Replaces the cache of a topic by the newest records of all keys as of offset
    /// `next`.
    pub(crate) fn replace_cache(
        &mut self,
        topic: Topic,
        records: &[adapter::Record],
        next: model::Offset,
    ) {
        self.caches[topic.index()].replace(records, next);
    }

    /// Adds the records from `from` up to `next` to the cache of a topic.
    pub(crate) fn extend_cache(
        &mut self,
        topic: Topic,
        from: model::Offset,
        next: model::Offset,
        records: &[adapter::Record],
    ) {
        self.caches[topic.index()].extend(from, next, records);
    }

    /// Records which daemon is the reader.
    pub(crate) fn on_reader(&mut self, host: model::HostName) {
        self.reader = Some(host);
    }

    /// Hands records that the reader passed on to the task that follows their topic.
    pub(crate) fn on_relayed(&mut self, relayed: Relayed) {
        if !relayed.is_consistent() {
            log::debug!("skipped relayed records with invalid positions");
            return;
        }
        let topic = Topic::ALL.get(usize::from(relayed.topic));
        if let Some(inbox) = topic.and_then(|topic| self.inboxes.get(topic)) {
            // The inbox is closed only when the process ends.
            let _ = inbox.send(Some(relayed));
        }
    }

    /// Hands compressed records to the task that follows their topic. Records that can't
    /// be decoded are noticed as missing with the next progress message.
    pub(crate) fn on_compressed(&mut self, bytes: &[u8]) {
        match exchange::decode(bytes) {
            Ok(relayed) => self.on_relayed(relayed),
            Err(error) => log::debug!("skipped compressed records: {error}"),
        }
    }

    /// Records a progress message of the reader.
    ///
    /// Progress messages may arrive out of order, or from a second reader that lags, so
    /// that offsets never decrease.
    pub fn on_progress(&mut self, mut progress: Progress, now: clock::Millis) {
        for next in &mut progress.next {
            // An offset that the log can't give out would never be reached.
            *next = next.filter(|next| next.is_valid());
        }
        if let Some((_, known)) = &self.progress {
            for (next, known) in progress.next.iter_mut().zip(known.next) {
                *next = (*next).max(known);
            }
        }
        self.progress = Some((now, progress));
        for inbox in self.inboxes.values() {
            let _ = inbox.send(None);
        }
    }

    /// Returns the offset up to which the reader has read a topic, if it is known.
    pub fn reader_offset(&self, topic: Topic) -> Option<model::Offset> {
        self.progress.as_ref()?.1.next[topic.index()]
    }

    /// Returns for how long this daemon relies on the reader unless it announces another
    /// read, in milliseconds; 0 if the reads that it announced are not recent.
    pub fn reader_remaining(&self, now: clock::Millis, limits: ReadLimits) -> u64 {
        limits.remaining(self.announced_read, now)
    }

    /// Returns the time since which the log has answered the reader, if there is one.
    pub fn answering_since(&self) -> Option<clock::Millis> {
        self.progress
            .as_ref()
            .map(|(at, progress)| *at - progress.answering)
    }
}

impl Shared {
    /// Returns the time by which this daemon's first own call follows that of the first
    /// daemon of its failure domain, in milliseconds.
    pub(crate) fn stagger(&self) -> u64 {
        let settings = &self.settings;
        let near = |domain: &model::DomainName| *domain == settings.domain;
        let peers = self.peers.borrow();
        let rank = peers.rank(&settings.host, &settings.domain, clock::now(), near);
        STAGGER_MS * u64::from(rank.min(MAX_STAGGER_RANK))
    }

    /// Returns the time without an announced read after which a daemon may read itself.
    pub(crate) fn reader_timeout(&self) -> Duration {
        Duration::from_millis(self.settings.bounds.drain.0 * SILENCE_PERCENT / 100)
    }

    /// Returns how recent the reader's reads have to be for this daemon to make no calls
    /// of its own.
    fn read_limits(&self) -> ReadLimits {
        let delay = self.stagger();
        let drain = self.settings.bounds.drain.0;
        ReadLimits {
            silence: drain * SILENCE_PERCENT / 100 + delay,
            age: drain * MAX_VIEW_PERCENT / 100 + delay,
        }
    }

    /// Returns whether another daemon reads the log for this one. The coordinator always
    /// reads it itself, since it judges targets by the time of its own reads.
    pub(crate) fn has_reader(&self) -> bool {
        let has_reader = || {
            let limits = self.read_limits();
            self.relay.borrow().reader_remaining(clock::now(), limits) > 0
        };
        !self.is_coordinator() && has_reader()
    }

    /// Returns whether another daemon reads a topic for this one. The reader's reads of
    /// operators' records may stay unanswered while those of the targets are answered.
    pub(crate) fn has_reader_of(&self, topic: Topic) -> bool {
        if topic != Topic::Operator {
            return self.has_reader();
        }
        let configure = self.settings.bounds.configure.0;
        let limit = configure * OPERATOR_SILENCE_PERCENT / 100 + self.stagger();
        let answered = self.relay.borrow().operators_answered;
        answered.is_some_and(|at| clock::now().since(at) < limit) && self.has_reader()
    }

    fn is_coordinator(&self) -> bool {
        let table = self.table.borrow();
        let coordinator = table.as_ref().map(|(_, table)| table.incarnation);
        coordinator == Some(self.incarnation)
    }

    /// Returns whether this daemon leaves reading to `host`, which reads as well: to the
    /// coordinator, to a host with a lower name, or to any host if its own reads are not
    /// answered.
    pub(crate) fn defers_to(&self, host: &model::HostName) -> bool {
        if self.is_coordinator() {
            return false;
        }
        let table = self.table.borrow();
        let is_coordinator = table.as_ref().is_some_and(|(_, table)| table.host == *host);
        let is_reading = || {
            let limits = self.read_limits();
            self.relay.borrow().is_reading(clock::now(), limits)
        };
        is_coordinator || *host < self.settings.host || !is_reading()
    }

    /// Returns the number of daemons that share the reads of the log while it is out: those of
    /// the failure domain with a recent heartbeat, this one included. The coordinator shares
    /// them with nobody, since no other daemon reads for it.
    pub(crate) fn sharing_daemons(&self) -> u64 {
        if self.is_coordinator() {
            return 1;
        }
        let peers = self.peers.borrow();
        1 + peers.count_recent(&self.settings.domain, clock::now())
    }

    /// Returns whether the log has answered this daemon, or the reader of its failure
    /// domain, within about two intervals between reads of the targets.
    pub(crate) fn is_log_answering(&self, now: clock::Millis) -> bool {
        let limit = self.settings.bounds.drain.0 * ANSWERING_PERCENT / 100;
        let last = self.relay.borrow().last_answer();
        last.is_some_and(|last| now.since(last) < limit)
    }

    /// Returns for how long the log has answered this daemon, or its reader if it has
    /// one, in milliseconds; 0 if it does not answer.
    pub(crate) fn answering_for(&self, now: clock::Millis) -> u64 {
        let since = match self.has_reader() {
            true => self.relay.borrow().answering_since(),
            false => self.answering_since.get(),
        };
        since.map_or(0, |since| now.since(since))
    }
}

/// Message from the reader, compared with the known records.
pub(crate) enum Received {
    /// Records that continue the known ones.
    Batch(adapter::Batch),
    /// The reader has read records that this daemon missed.
    Gap,
    /// No new records.
    Unchanged,
}

/// Waits for one message from the reader, or until the reader times out.
pub(crate) async fn receive(
    shared: &Shared,
    plan: &feed::Plan,
    inbox: &mut Inbox,
    from: model::Offset,
) -> Received {
    let limits = shared.read_limits();
    let limit = shared.relay.borrow().reader_remaining(clock::now(), limits);
    let limit = Duration::from_millis(limit);
    let Ok(Some(message)) = tokio::time::timeout(limit, inbox.recv()).await else {
        return Received::Unchanged;
    };
    on_message(shared, plan, inbox, from, message).await
}

/// Compares a message of the reader with the records known up to `from`.
async fn on_message(
    shared: &Shared,
    plan: &feed::Plan,
    inbox: &mut Inbox,
    from: model::Offset,
    message: Option<Relayed>,
) -> Received {
    if let Some(relayed) = message {
        return match relayed.continuity(from) {
            Continuity::Gap => Received::Gap,
            Continuity::Known => Received::Unchanged,
            Continuity::Next => Received::Batch(relayed.into_batch()),
        };
    }
    let known = shared.relay.borrow().reader_offset(plan.topic);
    if known.is_none_or(|known| known <= from) {
        return Received::Unchanged;
    }
    // The progress message may have overtaken the records.
    match tokio::time::timeout(REORDER_TIMEOUT, inbox.recv()).await {
        Ok(Some(Some(relayed))) if relayed.continuity(from) == Continuity::Next => {
            Received::Batch(relayed.into_batch())
        }
        _ => Received::Gap,
    }
}

/// Waits until the reader has read past `from`.
pub(crate) async fn receive_newer(
    shared: &Shared,
    plan: &feed::Plan,
    inbox: &mut Inbox,
    from: model::Offset,
) -> Received {
    while let Some(message) = inbox.recv().await {
        match on_message(shared, plan, inbox, from, message).await {
            Received::Unchanged => {}
            received => return received,
        }
    }
    std::future::pending().await
}

/// Passes the records of an own read on to the failure domain, unless another daemon
/// does.
pub(crate) fn pass_on(
    shared: &Rc<Shared>,
    topic: Topic,
    from: model::Offset,
    next: model::Offset,
    end: model::Offset,
    records: Vec<adapter::Record>,
) {
    if next == from || shared.stopping.get() || shared.has_reader_of(topic) {
        return;
    }
    // Entries that only renew a target are not among the records, and hosts' records
    // may come late.
    let urgent = topic != Topic::Hosts && !records.is_empty();
    match encode_datagrams(topic, from, next, end, records.clone()) {
        Some(datagrams) => datagrams
            .iter()
            .for_each(|datagram| peers::send_to_domain(shared, datagram)),
        // A record is too long for a datagram. If it is too long even when compressed, the
        // others ask for it when they learn the progress.
        None => {
            let message = encode_compressed(topic, from, next, end, records);
            message.inspect(|message| peers::send_to_domain(shared, message));
            send_progress(shared);
        }
    }
    if urgent {
        repeat_progress(shared);
    }
}

/// Encodes the records in one compressed datagram; returns `None` if they do not fit.
fn encode_compressed(
    topic: Topic,
    from: model::Offset,
    next: model::Offset,
    end: model::Offset,
    records: Vec<adapter::Record>,
) -> Option<Vec<u8>> {
    let relayed = Relayed::new(topic, from, next, end, records);
    let bytes = exchange::encode(&relayed).ok()?;
    let bytes = serde_bytes::ByteBuf::from(bytes.to_vec());
    let message = peers::encode(&peers::Message::Compressed(bytes));
    (message.len() <= MAX_DATAGRAM_BYTES).then_some(message)
}

/// Encodes the records in as few datagrams as halving yields; returns `None` if a record
/// does not fit into one.
fn encode_datagrams(
    topic: Topic,
    from: model::Offset,
    next: model::Offset,
    end: model::Offset,
    mut records: Vec<adapter::Record>,
) -> Option<Vec<Vec<u8>>> {
    let relayed = Relayed::new(topic, from, next, end, records.clone());
    let message = peers::encode(&peers::Message::Relayed(relayed));
    if message.len() <= MAX_DATAGRAM_BYTES {
        return Some(vec![message]);
    }
    if records.len() < 2 {
        return None;
    }
    let rest = records.split_off(records.len() / 2);
    let middle = rest[0].offset;
    let mut datagrams = encode_datagrams(topic, from, middle, end, records)?;
    datagrams.extend(encode_datagrams(topic, middle, next, end, rest)?);
    Some(datagrams)
}

/// Sends the progress of this daemon's reads to its failure domain, unless another
/// daemon reads.
pub(crate) fn announce_progress(shared: &Rc<Shared>) {
    if !shared.stopping.get() && !shared.has_reader() {
        send_progress(shared);
    }
}

/// Announces this daemon's views of the log to its failure domain, unless another daemon
/// reads, after a read of the targets that began at `started`.
pub(crate) fn announce_views(shared: &Shared, started: clock::Millis) {
    let mut relay = shared.relay.borrow_mut();
    relay.on_own_read(started, clock::now());
    drop(relay);
    if shared.stopping.get() || shared.has_reader() {
        return;
    }
    let host = shared.settings.host.clone();
    let announcement = shared.views.borrow().announcement(clock::now());
    let message = peers::Message::Views(host, announcement);
    peers::send_to_domain(shared, &peers::encode(&message));
}

/// Repeats the progress message after records that must not come late: otherwise a lost
/// datagram would be detected only after the next read of the targets.
fn repeat_progress(shared: &Rc<Shared>) {
    for delay in REPEAT_DELAYS {
        let shared = Rc::clone(shared);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(delay).await;
            announce_progress(&shared);
        });
    }
}

/// Sends the progress of this daemon's reads to its failure domain.
fn send_progress(shared: &Rc<Shared>) {
    let progress = Progress {
        next: shared.relay.borrow().next,
        answering: shared.answering_for(clock::now()),
    };
    let host = shared.settings.host.clone();
    peers::send_to_domain(
        shared,
        &peers::encode(&peers::Message::Progress(host, progress)),
    );
}
