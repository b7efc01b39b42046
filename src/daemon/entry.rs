//! The entry side of a caller's request: resolving, choosing and forwarding.

use std::cell::RefCell;
use std::sync::Arc;
use std::time::Instant;

use crate::clock;
use crate::daemon::accounting;
use crate::daemon::attempt::{self, Call};
use crate::daemon::header;
use crate::daemon::refusal;
use crate::daemon::retry;
use crate::forward;
use crate::model;
use crate::route;
use crate::server;
use crate::state;
use crate::tables::{self, requests, seats};

/// What a request went through so far.
#[derive(Default)]
struct Progress<'a> {
    /// Targets of a shared service to which attempts were sent.
    tried: Vec<model::TargetName>,
    rounds: u32,
    /// Extra attempts of a keyed service.
    again: u32,
    /// Kept from the first wait on.
    seat: Option<seats::Seat<'a>>,
    /// What the last attempt that may have run ended with.
    unknown: Option<server::Refusal>,
}

impl tables::Shared {
    /// Answers a caller's request.
    pub fn serve_caller(self: &Arc<Self>, mut request: server::Request) -> server::Response {
        let start = Instant::now();
        let id: Arc<str> = self.request_id().into();
        header::strip_request(&mut request.headers);
        let _entered = self.running.enter(self.journal.state().next);
        let mut service = None;
        let trace = RefCell::default();
        let mut body = std::mem::replace(
            &mut request.body,
            server::Payload::whole(bytes::Bytes::new()),
        );
        let request = Arc::new(request);
        let arrived = (start, &request, &id);
        let result = self.route_call(arrived, &mut body, &mut service, &trace);
        let account = accounting::Account {
            shared: self.clone(),
            request: request.clone(),
            id: id.clone(),
            service,
            elapsed: start.elapsed(),
            trace: trace.into_inner(),
        };
        let mut response = account.close_with(result);
        response
            .headers
            .insert(header::REQUEST_ID, header::value(&id));
        response
    }

    fn route_call(
        self: &Arc<Self>,
        (start, request, id): (Instant, &Arc<server::Request>, &Arc<str>),
        body: &mut server::Payload,
        service: &mut Option<Arc<state::Service>>,
        trace: &RefCell<requests::Trace>,
    ) -> Result<server::Response, server::Refusal> {
        if !self.journal.is_usable() {
            let detail = self
                .journal
                .halted()
                .unwrap_or_else(|| "no state was read yet".to_owned());
            return Err(server::Refusal::not_run(server::Reason::NotReady, detail).after(500));
        }
        let view = self.view();
        let resolved = view
            .routes
            .resolve(request.path(), &request.headers)
            .map_err(refusal::from_route)?;
        *service = Some(resolved.service.clone());
        body.limit(resolved.service.max_body)
            .map_err(refusal::from_body)?;
        self.budget.on_request(request.arrived);
        let call = Arc::new(Call {
            deadline: request.arrived + resolved.timeout,
            request: request.clone(),
            resolved,
            id: id.clone(),
            start,
        });
        self.attempts(view, &call, body, trace)
    }

    /// Sends the request until it is answered, must not be sent again, or its deadline passes.
    fn attempts(
        self: &Arc<Self>,
        mut view: Arc<tables::View>,
        call: &Arc<Call>,
        body: &mut server::Payload,
        trace: &RefCell<requests::Trace>,
    ) -> Result<server::Response, server::Refusal> {
        let mut progress = Progress::default();
        loop {
            let seen = view.state.next;
            progress.rounds += 1;
            let result = self.send_round(&view, call, body, (trace, &mut progress.tried));
            let refusal = match result {
                Ok(response) => return Ok(response),
                Err(refusal) => refusal,
            };
            let refused = situation(call, body, &progress, &refusal);
            let token = &call.request.token;
            match retry::decide(&refused, || self.budget.take(clock::now())) {
                // An earlier attempt may have run, whatever became of the last one.
                retry::Next::Refuse => return Err(progress.unknown.unwrap_or(refusal)),
                retry::Next::Again(pause) => {
                    progress.again += 1;
                    self.metrics.extra.inc();
                    token.wait_timeout(clock::duration(pause));
                }
                retry::Next::Wait { least, most } => {
                    if progress.seat.is_none() {
                        progress.seat = self.seats.take();
                    }
                    if progress.seat.is_none() {
                        let after = refusal.after_ms.unwrap_or(retry::WAIT);
                        return Err(progress.unknown.unwrap_or(refusal.after(after)));
                    }
                    token.wait_timeout(clock::duration(least));
                    self.journal
                        .wait_beyond(seen, clock::duration(most - least));
                }
            }
            if refusal.outcome == forward::Outcome::Unknown {
                progress.unknown = Some(refusal);
            }
            view = self.view();
        }
    }

    /// Makes an attempt, and for shared services a second one if the first is slow.
    fn send_round(
        self: &Arc<Self>,
        view: &tables::View,
        call: &Arc<Call>,
        body: &mut server::Payload,
        (trace, tried): (&RefCell<requests::Trace>, &mut Vec<model::TargetName>),
    ) -> Result<server::Response, server::Refusal> {
        let destination = self.destination(view, call, tried)?;
        let shared = destination.running.is_some();
        let (held, length) = (body.held().cloned(), body.length());
        let token = &call.request.token;
        let (ended, other) = match &held {
            Some(data) if shared && tried.is_empty() => {
                self.attempt_hedged(view, call, destination, data)
            }
            Some(data) => {
                let content = attempt::content(data);
                (self.attempt(view, call, destination, content, token), None)
            }
            None => {
                let content = forward::Content::Stream(body, length);
                (self.attempt(view, call, destination, content, token), None)
            }
        };
        for record in other
            .map(|other| other.record)
            .into_iter()
            .chain([ended.record])
        {
            if shared {
                tried.push(record.target.clone());
            }
            trace.borrow_mut().add(record);
        }
        ended.result
    }
}

fn situation(
    call: &Call,
    body: &server::Payload,
    progress: &Progress<'_>,
    refusal: &server::Refusal,
) -> retry::Situation {
    let keyed = call.resolved.key.is_some();
    retry::Situation {
        outcome: refusal.outcome,
        reason: refusal.reason,
        retry: refusal.retry,
        after_ms: refusal.after_ms,
        keyed,
        idempotent: route::is_idempotent(&call.request.method),
        held: body.held().is_some(),
        gone: call.request.token.is_cancelled(),
        rounds: progress.rounds,
        extra: match keyed {
            true => progress.again,
            false => progress.tried.len().saturating_sub(1) as u32,
        },
        left: call.deadline.since(clock::now()),
    }
}
