//! The lease holder's side of a request: the last checks, admission and sending.

use std::cell::Cell;
use std::io::{self, Read};
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{HeaderName, HeaderValue};

use crate::clock;
use crate::daemon::delivery;
use crate::daemon::header;
use crate::daemon::keeper;
use crate::daemon::shared::Shared;
use crate::forward;
use crate::model;
use crate::route;
use crate::server;
use crate::target;
use crate::target::admission;
use crate::token;

/// Largest response body that is held whole, in bytes; larger ones are streamed.
pub const SMALL_RESPONSE: u64 = 64 << 10;

/// Time after a request's deadline at which its target has ended it at the
/// latest, in milliseconds: the request may have been that long on its way.
const SETTLE: u64 = 200;

/// A request for one target, at the daemon that holds the target's lease.
pub struct Order<'a> {
    /// The target.
    pub target: &'a model::TargetName,
    /// Placement group, which carries the request's home regions.
    pub group: Arc<model::GroupId>,
    /// Shard, for keyed services.
    pub shard: Option<model::Shard>,
    /// Hash of the tenant, 0 if there is none.
    pub tenant: u64,
    /// Time at which the request's deadline passes.
    pub deadline: clock::Millis,
    /// Request identifier.
    pub id: &'a str,
    /// Method.
    pub method: &'a http::Method,
    /// Path and query.
    pub path: &'a http::uri::PathAndQuery,
    /// Headers of the caller.
    pub headers: &'a http::HeaderMap,
    /// Cancelled when nobody waits for the answer any more.
    pub token: &'a token::Token,
}

/// A request that a target may be running.
struct Held {
    permit: admission::Permit,
    keeper: Arc<keeper::Keeper>,
    id: Arc<str>,
    deadline: clock::Millis,
    start: Instant,
}

impl Held {
    fn finish(self, outcome: admission::Outcome) {
        self.permit.finish(outcome, self.start.elapsed());
    }

    /// Has the target cancel the request, whose slot stays taken until that is
    /// confirmed or its deadline has passed: the target may still run it.
    fn give_up(self) {
        let until = clock::now().max(self.deadline) + SETTLE;
        let unsettled = self.permit.give_up(until);
        self.keeper.cancel(&self.id, Some(unsettled));
    }
}

impl Order<'_> {
    fn checked(&self) -> target::order::Order<'_> {
        target::order::Order {
            target: self.target,
            group: &self.group,
            shard: self.shard,
        }
    }
}

/// Body of a target's response; frees the target's slot when it has ended.
struct HeldReply {
    shared: Arc<Shared>,
    reply: forward::Reply,
    held: Option<Held>,
    outcome: admission::Outcome,
}

impl HeldReply {
    fn cut(&self, held: &Held, error: &io::Error) -> delivery::Cut {
        let target = &held.keeper.target;
        log::debug!("reading the answer of {target} failed: {error}");
        let left = held.deadline.since(clock::now());
        delivery::Cut::classify(error, left, || match self.shared.may_act(target) {
            Ok(_) => delivery::Cut::TargetEnded,
            Err(_) => delivery::Cut::RightLost,
        })
    }
}

impl Drop for HeldReply {
    fn drop(&mut self) {
        if let Some(held) = self.held.take() {
            held.give_up();
        }
    }
}

impl Read for HeldReply {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        match self.reply.read(buf) {
            Ok(0) if !buf.is_empty() => {
                if let Some(held) = self.held.take() {
                    held.finish(self.outcome);
                }
                Ok(0)
            }
            Ok(count) => Ok(count),
            Err(error) => {
                let Some(held) = self.held.take() else {
                    return Err(error);
                };
                let cut = self.cut(&held, &error);
                held.give_up();
                Err(cut.into())
            }
        }
    }
}

