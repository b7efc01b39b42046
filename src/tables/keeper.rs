//! In-memory state of one target whose lease this daemon holds.
//!
//! A [`Keeper`] exists as long as the lease. Its locks are held one at a time,
//! except that the withdrawn shards are read under the lock of the grant cache.

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

/// Maximum time for which requests of an earlier holder count, in milliseconds.
pub const TAKEOVER_LIMIT_MS: u64 = 2_000;

/// Minimum time between two resets of the connections to one target.
const RESET_INTERVAL_MS: u64 = 1_000;

/// Minimum time between two checks of a target because of failed requests. A
/// check costs the target several milliseconds, and under overload many requests
/// fail at once.
const CHECK_INTERVAL_MS: u64 = 50;

/// A target whose lease this daemon holds.
pub struct Keeper {
    /// Name of the target.
    pub target: model::TargetName,
    /// Address of the target.
    pub address: SocketAddr,
    /// Offset of the first record in the uninterrupted sequence of leases held.
    pub chain: model::Offset,
    /// Admission control for the target's requests.
    pub admission: Arc<admission::Admission>,
    /// Request rates of the target.
    pub load: load::Load,
    /// Grants that are sent to the target.
    pub grants: Mutex<grants::Grants>,
    /// Cancelled when the lease has ended.
    pub token: token::Token,
    withdrawn: Mutex<Vec<grants::Withdrawn>>,
    wake: (Mutex<bool>, Condvar),
    /// Time of the last check because of a failed request, in milliseconds.
    checked_at: AtomicU64,
    /// Set when a request timed out on a reused connection.
    stale_connection: AtomicBool,
    lost: AtomicBool,
    /// Whether the lost target does not respond, so that it may be frozen, rather
    /// than refusing connections.
    unresponsive: AtomicBool,
    reset_at: Mutex<clock::Millis>,
    /// List of shards that the target confirmed while it ran nothing on dropped
    /// shards, and when the confirmed message was sent.
    confirmed: Mutex<Option<(clock::Millis, Arc<[wire::Holding]>)>>,
    is_evacuating: AtomicBool,
    /// Offset of the lease that [`Keeper::follow_lease`] saw last.
    followed_lease: Mutex<model::Offset>,
    grant_cache: Mutex<Option<GrantCache>>,
}

/// Cached list of shards to grant, with the inputs that it was computed from. A
/// scan of all shards of all groups takes too long for each renewal.
struct GrantCache {
    groups: BTreeMap<model::GroupId, Arc<state::Group>>,
    withdrawn: Vec<(model::GroupId, model::ShardSet)>,
    list: Arc<[wire::Holding]>,
}

impl GrantCache {
    /// Returns whether the list is still valid for these inputs.
    fn is_current(&self, state: &state::State, withdrawn: &[grants::Withdrawn]) -> bool {
        let same = |((a, old), (b, new)): ((&_, &_), (&_, &_))| a == b && Arc::ptr_eq(old, new);
        let moving = withdrawn.iter().map(|(_, group, shards)| (group, shards));
        let cached = self.withdrawn.iter().map(|(group, shards)| (group, shards));
        self.groups.len() == state.groups.len()
            && self.groups.iter().zip(&state.groups).all(same)
            && cached.eq(moving)
    }
}

