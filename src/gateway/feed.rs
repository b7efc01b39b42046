//! Readers of the log: targets, operators' records, hosts and the key table.

mod readers;

use std::rc::Rc;
use std::time::Duration;

use crate::clock;
use crate::finding;
use crate::gateway::client;
use crate::gateway::counters;
use crate::gateway::dialect::{self, Topic};
use crate::gateway::keys;
use crate::gateway::peers;
use crate::gateway::relay;
use crate::gateway::settings;
use crate::gateway::shared::Shared;
use crate::model;

/// Time between reads of the targets' topic, in percent of the time within which
/// a leaving target must be left alone. The topic holds new records all the time,
/// so that waiting for one would not save a call.
const PACE: u64 = 40;

/// Time for which a read waits for a record, in milliseconds.
const WAIT: u64 = 10_000;

/// The same for operators' records. A read that waits may miss a record while the
/// log drops old ones, so that this bounds how late a configuration may come.
const OPERATOR_WAIT: u64 = 1_000;

/// Time for the head of an answer of the log beside the time that a read waits, and
/// for each further part of it, in milliseconds.
const ANSWER: u64 = 1_000;

/// Time for a whole answer of the log beside the time that a read waits, in
/// milliseconds. A configuration of a megabyte that all daemons of a region read at
/// once takes several seconds on a link between regions.
const WHOLE_ANSWER: u64 = 15_000;

/// Time for a connection to the log.
const CONNECT: Duration = Duration::from_millis(500);

/// Pause after a read of the targets that failed, in milliseconds. Refused calls
/// have a price as well, so that the daemons of a failure domain share these calls
/// from the second failure on.
const PAUSE: u64 = 500;

/// Pause after a read of another topic that failed while the log answers, in
/// milliseconds.
const SHORT_PAUSE: u64 = 200;

/// Pause after a read of another topic that failed while the log is out, in
/// milliseconds; it ends when the targets can be read again.
const LONG_PAUSE: u64 = 2_000;

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

