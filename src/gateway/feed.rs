//! Follows the topics of the platform's log: targets, operators' records, hosts and
//! the key table.

mod readers;
mod reads;

use std::rc::Rc;
use std::time::Duration;

use self::reads::Reads;
use crate::clock;
use crate::finding;
use crate::gateway::adapter::{self, Topic};
use crate::gateway::client;
use crate::gateway::counters;
use crate::gateway::keys;
use crate::gateway::pause;
use crate::gateway::peers;
use crate::gateway::relay;
use crate::gateway::settings;
use crate::gateway::shared::Shared;
use crate::gateway::view;
use crate::model;

/// Interval between reads of the targets' topic, in percent of the time within which
/// a draining target must stop getting new work. The topic gets new records all the
/// time, so that a read that waits for one would not save a call. An entry is known after
/// at most this interval and the time of one read.
const TARGETS_INTERVAL_PERCENT: u64 = 20;

/// Time for which a read of the hosts' topic waits for a record.
const HOSTS_WAIT_MS: u64 = 10_000;

/// Time for which a read of operators' records waits for a record, in percent of the time
/// within which a configuration must be in effect. A waiting read may miss a record while
/// the log drops old ones, so that this bounds the delay of a configuration.
const OPERATOR_WAIT_PERCENT: u64 = 25;

/// Time after the end of its wait from which on the answer to a read of operators' records
/// counts as late, in percent of the same time.
const OPERATOR_LATE_PERCENT: u64 = 20;

/// Timeout for the head of an answer of the log, in addition to the time that a read
/// waits, and for each further part of the answer.
const ANSWER_TIMEOUT_MS: u64 = 1_000;

/// Time after the end of its wait from which on the answer to another waiting read counts
/// as late: its connection may have gone silent, and a second read begins on another one.
const LATE_ANSWER_MS: u64 = 400;

/// Timeout for the head of an answer to a read of the targets. On a saturated link an
/// answer takes more than a second, and the next read begins meanwhile.
const TARGETS_ANSWER_TIMEOUT_MS: u64 = 2_000;

/// Timeout for a whole answer of the log, in addition to the timeout for its head. A
/// configuration of a megabyte that all daemons of a region read at once takes
/// several seconds on a link between regions.
const WHOLE_ANSWER_TIMEOUT_MS: u64 = 15_000;

/// Timeout for a connection to the log.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause after a failed read of another topic while the log answers.
const SHORT_RETRY_PAUSE_MS: u64 = 200;

/// Pause after a failed read of another topic while the log is unavailable; it ends
/// when the targets can be read again.
const OUTAGE_RETRY_PAUSE_MS: u64 = 2_000;

/// Pause between reads of the hosts' topic: hosts that start together are read at once.
const HOSTS_PAUSE_MS: u64 = 1_000;

/// Largest number of findings of one record that are logged. One record may have thousands.
const MAX_LOGGED_FINDINGS: usize = 20;

/// Age of a view from which on its renewal is logged, in percent of the drain bound.
const OLD_VIEW_PERCENT: u64 = 75;

/// Divisor of the interval between reads that gives the shortest pause after a slow read.
const MIN_PAUSE_DIVISOR: u64 = 4;

/// Reason why a call to the log returned no records.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CallError {
    /// The log did not answer, or not within the timeout.
    #[error("the log does not answer")]
    NoAnswer,
    /// The log refused the call, or its answer holds no records.
    #[error(transparent)]
    Answer(#[from] adapter::ReadError),
}

