//! One attempt to have a caller's request answered by a target's lease holder.

use std::sync::Arc;
use std::time::Instant;

use http::{HeaderName, HeaderValue};

use crate::admin::requests;
use crate::clock;
use crate::daemon::delivery;
use crate::daemon::detour;
use crate::daemon::header;
use crate::daemon::hold;
use crate::daemon::recall;
use crate::daemon::retry::WAIT;
use crate::daemon::shared::{Shared, View};
use crate::forward;
use crate::model;
use crate::route;
use crate::server;
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
pub struct Aim {
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

impl Shared {
    /// Returns where an attempt goes that avoids the targets `tried`, if others are left.
    ///
    /// # Errors
    /// Fails if no target may serve the request.
    pub fn aim(
        &self,
        view: &View,
        call: &Call,
        tried: &[model::TargetName],
    ) -> Result<Aim, server::Refusal> {
        let group = &call.resolved.group;
        if let Some(key) = call.resolved.key {
            let (shard, owner) = view.state.owner(group, key).ok_or_else(|| {
                let detail = format!("no target owns this key's shard of {group}");
                server::Refusal::not_run(server::Reason::NoOwner, detail).after(WAIT)
            })?;
            return Ok(Aim {
                target: owner.target.clone(),
                shard: Some(shard),
                running: None,
            });
        }
        let other = self.aim_elsewhere(view, call, tried);
        let any = || self.aim_elsewhere(view, call, &[]);
        other.or_else(any).ok_or_else(|| {
            let detail = format!("no target of {group} takes work");
            server::Refusal::not_run(server::Reason::NoOwner, detail).after(WAIT)
        })
    }

    /// Returns a target of a shared service that is not among `tried`.
    pub fn aim_elsewhere(
        &self,
        view: &View,
        call: &Call,
        tried: &[model::TargetName],
    ) -> Option<Aim> {
        let candidates = view.candidates(&call.resolved.group);
        let (policy, now) = (self.settings.policy.choice, clock::now());
        let running = self
            .choice
            .choose(&candidates, policy, &mut rand::rng(), now, tried)?;
        Some(Aim {
            target: running.target().clone(),
            shard: None,
            running: Some(running),
        })
    }

