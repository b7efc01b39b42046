//! Readers of the log: targets, operators' records, hosts and the key table.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use crate::clock;
use crate::finding;
use crate::gateway::catalog;
use crate::gateway::client;
use crate::gateway::counters;
use crate::gateway::dialect::{self, Topic};
use crate::gateway::keys;
use crate::gateway::peers;
use crate::gateway::shared::Shared;
use crate::model;

/// Time between reads of the targets' topic, in milliseconds. It holds new
/// records all the time, so that waiting for one would not save a call.
const PACE: u64 = 900;

/// Time for which a read waits for a record, in milliseconds.
const WAIT: u64 = 10_000;

/// The same for operators' records, which bounds how long a call that is never
/// answered can hide a configuration.
const OPERATOR_WAIT: u64 = 4_000;

/// Part of the usual number of records that shows that the log served others
/// while it did not answer here.
const SERVED: f64 = 0.5;

/// Weight of a new observation of the rate of records.
const RATE_WEIGHT: f64 = 0.2;

/// Time for an answer of the log beside the time that a read waits, in milliseconds.
const ANSWER: u64 = 1_000;

/// Time for a connection to the log.
const CONNECT: Duration = Duration::from_millis(500);

/// Pause after a call that failed, in milliseconds.
const PAUSE: u64 = 300;

/// Pause between reads of the hosts' topic, in milliseconds: hosts start together.
const HOSTS_PAUSE: u64 = 1_000;

/// Why a call to the log gave nothing.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Failure {
    /// No answer, or none in time.
    #[error("the log does not answer")]
    Silent,
    /// An answer without records.
    #[error(transparent)]
    Answer(#[from] dialect::ReadError),
}

/// Sends a call to the log.
pub(crate) async fn call(
    shared: &Shared,
    request: http::Request<bytes::Bytes>,
    limit: u64,
) -> Result<http::Response<bytes::Bytes>, Failure> {
    counters::count(&shared.counters.log_calls);
    let peer = client::Peer {
        address: shared.settings.log,
        birth: 0,
    };
    let answer = shared
        .client
        .call(peer, with_host(shared, request), CONNECT);
    let answer = tokio::time::timeout(Duration::from_millis(limit), answer).await;
    match answer {
        Ok(Ok(answer)) => Ok(answer),
        _ => {
            counters::count(&shared.counters.log_failures);
            Err(Failure::Silent)
        }
    }
}

fn with_host(
    shared: &Shared,
    mut request: http::Request<bytes::Bytes>,
) -> http::Request<bytes::Bytes> {
    if let Ok(host) = shared.settings.log.to_string().parse() {
        request.headers_mut().insert(http::header::HOST, host);
    }
    request
}

/// Reads records from an offset on.
pub(crate) async fn read(
    shared: &Shared,
    topic: Topic,
    from: model::Offset,
    wait: u64,
) -> Result<dialect::Batch, Failure> {
    let request = shared.dialect.read(topic, from, wait);
    let answer = call(shared, request, wait + ANSWER).await?;
    Ok(shared.dialect.batch(from, &answer)?)
}

/// Reads records from an offset on, and waits for one unless the log returns
/// from an outage meanwhile: a call that began before may never be answered.
async fn wait_for(
    shared: &Shared,
    topic: Topic,
    from: model::Offset,
    wait: u64,
) -> Result<dialect::Batch, Failure> {
    tokio::select! {
        batch = read(shared, topic, from, wait) => batch,
        _ = shared.returned.notified(), if wait > 0 => read(shared, topic, from, 0).await,
    }
}

/// Reads the newest record of every key, and the offset from which to go on.
async fn newest(
    shared: &Shared,
    topic: Topic,
) -> Result<(Vec<dialect::Record>, model::Offset), Failure> {
    let mut records = Vec::new();
    let mut end = None;
    let mut after: Option<std::sync::Arc<str>> = None;
    loop {
        let request = shared.dialect.newest(topic, after.as_deref());
        let answer = call(shared, request, ANSWER).await?;
        let page = shared.dialect.page(&answer)?;
        records.extend(page.records);
        // Pages are read one after the other, so that what was written since
        // the first one is read again.
        let end = *end.get_or_insert(page.end);
        match page.after {
            Some(key) => after = Some(key),
            None => return Ok((records, end)),
        }
    }
}

/// Takes what a topic says.
trait Reader {
    /// Takes the newest records of all keys; whatever is missing does not exist.
    fn replace(&mut self, records: Vec<dialect::Record>, end: model::Offset);
    /// Takes records that follow.
    fn apply(&mut self, batch: dialect::Batch);
    /// Takes note of a call to which the log gave no answer.
    fn failed(&mut self) {}
}