impl Shared {
    /// Carries out a request at the target, or refuses it truthfully.
    ///
    /// # Errors
    /// Says whether the request may have run.
    pub fn execute(
        self: &Arc<Self>,
        order: &Order<'_>,
        content: forward::Content<'_>,
    ) -> Result<server::Response, server::Refusal> {
        let keeper = self
            .keeper(order.target)
            .ok_or_else(|| self.moved(order.target))?;
        let key = self.check(order)?;
        let place = self.place(order, key);
        // Without a place, the request would not count as one on its shard.
        if order.shard.is_some() && place.is_none() {
            return Err(self.moved(order.target));
        }
        self.cover(order)?;
        let entered =
            keeper
                .admission
                .enter_unless(order.token, order.tenant, place, order.deadline);
        let permit = entered.map_err(refused)?;
        permit.tag(order.id);
        keeper.load.note(&order.group, order.shard, key);
        // The wait for a slot can outlast the right, the shard's owner or the caller.
        self.check(order)?;
        if order.token.is_cancelled() {
            return Err(server::Refusal::not_run(
                server::Reason::Cancelled,
                "the caller is gone",
            ));
        }
        self.send(&keeper, order, key, content, permit)
    }

    /// Checks what can change between the sender's decision and now, and
    /// returns the hash of the request's key.
    fn check(&self, order: &Order<'_>) -> Result<Option<model::KeyHash>, server::Refusal> {
        let state = self.journal.state();
        // A sender with an older binding would look in another placement group.
        let resolved = self.view().routes.resolve(order.path.path(), order.headers);
        let same = |resolved: &route::Resolved| resolved.group == order.group;
        let facts = target::order::Facts {
            resolved: resolved.ok().filter(same).map(|resolved| resolved.key),
            in_grace: self.grace.lock().allows(order.target, clock::now()),
            right: self.may_act(order.target),
        };
        target::order::check(&state, &order.checked(), &facts)
            .map_err(|why| stopped(order.target, why))
    }

    /// Returns where a request on `key` belongs; `None` for shared services.
    fn place(&self, order: &Order<'_>, key: Option<model::KeyHash>) -> Option<admission::Place> {
        let (shard, key) = order.shard.zip(key)?;
        let state = self.journal.state();
        let count = state.groups.get(&*order.group)?.shards.len() as u32;
        Some(admission::Place {
            group: order.group.clone(),
            shard,
            key,
            home: key.shard(count),
        })
    }

    fn send(
        self: &Arc<Self>,
        keeper: &Arc<keeper::Keeper>,
        order: &Order<'_>,
        key: Option<model::KeyHash>,
        content: forward::Content<'_>,
        permit: admission::Permit,
    ) -> Result<server::Response, server::Refusal> {
        let left = order.deadline.since(clock::now());
        if left == 0 {
            return Err(server::Refusal::not_run(
                server::Reason::Deadline,
                "the deadline has passed",
            ));
        }
        let extra = self.order_headers(keeper, order, left);
        let outbound = forward::Outbound {
            method: order.method,
            path: order.path,
            headers: order.headers,
            extra: &extra,
            content,
        };
        let guard = {
            let (shared, keeper) = (self.clone(), keeper.clone());
            let (group, shard) = (order.group.clone(), order.shard);
            let started = Cell::new(false);
            move || {
                let order = target::order::Order {
                    target: &keeper.target,
                    group: &group,
                    shard,
                };
                let first = || shared.may_write(&keeper, &order, key, left);
                let allowed = match started.get() {
                    true => shared.may_go_on(&order, key),
                    false => first(),
                };
                started.set(started.get() || allowed);
                allowed
            }
        };
        let held = Held {
            permit,
            keeper: keeper.clone(),
            id: order.id.into(),
            deadline: order.deadline,
            start: Instant::now(),
        };
        let abort = forward::Abort::from(order.token.clone());
        let timeout = clock::duration(left);
        let sent = self
            .forward
            .send(keeper.address, outbound, timeout, guard, &abort);
        match sent {
            Ok(inbound) => self.receive(order, key, inbound, held),
            Err(failure) => Err(failed(&failure, held)),
        }
    }

