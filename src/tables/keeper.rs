//! What is known of one target whose lease this daemon holds.
//!
//! A [`Keeper`] lives as long as the lease. Its locks are held one at a time,
//! but for the list to be granted, under which the withdrawn shards are read.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use parking_lot::{Condvar, Mutex};

use crate::clock;
use crate::model;
use crate::state;
use crate::tables::load;
use crate::target::{admission, grants, wire};
use crate::token;

/// Longest time for which requests of an earlier holder count, in milliseconds.
pub const TAKE_OVER: u64 = 2_000;

/// Least time between two resets of the connections to one target, in milliseconds.
const RESET_PAUSE: u64 = 1_000;

/// Least time between two checks that failed requests bring about, in
/// milliseconds. A check costs the target several milliseconds, and under
/// overload many requests fail at once.
const SUSPECT_PAUSE: u64 = 50;

/// A target whose lease this daemon holds.
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
    /// Grants to the target.
    pub grants: Mutex<grants::Grants>,
    /// Cancelled when the lease has ended.
    pub token: token::Token,
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
    /// `token` is cancelled when the lease has ended.
    pub fn new(
        target: &state::Target,
        queue: usize,
        token: token::Token,
        fence: model::Fence,
        chain: model::Offset,
    ) -> Arc<Self> {
        let limits = admission::Limits {
            concurrency: target.concurrency,
            queue,
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
            token,
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

    /// Has the grants renewed at once, such as after the target refused one.
    pub fn renew_now(&self) {
        self.grants.lock().forget();
        self.wake();
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
            self.wake();
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
        self.wake();
    }

    /// Ends the current or the next wait of [`Keeper::sleep`].
    pub fn wake(&self) {
        *self.wake.0.lock() = true;
        self.wake.1.notify_all();
    }

    /// Waits until a time, or until the keeper is woken.
    pub fn sleep(&self, until: clock::Millis) {
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

    /// Notes the lease that is followed, and returns whether it is a newer one.
    pub fn follow_lease(&self) -> bool {
        let fence = self.fence().offset;
        std::mem::replace(&mut *self.followed.lock(), fence) != fence
    }

    /// Returns whether a request timed out on a connection that had been used
    /// before, since this was last asked.
    pub fn take_stale(&self) -> bool {
        self.stale.swap(false, Ordering::Relaxed)
    }

    /// Returns whether the last reset of the connections was long enough ago.
    pub fn may_reset(&self, now: clock::Millis) -> bool {
        now.since(*self.reset.lock()) >= RESET_PAUSE
    }

    /// Notes that the connections are reset at `now`.
    pub fn note_reset(&self, now: clock::Millis) {
        *self.reset.lock() = now;
    }

    /// Notes that the target answers, and returns whether it was lost.
    pub fn set_found(&self) -> bool {
        self.lost.swap(false, Ordering::Relaxed)
    }

    /// Notes that the target is lost, by silence or by refused connections,
    /// and returns whether it was lost before.
    pub fn set_lost(&self, silent: bool) -> bool {
        self.silent.store(silent, Ordering::Relaxed);
        self.lost.swap(true, Ordering::Relaxed)
    }

    /// Returns whether the target was silent when it was lost, so that it may
    /// be frozen.
    pub fn was_silent(&self) -> bool {
        self.silent.load(Ordering::Relaxed)
    }

    /// Notes the list that the target has confirmed while it ran nothing on
    /// dropped shards, and when the message was sent; `None` if it has not.
    pub fn set_settled(&self, settled: Option<(clock::Millis, Arc<[wire::Holding]>)>) {
        *self.settled.lock() = settled;
    }

    /// Returns when the message was sent by which the target confirmed `wanted`.
    pub fn settled_at(&self, wanted: &Arc<[wire::Holding]>) -> Option<clock::Millis> {
        let settled = self.settled.lock().clone();
        let same = settled.filter(|(_, list)| list == wanted);
        same.map(|(sent, _)| sent)
    }

    /// Returns the shards that the target must be granted: those it owns
    /// without those that are moving away.
    pub fn wanted(&self, state: &state::State) -> Arc<[wire::Holding]> {
        let mut listed = self.listed.lock();
        let withdrawn = self.withdrawn.lock();
        if let Some(listed) = listed.as_ref().filter(|l| l.is_current(state, &withdrawn)) {
            return listed.list.clone();
        }
        let list = grants::wanted(state, &self.target, &withdrawn);
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

    /// Leaves shards out of the grants while they are moving away.
    pub fn withdraw(
        &self,
        block: admission::Block,
        group: &model::GroupId,
        shards: &model::ShardSet,
    ) {
        let entry = (block, group.clone(), shards.clone());
        self.withdrawn.lock().push(entry);
    }

    /// Grants the shards withdrawn for `block` again.
    pub fn restore(&self, block: admission::Block) {
        let mut withdrawn = self.withdrawn.lock();
        withdrawn.retain(|(other, _, _)| *other != block);
    }

    /// Returns whether a shard is left out of the grants because it moves away.
    pub fn is_withdrawn(&self, group: &model::GroupId, shard: model::Shard) -> bool {
        let withdrawn = self.withdrawn.lock();
        let mut sets = withdrawn.iter().filter(|(_, other, _)| other == group);
        sets.any(|(_, _, set)| set.contains(shard))
    }

    /// Begins to move all shards away, and returns whether that was not under way.
    pub fn begin_evacuation(&self) -> bool {
        !self.evacuating.swap(true, Ordering::Relaxed)
    }

    /// Notes that no evacuation is under way any more.
    pub fn end_evacuation(&self) {
        self.evacuating.store(false, Ordering::Relaxed);
    }
}
