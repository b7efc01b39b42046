//! Handling of one request: routing, choice of a target, retries and hedging.

mod attempt;
mod budget;
pub mod explain;
mod head;
mod response;
mod selection;
pub mod stop;

use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use self::attempt::{Attempt, AttemptResult};
pub use self::response::Body;
use crate::clock;
use crate::gateway::adapter;
use crate::gateway::catalog;
use crate::gateway::choice;
use crate::gateway::counters;
use crate::gateway::keys;
use crate::gateway::quarantine;
use crate::gateway::shared::Shared;
use crate::gateway::trace;

/// Timeout of a request that names none and whose route has none, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;

/// Part of the caller's timeout that is reserved for the return of the response, in
/// milliseconds.
const RESPONSE_MARGIN_MS: u64 = 20;

/// Limits the response margin of short timeouts to one part in this many.
const RESPONSE_MARGIN_DIVISOR: u64 = 8;

/// Time after which a refused caller may retry, in milliseconds.
const RETRY_AFTER_MS: u64 = 250;

/// Reason for refusing a request that is in quarantine.
const QUARANTINED: &str = "targets crashed in attempts of this request";

/// The work of a route without samples is assumed to be one part in this many of
/// its latency objective.
const INITIAL_WORK_DIVISOR: f64 = 3.0;

/// A hedge is sent after one part in this many of the route's latency objective.
const HEDGE_DELAY_DIVISOR: u64 = 2;

/// A request that was read and whose route and service are known.
pub(crate) struct ResolvedRequest {
    pub(crate) route: Rc<adapter::Route>,
    pub(crate) service: adapter::Service,
    pub(crate) key: Option<u16>,
    pub(crate) method: http::Method,
    /// Path and query.
    pub(crate) uri: http::Uri,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: Bytes,
    /// Time when the head was read.
    pub(crate) start: clock::Millis,
    /// Time when the body was complete.
    pub(crate) read_at: clock::Millis,
    pub(crate) deadline: clock::Millis,
    /// Expected processing time at a target of mean speed, in milliseconds.
    pub(crate) work_ms: f64,
    pub(crate) trace: Rc<trace::Trace>,
    /// Digest by which daemons recognise the same request, once it was needed.
    digest: OnceCell<quarantine::Digest>,
}

impl ResolvedRequest {
    /// Returns the digest by which daemons recognise the same request.
    pub(crate) fn digest(&self) -> quarantine::Digest {
        *self.digest.get_or_init(|| {
            let host = self.headers.get(http::header::HOST);
            let subject = quarantine::Subject {
                method: &self.method,
                host: host.and_then(|host| host.to_str().ok()).unwrap_or_default(),
                uri: &self.uri,
                key: self.key,
                body: &self.body,
            };
            subject.digest()
        })
    }

    /// Logs the end of the request.
    fn log_end(&self, shared: &Shared, status: http::StatusCode) {
        let id = self.headers.get(&shared.adapter.names().request);
        let notice = self.trace.notice().map(|notice| notice.to_string());
        log::debug!(
            request:? = id,
            route = &*self.route.name,
            status = status.as_u16(),
            notice = notice.unwrap_or_default().as_str(),
            read_ms = self.read_at.since(self.start),
            ms = clock::now().since(self.start);
            "request ended"
        );
    }
}

/// Counts a request and the bytes of its body as in progress until it is dropped.
/// A drop before the response records the request as abandoned by its caller.
struct RequestGuard<'s> {
    shared: &'s Shared,
    body_bytes: Cell<usize>,
    responded: Cell<bool>,
    trace: Rc<trace::Trace>,
}

impl<'s> RequestGuard<'s> {
    fn new(shared: &'s Shared, start: clock::Millis) -> Self {
        shared.in_flight.set(shared.in_flight.get() + 1);
        Self {
            shared,
            body_bytes: Cell::new(0),
            responded: Cell::new(false),
            trace: Rc::new(trace::Trace::new(start)),
        }
    }

    /// Counts bytes of the request's body.
    fn add_bytes(&self, bytes: usize) {
        self.body_bytes.set(self.body_bytes.get() + bytes);
        self.shared
            .body_bytes
            .set(self.shared.body_bytes.get() + bytes);
    }
}

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        let shared = self.shared;
        shared.in_flight.set(shared.in_flight.get() - 1);
        shared
            .body_bytes
            .set(shared.body_bytes.get() - self.body_bytes.get());
        if !self.responded.get() {
            counters::increment(&shared.counters.abandoned);
            shared.on_abandoned(&self.trace);
        }
    }
}