    fn order_headers(
        &self,
        keeper: &Arc<keeper::Keeper>,
        order: &Order<'_>,
        left: u64,
    ) -> Vec<(HeaderName, HeaderValue)> {
        let mut extra = vec![
            (header::REQUEST_ID, header::value(order.id)),
            (header::TIMEOUT, HeaderValue::from(left)),
            (
                header::LEASE_FENCE,
                header::value(&keeper.fence().to_string()),
            ),
        ];
        if let Some(shard) = order.shard {
            let state = self.journal.state();
            let since = state
                .shard_owner(&order.group, shard)
                .map(|owner| owner.since);
            let fence = model::Fence::at(since.unwrap_or_default());
            extra.push((header::SHARD_GROUP, header::value(&order.group.to_string())));
            extra.push((header::SHARD, header::value(&shard.to_string())));
            extra.push((header::SHARD_FENCE, header::value(&fence.to_string())));
        }
        extra
    }

    fn receive(
        self: &Arc<Self>,
        order: &Order<'_>,
        key: Option<model::KeyHash>,
        mut inbound: forward::Inbound,
        held: Held,
    ) -> Result<server::Response, server::Refusal> {
        if let Some(why) = inbound.headers.get(&header::TARGET_REFUSAL) {
            let why = String::from_utf8_lossy(why.as_bytes()).into_owned();
            return Err(target_refused(&why, held));
        }
        // An answer of a target that may have lost the shard meanwhile does not count.
        if !self.may_go_on(&order.checked(), key) {
            held.give_up();
            return Err(server::Refusal::unknown(
                server::Reason::RightLost,
                "the right to act for the target ended before it answered",
            ));
        }
        let cold = inbound
            .headers
            .get(&header::TARGET_STATE)
            .is_some_and(|state| state == "cold");
        // A run that the target stopped does not tell how long a whole one takes.
        let stopped = inbound.status == http::StatusCode::GATEWAY_TIMEOUT;
        let outcome = match (cold, stopped) {
            (true, _) => admission::Outcome::Cold,
            (false, true) => admission::Outcome::Failed,
            (false, false) => admission::Outcome::Success,
        };
        header::strip_reply(&mut inbound.headers);
        let keeper = held.keeper.clone();
        let body = match inbound.body.read_small(SMALL_RESPONSE) {
            Ok(Some(data)) => {
                held.finish(outcome);
                server::Body::Whole(data)
            }
            Ok(None) => {
                let length = inbound.body.length();
                let reply = HeldReply {
                    shared: self.clone(),
                    reply: inbound.body,
                    held: Some(held),
                    outcome,
                };
                server::Body::Stream(Box::new(reply), length)
            }
            Err(error) => {
                held.give_up();
                let detail = format!("the target's answer was cut: {error}");
                return Err(server::Refusal::unknown(
                    server::Reason::BadResponse,
                    detail,
                ));
            }
        };
        let mut response = server::Response::new(inbound.status, body);
        response.headers = inbound.headers;
        let waiting = keeper.admission.step(|core, _| core.waiting());
        response
            .headers
            .insert(header::TARGET_QUEUE, HeaderValue::from(waiting as u64));
        if let Some(load) = keeper.load.rate(clock::now()) {
            let load = HeaderValue::from(load.round() as u64);
            response.headers.insert(header::TARGET_LOAD, load);
        }
        Ok(response)
    }

    /// Checks again immediately before the first byte is written.
    fn may_write(
        &self,
        keeper: &keeper::Keeper,
        order: &target::order::Order<'_>,
        key: Option<model::KeyHash>,
        left: u64,
    ) -> bool {
        let moving = |shard| keeper.is_withdrawn(order.group, shard);
        let withdrawn = order.shard.is_some_and(moving);
        let state = self.journal.state();
        let right = self.may_act(order.target);
        target::order::may_write(&state, order, key, withdrawn, right, left)
    }

    /// Returns whether a request that the target has begun to receive may go
    /// on, and whether its answer counts: the target is still the key's owner.
    ///
    /// Without the right, such as after the lease was handed over, only the
    /// log, read to its end now, can tell. Any target may answer where the
    /// service has no keys.
    fn may_go_on(&self, order: &target::order::Order<'_>, key: Option<model::KeyHash>) -> bool {
        let known = order.shard.is_none() || self.may_act(order.target).is_ok();
        (known || self.read_for_right())
            && target::order::is_owner(&self.journal.state(), order, key)
    }
}

