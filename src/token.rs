//! Cancellation tokens that are passed down to everything with a life of its own.

use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

use parking_lot::{Condvar, Mutex};

type Action = Box<dyn FnOnce() + Send>;

#[derive(Default)]
struct Actions {
    last: u64,
    waiting: Vec<(u64, Action)>,
}

#[derive(Default)]
struct Inner {
    cancelled: Mutex<bool>,
    changed: Condvar,
    children: Mutex<Vec<Token>>,
    actions: Mutex<Actions>,
}

/// Tells its holders when to stop. Clones share one state; children are
/// cancelled with their parent, but not the other way round.
#[derive(Clone, Default)]
pub struct Token {
    inner: Arc<Inner>,
}

impl Token {
    /// Returns a new token without a parent.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a token that is cancelled together with this one.
    pub fn child(&self) -> Self {
        let child = Self::new();
        self.inner.children.lock().push(child.clone());
        if self.is_cancelled() {
            child.cancel();
        }
        child
    }

    /// Cancels this token and its children.
    pub fn cancel(&self) {
        *self.inner.cancelled.lock() = true;
        self.inner.changed.notify_all();
        let children = std::mem::take(&mut *self.inner.children.lock());
        for child in children {
            child.cancel();
        }
        let actions = std::mem::take(&mut self.inner.actions.lock().waiting);
        for (_, action) in actions {
            action();
        }
    }

    /// Has `action` run on the thread that cancels this token, unless the
    /// result is dropped before. It runs at once if the token was cancelled.
    ///
    /// Dropping the result does not wait for an action that has begun. An
    /// action must not block, since the canceller may be an I/O thread.
    pub fn on_cancel(&self, action: impl FnOnce() + Send + 'static) -> Registration {
        let mut actions = self.inner.actions.lock();
        // `cancel` sets the mark before it takes the actions, so that none is missed.
        if self.is_cancelled() {
            drop(actions);
            action();
            return Registration::default();
        }
        actions.last += 1;
        let number = actions.last;
        actions.waiting.push((number, Box::new(action)));
        Registration {
            inner: Arc::downgrade(&self.inner),
            number,
        }
    }

    /// Returns whether the token was cancelled.
    pub fn is_cancelled(&self) -> bool {
        *self.inner.cancelled.lock()
    }

    /// Waits until the token is cancelled or `timeout` has passed, and
    /// returns whether it was cancelled.
    pub fn wait_timeout(&self, timeout: Duration) -> bool {
        let end = Instant::now() + timeout;
        let mut cancelled = self.inner.cancelled.lock();
        while !*cancelled {
            if self
                .inner
                .changed
                .wait_until(&mut cancelled, end)
                .timed_out()
            {
                break;
            }
        }
        *cancelled
    }
}

/// Keeps an action of [`Token::on_cancel`] registered until it is dropped.
#[derive(Default)]
pub struct Registration {
    inner: Weak<Inner>,
    number: u64,
}

impl Drop for Registration {
    fn drop(&mut self) {
        let Some(inner) = self.inner.upgrade() else {
            return;
        };
        let mut actions = inner.actions.lock();
        let place = actions.waiting.iter().position(|(n, _)| *n == self.number);
        let removed = place.map(|index| actions.waiting.swap_remove(index));
        // The action may own what locks on its own drop.
        drop(actions);
        drop(removed);
    }
}
