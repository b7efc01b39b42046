//! Keeps one target whose lease this daemon holds: renews its grants, notices
//! its loss and moves its shards away.

mod transfer;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use parking_lot::{Condvar, Mutex};

use crate::clock;
use crate::daemon::shared::Shared;
use crate::model;
use crate::state;
use crate::tables::load;
use crate::target::{admission, cancel, control, grants, wire};
use crate::token;

/// Longest time for which requests of an earlier holder count, in milliseconds.
const TAKE_OVER: u64 = 2_000;

/// Least time between two resets of the connections to one target, in milliseconds.
const RESET_PAUSE: u64 = 1_000;

/// Least time between two checks that failed requests bring about, in
/// milliseconds. A check costs the target several milliseconds, and under
/// overload many requests fail at once.
const SUSPECT_PAUSE: u64 = 50;

/// Keeps one target.
pub struct Keeper {
    /// Name of the target.
    pub target: model::TargetName,
    /// Address of the target.
    pub address: SocketAddr,
    /// Offset of the first of the leases held without interruption.
    pub chain: model::Offset,
    /// Admission to the target.
    pub admission: Arc<admission::Admission>,
    /// Requests counted for the target.
    pub load: load::Load,
    shared: Arc<Shared>,
    token: token::Token,
    grants: Mutex<grants::Grants>,
    withdrawn: Mutex<Vec<grants::Withdrawn>>,
    wake: (Mutex<bool>, Condvar),
    /// Reading of the clock when a failed request last had the target checked.
    suspected: AtomicU64,
    /// Set when a request timed out on a connection that had been used before.
    stale: AtomicBool,
    lost: AtomicBool,
    /// Whether the lost target is silent, so that it may be frozen, and not
    /// refusing connections.
    silent: AtomicBool,
    reset: Mutex<clock::Millis>,
    /// List that the target has confirmed while it ran nothing on dropped
    /// shards, and when the message was sent.
    settled: Mutex<Option<(clock::Millis, Arc<[wire::Holding]>)>>,
    evacuating: AtomicBool,
    /// Offset of the lease followed last.
    followed: Mutex<model::Offset>,
    listed: Mutex<Option<Listed>>,
}

/// Shards to be granted, and what they were computed from: a scan of all
/// shards of all groups takes too long for each renewal.
struct Listed {
    groups: BTreeMap<model::GroupId, Arc<state::Group>>,
    withdrawn: Vec<(model::GroupId, model::ShardSet)>,
    list: Arc<[wire::Holding]>,
}

impl Listed {
    fn is_current(&self, state: &state::State, withdrawn: &[grants::Withdrawn]) -> bool {
        let same = |((a, was), (b, is)): ((&_, &_), (&_, &_))| a == b && Arc::ptr_eq(was, is);
        let moving = withdrawn.iter().map(|(_, group, shards)| (group, shards));
        let known = self.withdrawn.iter().map(|(group, shards)| (group, shards));
        self.groups.len() == state.groups.len()
            && self.groups.iter().zip(&state.groups).all(same)
            && known.eq(moving)
    }
}

impl Keeper {
    /// Returns the keeper of a target whose lease has the fence `fence`; the
    /// first of the leases held without interruption is recorded at `chain`.
    pub fn new(
        shared: Arc<Shared>,
        target: &state::Target,
        fence: model::Fence,
        chain: model::Offset,
    ) -> Arc<Self> {
        let limits = admission::Limits {
            concurrency: target.concurrency,
            queue: shared.settings.policy.target_queue,
        };
        let admission = admission::Admission::new(limits);
        // Until the target says what it runs for an earlier holder, it may run
        // as much as it can.
        admission.step(|core, now| {
            core.take_over(now, limits.concurrency, false, now + TAKE_OVER);
        });
        Arc::new(Self {
            target: target.name.clone(),
            address: target.address,
            chain,
            admission,
            load: load::Load::new(clock::now()),
            token: shared.token.child(),
            grants: Mutex::new(grants::Grants::under(fence)),
            withdrawn: Mutex::default(),
            wake: (Mutex::new(false), Condvar::new()),
            suspected: AtomicU64::new(0),
            stale: AtomicBool::new(false),
            lost: AtomicBool::new(false),
            silent: AtomicBool::new(false),
            reset: Mutex::default(),
            settled: Mutex::default(),
            evacuating: AtomicBool::new(false),
            followed: Mutex::new(fence.offset),
            listed: Mutex::default(),
            shared,
        })
    }

