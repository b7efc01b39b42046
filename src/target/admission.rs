//! Admission control for one target: concurrency limit, slow start, queue, blocked shards.
//!
//! [`Core`] decides and takes the time as an argument; [`Admission`] wraps it
//! for worker threads, which block while they wait. Its lock is held only for
//! short computations and never across I/O.

mod blocks;
mod core;
mod lanes;
mod service;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::{Condvar, Mutex};

pub use self::core::{COLD_LIMIT, Core, Event, Offer};
use crate::clock;
use crate::model;
use crate::token;

/// Sequence number of a request, unique within one target's admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Sequence number of a set of blocked shards, from the same sequence as [`Ticket`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Block(pub u64);

/// Placement group, shard and key of a request.
///
/// A key that is pinned or unpinned while its request runs changes its shard,
/// so the key is recorded besides the shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Placement group.
    pub group: Arc<model::GroupId>,
    /// Shard under which the request is admitted.
    pub shard: model::Shard,
    /// Hash of the key.
    pub key: model::KeyHash,
    /// Hash shard to which the key belongs while it is not pinned.
    pub home: u32,
}

/// Configured limits of one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of concurrent requests at a warm target.
    pub concurrency: u32,
    /// Maximum number of queued requests.
    pub queue: usize,
}

/// Result of an admitted request, as far as it concerns the target's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target answered.
    Success,
    /// The target answered and reported that it is cold.
    Cold,
    /// The target refused the request because of its load or its state.
    Shed,
    /// The target refused the connection.
    Refused,
    /// Any other result; it leaves the target's limit unchanged.
    Failed,
}

/// Reason why a request was not admitted. It has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    /// The estimated waiting and service time exceed the request's remaining time.
    #[error("the target is overloaded; estimated wait {after_ms} ms")]
    Overloaded {
        /// Estimated waiting time, in milliseconds.
        after_ms: u64,
    },
    /// The deadline passed before a slot was free.
    #[error("the deadline passed before the target had a free slot")]
    Deadline,
    /// The shard is about to move to another target.
    #[error("the shard is moving to another target")]
    Moving,
    /// The target takes no new work.
    #[error("the target takes no new work")]
    Closed,
    /// The caller cancelled the request.
    #[error("the request was cancelled while it waited for the target")]
    Cancelled,
    /// The queue is full, and no other tenant's queue is longer than this tenant's
    /// would be; or the request was evicted in favor of another tenant.
    #[error("the target's queue is full")]
    QueueFull,
}

#[derive(Default)]
struct Waiter {
    signal: Condvar,
}

struct Inner {
    core: Core,
    waiters: HashMap<Ticket, Arc<Waiter>>,
    results: HashMap<Ticket, Result<(), Refused>>,
}

/// Admission to one target, shared by worker threads.
pub struct Admission {
    inner: Mutex<Inner>,
    drained: Condvar,
}

impl Admission {
    /// Returns the admission for a target of unknown state, which starts at the cold limit.
    pub fn new(limits: Limits) -> Arc<Self> {
        let inner = Inner {
            core: Core::new(limits),
            waiters: HashMap::new(),
            results: HashMap::new(),
        };
        Arc::new(Self {
            inner: Mutex::new(inner),
            drained: Condvar::new(),
        })
    }

    /// Waits for a free slot, at most until `deadline`.
    ///
    /// # Errors
    /// Returns the reason why the request must not run.
    pub fn enter(
        self: &Arc<Self>,
        tenant: u64,
        place: Option<Place>,
        deadline: clock::Millis,
    ) -> Result<Permit, Refused> {
        self.enter_unless(&token::Token::new(), tenant, place, deadline)
    }

    /// Waits for a free slot, at most until `deadline` or until `token` is cancelled.
    ///
    /// # Errors
    /// Returns the reason why the request must not run.
    pub fn enter_unless(
        self: &Arc<Self>,
        token: &token::Token,
        tenant: u64,
        place: Option<Place>,
        deadline: clock::Millis,
    ) -> Result<Permit, Refused> {
        let offer = self.step(|core, now| core.offer(now, tenant, place, deadline))?;
        let ticket = match offer {
            Offer::Admitted(ticket) => ticket,
            Offer::Queued(ticket) => {
                let admission = self.clone();
                let _registered = token.on_cancel(move || admission.withdraw(ticket));
                self.wait(ticket, deadline)?
            }
        };
        Ok(Permit {
            admission: self.clone(),
            ticket,
            released: false,
        })
    }

    fn withdraw(&self, ticket: Ticket) {
        let mut inner = self.inner.lock();
        if inner.core.withdraw(ticket) {
            inner.resolve(ticket, Err(Refused::Cancelled));
        }
    }

