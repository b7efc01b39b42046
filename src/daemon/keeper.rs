//! Threads that keep a target whose lease this daemon holds: they renew its
//! grants, notice its loss and move its shards away.

mod batch;
mod renewal;
mod transfer;

use std::sync::Arc;

use crate::clock;
use crate::model;
use crate::state;
use crate::tables::{self, keeper::Keeper};
use crate::target::{admission, cancel, control, grants, wire};

/// Keeps one target.
#[derive(Clone)]
pub struct Worker {
    shared: Arc<tables::Shared>,
    keeper: Arc<Keeper>,
}

impl Worker {
    /// Returns a worker for a target that this daemon keeps.
    pub fn new(shared: Arc<tables::Shared>, keeper: Arc<Keeper>) -> Self {
        Self { shared, keeper }
    }

    /// Follows a newer state: limits of the target, whether its shards have
    /// `changed`, and whether they must move away.
    pub fn follow(&self, state: &state::State, changed: bool) {
        let keeper = &self.keeper;
        if let Some(config) = state.config.targets.get(&keeper.target) {
            let limits = admission::Limits {
                concurrency: config.concurrency,
                queue: self.shared.settings.policy.target_queue,
            };
            keeper
                .admission
                .step(|core, now| core.set_limits(now, limits));
        }
        if !state.takes_work(&keeper.target) {
            self.evacuate_later();
        }
        let renewed = keeper.follow_lease();
        // Most records concern other targets; a renewal for each of them would
        // exceed the five per second that the design counts on.
        if changed || renewed {
            keeper.wake();
        }
    }

    /// Renews the grants until the keeper is stopped.
    pub fn run(&self) {
        let mut first = true;
        while !self.keeper.token.is_cancelled() {
            let next = self.renew(&mut first);
            self.keeper.sleep(next);
        }
    }

    /// Renews once and returns when to do so again.
    fn renew(&self, first: &mut bool) -> clock::Millis {
        let keeper = &self.keeper;
        let now = clock::now();
        let stale = keeper.take_stale() && keeper.may_reset(now);
        let next = now + grants::RENEWAL;
        let until = self.shared.leases.lock().grant_until(&keeper.target, now);
        let length = renewal::grant_length(until, keeper.is_lost(), now);
        let wanted = keeper.wanted(&self.shared.journal.state());
        let message = match keeper.grants.lock().prepare(now, length, &wanted) {
            Ok(message) => message,
            Err(superseded) => {
                log::warn!("{}: {superseded}", keeper.target);
                return next;
            }
        };
        let sent = match stale {
            true => self.shared.control.grants_fresh(keeper.address, &message),
            false => self.shared.control.grants(keeper.address, &message),
        };
        match sent {
            Ok(reply) => {
                if stale {
                    self.reset_connections(now);
                }
                // A list goes out without time, and the time follows at once.
                let again = self.accept(&reply, first, (now, wanted)) && length > 0;
                if again { clock::now() } else { next }
            }
            Err(error) => self.fail(&error),
        }
    }

    /// Takes a reply and returns whether the next message is due at once.
    fn accept(
        &self,
        reply: &wire::Reply,
        first: &mut bool,
        (sent, wanted): (clock::Millis, Arc<[wire::Holding]>),
    ) -> bool {
        let keeper = &self.keeper;
        let now = clock::now();
        let (notice, fence, has_list) = {
            let mut grants = keeper.grants.lock();
            let notice = grants.on_reply(now, reply);
            (notice, grants.fence(), grants.has_list(&wanted))
        };
        let settled = renewal::is_settled(has_list, reply);
        keeper.set_settled(settled.then_some((sent, wanted)));
        let fence = model::Fence::at(fence.offset);
        self.shared
            .leases
            .lock()
            .target_confirmed(&keeper.target, fence);
        let first = std::mem::take(first);
        keeper
            .admission
            .step(|core, now| renewal::take_reply(core, now, reply, notice.restarted, first));
        if notice.restarted {
            log::warn!("{} restarted and is cold", keeper.target);
        }
        if keeper.set_found() {
            log::info!("{} answers again", keeper.target);
            keeper.admission.step(|core, _| core.open());
        }
        notice.again
    }

    fn fail(&self, error: &control::Error) -> clock::Millis {
        let keeper = &self.keeper;
        let now = clock::now();
        if let control::Error::Conflict(_, conflict) = error {
            let superseded = keeper.grants.lock().on_conflict(conflict);
            log::warn!("{}: {superseded}", keeper.target);
            return now + grants::RENEWAL;
        }
        let failure = error.failure().unwrap_or(grants::Failure::Answer);
        let next = keeper.grants.lock().on_failure(now, failure);
        log::debug!("grants of {} failed: {error}", keeper.target);
        match next {
            grants::Next::RetryAt(at) => at,
            grants::Next::Lost => {
                self.lose(error, failure);
                now + grants::RENEWAL
            }
        }
    }

    /// Declares the target lost and has its shards moved away.
    fn lose(&self, error: &control::Error, failure: grants::Failure) {
        let keeper = &self.keeper;
        let silent = failure == grants::Failure::TimedOut;
        if !keeper.set_lost(silent) {
            log::warn!("{} is lost: {error}", keeper.target);
            self.shared.forward.reset(keeper.address);
            // Requests would only add to those that hold up the move.
            keeper.admission.step(|core, _| core.close());
        }
        keeper
            .admission
            .step(|core, now| renewal::take_loss(core, now, silent));
        self.evacuate_later();
    }

    /// Drops pooled connections to the target, which may have gone silent.
    fn reset_connections(&self, now: clock::Millis) {
        self.keeper.note_reset(now);
        log::info!("{}: reconnecting after a time-out", self.keeper.target);
        self.shared.forward.reset(self.keeper.address);
    }
}

impl tables::Shared {
    /// Has a target cancel a request, without waiting for it.
    pub(super) fn cancel(
        &self,
        keeper: &Keeper,
        id: &str,
        unsettled: Option<admission::Unsettled>,
    ) {
        self.cancels.push(cancel::Job {
            target: keeper.address,
            request: id.to_owned(),
            unsettled,
        });
    }
}
