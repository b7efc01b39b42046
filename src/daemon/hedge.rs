//! Second attempts at slow idempotent requests of shared services.
//!
//! The caller's worker runs the first attempt itself. A timer starts the
//! second one on a small pool if the first still runs at its time.

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

type Race = race::Race<attempt::Ended>;

/// A second attempt that may be made.
struct Second {
    shared: Arc<tables::Shared>,
    race: Arc<Race>,
    abort: forward::Abort,
    call: Arc<attempt::Call>,
    body: Bytes,
    first: model::TargetName,
}

impl Second {
    /// Hands the attempt to the pool, within the budget.
    fn submit(self) {
        let shared = self.shared.clone();
        if !self.race.is_open() || !shared.budget.take(clock::now()) {
            return;
        }
        if !shared.hedges.submit(move || self.run()) {
            shared.budget.give_back();
        }
    }

    fn run(self) {
        let shared = &self.shared;
        let _entered = shared.running.enter(shared.journal.state().next);
        let view = shared.view();
        let first = std::slice::from_ref(&self.first);
        let destination = shared.other_destination(&view, &self.call, first);
        let Some(destination) = destination.filter(|_| self.race.start_second()) else {
            shared.budget.give_back();
            return;
        };
        shared.metrics.extra.inc();
        let tie = self.abort.fire_with(&self.call.request.token);
        let content = attempt::content(&self.body);
        let mut ended = shared.attempt(&view, &self.call, destination, content, self.abort.token());
        ended.result = ended.result.map(|response| tied(response, tie));
        let answered = ended.result.is_ok();
        self.race.end_second(ended, answered);
    }
}

impl tables::Shared {
    /// Returns the answer times of a service.
    pub fn delay(&self, service: &model::ServiceName) -> Arc<route::hedge::Delay> {
        if let Some(delay) = self.delays.read().get(service) {
            return delay.clone();
        }
        let mut delays = self.delays.write();
        let delay = delays.entry(service.clone());
        let new = || Arc::new(route::hedge::Delay::new(clock::now()));
        delay.or_insert_with(new).clone()
    }

    /// Returns when a second attempt at the request may start, if at all.
    fn second_at(&self, call: &attempt::Call, delay: &route::hedge::Delay) -> Option<Instant> {
        if !self.settings.policy.hedge || !route::is_idempotent(&call.request.method) {
            return None;
        }
        let now = clock::now();
        let after = delay.get(now)?;
        let left = clock::duration(call.deadline.since(now));
        (after < left).then(|| Instant::now() + after)
    }

    /// Carries out an attempt at a shared service's target, and a second one
    /// at another target if the first is slow. Returns how both ended, the
    /// one that counts first.
    pub(super) fn attempt_hedged(
        self: &Arc<Self>,
        view: &tables::View,
        call: &Arc<attempt::Call>,
        destination: attempt::Destination,
        body: &Bytes,
    ) -> (attempt::Ended, Option<attempt::Ended>) {
        let delay = self.delay(&call.resolved.service.name);
        let start = Instant::now();
        let ended = match self.second_at(call, &delay) {
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

    fn run_race(
        self: &Arc<Self>,
        view: &tables::View,
        call: &Arc<attempt::Call>,
        destination: attempt::Destination,
        body: &Bytes,
        at: Instant,
    ) -> (attempt::Ended, Option<attempt::Ended>) {
        let (abort, other) = (forward::Abort::new(), forward::Abort::new());
        let race = Arc::new(Race::new(abort.clone(), other.clone()));
        let second = Second {
            shared: self.clone(),
            race: race.clone(),
            abort: other,
            call: call.clone(),
            body: body.clone(),
            first: destination.target.clone(),
        };
        let tie = abort.fire_with(&call.request.token);
        let armed = self.hedges.arm(at, move || second.submit());
        let mut first = self.attempt(
            view,
            call,
            destination,
            attempt::content(body),
            abort.token(),
        );
        drop(armed);
        let left = call.deadline.since(clock::now()) + attempt::ANSWER_MARGIN;
        let end = Instant::now() + clock::duration(left);
        let second = race.end_first(first.result.is_ok(), end);
        first.result = first.result.map(|response| tied(response, tie));
        match second {
            race::Other::None => (first, None),
            race::Other::Ended(second) => rank(first, second),
            race::Other::Unfinished => {
                first.result = first.result.map_err(|refusal| unfinished(&refusal));
                (first, None)
            }
        }
    }
}

/// Returns the refusal of a request whose second attempt may still run.
fn unfinished(first: &server::Refusal) -> server::Refusal {
    let detail = format!("the second attempt has not ended; first: {}", first.detail);
    server::Refusal::unknown(server::Reason::Deadline, detail)
}

/// Puts the attempt first that the caller is told of: the second one's answer,
/// which has aborted the first attempt, else an unknown outcome, since the
/// request has not run only if neither attempt has.
fn rank(first: attempt::Ended, second: attempt::Ended) -> (attempt::Ended, Option<attempt::Ended>) {
    let weight = |ended: &attempt::Ended| match ended.result.as_ref().map_err(|e| e.outcome) {
        Ok(_) => 2,
        Err(forward::Outcome::Unknown) => 1,
        Err(forward::Outcome::NotRun) => 0,
    };
    match second.result.is_ok() || weight(&second) > weight(&first) {
        true => (second, Some(first)),
        false => (first, Some(second)),
    }
}

/// A streamed body that is aborted when the caller is gone.
struct Tied {
    reader: Box<dyn Read + Send>,
    #[expect(dead_code, reason = "held for its drop")]
    tie: token::Registration,
}

impl Read for Tied {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        self.reader.read(buf)
    }
}

/// Keeps `tie` as long as the response's body is read.
fn tied(mut response: server::Response, tie: token::Registration) -> server::Response {
    response.body = match response.body {
        server::Body::Stream(reader, length) => {
            server::Body::Stream(Box::new(Tied { reader, tie }), length)
        }
        whole => whole,
    };
    response
}