impl Keeper {
    /// Returns the keeper of a target whose lease has the fencing token `fence`.
    ///
    /// The first lease of the uninterrupted sequence is recorded at `chain`.
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
        // Until the target reports what it runs for an earlier holder, that may be
        // as many requests as it has slots.
        admission.step(|core, now| {
            core.take_over(now, limits.concurrency, false, now + TAKEOVER_LIMIT_MS);
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
            checked_at: AtomicU64::new(0),
            stale_connection: AtomicBool::new(false),
            lost: AtomicBool::new(false),
            unresponsive: AtomicBool::new(false),
            reset_at: Mutex::default(),
            confirmed: Mutex::default(),
            is_evacuating: AtomicBool::new(false),
            followed_lease: Mutex::new(fence.offset),
            grant_cache: Mutex::default(),
        })
    }

    /// Continues under a newer lease of this daemon. Running requests keep their
    /// slots, which a new keeper would not count.
    pub fn renew_lease(&self, lease: model::Offset) {
        self.grants.lock().follow(lease);
    }

    /// Returns the fencing token to send with requests.
    pub fn fence(&self) -> model::Fence {
        self.grants.lock().fence()
    }

    /// Triggers an immediate renewal of the grants, such as after the target refused one.
    pub fn renew_now(&self) {
        self.grants.lock().forget();
        self.wake();
    }

    /// Triggers an immediate check of the target after a request to it failed, at
    /// most once in `CHECK_INTERVAL_MS`.
    pub fn suspect(&self) {
        let now = clock::now();
        let last = self.checked_at.load(Ordering::Relaxed);
        let paused = now.since(clock::Millis(last)) < CHECK_INTERVAL_MS;
        let exchange = |last| {
            let swapped =
                self.checked_at
                    .compare_exchange(last, now.0, Ordering::Relaxed, Ordering::Relaxed);
            swapped.is_ok()
        };
        if !paused && exchange(last) {
            self.wake();
        }
    }

    /// Triggers a check of the target after a request to it timed out.
    ///
    /// If the request was sent on a `reused` connection and the target responds on
    /// a new one, the pooled connections may be dead and are closed.
    pub fn timed_out(&self, reused: bool) {
        if reused {
            self.stale_connection.store(true, Ordering::Relaxed);
        }
        self.suspect();
    }

    /// Returns whether the target was unreachable at the last check.
    pub fn is_lost(&self) -> bool {
        self.lost.load(Ordering::Relaxed)
    }

    /// Returns whether shards are being moved to other targets. Keys keep their
    /// shards meanwhile, so that the drain counts every request on them.
    pub fn is_moving(&self) -> bool {
        !self.withdrawn.lock().is_empty()
    }

    /// Closes admission and stops renewal. Workers finish running requests.
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

    /// Waits until `until` or until [`Keeper::wake`] is called.
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

    /// Stores the current lease, and returns whether it differs from the one stored before.
    pub fn follow_lease(&self) -> bool {
        let fence = self.fence().offset;
        std::mem::replace(&mut *self.followed_lease.lock(), fence) != fence
    }

    /// Returns whether a request timed out on a reused connection since the last call.
    pub fn take_stale(&self) -> bool {
        self.stale_connection.swap(false, Ordering::Relaxed)
    }

    /// Returns whether the connections may be reset again at `now`.
    pub fn may_reset(&self, now: clock::Millis) -> bool {
        now.since(*self.reset_at.lock()) >= RESET_INTERVAL_MS
    }

    /// Records that the connections are reset at `now`.
    pub fn note_reset(&self, now: clock::Millis) {
        *self.reset_at.lock() = now;
    }

    /// Records that the target responds, and returns whether it was lost before.
    pub fn set_found(&self) -> bool {
        self.lost.swap(false, Ordering::Relaxed)
    }

    /// Records that the target is lost, either unresponsive or refusing connections,
    /// and returns whether it was lost before.
    pub fn set_lost(&self, unresponsive: bool) -> bool {
        self.unresponsive.store(unresponsive, Ordering::Relaxed);
        self.lost.swap(true, Ordering::Relaxed)
    }

    /// Returns whether the target was unresponsive when it was last found lost, so
    /// that it may be frozen.
    pub fn was_silent(&self) -> bool {
        self.unresponsive.load(Ordering::Relaxed)
    }

    /// Stores the list that the target confirmed while it ran nothing on dropped
    /// shards, and when the message was sent; `None` if it has not confirmed one.
    pub fn set_settled(&self, confirmed: Option<(clock::Millis, Arc<[wire::Holding]>)>) {
        *self.confirmed.lock() = confirmed;
    }

    /// Returns the send time of the message with which the target confirmed `wanted`,
    /// or `None` if it has not confirmed this list.
    pub fn settled_at(&self, wanted: &Arc<[wire::Holding]>) -> Option<clock::Millis> {
        let confirmed = self.confirmed.lock().clone();
        let same = confirmed.filter(|(_, list)| list == wanted);
        same.map(|(sent, _)| sent)
    }

    /// Returns the shards that the target must be granted: those it owns
    /// without those that are moving away.
    pub fn wanted(&self, state: &state::State) -> Arc<[wire::Holding]> {
        let mut cache = self.grant_cache.lock();
        let withdrawn = self.withdrawn.lock();
        if let Some(cache) = cache
            .as_ref()
            .filter(|cache| cache.is_current(state, &withdrawn))
        {
            return cache.list.clone();
        }
        let list = grants::wanted(state, &self.target, &withdrawn);
        let moving = withdrawn.iter();
        *cache = Some(GrantCache {
            groups: state.groups.clone(),
            withdrawn: moving
                .map(|(_, group, shards)| (group.clone(), shards.clone()))
                .collect(),
            list: list.clone(),
        });
        list
    }

    /// Excludes shards from the grants while they are moving away.
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

    /// Returns whether a shard is excluded from the grants because it moves away.
    pub fn is_withdrawn(&self, group: &model::GroupId, shard: model::Shard) -> bool {
        let withdrawn = self.withdrawn.lock();
        let mut sets = withdrawn.iter().filter(|(_, other, _)| other == group);
        sets.any(|(_, _, set)| set.contains(shard))
    }

    /// Marks an evacuation of all shards as in progress, and returns whether none was.
    pub fn begin_evacuation(&self) -> bool {
        !self.is_evacuating.swap(true, Ordering::Relaxed)
    }

    /// Marks the evacuation as ended.
    pub fn end_evacuation(&self) {
        self.is_evacuating.store(false, Ordering::Relaxed);
    }
}