/// Sends a call to the log and returns its answer, whatever its status.
///
/// # Errors
/// Fails if the answer does not begin within `limit` milliseconds, or breaks off or
/// stays incomplete.
pub(crate) async fn call(
    shared: &Shared,
    topic: Topic,
    request: http::Request<bytes::Bytes>,
    limit: u64,
) -> Result<http::Response<bytes::Bytes>, CallError> {
    counters::increment(&shared.counters.log_calls);
    let peer = log_peer(shared);
    let timeouts = client::ResponseTimeouts {
        head: Duration::from_millis(limit),
        part: Duration::from_millis(ANSWER_TIMEOUT_MS),
    };
    let reuse = match topic {
        // These answers decide which daemon is the coordinator and for how long, so that none
        // to an earlier call may be taken for them. There are few of these calls.
        Topic::Table => client::Reuse::Never,
        Topic::Targets | Topic::Operator | Topic::Hosts => client::Reuse::Pooled,
    };
    let request = with_host(shared, request);
    let answer = shared
        .client
        .fetch(peer, request, CONNECT_TIMEOUT, reuse, timeouts);
    let limit = Duration::from_millis(limit + WHOLE_ANSWER_TIMEOUT_MS);
    let answer = tokio::time::timeout(limit, answer).await;
    match answer {
        Ok(Ok(answer)) => Ok(answer),
        _ => {
            // Other connections may have gone silent together with this one.
            shared.client.close_idle(peer);
            counters::increment(&shared.counters.log_failures);
            shared
                .counters
                .on_call(topic, counters::CallOutcome::NoResponse);
            Err(CallError::NoAnswer)
        }
    }
}

/// Sets the `Host` header to the address of the log.
fn with_host(
    shared: &Shared,
    mut request: http::Request<bytes::Bytes>,
) -> http::Request<bytes::Bytes> {
    if let Ok(host) = shared.settings.log.to_string().parse() {
        request.headers_mut().insert(http::header::HOST, host);
    }
    request
}

/// Reads records from an offset on, and waits up to `wait` milliseconds for one.
pub(crate) async fn read(
    shared: &Shared,
    topic: Topic,
    from: model::Offset,
    wait: u64,
) -> Result<adapter::Batch, CallError> {
    let request = shared.adapter.build_read(topic, from, wait);
    let timeout = match topic {
        Topic::Targets => TARGETS_ANSWER_TIMEOUT_MS,
        _ => ANSWER_TIMEOUT_MS,
    };
    let answer = call(shared, topic, request, wait + timeout).await?;
    let batch = shared.adapter.parse_batch(from, &answer);
    shared.counters.on_call(topic, &batch);
    Ok(batch?)
}

/// Reads records from an offset on and waits up to `wait` milliseconds for one. If the
/// log returns from an outage meanwhile, reads again without waiting: a call that
/// began before the return may never be answered. If the answer is `late` milliseconds
/// late, a second read begins on a new connection, and the first answer counts.
async fn wait_for(
    shared: &Shared,
    topic: Topic,
    from: model::Offset,
    wait: u64,
    late: u64,
) -> Result<adapter::Batch, CallError> {
    if wait == 0 {
        return read(shared, topic, from, 0).await;
    }
    let mut first = std::pin::pin!(read(shared, topic, from, wait));
    tokio::select! {
        biased;
        batch = first.as_mut() => return batch,
        _ = shared.log_returned.notified() => return read(shared, topic, from, 0).await,
        _ = tokio::time::sleep(Duration::from_millis(wait + late)) => {}
    }
    shared.client.close_idle(log_peer(shared));
    let mut second = std::pin::pin!(read(shared, topic, from, 0));
    tokio::select! {
        batch = first.as_mut() => match batch {
            Ok(batch) => Ok(batch),
            Err(_) => second.await,
        },
        batch = second.as_mut() => match batch {
            Ok(batch) => Ok(batch),
            Err(_) => first.await,
        },
    }
}

/// Returns the log as a peer of this daemon's client.
fn log_peer(shared: &Shared) -> client::Peer {
    client::Peer {
        address: shared.settings.log,
        birth: 0,
    }
}

