//! Threads for a target whose lease this daemon holds: they renew its grants,
//! detect its loss and move its shards away.

mod batch;
mod renewal;
mod transfer;

use std::sync::Arc;

use crate::clock;
use crate::model;
use crate::state;
use crate::tables::{self, keeper::Keeper};
use crate::target::{admission, cancel, control, grants, wire};

/// Renews the grants of one target and moves its shards.
#[derive(Clone)]
pub struct Worker {
    shared: Arc<tables::Shared>,
    keeper: Arc<Keeper>,
}

impl Worker {
    /// Returns a worker for a target whose lease this daemon holds.
    pub fn new(shared: Arc<tables::Shared>, keeper: Arc<Keeper>) -> Self {
        Self { shared, keeper }
    }

    /// Applies a newer state: sets the target's limits, starts an evacuation if
    /// the target must take no work, and triggers a renewal if its shards have
    /// `changed` or its lease is a newer one.
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
        // Most records concern other targets. A renewal for each of them would
        // exceed the design limit of five renewals per second.
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

    /// Renews once and returns the time of the next renewal.
    fn renew(&self, first: &mut bool) -> clock::Millis {
        let keeper = &self.keeper;
        let now = clock::now();
        let stale = keeper.take_stale() && keeper.may_reset(now);
        let next = now + grants::RENEWAL_INTERVAL_MS;
        let until = self.shared.leases.lock().grant_until(&keeper.target, now);
        let length = renewal::grant_length(until, keeper.is_lost(), now);
        let holdings = keeper.wanted(&self.shared.journal.state());
        let message = match keeper.grants.lock().prepare(now, length, &holdings) {
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
                // A new list is sent without grant time first; a message with the
                // time follows at once.
                let again = self.handle_reply(&reply, first, (now, holdings)) && length > 0;
                if again { clock::now() } else { next }
            }
            Err(error) => self.handle_failure(&error),
        }
    }

    /// Handles a reply and returns whether the next message is due at once.
    fn handle_reply(
        &self,
        reply: &wire::Reply,
        first: &mut bool,
        (sent, holdings): (clock::Millis, Arc<[wire::Holding]>),
    ) -> bool {
        let keeper = &self.keeper;
        let now = clock::now();
        let (update, fence, has_list) = {
            let mut grants = keeper.grants.lock();
            let update = grants.on_reply(now, reply);
            (update, grants.fence(), grants.has_list(&holdings))
        };
        let settled = renewal::is_settled(has_list, reply);
        keeper.set_settled(settled.then_some((sent, holdings)));
        let fence = model::Fence::at(fence.offset);
        self.shared
            .leases
            .lock()
            .target_confirmed(&keeper.target, fence);
        let first = std::mem::take(first);
        keeper
            .admission
            .step(|core, now| renewal::apply_reply(core, now, reply, update.restarted, first));
        if update.restarted {
            log::warn!("{} restarted and is cold", keeper.target);
        }
        if keeper.set_found() {
            log::info!("{} answers again", keeper.target);
            keeper.admission.step(|core, _| core.open());
        }
        update.again
    }

    /// Handles a failed renewal and returns the time of the next one.
    fn handle_failure(&self, error: &control::Error) -> clock::Millis {
        let keeper = &self.keeper;
        let now = clock::now();
        if let control::Error::Conflict(_, conflict) = error {
            let superseded = keeper.grants.lock().on_conflict(conflict);
            log::warn!("{}: {superseded}", keeper.target);
            return now + grants::RENEWAL_INTERVAL_MS;
        }
        let failure = error.failure().unwrap_or(grants::Failure::Answer);
        let next = keeper.grants.lock().on_failure(now, failure);
        log::debug!("grants of {} failed: {error}", keeper.target);
        match next {
            grants::Next::RetryAt(at) => at,
            grants::Next::Lost => {
                self.mark_lost(error, failure);
                now + grants::RENEWAL_INTERVAL_MS
            }
        }
    }

    /// Marks the target as lost and starts to move its shards away.
    fn mark_lost(&self, error: &control::Error, failure: grants::Failure) {
        let keeper = &self.keeper;
        let silent = failure == grants::Failure::TimedOut;
        if !keeper.set_lost(silent) {
            log::warn!("{} is lost: {error}", keeper.target);
            self.shared.forward.reset(keeper.address);
            // Further requests would only delay the move of the shards.
            keeper.admission.step(|core, _| core.close());
        }
        keeper
            .admission
            .step(|core, now| renewal::apply_loss(core, now, silent));
        self.evacuate_later();
    }

    /// Drops pooled connections to the target, which may be dead.
    fn reset_connections(&self, now: clock::Millis) {
        self.keeper.note_reset(now);
        log::info!("{}: reconnecting after a timeout", self.keeper.target);
        self.shared.forward.reset(self.keeper.address);
    }
}

impl tables::Shared {
    /// Asks a target to cancel a request, without waiting for the answer. A slot
    /// kept by `unsettled` is freed once the target has confirmed it.
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
