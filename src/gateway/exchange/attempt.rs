//! One attempt: a request that is sent to one target.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::clock;
use crate::gateway::adapter;
use crate::gateway::choice;
use crate::gateway::client;
use crate::gateway::counters;
use crate::gateway::exchange::response::{self, Body};
use crate::gateway::exchange::{ResolvedRequest, head, selection};
use crate::gateway::memory;
use crate::gateway::notices;
use crate::gateway::registry;
use crate::gateway::shared::Shared;
use crate::gateway::trace;

/// Timeout of connections to targets in this daemon's region, in milliseconds.
const REGION_CONNECT_TIMEOUT_MS: u64 = 200;

/// Timeout of connections to targets in other regions, in milliseconds.
const REMOTE_CONNECT_TIMEOUT_MS: u64 = 300;

/// Time within which each further part of a large response body has to arrive. Its
/// caller waits no longer for a target that stopped in the middle.
const PART_TIMEOUT: Duration = Duration::from_secs(10);

/// Chunks of a large response body that are buffered for the caller.
const BUFFERED_CHUNKS: usize = 4;

/// Result of an attempt.
pub(crate) enum AttemptResult {
    /// The target's response, for the caller.
    Response(http::Response<Body>),
    /// No connection could be opened, and nothing was sent.
    Unsent,
    /// The target refused the request without running it.
    Refused,
    /// The request may have run. The caller gets this response if the request is
    /// not retried.
    Failed(http::Response<Body>),
}

/// A target that was chosen for a request.
pub(crate) struct Attempt {
    pub(crate) instance: choice::Instance,
    target: Rc<registry::Target>,
    connect_timeout: Duration,
    /// Whether the request was counted against a limit that the target named.
    counted: bool,
}

/// Records the outcome of an attempt that was started. A drop before the outcome
/// is known records the attempt as abandoned.
struct AttemptGuard<'s> {
    shared: &'s Shared,
    instance: choice::Instance,
    work_ms: f64,
    trace: &'s trace::Trace,
    begin: clock::Millis,
    pending: Cell<bool>,
}

impl AttemptGuard<'_> {
    /// Records the outcome, and the load that the target reported.
    fn finish(&self, outcome: choice::AttemptOutcome, load: Option<adapter::LoadReport>) {
        self.pending.set(false);
        self.trace.on_attempt(&self.instance, self.begin, outcome);
        if let choice::AttemptOutcome::Answered(_) = outcome {
            let mut notices = self.shared.notices.borrow_mut();
            notices.on_served(&self.instance, clock::now());
        }
        let mut table = self.shared.choice.borrow_mut();
        table.on_end(&self.instance, outcome, self.work_ms, load, clock::now());
    }
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        if self.pending.get() {
            self.finish(choice::AttemptOutcome::Abandoned, None);
        }
    }
}

impl Attempt {
    /// Returns an attempt to send a request to `target`. `counted` says whether it was counted
    /// against the limit that the target named.
    pub(crate) fn new(shared: &Shared, target: &Rc<registry::Target>, counted: bool) -> Self {
        let same_region = shared.settings.region(&target.domain) == shared.region.as_ref();
        Self {
            instance: target.instance(),
            target: Rc::clone(target),
            connect_timeout: Duration::from_millis(if same_region {
                REGION_CONNECT_TIMEOUT_MS
            } else {
                REMOTE_CONNECT_TIMEOUT_MS
            }),
            counted,
        }
    }

    /// Returns the number of requests that the target runs concurrently, at least 1.
    pub(crate) fn slots(&self) -> u32 {
        self.target.slots.max(1)
    }