/// Reads the newest record of every key, page by page, and the offset from which to
/// read on.
async fn newest(
    shared: &Shared,
    topic: Topic,
) -> Result<(Vec<adapter::Record>, model::Offset), CallError> {
    let mut records = Vec::new();
    let mut end = None;
    let mut after: Option<std::sync::Arc<str>> = None;
    loop {
        let request = shared.adapter.build_newest(topic, after.as_deref());
        let answer = call(shared, topic, request, ANSWER_TIMEOUT_MS).await?;
        let page = shared.adapter.parse_page(&answer);
        shared.counters.on_call(topic, &page);
        let page = page?;
        records.extend(page.records);
        for unreadable in page.unreadable {
            records.extend(keep_unreadable(topic, page.end, unreadable)?);
        }
        // Later pages may miss records written after the first one, so that reading
        // goes on from the end that the first page named.
        let end = *end.get_or_insert(page.end);
        if page.end.era() != end.era() {
            // Pages of two eras don't belong together.
            return Err(adapter::ReadError::Restored(page.end.era()).into());
        }
        match page.after {
            Some(key) if after.as_ref() == Some(&key) => {
                let finding = finding::Finding {
                    place: "response of the log to a read of newest records".to_owned(),
                    expected: format!("a page that ends after key {key:?}"),
                    found: "one that ends there as well".to_owned(),
                };
                return Err(adapter::ReadError::Malformed(finding).into());
            }
            Some(key) => after = Some(key),
            None => return Ok((records, end)),
        }
    }
}

/// Returns a record that can't be read as one with an empty value, which no reader of a topic
/// accepts, so that its key does not count as removed. Its offset is below that of all records
/// that are read later. A record without a readable key is left out.
///
/// # Errors
/// Fails for the key table: an older table must not pass for the newest one.
fn keep_unreadable(
    topic: Topic,
    end: model::Offset,
    unreadable: adapter::Unreadable,
) -> Result<Option<adapter::Record>, CallError> {
    if topic == Topic::Table {
        return Err(adapter::ReadError::Malformed(unreadable.finding).into());
    }
    log::warn!("skipped: {}", unreadable.finding.summary());
    Ok(unreadable.key.map(|key| adapter::Record {
        offset: model::Offset::default().in_era(end.era()),
        key,
        value: Some(bytes::Bytes::new()),
    }))
}

/// Origin of records that this daemon applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// A call of this daemon that began at this time.
    Own(clock::Millis),
    /// Another daemon, which read them from the log and passed them on.
    Relayed,
}

/// Applies a topic's records to the state of the daemon.
pub(crate) trait Handler {
    /// Applies the newest records of all keys; a key without a record does not exist.
    fn replace(&mut self, records: Vec<adapter::Record>, end: model::Offset, source: Source);
    /// Applies records that follow those applied before, and returns those that other
    /// daemons need.
    fn apply(&mut self, batch: adapter::Batch, source: Source) -> Vec<adapter::Record>;
    /// Handles a failed read of the topic.
    fn failed(&mut self) {}
}

/// Topic to follow, and timing of its reads.
pub(crate) struct Plan {
    /// Topic to read.
    pub(crate) topic: Topic,
    /// Time for which a read waits for a record, in milliseconds.
    pub(crate) wait: u64,
    /// Time between reads, in milliseconds: from the end of one that waits for
    /// records, and else from its start.
    pub(crate) interval_ms: u64,
}

impl Plan {
    /// Returns the time after the end of its wait from which on the answer to a read is
    /// late, in milliseconds.
    fn late(&self) -> u64 {
        match self.topic {
            Topic::Operator => self.wait * OPERATOR_LATE_PERCENT / OPERATOR_WAIT_PERCENT,
            _ => LATE_ANSWER_MS,
        }
    }

    /// Returns the pause after a read that began at `started`, in milliseconds.
    ///
    /// The time of a slow read is subtracted, so that it does not delay the next one
    /// as well; a quarter of the interval between reads remains for other work.
    fn pause(&self, started: clock::Millis) -> u64 {
        if self.wait > 0 {
            return self.interval_ms;
        }
        let spent = clock::now().since(started);
        self.interval_ms
            .saturating_sub(spent)
            .max(self.interval_ms / MIN_PAUSE_DIVISOR)
    }
}

