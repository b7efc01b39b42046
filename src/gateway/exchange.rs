//! One request, from its head to its answer.

mod attempt;
mod budget;
mod choose;
pub mod explain;
mod head;
mod reply;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use self::attempt::{Attempt, Verdict};
pub use self::reply::Body;
use crate::clock;
use crate::gateway::catalog;
use crate::gateway::choice;
use crate::gateway::counters;
use crate::gateway::dialect;
use crate::gateway::keys;
use crate::gateway::shared::Shared;
use crate::gateway::trace;

/// Deadline of a request that names none and whose route has no limit, in milliseconds.
const DEADLINE: u64 = 30_000;

/// Time for an answer to reach the caller within its deadline, in milliseconds.
const RETURN: u64 = 20;

/// Pause after which a refused caller may come back, in milliseconds.
const PAUSE: u64 = 250;

/// Part of the memory that bodies may take.
const BODY_SHARE: usize = 4;

/// A request whose route is known.
pub(crate) struct Resolved {
    pub(crate) route: Rc<dialect::Route>,
    pub(crate) service: dialect::Service,
    pub(crate) key: Option<u16>,
    pub(crate) method: http::Method,
    pub(crate) target: http::Uri,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) start: clock::Millis,
    pub(crate) read: clock::Millis,
    pub(crate) end: clock::Millis,
    pub(crate) work: f64,
    pub(crate) trace: Rc<trace::Trace>,
}

impl Resolved {
    /// Writes a line on the request's end.
    fn trace(&self, shared: &Shared, status: http::StatusCode) {
        let id = self.headers.get(&shared.dialect.names().request);
        log::debug!(
            request:? = id,
            route = &*self.route.name,
            status = status.as_u16(),
            read_ms = self.read.since(self.start),
            ms = clock::now().since(self.start);
            "request ended"
        );
    }
}

/// Counts a request, and the bytes it holds, until it ends.
struct Guard<'s> {
    shared: &'s Shared,
    held: Cell<usize>,
    done: Cell<bool>,
    trace: Rc<trace::Trace>,
}

impl<'s> Guard<'s> {
    fn new(shared: &'s Shared, start: clock::Millis) -> Self {
        shared.running.set(shared.running.get() + 1);
        Self {
            shared,
            held: Cell::new(0),
            done: Cell::new(false),
            trace: Rc::new(trace::Trace::new(start)),
        }
    }

    fn hold(&self, bytes: usize) {
        self.held.set(self.held.get() + bytes);
        self.shared.held.set(self.shared.held.get() + bytes);
    }
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        let shared = self.shared;
        shared.running.set(shared.running.get() - 1);
        shared.held.set(shared.held.get() - self.held.get());
        if !self.done.get() {
            counters::count(&shared.counters.abandoned);
            shared.on_abandoned(&self.trace);
        }
    }
}