    /// Sends the request and classifies the response. `sent` is set before anything
    /// is sent.
    pub(crate) async fn send(
        self,
        shared: &Shared,
        request: &ResolvedRequest,
        sent: &Cell<bool>,
    ) -> AttemptResult {
        let Some(outgoing) = self.build_request(shared, request) else {
            return AttemptResult::Failed(response::client_error(
                400,
                "the request can't be passed on",
            ));
        };
        shared.choice.borrow_mut().on_start(&self.instance);
        let begin = clock::now();
        let guard = AttemptGuard {
            shared,
            instance: self.instance.clone(),
            work_ms: request.work_ms,
            trace: &request.trace,
            begin,
            pending: Cell::new(true),
        };
        sent.set(true);
        let peer = client::Peer {
            address: self.target.address,
            birth: self.target.birth,
        };
        let is_reusable = |headers: &http::HeaderMap| !is_mismatched(shared, request, headers);
        // A limit may have become known while a connection was opened.
        let may_send = || {
            selection::may_send(shared, request, &self.target)
                && (self.counted || shared.take_limited(&self.instance, clock::now()))
        };
        let response =
            shared
                .client
                .send(peer, outgoing, self.connect_timeout, may_send, is_reusable);
        let response = response.await;
        let time = clock::now().since(begin) as f64;
        match response {
            Err(client::Failure::Withdrawn) => {
                let now = clock::now();
                let standing = shared.standing(&self.instance, now);
                if let notices::Standing::Limited(_) = standing {
                    counters::increment(&shared.counters.limited);
                }
                request.trace.on_notice(standing.reason(now));
                log::debug!(
                    target_name = self.instance.target.as_str(), ms = time as u64;
                    "the target may no longer get the request, now that the connection is open"
                );
                guard.finish(choice::AttemptOutcome::Abandoned, None);
                AttemptResult::Unsent
            }
            Err(failure) if failure.is_unsent() => {
                guard.finish(choice::AttemptOutcome::Unreachable, None);
                AttemptResult::Unsent
            }
            Err(failure) => {
                if failure == client::Failure::Closed {
                    shared.on_closed(request, &self.instance, begin);
                }
                guard.finish(choice::AttemptOutcome::Failed, None);
                AttemptResult::Failed(response::unknown_outcome(
                    502,
                    "the target's answer was lost",
                ))
            }
            Ok(response) => classify(shared, request, response, &guard, time),
        }
    }

    /// Returns the request for the target, or `None` if a header of it would be
    /// invalid.
    fn build_request(
        &self,
        shared: &Shared,
        request: &ResolvedRequest,
    ) -> Option<http::Request<Bytes>> {
        let names = shared.adapter.names();
        let mut outgoing = http::Request::new(request.body.clone());
        *outgoing.method_mut() = request.method.clone();
        *outgoing.uri_mut() = request.uri.clone();
        let mut headers = request.headers.clone();
        let timeout = request.deadline.since(clock::now()).to_string();
        headers.insert(&names.deadline, timeout.parse().ok()?);
        headers.insert(&names.target, self.instance.target.as_str().parse().ok()?);
        *outgoing.headers_mut() = headers;
        Some(outgoing)
    }
}

/// Classifies a target's response that arrived after `time` milliseconds.
fn classify(
    shared: &Shared,
    request: &ResolvedRequest,
    response: http::Response<client::Body>,
    guard: &AttemptGuard<'_>,
    time: f64,
) -> AttemptResult {
    let names = shared.adapter.names();
    let headers = response.headers();
    let notice = shared.adapter.parse_notice(response.status(), headers);
    shared.on_notice(&guard.instance, notice);
    shared.on_limit(
        &guard.instance,
        headers,
        notice.limit,
        is_certain(shared, request, &response).then_some(guard.begin),
    );
    let refused = shared.adapter.is_not_executed(response.status(), headers);
    // A refusal may come from a target that did not read the identifier.
    let named = headers.contains_key(&names.request);
    if is_mismatched(shared, request, headers) && (named || !refused) {
        return fail(guard, "the answer belongs to another request");
    }
    let origin = response.extensions().get();
    let origin = origin.copied().unwrap_or(client::Origin::Early);
    match origin {
        client::Origin::Misframed => return fail(guard, "the answer's lengths disagree"),
        client::Origin::Early => return fail(guard, "the answer came before the request"),
        client::Origin::Later if refused && !named => {
            return fail(guard, "the refusal may belong to an earlier request");
        }
        client::Origin::First | client::Origin::Later => {}
    }
    shared
        .quarantine
        .borrow_mut()
        .on_response(&guard.instance, guard.begin);
    // Requests ask for no change of the protocol, so that 101 is not an answer to one.
    if response.status().is_informational() {
        return fail(guard, "the target changes the protocol");
    }
    let load = headers.get(&names.load);
    let load = load.and_then(|value| shared.adapter.parse_load(value.to_str().ok()?));
    if refused {
        guard.finish(choice::AttemptOutcome::Refused, load);
        return AttemptResult::Refused;
    }
    if response.status().is_server_error() || implies_not_run(response.status()) {
        guard.finish(choice::AttemptOutcome::Failed, load);
        return AttemptResult::Failed(forward_failure(response));
    }
    guard.finish(choice::AttemptOutcome::Answered(time), load);
    shared.on_run(request.digest());
    observe_work(shared, request, time, load);
    let memory = Arc::clone(shared.client.memory());
    let recorder = shared.truncation_recorder(&request.trace);
    AttemptResult::Response(forward_response(response, memory, recorder))
}