/// Serves one request and returns the response for the caller.
pub async fn serve(shared: Rc<Shared>, request: http::Request<Incoming>) -> http::Response<Body> {
    let start = clock::now();
    counters::increment(&shared.counters.requests);
    let guard = RequestGuard::new(&shared, start);
    let mut response = match read_request(&shared, &guard, request, start).await {
        Ok(request) => {
            let response = execute(&shared, &request).await;
            request.log_end(&shared, response.status());
            response
        }
        Err(refusal) => refusal.into_response(),
    };
    guard.responded.set(true);
    shared.on_response(&guard.trace, &response);
    if shared.stopping.get() {
        let close = http::HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
    response
}

/// Reason for refusing a request before it is sent to a target.
enum Refusal {
    /// The request is invalid; the response has this status and text.
    Invalid(u16, &'static str),
    /// The request can't be served now and may be retried later.
    Unavailable(&'static str),
}

impl Refusal {
    fn into_response(self) -> http::Response<Body> {
        match self {
            Self::Invalid(status, why) => response::client_error(status, why),
            Self::Unavailable(why) => response::refusal(why, RETRY_AFTER_MS),
        }
    }
}

/// Resolves the request's route and reads its body.
async fn read_request(
    shared: &Shared,
    guard: &RequestGuard<'_>,
    request: http::Request<Incoming>,
    start: clock::Millis,
) -> Result<ResolvedRequest, Refusal> {
    let Some(catalog) = shared.catalog.borrow().clone() else {
        return Err(Refusal::Unavailable("no configuration yet"));
    };
    let (parts, body) = request.into_parts();
    let host = head::host(&parts).ok_or(Refusal::Invalid(400, "a host is missing"))?;
    let route = catalog
        .resolve(host, parts.uri.path())
        .ok_or(Refusal::Invalid(404, "no route"))?;
    let route = Rc::clone(route);
    guard
        .trace
        .on_route(&route, parts.headers.get(&shared.adapter.names().request));
    if shared.client.memory().is_full() {
        return Err(Refusal::Unavailable("no memory for responses"));
    }
    let names = shared.adapter.names();
    let timeout = head::number(&parts.headers, &names.deadline).unwrap_or(DEFAULT_TIMEOUT_MS);
    let timeout = timeout.saturating_sub(RESPONSE_MARGIN_MS.min(timeout / RESPONSE_MARGIN_DIVISOR));
    let limit = timeout.min(route.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS));
    let body = read_body(shared, guard, &catalog, body);
    let body = tokio::time::timeout(Duration::from_millis(limit), body);
    let body = tokio::select! {
        biased;
        body = body => body.unwrap_or(Err(Refusal::Unavailable("the body did not arrive in time"))),
        () = stop::answer_time(shared) => Err(Refusal::Unavailable("the daemon stops")),
    }?;
    let service = pick_service(shared, &catalog, &route)?;
    let key = match service.keyed {
        true => Some(
            head::number(&parts.headers, &names.key)
                .and_then(|key| u16::try_from(key).ok())
                .ok_or({
                    Refusal::Invalid(400, "the key is missing or no number from 0 to 65535")
                })?,
        ),
        false => None,
    };
    let work_ms = expected_work(shared, &route);
    guard.trace.on_read();
    Ok(ResolvedRequest {
        headers: head::forwarded(&parts.headers, host, names),
        method: parts.method,
        uri: head::origin_form(&parts.uri),
        route,
        service,
        key,
        body,
        start,
        read_at: clock::now(),
        deadline: start + limit,
        work_ms,
        trace: Rc::clone(&guard.trace),
        digest: OnceCell::new(),
    })
}

/// Reads the body of a request, within the limits of its size and of the memory
/// for all bodies.
async fn read_body(
    shared: &Shared,
    guard: &RequestGuard<'_>,
    catalog: &catalog::Catalog,
    mut body: Incoming,
) -> Result<Bytes, Refusal> {
    let limit = catalog.limits().body_bytes;
    let memory = shared.settings.capacity.body_bytes();
    let mut bytes = bytes::BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Refusal::Invalid(400, "the body ended early"))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > limit {
            return Err(Refusal::Invalid(413, "the body is too long"));
        }
        guard.add_bytes(data.len());
        if shared.body_bytes.get() > memory {
            return Err(Refusal::Unavailable("no memory for the body"));
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}

/// Picks a service of the route, by the weights of its backends.
fn pick_service(
    shared: &Shared,
    catalog: &catalog::Catalog,
    route: &Rc<adapter::Route>,
) -> Result<adapter::Service, Refusal> {
    let mut distributions = shared.distributions.borrow_mut();
    let backend = distributions.pick(route);
    backend
        .and_then(|backend| catalog.service(&backend.service).cloned())
        .ok_or(Refusal::Unavailable("the route has no service"))
}

/// Returns the expected processing time of a route's requests, in milliseconds.
pub(crate) fn expected_work(shared: &Shared, route: &adapter::Route) -> f64 {
    let table = shared.work_times.borrow();
    let mean = table.get(&route.name).and_then(|work| work.mean());
    mean.unwrap_or(route.objective_ms.max(1) as f64 / INITIAL_WORK_DIVISOR)
}

/// Sends the request to targets until there is a response or its deadline passes.
async fn execute(shared: &Rc<Shared>, request: &ResolvedRequest) -> http::Response<Body> {
    let stop = *shared.stop.borrow();
    if stop.is_some_and(|stop| !stop.takes(clock::now(), request.deadline, request.work_ms)) {
        return refuse(shared, request, "the daemon stops");
    }
    budget::on_request(shared, &request.service.name);
    count_demand(shared, request);
    let timeout = Duration::from_millis(request.deadline.since(clock::now()));
    let sent = Cell::new(false);
    let (unknown, unsent) = tokio::select! {
        biased;
        response = tokio::time::timeout(timeout, try_targets(shared, request, &sent)) => {
            match response {
                Ok(response) => return response,
                Err(_) => ("no answer in time", "no target in time"),
            }
        }
        () = stop::answer_time(shared) => {
            ("no answer before the daemon stops", "no target before the daemon stops")
        }
    };
    if sent.get() {
        counters::increment(&shared.counters.unknown);
        return response::unknown_outcome(504, unknown);
    }
    refuse(shared, request, unsent)
}

/// Adds the work of a keyed request to the load of its key range, for the coordinator.
fn count_demand(shared: &Shared, request: &ResolvedRequest) {
    let Some(key) = request.key else {
        return;
    };
    let mut demand = shared.key_demand.borrow_mut();
    let buckets = demand.entry(request.service.name.clone()).or_default();
    *buckets.entry(key / keys::BUCKET_KEYS).or_default() += request.work_ms as f32;
}

/// Counts a request as refused, and returns the response.
fn refuse(shared: &Shared, request: &ResolvedRequest, why: &'static str) -> http::Response<Body> {
    counters::increment(&shared.counters.refused);
    let delay = selection::retry_after(shared, request, rand::random::<f64>());
    response::refusal(why, delay)
}

/// Sends the request to one target after the other until one responds, or no
/// further attempt is allowed. `sent` is set while the request may have run or may
/// be running at a target.
async fn try_targets(
    shared: &Rc<Shared>,
    request: &ResolvedRequest,
    sent: &Cell<bool>,
) -> http::Response<Body> {
    let mut state = AttemptState::default();
    loop {
        if let Some(delay) = shared.quarantined(request) {
            return state.give_up_for(shared, QUARANTINED, delay);
        }
        let chosen = match request.key {
            Some(key) => selection::wait_for_owner(shared, request, key, &state).await,
            None => match selection::pick_target(shared, request, &state) {
                Err(selection::NO_TARGET) => selection::pick_limited(shared, request, &state).await,
                chosen => chosen,
            },
        };
        let attempt = match chosen {
            Ok(attempt) => attempt,
            Err(why) => return state.give_up(shared, request, why),
        };
        if let Err(delay) = shared.admit(request) {
            return state.give_up_for(shared, QUARANTINED, delay);
        }
        let instance = attempt.instance.clone();
        match send_hedged(shared, request, attempt, &mut state, sent).await {
            AttemptResult::Response(response) => {
                counters::increment(&shared.counters.answered);
                return response;
            }
            AttemptResult::Unsent => state.unsent += 1,
            AttemptResult::Refused => state.delivered += 1,
            AttemptResult::Failed(response) => {
                state.delivered += 1;
                state.maybe_ran += 1;
                state.last_failure = Some(response);
                if !request.route.kind.is_retryable() {
                    return state.give_up(shared, request, "the request may have run");
                }
            }
        }
        // A refused or unsent request runs nowhere.
        sent.set(state.maybe_ran > 0);
        state.tried.push(instance);
        if !state.may_retry(shared, request) {
            return state.give_up(shared, request, "no target took the request");
        }
    }
}

/// Sends the request, and a hedge to another target if the response takes long and
/// the request may run twice. The first response is returned.
async fn send_hedged(
    shared: &Rc<Shared>,
    request: &ResolvedRequest,
    attempt: Attempt,
    state: &mut AttemptState,
    sent: &Cell<bool>,
) -> AttemptResult {
    let instance = attempt.instance.clone();
    let delay = Duration::from_millis(request.route.objective_ms / HEDGE_DELAY_DIVISOR);
    let mut first = std::pin::pin!(attempt.send(shared, request, sent));
    if request.key.is_some()
        || !request.route.kind.is_retryable()
        || request.route.attempts <= state.maybe_ran + 1
    {
        return first.await;
    }
    if let Ok(result) = tokio::time::timeout(delay, first.as_mut()).await {
        return result;
    }
    let Some(other) = choose_hedge(shared, request, state, instance) else {
        return first.await;
    };
    state.tried.push(other.instance.clone());
    state.maybe_ran += 1;
    let mut second = std::pin::pin!(other.send(shared, request, sent));
    let (result, is_first) = tokio::select! {
        result = first.as_mut() => (result, true),
        result = second.as_mut() => (result, false),
    };
    let last = match &result {
        AttemptResult::Response(_) => return result,
        _ if is_first => second.await,
        _ => first.await,
    };
    combine(result, last)
}

/// Combines the results of two attempts. A request that may have run at one target
/// may have run, whatever the other target reported.
fn combine(first: AttemptResult, second: AttemptResult) -> AttemptResult {
    match (first, second) {
        (AttemptResult::Response(response), _) | (_, AttemptResult::Response(response)) => {
            AttemptResult::Response(response)
        }
        (AttemptResult::Failed(response), _) | (_, AttemptResult::Failed(response)) => {
            AttemptResult::Failed(response)
        }
        (AttemptResult::Refused, _) | (_, AttemptResult::Refused) => AttemptResult::Refused,
        (AttemptResult::Unsent, AttemptResult::Unsent) => AttemptResult::Unsent,
    }
}

/// Returns another target for a hedge, if one has a free slot and the budget
/// allows it.
fn choose_hedge(
    shared: &Shared,
    request: &ResolvedRequest,
    state: &AttemptState,
    instance: choice::Instance,
) -> Option<Attempt> {
    let mut tried = state.tried.clone();
    tried.push(instance);
    let excluded = AttemptState {
        tried,
        is_hedge: true,
        ..AttemptState::default()
    };
    let other = selection::pick_target(shared, request, &excluded).ok()?;
    let requests = shared
        .choice
        .borrow()
        .requests(&other.instance, clock::now());
    if requests >= f64::from(other.slots())
        || shared.admit(request).is_err()
        || !budget::take_hedge(shared, &request.service.name)
    {
        return None;
    }
    counters::increment(&shared.counters.retries);
    Some(other)
}

/// Attempts of one request so far.
#[derive(Default)]
struct AttemptState {
    /// Targets that were tried.
    tried: Vec<choice::Instance>,
    /// Whether a target is looked for while another one has the request.
    is_hedge: bool,
    /// Attempts that sent nothing.
    unsent: u32,
    /// Attempts that targets refused, or that may have run.
    delivered: u32,
    /// Attempts that may have run, hedges included.
    maybe_ran: u32,
    /// Response to the last attempt that may have run.
    last_failure: Option<http::Response<Body>>,
}

/// Attempts that sent nothing after which a request is given up.
const MAX_UNSENT_ATTEMPTS: u32 = 4;

impl AttemptState {
    /// Returns whether the request may be sent again, and takes a retry from the
    /// budget if an earlier attempt reached a target.
    fn may_retry(&self, shared: &Shared, request: &ResolvedRequest) -> bool {
        if self.unsent >= MAX_UNSENT_ATTEMPTS || self.maybe_ran >= request.route.attempts {
            return false;
        }
        let allowed = self.delivered == 0 || budget::take_retry(shared, &request.service.name);
        if allowed && self.delivered > 0 {
            counters::increment(&shared.counters.retries);
        }
        allowed
    }

    /// Returns the last failure if the request may have run, else a refusal that asks the
    /// caller to come back after `delay` milliseconds.
    fn give_up_for(self, shared: &Shared, why: &'static str, delay: u64) -> http::Response<Body> {
        match self.last_failure {
            Some(response) => {
                counters::increment(&shared.counters.unknown);
                response
            }
            None => {
                counters::increment(&shared.counters.refused);
                counters::increment(&shared.counters.quarantined);
                response::refusal(why, delay)
            }
        }
    }

    /// Returns the last failure if the request may have run, else a refusal.
    fn give_up(
        self,
        shared: &Shared,
        request: &ResolvedRequest,
        why: &'static str,
    ) -> http::Response<Body> {
        match self.last_failure {
            Some(response) => {
                counters::increment(&shared.counters.unknown);
                response
            }
            None => refuse(shared, request, why),
        }
    }
}