/// Follows a topic for the life of the process.
async fn follow(shared: Rc<Shared>, topic: Topic, wait: u64, pace: u64, mut reader: impl Reader) {
    let mut from: Option<model::Offset> = None;
    loop {
        let done = match from {
            None => newest(&shared, topic).await.map(|(records, end)| {
                reader.replace(records, end);
                end
            }),
            Some(offset) => wait_for(&shared, topic, offset, wait).await.map(|batch| {
                let next = batch.next;
                reader.apply(batch);
                next
            }),
        };
        let pause = match done {
            Ok(next) => {
                from = Some(next);
                pace
            }
            Err(Failure::Answer(dialect::ReadError::Trimmed(first))) => {
                log::info!(
                    "records of {topic:?} before offset {first} are gone; reading the newest"
                );
                from = None;
                0
            }
            Err(error) => {
                log::debug!("reading {topic:?}: {error}");
                reader.failed();
                PAUSE
            }
        };
        if pause > 0 {
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }
}

/// Starts all readers.
pub(crate) fn start(shared: &Rc<Shared>) {
    let operator = Operator {
        shared: Rc::clone(shared),
    };
    let targets = Targets {
        shared: Rc::clone(shared),
        read: clock::now(),
        rate: 0.0,
        out: false,
    };
    let hosts = Hosts {
        shared: Rc::clone(shared),
    };
    tokio::task::spawn_local(follow(
        Rc::clone(shared),
        Topic::Operator,
        OPERATOR_WAIT,
        0,
        operator,
    ));
    tokio::task::spawn_local(follow(Rc::clone(shared), Topic::Targets, 0, PACE, targets));
    let hosts = follow(Rc::clone(shared), Topic::Hosts, WAIT, HOSTS_PAUSE, hosts);
    tokio::task::spawn_local(hosts);
    tokio::task::spawn_local(announce(Rc::clone(shared)));
}

fn report(findings: &finding::Findings) {
    for finding in &findings.0 {
        log::warn!("skipped: {finding}");
    }
}

struct Operator {
    shared: Rc<Shared>,
}

impl Operator {
    fn take(&self, record: &dialect::Record) {
        let dialect = &self.shared.dialect;
        match (dialect.subject(&record.key), &record.value) {
            (dialect::Subject::Configuration, Some(value)) => self.configure(record.offset, value),
            (dialect::Subject::TakenOut(domain), Some(_)) => {
                let mut taken_out = self.shared.taken_out.borrow_mut();
                if taken_out.insert(domain.clone(), clock::now()).is_none() {
                    log::info!("failure domain {domain} is taken out");
                }
            }
            (dialect::Subject::TakenOut(domain), None) => {
                if self.shared.taken_out.borrow_mut().remove(&domain).is_some() {
                    log::info!("failure domain {domain} is back");
                }
            }
            _ => {}
        }
    }

    fn configure(&self, offset: model::Offset, value: &[u8]) {
        let revision = match self.shared.dialect.revision(value) {
            Ok(revision) => revision,
            Err(findings) => return report(&findings),
        };
        let known = self
            .shared
            .catalog
            .borrow()
            .as_ref()
            .map(|known| known.version());
        if known.is_some_and(|known| known >= revision.version) {
            return;
        }
        log::info!(
            "configuration {} of offset {offset} is in effect",
            revision.version
        );
        let catalog = Rc::new(catalog::Catalog::new(revision));
        self.shared.splits.borrow_mut().retain(&catalog);
        *self.shared.catalog.borrow_mut() = Some(catalog);
        self.shared.stir.notify_one();
    }
}

impl Reader for Operator {
    fn replace(&mut self, records: Vec<dialect::Record>, _end: model::Offset) {
        let kept: Vec<_> = records
            .iter()
            .filter(|record| record.value.is_some())
            .map(|record| self.shared.dialect.subject(&record.key))
            .collect();
        self.shared
            .taken_out
            .borrow_mut()
            .retain(|domain, _| kept.contains(&dialect::Subject::TakenOut(domain.clone())));
        for record in &records {
            self.take(record);
        }
        self.shared.stir.notify_one();
    }

    fn apply(&mut self, batch: dialect::Batch) {
        for record in &batch.records {
            self.take(record);
        }
        if !batch.records.is_empty() {
            self.shared.stir.notify_one();
        }
    }
}

struct Targets {
    shared: Rc<Shared>,
    /// Time of the last read that was answered.
    read: clock::Millis,
    /// Records a millisecond while the log answers.
    rate: f64,
    /// Whether the last call was not answered.
    out: bool,
}

impl Targets {
    fn entry(&self, record: &dialect::Record) -> Option<dialect::Entry> {
        let value = record.value.as_ref()?;
        match self.shared.dialect.entry(&record.key, value) {
            Ok(entry) => Some(entry),
            Err(findings) => {
                report(&findings);
                None
            }
        }
    }

    /// Takes note of an answer with this number of records.
    fn on_answer(&mut self, records: Option<usize>) {
        let now = clock::now();
        let time = now.since(self.read).max(1) as f64;
        let found = records.map(|records| records as f64 / time);
        let mut registry = self.shared.registry.borrow_mut();
        if self.out {
            log::info!("the log answers again after {time} ms");
            registry.set_outage(now, false);
            if found.is_some_and(|found| found >= SERVED * self.rate) {
                registry.set_steady();
            }
            self.shared.returned.notify_waiters();
        } else if let Some(found) = found {
            self.rate += RATE_WEIGHT * (found - self.rate);
        }
        self.read = now;
        self.out = false;
    }

    fn on_change(&self, before: u64) {
        let mut registry = self.shared.registry.borrow_mut();
        registry.sweep(clock::now());
        if registry.generation() != before {
            self.shared.stir.notify_one();
        }
        drop(registry);
        self.shared.listed.set(true);
    }
}

impl Reader for Targets {
    fn replace(&mut self, records: Vec<dialect::Record>, _end: model::Offset) {
        let before = self.shared.registry.borrow().generation();
        let entries: Vec<_> = records
            .iter()
            .filter_map(|record| self.entry(record))
            .collect();
        let written = self.shared.registry.borrow().written(&entries);
        self.on_answer(written);
        self.shared
            .registry
            .borrow_mut()
            .replace(clock::now(), entries);
        self.on_change(before);
    }

    fn apply(&mut self, batch: dialect::Batch) {
        self.on_answer(Some(batch.records.len()));
        let before = self.shared.registry.borrow().generation();
        let now = clock::now();
        // Only the last record of a key counts; the earlier ones are not parsed.
        let mut last: HashMap<&str, usize> = HashMap::new();
        for (index, record) in batch.records.iter().enumerate() {
            last.insert(&record.key, index);
        }
        let mut indices: Vec<usize> = last.into_values().collect();
        indices.sort_unstable();
        for record in indices.into_iter().map(|index| &batch.records[index]) {
            match (&record.value, self.entry(record)) {
                (None, _) => self.shared.registry.borrow_mut().remove(now, &record.key),
                (_, Some(entry)) => self.shared.registry.borrow_mut().apply(now, entry),
                (_, None) => {}
            }
        }
        self.on_change(before);
    }

    fn failed(&mut self) {
        self.out = true;
        self.shared
            .registry
            .borrow_mut()
            .set_outage(clock::now(), true);
    }
}

struct Hosts {
    shared: Rc<Shared>,
}

impl Hosts {
    fn take(&self, record: &dialect::Record) {
        let Some(value) = &record.value else {
            return;
        };
        match peers::Notice::decode(value) {
            Ok(notice) => self.shared.peers.borrow_mut().list(notice, clock::now()),
            Err(findings) => report(&findings),
        }
    }
}

impl Reader for Hosts {
    fn replace(&mut self, records: Vec<dialect::Record>, _end: model::Offset) {
        for record in &records {
            self.take(record);
        }
    }

    fn apply(&mut self, batch: dialect::Batch) {
        for record in &batch.records {
            self.take(record);
        }
    }
}

/// Appends this host's record, until the log has it.
async fn announce(shared: Rc<Shared>) {
    let notice = peers::Notice::of(&shared);
    let value = notice.encode();
    loop {
        let key = shared.settings.host.as_str();
        let request = shared.dialect.append(Topic::Hosts, key, &value, None);
        if let Ok(answer) = call(&shared, request, ANSWER).await
            && let dialect::Appended::Written(_) = shared.dialect.appended(&answer)
        {
            return;
        }
        tokio::time::sleep(Duration::from_millis(PAUSE)).await;
    }
}

/// What the newest record of the key table's topic showed.
pub(crate) enum TableRead {
    /// The topic has no record.
    Empty(model::Offset),
    /// The newest record, unless it can't be read.
    Record(model::Offset, model::Offset, Option<keys::Table>),
    /// Nothing follows what is known.
    Nothing(model::Offset),
}

fn table_of(record: &dialect::Record) -> Option<keys::Table> {
    let table = keys::Table::decode(record.value.as_ref()?);
    table.inspect_err(report).ok()
}

/// Reads the key table's topic from the known offset on, or its newest record.
pub(crate) async fn read_table(
    shared: &Shared,
    from: Option<model::Offset>,
    wait: u64,
) -> Result<TableRead, Failure> {
    let Some(from) = from else {
        return newest_table(shared).await;
    };
    let batch = match read(shared, Topic::Table, from, wait).await {
        Err(Failure::Answer(dialect::ReadError::Trimmed(_))) => return newest_table(shared).await,
        batch => batch?,
    };
    Ok(match batch.records.last() {
        Some(record) => TableRead::Record(record.offset, batch.end, table_of(record)),
        None => TableRead::Nothing(batch.end),
    })
}

async fn newest_table(shared: &Shared) -> Result<TableRead, Failure> {
    let (records, end) = newest(shared, Topic::Table).await?;
    Ok(match records.last() {
        Some(record) => TableRead::Record(record.offset, end, table_of(record)),
        None => TableRead::Empty(end),
    })
}
