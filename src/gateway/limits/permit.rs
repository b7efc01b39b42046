//! Permits: requests to a target with a limit that the first daemon in its division grants to
//! another one.
//!
//! Requests for a key can only go to its owner, and come to all daemons. So a daemon asks the
//! first one for each of them. The same is done where all targets of a service have limits and
//! this daemon has nothing left of its own shares.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::clock;
use crate::gateway::choice::Instance;
use crate::gateway::limits::report::Report;
use crate::gateway::peers;
use crate::gateway::shared::Shared;
use crate::model;

/// Time within which the answer to a question has to arrive: several times that of the way to
/// another region and back.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

/// Question of a daemon for a permit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Question {
    /// Host of the daemon that asks.
    pub(crate) host: model::HostName,
    /// Number by which it recognises the answer.
    ticket: u64,
    /// What it knows of the target's limit.
    report: Report,
}

/// Answer to a [`Question`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Answer {
    /// Host of the daemon that answers.
    host: model::HostName,
    ticket: u64,
    /// Whether one request may be sent.
    granted: bool,
    /// What the daemon knows of the target's limit, if it knows anything.
    report: Option<Report>,
}

/// Questions without an answer, by ticket.
#[derive(Debug, Default)]
pub(crate) struct Questions(RefCell<HashMap<u64, oneshot::Sender<bool>>>);

/// A question that waits for its answer. A drop, also of a request whose caller left, ends it.
struct Waiting<'q> {
    questions: &'q Questions,
    ticket: u64,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.questions.0.borrow_mut().remove(&self.ticket);
    }
}

impl Shared {
    /// Returns whether one request may be sent to a target with a limit, after asking the first
    /// daemon in its division if that is another one.
    pub(crate) async fn acquire_permit(&self, instance: &Instance) -> bool {
        let now = clock::now();
        let Some(order) = self.sender_order(instance, now) else {
            return false;
        };
        let first = {
            let (host, domain) = (&self.settings.host, &self.settings.domain);
            let peers = self.peers.borrow();
            peers.first(host, domain, now, |host, domain| order.key(host, domain))
        };
        match first {
            None => false,
            Some(peers::First::Own) => self.take_limited(instance, now),
            Some(peers::First::Peer(address)) => self.ask(instance, address).await,
        }
    }

    /// Asks the daemon at `address` for a permit, and returns whether it is granted in time.
    async fn ask(&self, instance: &Instance, address: SocketAddr) -> bool {
        let Some(report) = self.limits.borrow().report(instance, clock::now()) else {
            return true;
        };
        let (sender, receiver) = oneshot::channel();
        let ticket = rand::random();
        self.questions.0.borrow_mut().insert(ticket, sender);
        let _waiting = Waiting {
            questions: &self.questions,
            ticket,
        };
        let question = peers::Message::Question(Question {
            host: self.settings.host.clone(),
            ticket,
            report,
        });
        // A question or an answer that is lost refuses the request.
        let _ = self.socket.try_send_to(&peers::encode(&question), address);
        let granted = tokio::time::timeout(ANSWER_TIMEOUT, receiver).await;
        matches!(granted, Ok(Ok(true)))
    }

    /// Answers another daemon's question. One that has no share of the limit by its own view
    /// grants nothing.
    pub(crate) fn on_question(&self, question: Question) {
        let now = clock::now();
        let instance = question.report.instance();
        self.on_limits_reported(&question.host, vec![question.report]);
        let is_limited = self.limits.borrow().limit(&instance).is_some();
        let granted = match is_limited {
            true => self.take_limited(&instance, now),
            // The limit has ended, as the report says.
            false => self.limits.borrow().report(&instance, now).is_some(),
        };
        let answer = peers::Message::Answer(Answer {
            host: self.settings.host.clone(),
            ticket: question.ticket,
            granted,
            report: self.limits.borrow().report(&instance, now),
        });
        if let Some(address) = self.peers.borrow().address(&question.host) {
            // The daemon that asks refuses the request after its timeout.
            let _ = self.socket.try_send_to(&peers::encode(&answer), address);
        }
    }

    /// Handles the answer to a question. One that comes too late is dropped.
    pub(crate) fn on_permit(&self, answer: Answer) {
        let Some(waiting) = self.questions.0.borrow_mut().remove(&answer.ticket) else {
            return;
        };
        self.on_limits_reported(&answer.host, answer.report.into_iter().collect());
        // The request may have ended meanwhile.
        let _ = waiting.send(answer.granted);
    }
}
