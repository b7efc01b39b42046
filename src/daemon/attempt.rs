//! One attempt to have a caller's request answered by a target's lease holder.

mod headers;
mod outcome;

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;

use crate::clock;
use crate::daemon::delivery;
use crate::daemon::header;
use crate::daemon::hold;
use crate::daemon::refusal;
use crate::daemon::retry::WAIT;
use crate::forward;
use crate::model;
use crate::route;
use crate::server;
use crate::tables::{self, detour, requests};
use crate::token;

/// Time by which the wait for another daemon's answer exceeds the deadline,
/// so that its refusal arrives, in milliseconds.
pub const ANSWER_MARGIN: u64 = 100;

/// A caller's request with what was resolved for it. Its body is kept apart.
pub struct Call {
    /// The request.
    pub request: Arc<server::Request>,
    /// What was resolved.
    pub resolved: route::Resolved,
    /// Time at which the caller's deadline passes.
    pub deadline: clock::Millis,
    /// Request identifier.
    pub id: Arc<str>,
    /// When the request arrived.
    pub start: Instant,
}

/// Where one attempt goes.
pub struct Destination {
    /// The target.
    pub target: model::TargetName,
    /// Shard, for keyed services.
    pub shard: Option<model::Shard>,
    /// Counts the attempt at the target, for shared services.
    pub running: Option<route::choice::Running>,
}

/// How one attempt ended.
pub struct Ended {
    /// The response or why there is none.
    pub result: Result<server::Response, server::Refusal>,
    /// Entry for the list of recent requests.
    pub record: requests::Attempt,
}

impl tables::Shared {
    /// Returns where an attempt goes that avoids the targets `tried`, if others are left.
    ///
    /// # Errors
    /// Fails if no target may serve the request.
    pub fn destination(
        &self,
        view: &tables::View,
        call: &Call,
        tried: &[model::TargetName],
    ) -> Result<Destination, server::Refusal> {
        let group = &call.resolved.group;
        if let Some(key) = call.resolved.key {
            let (shard, owner) = view.state.owner(group, key).ok_or_else(|| {
                let detail = format!("no target owns this key's shard of {group}");
                server::Refusal::not_run(server::Reason::NoOwner, detail).after(WAIT)
            })?;
            return Ok(Destination {
                target: owner.target.clone(),
                shard: Some(shard),
                running: None,
            });
        }
        let other = self.other_destination(view, call, tried);
        let any = || self.other_destination(view, call, &[]);
        other.or_else(any).ok_or_else(|| {
            let detail = format!("no target of {group} takes work");
            server::Refusal::not_run(server::Reason::NoOwner, detail).after(WAIT)
        })
    }

    /// Returns a target of a shared service that is not among `tried`.
    pub fn other_destination(
        &self,
        view: &tables::View,
        call: &Call,
        tried: &[model::TargetName],
    ) -> Option<Destination> {
        let candidates = view.candidates(&call.resolved.group);
        let (policy, now) = (self.settings.policy.choice, clock::now());
        let running = self
            .choice
            .choose(&candidates, policy, &mut rand::rng(), now, tried)?;
        Some(Destination {
            target: running.target().clone(),
            shard: None,
            running: Some(running),
        })
    }

    /// Carries out one attempt. `token` is cancelled when nobody waits for its
    /// answer any more.
    pub fn attempt(
        self: &Arc<Self>,
        view: &tables::View,
        call: &Call,
        destination: Destination,
        content: forward::Content<'_>,
        token: &token::Token,
    ) -> Ended {
        let start = Instant::now();
        let mut result = self.dispatch(view, call, &destination, content, token);
        let times = (start.duration_since(call.start), call.start.elapsed());
        let record = outcome::record(&destination, &result, times);
        let outcome = outcome::at_target(&result, call.request.token.is_cancelled());
        if let Some((running, outcome)) = destination.running.zip(outcome) {
            running.finish(clock::now(), outcome, start.elapsed());
        }
        if let Ok(response) = &mut result {
            self.read_load(&destination.target, response);
        }
        Ended { result, record }
    }

