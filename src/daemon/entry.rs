//! Handling of callers' requests at the daemon that receives them: routing,
//! attempts and retries.

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

/// Retry time of a refusal while the daemon has no usable state.
const NOT_READY_RETRY_MS: u64 = 500;

/// Progress of a request over its attempts.
#[derive(Default)]
struct Progress<'a> {
    /// Targets of a shared service that attempts were sent to.
    tried: Vec<model::TargetName>,
    /// Rounds started. A round makes at most one attempt, or two if it is hedged.
    rounds: u32,
    /// Retries made so far, which are limited for keyed services.
    retries: u32,
    /// Permit to wait for a newer state, kept from the first wait on.
    permit: Option<seats::Seat<'a>>,
    /// Refusal of the last attempt that may have run.
    unknown: Option<server::Refusal>,
}

impl tables::Shared {
    /// Handles a caller's request and returns its response, or the refusal as one.
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
        let mut response = account.finish_with(result);
        response
            .headers
            .insert(header::REQUEST_ID, header::value(&id));
        response
    }

    /// Resolves the request's route and service, and sends the request.
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
                .unwrap_or_else(|| "no state has been read yet".to_owned());
            return Err(server::Refusal::not_run(server::Reason::NotReady, detail)
                .after(NOT_READY_RETRY_MS));
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
        self.send_with_retries(view, &call, body, trace)
    }

    /// Sends the request until it is answered, must not be retried, or its
    /// deadline passes.
    fn send_with_retries(
        self: &Arc<Self>,
        mut view: Arc<tables::View>,
        call: &Arc<Call>,
        body: &mut server::Payload,
        trace: &RefCell<requests::Trace>,
    ) -> Result<server::Response, server::Refusal> {
        let mut progress = Progress::default();
        loop {
            let offset = view.state.next;
            progress.rounds += 1;
            let result = self.send_round(&view, call, body, (trace, &mut progress.tried));
            let refusal = match result {
                Ok(response) => return Ok(response),
                Err(refusal) => refusal,
            };
            let failed = failed_attempt(call, body, &progress, &refusal);
            let token = &call.request.token;
            match retry::decide(&failed, || self.budget.take(clock::now())) {
                // If an earlier attempt may have run, its refusal is returned,
                // whatever the outcome of the last attempt.
                retry::Decision::Refuse => return Err(progress.unknown.unwrap_or(refusal)),
                retry::Decision::Retry(pause_ms) => {
                    progress.retries += 1;
                    self.metrics.extra.inc();
                    token.wait_timeout(clock::duration(pause_ms));
                }
                retry::Decision::AwaitState { min_ms, max_ms } => {
                    if progress.permit.is_none() {
                        progress.permit = self.seats.take();
                    }
                    if progress.permit.is_none() {
                        let after_ms = refusal.after_ms.unwrap_or(retry::STATE_WAIT_MS);
                        return Err(progress.unknown.unwrap_or(refusal.after(after_ms)));
                    }
                    token.wait_timeout(clock::duration(min_ms));
                    self.journal
                        .wait_beyond(offset, clock::duration(max_ms - min_ms));
                }
            }
            if refusal.outcome == forward::Outcome::Unknown {
                progress.unknown = Some(refusal);
            }
            view = self.view();
        }
    }

    /// Makes one attempt. For shared services, the first round is hedged with a
    /// second attempt if the first is slow.
    fn send_round(
        self: &Arc<Self>,
        view: &tables::View,
        call: &Arc<Call>,
        body: &mut server::Payload,
        (trace, tried): (&RefCell<requests::Trace>, &mut Vec<model::TargetName>),
    ) -> Result<server::Response, server::Refusal> {
        let destination = self.destination(view, call, tried)?;
        let shared = destination.running.is_some();
        let (buffered, length) = (body.held().cloned(), body.length());
        let token = &call.request.token;
        let (ended, unselected) = match &buffered {
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
        for record in unselected
            .map(|ended| ended.record)
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

/// Returns the input of the retry decision after `refusal`.
fn failed_attempt(
    call: &Call,
    body: &server::Payload,
    progress: &Progress<'_>,
    refusal: &server::Refusal,
) -> retry::FailedAttempt {
    let keyed = call.resolved.key.is_some();
    retry::FailedAttempt {
        outcome: refusal.outcome,
        reason: refusal.reason,
        retryable: refusal.retry,
        after_ms: refusal.after_ms,
        keyed,
        idempotent: route::is_idempotent(&call.request.method),
        buffered: body.held().is_some(),
        caller_gone: call.request.token.is_cancelled(),
        rounds: progress.rounds,
        extra_attempts: match keyed {
            true => progress.retries,
            false => progress.tried.len().saturating_sub(1) as u32,
        },
        left_ms: call.deadline.since(clock::now()),
    }
}
