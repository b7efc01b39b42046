//! One request sent to one target.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;

use crate::clock;
use crate::gateway::choice;
use crate::gateway::client;
use crate::gateway::counters;
use crate::gateway::dialect;
use crate::gateway::exchange::reply::{self, Body};
use crate::gateway::exchange::{Resolved, head};
use crate::gateway::registry;
use crate::gateway::shared::Shared;
use crate::gateway::trace;

/// Longest time for a connection within a region, in milliseconds.
const CONNECT_NEAR: u64 = 200;

/// Longest time for a connection between regions, in milliseconds.
const CONNECT_FAR: u64 = 300;

/// Parts of a large body that wait for the caller.
const PARTS: usize = 4;

/// What an attempt came to.
pub(crate) enum Verdict {
    /// The target's answer.
    Answer(http::Response<Body>),
    /// Nothing was sent.
    Unsent,
    /// The target refused the request and did not run it.
    Refused,
    /// The request may have run; this is the answer if it is not sent again.
    Failed(http::Response<Body>),
}

/// A target that was chosen for a request.
pub(crate) struct Attempt {
    pub(crate) life: choice::Life,
    target: Rc<registry::Target>,
    connect: Duration,
}

/// Reports the end of a request that is dropped before its answer.
struct Started<'s> {
    shared: &'s Shared,
    life: choice::Life,
    work: f64,
    trace: &'s trace::Trace,
    begin: clock::Millis,
    open: Cell<bool>,
}

impl Started<'_> {
    fn end(&self, end: choice::End, load: Option<dialect::Load>) {
        self.open.set(false);
        self.trace.on_attempt(&self.life, self.begin, end);
        let mut table = self.shared.choice.borrow_mut();
        table.on_end(&self.life, end, self.work, load, clock::now());
    }
}

impl Drop for Started<'_> {
    fn drop(&mut self) {
        if self.open.get() {
            self.end(choice::End::Abandoned, None);
        }
    }
}

impl Attempt {
    pub(crate) fn new(shared: &Shared, target: &Rc<registry::Target>) -> Self {
        let near = shared.settings.region(&target.domain) == shared.region.as_ref();
        Self {
            life: choice::Life {
                target: target.name.clone(),
                birth: target.birth,
            },
            target: Rc::clone(target),
            connect: Duration::from_millis(if near { CONNECT_NEAR } else { CONNECT_FAR }),
        }
    }

    /// Returns the requests that the target serves at a time.
    pub(crate) fn slots(&self) -> u32 {
        self.target.slots.max(1)
    }

    /// Sends the request and judges the answer. `sent` is set before anything is sent.
    pub(crate) async fn send(self, shared: &Shared, ask: &Resolved, sent: &Cell<bool>) -> Verdict {
        let Some(request) = self.request(shared, ask) else {
            return Verdict::Failed(reply::fault(400, "the request can't be passed on"));
        };
        shared.choice.borrow_mut().on_start(&self.life);
        let begin = clock::now();
        let started = Started {
            shared,
            life: self.life.clone(),
            work: ask.work,
            trace: &ask.trace,
            begin,
            open: Cell::new(true),
        };
        sent.set(true);
        let peer = client::Peer {
            address: self.target.address,
            birth: self.target.birth,
        };
        let keep = |headers: &http::HeaderMap| !is_other(shared, ask, headers);
        let answer = shared.client.send(peer, request, self.connect, keep);
        let answer = answer.await;
        let time = clock::now().since(begin) as f64;
        match answer {
            Err(failure) if failure.is_unsent() => {
                started.end(choice::End::Unreachable, None);
                Verdict::Unsent
            }
            Err(_) => {
                started.end(choice::End::Failed, None);
                Verdict::Failed(reply::unknown(502, "the target's answer was lost"))
            }
            Ok(response) => judge(shared, ask, response, &started, time),
        }
    }

    fn request(&self, shared: &Shared, ask: &Resolved) -> Option<http::Request<Bytes>> {
        let names = shared.dialect.names();
        let mut request = http::Request::new(ask.body.clone());
        *request.method_mut() = ask.method.clone();
        *request.uri_mut() = ask.target.clone();
        let mut headers = ask.headers.clone();
        let left = ask.end.since(clock::now()).to_string();
        headers.insert(&names.deadline, left.parse().ok()?);
        headers.insert(&names.target, self.life.target.as_str().parse().ok()?);
        *request.headers_mut() = headers;
        Some(request)
    }
}