/// Serves one request.
pub async fn serve(shared: Rc<Shared>, request: http::Request<Incoming>) -> http::Response<Body> {
    let start = clock::now();
    counters::count(&shared.counters.requests);
    let guard = Guard::new(&shared, start);
    let mut response = match read(&shared, &guard, request, start).await {
        Ok(ask) => {
            let response = run(&shared, &ask).await;
            ask.trace(&shared, response.status());
            response
        }
        Err(refusal) => refusal.reply(),
    };
    guard.done.set(true);
    shared.on_response(&guard.trace, &response);
    if shared.stopping.get() {
        let close = http::HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
    response
}

/// Why a request is refused before anything is sent.
enum Refusal {
    /// The request is faulty, answered with this status.
    Fault(u16, &'static str),
    /// The request may come back.
    NotNow(&'static str),
}

impl Refusal {
    fn reply(self) -> http::Response<Body> {
        match self {
            Self::Fault(status, why) => reply::fault(status, why),
            Self::NotNow(why) => reply::refusal(why, PAUSE),
        }
    }
}

/// Resolves the request's route and reads its body.
async fn read(
    shared: &Shared,
    guard: &Guard<'_>,
    request: http::Request<Incoming>,
    start: clock::Millis,
) -> Result<Resolved, Refusal> {
    let Some(catalog) = shared.catalog.borrow().clone() else {
        return Err(Refusal::NotNow("no configuration yet"));
    };
    let (parts, body) = request.into_parts();
    let host = head::host(&parts).ok_or(Refusal::Fault(400, "a host is missing"))?;
    let route = catalog
        .resolve(host, parts.uri.path())
        .ok_or(Refusal::Fault(404, "no route"))?;
    let route = Rc::clone(route);
    guard
        .trace
        .on_route(&route, parts.headers.get(&shared.dialect.names().request));
    let names = shared.dialect.names();
    let asked = head::number(&parts.headers, &names.deadline).unwrap_or(DEADLINE);
    let asked = asked.saturating_sub(RETURN.min(asked / 8));
    let limit = asked.min(route.timeout.unwrap_or(DEADLINE));
    let body = read_body(shared, guard, &catalog, body);
    let body = tokio::time::timeout(Duration::from_millis(limit), body).await;
    let body = body.unwrap_or(Err(Refusal::NotNow("the body did not arrive in time")))?;
    let service = pick_service(shared, &catalog, &route)?;
    let key = match service.keyed {
        true => Some(
            head::number(&parts.headers, &names.key)
                .and_then(|key| u16::try_from(key).ok())
                .ok_or({
                    Refusal::Fault(400, "the key is missing or no number from 0 to 65535")
                })?,
        ),
        false => None,
    };
    let work = expected_work(shared, &route);
    guard.trace.on_read();
    Ok(Resolved {
        headers: head::forwarded(&parts.headers, host, names),
        method: parts.method,
        target: head::origin_form(&parts.uri),
        route,
        service,
        key,
        body,
        start,
        read: clock::now(),
        end: start + limit,
        work,
        trace: Rc::clone(&guard.trace),
    })
}

async fn read_body(
    shared: &Shared,
    guard: &Guard<'_>,
    catalog: &catalog::Catalog,
    mut body: Incoming,
) -> Result<Bytes, Refusal> {
    let limit = catalog.limits().body_bytes;
    let room = (shared.settings.capacity.memory_mb as usize) * (1 << 20) / BODY_SHARE;
    let mut bytes = bytes::BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Refusal::Fault(400, "the body ended early"))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > limit {
            return Err(Refusal::Fault(413, "the body is too long"));
        }
        guard.hold(data.len());
        if shared.held.get() > room {
            return Err(Refusal::NotNow("no memory for the body"));
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}

fn pick_service(
    shared: &Shared,
    catalog: &catalog::Catalog,
    route: &Rc<dialect::Route>,
) -> Result<dialect::Service, Refusal> {
    let mut splits = shared.splits.borrow_mut();
    let backend = splits.pick(route);
    backend
        .and_then(|backend| catalog.service(&backend.service).cloned())
        .ok_or(Refusal::NotNow("the route has no service"))
}

fn expected_work(shared: &Shared, route: &dialect::Route) -> f64 {
    let table = shared.work.borrow();
    let known = table.get(&route.name).and_then(|work| work.mean());
    known.unwrap_or(route.objective.max(1) as f64 / 3.0)
}

/// Sends the request until there is an answer or a reason to stop.
async fn run(shared: &Rc<Shared>, ask: &Resolved) -> http::Response<Body> {
    budget::on_request(shared, &ask.service.name);
    count_demand(shared, ask);
    let end = Duration::from_millis(ask.end.since(clock::now()));
    let sent = Cell::new(false);
    match tokio::time::timeout(end, attempts(shared, ask, &sent)).await {
        Ok(response) => response,
        Err(_) if sent.get() => {
            counters::count(&shared.counters.unknown);
            reply::unknown(504, "no answer in time")
        }
        Err(_) => refuse(shared, "no target in time"),
    }
}

/// Counts the work of a keyed request, for the steward.
fn count_demand(shared: &Shared, ask: &Resolved) {
    let Some(key) = ask.key else {
        return;
    };
    let mut demand = shared.demand.borrow_mut();
    let buckets = demand.entry(ask.service.name.clone()).or_default();
    *buckets.entry(key / keys::BUCKET).or_default() += ask.work as f32;
}

fn refuse(shared: &Shared, why: &'static str) -> http::Response<Body> {
    counters::count(&shared.counters.refused);
    reply::refusal(why, PAUSE)
}

/// Sends the request to one target after the other, as far as that is allowed.
async fn attempts(shared: &Rc<Shared>, ask: &Resolved, sent: &Cell<bool>) -> http::Response<Body> {
    let mut state = Attempts::default();
    loop {
        let chosen = match ask.key {
            Some(key) => choose::owner(shared, ask, key, &state).await,
            None => choose::pick(shared, ask, &state),
        };
        let attempt = match chosen {
            Ok(attempt) => attempt,
            Err(why) => return state.give_up(shared, why),
        };
        let life = attempt.life.clone();
        match hedged(shared, ask, attempt, &mut state, sent).await {
            Verdict::Answer(response) => {
                counters::count(&shared.counters.answered);
                return response;
            }
            Verdict::Unsent => state.unsent += 1,
            Verdict::Refused => state.arrived += 1,
            Verdict::Failed(response) => {
                state.arrived += 1;
                state.ran += 1;
                state.last = Some(response);
                if !ask.route.kind.may_repeat() {
                    return state.give_up(shared, "the request may have run");
                }
            }
        }
        // Only refusals and lost connections leave nothing running.
        sent.set(state.ran > 0);
        state.tried.push(life);
        if !state.may_go_on(shared, ask) {
            return state.give_up(shared, "no target took the request");
        }
    }
}

/// Sends the request, and once more to another target if the answer takes long
/// and the request may run twice. The first answer counts.
async fn hedged(
    shared: &Rc<Shared>,
    ask: &Resolved,
    attempt: Attempt,
    state: &mut Attempts,
    sent: &Cell<bool>,
) -> Verdict {
    let life = attempt.life.clone();
    let delay = Duration::from_millis(ask.route.objective / 2);
    let mut first = std::pin::pin!(attempt.send(shared, ask, sent));
    if ask.key.is_some() || !ask.route.kind.may_repeat() || ask.route.attempts <= state.ran + 1 {
        return first.await;
    }
    if let Ok(verdict) = tokio::time::timeout(delay, first.as_mut()).await {
        return verdict;
    }
    let Some(other) = hedge(shared, ask, state, life) else {
        return first.await;
    };
    state.tried.push(other.life.clone());
    state.ran += 1;
    let mut second = std::pin::pin!(other.send(shared, ask, sent));
    let (verdict, is_first) = tokio::select! {
        verdict = first.as_mut() => (verdict, true),
        verdict = second.as_mut() => (verdict, false),
    };
    let last = match &verdict {
        Verdict::Answer(_) => return verdict,
        _ if is_first => second.await,
        _ => first.await,
    };
    combine(verdict, last)
}

/// Returns what two attempts came to: a request that may have run at one target
/// may have run, whatever the other target said.
fn combine(one: Verdict, other: Verdict) -> Verdict {
    match (one, other) {
        (Verdict::Answer(response), _) | (_, Verdict::Answer(response)) => {
            Verdict::Answer(response)
        }
        (Verdict::Failed(response), _) | (_, Verdict::Failed(response)) => {
            Verdict::Failed(response)
        }
        (Verdict::Refused, _) | (_, Verdict::Refused) => Verdict::Refused,
        (Verdict::Unsent, Verdict::Unsent) => Verdict::Unsent,
    }
}

/// Returns another target for a request that takes long, if one has a free slot
/// and the budget allows it.
fn hedge(shared: &Shared, ask: &Resolved, state: &Attempts, life: choice::Life) -> Option<Attempt> {
    let mut tried = state.tried.clone();
    tried.push(life);
    let excluded = Attempts {
        tried,
        ..Attempts::default()
    };
    let other = choose::pick(shared, ask, &excluded).ok()?;
    let requests = shared.choice.borrow().requests(&other.life, clock::now());
    if requests >= f64::from(other.slots()) || !budget::take_hedge(shared, &ask.service.name) {
        return None;
    }
    counters::count(&shared.counters.retries);
    Some(other)
}

#[derive(Default)]
struct Attempts {
    tried: Vec<choice::Life>,
    unsent: u32,
    arrived: u32,
    ran: u32,
    last: Option<http::Response<Body>>,
}

/// Connections that may fail before a request is given up.
const UNSENT: u32 = 4;

impl Attempts {
    fn may_go_on(&self, shared: &Shared, ask: &Resolved) -> bool {
        if self.unsent >= UNSENT || self.ran >= ask.route.attempts {
            return false;
        }
        let room = self.arrived == 0 || budget::take_retry(shared, &ask.service.name);
        if room && self.arrived > 0 {
            counters::count(&shared.counters.retries);
        }
        room
    }

    fn give_up(self, shared: &Shared, why: &'static str) -> http::Response<Body> {
        match self.last {
            Some(response) => {
                counters::count(&shared.counters.unknown);
                response
            }
            None => refuse(shared, why),
        }
    }
}