/// Read position in a topic.
#[derive(Debug, Default)]
struct Position {
    /// Offset from which to read on; `None` until the newest records were read.
    from: Option<model::Offset>,
    /// Consecutive failed calls.
    failures: u32,
}

impl Position {
    fn on_read(&mut self, next: model::Offset) {
        self.from = Some(next);
        self.failures = 0;
    }
}

/// Follows a topic until the process ends: by calls of this daemon, or through the
/// records that another daemon of the failure domain passes on.
pub(crate) async fn follow(shared: Rc<Shared>, plan: Plan, mut handler: impl Handler) {
    let mut inbox = shared.relay.borrow_mut().open(plan.topic);
    let mut position = Position::default();
    let mut reads = Reads::new();
    let mut starting = true;
    loop {
        let pause = match position.from {
            None if position.failures > 0 && shared.has_reader_of(plan.topic) => {
                reads.cancel();
                fetch_all(&shared, &plan, &mut position, &mut handler).await
            }
            None => {
                reads.cancel();
                let pause = read_all(&shared, &plan, &mut position, &mut handler).await;
                let is_first = std::mem::take(&mut starting) && position.from.is_some();
                if is_first && plan.topic != Topic::Hosts {
                    await_reader(&shared, &plan).await;
                }
                pause
            }
            Some(offset) if shared.has_reader_of(plan.topic) => {
                reads.cancel();
                let received = relay::receive(&shared, &plan, &mut inbox, offset).await;
                apply_received(&shared, &plan, &mut position, received, &mut handler).await
            }
            Some(offset) if plan.wait == 0 => {
                let read = tokio::select! {
                    completed = reads.next(&shared, &plan, offset) => Ok(completed),
                    received = relay::receive_newer(&shared, &plan, &mut inbox, offset) =>
                        Err(received),
                    _ = shared.reader_progress.notified() => continue,
                };
                match read {
                    Ok(completed) => {
                        let pause =
                            on_completed(&shared, &plan, &mut position, completed, &mut handler);
                        pause.inspect(|pause| reads.delay(*pause));
                    }
                    Err(received) => {
                        apply_received(&shared, &plan, &mut position, received, &mut handler).await;
                    }
                }
                0
            }
            Some(offset) => {
                let read = read_next(&shared, &plan, plan.wait, &mut position, &mut handler);
                let read = tokio::select! {
                    pause = read => Ok(pause),
                    // A waiting call may miss a record that another daemon has read.
                    received = relay::receive_newer(&shared, &plan, &mut inbox, offset) =>
                        Err(received),
                };
                match read {
                    Ok(pause) => pause,
                    Err(received) => {
                        apply_received(&shared, &plan, &mut position, received, &mut handler).await
                    }
                }
            }
        };
        if pause > 0 {
            let pause = tokio::time::sleep(Duration::from_millis(pause));
            tokio::select! {
                _ = pause => {}
                _ = shared.log_returned.notified(), if plan.topic != Topic::Targets => {}
                _ = shared.reader_progress.notified(), if position.failures > 0 => {}
            }
        }
    }
}

/// Gives another daemon of the failure domain, after the first read of a topic, the time to
/// become the reader. Daemons start together, and each would read for all others until it
/// knows them.
async fn await_reader(shared: &Shared, plan: &Plan) {
    let mut timeout = std::pin::pin!(async {
        tokio::time::sleep(shared.reader_timeout()).await;
        // The daemons of the domain are known by now.
        tokio::time::sleep(Duration::from_millis(shared.stagger())).await;
    });
    loop {
        tokio::select! {
            () = timeout.as_mut() => return,
            () = shared.reader_progress.notified() => {
                if shared.has_reader_of(plan.topic) {
                    return;
                }
            }
        }
    }
}