fn judge(
    shared: &Shared,
    ask: &Resolved,
    response: http::Response<client::Body>,
    started: &Started<'_>,
    time: f64,
) -> Verdict {
    let names = shared.dialect.names();
    let headers = response.headers();
    let refused = shared.dialect.is_refusal(response.status(), headers);
    let anonymous = refused && !headers.contains_key(&names.request);
    if is_other(shared, ask, headers) && !anonymous {
        started.end(choice::End::Failed, None);
        return Verdict::Failed(reply::unknown(502, "the answer belongs to another request"));
    }
    let load = headers.get(&names.load);
    let load = load.and_then(|value| shared.dialect.load(value.to_str().ok()?));
    if refused {
        started.end(choice::End::Refused, load);
        return Verdict::Refused;
    }
    if response.status().is_server_error() || promises(response.status()) {
        started.end(choice::End::Failed, load);
        return Verdict::Failed(pass_failure(response));
    }
    started.end(choice::End::Answered(time), load);
    learn(shared, ask, time, load);
    Verdict::Answer(pass(response, shared.watch_cut(&ask.trace)))
}

/// Returns whether an answer names another request than the one that was sent.
fn is_other(shared: &Shared, ask: &Resolved, headers: &http::HeaderMap) -> bool {
    let name = &shared.dialect.names().request;
    headers.get(name) != ask.headers.get(name)
}

/// Returns whether a status promises callers that nothing has run.
fn promises(status: http::StatusCode) -> bool {
    matches!(
        status,
        http::StatusCode::REQUEST_TIMEOUT
            | http::StatusCode::TOO_MANY_REQUESTS
            | http::StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Learns how long a route's requests take, from answers that did not wait.
fn learn(shared: &Shared, ask: &Resolved, time: f64, load: Option<dialect::Load>) {
    if load.is_some_and(|load| load.waiting > 0) {
        return;
    }
    let slowness = load.map_or(1.0, |load| f64::from(load.slowness) / 100.0);
    let mut table = shared.work.borrow_mut();
    let work = table.entry(ask.route.name.clone()).or_default();
    work.learn(time / slowness.max(0.2));
}

/// Passes a target's answer on.
fn pass(response: http::Response<client::Body>, cut: trace::Cut) -> http::Response<Body> {
    let (parts, body) = response.into_parts();
    let body = match body {
        client::Body::Whole(bytes) => Body::Whole(Some(bytes)),
        client::Body::Partial(first, rest) => relay(first, rest, cut),
    };
    let mut passed = http::Response::new(body);
    *passed.status_mut() = parts.status;
    *passed.headers_mut() = head::end_to_end(&parts.headers);
    passed
}

/// Passes a target's failure on. A status that promises that nothing ran is
/// replaced, since the target did not say so.
fn pass_failure(response: http::Response<client::Body>) -> http::Response<Body> {
    if promises(response.status()) {
        return reply::unknown(502, "the target failed");
    }
    let (parts, body) = response.into_parts();
    let client::Body::Whole(bytes) = body else {
        return reply::unknown(502, "the target failed");
    };
    let mut passed = http::Response::new(Body::Whole(Some(bytes)));
    *passed.status_mut() = parts.status;
    *passed.headers_mut() = head::end_to_end(&parts.headers);
    passed
}

/// Passes the rest of a large body on while it arrives.
fn relay(first: Bytes, mut rest: client::Stream, cut: trace::Cut) -> Body {
    let (sender, receiver) = tokio::sync::mpsc::channel(PARTS);
    tokio::task::spawn_local(async move {
        let mut part = Some(Ok(first));
        while let Some(data) = part {
            if data.is_err() {
                cut.record();
            }
            // The caller has left if nobody receives.
            if sender.send(data).await.is_err() {
                return;
            }
            part = rest.next().await;
        }
    });
    Body::Parts(receiver)
}

impl Shared {
    /// Counts an answer that was cut off.
    pub fn on_cut(&self) {
        counters::count(&self.counters.cut);
    }
}
