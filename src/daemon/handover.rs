//! Hands leases to their backups while the log does not answer, resigns as
//! backup, and handles the same messages from other daemons.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::clock;
use crate::journal;
use crate::lease;
use crate::model;
use crate::peer;
use crate::server;
use crate::tables;

/// Timeout of one call to another daemon.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which sending a message is retried, in milliseconds.
const SEND_TIMEOUT_MS: u64 = 3_000;

/// Pause before a retry.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Longest wait for records that the sender has applied and this daemon has not.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest wait for the log's decision on leases received without a record.
const DECISION_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Largest reply accepted from another daemon, in bytes.
const REPLY_BYTES: u64 = 64 << 10;

/// Why a lease could not be handed to its backup, or a resignation not sent.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error(transparent)]
    Undecided(#[from] journal::UndecidedError),
    #[error(transparent)]
    Denied(#[from] lease::Denied),
    #[error("the other daemon's address is not known")]
    NoAddress,
    #[error("the other daemon refused: {0}")]
    Refused(String),
    #[error("the other daemon did not answer: {0}")]
    Unanswered(ureq::Error),
    #[error(transparent)]
    Message(#[from] peer::Error),
}

impl tables::Shared {
    /// Hands all leases that are still held to their backups without a record,
    /// and resigns as backup of others. Returns once each message was accepted or
    /// has failed; failures are logged, and leave the lease to the log.
    pub(super) fn hand_over_directly(self: &Arc<Self>) {
        let (held, backed): (Vec<_>, Vec<_>) = {
            let leases = self.leases.lock();
            let held = leases.held().map(|(target, lease)| (target.clone(), lease));
            let backed = leases.backed().map(|(target, at)| (target.clone(), at));
            (held.collect(), backed.collect())
        };
        thread::scope(|scope| {
            for (target, lease) in &held {
                scope.spawn(move || match self.hand_to_backup(target, *lease) {
                    Ok(()) => log::info!("handed the lease on {target} to its backup directly"),
                    Err(why) => log::warn!(
                        "the lease on {target} was not handed over, its keys wait for the log: {why}"
                    ),
                });
            }
            for (target, lease) in &backed {
                scope.spawn(move || match self.resign(target, *lease) {
                    Ok(()) => log::info!("resigned as backup of {target}"),
                    Err(why) => log::warn!("the holder of {target} needs the log: {why}"),
                });
            }
        });
    }

    /// Resigns as backup of the target's lease and tells the lease holder.
    fn resign(&self, target: &model::TargetName, lease: model::Offset) -> Result<(), Error> {
        self.journal.give_up(lease)?;
        let holder = self.leases.lock().resign(target)?;
        let state = self.journal.state();
        let host = state.hosts.get(&holder).ok_or(Error::NoAddress)?;
        let message = peer::Resignation {
            from: self.me,
            to: holder,
            target: target.clone(),
            lease,
        };
        send(host.peer, "/peer/backup", &message)
    }

    /// Handles a message that the backup of a lease held by this daemon has resigned.
    pub(super) fn receive_resignation(&self, request: &server::Request) -> server::Response {
        let Some(message) = decoded::<peer::Resignation>(request) else {
            return server::Response::empty(http::StatusCode::BAD_REQUEST);
        };
        let (target, lease) = (&message.target, message.lease);
        let result = match message.to == self.me {
            true => {
                let mut leases = self.leases.lock();
                leases.on_resigned(message.from, target, lease)
            }
            false => Err(lease::Refused::NotCurrent),
        };
        match &result {
            Ok(()) => log::info!("the backup of {target} has resigned"),
            Err(why) => log::warn!("the backup of {target} has resigned from {lease}: {why}"),
        }
        self.reply(result)
    }

    /// Returns the reply to a handover or resignation.
    fn reply(&self, result: Result<(), lease::Refused>) -> server::Response {
        let reply = peer::SurrenderReply {
            from: self.me,
            accepted: result.is_ok(),
            again: result == Err(lease::Refused::Behind),
            why: result.err().map_or_else(String::new, |why| why.to_string()),
        };
        match peer::encode(&reply) {
            Ok(body) => server::Response::whole(http::StatusCode::OK, body),
            Err(_) => server::Response::empty(http::StatusCode::INTERNAL_SERVER_ERROR),
        }
    }

    /// Stops admitting requests, waits for running ones, surrenders the lease and
    /// sends it to its backup.
    fn hand_to_backup(
        self: &Arc<Self>,
        target: &model::TargetName,
        lease: model::Offset,
    ) -> Result<(), Error> {
        let keeper = self.keeper(target).ok_or(lease::Denied::NotHolder)?;
        keeper.admission.step(|core, _| core.close());
        // Without the lease or the log, the answers to running requests would be
        // discarded, so they get time to finish first.
        let drain_end = clock::now() + self.settings.limits.drain_ms;
        keeper.admission.wait_idle(drain_end);
        self.journal.give_up(lease)?;
        let surrendered = self.leases.lock().surrender(target, clock::now())?;
        let state = self.journal.state();
        self.sync_keepers(&state, &BTreeSet::new());
        self.detours.note(target, lease);
        let host = state.hosts.get(&surrendered.to).ok_or(Error::NoAddress)?;
        let message = peer::Surrender {
            from: self.me,
            to: surrendered.to,
            target: target.clone(),
            lease: surrendered.lease,
            seen: surrendered.seen,
            fence: keeper.fence(),
        };
        send(host.peer, "/peer/lease", &message)
    }

    /// Handles a message that hands a lease from its holder to this daemon.
    pub(super) fn receive_lease(self: &Arc<Self>, request: &server::Request) -> server::Response {
        let Some(message) = decoded::<peer::Surrender>(request) else {
            return server::Response::empty(http::StatusCode::BAD_REQUEST);
        };
        let (target, lease) = (message.target.clone(), message.lease);
        let received = self.accept_lease(message);
        match &received {
            Ok(()) => log::info!("acting for {target} without a record, handed over by its holder"),
            Err(why) => {
                log::warn!("the lease on {target} handed over at {lease} was refused: {why}")
            }
        }
        self.reply(received)
    }

    /// Takes over a lease that its holder has handed to this daemon.
    fn accept_lease(self: &Arc<Self>, message: peer::Surrender) -> Result<(), lease::Refused> {
        if message.to != self.me {
            return Err(lease::Refused::NotCurrent);
        }
        if self.leaving.load(Ordering::Relaxed) || !self.journal.is_usable() {
            return Err(lease::Refused::Leaving);
        }
        self.journal.note_end(message.seen);
        let state = self.journal.wait_for(message.seen, CATCH_UP_TIMEOUT);
        let handed = lease::Handed::from(message);
        {
            let mut leases = self.leases.lock();
            leases.follow(clock::now(), &state);
            leases.receive(clock::now(), &handed)?;
        }
        self.detours.note(&handed.target, handed.lease);
        self.sync_keepers(&state, &BTreeSet::new());
        Ok(())
    }

    /// Records the leases received without a record. Must be called after the
    /// log was read to its end, so that the leases stay valid under the record.
    pub(super) fn record_received(&self) {
        let due = self.leases.lock().unrecorded(clock::now());
        if due.is_empty() {
            return;
        }
        let base = self.journal.state().next;
        let proposals = due.into_iter().map(|proposal| (proposal, None));
        self.propose_leases(proposals, base, DECISION_TIMEOUT);
    }
}

/// Decodes a request's body, if it was read whole and is valid.
fn decoded<T: serde::de::DeserializeOwned>(request: &server::Request) -> Option<T> {
    peer::decode(request.body.held()?).ok()
}

/// Sends a message, with retries for up to [`SEND_TIMEOUT_MS`].
///
/// # Errors
/// Fails if the other daemon refuses the message, or with the last error if it
/// has not accepted the message in time.
fn send(to: SocketAddr, path: &str, message: &impl serde::Serialize) -> Result<(), Error> {
    let body = peer::encode(message)?;
    let agent = peer::call::agent(CALL_TIMEOUT);
    let url = format!("http://{to}{path}");
    let end = clock::now() + SEND_TIMEOUT_MS;
    loop {
        let error = match call(&agent, &url, &body) {
            Ok(reply) if reply.accepted => return Ok(()),
            Ok(reply) if !reply.again => return Err(Error::Refused(reply.why)),
            Ok(reply) => Error::Refused(reply.why),
            Err(error) => error,
        };
        if clock::now() >= end {
            return Err(error);
        }
        thread::sleep(RETRY_PAUSE);
    }
}

/// Sends a message once and returns the reply.
fn call(agent: &ureq::Agent, url: &str, body: &[u8]) -> Result<peer::SurrenderReply, Error> {
    let mut response = agent.post(url).send(body).map_err(Error::Unanswered)?;
    let body = response.body_mut().with_config().limit(REPLY_BYTES);
    let body = body.read_to_vec().map_err(Error::Unanswered)?;
    Ok(peer::decode(&body)?)
}
