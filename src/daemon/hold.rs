//! Execution of a request at the lease holder: final checks, admission and
//! sending to the target.

mod headers;
mod held;

use std::cell::Cell;
use std::sync::Arc;
use std::time::Instant;

use http::HeaderValue;

use crate::clock;
use crate::daemon::header;
use crate::daemon::hold::held::{InFlight, InFlightBody};
use crate::daemon::refusal;
use crate::forward;
use crate::model;
use crate::route;
use crate::server;
use crate::tables::{self, keeper};
use crate::target;
use crate::target::admission;
use crate::token;

/// Largest response body that is buffered whole, in bytes; larger ones are streamed.
pub const MAX_BUFFERED_RESPONSE_BYTES: u64 = 64 << 10;

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
    /// Cancelled when no caller waits for the answer any more.
    pub token: &'a token::Token,
}

impl Order<'_> {
    /// Returns the part of the request that the ownership checks read.
    fn checked(&self) -> target::order::Order<'_> {
        target::order::Order {
            target: self.target,
            group: &self.group,
            shard: self.shard,
        }
    }
}

impl tables::Shared {
    /// Executes a request at the target and returns the target's answer.
    ///
    /// # Errors
    /// Fails with a refusal that says whether the request may have run.
    pub fn execute(
        self: &Arc<Self>,
        order: &Order<'_>,
        content: forward::Content<'_>,
    ) -> Result<server::Response, server::Refusal> {
        let moved = || refusal::from_lease(&self.journal.state(), self.me, order.target);
        let keeper = self.keeper(order.target).ok_or_else(moved)?;
        let key = self.check(order)?;
        let place = self.place(order, key);
        // Without a place, admission would not count the request on its shard.
        if order.shard.is_some() && place.is_none() {
            return Err(moved());
        }
        self.wait_for_span(order)?;
        let entered =
            keeper
                .admission
                .enter_unless(order.token, order.tenant, place, order.deadline);
        let permit = entered.map_err(refusal::from_admission)?;
        permit.tag(order.id);
        keeper.load.note(&order.group, order.shard, key);
        // During the wait for a slot, the lease can lapse, the shard can move and
        // the caller can disconnect.
        self.check(order)?;
        if order.token.is_cancelled() {
            return Err(server::Refusal::not_run(
                server::Reason::Cancelled,
                "the caller is gone",
            ));
        }
        self.send(&keeper, order, key, content, permit)
    }

    /// Checks again what can have changed since the sender routed the request,
    /// and returns the hash of the request's key.
    ///
    /// # Errors
    /// Refuses a request that this daemon or the target may not serve.
    fn check(&self, order: &Order<'_>) -> Result<Option<model::KeyHash>, server::Refusal> {
        let state = self.journal.state();
        // A sender with an older binding may have chosen another placement group.
        let resolved = self.view().routes.resolve(order.path.path(), order.headers);
        let same = |resolved: &route::Resolved| resolved.group == order.group;
        let facts = target::order::Facts {
            resolved: resolved.ok().filter(same).map(|resolved| resolved.key),
            in_grace: self.grace.lock().allows(order.target, clock::now()),
            right: self.may_act(order.target),
        };
        target::order::check(&state, &order.checked(), &facts)
            .map_err(|why| refusal::from_check(order.target, why))
    }

    /// Returns the shard and key under which admission counts the request, or
    /// `None` without a key, as for shared services, or if the placement group is
    /// unknown.
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