/// Applies what the reader passed on, and reads missed records; returns the pause
/// before the next read in milliseconds.
async fn apply_received(
    shared: &Rc<Shared>,
    plan: &Plan,
    position: &mut Position,
    received: relay::Received,
    handler: &mut impl Handler,
) -> u64 {
    let restored = reader_era(shared, plan, position);
    if let (relay::Received::Gap, Some(era)) = (&received, restored)
        && let Some(batch) = relay::fetch_all(shared, plan.topic, era).await
    {
        replace_relayed(shared, plan, position, batch, handler);
        return 0;
    }
    let batch = match (received, position.from) {
        (relay::Received::Batch(batch), _) => Some(batch),
        (relay::Received::Gap, Some(from)) => relay::fetch(shared, plan.topic, from).await,
        (relay::Received::Unchanged, _) => return 0,
        (relay::Received::Gap, None) => None,
    };
    match (batch, position.from) {
        (Some(batch), Some(from)) => {
            let next = batch.next;
            position.on_read(next);
            let records = handler.apply(batch, Source::Relayed);
            let mut relay = shared.relay.borrow_mut();
            relay.extend_cache(plan.topic, from, next, &records);
            drop(relay);
            let now = clock::now();
            let renewal = shared.views.borrow_mut().on_records(plan.topic, next, now);
            on_renewal(shared, plan.topic, renewal);
        }
        _ => {
            read_next(shared, plan, 0, position, handler).await;
        }
    }
    0
}

/// Returns the era of the log in which the reader reads a topic, if that is a later one than
/// the position's.
fn reader_era(shared: &Shared, plan: &Plan, position: &Position) -> Option<u64> {
    let era = shared.relay.borrow().reader_offset(plan.topic)?.era();
    (position.from?.era() < era).then_some(era)
}

/// Applies the newest records of all keys that the reader has, or else reads them from the
/// log; returns the pause before the next read in milliseconds.
async fn fetch_all(
    shared: &Rc<Shared>,
    plan: &Plan,
    position: &mut Position,
    handler: &mut impl Handler,
) -> u64 {
    let offset = shared.relay.borrow().reader_offset(plan.topic);
    let era = offset.map_or(0, model::Offset::era);
    match relay::fetch_all(shared, plan.topic, era).await {
        Some(batch) => {
            replace_relayed(shared, plan, position, batch, handler);
            0
        }
        None => read_all(shared, plan, position, handler).await,
    }
}

/// Applies the newest records of all keys that the reader has passed on.
fn replace_relayed(
    shared: &Rc<Shared>,
    plan: &Plan,
    position: &mut Position,
    batch: adapter::Batch,
    handler: &mut impl Handler,
) {
    let next = batch.next;
    let topic = plan.topic.label();
    log::info!("{topic}: applying the reader's newest records, up to offset {next}");
    let mut relay = shared.relay.borrow_mut();
    relay.replace_cache(plan.topic, &batch.records, next);
    drop(relay);
    handler.replace(batch.records, next, Source::Relayed);
    position.on_read(next);
    let now = clock::now();
    let renewal = shared.views.borrow_mut().on_records(plan.topic, next, now);
    on_renewal(shared, plan.topic, renewal);
}

/// Reads and applies the newest records of all keys; returns the pause before the next
/// read in milliseconds.
async fn read_all(
    shared: &Rc<Shared>,
    plan: &Plan,
    position: &mut Position,
    handler: &mut impl Handler,
) -> u64 {
    let started = clock::now();
    let source = Source::Own(started);
    match newest(shared, plan.topic).await {
        Ok((records, end)) => {
            let mut relay = shared.relay.borrow_mut();
            relay.replace_cache(plan.topic, &records, end);
            drop(relay);
            handler.replace(records, end, source);
            position.on_read(end);
            on_own_read(shared, plan, Some(started), end);
            shared.relay.borrow_mut().on_read(plan.topic, end);
            relay::announce_progress(shared);
            if plan.topic == Topic::Targets {
                relay::announce_views(shared, started);
            }
            plan.pause(started)
        }
        Err(CallError::Answer(adapter::ReadError::Restored(_))) => 0,
        Err(error) => on_failure(shared, plan, position, &error, handler),
    }
}