    /// Goes on under a newer lease of this daemon. Requests that run keep
    /// their slots: a keeper started anew would not count them.
    pub fn renew_lease(&self, lease: model::Offset) {
        self.grants.lock().follow(lease);
    }

    /// Returns the fence to send with requests.
    pub fn fence(&self) -> model::Fence {
        self.grants.lock().fence()
    }

    /// Follows a newer state: limits of the target, whether its shards have
    /// `changed`, and whether they must move away.
    pub fn follow(self: &Arc<Self>, state: &state::State, changed: bool) {
        if let Some(config) = state.config.targets.get(&self.target) {
            let limits = admission::Limits {
                concurrency: config.concurrency,
                queue: self.shared.settings.policy.target_queue,
            };
            self.admission
                .step(|core, now| core.set_limits(now, limits));
        }
        if !state.takes_work(&self.target) {
            self.evacuate_later();
        }
        let fence = self.fence().offset;
        let renewed = std::mem::replace(&mut *self.followed.lock(), fence) != fence;
        // Most records concern other targets; a renewal for each of them would
        // exceed the five per second that the design counts on.
        if changed || renewed {
            self.rouse();
        }
    }

    /// Has the grants renewed at once, such as after the target refused one.
    pub fn renew_now(&self) {
        self.grants.lock().forget();
        self.rouse();
    }

    /// Has the target checked at once, after a request to it failed.
    pub fn suspect(&self) {
        let now = clock::now();
        let last = self.suspected.load(Ordering::Relaxed);
        let paused = now.since(clock::Millis(last)) < SUSPECT_PAUSE;
        let exchange = |last| {
            let swapped =
                self.suspected
                    .compare_exchange(last, now.0, Ordering::Relaxed, Ordering::Relaxed);
            swapped.is_ok()
        };
        if !paused && exchange(last) {
            self.rouse();
        }
    }

    /// Has the target checked after a request to it timed out. If the request
    /// was sent on a `reused` connection and the target answers on a fresh one,
    /// the pooled connections may have gone silent and are dropped.
    pub fn timed_out(&self, reused: bool) {
        if reused {
            self.stale.store(true, Ordering::Relaxed);
        }
        self.suspect();
    }

    /// Has the target cancel a request, without waiting for it.
    pub fn cancel(&self, id: &str, unsettled: Option<admission::Unsettled>) {
        self.shared.cancels.push(cancel::Job {
            target: self.address,
            request: id.to_owned(),
            unsettled,
        });
    }

    /// Returns whether the target is lost as far as this daemon can tell.
    pub fn is_lost(&self) -> bool {
        self.lost.load(Ordering::Relaxed)
    }

    /// Returns whether shards are being moved away. Keys keep their shards
    /// meanwhile, so that the drain counts every request on them.
    pub fn is_moving(&self) -> bool {
        !self.withdrawn.lock().is_empty()
    }

    /// Stops renewing; requests that run are finished by their workers.
    pub fn stop(&self) {
        self.admission.step(|core, _| core.close());
        self.token.cancel();
        self.rouse();
    }

    fn rouse(&self) {
        *self.wake.0.lock() = true;
        self.wake.1.notify_all();
    }

    fn sleep(&self, until: clock::Millis) {
        let (woken, changed) = &self.wake;
        let mut woken = woken.lock();
        while !*woken {
            let left = until.since(clock::now());
            if left == 0 {
                break;
            }
            changed.wait_for(&mut woken, clock::duration(left));
        }
        *woken = false;
    }

    /// Renews the grants until the keeper is stopped.
    pub fn run(self: &Arc<Self>) {
        let mut first = true;
        while !self.token.is_cancelled() {
            let next = self.renew(&mut first);
            self.sleep(next);
        }
    }