    /// Sends an admitted request to the target. The guard checks ownership
    /// before the first byte and while the request is being written.
    fn send(
        self: &Arc<Self>,
        keeper: &Arc<keeper::Keeper>,
        order: &Order<'_>,
        key: Option<model::KeyHash>,
        content: forward::Content<'_>,
        permit: admission::Permit,
    ) -> Result<server::Response, server::Refusal> {
        let left = refusal::time_left(order.deadline, clock::now())?;
        let lease = keeper.fence();
        let owned = order.shard.map(|shard| {
            let state = self.journal.state();
            (shard, headers::shard_fence(&state, &order.group, shard))
        });
        let extra = headers::for_target(order, lease, owned, left);
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
                let may_start = || shared.may_write(&keeper, &order, key, left);
                let allowed = match started.get() {
                    true => shared.may_continue(&order, key),
                    false => may_start(),
                };
                started.set(started.get() || allowed);
                allowed
            }
        };
        let in_flight = InFlight {
            shared: self.clone(),
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
            Ok(inbound) => self.receive(order, key, inbound, in_flight),
            Err(failure) => Err(in_flight.fail(&failure)),
        }
    }

    /// Turns the head of a target's answer into a response or a refusal. A large
    /// body is streamed, and its slot is freed at the end.
    fn receive(
        &self,
        order: &Order<'_>,
        key: Option<model::KeyHash>,
        mut inbound: forward::Inbound,
        in_flight: InFlight,
    ) -> Result<server::Response, server::Refusal> {
        if let Some(why) = inbound.headers.get(&header::TARGET_REFUSAL) {
            let why = String::from_utf8_lossy(why.as_bytes()).into_owned();
            return Err(in_flight.refuse(&why));
        }
        // The answer of a target that may have lost the shard meanwhile is discarded.
        if !self.may_continue(&order.checked(), key) {
            in_flight.give_up();
            return Err(server::Refusal::unknown(
                server::Reason::RightLost,
                "the target's ownership of the key could not be confirmed when it answered",
            ));
        }
        let outcome = outcome(inbound.status, &inbound.headers);
        header::strip_reply(&mut inbound.headers);
        let keeper = in_flight.keeper.clone();
        let body = match inbound.body.read_small(MAX_BUFFERED_RESPONSE_BYTES) {
            Ok(Some(data)) => {
                in_flight.finish(outcome);
                server::Body::Whole(data)
            }
            Ok(None) => {
                let length = inbound.body.length();
                let reply = InFlightBody {
                    reply: inbound.body,
                    in_flight: Some(in_flight),
                    outcome,
                };
                server::Body::Stream(Box::new(reply), length)
            }
            Err(error) => {
                in_flight.give_up();
                let detail = format!("the target's answer was cut off: {error}");
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

    /// Returns whether the request may be sent; checked immediately before its
    /// first byte is written.
    fn may_write(
        &self,
        keeper: &keeper::Keeper,
        order: &target::order::Order<'_>,
        key: Option<model::KeyHash>,
        left: u64,
    ) -> bool {
        let is_withdrawn = |shard| keeper.is_withdrawn(order.group, shard);
        let withdrawn = order.shard.is_some_and(is_withdrawn);
        let state = self.journal.state();
        let right = self.may_act(order.target);
        target::order::may_write(&state, order, key, withdrawn, right, left)
    }

    /// Returns whether the target is still the key's owner, so that a request it
    /// has begun to receive may continue and its answer is valid.
    ///
    /// Without a valid lease, such as after a handover, this reads the log to its
    /// end to find the owner. Any target may answer for a service without keys.
    fn may_continue(&self, order: &target::order::Order<'_>, key: Option<model::KeyHash>) -> bool {
        let valid = order.shard.is_none() || self.may_act(order.target).is_ok();
        (valid || self.read_log_for_leases())
            && target::order::is_owner(&self.journal.state(), order, key)
    }
}

/// Returns the outcome that a target's answer reports to admission.
fn outcome(status: http::StatusCode, headers: &http::HeaderMap) -> admission::Outcome {
    let cold = headers
        .get(&header::TARGET_STATE)
        .is_some_and(|state| state == "cold");
    // A request that the target stopped is no sample of the service time.
    let stopped = status == http::StatusCode::GATEWAY_TIMEOUT;
    match (cold, stopped) {
        (true, _) => admission::Outcome::Cold,
        (false, true) => admission::Outcome::Failed,
        (false, false) => admission::Outcome::Success,
    }
}
