//! One attempt at a caller's request: it is executed here if this daemon holds
//! the lease on the target, and otherwise forwarded to the lease holder.

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
use crate::daemon::retry::STATE_WAIT_MS;
use crate::forward;
use crate::model;
use crate::route;
use crate::server;
use crate::tables::{self, detour, requests};
use crate::token;

/// Time that a daemon waits for another daemon's answer beyond the caller's
/// deadline, so that the other daemon's refusal still arrives.
pub const ANSWER_MARGIN_MS: u64 = 100;

/// A caller's request without its body, and the route that it resolved to.
pub struct Call {
    /// Method, path and headers, and the token cancelled when the caller disconnects.
    pub request: Arc<server::Request>,
    /// Service, placement group, key and tenant.
    pub resolved: route::Resolved,
    /// Time at which the caller's deadline passes.
    pub deadline: clock::Millis,
    /// Request identifier.
    pub id: Arc<str>,
    /// Time at which handling of the request started.
    pub start: Instant,
}

/// The target that one attempt is sent to.
pub struct Destination {
    /// Name of the target.
    pub target: model::TargetName,
    /// Shard of the request's key, for keyed services.
    pub shard: Option<model::Shard>,
    /// Counts the attempt as outstanding at the target, for shared services.
    pub running: Option<route::choice::Running>,
}

/// Result of one attempt, with its entry for the list of recent requests.
pub struct Completion {
    /// The response, or the refusal if there is none.
    pub result: Result<server::Response, server::Refusal>,
    /// Entry for the list of recent requests.
    pub record: requests::Attempt,
}

impl tables::Shared {
    /// Chooses the target of an attempt. For shared services, targets in `tried`
    /// are chosen only if no other target is available.
    ///
    /// # Errors
    /// Fails if the key's shard has no owner, or no target of the group takes work.
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
                server::Refusal::not_run(server::Reason::NoOwner, detail).after(STATE_WAIT_MS)
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
            server::Refusal::not_run(server::Reason::NoOwner, detail).after(STATE_WAIT_MS)
        })
    }

    /// Chooses a target of a shared service that is not in `tried`, if any is available.
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

    /// Makes one attempt and updates the target's statistics. `token` is
    /// cancelled when the attempt's answer is no longer needed.
    pub fn attempt(
        self: &Arc<Self>,
        view: &tables::View,
        call: &Call,
        destination: Destination,
        content: forward::Content<'_>,
        token: &token::Token,
    ) -> Completion {
        let start = Instant::now();
        let mut result = self.dispatch(view, call, &destination, content, token);
        let times = (start.duration_since(call.start), call.start.elapsed());
        let record = outcome::record(&destination, &result, times);
        let outcome = outcome::for_target(&result, call.request.token.is_cancelled());
        if let Some((running, outcome)) = destination.running.zip(outcome) {
            running.finish(clock::now(), outcome, start.elapsed());
        }
        if let Ok(response) = &mut result {
            self.read_load(&destination.target, response);
        }
        Completion { result, record }
    }

    /// Records the target's load that the lease holder reports in a response, and
    /// removes the headers that carry it.
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

    /// Executes the attempt at this daemon if it holds the lease on the target,
    /// and otherwise forwards it to the lease holder.
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
            server::Refusal::not_run(server::Reason::Unreachable, detail).after(STATE_WAIT_MS)
        })?;
        if recipient.id != self.me {
            let context = (view.state.next, token);
            let length = content.length();
            let result = self.forward_to(&recipient, call, destination, context, content);
            let same_region =
                view.state.region(&recipient.host.domain) == Some(&self.settings.region);
            self.count_forwarded(same_region, length, &result);
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

    /// Counts the bytes of a forwarded request and its response.
    fn count_forwarded(
        &self,
        same_region: bool,
        sent_bytes: u64,
        result: &Result<server::Response, server::Refusal>,
    ) {
        let received_bytes = result.as_ref().map_or(0, |response| match &response.body {
            server::Body::Whole(data) => data.len() as u64,
            server::Body::Stream(_, length) => length.unwrap_or_default(),
        });
        let counter = match same_region {
            true => &self.metrics.near,
            false => &self.metrics.far,
        };
        counter.inc_by(sent_bytes + received_bytes);
    }

    /// Forwards the attempt to the lease holder. `offset` is the next offset of
    /// this daemon's state.
    fn forward_to(
        &self,
        recipient: &detour::Recipient<'_>,
        call: &Call,
        destination: &Destination,
        (offset, token): (model::Offset, &token::Token),
        content: forward::Content<'_>,
    ) -> Result<server::Response, server::Refusal> {
        let left_ms = refusal::time_left(call.deadline, clock::now())?;
        let extra = headers::for_holder(call, destination, offset, left_ms);
        let outbound = forward::Outbound {
            method: &call.request.method,
            path: &call.request.target,
            headers: &call.request.headers,
            extra: &extra,
            content,
        };
        let timeout = clock::duration(left_ms + ANSWER_MARGIN_MS);
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
            .read_small(hold::MAX_BUFFERED_RESPONSE_BYTES)
            .map_err(|error| {
                let detail = format!("the answer was cut: {error}");
                server::Refusal::unknown(server::Reason::BadResponse, detail)
            })?;
        let length = inbound.body.length();
        let body = match small {
            Some(data) => server::Body::Whole(data),
            None => {
                let (reader, deadline) = (inbound.body, call.deadline);
                let relayed = delivery::RelayedBody { reader, deadline };
                server::Body::Stream(Box::new(relayed), length)
            }
        };
        let mut response = server::Response::new(inbound.status, body);
        response.headers = inbound.headers;
        Ok(response)
    }
}

/// Returns the content of an outbound request whose whole body is in memory.
pub fn content(body: &Bytes) -> forward::Content<'_> {
    match body.is_empty() {
        true => forward::Content::Empty,
        false => forward::Content::Whole(body),
    }
}