    /// Takes what the holder says about its target's load out of a response.
    fn read_load(&self, target: &model::TargetName, response: &mut server::Response) {
        let now = clock::now();
        if let Some(queued) = header::text(&response.headers, &header::TARGET_QUEUE) {
            self.choice.report(target, queued.parse().unwrap_or(0), now);
        }
        if let Some(load) = header::text(&response.headers, &header::TARGET_LOAD) {
            let load = load.parse().unwrap_or_default();
            self.loads.lock().insert(target.clone(), (load, now));
        }
        response.headers.remove(header::TARGET_QUEUE);
        response.headers.remove(header::TARGET_LOAD);
    }

    fn dispatch(
        self: &Arc<Self>,
        view: &tables::View,
        call: &Call,
        destination: &Destination,
        content: forward::Content<'_>,
        token: &token::Token,
    ) -> Result<server::Response, server::Refusal> {
        let recipient = self.detours.recipient(&view.state, &destination.target);
        let recipient = recipient.ok_or_else(|| {
            let detail = format!("no daemon holds the lease on {}", destination.target);
            server::Refusal::not_run(server::Reason::Unreachable, detail).after(WAIT)
        })?;
        if recipient.id != self.me {
            let sent = (view.state.next, token);
            let length = content.length();
            let result = self.forward_to(&recipient, call, destination, sent, content);
            let near = view.state.region(&recipient.host.domain) == Some(&self.settings.region);
            self.count_forwarded(near, length, &result);
            return result;
        }
        let order = hold::Order {
            target: &destination.target,
            group: call.resolved.group.clone(),
            shard: destination.shard,
            tenant: call.resolved.tenant,
            deadline: call.deadline,
            id: &call.id,
            method: &call.request.method,
            path: &call.request.target,
            headers: &call.request.headers,
            token,
        };
        let result = self.execute(&order, content);
        result.map_err(|refusal| {
            self.detours
                .on_refusal(&destination.target, &recipient, refusal)
        })
    }

    fn count_forwarded(
        &self,
        near: bool,
        sent: u64,
        result: &Result<server::Response, server::Refusal>,
    ) {
        let received = result.as_ref().map_or(0, |response| match &response.body {
            server::Body::Whole(data) => data.len() as u64,
            server::Body::Stream(_, length) => length.unwrap_or_default(),
        });
        let counter = match near {
            true => &self.metrics.near,
            false => &self.metrics.far,
        };
        counter.inc_by(sent + received);
    }

    fn forward_to(
        &self,
        recipient: &detour::Recipient<'_>,
        call: &Call,
        destination: &Destination,
        (offset, token): (model::Offset, &token::Token),
        content: forward::Content<'_>,
    ) -> Result<server::Response, server::Refusal> {
        let left = refusal::time_left(call.deadline, clock::now())?;
        let extra = headers::for_holder(call, destination, offset, left);
        let outbound = forward::Outbound {
            method: &call.request.method,
            path: &call.request.target,
            headers: &call.request.headers,
            extra: &extra,
            content,
        };
        let timeout = clock::duration(left + ANSWER_MARGIN);
        let abort = forward::Abort::from(token.clone());
        let peer = recipient.host.peer;
        let mut inbound = self
            .forward
            .send(peer, outbound, timeout, || true, &abort)
            .map_err(|failure| {
                if failure.cause == forward::Cause::Timeout && failure.reused {
                    self.forward.reset(peer);
                }
                self.detours
                    .on_failure(&destination.target, recipient, &failure);
                refusal::from_holder_failure(&destination.target, &failure)
            })?;
        if let Some(refusal) = server::Refusal::from_response(inbound.status, &inbound.headers) {
            return Err(self
                .detours
                .on_refusal(&destination.target, recipient, refusal));
        }
        let small = inbound
            .body
            .read_small(hold::SMALL_RESPONSE)
            .map_err(|error| {
                let detail = format!("the answer was cut: {error}");
                server::Refusal::unknown(server::Reason::BadResponse, detail)
            })?;
        let length = inbound.body.length();
        let body = match small {
            Some(data) => server::Body::Whole(data),
            None => {
                let (reader, deadline) = (inbound.body, call.deadline);
                let relayed = delivery::Relayed { reader, deadline };
                server::Body::Stream(Box::new(relayed), length)
            }
        };
        let mut response = server::Response::new(inbound.status, body);
        response.headers = inbound.headers;
        Ok(response)
    }
}

/// Returns what is sent of a body that is held whole.
pub fn content(body: &Bytes) -> forward::Content<'_> {
    match body.is_empty() {
        true => forward::Content::Empty,
        false => forward::Content::Whole(body),
    }
}