    /// Carries out one attempt. `token` is cancelled when nobody waits for its
    /// answer any more.
    pub fn attempt(
        self: &Arc<Self>,
        view: &View,
        call: &Call,
        aim: Aim,
        content: forward::Content<'_>,
        token: &token::Token,
    ) -> Ended {
        let start = Instant::now();
        let mut result = self.dispatch(view, call, &aim, content, token);
        let record = record(call, &aim, &result, start);
        if let Some(running) = aim.running {
            finish(running, call, &result, start);
        }
        if let Ok(response) = &mut result {
            self.read_load(&aim.target, response);
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
        view: &View,
        call: &Call,
        aim: &Aim,
        content: forward::Content<'_>,
        token: &token::Token,
    ) -> Result<server::Response, server::Refusal> {
        let seat = self.detours.seat(&view.state, &aim.target);
        let seat = seat.ok_or_else(|| {
            let detail = format!("no daemon holds the lease on {}", aim.target);
            server::Refusal::not_run(server::Reason::Unreachable, detail).after(WAIT)
        })?;
        if seat.id != self.me {
            let sent = (view.state.next, token);
            let length = content.length();
            let result = self.forward_to(&seat, call, aim, sent, content);
            let near = view.state.region(&seat.host.domain) == Some(&self.settings.region);
            self.count_forwarded(near, length, &result);
            return result;
        }
        let order = hold::Order {
            target: &aim.target,
            group: call.resolved.group.clone(),
            shard: aim.shard,
            tenant: call.resolved.tenant,
            deadline: call.deadline,
            id: &call.id,
            method: &call.request.method,
            path: &call.request.target,
            headers: &call.request.headers,
            token,
        };
        let result = self.execute(&order, content);
        result.map_err(|refusal| self.detours.on_refusal(&aim.target, &seat, refusal))
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
        seat: &detour::Seat<'_>,
        call: &Call,
        aim: &Aim,
        (offset, token): (model::Offset, &token::Token),
        content: forward::Content<'_>,
    ) -> Result<server::Response, server::Refusal> {
        let left = call.deadline.since(clock::now());
        if left == 0 {
            return Err(server::Refusal::not_run(
                server::Reason::Deadline,
                "the deadline has passed",
            ));
        }
        let extra = forward_headers(call, aim, offset, left);
        let outbound = forward::Outbound {
            method: &call.request.method,
            path: &call.request.target,
            headers: &call.request.headers,
            extra: &extra,
            content,
        };
        let timeout = clock::duration(left + ANSWER_MARGIN);
        let abort = forward::Abort::from(token.clone());
        let peer = seat.host.peer;
        let mut inbound = self
            .forward
            .send(peer, outbound, timeout, || true, &abort)
            .map_err(|failure| {
                if failure.cause == forward::Cause::Timeout && failure.reused {
                    self.forward.reset(peer);
                }
                self.detours.on_failure(&aim.target, seat, &failure);
                unanswered(&aim.target, &failure)
            })?;
        if let Some(refusal) = server::Refusal::from_response(inbound.status, &inbound.headers) {
            return Err(self.detours.on_refusal(&aim.target, seat, refusal));
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

/// Counts the end of an attempt at its target.
fn finish(
    running: route::choice::Running,
    call: &Call,
    result: &Result<server::Response, server::Refusal>,
    start: Instant,
) {
    let outcome = match result.as_ref().map_err(|refusal| refusal.reason) {
        Ok(_) => route::choice::Outcome::Answered,
        Err(server::Reason::Shed | server::Reason::Overloaded | server::Reason::TargetCold) => {
            route::choice::Outcome::Shed
        }
        // Dropping it counts it as abandoned, since the caller went away.
        Err(server::Reason::Cancelled) if call.request.token.is_cancelled() => return,
        Err(server::Reason::Cancelled) => route::choice::Outcome::Overtaken,
        Err(_) => route::choice::Outcome::Failed,
    };
    running.finish(clock::now(), outcome, start.elapsed());
}

fn record(
    call: &Call,
    aim: &Aim,
    result: &Result<server::Response, server::Refusal>,
    start: Instant,
) -> requests::Attempt {
    let (outcome, reason) = recall::End::from(result).names();
    requests::Attempt {
        target: aim.target.clone(),
        shard: aim.shard,
        outcome: outcome.into(),
        reason: reason.into(),
        start_us: start.duration_since(call.start).as_micros() as u64,
        end_us: call.start.elapsed().as_micros() as u64,
    }
}

fn forward_headers(
    call: &Call,
    aim: &Aim,
    offset: model::Offset,
    left: u64,
) -> Vec<(HeaderName, HeaderValue)> {
    let mut extra = vec![
        (header::REQUEST_ID, header::value(&call.id)),
        (header::TIMEOUT, HeaderValue::from(left)),
        (header::ROUTE_TARGET, header::value(aim.target.as_str())),
        (
            header::ROUTE_GROUP,
            header::value(&call.resolved.group.to_string()),
        ),
        (
            header::ROUTE_TENANT,
            HeaderValue::from(call.resolved.tenant),
        ),
        (header::ROUTE_OFFSET, HeaderValue::from(offset.0)),
    ];
    if let Some(shard) = aim.shard {
        extra.push((header::ROUTE_SHARD, header::value(&shard.to_string())));
    }
    extra
}

fn unanswered(target: &model::TargetName, failure: &forward::Failure) -> server::Refusal {
    let detail = format!("lease holder of {target}: {}", failure.cause);
    match failure.outcome {
        forward::Outcome::NotRun => match failure.cause {
            forward::Cause::Cancelled => {
                server::Refusal::not_run(server::Reason::Cancelled, detail)
            }
            _ => server::Refusal::not_run(server::Reason::Unreachable, detail).after(WAIT),
        },
        forward::Outcome::Unknown => {
            let reason = match failure.cause {
                forward::Cause::Timeout => server::Reason::Deadline,
                forward::Cause::Cancelled => server::Reason::Cancelled,
                _ => server::Reason::ConnectionLost,
            };
            server::Refusal::unknown(reason, detail)
        }
    }
}