/// Frees or keeps the slot of a request without an answer, has the target
/// checked if the failure says something about it, and returns the refusal.
fn failed(failure: &forward::Failure, held: Held) -> server::Refusal {
    let keeper = held.keeper.clone();
    match failure.cause {
        forward::Cause::Refused | forward::Cause::Connect(_) | forward::Cause::ConnectTimeout => {
            keeper.suspect()
        }
        forward::Cause::Timeout => keeper.timed_out(failure.reused),
        _ => {}
    }
    let detail = format!("{}: {}", keeper.target, failure.cause);
    match failure.outcome {
        forward::Outcome::NotRun => {
            held.finish(match failure.cause {
                forward::Cause::Refused => admission::Outcome::Refused,
                _ => admission::Outcome::Failed,
            });
            let reason = match failure.cause {
                forward::Cause::Cancelled => server::Reason::Cancelled,
                _ => server::Reason::Unreachable,
            };
            server::Refusal::not_run(reason, detail).after(50)
        }
        forward::Outcome::Unknown => {
            held.give_up();
            let reason = match failure.cause {
                forward::Cause::Timeout => server::Reason::Deadline,
                forward::Cause::Cancelled => server::Reason::Cancelled,
                forward::Cause::GuardRefused => server::Reason::RightLost,
                _ => server::Reason::ConnectionLost,
            };
            server::Refusal::unknown(reason, detail)
        }
    }
}

fn stopped(target: &model::TargetName, why: target::order::Refused) -> server::Refusal {
    let (reason, detail) = match why {
        target::order::Refused::OutOfWork => {
            let detail = format!("{target} takes no new work");
            (server::Reason::Moved, detail)
        }
        target::order::Refused::WrongRegion => {
            let detail = format!("{target} is outside the request's home regions");
            (server::Reason::WrongRegion, detail)
        }
        target::order::Refused::Rebound => {
            let detail = "the binding of the route or tenant has changed";
            (server::Reason::Moved, detail.to_owned())
        }
        target::order::Refused::NotOwner => {
            let detail = format!("the key is not owned by {target} in the shard named");
            (server::Reason::Moved, detail)
        }
        target::order::Refused::NoRight(denied) => {
            let refusal = server::Refusal::not_run(server::Reason::Moved, denied.to_string());
            return refusal.after(50);
        }
    };
    server::Refusal::not_run(reason, detail)
}

fn refused(why: admission::Refused) -> server::Refusal {
    let detail = why.to_string();
    match why {
        admission::Refused::Overloaded { after_ms } => {
            server::Refusal::not_run(server::Reason::Overloaded, detail).after(after_ms)
        }
        admission::Refused::Deadline => server::Refusal::not_run(server::Reason::Deadline, detail),
        admission::Refused::Moving => {
            server::Refusal::not_run(server::Reason::Moving, detail).after(50)
        }
        admission::Refused::Closed => {
            server::Refusal::not_run(server::Reason::Moved, detail).after(50)
        }
        admission::Refused::Cancelled => {
            server::Refusal::not_run(server::Reason::Cancelled, detail)
        }
        admission::Refused::QueueFull => {
            server::Refusal::not_run(server::Reason::Overloaded, detail).after(100)
        }
    }
}

/// Translates a target's own refusal, which it gives before it runs a request.
fn target_refused(why: &str, held: Held) -> server::Refusal {
    let (reason, outcome) = match why {
        "shed" => (server::Reason::Shed, admission::Outcome::Shed),
        "cold" => (server::Reason::TargetCold, admission::Outcome::Cold),
        "deadline" => (server::Reason::Deadline, admission::Outcome::Failed),
        _ => (server::Reason::Moved, admission::Outcome::Failed),
    };
    let elapsed = held.start.elapsed().min(Duration::from_secs(1));
    held.permit.finish(outcome, elapsed);
    if matches!(why, "fence" | "grant") {
        held.keeper.renew_now();
    }
    let detail = format!("the target refused: {why}");
    server::Refusal::not_run(reason, detail).after(20)
}