/// Reads and applies records from the current position on; returns the pause before the
/// next read in milliseconds.
async fn read_next(
    shared: &Rc<Shared>,
    plan: &Plan,
    wait: u64,
    position: &mut Position,
    handler: &mut impl Handler,
) -> u64 {
    let Some(offset) = position.from else {
        return 0;
    };
    let started = clock::now();
    match wait_for(shared, plan.topic, offset, wait, plan.late()).await {
        Ok(batch) => {
            on_batch(shared, plan, position, batch, started, handler);
            plan.pause(started)
        }
        Err(CallError::Answer(error)) if error.is_position_lost() => {
            on_position_lost(plan, position, &error);
            0
        }
        Err(error) => on_failure(shared, plan, position, &error, handler),
    }
}

/// Applies the result of one of several overlapping reads; returns the pause before the
/// next read in milliseconds if it failed.
fn on_completed(
    shared: &Rc<Shared>,
    plan: &Plan,
    position: &mut Position,
    completed: reads::Completed,
    handler: &mut impl Handler,
) -> Option<u64> {
    match completed.result {
        Ok(batch) => {
            on_batch(shared, plan, position, batch, completed.started, handler);
            None
        }
        Err(CallError::Answer(error)) if error.is_position_lost() => {
            on_position_lost(plan, position, &error);
            None
        }
        Err(error) => Some(on_failure(shared, plan, position, &error, handler)),
    }
}

/// Continues with the newest records, since the log can't be read on from the position.
fn on_position_lost(plan: &Plan, position: &mut Position, error: &adapter::ReadError) {
    if let (adapter::ReadError::Restored(era), Some(from)) = (error, position.from)
        && from.era() >= *era
    {
        // Another read has shown this era already.
        return;
    }
    log::info!(
        "{}: {error}; reading the newest records",
        plan.topic.label()
    );
    position.from = None;
}

/// Applies the records of an own read that began at `started`, and passes them on.
/// Records that another read or the reader brought meanwhile are left out.
fn on_batch(
    shared: &Rc<Shared>,
    plan: &Plan,
    position: &mut Position,
    mut batch: adapter::Batch,
    started: clock::Millis,
    handler: &mut impl Handler,
) {
    let Some(from) = position.from else {
        return;
    };
    if batch.next.era() < from.era() {
        // The read ended before the log was restored.
        return;
    }
    let (end, is_complete) = (batch.end, batch.next >= batch.end);
    batch.records.retain(|record| record.offset >= from);
    batch.next = batch.next.max(from);
    let next = batch.next;
    let records = handler.apply(batch, Source::Own(started));
    position.on_read(next);
    let mut relay = shared.relay.borrow_mut();
    relay.extend_cache(plan.topic, from, next, &records);
    relay.on_read(plan.topic, next);
    drop(relay);
    let known_until = is_complete.then_some(started);
    on_own_read(shared, plan, known_until, next);
    relay::pass_on(shared, plan.topic, from, next, end.max(next), records);
    if plan.topic == Topic::Targets {
        relay::announce_progress(shared);
        relay::announce_views(shared, started);
    }
}

/// Records how current a read of this daemon makes its view of the topic: all records up
/// to `next` are known, and those up to the time `until` if the read was complete.
fn on_own_read(shared: &Shared, plan: &Plan, until: Option<clock::Millis>, next: model::Offset) {
    let now = clock::now();
    let mut views = shared.views.borrow_mut();
    let renewal = match until {
        None => views.on_records(plan.topic, next, now),
        Some(until) => {
            if plan.wait == 0 {
                shared.counters.on_read_time(plan.topic, now.since(until));
            }
            views.on_read(plan.topic, next, until, now)
        }
    };
    drop(views);
    on_renewal(shared, plan.topic, renewal);
}