/// Ends an attempt whose response does not certainly answer the request.
fn fail(guard: &AttemptGuard<'_>, why: &'static str) -> AttemptResult {
    guard.finish(choice::AttemptOutcome::Failed, None);
    AttemptResult::Failed(response::unknown_outcome(502, why))
}

/// Returns whether a response has another request identifier than the request
/// that was sent.
fn is_mismatched(shared: &Shared, request: &ResolvedRequest, headers: &http::HeaderMap) -> bool {
    let name = &shared.adapter.names().request;
    headers.get(name) != request.headers.get(name)
}

/// Returns whether a response certainly comes from the target for this request. Status 421 may
/// come from another target at the same address.
fn is_certain(
    shared: &Shared,
    request: &ResolvedRequest,
    response: &http::Response<client::Body>,
) -> bool {
    let origin = response.extensions().get();
    let is_own = matches!(origin, Some(client::Origin::First | client::Origin::Later));
    let named = response
        .headers()
        .contains_key(&shared.adapter.names().request);
    is_own
        && named
        && !is_mismatched(shared, request, response.headers())
        && response.status() != http::StatusCode::MISDIRECTED_REQUEST
}

/// Returns whether callers conclude from a status that the request did not run.
fn implies_not_run(status: http::StatusCode) -> bool {
    matches!(
        status,
        http::StatusCode::REQUEST_TIMEOUT
            | http::StatusCode::TOO_MANY_REQUESTS
            | http::StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Updates the mean work of the route with the response time of a request that did
/// not queue, in milliseconds.
fn observe_work(
    shared: &Shared,
    request: &ResolvedRequest,
    time: f64,
    load: Option<adapter::LoadReport>,
) {
    if load.is_some_and(|load| load.waiting > 0) {
        return;
    }
    let slowness = load.map_or(1.0, |load| {
        f64::from(load.slowness_percent) / choice::USUAL_SLOWNESS_PERCENT
    });
    let mut table = shared.work_times.borrow_mut();
    let work = table.entry(request.route.name.clone()).or_default();
    work.observe(time / slowness.max(choice::MIN_SLOWNESS));
}

/// Returns a target's response as it is sent to the caller.
fn forward_response(
    response: http::Response<client::Body>,
    memory: Arc<memory::ResponseMemory>,
    recorder: trace::TruncationRecorder,
) -> http::Response<Body> {
    let (parts, body) = response.into_parts();
    let body = match body {
        client::Body::Whole(bytes) => Body::Whole(Some(bytes)),
        client::Body::Partial(first, rest) => stream_body(first, rest, memory, recorder),
    };
    let mut forwarded = http::Response::new(body);
    *forwarded.status_mut() = parts.status;
    *forwarded.headers_mut() = head::end_to_end(&parts.headers);
    forwarded
}

/// Returns a target's error response as it is sent to the caller. A status from
/// which callers conclude that the request did not run is replaced by 502, because
/// the target did not guarantee it. So is a response with a large body.
fn forward_failure(response: http::Response<client::Body>) -> http::Response<Body> {
    if implies_not_run(response.status()) {
        return response::unknown_outcome(502, "the target failed");
    }
    let (parts, body) = response.into_parts();
    let client::Body::Whole(bytes) = body else {
        return response::unknown_outcome(502, "the target failed");
    };
    let mut forwarded = http::Response::new(Body::Whole(Some(bytes)));
    *forwarded.status_mut() = parts.status;
    *forwarded.headers_mut() = head::end_to_end(&parts.headers);
    forwarded
}

/// Returns a body that forwards the chunks of a large response as they arrive, no faster than
/// the caller takes them. The target's connection is closed once the caller has left.
fn stream_body(
    first: Bytes,
    mut rest: client::Stream,
    memory: Arc<memory::ResponseMemory>,
    recorder: trace::TruncationRecorder,
) -> Body {
    let (sender, receiver) = tokio::sync::mpsc::channel(BUFFERED_CHUNKS);
    tokio::task::spawn_local(async move {
        let mut next = Some(Ok(first));
        while let Some(chunk) = next {
            if chunk.is_err() {
                recorder.record();
            }
            // The receiver is dropped if the caller left.
            if sender.send(chunk).await.is_err() {
                return;
            }
            let part = tokio::select! {
                biased;
                () = sender.closed() => return,
                part = tokio::time::timeout(PART_TIMEOUT, rest.next()) => part,
            };
            let part = part.unwrap_or(Some(Err(client::Failure::Broken)));
            next = part.map(|part| part.map(|bytes| memory.hold(bytes)));
        }
    });
    Body::Streamed(receiver)
}

impl Shared {
    /// Counts a response that ended before its body was complete.
    pub fn on_truncated(&self) {
        counters::increment(&self.counters.truncated);
    }
}
