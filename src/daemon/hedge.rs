//! Hedging: second attempts at slow idempotent requests of shared services.
//!
//! The worker that handles the request runs the first attempt itself. If it is
//! still running after the hedge delay, a timer starts the second attempt on a
//! small pool.

use std::io::{self, Read};
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;

use crate::clock;
use crate::daemon::attempt;
use crate::daemon::race;
use crate::forward;
use crate::model;
use crate::route;
use crate::server;
use crate::tables;
use crate::token;

type Race = race::Race<attempt::Completion>;

/// A second attempt that is started if the first is slow.
struct PendingHedge {
    shared: Arc<tables::Shared>,
    race: Arc<Race>,
    abort: forward::Abort,
    call: Arc<attempt::Call>,
    body: Bytes,
    /// Target of the first attempt, which the second avoids.
    first_target: model::TargetName,
}

impl PendingHedge {
    /// Submits the attempt to the pool if the first is still running and the
    /// budget allows it.
    fn submit(self) {
        let shared = self.shared.clone();
        if !self.race.is_open() || !shared.budget.take(clock::now()) {
            return;
        }
        if !shared.hedges.submit(move || self.run()) {
            shared.budget.give_back();
        }
    }

    /// Makes the attempt at another target, unless there is none or the first
    /// attempt has ended. Then the budget is returned.
    fn run(self) {
        let shared = &self.shared;
        let _entered = shared.running.enter(shared.journal.state().next);
        let view = shared.view();
        let tried = std::slice::from_ref(&self.first_target);
        let destination = shared.other_destination(&view, &self.call, tried);
        let Some(destination) = destination.filter(|_| self.race.start_second()) else {
            shared.budget.give_back();
            return;
        };
        shared.metrics.extra.inc();
        let registration = self.abort.fire_with(&self.call.request.token);
        let content = attempt::content(&self.body);
        let mut ended = shared.attempt(&view, &self.call, destination, content, self.abort.token());
        ended.result = ended
            .result
            .map(|response| with_registration(response, registration));
        let answered = ended.result.is_ok();
        self.race.end_second(ended, answered);
    }
}

impl tables::Shared {
    /// Returns the statistics of a service's answer times, from which the hedge
    /// delay is derived.
    pub fn delay(&self, service: &model::ServiceName) -> Arc<route::hedge::Delay> {
        if let Some(delay) = self.delays.read().get(service) {
            return delay.clone();
        }
        let mut delays = self.delays.write();
        let delay = delays.entry(service.clone());
        let new = || Arc::new(route::hedge::Delay::new(clock::now()));
        delay.or_insert_with(new).clone()
    }

    /// Returns the time at which the second attempt starts, or `None` if hedging
    /// is off, the request is not idempotent, no delay is known or the deadline
    /// comes first.
    fn hedge_time(&self, call: &attempt::Call, delay: &route::hedge::Delay) -> Option<Instant> {
        if !self.settings.policy.hedge || !route::is_idempotent(&call.request.method) {
            return None;
        }
        let now = clock::now();
        let hedge_delay = delay.get(now)?;
        let remaining = clock::duration(call.deadline.since(now));
        (hedge_delay < remaining).then(|| Instant::now() + hedge_delay)
    }

    /// Makes an attempt at a shared service's target, and a second one at another
    /// target if the first is slow. Returns the attempt whose result is used,
    /// followed by the other one if it has ended.
    pub(super) fn attempt_hedged(
        self: &Arc<Self>,
        view: &tables::View,
        call: &Arc<attempt::Call>,
        destination: attempt::Destination,
        body: &Bytes,
    ) -> (attempt::Completion, Option<attempt::Completion>) {
        let delay = self.delay(&call.resolved.service.name);
        let start = Instant::now();
        let ended = match self.hedge_time(call, &delay) {
            Some(at) => self.run_race(view, call, destination, body, at),
            None => {
                let token = &call.request.token;
                (
                    self.attempt(view, call, destination, attempt::content(body), token),
                    None,
                )
            }
        };
        if ended.0.result.is_ok() {
            delay.record(clock::now(), start.elapsed());
        }
        ended
    }

    /// Makes the first attempt and, at `at`, starts a second one if the first is
    /// still running. Returns them like `attempt_hedged`.
    fn run_race(
        self: &Arc<Self>,
        view: &tables::View,
        call: &Arc<attempt::Call>,
        destination: attempt::Destination,
        body: &Bytes,
        at: Instant,
    ) -> (attempt::Completion, Option<attempt::Completion>) {
        let (abort, hedge_abort) = (forward::Abort::new(), forward::Abort::new());
        let race = Arc::new(Race::new(abort.clone(), hedge_abort.clone()));
        let hedge = PendingHedge {
            shared: self.clone(),
            race: race.clone(),
            abort: hedge_abort,
            call: call.clone(),
            body: body.clone(),
            first_target: destination.target.clone(),
        };
        let registration = abort.fire_with(&call.request.token);
        let timer = self.hedges.arm(at, move || hedge.submit());
        let mut first = self.attempt(
            view,
            call,
            destination,
            attempt::content(body),
            abort.token(),
        );
        drop(timer);
        let left_ms = call.deadline.since(clock::now()) + attempt::ANSWER_MARGIN_MS;
        let latest_end = Instant::now() + clock::duration(left_ms);
        let second = race.end_first(first.result.is_ok(), latest_end);
        first.result = first
            .result
            .map(|response| with_registration(response, registration));
        match second {
            race::SecondResult::None => (first, None),
            race::SecondResult::Ended(second) => rank(first, second),
            race::SecondResult::Unfinished => {
                first.result = first.result.map_err(|refusal| unfinished_refusal(&refusal));
                (first, None)
            }
        }
    }
}

/// Returns the refusal of a request whose second attempt may still be running.
/// Its outcome is unknown, whatever the first attempt's refusal says.
fn unfinished_refusal(first: &server::Refusal) -> server::Refusal {
    let detail = format!("the second attempt has not ended; first: {}", first.detail);
    server::Refusal::unknown(server::Reason::Deadline, detail)
}

/// Orders two attempts so that the one whose result the caller gets comes first:
/// the second one if it was answered, because its answer aborted the first, and
/// otherwise an unknown outcome before "not run", because the request has not run
/// only if neither attempt has.
fn rank(
    first: attempt::Completion,
    second: attempt::Completion,
) -> (attempt::Completion, Option<attempt::Completion>) {
    let precedence =
        |ended: &attempt::Completion| match ended.result.as_ref().map_err(|e| e.outcome) {
            Ok(_) => 2,
            Err(forward::Outcome::Unknown) => 1,
            Err(forward::Outcome::NotRun) => 0,
        };
    match second.result.is_ok() || precedence(&second) > precedence(&first) {
        true => (second, Some(first)),
        false => (first, Some(second)),
    }
}

/// A streamed body whose attempt is aborted when the caller disconnects.
struct AbortableBody {
    reader: Box<dyn Read + Send>,
    #[expect(dead_code, reason = "dropping it ends the registration")]
    registration: token::Registration,
}

impl Read for AbortableBody {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        self.reader.read(buf)
    }
}

/// Returns the response with `registration` kept until its body is dropped.
fn with_registration(
    mut response: server::Response,
    registration: token::Registration,
) -> server::Response {
    response.body = match response.body {
        server::Body::Stream(reader, length) => server::Body::Stream(
            Box::new(AbortableBody {
                reader,
                registration,
            }),
            length,
        ),
        whole => whole,
    };
    response
}