/// Counts the renewal of a view, and logs it if the view had been old: its age plus the
/// time to reach a target may exceed the drain bound.
pub(crate) fn on_renewal(shared: &Shared, topic: Topic, renewal: Option<view::Renewal>) {
    let Some(renewal) = renewal else {
        return;
    };
    if topic == Topic::Targets {
        let now = clock::now();
        let until = now - renewal.age;
        shared.registry.borrow_mut().set_current(until);
        // A reader that has read since the outage began shows that it is over, whether or not
        // there are records to pass on.
        if shared.outage.get().is_some_and(|since| since <= until) {
            shared.end_outage(now);
        }
    }
    let Some(age) = renewal.age_before else {
        return;
    };
    shared.counters.on_view_age(topic, age);
    let limit = shared.settings.bounds.drain.0 * OLD_VIEW_PERCENT / 100;
    if age > limit && matches!(topic, Topic::Targets | Topic::Operator) {
        log::warn!(
            topic = topic.label(),
            age_ms = age,
            renewed_age_ms = renewal.age,
            gap_ms = renewal.gap,
            own = !shared.has_reader();
            "the view of the log was old"
        );
    }
}

/// Records a failed read; returns the pause before the next one in milliseconds.
fn on_failure(
    shared: &Shared,
    plan: &Plan,
    position: &mut Position,
    error: &CallError,
    handler: &mut impl Handler,
) -> u64 {
    log::debug!("reading {:?}: {error}", plan.topic);
    handler.failed();
    position.failures += 1;
    // While the targets can be read, the log is available and only this call failed.
    let base = match plan.topic {
        Topic::Targets => pause::RETRY_MS,
        _ if shared.answering_since.get().is_some() => return SHORT_RETRY_PAUSE_MS,
        _ => OUTAGE_RETRY_PAUSE_MS,
    };
    if position.failures == 1 {
        return base;
    }
    let sharing = pause::SharedPause {
        daemons: shared.sharing_daemons(),
        configure_ms: shared.settings.bounds.configure.0,
    };
    sharing.after_failure(base, rand::random())
}

/// Returns the interval between reads of the targets' topic, in milliseconds.
pub(crate) fn targets_interval(settings: &settings::Settings) -> u64 {
    settings.bounds.drain.0 * TARGETS_INTERVAL_PERCENT / 100
}

/// Starts the tasks that follow the topics of operators, targets and hosts, and the
/// task that appends this host's record.
pub(crate) fn start(shared: &Rc<Shared>) {
    let operator = readers::Operator {
        shared: Rc::clone(shared),
        era: readers::LastEra::default(),
        doubted: Rc::default(),
    };
    let targets = readers::Targets {
        shared: Rc::clone(shared),
        era: readers::LastEra::default(),
        rewriting_until: clock::Millis(0),
    };
    let hosts = readers::Hosts {
        shared: Rc::clone(shared),
    };
    let plan = |topic, wait, interval_ms| Plan {
        topic,
        wait,
        interval_ms,
    };
    let configure = shared.settings.bounds.configure.0;
    let operator_wait = configure * OPERATOR_WAIT_PERCENT / 100;
    let operator_plan = plan(Topic::Operator, operator_wait, 0);
    tokio::task::spawn_local(follow(Rc::clone(shared), operator_plan, operator));
    let targets_plan = plan(Topic::Targets, 0, targets_interval(&shared.settings));
    tokio::task::spawn_local(follow(Rc::clone(shared), targets_plan, targets));
    let hosts_plan = plan(Topic::Hosts, HOSTS_WAIT_MS, HOSTS_PAUSE_MS);
    tokio::task::spawn_local(follow(Rc::clone(shared), hosts_plan, hosts));
    tokio::task::spawn_local(append_host(Rc::clone(shared)));
}

/// Logs the findings of a record that is skipped, or of which parts are.
fn log_findings(findings: &finding::Findings) {
    for finding in findings.0.iter().take(MAX_LOGGED_FINDINGS) {
        log::warn!("skipped: {}", finding.summary());
    }
    let rest = findings.0.len().saturating_sub(MAX_LOGGED_FINDINGS);
    if rest > 0 {
        log::warn!("skipped: {rest} more findings of this record");
    }
}