    fn wait(&self, ticket: Ticket, deadline: clock::Millis) -> Result<Ticket, Refused> {
        let waiter = Arc::new(Waiter::default());
        let mut inner = self.inner.lock();
        inner.waiters.insert(ticket, waiter.clone());
        let result = loop {
            if let Some(result) = inner.results.remove(&ticket) {
                break result;
            }
            let remaining = deadline.since(clock::now());
            if remaining == 0 {
                inner.core.withdraw(ticket);
                break Err(Refused::Deadline);
            }
            waiter
                .signal
                .wait_for(&mut inner, clock::duration(remaining));
        };
        inner.waiters.remove(&ticket);
        result.map(|()| ticket)
    }

    /// Applies `act` to the core at the current time and wakes the threads concerned.
    ///
    /// All calls of the core besides those of `enter` and [`Permit`] go through
    /// here, such as `step(|core, now| core.report(now, 2, false))`.
    pub fn step<T>(&self, act: impl FnOnce(&mut Core, clock::Millis) -> T) -> T {
        let mut inner = self.inner.lock();
        let result = act(&mut inner.core, clock::now());
        for event in inner.core.take_events() {
            match event {
                Event::Admitted(ticket) => inner.resolve(ticket, Ok(())),
                Event::Refused(ticket, reason) => inner.resolve(ticket, Err(reason)),
                Event::Drained(_) | Event::Idle => {
                    self.drained.notify_all();
                }
            }
        }
        result
    }

    /// Refuses new and waiting requests for `shards` until [`Core::unblock`] is called.
    pub fn block(&self, group: &model::GroupId, shards: &model::ShardSet) -> Block {
        self.step(|core, _| core.block(group, shards))
    }

    /// Waits until no request runs on the block's shards, at most until
    /// `until`, and returns the number of requests that still run.
    pub fn wait_drained(&self, block: Block, until: clock::Millis) -> usize {
        self.wait_zero(until, |core| core.running_in(block))
    }

    /// Waits until no request runs on the target after it was closed, at most
    /// until `until`, and returns the number of requests that still run.
    pub fn wait_idle(&self, until: clock::Millis) -> usize {
        self.wait_zero(until, Core::running)
    }

    fn wait_zero(&self, until: clock::Millis, count: impl Fn(&Core) -> usize) -> usize {
        let mut inner = self.inner.lock();
        loop {
            let running = count(&inner.core);
            let remaining = until.since(clock::now());
            if running == 0 || remaining == 0 {
                return running;
            }
            self.drained
                .wait_for(&mut inner, clock::duration(remaining));
        }
    }
}

impl Inner {
    fn resolve(&mut self, ticket: Ticket, result: Result<(), Refused>) {
        self.results.insert(ticket, result);
        if let Some(waiter) = self.waiters.get(&ticket) {
            waiter.signal.notify_one();
        }
    }
}

/// Permission to send one request to the target. Dropping it frees the slot.
pub struct Permit {
    admission: Arc<Admission>,
    ticket: Ticket,
    released: bool,
}

impl Permit {
    /// Records the request identifier, by which the request can be cancelled at the target.
    pub fn tag(&self, request: &str) {
        let tag = Arc::from(request);
        self.admission.step(|core, _| core.tag(self.ticket, tag));
    }

    /// Stops waiting for a request that the target may still run, until `until`
    /// at the latest. The slot stays occupied until the request is known to have
    /// ended; see [`Core::give_up`].
    pub fn give_up(mut self, until: clock::Millis) -> Unsettled {
        self.released = true;
        let ticket = self.ticket;
        self.admission
            .step(|core, now| core.give_up(now, ticket, until));
        Unsettled {
            admission: self.admission.clone(),
            ticket,
        }
    }

    /// Frees the slot and records the result; `elapsed` is the target's response time.
    pub fn finish(mut self, outcome: Outcome, elapsed: Duration) {
        self.release(outcome, elapsed);
    }

    fn release(&mut self, outcome: Outcome, elapsed: Duration) {
        if std::mem::replace(&mut self.released, true) {
            return;
        }
        let ticket = self.ticket;
        self.admission
            .step(|core, now| core.finish(now, ticket, outcome, elapsed));
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.release(Outcome::Failed, Duration::ZERO);
    }
}

/// Slot of a request that was given up while the target may still run it.
///
/// Dropping this does not free the slot.
pub struct Unsettled {
    admission: Arc<Admission>,
    ticket: Ticket,
}

impl Unsettled {
    /// Frees the slot. Called once the target has confirmed that it does not run the request.
    pub fn settle(self) {
        let ticket = self.ticket;
        self.admission.step(|core, now| core.settle(now, ticket));
    }
}