    /// Renews once and returns when to do so again.
    fn renew(self: &Arc<Self>, first: &mut bool) -> clock::Millis {
        let now = clock::now();
        let stale = self.stale.swap(false, Ordering::Relaxed) && self.may_reset(now);
        let next = now + grants::RENEWAL;
        let until = self.shared.leases.lock().grant_until(&self.target, now);
        // A lost target's grants must lapse, so that only its clock is read.
        let length = match (until, self.is_lost()) {
            (Ok(until), false) => until.since(now),
            _ => 0,
        };
        let wanted = self.wanted();
        let message = match self.grants.lock().prepare(now, length, &wanted) {
            Ok(message) => message,
            Err(superseded) => {
                log::warn!("{}: {superseded}", self.target);
                return next;
            }
        };
        let sent = match stale {
            true => self.shared.control.grants_fresh(self.address, &message),
            false => self.shared.control.grants(self.address, &message),
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
        let now = clock::now();
        let (notice, fence, has_list) = {
            let mut grants = self.grants.lock();
            let notice = grants.on_reply(now, reply);
            (notice, grants.fence(), grants.has_list(&wanted))
        };
        let settled = has_list && reply.running == 0;
        *self.settled.lock() = settled.then_some((sent, wanted));
        let fence = model::Fence::at(fence.offset);
        self.shared
            .leases
            .lock()
            .target_confirmed(&self.target, fence);
        let cold = reply.state == wire::Condition::Cold;
        self.admission.step(|core, now| {
            if notice.restarted {
                core.restart(now);
            }
            if std::mem::take(first) {
                core.take_over(now, reply.active, !cold, now + TAKE_OVER);
            } else {
                core.report(now, reply.active, cold);
            }
        });
        if notice.restarted {
            log::warn!("{} restarted and is cold", self.target);
        }
        if self.lost.swap(false, Ordering::Relaxed) {
            log::info!("{} answers again", self.target);
            self.admission.step(|core, _| core.open());
        }
        notice.again
    }

    fn fail(self: &Arc<Self>, error: &control::Error) -> clock::Millis {
        let now = clock::now();
        if let control::Error::Conflict(_, conflict) = error {
            let superseded = self.grants.lock().on_conflict(conflict);
            log::warn!("{}: {superseded}", self.target);
            return now + grants::RENEWAL;
        }
        let failure = error.failure().unwrap_or(grants::Failure::Answer);
        let next = self.grants.lock().on_failure(now, failure);
        log::debug!("grants of {} failed: {error}", self.target);
        match next {
            grants::Next::RetryAt(at) => at,
            grants::Next::Lost => {
                let silent = failure == grants::Failure::TimedOut;
                self.silent.store(silent, Ordering::Relaxed);
                if !self.lost.swap(true, Ordering::Relaxed) {
                    log::warn!("{} is lost: {error}", self.target);
                    self.shared.forward.reset(self.address);
                    // Requests would only add to those that hold up the move.
                    self.admission.step(|core, _| core.close());
                }
                self.admission.step(|core, now| match silent {
                    // A frozen target may go on with what it runs.
                    true => core.cool(),
                    false => core.restart(now),
                });
                self.evacuate_later();
                now + grants::RENEWAL
            }
        }
    }

    /// Returns the shards that the target must be granted: those it owns
    /// without those that are moving away.
    fn wanted(&self) -> Arc<[wire::Holding]> {
        let state = self.shared.journal.state();
        let mut listed = self.listed.lock();
        let withdrawn = self.withdrawn.lock();
        if let Some(listed) = listed.as_ref().filter(|l| l.is_current(&state, &withdrawn)) {
            return listed.list.clone();
        }
        let list = grants::wanted(&state, &self.target, &withdrawn);
        let moving = withdrawn.iter();
        *listed = Some(Listed {
            groups: state.groups.clone(),
            withdrawn: moving
                .map(|(_, group, shards)| (group.clone(), shards.clone()))
                .collect(),
            list: list.clone(),
        });
        list
    }

    fn may_reset(&self, now: clock::Millis) -> bool {
        now.since(*self.reset.lock()) >= RESET_PAUSE
    }

    /// Drops pooled connections to the target, which may have gone silent.
    fn reset_connections(&self, now: clock::Millis) {
        *self.reset.lock() = now;
        log::info!("{}: reconnecting after a time-out", self.target);
        self.shared.forward.reset(self.address);
    }
}