/// Appends this host's record, and retries until the log confirms it.
async fn append_host(shared: Rc<Shared>) {
    let record = peers::HostRecord::of(&shared);
    let value = record.encode();
    loop {
        let key = shared.settings.host.as_str();
        let request = shared.adapter.build_append(Topic::Hosts, key, &value, None);
        if let Ok(answer) = call(&shared, Topic::Hosts, request, ANSWER_TIMEOUT_MS).await {
            let appended = shared.adapter.parse_append(&answer);
            shared.counters.on_call(Topic::Hosts, appended);
            if let adapter::AppendOutcome::Written(offset) = appended {
                shared.host_record.set(Some(offset));
                return;
            }
        }
        tokio::time::sleep(Duration::from_millis(pause::RETRY_MS)).await;
    }
}

/// Result of a read of the key table's topic.
pub(crate) enum TableRead {
    /// The topic, which ends at this offset, has no record.
    Empty(model::Offset),
    /// Offset of the newest record in the era in which it was decided on, end of the topic,
    /// and the table unless the record can't be decoded.
    Record(model::Offset, model::Offset, Option<keys::Table>),
    /// There are no records from the first offset on; the topic ends at the second one.
    Unchanged(model::Offset, model::Offset),
}

/// Decodes a key table; logs the findings and returns `None` if it can't be decoded.
fn decode_table(record: &adapter::Record) -> Option<keys::Table> {
    let table = keys::Table::decode(record.value.as_ref()?);
    table.inspect_err(log_findings).ok()
}

/// Reads the key table's topic from offset `from` on, or its newest record if `from` is
/// `None` or the log no longer keeps the records from there on.
pub(crate) async fn read_table(
    shared: &Shared,
    from: Option<model::Offset>,
    wait: u64,
) -> Result<TableRead, CallError> {
    let Some(from) = from else {
        return newest_table(shared).await;
    };
    let mut all: Option<adapter::Batch> = None;
    loop {
        let next = all.as_ref().map_or(from, |batch| batch.next);
        let batch = match read(shared, Topic::Table, next, wait).await {
            Err(CallError::Answer(error)) if error.is_position_lost() => {
                return newest_table(shared).await;
            }
            batch => batch?,
        };
        let is_last = batch.next >= batch.end || batch.next == next;
        let all = all.get_or_insert_default();
        (all.next, all.end) = (batch.next, batch.end);
        all.records.extend(batch.records);
        if is_last {
            return Ok(last_table(from, all));
        }
    }
}

/// Returns the newest of some records of the key table, by the era in which each was
/// decided on.
pub(crate) fn newest_record(records: &[adapter::Record]) -> Option<&adapter::Record> {
    records
        .iter()
        .max_by_key(|record| (keys::record_offset(record), record.offset))
}

/// Returns the last key table of a batch of records read from `from` on.
///
/// If the response was too short for all records, the topic counts as ending after those
/// read, so that an append after them fails.
pub(crate) fn last_table(from: model::Offset, batch: &adapter::Batch) -> TableRead {
    let end = batch.end.min(batch.next);
    match newest_record(&batch.records) {
        Some(record) => {
            let offset = keys::record_offset(record);
            TableRead::Record(offset, end, decode_table(record))
        }
        None => TableRead::Unchanged(from, end),
    }
}

/// Returns the key table of the newest records of its topic.
pub(crate) fn newest_table_of(records: &[adapter::Record], end: model::Offset) -> TableRead {
    match newest_record(records) {
        Some(record) => {
            let offset = keys::record_offset(record);
            TableRead::Record(offset, end, decode_table(record))
        }
        None => TableRead::Empty(end),
    }
}

async fn newest_table(shared: &Shared) -> Result<TableRead, CallError> {
    let (records, end) = newest(shared, Topic::Table).await?;
    Ok(newest_table_of(&records, end))
}