/// Sends a call to the log, whose answer has to begin within `limit` milliseconds.
pub(crate) async fn call(
    shared: &Shared,
    topic: Topic,
    request: http::Request<bytes::Bytes>,
    limit: u64,
) -> Result<http::Response<bytes::Bytes>, Failure> {
    counters::count(&shared.counters.log_calls);
    let peer = client::Peer {
        address: shared.settings.log,
        birth: 0,
    };
    let patience = client::Patience {
        head: Duration::from_millis(limit),
        part: Duration::from_millis(ANSWER),
    };
    let request = with_host(shared, request);
    let answer = shared.client.fetch(peer, request, CONNECT, patience);
    let limit = Duration::from_millis(limit + WHOLE_ANSWER);
    let answer = tokio::time::timeout(limit, answer).await;
    match answer {
        Ok(Ok(answer)) => Ok(answer),
        _ => {
            counters::count(&shared.counters.log_failures);
            shared
                .counters
                .on_call(topic, counters::CallOutcome::Silent);
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
    let answer = call(shared, topic, request, wait + ANSWER).await?;
    let batch = shared.dialect.batch(from, &answer);
    shared.counters.on_call(topic, &batch);
    Ok(batch?)
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
        let answer = call(shared, topic, request, ANSWER).await?;
        let page = shared.dialect.page(&answer);
        shared.counters.on_call(topic, &page);
        let page = page?;
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

/// How records came to this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// By a call of its own that began at this time.
    Own(clock::Millis),
    /// From another daemon, which read them.
    Relayed,
}

/// Takes what a topic says.
pub(crate) trait Reader {
    /// Takes the newest records of all keys; whatever is missing does not exist.
    fn replace(&mut self, records: Vec<dialect::Record>, end: model::Offset, source: Source);
    /// Takes records that follow, and returns those that are worth passing on.
    fn apply(&mut self, batch: dialect::Batch, source: Source) -> Vec<dialect::Record>;
    /// Takes note of a call to which the log gave no answer.
    fn failed(&mut self) {}
}

/// How a topic is followed.
pub(crate) struct Plan {
    /// Topic.
    pub(crate) topic: Topic,
    /// Time for which a read waits for a record, in milliseconds.
    pub(crate) wait: u64,
    /// Time between reads, in milliseconds: from the end of one that waits for
    /// records, and else from its start.
    pub(crate) pace: u64,
}

impl Plan {
    /// Returns how long to pause after a read that began at `started`.
    ///
    /// A slow read must not delay the next one as well; a quarter of the time
    /// between reads is left for other work.
    fn pause(&self, started: clock::Millis) -> u64 {
        if self.wait > 0 {
            return self.pace;
        }
        let spent = clock::now().since(started);
        self.pace.saturating_sub(spent).max(self.pace / 4)
    }
}

/// How far a topic has been read.
#[derive(Debug, Default)]
struct Place {
    /// Offset from which to go on; `None` until the newest records were read.
    from: Option<model::Offset>,
    /// Calls in a row that failed.
    failures: u32,
}

impl Place {
    fn on_read(&mut self, next: model::Offset) {
        self.from = Some(next);
        self.failures = 0;
    }
}

/// Follows a topic for the life of the process: by calls of its own, or by what
/// another daemon of the failure domain passes on.
pub(crate) async fn follow(shared: Rc<Shared>, plan: Plan, mut reader: impl Reader) {
    let mut inbox = shared.relay.borrow_mut().open(plan.topic);
    let mut place = Place::default();
    loop {
        let pause = match place.from {
            None => read_all(&shared, &plan, &mut place, &mut reader).await,
            Some(offset) if shared.is_relayed() => {
                let received = relay::receive(&shared, &plan, &mut inbox, offset).await;
                take(&shared, &plan, &mut place, received, &mut reader).await
            }
            Some(offset) => {
                let read = read_on(&shared, &plan, plan.wait, &mut place, &mut reader);
                let read = tokio::select! {
                    pause = read => Ok(pause),
                    // A call that waits may miss a record that another daemon has read.
                    received = relay::newer(&shared, &plan, &mut inbox, offset) => Err(received),
                };
                match read {
                    Ok(pause) => pause,
                    Err(received) => take(&shared, &plan, &mut place, received, &mut reader).await,
                }
            }
        };
        if pause > 0 {
            let pause = tokio::time::sleep(Duration::from_millis(pause));
            tokio::select! {
                _ = pause => {}
                _ = shared.returned.notified(), if plan.topic != Topic::Targets => {}
                _ = shared.relayed.notified(), if place.failures > 0 => {}
            }
        }
    }
}

/// Takes what came from the reader; returns how long to pause.
async fn take(
    shared: &Rc<Shared>,
    plan: &Plan,
    place: &mut Place,
    received: relay::Received,
    reader: &mut impl Reader,
) -> u64 {
    let batch = match (received, place.from) {
        (relay::Received::Batch(batch), _) => Some(batch),
        (relay::Received::Behind, Some(from)) => relay::fetch(shared, plan.topic, from).await,
        (relay::Received::Nothing, _) => return 0,
        (relay::Received::Behind, None) => None,
    };
    match (batch, place.from) {
        (Some(batch), Some(from)) => {
            let next = batch.next;
            place.on_read(next);
            let records = reader.apply(batch, Source::Relayed);
            let mut relay = shared.relay.borrow_mut();
            relay.remember(plan.topic, from, next, &records);
        }
        _ => {
            read_on(shared, plan, 0, place, reader).await;
        }
    }
    0
}

/// Reads the newest records; returns how long to pause.
async fn read_all(
    shared: &Rc<Shared>,
    plan: &Plan,
    place: &mut Place,
    reader: &mut impl Reader,
) -> u64 {
    let started = clock::now();
    let source = Source::Own(started);
    match newest(shared, plan.topic).await {
        Ok((records, end)) => {
            let mut relay = shared.relay.borrow_mut();
            relay.remember_all(plan.topic, &records, end);
            drop(relay);
            reader.replace(records, end, source);
            place.on_read(end);
            shared.relay.borrow_mut().on_read(plan.topic, end);
            relay::announce(shared);
            plan.pause(started)
        }
        Err(error) => fail(shared, plan, place, &error, reader),
    }
}

/// Reads on from an offset; returns how long to pause.
async fn read_on(
    shared: &Rc<Shared>,
    plan: &Plan,
    wait: u64,
    place: &mut Place,
    reader: &mut impl Reader,
) -> u64 {
    let Some(offset) = place.from else {
        return 0;
    };
    let started = clock::now();
    let source = Source::Own(started);
    match wait_for(shared, plan.topic, offset, wait).await {
        Ok(batch) => {
            let (next, end) = (batch.next, batch.end);
            let records = reader.apply(batch, source);
            place.on_read(next);
            let mut relay = shared.relay.borrow_mut();
            relay.remember(plan.topic, offset, next, &records);
            relay.on_read(plan.topic, next);
            drop(relay);
            relay::pass_on(shared, plan.topic, offset, next, end, records);
            plan.pause(started)
        }
        Err(Failure::Answer(dialect::ReadError::Trimmed(first))) => {
            let topic = plan.topic;
            log::info!("records of {topic:?} before offset {first} are gone; reading the newest");
            place.from = None;
            0
        }
        Err(error) => fail(shared, plan, place, &error, reader),
    }
}

/// Takes note of a failure; returns how long to pause.
fn fail(
    shared: &Shared,
    plan: &Plan,
    place: &mut Place,
    error: &Failure,
    reader: &mut impl Reader,
) -> u64 {
    log::debug!("reading {:?}: {error}", plan.topic);
    reader.failed();
    place.failures += 1;
    // While the targets can be read, the log is not out, and only this call failed.
    let pause = match plan.topic {
        Topic::Targets => PAUSE,
        _ if shared.answering.get().is_some() => return SHORT_PAUSE,
        _ => LONG_PAUSE,
    };
    match place.failures {
        1 => pause,
        _ => share_out(pause, shared.neighbours(), rand::random()),
    }
}

/// Returns the pause of one of `daemons` daemons that together are to make a call
/// each `pause` milliseconds. `random` in 0 to 1 keeps their calls apart.
fn share_out(pause: u64, daemons: u64, random: f64) -> u64 {
    let all = pause * daemons;
    all / 2 + (all as f64 * random) as u64
}

/// Returns the time between reads of the targets, in milliseconds.
pub(crate) fn pace(settings: &settings::Settings) -> u64 {
    settings.bounds.drain.0 * PACE / 100
}

/// Starts all readers.
pub(crate) fn start(shared: &Rc<Shared>) {
    let operator = readers::Operator {
        shared: Rc::clone(shared),
    };
    let targets = readers::Targets {
        shared: Rc::clone(shared),
        out: None,
    };
    let hosts = readers::Hosts {
        shared: Rc::clone(shared),
    };
    let plan = |topic, wait, pace| Plan { topic, wait, pace };
    let operators = plan(Topic::Operator, OPERATOR_WAIT, 0);
    tokio::task::spawn_local(follow(Rc::clone(shared), operators, operator));
    let list = plan(Topic::Targets, 0, pace(&shared.settings));
    tokio::task::spawn_local(follow(Rc::clone(shared), list, targets));
    let notices = plan(Topic::Hosts, WAIT, HOSTS_PAUSE);
    tokio::task::spawn_local(follow(Rc::clone(shared), notices, hosts));
    tokio::task::spawn_local(announce(Rc::clone(shared)));
}

fn report(findings: &finding::Findings) {
    for finding in &findings.0 {
        log::warn!("skipped: {finding}");
    }
}

/// Appends this host's record, until the log has it.
async fn announce(shared: Rc<Shared>) {
    let notice = peers::Notice::of(&shared);
    let value = notice.encode();
    loop {
        let key = shared.settings.host.as_str();
        let request = shared.dialect.append(Topic::Hosts, key, &value, None);
        if let Ok(answer) = call(&shared, Topic::Hosts, request, ANSWER).await {
            let appended = shared.dialect.appended(&answer);
            shared.counters.on_call(Topic::Hosts, appended);
            if let dialect::Appended::Written(_) = appended {
                return;
            }
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
    Ok(last_of(&batch))
}

/// Returns what a batch says of the key table.
pub(crate) fn last_of(batch: &dialect::Batch) -> TableRead {
    match batch.records.last() {
        Some(record) => TableRead::Record(record.offset, batch.end, table_of(record)),
        None => TableRead::Nothing(batch.end),
    }
}

/// Returns what the newest records say of the key table.
pub(crate) fn newest_of(records: &[dialect::Record], end: model::Offset) -> TableRead {
    match records.last() {
        Some(record) => TableRead::Record(record.offset, end, table_of(record)),
        None => TableRead::Empty(end),
    }
}

async fn newest_table(shared: &Shared) -> Result<TableRead, Failure> {
    let (records, end) = newest(shared, Topic::Table).await?;
    Ok(newest_of(&records, end))
}
